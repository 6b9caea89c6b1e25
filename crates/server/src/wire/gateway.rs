//! Connections of gateways: one coroutine each, which alone reads and writes it.

use super::resp::{self, Array};
use super::ring::{Filled, Ring};
use crate::life::chores::Chores;
use crate::life::House;
use crate::lock::lock;
use crate::memory::hands::{Slip, Word};
use crate::txn;
use may::coroutine;
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// All connections, and the bytes that wait for them together.
#[derive(Default)]
pub struct Gateways {
    connections: Mutex<HashMap<usize, Arc<Connection>>>,
    /// Those that no longer have a seat: ended from here and read to their end, oldest first.
    parting: Mutex<VecDeque<Arc<Connection>>>,
    /// Descriptors that connections of gateways hold, with a seat or parting: counted from accept to close.
    held: AtomicUsize,
    /// Where the listener waits for a seat or a descriptor.
    room: Chores,
    unsent: AtomicUsize,
}

/// What a txn keeps of the connection on which its answer is owed; the socket itself may be long gone.
pub struct Connection {
    state: Mutex<State>,
    waker: WaitIoWaker,
}

struct State {
    out: Ring,
    open: HashMap<u64, Arc<Slip>>,
    tags: Tags,
    /// Nothing more is taken or written.
    closed: bool,
    /// It is to close, unless something comes on it before its coroutine has looked.
    parting: bool,
    /// When it was asked to be left, and when it was last in use.
    leaving: Option<f64>,
    used: f64,
    /// When it was accepted, and how many messages it has brought.
    since: f64,
    messages: u32,
    /// Since when a message is unfinished; the first one is from the start.
    unfinished: Option<f64>,
    /// Whether a part of a message has been read.
    part: bool,
    checks: bool,
}

/// How a conversation that broke no rule ended.
#[derive(PartialEq, Eq)]
enum End {
    /// The gateway ended it, or it reads nothing: there is nobody to part from.
    Gone,
    /// It is closed from here, with nothing owed on it.
    Parts,
}

impl State {
    /// What a read brought: some whole messages, and nothing else or a part of the next.
    fn progress(&mut self, whole: u32, empty: bool, now: f64) {
        self.messages = self.messages.saturating_add(whole);
        if whole > 0 || empty {
            self.unfinished = None;
        }
        if !empty {
            self.unfinished.get_or_insert(now);
        }
        self.part = !empty;
    }

    /// How long it may lie unused, where those do `keep` that came once: one that came again and again is likely
    /// to come after a few times its usual span.
    fn patience(&self, keep: f64, house: &House) -> f64 {
        let usual = match self.messages {
            0 | 1 => 0.0,
            more => house.limits.usual_spans * (self.used - self.since) / f64::from(more),
        };
        let least = if self.checks { house.limits.checks_idle } else { 0.0 };
        keep.max(usual.min(house.warrant.terms.charter.idle_timeout)).max(least)
    }

