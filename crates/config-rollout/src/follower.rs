//! A server's side. Pieces go in, in any order and from anybody; out comes a whole content that may be put in force between two rounds,
//! and nothing else. The host asks [`Follower::next`], puts that in force, and says so by [`Follower::in_force`]; only then is it
//! acknowledged. Times are s by the server's own monotonic clock.
//!
//! What goes to its own disk as last good is a version under which it has lived for a while: one under which it fell at once would make it
//! fall again at every start, faster than the remedy reaches it.
//!
//! A content becomes applicable once it is complete, its digest is right under its number, and the server's own checks passed. Versions
//! never go back, and of two contents under one number the first stays.

use crate::check::Checker;
use crate::content::{Change, Content};
use crate::seal::{Digest, Head, Seal};
use crate::words::{Ack, Piece, Refused, Tell, Way, BODY};
use puffinladder_leases::sent_times::SentTimes;
use puffinladder_leases::HolderId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use thiserror::Error;

/// Bodies that may be on their way here at once, from whichever distributors.
const BODIES: usize = 3;
/// Versions whose digests stay known, versions refused, conflicts told of, and bytes of a cause.
const KNOWN: usize = 256;
const REFUSED: usize = 16;
const CONFLICTS: usize = 8;
const CAUSE: usize = 256;
/// Acknowledgements that may be unanswered and still be counted from.
const SENT: usize = 64;
/// s between two acknowledgements where nothing happens.
pub const BEAT: f64 = 1.0;
/// The same for as long as a version is new, so that its owner soon knows how a server fares under it.
pub const NEW_BEAT: f64 = 0.25;
/// s that a server lives and is well under a version before that is its last good one.
pub const GOOD: f64 = 1.0;
/// s between two in any case: whoever sends nonsense gets no answer to each line of it.
pub const SOON: f64 = 0.02;

/// A content and what it is called.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub head: Head,
    pub content: Arc<Content>,
}

/// Two contents under one number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    pub number: u64,
    pub kept: Digest,
    pub other: Digest,
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// There is a version to be put in force.
    Ready(Head),
    /// More of the body is to come.
    More,
    /// Known already, or older than what is held.
    Old,
    /// Bytes before these are missing, or the version that it changes.
    Gap,
    Wrong(Fault),
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("a piece that claims what can't be: {0}")]
    Unfit(&'static str),
    #[error("the body of version {0} can't be read")]
    Torn(u64),
    #[error("the digest of version {0} is not that of its content")]
    Digest(u64),
    #[error("version {}: here with digest {}, sent with {}", .0.number, .0.kept, .0.other)]
    Conflict(Conflict),
    #[error("version {number} refused: {cause}")]
    Refused { number: u64, cause: String },
}

/// Counted since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub pieces: u64,
    pub in_force: u64,
    pub old: u64,
    pub gaps: u64,
    pub unfit: u64,
    pub torn: u64,
    pub digests: u64,
    pub conflicts: u64,
    pub refused: u64,
}

/// What it began with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Began {
    /// The last good version from its own disk.
    LastGood(Head),
    /// Its start file alone, and why, where there was something on its disk.
    StartFile(Option<String>),
}

#[derive(Clone, Debug, PartialEq)]
struct Body {
    way: Way,
    bytes: Vec<u8>,
}

/// What stands on a server's own disk.
#[derive(Serialize, Deserialize)]
struct Kept {
    format: u32,
    head: Head,
    content: Content,
}
const FORMAT: u32 = 1;

#[derive(Clone, Debug, PartialEq)]
pub struct Follower {
    me: HolderId,
    zone: String,
    seal: Seal,
    in_force: Held,
    since: f64,
    ready: Option<Held>,
    /// What becomes its last good version, unless it falls before then, and since when that has been in force.
    proves: Option<(Held, f64)>,
    /// What is on its disk, as far as it knows; what is being written.
    kept: Option<Head>,
    writes: Option<Head>,
    /// The one that grew last stands last.
    bodies: Vec<Body>,
    /// Digests that were right here.
    known: BTreeMap<u64, Digest>,
    refused: VecDeque<Refused>,
    conflicts: VecDeque<Conflict>,
    counts: Counts,
    unsaved: Option<String>,
    healthy: bool,
    /// What it should have, as it was last told.
    target: Option<Head>,
    /// Until when what is in force is known to be what it should be.
    fresh: Option<f64>,
    sent: SentTimes,
    acked: Option<f64>,
    urgent: bool,
}

