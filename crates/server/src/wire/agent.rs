//! The link to the agent that owns the cores: commands out, numbered notices in, one JSON object a line.

use super::ring::{Filled, Ring};
use crate::life::House;
use crate::lock::lock;
use crate::memory::hands::{Name, Word};
use base64::prelude::{Engine, BASE64_STANDARD};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use puffinladder::{Gauges, Outcome};
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

pub struct Agent {
    link: Mutex<Link>,
    greeted: AtomicBool,
}

struct Link {
    out: Ring,
    waker: Option<WaitIoWaker>,
    /// Commands go out. While a new link still replays old notices they don't: it is not yet known which of
    /// the earlier ones were heard, and `Word::Resume` has them said again.
    open: bool,
    /// The last sample asked for and the last one answered: what went out before a sample that was answered
    /// on the same link has been heard.
    asked: u64,
    answered: u64,
    /// When the mark behind the replayed notices was asked for.
    marked: f64,
    broken: bool,
}

impl Agent {
    pub fn new(buffer: usize, unsent: usize) -> Agent {
        let link = Link {
            out: Ring::new(buffer, unsent),
            waker: None,
            open: false,
            asked: 0,
            answered: 0,
            marked: f64::MAX,
            broken: false,
        };
        Agent { link: Mutex::new(link), greeted: AtomicBool::new(false) }
    }

    fn lock(&self) -> MutexGuard<'_, Link> {
        lock(&self.link)
    }

    /// Whether the agent has come up.
    pub fn greeted(&self) -> bool {
        self.greeted.load(Ordering::Relaxed)
    }

    /// Whether the command that got this stamp has been heard for sure.
    pub fn heard(&self, stamp: u64) -> bool {
        stamp < self.lock().answered
    }

    pub fn launch(&self, name: &Name, class: &str, body: &[u8]) -> u64 {
        let mut line = command("launch", name);
        line.extend_from_slice(b",\"class\":");
        line.extend_from_slice(Value::from(class).to_string().as_bytes());
        put_body(&mut line, body);
        self.send(line)
    }
    pub fn freeze(&self, name: &Name) -> u64 {
        self.send(command("freeze", name))
    }
    pub fn thaw(&self, name: &Name) -> u64 {
        self.send(command("thaw", name))
    }
    pub fn deliver(&self, name: &Name, body: &[u8]) -> u64 {
        let mut line = command("deliver", name);
        put_body(&mut line, body);
        self.send(line)
    }
    pub fn forgo(&self, name: &Name, notice: u64) -> u64 {
        let mut line = command("forgo", name);
        line.extend_from_slice(format!(",\"seq\":{notice}").as_bytes());
        self.send(line)
    }
    /// Asks for the gauges; tags rise.
    pub fn sample(&self, tag: u64) {
        let mut link = self.lock();
        if link.open {
            link.put(sample(&tag.to_string()));
            link.asked = tag;
        }
    }

    /// Breaks a new link whose mark was asked for before `since` and has not come: nothing may go out on it.
    pub fn hurry(&self, since: f64) {
        let mut link = self.lock();
        if !link.open && link.marked < since {
            link.broken = true;
            link.wake();
        }
    }

    /// Has the link look whether its address still holds.
    pub fn look(&self) {
        self.lock().wake();
    }

    /// Sends an object that lacks its end, and says under which stamp; one that can't go now is not kept.
    fn send(&self, line: Vec<u8>) -> u64 {
        let mut link = self.lock();
        if !link.open {
            return u64::MAX;
        }
        link.put(line);
        link.asked
    }
}

impl Link {
    fn put(&mut self, mut line: Vec<u8>) {
        line.extend_from_slice(b"}\n");
        if self.out.put(&line).is_err() {
            (self.broken, self.open) = (true, false);
        }
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }
}

fn command(op: &str, name: &Name) -> Vec<u8> {
    let mut line = Vec::with_capacity(4096);
    line.extend_from_slice(b"{\"op\":\"");
    line.extend_from_slice(op.as_bytes());
    line.extend_from_slice(b"\",\"id\":\"");
    line.extend_from_slice(name);
    line.push(b'"');
    line
}

fn sample(tag: &str) -> Vec<u8> {
    format!("{{\"op\":\"sample\",\"tag\":\"{tag}\"").into_bytes()
}

fn put_body(line: &mut Vec<u8>, body: &[u8]) {
    line.extend_from_slice(b",\"body\":\"");
    line.extend_from_slice(BASE64_STANDARD.encode(body).as_bytes());
    line.push(b'"');
}

/// Holds the link open for as long as the process lives.
pub fn run(house: &Arc<House>) {
    let mut heard = 0;
    let mut quiet = false;
    loop {
        let address = house.directory.peers().agent;
        match TcpStream::connect_timeout(&address, house.limits.connect) {
            Ok(stream) => {
                quiet = false;
                let _ = stream.set_nodelay(true);
                let before = heard;
                let Err(end) = talk(house, address, &stream, &mut heard);
                house.agent.lock().close();
                tracing::warn!("agent: link lost behind notice {heard}: {end}");
                // A link that brought something is sought again at once, and so is an agent that moved.
                if heard > before || house.directory.peers().agent != address {
                    continue;
                }
            }
            Err(e) if !std::mem::replace(&mut quiet, true) => tracing::warn!("agent: not reached yet: {e}"),
            Err(_) => {}
        }
        house.chores.wait();
    }
}

