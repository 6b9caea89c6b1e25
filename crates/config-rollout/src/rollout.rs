//! The owner's side of a change: a few servers first, then all; and what each server has in force. The owner holds the duty [`crate::DUTY`]
//! under a grant, whose epoch stands in each of its commands; the history refuses those of an owner that was replaced. All that is decided
//! stands in the history, so that a new owner goes on where the one before stopped.
//!
//! Times are s by the owner's own monotonic clock.

use crate::history::{Command, History, CANARIES};
use crate::seal::Head;
use crate::words::Ack;
use puffinladder_leases::{Epoch, SeededRandom};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Servers that take a version before the others.
    pub canaries: usize,
    /// s that they have it in force and are well.
    pub span: f64,
    /// s after which canaries that have not got it are passed over, if half of them have.
    pub patience: f64,
    /// s without a word after which a server counts as silent.
    pub silent: f64,
    /// s that a new owner listens before it says anything of all servers, or draws.
    pub learn: f64,
    /// s after which a command that shows no effect is given again.
    pub again: f64,
    pub servers: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { canaries: 3, span: 0.5, patience: 2.0, silent: 2.5, learn: 1.5, again: 0.5, servers: 10_000 }
    }
}

impl Rules {
    /// Says what can't be kept to, if anything.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=CANARIES / 4).contains(&self.canaries) || self.servers == 0 {
            return Err(format!("canaries: 1 to {} are meant; servers: 1 at the least", CANARIES / 4));
        }
        // A healthy server speaks once in `follower::BEAT`.
        if !(self.silent >= 2.0 * crate::follower::BEAT && self.silent.is_finite()) {
            return Err(format!("silent: {} s is less than two beats of a server", self.silent));
        }
        for (name, value) in
            [("span", self.span), ("patience", self.patience), ("learn", self.learn), ("again", self.again)]
        {
            if !(0.0..=3600.0).contains(&value) {
                return Err(format!("{name}: {value} s is out of range, 0 to an hour is meant"));
            }
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
struct Server {
    incarnation: u64,
    serial: u64,
    zone: String,
    /// None until it spoke.
    in_force: Option<Head>,
    /// Since when, as heard here.
    since: f64,
    heard: f64,
    /// Spoke since it had that in force, and was well.
    well: Option<f64>,
    healthy: bool,
    refused: Option<(Head, String)>,
    conflicts: u64,
    unsaved: Option<String>,
    /// When a new life of it was heard of, where there was one before.
    restarted: Option<f64>,
    /// Since when it has had less than what is released.
    behind: Option<f64>,
}

/// Why a server has not what is released.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Why {
    /// It never spoke to this owner.
    Unheard,
    /// No word for so many s.
    Silent(f64),
    Refused(String),
    /// It has another content under that number.
    Conflict,
    /// It speaks, and the version is on its way.
    Behind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lag {
    pub server: String,
    pub zone: String,
    pub in_force: Option<Head>,
    /// s that it has been behind.
    pub since: f64,
    pub why: Why,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub head: Head,
    pub released: Head,
    /// Number and canaries.
    pub trial: Option<(u64, Vec<String>)>,
    /// Servers with the released version, or a later one, in force; of all that are not known to be gone.
    pub have: usize,
    pub of: usize,
    /// All of them, and this owner has listened long enough to know of all.
    pub everywhere: bool,
    /// The first of those that lag, longest first.
    pub lagging: Vec<Lag>,
    /// Servers that could not write their last good version.
    pub unsaved: Vec<(String, String)>,
    /// Why the last trial that failed was taken back.
    pub taken_back: Option<(u64, String)>,
}

/// Servers that a status names.
const NAMED: usize = 64;

/// The trial that is being watched.
#[derive(Clone, Debug)]
struct Watch {
    number: u64,
    began: f64,
    /// When others were asked last.
    asked: f64,
    /// Its canaries, and when each was named.
    named: BTreeMap<String, f64>,
}

pub struct Rollout {
    epoch: Epoch,
    author: String,
    rules: Rules,
    chance: SeededRandom,
    began: f64,
    servers: BTreeMap<String, Server>,
    watch: Option<Watch>,
    /// The last command, when it was given and at which entry of the history.
    given: Option<(Command, f64)>,
    over: bool,
    /// There was no room for a server: nothing can be said of all of them.
    full: bool,
}

impl Rollout {
    /// An owner from now on, by a grant of that epoch.
    pub fn begin(rules: Rules, author: &str, epoch: Epoch, seed: u64, now: f64) -> Rollout {
        Rollout {
            epoch,
            author: author.into(),
            rules,
            chance: SeededRandom::new(seed),
            began: now,
            servers: BTreeMap::new(),
            watch: None,
            given: None,
            over: false,
            full: false,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
    /// A later owner has shown itself: nothing more comes from here.
    pub fn over(&self) -> bool {
        self.over
    }

    /// A server that there should be, whether it spoke or not: from whoever knows the fleet.
    pub fn expect(&mut self, now: f64, server: &str, zone: &str) {
        self.full |= self.servers.len() >= self.rules.servers && !self.servers.contains_key(server);
        if self.servers.len() < self.rules.servers || self.servers.contains_key(server) {
            self.servers.entry(server.into()).or_insert_with(|| Server {
                incarnation: 0,
                serial: 0,
                zone: zone.into(),
                in_force: None,
                since: now,
                heard: now,
                well: None,
                healthy: false,
                refused: None,
                conflicts: 0,
                unsaved: None,
                restarted: None,
                behind: Some(now),
            });
        }
    }

    /// A server that is known to be gone for good, not only silent.
    pub fn gone(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// A server's word, through whichever distributor, however late or often.
    pub fn heard(&mut self, now: f64, ack: &Ack) {
        self.expect(now, &ack.owner.instance, &ack.zone);
        let Some(server) = self.servers.get_mut(&ack.owner.instance) else { return };
        if (ack.owner.incarnation, ack.serial) <= (server.incarnation, server.serial) {
            return;
        }
        if server.incarnation > 0 && ack.owner.incarnation > server.incarnation {
            server.restarted = Some(now);
        }
        (server.incarnation, server.serial, server.heard) = (ack.owner.incarnation, ack.serial, now);
        server.zone.clone_from(&ack.zone);
        if server.in_force != Some(ack.in_force) {
            (server.in_force, server.since, server.well) = (Some(ack.in_force), now, None);
        }
        server.healthy = ack.healthy;
        server.well = if ack.healthy { Some(now) } else { None };
        server.refused = ack.refused.as_ref().map(|refused| (refused.head, refused.cause.clone()));
        server.conflicts = ack.conflicts;
        server.unsaved.clone_from(&ack.unsaved);
    }

    fn silent(&self, now: f64, server: &Server) -> bool {
        now - server.heard > self.rules.silent
    }

    /// Whether a server's silence is that of a link: most others of its zone fell silent as well.
    fn cut_off(&self, now: f64, name: &str, zone: &str) -> bool {
        let others = self.servers.iter().filter(|(other, server)| *other != name && server.zone == zone);
        // Those that go with the same cut may have been heard last a beat later.
        let quiet = |server: &Server| now - server.heard > self.rules.silent - 1.5 * crate::follower::BEAT;
        let (mut all, mut silent) = (0, 0);
        for (_, server) in others.filter(|(_, server)| server.in_force.is_some()) {
            all += 1;
            silent += usize::from(quiet(server));
        }
        all > 0 && 2 * silent > all
    }

    /// The command to propose now, if there is one. It is given again as long as the history does not show it.
    pub fn look(&mut self, now: f64, history: &History) -> Option<Command> {
        self.mark(now, history);
        if history.epoch() > self.epoch {
            self.over = true;
        }
        if self.over {
            return None;
        }
        let command = self.decide(now, history)?;
        let again =
            self.given.as_ref().is_some_and(|(last, at)| *last == command && now - at < self.rules.again);
        if again {
            return None;
        }
        self.given = Some((command.clone(), now));
        Some(command)
    }

    /// Since when each server has been behind.
    fn mark(&mut self, now: f64, history: &History) {
        let released = history.released();
        for server in self.servers.values_mut() {
            if has(history, server, released.number) {
                server.behind = None;
            } else {
                server.behind.get_or_insert(now);
            }
        }
    }

    fn decide(&mut self, now: f64, history: &History) -> Option<Command> {
        let epoch = self.epoch;
        if history.epoch() < epoch {
            return Some(Command::Announce { epoch });
        }
        let Some(trial) = &history.stage().trial else {
            self.watch = None;
            let number = history.head().number;
            if number <= history.stage().released || now - self.began < self.rules.learn {
                return None;
            }
            // The same draw until the history shows it, or the command would be another each time.
            if let Some((Command::Trial { number: last, canaries, .. }, at)) = &self.given {
                if *last == number && now - at < 4.0 * self.rules.again {
                    let canaries = canaries.clone();
                    return Some(Command::Trial { epoch, number, canaries });
                }
            }
            let canaries = self.draw(now, &BTreeSet::new(), self.rules.canaries);
            // Without anybody to try it nothing is released: those who come later would be the first.
            return (!canaries.is_empty()).then_some(Command::Trial { epoch, number, canaries });
        };
        let (number, canaries) = (trial.number, trial.canaries.clone());
        if self.watch.as_ref().is_none_or(|watch| watch.number != number) {
            self.watch = Some(Watch { number, began: now, asked: now, named: BTreeMap::new() });
        }
        let head = history.known(number)?;
        let watch = self.watch.as_mut()?;
        for name in &canaries {
            watch.named.entry(name.clone()).or_insert(now);
        }
        let Watch { began, asked, named, .. } = watch.clone();
        let (mut passed, mut waits, mut quiet, mut lost) = (0, 0, 0, 0);
        for (name, since) in &named {
            let Some(server) = self.servers.get(name) else {
                lost += 1; // gone, or never heard by this owner
                continue;
            };
            let take_back = |cause: String| {
                let author = self.author.clone();
                Some(Command::TakeBack { epoch, author, number, cause })
            };
            if let Some((refused, cause)) = &server.refused {
                if *refused == head {
                    return take_back(format!("{name} refused it: {cause}"));
                }
            }
            let had = server.in_force == Some(head);
            if server.restarted.is_some_and(|at| at > *since) {
                return take_back(format!("{name} fell while it was on trial there"));
            }
            if had && !server.healthy {
                return take_back(format!("{name} is not well under it"));
            }
            if self.silent(now, server) {
                if self.cut_off(now, name, &server.zone) || server.in_force.is_none() {
                    lost += 1;
                    continue;
                }
                return take_back(format!("{name} fell silent while it was on trial there"));
            }
            // Its word that it is well has to come after the span: who spoke once and fell has not passed.
            let span = self.rules.span;
            if had && server.well.is_some_and(|well| well > server.since && well - server.since >= span) {
                passed += 1;
            } else {
                waits += 1;
                // It may have fallen: whether it did is known once it counts as silent.
                quiet += usize::from(now - server.heard > 1.5 * crate::follower::BEAT);
            }
        }
        let late = now - began > self.rules.patience;
        let enough = 2 * passed >= self.rules.canaries.min(named.len() - lost);
        if passed > 0 && (waits == 0 || (late && enough && quiet == 0)) {
            return Some(Command::Release { epoch, number });
        }
        // Nobody left to wait for, or too few got it: others are asked.
        let late = late && quiet == 0 && now - asked > self.rules.patience;
        if now - self.began >= self.rules.learn && (passed + waits == 0 || late) {
            let more = self.draw(now, &canaries, self.rules.canaries);
            let room = CANARIES.saturating_sub(canaries.len());
            let mut more: BTreeSet<String> = more.into_iter().take(room).collect();
            if let Some((Command::Trial { number: last, canaries, .. }, at)) = &self.given {
                if *last == number && now - at < 4.0 * self.rules.again {
                    more.clone_from(canaries); // drawn already
                }
            }
            let new = more.iter().any(|name| !canaries.contains(name));
            if new {
                if let Some(watch) = &mut self.watch {
                    watch.asked = now;
                }
                return Some(Command::Trial { epoch, number, canaries: more });
            }
            if room == 0 {
                let author = self.author.clone();
                let cause = "nobody could be found who would try it".into();
                return Some(Command::TakeBack { epoch, author, number, cause });
            }
        }
        None
    }

    /// Servers that speak and are well, one of each zone as long as there are zones, drawn by seed.
    fn draw(&mut self, now: f64, but: &BTreeSet<String>, count: usize) -> BTreeSet<String> {
        // Heard lately: who may be cut off already is no canary.
        let fresh = |server: &Server| server.healthy && now - server.heard <= 1.5 * crate::follower::BEAT;
        let mut zones: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, server) in
            self.servers.iter().filter(|(name, server)| fresh(server) && !but.contains(*name))
        {
            zones.entry(server.zone.clone()).or_default().push(name.clone());
        }
        let mut drawn = BTreeSet::new();
        let mut order: Vec<String> = zones.keys().cloned().collect();
        while drawn.len() < count && !order.is_empty() {
            let mut round = order.clone();
            while drawn.len() < count && !round.is_empty() {
                let zone = round.swap_remove(self.chance.next_index(round.len()));
                if let Some(names) = zones.get_mut(&zone).filter(|names| !names.is_empty()) {
                    drawn.insert(names.swap_remove(self.chance.next_index(names.len())));
                }
            }
            order.retain(|zone| zones.get(zone).is_some_and(|names| !names.is_empty()));
        }
        drawn
    }

    pub fn status(&self, now: f64, history: &History) -> Status {
        let released = history.released();
        let mut lagging: Vec<Lag> = Vec::new();
        let mut unsaved = Vec::new();
        let mut have = 0;
        for (name, server) in &self.servers {
            if let Some(cause) = server.unsaved.as_ref().filter(|_| unsaved.len() < NAMED) {
                unsaved.push((name.clone(), cause.clone()));
            }
            if has(history, server, released.number) {
                have += 1;
                continue;
            }
            let why = match (&server.in_force, &server.refused) {
                (None, _) => Why::Unheard,
                _ if self.silent(now, server) => Why::Silent(now - server.heard),
                (_, Some((head, cause))) if *head == released => Why::Refused(cause.clone()),
                (Some(head), _) if head.number >= released.number => Why::Conflict,
                _ => Why::Behind,
            };
            let (zone, in_force) = (server.zone.clone(), server.in_force);
            let since = server.behind.map_or(0.0, |behind| now - behind);
            lagging.push(Lag { server: name.clone(), zone, in_force, since, why });
        }
        lagging.sort_by(|a, b| b.since.total_cmp(&a.since).then_with(|| a.server.cmp(&b.server)));
        lagging.truncate(NAMED);
        let of = self.servers.len();
        Status {
            head: history.head(),
            released,
            trial: history.stage().trial.as_ref().map(|t| (t.number, t.canaries.iter().cloned().collect())),
            have,
            of,
            everywhere: of > 0 && have == of && !self.full && now - self.began >= self.rules.learn,
            lagging,
            unsaved,
            taken_back: history.stage().taken_back.back().map(|back| (back.number, back.cause.clone())),
        }
    }
}

/// Whether a server has that version or a later one in force, under the very digest that the history has for it.
fn has(history: &History, server: &Server, number: u64) -> bool {
    server.in_force.is_some_and(|head| {
        let same = history.known(head.number).is_none_or(|known| known == head);
        // One above the head is of a later history than this replica's.
        head.number >= number && same
    })
}

#[cfg(test)]
mod tests;
