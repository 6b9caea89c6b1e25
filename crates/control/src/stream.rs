//! One proxy's stream, decided without I/O or a clock: what it asked for, what it holds, what is on its way to it.
//!
//! Of each type one response is out at a time. While its answer is awaited newer plans are not queued: what is sent next is
//! whatever holds then. A type that others refer to goes first (clusters, endpoints, listeners, routes), and a later one waits
//! until what it refers to is acknowledged.
//!
//! **The lease.** A response says for how long its decisions may be used: the bound less their age when it is sent. A proxy
//! counts that from when it sent the last request that the response had seen (its number stands in the nonce), so time on the
//! way only shortens it. Decisions that still hold are renewed by heartbeats, a name and a lease without a body.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Types of resources, in the order in which they may refer to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Cluster,
    Endpoints,
    Listener,
    Routes,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Routes];

    /// Whether it holds decisions, which age; the others only say where decisions are to be found.
    pub fn ages(self) -> bool {
        matches!(self, Kind::Endpoints | Kind::Routes)
    }
    /// What must be acknowledged before it goes out.
    fn after(self) -> Option<Kind> {
        match self {
            Kind::Cluster | Kind::Listener => None,
            Kind::Endpoints => Some(Kind::Cluster),
            Kind::Routes => Some(Kind::Listener),
        }
    }
}

/// One named resource; the same content has the same version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    pub name: String,
    pub version: u64,
    pub body: Vec<u8>,
}

pub type Set = BTreeMap<String, Arc<Resource>>;

/// Which plan: the service's life, then the plan's number in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Serial {
    pub epoch: u64,
    pub number: u64,
}

/// All that one kind of proxy is to hold, by one plan.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub serial: Serial,
    /// When it was last decided that this holds, s.
    pub made: f64,
    pub sets: [Set; 4],
}

impl World {
    pub fn set(&self, kind: Kind) -> &Set {
        &self.sets[kind as usize]
    }
}

/// Times that all streams keep, s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The oldest decision that any proxy may use.
    pub bound: f64,
    /// From one heartbeat to the next.
    pub heartbeat: f64,
    /// An answer that is awaited for longer ends the stream: a proxy that reads so slowly is better off connecting anew.
    pub patience: f64,
}

impl Default for Lease {
    fn default() -> Lease {
        Lease { bound: 2.0, heartbeat: 0.5, patience: 10.0 }
    }
}

/// What a proxy says, of either protocol.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub kind: Option<Kind>,
    /// The nonce that it answers; empty where it answers none.
    pub nonce: String,
    /// It could not use that response.
    pub fault: Option<String>,
    /// State of the world: all names wanted, none for all. Incremental: names added.
    pub names: Vec<String>,
    /// Incremental only: names taken out, and what it held before, by name and version.
    pub gone: Vec<String>,
    pub held: BTreeMap<String, String>,
}

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    pub resource: Arc<Resource>,
    /// Only the lease is new.
    pub heartbeat: bool,
}

/// A response to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Push {
    pub kind: Kind,
    pub serial: Serial,
    pub nonce: String,
    pub pieces: Vec<Piece>,
    /// Incremental only.
    pub removed: Vec<String>,
    /// s; none where nothing of it ages.
    pub lease: Option<f64>,
}

impl Push {
    /// Whether it renews leases only.
    pub fn heartbeat(&self) -> bool {
        !self.pieces.is_empty() && self.removed.is_empty() && self.pieces.iter().all(|piece| piece.heartbeat)
    }
}

/// Why a stream is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// It left a response unanswered for too long.
    Slow,
    /// It asked for more names than there may be.
    TooMany,
}

/// What a stream has seen, for metrics and the debug view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub heartbeats: u64,
    pub acked: u64,
    pub refused: u64,
    /// Answers to responses that were superseded, and to ones that never were.
    pub stale: u64,
    pub unknown: u64,
    /// Plans that came and went while an answer was awaited.
    pub coalesced: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, more: Counts) {
        self.sent += more.sent;
        self.heartbeats += more.heartbeats;
        self.acked += more.acked;
        self.refused += more.refused;
        self.stale += more.stale;
        self.unknown += more.unknown;
        self.coalesced += more.coalesced;
    }
}

/// Names that one stream may ask for.
const MOST_NAMES: usize = 10_000;

