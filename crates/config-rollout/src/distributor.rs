//! One of the four machines' side: what each server has, what is on its way, and how many bytes it may be sent. It decides nothing; what a
//! server should have stands in the replicated history, so that any number of distributors may be at work, each on a replica of its own.
//!
//! A server gets a change from what it holds, or a whole content if that is shorter. Its bytes come out of its own bucket; a bucket begins
//! empty, so that a server that goes from one distributor to the next gains nothing. Bodies of more than one piece wait for a place, in an
//! order drawn by seed and then first come first served, so that a mass restart is spread and nobody waits forever.

use crate::history::History;
use crate::seal::Head;
use crate::words::{self, Ack, Piece, Tell, Way, PIECE};
use puffinladder_leases::{Epoch, SeededRandom};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Bytes a second to one server, and how many may come at once. Their sum is the most in any one second.
    pub rate: f64,
    pub burst: f64,
    /// The same over all servers.
    pub rate_all: f64,
    pub burst_all: f64,
    /// Servers that are sent bodies of more than one piece at once.
    pub catch_ups: usize,
    /// s without progress after which a body is sent again from where the server is, or its place goes to the next.
    pub retry: f64,
    /// s of silence after which nothing more is sent to a server, and after which it is forgotten.
    pub silent: f64,
    pub forget: f64,
    /// s between two lines to a server that has what it should have.
    pub beat: f64,
    /// Servers at once.
    pub servers: usize,
}

impl Default for Rules {
    /// 12 KB in any second; a machine sends no more than 2 MB a second.
    fn default() -> Rules {
        Rules {
            rate: 8000.0,
            burst: 4000.0,
            rate_all: 2e6,
            burst_all: 5e5,
            catch_ups: 256,
            retry: 0.5,
            silent: 3.0,
            forget: 60.0,
            beat: 1.0,
            servers: 10_000,
        }
    }
}

impl Rules {
    /// Says what can't be kept to, if anything.
    pub fn check(&self) -> Result<(), String> {
        // The longest line is a piece as text, its places and digests.
        let least = (PIECE * 4 / 3 + 512) as f64;
        if !(self.burst >= least && self.burst_all >= least) {
            return Err(format!("burst: {} B is less than one piece takes, {least}", self.burst));
        }
        let positive = [
            ("rate", self.rate),
            ("rate-all", self.rate_all),
            ("retry", self.retry),
            ("silent", self.silent),
            ("forget", self.forget),
            ("beat", self.beat),
        ];
        for (name, value) in positive {
            if !(value > 0.0 && value.is_finite()) {
                return Err(format!("{name}: {value} is out of range, more than 0 is meant"));
            }
        }
        if self.catch_ups == 0 || self.servers == 0 {
            return Err("catch-ups, servers: 1 at the least".into());
        }
        Ok(())
    }
}

/// Bytes that may be sent, filled by time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    has: f64,
    at: f64,
}

impl Bucket {
    fn fill(&mut self, now: f64, rate: f64, burst: f64) {
        self.has = (self.has + (now - self.at).max(0.0) * rate).min(burst);
        self.at = self.at.max(now);
    }
}

/// A body on its way to one server.
struct Sending {
    way: Way,
    body: Arc<Vec<u8>>,
    /// Sent up to there; told to be there by the server.
    at: usize,
    got: usize,
    /// When something was sent, and when the server had more.
    progress: f64,
    moved: f64,
}

struct Server {
    incarnation: u64,
    serial: u64,
    holds: Head,
    in_force: Head,
    /// What it will not have.
    refused: Option<Head>,
    got: Option<(Way, u32)>,
    heard: f64,
    bucket: Bucket,
    sending: Option<Sending>,
    /// Stands in the line for a place, or has one.
    waits: bool,
    place: bool,
    told: f64,
}

/// Counted since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub bytes: u64,
    pub lines: u64,
    pub changes: u64,
    pub wholes: u64,
    pub again: u64,
    pub full: u64,
    pub late_views: u64,
}

/// Retries without anything that arrived, after which a place goes to the next in line.
const STALL: f64 = 8.0;
/// Bodies that many servers need at once are worked out once; so many, and so many bytes.
const BODIES: usize = 64;
const BODIES_BYTES: usize = 16 << 20;