fn short(mut text: String) -> String {
    let mut end = CAUSE.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}

impl Follower {
    /// Begins with what its disk holds, or with its start file, without waiting for anybody.
    pub fn start(
        me: HolderId,
        zone: &str,
        seal: Seal,
        disk: Option<&[u8]>,
        checker: &dyn Checker,
    ) -> (Follower, Began) {
        let empty = Held { head: seal.head(0, &Content::default()), content: Arc::default() };
        let (in_force, began) = match disk.map(|bytes| last_good(&seal, bytes, checker)) {
            Some(Ok(held)) => {
                let head = held.head;
                (held, Began::LastGood(head))
            }
            Some(Err(why)) => (empty, Began::StartFile(Some(why))),
            None => (empty, Began::StartFile(None)),
        };
        let follower = Follower {
            me,
            zone: zone.into(),
            seal,
            known: BTreeMap::from([(in_force.head.number, in_force.head.digest)]),
            kept: matches!(began, Began::LastGood(_)).then_some(in_force.head),
            in_force,
            since: f64::MIN,
            ready: None,
            proves: None,
            writes: None,
            bodies: Vec::new(),
            refused: VecDeque::new(),
            conflicts: VecDeque::new(),
            counts: Counts::default(),
            unsaved: None,
            healthy: true,
            target: None,
            fresh: None,
            sent: SentTimes::new(0, SENT),
            acked: None,
            urgent: true,
        };
        (follower, began)
    }

