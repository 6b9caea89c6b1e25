//! Calls to the store, each in a coroutine and on a connection of its own.
//!
//! Connections are not used twice: what came too much behind a reply could be taken for the next one's, and a
//! break on a connection that lay unused can't be told from a call that ran.

use super::http;
use super::ring::{Filled, Ring};
use crate::life::House;
use crate::lock::lock;
use crate::memory::hands::{Name, Slip, Word};
use may::coroutine::{self, Coroutine};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use puffinladder::Outcome;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
pub struct Store {
    places: Mutex<Places>,
    /// The calls that are out.
    calls: Mutex<Vec<Arc<Call>>>,
}

/// The store's share of descriptors.
#[derive(Default)]
struct Places {
    taken: usize,
    /// Who waits for one, longest first.
    waiting: VecDeque<Coroutine>,
}

/// A call that is out.
pub struct Call {
    deadline: f64,
    given_up: AtomicBool,
    over: AtomicBool,
    /// A part of the reply has come.
    replying: AtomicBool,
    /// How to wake it: while it waits for a place, then while it speaks.
    waits: Mutex<Option<Coroutine>>,
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
            replying: AtomicBool::new(false),
            waits: Mutex::default(),
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
        } else if let Some(waits) = &*lock(&self.waits) {
            waits.unpark();
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
        let _place = self.place(house)?;
        let limits = &house.limits;
        // A connection that never came up proves that no call ran.
        let unreachable = Stop::Ended(Outcome::Unreachable);
        let stream = loop {
            let Some(address) = house.directory.peers().store else { return Err(unreachable) };
            // Bounded before it becomes a duration, which has no room for a customer's endless expiry.
            let left = (self.deadline - house.clock.now()).clamp(0.001, limits.connect.as_secs_f64());
            match TcpStream::connect_timeout(&address, Duration::from_secs_f64(left)) {
                Ok(stream) => break stream,
                // It moved meanwhile.
                Err(_) if house.directory.peers().store != Some(address) => {}
                Err(_) => return Err(unreachable),
            }
        };
        let _ = stream.set_nodelay(true);
        *lock(&self.waker) = Some(stream.waker());
        // A slow dial may outlast the call's time, or its run: not a byte has gone, so nothing need run.
        self.check(house, Outcome::Unreachable)?;
        let mut input = Ring::new(limits.buffer, limits.head + limits.reply);
        let mut out = Ring::new(limits.buffer, limits.head + limits.line);
        let name = String::from_utf8_lossy(name);
        let wait = (limit * 1e3).ceil();
        let more = format!("X-For-Request: {name}\r\nX-Wait-Ms: {wait}\r\n");
        if out.put(&http::request("POST /query", "store", &more, body)).is_err() {
            return Err(Stop::Ended(Outcome::NotNeeded));
        }
        // Once a byte may have gone, a break proves nothing.
        let broken = Stop::Ended(Outcome::ConnectionLost);
        let mut begun = None;
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
                match http::reply(input.whole(), limits.head, limits.reply) {
                    Ok(None) => {}
                    Ok(Some(reply)) => {
                        return Ok((outcome(reply.status, reply.not_run), reply.body.to_vec()))
                    }
                    Err(what) => {
                        tracing::debug!("store: a call broke off: {what}");
                        return Err(broken);
                    }
                }
            }
            self.check(house, Outcome::TimedOut)?;
            // A reply that stops half way does not go on: what it lacks was never meant to come.
            if !input.is_empty() {
                let now = house.clock.now();
                self.replying.store(true, Ordering::Relaxed);
                if now - *begun.get_or_insert(now) > limits.stall {
                    return Err(broken);
                }
            }
            stream.wait_io();
        }
    }

    /// A place in the store's share of descriptors; waiting for one counts in the call's limit.
    fn place<'a>(&self, house: &'a House) -> Result<Place<'a>, Stop> {
        *lock(&self.waits) = Some(coroutine::current());
        loop {
            {
                let mut places = lock(&house.store.places);
                if places.taken < house.limits.store {
                    places.taken += 1;
                    return Ok(Place(house));
                }
                places.waiting.push_back(coroutine::current());
            }
            self.check(house, Outcome::Rejected)?;
            coroutine::park();
        }
    }
}

/// What a reply proves, and never more.
fn outcome(status: u16, not_run: bool) -> Outcome {
    match (status, not_run) {
        (200, _) => Outcome::Completed,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NotNeeded,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// A place among the store's connections, given on when its call is over.
struct Place<'a>(&'a House);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut places = lock(&self.0.store.places);
        places.taken -= 1;
        if let Some(next) = places.waiting.pop_front() {
            next.unpark();
        }
    }
}

impl Store {
    pub fn count(&self) -> usize {
        lock(&self.places).taken
    }

    /// Wakes calls whose time is up, those whose reply may have stopped half way, and those for whom there is
    /// a place that was offered to one that no longer wants it.
    pub fn hurry(&self, now: f64, most: usize) {
        let mut places = lock(&self.places);
        let free = most.saturating_sub(places.taken).min(places.waiting.len());
        places.waiting.drain(..free).for_each(|waiting| waiting.unpark());
        drop(places);
        let mut calls = lock(&self.calls);
        calls.retain(|call| !call.over.load(Ordering::Relaxed));
        let due = |call: &&Arc<Call>| now >= call.deadline || call.replying.load(Ordering::Relaxed);
        calls.iter().filter(due).for_each(|call| call.wake());
    }
}

#[cfg(test)]
mod tests;
