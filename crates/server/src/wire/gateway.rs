//! Connections of gateways: one coroutine each, which alone reads and writes it.

use super::resp::{self, Array};
use super::ring::{Filled, Ring};
use crate::life::House;
use crate::lock::lock;
use crate::memory::hands::{Slip, Word};
use crate::txn;
use may::coroutine;
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// All connections, and the bytes that wait for them together.
#[derive(Default)]
pub struct Gateways {
    outlets: Mutex<HashMap<usize, Arc<Outlet>>>,
    unsent: AtomicUsize,
}

/// What a txn keeps of the connection on which its answer is owed; the socket itself may be long gone.
pub struct Outlet {
    counter: Mutex<Counter>,
    waker: WaitIoWaker,
}

struct Counter {
    out: Ring,
    open: HashMap<u64, Arc<Slip>>,
    tags: Tags,
    closed: bool,
    /// When it was asked to be left, and when it was last in use.
    leaving: Option<f64>,
    used: f64,
    /// When it was accepted, and how many messages it has brought.
    since: f64,
    messages: u32,
    /// Since when a message is unfinished; the first one is from the start.
    unfinished: Option<f64>,
    checks: bool,
}

impl Counter {
    /// What a read brought: some whole messages, and nothing else or a part of the next.
    fn progress(&mut self, whole: u32, empty: bool, now: f64) {
        self.messages = self.messages.saturating_add(whole);
        if whole > 0 || empty {
            self.unfinished = None;
        }
        if !empty {
            self.unfinished.get_or_insert(now);
        }
    }

    /// How long it may lie unused, where those do `keep` that came once: one that came again and again is likely
    /// to come after a few times its usual span.
    fn patience(&self, keep: f64, house: &House) -> f64 {
        let usual = match self.messages {
            0 | 1 => 0.0,
            more => house.limits.usual_spans * (self.used - self.since) / f64::from(more),
        };
        let least = if self.checks { house.limits.checks_idle } else { 0.0 };
        keep.max(usual.min(house.warrant.terms.charter.idle)).max(least)
    }

    /// Whether it may be closed without harm: nothing on it is owed an answer or has yet to be read.
    fn idle(&self) -> bool {
        !self.closed && self.open.is_empty() && self.out.is_empty()
    }
}

/// Which tags were used: all up to one, and some above it.
#[derive(Default)]
struct Tags {
    all_to: u64,
    above: BTreeSet<u64>,
}

impl Tags {
    /// Whether the tag is new; at most `most` of those above an unused one are remembered.
    fn take(&mut self, tag: u64, most: usize) -> bool {
        if tag <= self.all_to || !self.above.insert(tag) {
            return false;
        }
        while self.above.remove(&(self.all_to + 1)) {
            self.all_to += 1;
        }
        if self.above.len() > most {
            self.above.pop_first();
        }
        true
    }
}

impl Outlet {
    pub fn new(house: &House, stream: &TcpStream) -> Outlet {
        let now = house.clock.now();
        let counter = Counter {
            out: Ring::new(house.limits.buffer, house.limits.unsent),
            open: HashMap::new(),
            tags: Tags::default(),
            closed: false,
            leaving: None,
            used: now,
            since: now,
            messages: 0,
            unfinished: Some(now),
            checks: false,
        };
        Outlet { counter: Mutex::new(counter), waker: stream.waker() }
    }