/// From which version, to which, and the body.
type Bodies = VecDeque<(Option<Head>, Head, Arc<Vec<u8>>)>;

pub struct Distributor {
    rules: Rules,
    servers: BTreeMap<String, Server>,
    line: VecDeque<String>,
    places: usize,
    bodies: Bodies,
    bucket: Bucket,
    /// Where the last round ended: the next one begins there.
    next: String,
    /// Epoch and entry of the latest history that it worked by.
    seen: (Epoch, u64),
    seed: u64,
    counts: Counts,
}

impl Distributor {
    pub fn new(rules: Rules, seed: u64, now: f64) -> Distributor {
        let bucket = Bucket { has: rules.burst_all, at: now };
        Distributor {
            rules,
            servers: BTreeMap::new(),
            line: VecDeque::new(),
            places: 0,
            bodies: VecDeque::new(),
            bucket,
            next: String::new(),
            seen: (0, 0),
            seed,
            counts: Counts::default(),
        }
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }
    pub fn servers(&self) -> usize {
        self.servers.len()
    }
    /// Servers with a body of more than one piece on its way.
    pub fn catching_up(&self) -> usize {
        self.places
    }
    /// Bytes of bodies that it keeps.
    pub fn bodies_bytes(&self) -> usize {
        self.bodies.iter().map(|(.., body)| body.len()).sum()
    }
    /// Whether a server has bytes here that wait for it.
    pub fn sends_to(&self, server: &str) -> bool {
        self.servers.get(server).is_some_and(|server| server.sending.is_some())
    }

    /// A server's word. Whether it is served here; if not there is no room.
    pub fn heard(&mut self, now: f64, ack: &Ack) -> bool {
        let name = &ack.owner.instance;
        if !self.servers.contains_key(name) && self.servers.len() >= self.rules.servers {
            self.counts.full += 1;
            return false;
        }
        let server = self.servers.entry(name.clone()).or_insert_with(|| Server {
            incarnation: 0,
            serial: 0,
            holds: ack.holds,
            in_force: ack.in_force,
            refused: None,
            got: None,
            heard: now,
            bucket: Bucket { has: 0.0, at: now },
            sending: None,
            waits: false,
            place: false,
            told: f64::MIN,
        });
        // What was said before, and comes after.
        if (ack.owner.incarnation, ack.serial) <= (server.incarnation, server.serial) {
            return true;
        }
        let restarted = ack.owner.incarnation > server.incarnation;
        (server.incarnation, server.serial) = (ack.owner.incarnation, ack.serial);
        server.heard = now;
        (server.holds, server.in_force) = (ack.holds, ack.in_force);
        server.refused = ack.refused.as_ref().map(|refused| refused.head);
        server.got = ack.got;
        let over = server.sending.as_ref().is_some_and(|sending| {
            let based = sending.way.from.is_none_or(|from| from == ack.holds || from == ack.in_force);
            let done = sending.way.to.number <= ack.holds.number || server.refused == Some(sending.way.to);
            restarted || done || !based
        });
        if over {
            self.stop(name);
        } else if let Some(sending) = &mut server.sending {
            let got = server.got.filter(|(way, _)| *way == sending.way).map_or(0, |(_, at)| at as usize);
            if got > sending.got {
                (sending.progress, sending.moved) = (now, now);
            }
            // Less than before where a body came to its end and was not what its digest says.
            sending.got = got;
        }
        true
    }

    /// A link to a server has ended: what was on its way there is dropped.
    pub fn left(&mut self, server: &str) {
        self.stop(server);
        self.servers.remove(server);
    }