impl Link {
    fn close(&mut self) {
        (self.waker, self.open, self.marked, self.broken) = (None, false, f64::MAX, false);
        self.out.consume(usize::MAX);
    }
}

/// Speaks until the link ends, and says why it did.
fn talk(
    house: &Arc<House>,
    address: SocketAddr,
    stream: &TcpStream,
    heard: &mut u64,
) -> Result<Infallible, String> {
    let mut input = Ring::new(house.limits.buffer, house.limits.line);
    {
        let mut link = house.agent.lock();
        link.close();
        link.waker = Some(stream.waker());
        link.put(format!("{{\"op\":\"subscribe\",\"seq\":{heard}").into_bytes());
    }
    loop {
        loop {
            match input.fill_from(stream.inner()).map_err(|e| e.to_string())? {
                Filled::Bytes(_) => {}
                Filled::NotYet => break,
                Filled::Ended => return Err("closed by the agent".into()),
            }
            while let Some(end) = input.whole().iter().position(|&b| b == b'\n') {
                let line = serde_json::from_slice(&input.whole()[..end]);
                let line = line.map_err(|e| format!("a line that is not JSON: {e}"))?;
                input.consume(end + 1);
                hear(house, &line, heard)?;
            }
            if input.is_full() {
                return Err("an oversized line".into());
            }
        }
        if house.directory.peers().agent != address {
            return Err("the agent is found elsewhere now".into());
        }
        let mut link = house.agent.lock();
        if link.broken {
            return Err("it reads too slowly or answers no sample".into());
        }
        link.out.drain_to(stream.inner()).map_err(|e| e.to_string())?;
        drop(link);
        stream.wait_io();
    }
}

/// Lets commands out, if they were not: all notices of old are read, and txns say again what was not heard.
fn open(house: &House) {
    if !std::mem::replace(&mut house.agent.lock().open, true) {
        house.desk.resume();
        house.desk.start();
    }
}

/// The tag of the sample that marks where replayed notices end.
const MARK: &str = "mark";

/// One line of the agent.
fn hear(house: &Arc<House>, line: &Value, heard: &mut u64) -> Result<(), String> {
    let word = |key: &str| line.get(key).and_then(Value::as_str).unwrap_or_default();
    if let Some(seq) = line.get("seq").and_then(Value::as_u64) {
        if seq <= *heard {
            return Ok(());
        }
        // Counted before it is read further: one that can't be read would come again on every new link.
        if seq > *heard + 1 {
            tracing::warn!("agent: notices {} to {} are missing", *heard + 1, seq - 1);
        }
        *heard = seq;
    }
    let body = || BASE64_STANDARD.decode(word("body")).map_err(|_| "a body that is not base64".to_string());
    let to = |what: Word| {
        let slip = Name::try_from(word("id").as_bytes()).ok().and_then(|name| house.desk.slip(&name));
        match slip {
            Some(slip) => slip.say(what),
            None => {
                let (op, id) = (word("op"), word("id"));
                house.tally.complain(house, format_args!("agent: {op} for a txn that is not in hand: {id}"));
            }
        }
    };
    match word("op") {
        "greeting" => {
            tracing::info!("agent: link is up, the agent is {}", word("end"));
            let mut link = house.agent.lock();
            link.marked = house.clock.now();
            link.put(sample(MARK));
            drop(link);
            // The first link has nothing old to tell.
            if !house.agent.greeted.swap(true, Ordering::Relaxed) {
                open(house);
            }
        }
        "sampled" if word("tag") == MARK => open(house),
        "sampled" => {
            let mut gauges = Gauges::default();
            let values = line.get("values").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
            for (value, meter) in values.iter().zip(&house.warrant.terms.meters) {
                meter.show(value.as_f64().unwrap_or_default(), &mut gauges);
            }
            if let Ok(tag) = word("tag").parse() {
                house.agent.lock().answered = tag;
                house.desk.gauges(tag, gauges);
            }
        }
        "request" => {
            to(Word::AtCall {
                seq: line.get("seq").and_then(Value::as_u64).unwrap_or_default(),
                body: body()?,
            });
        }
        "outcome" => {
            let outcome = match word("end") {
                "fine" => Outcome::Completed,
                "broken_off" => Outcome::Cancelled,
                "late" => Outcome::NotNeeded,
                _ => Outcome::Failed,
            };
            let took = line.get("ms").and_then(Value::as_f64).unwrap_or_default() / 1e3;
            to(Word::Ended { outcome, took, body: body()? });
        }
        "refusal" => {
            let (end, id) = (word("end"), word("id"));
            house.tally.complain(house, format_args!("agent: {end} refused for {id}"));
            if word("end") == "launch" {
                to(Word::Ended { outcome: Outcome::NotNeeded, took: 0.0, body: Vec::new() });
            }
        }
        _ => tracing::debug!("agent: passed over: {line}"),
    }
    Ok(())
}