    pub fn me(&self) -> &HolderId {
        &self.me
    }
    pub fn works_by(&self) -> &Held {
        &self.in_force
    }
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
    /// The latest of two contents under one number.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.conflicts.iter()
    }

    fn holds(&self) -> &Held {
        self.ready.as_ref().unwrap_or(&self.in_force)
    }

    /// What is to be put in force now, whole; it is newer than what is.
    pub fn next(&self) -> Option<&Held> {
        self.ready.as_ref()
    }

    /// The host works by that version from now on; false where it is not the one that was to be put in force.
    pub fn in_force(&mut self, now: f64, head: Head) -> bool {
        let Some(ready) = self.ready.take_if(|ready| ready.head == head) else { return false };
        (self.in_force, self.since) = (ready, now);
        // The one before may yet prove good: versions that follow fast on each other must not keep all of them off the disk.
        self.proves.get_or_insert_with(|| (self.in_force.clone(), now));
        self.counts.in_force += 1;
        self.urgent = true;
        true
    }

    /// The host could not put it in force: it stays with what it has.
    pub fn refuse(&mut self, head: Head, cause: &str) {
        if self.ready.as_ref().is_some_and(|ready| ready.head == head) {
            self.ready = None;
            self.refused(head, cause.into());
        }
    }

    /// What the host is to write to its disk in place of what stands there, as soon as a version has proved good; then [`Follower::saved`].
    pub fn save(&mut self, now: f64) -> Option<Vec<u8>> {
        if self.writes.is_some() || !self.healthy {
            return None;
        }
        let (held, _) = self.proves.take_if(|(_, since)| now - *since >= GOOD)?;
        if self.in_force.head != held.head {
            self.proves = Some((self.in_force.clone(), now));
        }
        self.writes = Some(held.head);
        let kept = Kept { format: FORMAT, head: held.head, content: Content::clone(&held.content) };
        // Plain data into memory: there is nothing that could fail.
        postcard::to_allocvec(&kept).ok()
    }

    /// Whether that could be written; a server with a full disk works on, says so and tries again.
    pub fn saved(&mut self, now: f64, outcome: Result<(), String>) {
        let head = self.writes.take();
        match &outcome {
            Ok(()) => self.kept = head,
            Err(_) => drop(self.proves.get_or_insert_with(|| (self.in_force.clone(), now))),
        }
        let unsaved = outcome.err().map(short);
        self.urgent |= unsaved != self.unsaved;
        self.unsaved = unsaved;
    }

    /// What it would begin with after a restart, as far as it knows.
    pub fn kept(&self) -> Option<Head> {
        self.kept
    }

    /// The host's own word on how it fares under what is in force.
    pub fn fares(&mut self, now: f64, healthy: bool) {
        if healthy != self.healthy {
            self.urgent = true;
            let proved = self.kept == Some(self.in_force.head);
            self.proves = (healthy && !proved).then(|| (self.in_force.clone(), now));
        }
        self.healthy = healthy;
    }

    /// A new link to a distributor: it is told at once where this server stands.
    pub fn attached(&mut self) {
        self.urgent = true;
    }

    /// s for which what is in force is not known to be what it should be; none where nobody ever told.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.fresh.map(|fresh| (now - fresh).max(0.0))
    }

    /// What a distributor tells.
    pub fn hear(&mut self, tell: &Tell, checker: &dyn Checker) -> Heard {
        match tell {
            Tell::Piece(piece) => self.piece(piece, checker),
            Tell::Target { head, age, serial, tag } => self.told(*head, *age, *serial, *tag),
        }
    }

    fn told(&mut self, head: Head, age: f64, serial: u64, tag: u64) -> Heard {
        if !(age >= 0.0 && age.is_finite()) {
            self.counts.unfit += 1;
            return Heard::Wrong(Fault::Unfit("an age"));
        }
        if tag != self.seal.tag(&self.me.instance, head, age, serial) {
            self.counts.unfit += 1;
            return Heard::Wrong(Fault::Unfit("its tag"));
        }
        if let Some(conflict) = self.conflict(head) {
            return Heard::Wrong(Fault::Conflict(conflict));
        }
        // A canary is ahead of what others are told.
        self.target = Some(head);
        if self.in_force.head.number >= head.number {
            // An answer to nothing that is known to have been sent says nothing of its age.
            if let Some(sent) = self.sent.sent_at(serial) {
                self.fresh = Some(self.fresh.unwrap_or(f64::MIN).max(sent - age));
            }
            return Heard::Old;
        }
        Heard::Gap
    }

    /// What it was last told that it should have.
    pub fn target(&self) -> Option<Head> {
        self.target
    }

    /// Remembers and tells of another content under a number that is known here.
    fn conflict(&mut self, head: Head) -> Option<Conflict> {
        let kept = *self.known.get(&head.number).filter(|kept| **kept != head.digest)?;
        let conflict = Conflict { number: head.number, kept, other: head.digest };
        self.counts.conflicts += 1;
        self.urgent = true;
        if !self.conflicts.contains(&conflict) {
            self.conflicts.push_back(conflict);
            if self.conflicts.len() > CONFLICTS {
                self.conflicts.pop_front();
            }
        }
        Some(conflict)
    }

    fn refused(&mut self, head: Head, cause: String) -> Heard {
        let cause = short(cause);
        self.counts.refused += 1;
        self.urgent = true;
        self.refused.retain(|one| one.head != head);
        self.refused.push_back(Refused { head, cause: cause.clone() });
        if self.refused.len() > REFUSED {
            self.refused.pop_front();
        }
        Heard::Wrong(Fault::Refused { number: head.number, cause })
    }

    fn unfit(&mut self, what: &'static str) -> Heard {
        self.counts.unfit += 1;
        Heard::Wrong(Fault::Unfit(what))
    }

    fn piece(&mut self, piece: &Piece, checker: &dyn Checker) -> Heard {
        self.counts.pieces += 1;
        let Piece { way, at, bytes } = piece;
        let (total, at) = (way.total as usize, *at as usize);
        if total == 0 || total > BODY {
            return self.unfit("a body's length");
        }
        if bytes.is_empty() || at.checked_add(bytes.len()).is_none_or(|end| end > total) {
            return self.unfit("a place in its body");
        }
        if way.from.is_some_and(|from| from.number >= way.to.number) {
            return self.unfit("a change that leads back");
        }
        if let Some(conflict) = self.conflict(way.to) {
            return Heard::Wrong(Fault::Conflict(conflict));
        }
        if way.to.number <= self.holds().head.number {
            self.counts.old += 1;
            self.urgent = true; // whoever sent it does not know where this server stands
            return Heard::Old;
        }
        if let Some(refused) = self.refused.iter().find(|one| one.head == way.to) {
            let cause = refused.cause.clone();
            self.urgent = true;
            return Heard::Wrong(Fault::Refused { number: way.to.number, cause });
        }
        if way.from.is_some_and(|from| self.base(from).is_none()) {
            self.counts.gaps += 1;
            self.urgent = true;
            return Heard::Gap;
        }
        let Some(body) = self.grow(way, at, bytes) else {
            self.counts.gaps += 1;
            self.urgent = true;
            return Heard::Gap;
        };
        match body {
            None => Heard::More,
            Some(body) => self.whole(body, checker),
        }
    }

    /// The content that a change may be laid over: what is held, or what is in force.
    fn base(&self, from: Head) -> Option<&Held> {
        [Some(&self.in_force), self.ready.as_ref()].into_iter().flatten().find(|held| held.head == from)
    }

    /// Adds a piece to its body; none where bytes before it are missing. The inner is the body once it is complete. A claimed length
    /// reserves nothing, and what stands here already is not written anew.
    fn grow(&mut self, way: &Way, at: usize, bytes: &[u8]) -> Option<Option<Body>> {
        let place = self.bodies.iter().position(|body| body.way == *way);
        let mut body = match place {
            Some(place) => self.bodies.remove(place),
            None if at == 0 => Body { way: *way, bytes: Vec::new() },
            None => return None,
        };
        let have = body.bytes.len();
        let gap = at > have;
        if !gap {
            body.bytes.extend(bytes.iter().skip(have - at));
        }
        if body.bytes.len() >= way.total as usize {
            return Some(Some(body));
        }
        self.bodies.push(body);
        if self.bodies.len() > BODIES {
            self.bodies.remove(0);
        }
        (!gap).then_some(None)
    }

    fn whole(&mut self, body: Body, checker: &dyn Checker) -> Heard {
        let to = body.way.to;
        self.urgent = true;
        let content = match body.way.from {
            None => {
                postcard::from_bytes::<Content>(&body.bytes).ok().filter(|content| content.check().is_ok())
            }
            Some(from) => {
                let change = postcard::from_bytes::<Change>(&body.bytes).ok();
                change.and_then(|change| self.base(from)?.content.after(&change).ok())
            }
        };
        let Some(content) = content else {
            self.counts.torn += 1;
            return Heard::Wrong(Fault::Torn(to.number));
        };
        if self.seal.digest(to.number, &content) != to.digest {
            self.counts.digests += 1;
            return Heard::Wrong(Fault::Digest(to.number));
        }
        if let Err(wrong) = checker.check(&content) {
            // Its digest is right: another content under this number is a conflict from here on.
            self.know(to);
            return self.refused(to, wrong.to_string());
        }
        self.know(to);
        self.ready = Some(Held { head: to, content: Arc::new(content) });
        self.bodies.retain(|body| body.way.to.number > to.number);
        Heard::Ready(to)
    }

    fn know(&mut self, head: Head) {
        self.known.insert(head.number, head.digest);
        if self.known.len() > KNOWN {
            self.known.pop_first();
        }
    }

    /// When the next acknowledgement is due; soon after news.
    pub fn due(&self) -> f64 {
        let Some(acked) = self.acked else { return f64::MIN };
        match self.urgent {
            true => acked + SOON,
            false if acked < self.since + GOOD => acked + NEW_BEAT,
            false => acked + BEAT,
        }
    }

    /// The acknowledgement to send now, if one is due.
    pub fn ack(&mut self, now: f64) -> Option<Ack> {
        if now < self.due() {
            return None;
        }
        (self.acked, self.urgent) = (Some(now), false);
        let serial = self.sent.record(now);
        Some(Ack {
            owner: self.me.clone(),
            zone: self.zone.clone(),
            serial,
            in_force: self.in_force.head,
            holds: self.holds().head,
            got: self.bodies.last().map(|body| (body.way, body.bytes.len() as u32)),
            refused: self.refused.back().cloned(),
            conflicts: self.counts.conflicts,
            healthy: self.healthy,
            unsaved: self.unsaved.clone(),
        })
    }
}

fn last_good(seal: &Seal, bytes: &[u8], checker: &dyn Checker) -> Result<Held, String> {
    let kept: Kept =
        postcard::from_bytes(bytes).map_err(|e| format!("its last good version can't be read: {e}"))?;
    if kept.format != FORMAT {
        return Err(format!("its last good version has format {}, not {FORMAT}", kept.format));
    }
    if seal.head(kept.head.number, &kept.content) != kept.head {
        return Err("its last good version is not what its digest says".into());
    }
    kept.content.check().map_err(|wrong| wrong.to_string())?;
    checker.check(&kept.content).map_err(|wrong| format!("its last good version is refused: {wrong}"))?;
    Ok(Held { head: kept.head, content: Arc::new(kept.content) })
}

#[cfg(test)]
mod tests;