    fn stop(&mut self, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.sending = None;
            if std::mem::take(&mut server.place) {
                self.places -= 1;
            }
        }
    }

    /// What is to be sent now, each line to its server; `age` is how old this replica of the history is, in s. A replica that is behind
    /// one that was worked by before says nothing.
    pub fn pump(&mut self, now: f64, history: &History, age: f64) -> Vec<(String, Tell)> {
        let view = (history.epoch(), history.applied());
        if view.0 < self.seen.0 || view.1 < self.seen.1 {
            self.counts.late_views += 1;
            return Vec::new();
        }
        self.seen = view;
        self.tidy(now);
        self.queue(history);
        self.bucket.fill(now, self.rules.rate_all, self.rules.burst_all);
        // Everybody's turn comes: the first for whom a round had no bytes left is the next one's first.
        let from = std::mem::take(&mut self.next);
        let names: Vec<String> = self
            .servers
            .range(from.clone()..)
            .chain(self.servers.range(..from))
            .map(|(n, _)| n.clone())
            .collect();
        let mut out = Vec::new();
        for name in names {
            self.serve(now, history, age, name, &mut out);
        }
        out
    }

    /// Whoever is silent keeps no body and no place, and in the end is forgotten.
    fn tidy(&mut self, now: f64) {
        let silent: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, s)| now - s.heard > self.rules.silent)
            .map(|(n, _)| n.clone())
            .collect();
        for name in silent {
            self.stop(&name);
            if self.servers.get(&name).is_some_and(|server| now - server.heard > self.rules.forget) {
                self.servers.remove(&name);
            }
        }
        let stuck = |server: &Server| {
            server.sending.as_ref().is_some_and(|s| now - s.moved > STALL * self.rules.retry)
        };
        let stuck: Vec<String> =
            self.servers.iter().filter(|(_, s)| s.place && stuck(s)).map(|(n, _)| n.clone()).collect();
        for name in stuck {
            self.stop(&name);
        }
        let servers = &self.servers;
        self.line.retain(|name| servers.get(name).is_some_and(|server| server.waits));
    }

    /// What a server should be brought to, if it lacks it.
    fn lacks(&self, history: &History, name: &str, server: &Server) -> Option<Head> {
        let target = history.known(history.stage().target(name))?;
        let lacks = server.holds.number < target.number && server.refused != Some(target);
        lacks.then_some(target)
    }

    /// The shorter of a change and a whole content.
    fn body(&mut self, history: &History, holds: Head, to: Head) -> Option<(Way, Arc<Vec<u8>>)> {
        let cached = |from: Option<Head>, bodies: &Bodies| {
            bodies.iter().find(|(f, t, _)| *f == from && *t == to).map(|(.., body)| body.clone())
        };
        let from = Some(holds).filter(|holds| history.knows(*holds));
        let change = match from {
            None => None,
            Some(holds) => Some(match cached(from, &self.bodies) {
                Some(body) => body,
                None => {
                    let change = history.between(holds.number, to.number)?;
                    self.keep(from, to, words::body_of_change(&change))
                }
            }),
        };
        if let (Some(from), Some(body)) = (from, change.as_ref().filter(|body| body.len() <= PIECE)) {
            return Some((way(Some(from), to, body), body.clone()));
        }
        let whole = match cached(None, &self.bodies) {
            Some(body) => body,
            None => self.keep(None, to, words::body_of_content(&history.content_at(to.number)?)),
        };
        let (from, body) = match change {
            Some(change) if change.len() <= whole.len() => (from, change),
            _ => (None, whole),
        };
        Some((way(from, to, &body), body))
    }

    fn keep(&mut self, from: Option<Head>, to: Head, body: Vec<u8>) -> Arc<Vec<u8>> {
        let body = Arc::new(body);
        self.bodies.push_back((from, to, body.clone()));
        while self.bodies.len() > BODIES || (self.bodies.len() > 1 && self.bodies_bytes() > BODIES_BYTES) {
            self.bodies.pop_front();
        }
        body
    }

    /// Puts those into the line who lack something, newcomers in a drawn order, and gives places to the first of it.
    fn queue(&mut self, history: &History) {
        let lacking = |(name, server): (&String, &Server)| {
            let idle = server.sending.is_none() && !server.waits;
            (idle && self.lacks(history, name, server).is_some()).then(|| name.clone())
        };
        let mut new: Vec<String> = self.servers.iter().filter_map(lacking).collect();
        new.sort_by_cached_key(|name| {
            let seed = name
                .bytes()
                .fold(self.seed, |seed, byte| SeededRandom::new(seed ^ u64::from(byte)).next_u64());
            (seed, name.clone())
        });
        for name in new {
            if let Some(server) = self.servers.get_mut(&name) {
                server.waits = true;
                self.line.push_back(name);
            }
        }
    }

    /// A body for whoever stands in line; those of one piece need no place.
    fn begin(&mut self, now: f64, history: &History, name: &str) {
        let Some(server) = self.servers.get(name).filter(|server| server.waits) else { return };
        if now - server.heard > self.rules.silent {
            return;
        }
        let Some(to) = self.lacks(history, name, server) else {
            if let Some(server) = self.servers.get_mut(name) {
                server.waits = false;
            }
            return;
        };
        let (holds, got) = (server.holds, server.got);
        let Some((way, body)) = self.body(history, holds, to) else { return };
        let long = body.len() > PIECE;
        if long && !self.first_in_line(name) {
            return;
        }
        let at = got.filter(|(of, _)| *of == way).map_or(0, |(_, at)| at as usize);
        let Some(server) = self.servers.get_mut(name) else { return };
        server.waits = false;
        server.place = long;
        self.places += usize::from(long);
        self.counts.changes += u64::from(way.from.is_some());
        self.counts.wholes += u64::from(way.from.is_none());
        server.sending = Some(Sending { way, body, at, got: at, progress: now, moved: now });
    }

    /// Whether a place is free for it: as many are as stand in line before it, of those who still wait.
    fn first_in_line(&self, name: &str) -> bool {
        let free = self.rules.catch_ups.saturating_sub(self.places);
        let waiting =
            self.line.iter().filter(|one| self.servers.get(*one).is_some_and(|server| server.waits));
        waiting.take(free).any(|one| one == name)
    }

    fn serve(&mut self, now: f64, history: &History, age: f64, name: String, out: &mut Vec<(String, Tell)>) {
        let Rules { rate, burst, retry, beat, silent, .. } = self.rules;
        let Some(server) = self.servers.get_mut(&name) else { return };
        server.bucket.fill(now, rate, burst);
        if now - server.heard > silent {
            return;
        }
        // What was taken back is not sent on, nor is a short change begun to what is no longer the target.
        let target = history.stage().target(&name);
        let stale = server.sending.as_ref().is_some_and(|sending| {
            let to = sending.way.to.number;
            let back = history.stage().taken_back.iter().any(|back| back.number <= to && to <= back.last);
            to != target && (back || (sending.at == 0 && sending.body.len() <= PIECE))
        });
        if stale {
            self.stop(&name); // and stands in line again from the next round on
        }
        let Some(server) = self.servers.get_mut(&name) else { return };
        if server.waits && server.sending.is_none() {
            self.begin(now, history, &name);
        }
        let Some(server) = self.servers.get_mut(&name) else { return };
        if let Some(sending) = &mut server.sending {
            let waited = now - sending.progress > retry;
            if waited && sending.at > sending.got {
                // Lost on its way, or broken off: again from where the server is.
                (sending.at, sending.progress) = (sending.got, now);
                self.counts.again += 1;
            }
            while sending.at < sending.body.len() {
                let end = (sending.at + PIECE).min(sending.body.len());
                let bytes = sending.body[sending.at..end].to_vec();
                let tell = Tell::Piece(Piece { way: sending.way, at: sending.at as u32, bytes });
                let cost = tell.bytes() as f64;
                if cost > self.bucket.has && self.next.is_empty() {
                    self.next = name.clone();
                }
                if cost > server.bucket.has || cost > self.bucket.has {
                    break;
                }
                server.bucket.has -= cost;
                self.bucket.has -= cost;
                self.counts.bytes += cost as u64;
                self.counts.lines += 1;
                sending.at = end;
                sending.progress = sending.progress.max(now);
                out.push((name.clone(), tell));
            }
            return;
        }
        let Some(head) = history.known(history.stage().target(&name)) else { return };
        if now - server.told >= beat {
            let tell = Tell::target(history.seal(), &name, head, age, server.serial);
            let cost = tell.bytes() as f64;
            if cost <= server.bucket.has && cost <= self.bucket.has {
                server.bucket.has -= cost;
                self.bucket.has -= cost;
                self.counts.bytes += cost as u64;
                self.counts.lines += 1;
                server.told = now;
                out.push((name, tell));
            }
        }
    }
}

fn way(from: Option<Head>, to: Head, body: &[u8]) -> Way {
    Way { from, to, total: body.len() as u32 }
}

#[cfg(test)]
mod tests;