#[derive(Clone, Debug)]
struct Flight {
    nonce: String,
    serial: Serial,
    /// What the proxy holds once it agrees; none for what it drops.
    versions: Vec<(String, Option<u64>)>,
    since: f64,
}

/// One type on one stream.
#[derive(Clone, Debug, Default)]
struct Topic {
    asked: bool,
    /// None for all there are.
    names: Option<BTreeSet<String>>,
    /// Acknowledged: names and their versions.
    holds: BTreeMap<String, u64>,
    acked: Serial,
    flight: Option<Flight>,
    /// Contents that this proxy refused: never sent to it again.
    refused: BTreeSet<(String, u64)>,
    /// The newest plan that waited while an answer was awaited.
    waiting: Serial,
    sent_at: f64,
    /// What was asked anew must be answered even if it is held already.
    owed: bool,
}

impl Topic {
    fn wants(&self, name: &str) -> bool {
        self.names.as_ref().is_none_or(|names| names.contains(name))
    }
    /// What of the world it wants and may get.
    fn wanted<'a>(&'a self, set: &'a Set) -> impl Iterator<Item = &'a Arc<Resource>> + 'a {
        set.values().filter(|r| self.wants(&r.name) && !self.refused.contains(&(r.name.clone(), r.version)))
    }
    /// Whether it holds all of it and nothing else.
    fn settled(&self, set: &Set) -> bool {
        self.wanted(set).all(|r| self.holds.get(&r.name) == Some(&r.version))
            && self.holds.keys().all(|name| set.contains_key(name) && self.wants(name))
    }
}

/// A proxy's stream.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Differences are sent, not the whole of a type.
    incremental: bool,
    topics: [Topic; 4],
    sent: u64,
    /// Requests received on it.
    heard: u64,
    pub counts: Counts,
    /// The last content that it refused, and why.
    pub complaint: Option<(Kind, Serial, String)>,
}

impl Stream {
    pub fn new(incremental: bool) -> Stream {
        Stream { incremental, ..Stream::default() }
    }

    /// Takes in what the proxy said.
    pub fn request(&mut self, request: &Request) -> Result<(), Cut> {
        self.heard += 1;
        let Some(kind) = request.kind else { return Ok(()) };
        if request.names.len() > MOST_NAMES || request.held.len() > MOST_NAMES {
            return Err(Cut::TooMany);
        }
        let incremental = self.incremental;
        let topic = &mut self.topics[kind as usize];
        let first = !std::mem::replace(&mut topic.asked, true);
        if first {
            topic.owed = true;
            // What it says it held: where the version is not ours it is simply other content, and sent anew.
            let number = |text: &String| u64::from_str_radix(text, 16).unwrap_or(0);
            topic.holds =
                request.held.iter().map(|(name, version)| (name.clone(), number(version))).collect();
        }
        let known = topic.flight.as_ref().is_some_and(|flight| flight.nonce == request.nonce);
        if !request.nonce.is_empty() && !known {
            // Answers what was superseded, or what never was. State of the world says: as if it had not come.
            let ours = number_of(&request.nonce).is_some_and(|number| number <= self.sent);
            *if ours { &mut self.counts.stale } else { &mut self.counts.unknown } += 1;
            if !incremental && !first {
                return Ok(());
            }
        }
        if known {
            self.answer(kind, request.fault.as_deref());
        }
        let topic = &mut self.topics[kind as usize];
        if incremental {
            for name in &request.names {
                match (&mut topic.names, name.as_str()) {
                    (names, "*") => *names = None,
                    (Some(names), _) => drop(names.insert(name.clone())),
                    (none, _) if first => *none = Some([name.clone()].into()),
                    (None, _) => {}
                }
                // Asked for anew: to be sent whatever it held.
                if !first {
                    topic.holds.remove(name);
                }
                topic.owed = true;
            }
            for name in &request.gone {
                if let Some(names) = &mut topic.names {
                    names.remove(name);
                }
                topic.holds.remove(name);
            }
            if topic.names.as_ref().is_some_and(|names| names.len() > MOST_NAMES) {
                return Err(Cut::TooMany);
            }
        } else {
            let names = match request.names.as_slice() {
                [] => None,
                names if names.iter().any(|name| name == "*") => None,
                names => Some(names.iter().cloned().collect::<BTreeSet<_>>()),
            };
            if names != topic.names {
                topic.owed = true;
                topic.names = names;
                let names = topic.names.clone();
                topic.holds.retain(|name, _| names.as_ref().is_none_or(|names| names.contains(name)));
            }
        }
        Ok(())
    }