    fn lock(&self) -> MutexGuard<'_, Counter> {
        lock(&self.counter)
    }

    /// Owes a tag its answer from now on; the slip hears if its gateway stops waiting.
    #[cfg(test)]
    pub fn open(&self, tag: u64, slip: &Arc<Slip>) {
        self.lock().open.insert(tag, slip.clone());
    }
    #[cfg(test)]
    pub fn unsent(&self) -> Vec<u8> {
        self.lock().out.whole().to_vec()
    }

    /// A new slip for a tag that is still owed its answer.
    pub fn renew(&self, tag: u64) -> Option<Arc<Slip>> {
        let mut counter = self.lock();
        let slip = counter.open.get_mut(&tag)?;
        *slip = Arc::default();
        Some(slip.clone())
    }

    /// Gives the one answer that a tag is owed; none goes out where the gateway has stopped waiting.
    pub fn answer(&self, house: &House, tag: u64, word: &str, fields: &[u8], body: &[u8]) {
        let mut counter = self.lock();
        if counter.open.remove(&tag).is_none() || counter.closed {
            return;
        }
        let mut number = Vec::with_capacity(20);
        resp::put_decimal(&mut number, tag);
        counter.used = house.clock.now();
        self.write(house, &mut counter, &[&number, word.as_bytes(), fields, body]);
    }

    fn write(&self, house: &House, counter: &mut Counter, elements: &[&[u8]]) {
        let mut bytes = Vec::with_capacity(64 + elements.iter().map(|e| e.len() + 12).sum::<usize>());
        resp::write(&mut bytes, elements);
        let all = house.gateways.unsent.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len();
        // Where too much lies unread in all, those close that leave much of it, not whoever is answered next.
        let hogs = all > house.limits.unsent_all && counter.out.len() > house.limits.unsent_fair;
        if hogs || counter.out.put(&bytes).is_err() {
            house.gateways.unsent.fetch_sub(bytes.len(), Ordering::Relaxed);
            counter.closed = true;
            let unread = counter.out.len();
            house.tally.complain(
                house,
                format_args!("gateway: a connection closed, {unread} bytes lay unread there"),
            );
        }
        self.waker.wakeup();
    }
}

impl Gateways {
    /// Asks connections that lay unused for `keep` to be left, closes those that were not left in time, and
    /// wakes those with a message that ought to be finished.
    pub fn tidy(&self, house: &House, keep: f64) {
        let now = house.clock.now();
        for outlet in self.lock().values() {
            let mut counter = outlet.lock();
            if counter.unfinished.is_some_and(|since| now - since > house.limits.message_wait) {
                outlet.waker.wakeup();
            }
            if !counter.idle() {
                continue;
            }
            match counter.leaving {
                None if now - counter.used > counter.patience(keep, house) => {
                    counter.leaving = Some(now);
                    outlet.write(house, &mut counter, &[b"0", b"goaway"]);
                }
                Some(since)
                    if now - since > house.limits.goodbye && now - counter.used > house.limits.goodbye =>
                {
                    counter.closed = true;
                    outlet.waker.wakeup();
                }
                _ => {}
            }
        }
    }

    /// Closes the connection that can best be done without: one that has said nothing yet, else one that came
    /// once, else any, and of its kind the one that lay unused for longest. A gateway that sends there at this
    /// moment sends once more. Whether there is any.
    fn make_room(&self) -> bool {
        let outlets = self.lock();
        let idle = outlets.values().filter_map(|outlet| {
            let counter = outlet.lock();
            counter.idle().then(|| (counter.messages.min(2), counter.used, outlet))
        });
        let Some((.., outlet)) = idle.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) else {
            return false;
        };
        outlet.lock().closed = true;
        outlet.waker.wakeup();
        true
    }

    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Arc<Outlet>>> {
        lock(&self.outlets)
    }
}

/// Accepts for as long as the process lives. Nothing waits in the backlog, where it would be read by nobody:
/// with all seats taken the idlest connection makes room, and where all are at work the new one closes.
pub fn listen(house: &Arc<House>, listener: TcpListener) {
    let mut serial = 0;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                serial += 1;
                let _ = stream.set_nodelay(true);
                if house.gateways.count() >= house.limits.gateways && !house.gateways.make_room() {
                    house.tally.complain(
                        house,
                        format_args!("gateway: no seat for a new connection, all are at work"),
                    );
                    continue;
                }
                let outlet = Arc::new(Outlet::new(house, &stream));
                house.gateways.lock().insert(serial, outlet.clone());
                let seat = Seat { house: house.clone(), outlet, serial };
                may::go!(move || serve(&seat, &stream));
                // The new one is read, and the one that made room is gone, before the next comes.
                coroutine::yield_now();
                while house.gateways.count() >= house.limits.gateways + house.limits.outgoing {
                    house.chores.wait();
                }
            }
            Err(e) => {
                // Descriptors may have run out: others close soon.
                tracing::warn!("listener: no connection accepted: {e}");
                house.gateways.make_room();
                house.chores.wait();
            }
        }
    }
}