    /// Whether it may be closed without harm: nothing on it is owed an answer, has yet to be written or is half read.
    /// Half of a first message spares nobody, or those who never end one would hold their seats.
    fn idle(&self) -> bool {
        !self.closed && self.open.is_empty() && self.out.is_empty() && !(self.part && self.messages > 0)
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

impl Connection {
    pub fn new(house: &House, stream: &TcpStream) -> Connection {
        let now = house.clock.now();
        let state = State {
            out: Ring::new(house.limits.buffer, house.limits.unsent),
            open: HashMap::new(),
            tags: Tags::default(),
            closed: false,
            parting: false,
            leaving: None,
            used: now,
            since: now,
            messages: 0,
            unfinished: Some(now),
            part: false,
            checks: false,
        };
        Connection { state: Mutex::new(state), waker: stream.waker() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
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
        let mut state = self.lock();
        let slip = state.open.get_mut(&tag)?;
        *slip = Arc::default();
        Some(slip.clone())
    }

    /// Gives the one answer that a tag is owed; none goes out where the gateway has stopped waiting.
    pub fn answer(&self, house: &House, tag: u64, word: &str, fields: &[u8], body: &[u8]) {
        let mut state = self.lock();
        if state.open.remove(&tag).is_none() || state.closed {
            return;
        }
        let mut number = Vec::with_capacity(20);
        resp::put_decimal(&mut number, tag);
        state.used = house.clock.now();
        self.write(house, &mut state, &[&number, word.as_bytes(), fields, body]);
    }

    /// Writes what the gateway takes now; whether that was all.
    fn flush(&self, house: &House, state: &mut State, stream: &TcpStream) -> io::Result<bool> {
        let before = state.out.len();
        let written = state.out.drain_to(stream.inner());
        house.gateways.unsent.fetch_sub(before - state.out.len(), Ordering::Relaxed);
        written
    }

    fn write(&self, house: &House, state: &mut State, elements: &[&[u8]]) {
        let mut bytes = Vec::with_capacity(64 + elements.iter().map(|e| e.len() + 12).sum::<usize>());
        resp::write(&mut bytes, elements);
        let all = house.gateways.unsent.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len();
        // Where too much lies unread in all, those close that leave much of it, not whoever is answered next.
        let hogs = all > house.limits.unsent_all && state.out.len() > house.limits.unsent_fair;
        if hogs || state.out.put(&bytes).is_err() {
            house.gateways.unsent.fetch_sub(bytes.len(), Ordering::Relaxed);
            state.closed = true;
            let unread = state.out.len();
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
        for connection in self.lock().values() {
            let mut state = connection.lock();
            if state.unfinished.is_some_and(|since| now - since > house.limits.message_wait) {
                connection.waker.wakeup();
            }
            if !state.idle() {
                continue;
            }
            match state.leaving {
                None if now - state.used > state.patience(keep, house) => {
                    state.leaving = Some(now);
                    connection.write(house, &mut state, &[b"0", b"goaway"]);
                }
                Some(since)
                    if now - since > house.limits.goodbye && now - state.used > house.limits.goodbye =>
                {
                    state.parting = true;
                    connection.waker.wakeup();
                }
                _ => {}
            }
        }
        lock(&self.parting).iter().for_each(|connection| connection.waker.wakeup());
        self.room.ring();
    }

    /// Asks all connections on which nothing is owed to be left: the process ends soon.
    pub fn goodbye(&self, house: &House) {
        for connection in self.lock().values() {
            let mut state = connection.lock();
            if state.idle() && state.leaving.is_none() {
                state.leaving = Some(house.clock.now());
                connection.write(house, &mut state, &[b"0", b"goaway"]);
            }
        }
    }

    /// Ends all connections on which nothing is owed, so that none is cut off by the end of the process. One that came
    /// after `since` and has said nothing yet is left to say it: ended, its gateway would only come once more.
    pub fn part_all(&self, since: f64) {
        for connection in self.lock().values() {
            let mut state = connection.lock();
            let new = state.messages == 0 && state.since > since;
            if state.idle() && !state.parting && !new {
                state.parting = true;
                connection.waker.wakeup();
            }
        }
    }

    /// Closes the connection that can best be done without: one that has said nothing yet, else one that came
    /// once, else any, and of its kind the one that lay unused for longest. A gateway that sends there at this
    /// moment sends once more. Whether there is any.
    fn make_room(&self) -> bool {
        let connections = self.lock();
        let idle = connections.values().filter_map(|connection| {
            let state = connection.lock();
            let free = state.idle() && !state.parting;
            free.then(|| (state.messages.min(2), state.used, connection))
        });
        let Some((.., connection)) = idle.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) else {
            return false;
        };
        connection.lock().parting = true;
        connection.waker.wakeup();
        true
    }

    /// Whether one more descriptor may be held. If not, the connection that parts longest ends, or an idle one begins
    /// to part: descriptors are for who comes with work. With all at work one more is taken only to be turned away,
    /// on the descriptor that the process keeps for that.
    fn free(&self, most: usize) -> bool {
        if self.held.load(Ordering::Relaxed) < most {
            return true;
        }
        match lock(&self.parting).pop_front() {
            Some(oldest) => oldest.waker.wakeup(),
            None => return !self.make_room(),
        }
        false
    }

    /// Whether a connection may go on parting.
    fn parting(&self, connection: &Arc<Connection>) -> bool {
        lock(&self.parting).iter().any(|other| Arc::ptr_eq(other, connection))
    }

    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Arc<Connection>>> {
        lock(&self.connections)
    }
}

/// Accepts for as long as the process lives. Nothing waits in the backlog, where it would be read by nobody:
/// with all seats taken the idlest connection makes room, and where all are at work the new one closes.
pub fn listen(house: &Arc<House>, listener: TcpListener) {
    let mut serial = 0;
    loop {
        while !house.gateways.free(house.limits.connections) {
            house.gateways.room.wait();
        }
        match listener.accept() {
            Ok((stream, _)) => {
                serial += 1;
                let _ = stream.set_nodelay(true);
                // One that was to make room may have got work meanwhile, so that there are a few over the seats.
                let over = house.gateways.count().saturating_sub(house.limits.gateways - 1);
                let full = house.gateways.held.load(Ordering::Relaxed) >= house.limits.connections;
                if full || over > house.limits.outgoing || over > 0 && !house.gateways.make_room() {
                    house.tally.complain(
                        house,
                        format_args!("gateway: no seat for a new connection, all are at work"),
                    );
                    continue;
                }
                let socket = Socket::new(house, stream);
                let connection = Arc::new(Connection::new(house, &socket.stream));
                house.gateways.lock().insert(serial, connection.clone());
                let seat = Seat { house: house.clone(), connection, serial };
                may::go!(move || attend(&seat, socket));
                // The new one is read, and the one that made room has ended or got work, before the next comes: whoever
                // only yields here goes first again, and none of them would get to run.
                coroutine::yield_now();
                if house.gateways.count() > house.limits.gateways {
                    house.gateways.room.wait();
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

/// A gateway's socket, whose descriptor counts until it is closed.
struct Socket {
    // Fields are dropped in their order: closed first, then no longer counted.
    stream: TcpStream,
    _held: Held,
}

impl Socket {
    fn new(house: &Arc<House>, stream: TcpStream) -> Socket {
        house.gateways.held.fetch_add(1, Ordering::Relaxed);
        Socket { stream, _held: Held(house.clone()) }
    }
}

struct Held(Arc<House>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.gateways.held.fetch_sub(1, Ordering::Relaxed);
        self.0.gateways.room.ring();
    }
}

/// A connection's place among the others; whatever ends it, its txns count as gone.
struct Seat {
    house: Arc<House>,
    connection: Arc<Connection>,
    serial: usize,
}

impl Seat {
    /// Frees the seat: nothing more is taken or owed here.
    fn leave(&self) {
        if self.house.gateways.lock().remove(&self.serial).is_some() {
            self.house.gateways.room.ring();
        }
        let mut state = self.connection.lock();
        state.closed = true;
        state.open.drain().for_each(|(_, slip)| slip.say(Word::Gone));
    }

    /// Ends the connection: what is written goes out, then FIN, and what still comes is read and passed over for a
    /// while. Closed over unread bytes it would be reset, and the reset overtakes answers that are on their way. What
    /// is passed over was never taken: its gateway sends it once more.
    fn part(&self, stream: &TcpStream) {
        let (house, connection) = (&*self.house, &self.connection);
        self.leave();
        lock(&house.gateways.parting).push_back(connection.clone());
        let (until, mut left) = (house.clock.now() + house.limits.parting, house.limits.parting_bytes);
        let mut ended = false;
        loop {
            if !ended {
                match connection.flush(house, &mut connection.lock(), stream) {
                    Ok(true) => ended = stream.shutdown(Shutdown::Write).is_ok(),
                    Ok(false) => {}
                    Err(_) => return,
                }
            }
            let mut bytes = [0; 1024];
            match stream.inner().read(&mut bytes) {
                Ok(0) => return,
                Ok(count) if count < left => {
                    left -= count;
                    continue;
                }
                Ok(_) => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            if house.clock.now() > until || !house.gateways.parting(connection) {
                return;
            }
            stream.wait_io();
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.leave();
        lock(&self.house.gateways.parting).retain(|other| !Arc::ptr_eq(other, &self.connection));
        let mut state = self.connection.lock();
        self.house.gateways.unsent.fetch_sub(state.out.len(), Ordering::Relaxed);
        state.out = Ring::new(1, 1);
    }
}

/// The life of a connection. The socket is handed over whole: a closure would take its parts, and count it no more.
fn attend(seat: &Seat, socket: Socket) {
    serve(seat, &socket.stream);
}

fn serve(seat: &Seat, stream: &TcpStream) {
    match talk(&seat.house, stream, &seat.connection) {
        Ok(End::Gone) => {}
        Ok(End::Parts) => seat.part(stream),
        Err(what) => {
            seat.house.tally.complain(&seat.house, format_args!("gateway: a connection closed: {what}"));
            seat.part(stream);
        }
    }
}

/// Reads and writes until the connection ends; an error says what the gateway did wrong.
fn talk(house: &Arc<House>, stream: &TcpStream, connection: &Arc<Connection>) -> Result<End, String> {
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
                take(house, connection, &array)?;
                input.consume(size);
                whole += 1;
            }
            connection.lock().progress(whole, input.is_empty(), house.clock.now());
            if input.len() > house.limits.message {
                return Err("an oversized message".into());
            }
            if count > house.limits.turn {
                break (false, true);
            }
        };
        let mut state = connection.lock();
        let written = connection.flush(house, &mut state, stream);
        if ended || state.closed || written.is_err() {
            return Ok(End::Gone);
        }
        // Only now that all that has come is read: a request that crossed the wish to close is served.
        if !more && std::mem::take(&mut state.parting) && state.idle() {
            state.closed = true;
            return Ok(End::Parts);
        }
        // All that has come is read: what is unfinished now has had its time. Answers that are owed go out first.
        let late = |since| house.clock.now() - since > house.limits.message_wait;
        if !more && state.open.is_empty() && state.unfinished.is_some_and(late) {
            return Err(if input.is_empty() { "no first message" } else { "an unfinished message" }.into());
        }
        drop(state);
        if more {
            coroutine::yield_now();
        } else {
            stream.wait_io();
        }
    }
}

/// One message of a gateway.
fn take(house: &Arc<House>, connection: &Arc<Connection>, array: &Array) -> Result<(), String> {
    let tag = resp::decimal(array.at(1)).filter(|&tag| tag > 0);
    let tag = tag.ok_or("a tag that is no number from 1 up")?;
    let mut state = connection.lock();
    // What stands behind the message at which it was cut off is not taken: its answer could not go out.
    if state.closed {
        return Ok(());
    }
    state.used = house.clock.now();
    match array.at(0) {
        b"CANCEL" => {
            if let Some(slip) = state.open.remove(&tag) {
                slip.say(Word::Gone);
            }
            return Ok(());
        }
        b"CALL" | b"CHECK" => {}
        _ => return Err("an unknown verb".into()),
    }
    if !state.tags.take(tag, house.limits.tags) {
        return Err(format!("tag {tag} used again"));
    }
    if array.at(0) == b"CHECK" {
        state.checks = true;
        let word: &[u8] = if house.desk.serving() { b"serving" } else { b"not_serving" };
        let mut fields = Vec::new();
        house.desk.put_signal(&mut fields);
        connection.write(house, &mut state, &[array.at(1), word, &fields]);
        return Ok(());
    }
    state.checks = false;
    if state.open.len() >= house.limits.open {
        return Err("too many open txns".into());
    }
    let slip = Arc::new(Slip::default());
    state.open.insert(tag, slip.clone());
    drop(state);
    match txn::Read::new(&house.warrant.terms, array, &house.prints) {
        Ok(read) => txn::begin(house, read, slip, connection.clone(), tag),
        Err(what) => {
            house.tally.complain(house, format_args!("gateway: tag {tag} voided unread: {what}"));
            connection.answer(house, tag, "500", &[], &[]);
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