    /// The proxy took, or refused, what is out.
    fn answer(&mut self, kind: Kind, fault: Option<&str>) {
        let topic = &mut self.topics[kind as usize];
        let Some(flight) = topic.flight.take() else { return };
        match fault {
            None => {
                self.counts.acked += 1;
                topic.acked = flight.serial;
                for (name, version) in flight.versions {
                    match version {
                        Some(version) => topic.holds.insert(name, version),
                        None => topic.holds.remove(&name),
                    };
                }
            }
            Some(fault) => {
                self.counts.refused += 1;
                let text: String = fault.chars().filter(|c| !c.is_control()).take(200).collect();
                self.complaint = Some((kind, flight.serial, text));
                let held = &topic.holds;
                let new = flight.versions.into_iter().filter_map(|(name, version)| {
                    let version = version.filter(|version| held.get(&name) != Some(version))?;
                    Some((name, version))
                });
                topic.refused.extend(new.collect::<Vec<_>>());
                // Bounded: the oldest contents are the least likely to come again.
                while topic.refused.len() > MOST_NAMES {
                    topic.refused.pop_first();
                }
            }
        }
    }

    /// What is to be sent now, if anything; to be asked again until there is nothing.
    pub fn next(&mut self, now: f64, world: &World, lease: &Lease) -> Result<Option<Push>, Cut> {
        let waited = |topic: &Topic| topic.flight.as_ref().is_some_and(|f| now - f.since > lease.patience);
        if self.topics.iter().any(waited) {
            return Err(Cut::Slow);
        }
        let left = lease.bound - (now - world.made);
        if left <= 0.0 {
            return Ok(None);
        }
        for kind in Kind::ALL {
            let topic = &self.topics[kind as usize];
            if !topic.asked {
                continue;
            }
            let set = world.set(kind);
            let settled = topic.settled(set) && !topic.owed;
            if topic.flight.is_some() {
                let newer = !settled && topic.waiting < world.serial;
                let out = topic.flight.as_ref().is_some_and(|flight| flight.serial < world.serial);
                if newer && out {
                    let topic = &mut self.topics[kind as usize];
                    // One that already waited gives way.
                    self.counts.coalesced += u64::from(topic.waiting > Serial::default());
                    topic.waiting = world.serial;
                }
                continue;
            }
            if let Some(first) = kind.after() {
                let before = &self.topics[first as usize];
                if before.asked && !before.settled(world.set(first)) {
                    continue;
                }
            }
            let due = kind.ages() && now - topic.sent_at >= lease.heartbeat && !topic.holds.is_empty();
            if settled && !due {
                continue;
            }
            if let Some(push) = self.push(now, kind, world, settled, left) {
                return Ok(Some(push));
            }
        }
        Ok(None)
    }

    /// Makes a response, and remembers that it is out.
    fn push(&mut self, now: f64, kind: Kind, world: &World, settled: bool, left: f64) -> Option<Push> {
        let (incremental, set) = (self.incremental, world.set(kind));
        let topic = &mut self.topics[kind as usize];
        let held = |r: &Arc<Resource>| topic.holds.get(&r.name) == Some(&r.version);
        let mut pieces: Vec<Piece> = Vec::new();
        for resource in topic.wanted(set) {
            // Incremental: what changed, and a lease for what is held once it is time. State of the world: always all.
            let heartbeat = held(resource) && (settled || incremental && kind.ages());
            if heartbeat && !kind.ages() || incremental && held(resource) && !heartbeat {
                continue;
            }
            pieces.push(Piece { resource: resource.clone(), heartbeat });
        }
        let removed: Vec<String> = match incremental {
            true => topic.holds.keys().filter(|name| !set.contains_key(*name)).cloned().collect(),
            false => Vec::new(),
        };
        topic.owed = false;
        // Nothing differs, or all that it wants is refused content: it keeps what it has until its lease ends. Only where
        // there is nothing by the names that it wants does the whole state say so.
        let withheld = set.keys().any(|name| topic.wants(name));
        if pieces.is_empty() && removed.is_empty() && (incremental || withheld) {
            return None;
        }
        self.sent += 1;
        let nonce = format!("{}.{}", self.sent, self.heard);
        let mut versions: Vec<(String, Option<u64>)> =
            pieces.iter().map(|p| (p.resource.name.clone(), Some(p.resource.version))).collect();
        versions.extend(removed.iter().map(|name| (name.clone(), None)));
        if !incremental {
            // What is not among all is gone.
            let sent: BTreeSet<&str> = pieces.iter().map(|p| p.resource.name.as_str()).collect();
            let gone =
                topic.holds.keys().filter(|name| !sent.contains(name.as_str()) && !set.contains_key(*name));
            versions.extend(gone.map(|name| (name.clone(), None)));
        }
        let serial = world.serial;
        let flight = Flight { nonce: nonce.clone(), serial, versions, since: now };
        topic.flight = Some(flight);
        (topic.waiting, topic.sent_at) = (Serial::default(), now);
        let lease = kind.ages().then_some(left);
        let push = Push { kind, serial, nonce, pieces, removed, lease };
        *if push.heartbeat() { &mut self.counts.heartbeats } else { &mut self.counts.sent } += 1;
        Some(push)
    }