/// A connection's place among the others; whatever ends it, its txns count as gone.
struct Seat {
    house: Arc<House>,
    outlet: Arc<Outlet>,
    serial: usize,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.house.gateways.lock().remove(&self.serial);
        let mut counter = self.outlet.lock();
        counter.closed = true;
        self.house.gateways.unsent.fetch_sub(counter.out.len(), Ordering::Relaxed);
        counter.out = Ring::new(1, 1);
        counter.open.drain().for_each(|(_, slip)| slip.say(Word::Gone));
    }
}

fn serve(seat: &Seat, stream: &TcpStream) {
    if let Err(what) = talk(&seat.house, stream, &seat.outlet) {
        seat.house.tally.complain(&seat.house, format_args!("gateway: a connection closed: {what}"));
    }
}

/// Reads and writes until the connection ends; an error says what the gateway did wrong.
fn talk(house: &Arc<House>, stream: &TcpStream, outlet: &Arc<Outlet>) -> Result<(), String> {
    let mut input = Ring::new(house.limits.buffer, 2 * house.limits.message);
    loop {
        let mut count = 0;
        let (ended, more) = loop {
            match input.fill_from(stream.inner()) {
                Ok(Filled::Bytes(more)) => count += more,
                Ok(Filled::NotYet) => break (false, false),
                Ok(Filled::Ended) | Err(_) => break (true, false),
            }
            let mut whole = 0;
            while let Some(array) = resp::array(input.whole(), house.limits.body)? {
                let size = array.size;
                take(house, outlet, &array)?;
                input.consume(size);
                whole += 1;
            }
            outlet.lock().progress(whole, input.is_empty(), house.clock.now());
            if input.len() > house.limits.message {
                return Err("an oversized message".into());
            }
            if count > house.limits.turn {
                break (false, true);
            }
        };
        let mut counter = outlet.lock();
        let before = counter.out.len();
        let written = counter.out.drain_to(stream.inner());
        house.gateways.unsent.fetch_sub(before - counter.out.len(), Ordering::Relaxed);
        if ended || counter.closed || written.is_err() {
            return Ok(());
        }
        // All that has come is read: what is unfinished now has had its time.
        let late = |since| house.clock.now() - since > house.limits.message_wait;
        if !more && counter.unfinished.is_some_and(late) {
            return Err(if input.is_empty() { "no first message" } else { "an unfinished message" }.into());
        }
        drop(counter);
        if more {
            coroutine::yield_now();
        } else {
            stream.wait_io();
        }
    }
}

/// One message of a gateway.
fn take(house: &Arc<House>, outlet: &Arc<Outlet>, array: &Array) -> Result<(), String> {
    let tag = resp::decimal(array.at(1)).filter(|&tag| tag > 0);
    let tag = tag.ok_or("a tag that is no number from 1 up")?;
    let mut counter = outlet.lock();
    counter.used = house.clock.now();
    match array.at(0) {
        b"CANCEL" => {
            if let Some(slip) = counter.open.remove(&tag) {
                slip.say(Word::Gone);
            }
            return Ok(());
        }
        b"CALL" | b"CHECK" => {}
        _ => return Err("an unknown verb".into()),
    }
    if !counter.tags.take(tag, house.limits.tags) {
        return Err(format!("tag {tag} used again"));
    }
    if array.at(0) == b"CHECK" {
        counter.checks = true;
        let word: &[u8] = if house.desk.serving() { b"serving" } else { b"not_serving" };
        let mut fields = Vec::new();
        house.desk.put_signal(&mut fields);
        outlet.write(house, &mut counter, &[array.at(1), word, &fields]);
        return Ok(());
    }
    counter.checks = false;
    if counter.open.len() >= house.limits.open {
        return Err("too many open txns".into());
    }
    let slip = Arc::new(Slip::default());
    counter.open.insert(tag, slip.clone());
    drop(counter);
    match txn::Read::new(&house.warrant.terms, array, &house.prints) {
        Ok(read) => txn::begin(house, read, slip, outlet.clone(), tag),
        Err(what) => {
            house.tally.complain(house, format_args!("gateway: tag {tag} voided unread: {what}"));
            outlet.answer(house, tag, "500", &[], &[]);
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
