//! Calls to the store: pooled connections, one call each at a time, each call in a coroutine of its own.

use super::http;
use super::ring::{Filled, Ring};
use crate::life::House;
use crate::lock::lock;
use crate::memory::hands::{Name, Slip, Word};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use puffinladder::Outcome;
use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[derive(Default)]
pub struct Store {
    /// Unused connections, and since when.
    idle: Mutex<Vec<(Line, f64)>>,
    /// Connections in all, and the calls that are out.
    open: AtomicUsize,
    calls: Mutex<Vec<Arc<Call>>>,
}

/// One connection, with a buffer a direction.
struct Line {
    stream: TcpStream,
    input: Ring,
    out: Ring,
}

/// A call that is out.
pub struct Call {
    deadline: f64,
    given_up: AtomicBool,
    over: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

/// How a call that came to no readable reply ended.
enum Stop {
    GivenUp,
    Ended(Outcome),
}

impl Call {
    /// Asks the store on behalf of a txn, which hears `Word::Returned` unless it gives the call up.
    pub fn begin(house: &Arc<House>, name: Name, body: Vec<u8>, limit: f64, slip: &Arc<Slip>) -> Arc<Call> {
        let begun = house.clock.now();
        let call = Arc::new(Call {
            deadline: begun + limit,
            given_up: AtomicBool::new(false),
            over: AtomicBool::new(false),
            waker: Mutex::default(),
        });
        lock(&house.store.calls).push(call.clone());
        let (house, slip, this) = (house.clone(), slip.clone(), call.clone());
        may::go!(move || {
            let end = this.make(&house, &name, &body, limit);
            this.over.store(true, Ordering::Relaxed);
            let (outcome, body) = match end {
                Ok(end) => end,
                Err(Stop::Ended(outcome)) => (outcome, Vec::new()),
                Err(Stop::GivenUp) => return,
            };
            slip.say(Word::Returned { outcome, took: house.clock.now() - begun, body });
        });
        call
    }

    /// The run has ended, so nobody wants the reply: the connection closes.
    pub fn give_up(&self) {
        self.given_up.store(true, Ordering::Relaxed);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = &*lock(&self.waker) {
            waker.wakeup();
        }
    }

    /// Whether to go on waiting.
    fn check(&self, house: &House, late: Outcome) -> Result<(), Stop> {
        if self.given_up.load(Ordering::Relaxed) {
            return Err(Stop::GivenUp);
        }
        if house.clock.now() >= self.deadline {
            return Err(Stop::Ended(late));
        }
        Ok(())
    }

    fn make(
        &self,
        house: &Arc<House>,
        name: &Name,
        body: &[u8],
        limit: f64,
    ) -> Result<(Outcome, Vec<u8>), Stop> {
        let mut held = self.connection(house)?;
        let Some(Line { stream, input, out }) = &mut held.line else {
            return Err(Stop::Ended(Outcome::Unreachable));
        };
        *lock(&self.waker) = Some(stream.waker());
        let name = String::from_utf8_lossy(name);
        let wait = (limit * 1e3).ceil();
        let more = format!("X-For-Request: {name}\r\nX-Wait-Ms: {wait}\r\n");
        if out.put(&http::request("POST /query", "store", &more, body)).is_err() {
            return Err(Stop::Ended(Outcome::Moot));
        }
        // Once a byte may have gone, a break proves nothing.
        let broken = Stop::Ended(Outcome::BrokenOff);
        loop {
            if out.drain_to(stream.inner()).is_err() {
                return Err(broken);
            }
            loop {
                match input.fill_from(stream.inner()) {
                    Ok(Filled::Bytes(_)) => {}
                    Ok(Filled::NotYet) => break,
                    Ok(Filled::Ended) | Err(_) => return Err(broken),
                }
                match http::reply(input.whole(), house.limits.head, house.limits.reply) {
                    Ok(None) => {}
                    Ok(Some(reply)) => {
                        let outcome = outcome(reply.status, reply.not_run);
                        let (stays, size, body) = (reply.stays, reply.size, reply.body.to_vec());
                        let clean = out.is_empty() && size == input.len();
                        input.consume(size);
                        held.reusable = stays && clean;
                        return Ok((outcome, body));
                    }
                    Err(what) => {
                        log::warn!("store: a call broke off: {what}");
                        return Err(broken);
                    }
                }
            }
            self.check(house, Outcome::TimedOut)?;
            stream.wait_io();
        }
    }

    /// A connection within the store's share of descriptors; waiting for one counts in the call's limit.
    fn connection<'a>(&self, house: &'a House) -> Result<Held<'a>, Stop> {
        loop {
            let now = house.clock.now();
            let idle = lock(&house.store.idle).pop();
            if let Some((line, since)) = idle {
                let sound = now - since <= house.limits.store_idle && quiet(&line.stream);
                let held = Held { house, line: Some(line), reusable: false };
                if sound {
                    return Ok(held);
                }
                continue;
            }
            if house.store.open.fetch_add(1, Ordering::Relaxed) < house.limits.store {
                break;
            }
            house.store.open.fetch_sub(1, Ordering::Relaxed);
            self.check(house, Outcome::Full)?;
            house.chores.wait();
        }
        let mut held = Held { house, line: None, reusable: false };
        // A connection that never came up proves that no call ran.
        let Some(address) = house.warrant.store else { return Err(Stop::Ended(Outcome::Unreachable)) };
        let left = std::time::Duration::from_secs_f64((self.deadline - house.clock.now()).max(0.001));
        let stream = TcpStream::connect_timeout(&address, left.min(house.limits.connect));
        let stream = stream.map_err(|_| Stop::Ended(Outcome::Unreachable))?;
        let _ = stream.set_nodelay(true);
        let limits = &house.limits;
        held.line = Some(Line {
            stream,
            input: Ring::new(limits.buffer, limits.head + limits.reply),
            out: Ring::new(limits.buffer, limits.head + limits.line),
        });
        Ok(held)
    }
}

/// Whether an unused connection is still open, with nothing unasked on it.
fn quiet(stream: &TcpStream) -> bool {
    let end = stream.inner().read(&mut [0; 1]);
    end.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// What a reply proves, and never more.
fn outcome(status: u16, not_run: bool) -> Outcome {
    match (status, not_run) {
        (200, _) => Outcome::Done,
        (503, true) => Outcome::Full,
        (409, true) => Outcome::Moot,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// A connection's place in the store's share: back to the pool or closed, whatever happens.
struct Held<'a> {
    house: &'a House,
    line: Option<Line>,
    reusable: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        match self.line.take().filter(|_| self.reusable) {
            Some(line) => {
                let now = self.house.clock.now();
                lock(&self.house.store.idle).push((line, now));
            }
            None => {
                self.house.store.open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }
}

impl Store {
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Wakes calls whose time is up, and closes what lay unused before the other side does.
    pub fn hurry(&self, now: f64) {
        let mut calls = lock(&self.calls);
        calls.retain(|call| !call.over.load(Ordering::Relaxed));
        calls.iter().filter(|call| now >= call.deadline).for_each(|call| call.wake());
    }

    pub fn close_idle(&self, now: f64, keep: f64) {
        let mut idle = lock(&self.idle);
        let before = idle.len();
        idle.retain(|(_, since)| now - since <= keep);
        self.open.fetch_sub(before - idle.len(), Ordering::Relaxed);
    }
}