    /// The oldest plan among the types that it asked for, as acknowledged.
    pub fn acked(&self) -> Option<Serial> {
        self.topics.iter().filter(|topic| topic.asked).map(|topic| topic.acked).min()
    }
    /// Names and versions that it holds of a type.
    pub fn holds(&self, kind: Kind) -> &BTreeMap<String, u64> {
        &self.topics[kind as usize].holds
    }
    /// Whether it holds all that it asked for of this world.
    pub fn settled(&self, world: &World) -> bool {
        Kind::ALL.iter().all(|kind| {
            let topic = &self.topics[*kind as usize];
            !topic.asked || topic.settled(world.set(*kind))
        })
    }
}

/// The number of a nonce of ours.
fn number_of(nonce: &str) -> Option<u64> {
    nonce.split_once('.')?.0.parse().ok()
}

/// Of the requests that a proxy sent, how many a response had seen; in its nonce.
pub fn heard_of(nonce: &str) -> Option<u64> {
    nonce.split_once('.')?.1.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn world(number: u64, made: f64, endpoints: &[(&str, u64)]) -> World {
        let set = |all: &[(&str, u64)]| -> Set {
            let one = |(name, version): &(&str, u64)| {
                let resource = Resource { name: (*name).into(), version: *version, body: vec![1] };
                ((*name).to_owned(), Arc::new(resource))
            };
            all.iter().map(one).collect()
        };
        let sets = [set(&[("c", 1)]), set(endpoints), set(&[("l", 1)]), set(&[("r", 1)])];
        World { serial: Serial { epoch: 1, number }, made, sets }
    }

    fn ask(kind: Kind) -> Request {
        Request { kind: Some(kind), ..Request::default() }
    }
    fn answer(push: &Push, fault: Option<&str>) -> Request {
        Request { nonce: push.nonce.clone(), fault: fault.map(str::to_owned), ..ask(push.kind) }
    }
    const LEASE: Lease = Lease { bound: 2.0, heartbeat: 0.5, patience: 10.0 };

    fn next(stream: &mut Stream, now: f64, world: &World) -> Option<Push> {
        stream.next(now, world, &LEASE).unwrap()
    }
    fn versions(push: &Push) -> Vec<(&str, u64)> {
        push.pieces.iter().map(|p| (p.resource.name.as_str(), p.resource.version)).collect()
    }

    #[test]
    fn clusters_go_before_endpoints_and_a_response_waits_for_its_answer() {
        let mut stream = Stream::new(false);
        let one = world(1, 0.0, &[("e", 1)]);
        stream.request(&ask(Kind::Endpoints)).unwrap();
        stream.request(&ask(Kind::Cluster)).unwrap();
        let first = next(&mut stream, 0.0, &one).unwrap();
        assert_eq!((first.kind, first.lease), (Kind::Cluster, None));
        assert_eq!(next(&mut stream, 0.0, &one), None);
        stream.request(&answer(&first, None)).unwrap();
        let second = next(&mut stream, 0.5, &one).unwrap();
        assert_eq!(
            (second.kind, second.lease, heard_of(&second.nonce)),
            (Kind::Endpoints, Some(1.5), Some(3))
        );
        stream.request(&answer(&second, None)).unwrap();
        assert_eq!(next(&mut stream, 0.6, &one), None);
        assert!(stream.settled(&one));
    }

    #[test]
    fn plans_that_flip_while_an_answer_is_awaited_coalesce_to_the_latest() {
        for incremental in [false, true] {
            let mut stream = Stream::new(incremental);
            stream.request(&ask(Kind::Endpoints)).unwrap();
            let first = next(&mut stream, 0.0, &world(1, 0.0, &[("e", 1)])).unwrap();
            for number in 2..42 {
                let flip = world(number, 0.1, &[("e", 1 + number % 2)]);
                assert_eq!(next(&mut stream, 0.1, &flip), None);
            }
            stream.request(&answer(&first, None)).unwrap();
            let last = world(42, 0.2, &[("e", 7)]);
            let push = next(&mut stream, 0.2, &last).unwrap();
            assert_eq!((versions(&push), push.serial.number), (vec![("e", 7)], 42));
            assert!(stream.counts.coalesced >= 15 && stream.counts.sent == 2, "{:?}", stream.counts);
        }
    }

    #[test]
    fn what_is_refused_is_never_sent_again_and_the_next_content_is() {
        for incremental in [false, true] {
            let mut stream = Stream::new(incremental);
            stream.request(&ask(Kind::Endpoints)).unwrap();
            let good = next(&mut stream, 0.0, &world(1, 0.0, &[("e", 1)])).unwrap();
            stream.request(&answer(&good, None)).unwrap();
            let bad = world(2, 0.0, &[("e", 2)]);
            let push = next(&mut stream, 0.0, &bad).unwrap();
            stream.request(&answer(&push, Some("no such\nthing"))).unwrap();
            assert_eq!(stream.complaint.as_ref().unwrap().2, "no suchthing");
            // Neither it nor a lease for what it still holds, which is older.
            for at in 1..20 {
                assert_eq!(
                    next(
                        &mut stream,
                        f64::from(at) * 0.1,
                        &World { made: f64::from(at) * 0.1, ..bad.clone() }
                    ),
                    None
                );
            }
            assert_eq!(stream.holds(Kind::Endpoints)["e"], 1);
            let push = next(&mut stream, 2.0, &world(3, 2.0, &[("e", 3)])).unwrap();
            assert_eq!(versions(&push), [("e", 3)]);
        }
    }

    #[test]
    fn a_proxy_that_named_what_it_refused_is_not_told_that_there_is_nothing() {
        let mut stream = Stream::new(false);
        let named = |request: Request| Request { names: vec!["e".into()], ..request };
        stream.request(&named(ask(Kind::Endpoints))).unwrap();
        let one = world(1, 0.0, &[("e", 1)]);
        let push = next(&mut stream, 0.0, &one).unwrap();
        stream.request(&named(answer(&push, None))).unwrap();
        let two = world(2, 0.0, &[("e", 2)]);
        let push = next(&mut stream, 0.0, &two).unwrap();
        stream.request(&named(answer(&push, Some("no")))).unwrap();
        assert_eq!(next(&mut stream, 1.0, &World { made: 1.0, ..two }), None);
        // What is really gone is told as gone.
        assert_eq!(next(&mut stream, 1.0, &world(3, 1.0, &[])).unwrap().pieces, []);
    }

    #[test]
    fn stale_unknown_and_repeated_nonces_change_nothing() {
        let mut stream = Stream::new(false);
        stream.request(&ask(Kind::Endpoints)).unwrap();
        let first = next(&mut stream, 0.0, &world(1, 0.0, &[("e", 1)])).unwrap();
        stream.request(&answer(&first, None)).unwrap();
        let second = next(&mut stream, 0.0, &world(2, 0.0, &[("e", 2)])).unwrap();
        let other = Request { names: vec!["x".into()], ..answer(&first, Some("late")) };
        stream.request(&other).unwrap();
        stream.request(&Request { nonce: "900.1".into(), ..ask(Kind::Endpoints) }).unwrap();
        stream.request(&Request { nonce: "what".into(), ..ask(Kind::Endpoints) }).unwrap();
        assert_eq!((stream.counts.stale, stream.counts.unknown, stream.counts.refused), (1, 2, 0));
        assert_eq!(stream.holds(Kind::Endpoints)["e"], 1);
        stream.request(&answer(&second, None)).unwrap();
        stream.request(&answer(&second, None)).unwrap();
        assert_eq!((stream.holds(Kind::Endpoints)["e"], stream.counts.acked, stream.counts.stale), (2, 2, 2));
    }

    #[test]
    fn what_holds_is_renewed_by_heartbeats_and_nothing_is_sent_past_the_bound() {
        for incremental in [false, true] {
            let mut stream = Stream::new(incremental);
            stream.request(&ask(Kind::Endpoints)).unwrap();
            let one = world(1, 0.0, &[("e", 1)]);
            let first = next(&mut stream, 0.0, &one).unwrap();
            stream.request(&answer(&first, None)).unwrap();
            assert_eq!(next(&mut stream, 0.4, &one), None);
            let beat = next(&mut stream, 0.5, &World { made: 0.45, ..one.clone() }).unwrap();
            assert!(beat.pieces[0].heartbeat && (beat.lease.unwrap() - 1.95).abs() < 1e-9);
            stream.request(&answer(&beat, None)).unwrap();
            assert_eq!(next(&mut stream, 2.1, &one), None);
            assert_eq!((stream.counts.heartbeats, stream.counts.sent), (1, 1));
        }
    }

    #[test]
    fn a_differing_client_that_comes_back_with_wrong_versions_gets_what_differs_and_loses_what_is_gone() {
        let mut stream = Stream::new(true);
        let held = [("a", "1"), ("b", "ffff"), ("old", "5"), ("c", "lies")];
        let held = held.map(|(name, version)| (name.to_owned(), version.to_owned())).into();
        stream.request(&Request { held, ..ask(Kind::Endpoints) }).unwrap();
        let push = next(&mut stream, 0.0, &world(1, 0.0, &[("a", 1), ("b", 2), ("c", 3)])).unwrap();
        let bodies: Vec<&str> =
            push.pieces.iter().filter(|p| !p.heartbeat).map(|p| p.resource.name.as_str()).collect();
        assert_eq!((bodies, push.removed.as_slice()), (vec!["b", "c"], &["old".to_owned()][..]));
        stream.request(&answer(&push, None)).unwrap();
        assert!(stream.settled(&world(1, 0.0, &[("a", 1), ("b", 2), ("c", 3)])));
    }

    #[test]
    fn names_come_and_go_on_a_differing_stream_and_one_changed_name_is_all_that_is_sent() {
        let mut stream = Stream::new(true);
        let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
        stream.request(&Request { names: names(&["a", "b"]), ..ask(Kind::Cluster) }).unwrap();
        let set = |b: u64| {
            let mut all = world(b, 0.0, &[]);
            all.sets[0] = [("a", 1), ("b", b), ("z", 1)]
                .map(|(n, v)| (n.to_owned(), Arc::new(Resource { name: n.into(), version: v, body: vec![] })))
                .into();
            all
        };
        let push = next(&mut stream, 0.0, &set(1)).unwrap();
        assert_eq!(versions(&push), [("a", 1), ("b", 1)]);
        stream.request(&answer(&push, None)).unwrap();
        let push = next(&mut stream, 0.0, &set(2)).unwrap();
        assert_eq!(versions(&push), [("b", 2)]);
        stream
            .request(&Request { names: names(&["z"]), gone: names(&["a"]), ..answer(&push, None) })
            .unwrap();
        let push = next(&mut stream, 0.0, &set(2)).unwrap();
        assert_eq!((versions(&push), push.removed.len()), (vec![("z", 1)], 0));
    }

    #[test]
    fn whoever_never_answers_is_cut_and_whoever_asks_for_too_much_too() {
        let mut stream = Stream::new(false);
        stream.request(&ask(Kind::Endpoints)).unwrap();
        let one = world(1, 0.0, &[("e", 1)]);
        next(&mut stream, 0.0, &one).unwrap();
        assert_eq!(stream.next(10.1, &one, &LEASE), Err(Cut::Slow));
        let names = (0..=MOST_NAMES).map(|at| at.to_string()).collect();
        assert_eq!(stream.request(&Request { names, ..ask(Kind::Routes) }), Err(Cut::TooMany));
    }
}
