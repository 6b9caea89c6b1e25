//! The one line of versions that the keepers replicate. Every keeper applies the same entries in the same order and comes to the same
//! history; what an entry asks for is done whole or not at all.
//!
//! A version is accepted on the head that its author saw, so that what was checked is what comes to be. Accepted is not yet released: a
//! version is first *on trial* at a few servers, and is then released to all or taken back by a new version.

use crate::check::Checker;
use crate::content::{Change, Content, Wrong, NAME};
use crate::seal::{Digest, Head, Seal};
use puffinladder_leases::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use thiserror::Error;

/// Versions that a loser is told of, and bytes of a cause.
const TOLD: usize = 64;
const CAUSE: usize = 512;
/// Servers that one version is tried at, over all draws.
pub const CANARIES: usize = 64;
/// Trials taken back that stay known.
const TAKEN_BACK: usize = 16;

/// What is kept; whatever is older is folded into the checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    pub versions: usize,
    pub bytes: usize,
}

impl Default for Limits {
    /// Two days at 1,900 versions a day.
    fn default() -> Limits {
        Limits { versions: 4096, bytes: 8 << 20 }
    }
}

/// What a version came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    Put,
    /// The content of an older version again.
    Rollback {
        to: u64,
    },
    /// A trial failed: the content of the last released version again.
    TakenBack {
        to: u64,
        cause: String,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub number: u64,
    /// Of the whole content after it.
    pub digest: Digest,
    pub author: String,
    /// Of the grant under which it was written.
    pub epoch: Epoch,
    /// The table's time, s.
    pub at: f64,
    pub origin: Origin,
    pub change: Change,
}

impl Version {
    pub fn head(&self) -> Head {
        Head { number: self.number, digest: self.digest }
    }
}

/// A change that somebody wants, on the version that he saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    pub base: Head,
    pub author: String,
    pub epoch: Epoch,
    pub origin: Origin,
    pub change: Change,
}

/// What the keepers agree on, next to the commands of the table of grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A new owner shows its epoch, so that nothing of the one before lands from here on.
    Announce {
        epoch: Epoch,
    },
    Put(Put),
    /// These servers get a version before all others. Said again of the same version it adds servers.
    Trial {
        epoch: Epoch,
        number: u64,
        canaries: BTreeSet<String>,
    },
    /// The version on trial goes to all.
    Release {
        epoch: Epoch,
        number: u64,
    },
    /// The version on trial, and all that was put on it, makes room for the content of the last released one.
    TakeBack {
        epoch: Epoch,
        author: String,
        number: u64,
        cause: String,
    },
}

impl Command {
    pub fn epoch(&self) -> Epoch {
        match self {
            Command::Put(put) => put.epoch,
            Command::Announce { epoch }
            | Command::Trial { epoch, .. }
            | Command::Release { epoch, .. }
            | Command::TakeBack { epoch, .. } => *epoch,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The table's time, s.
    pub at: f64,
    pub command: Command,
}

/// One that was missed, without its change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Missed {
    pub number: u64,
    pub author: String,
    pub at: f64,
    pub keys: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Done {
    Announced,
    Accepted(Head),
    /// It was done before; its author missed the answer.
    Repeat(Head),
    Tried,
    Released(Head),
    TakenBack(Head),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Error)]
pub enum Refusal {
    #[error("a later owner, of epoch {seen}, has been here")]
    Late { seen: Epoch },
    /// Others were there first.
    #[error("the head is {head}; {} versions were missed, the first of them {:?}", missed.len(), missed.first())]
    Missed { head: Head, missed: Vec<Missed> },
    #[error("{0} is no version of this history")]
    Unknown(Head),
    #[error("version {0} is older than what is kept")]
    Forgotten(u64),
    #[error("{0}")]
    Unfit(Wrong),
    #[error("it changes nothing")]
    Empty,
    #[error("too many versions wait for their release")]
    Full,
    #[error("version {asked} is not what may be tried, released or taken back now; on trial is {trial:?}")]
    NotOnTrial { asked: u64, trial: Option<u64> },
    /// Said by a host that reaches no majority: nothing is decided here, what is in force stays.
    #[error("no majority of keepers is reached here: nothing can be changed, all keep what they have")]
    NoMajority,
}

/// Who may have what.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// All servers may have this one.
    pub released: u64,
    pub trial: Option<Trial>,
    /// The latest trials that failed.
    pub taken_back: VecDeque<TakenBack>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    pub number: u64,
    pub canaries: BTreeSet<String>,
    /// Table time, s.
    pub since: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakenBack {
    /// That was on trial, and the last that was put on it.
    pub number: u64,
    pub last: u64,
    pub cause: String,
    pub at: f64,
}

impl Stage {
    /// The version that a server should have.
    pub fn target(&self, server: &str) -> u64 {
        match &self.trial {
            Some(trial) if trial.canaries.contains(server) => trial.number,
            _ => self.released,
        }
    }
}

/// What is written down of a history.
#[derive(Serialize, Deserialize)]
struct Kept {
    limits: Limits,
    checkpoint: Head,
    content: Content,
    versions: VecDeque<Version>,
    epoch: Epoch,
    stage: Stage,
    applied: u64,
}

/// What a replica lacks that has the version `after`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    pub after: Head,
    pub versions: Vec<Version>,
    pub epoch: Epoch,
    pub stage: Stage,
    pub applied: u64,
}

/// A history that can't be taken from where it came.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("history: {0}")]
pub struct Torn(String);

#[derive(Clone, Debug, PartialEq)]
pub struct History {
    seal: Seal,
    limits: Limits,
    checkpoint: Head,
    /// At the checkpoint, and at the head.
    base: Content,
    content: Content,
    /// Behind the checkpoint.
    versions: VecDeque<Version>,
    bytes: usize,
    epoch: Epoch,
    stage: Stage,
    applied: u64,
}

impl History {
    pub fn new(seal: Seal, limits: Limits) -> History {
        let content = Content::default();
        History {
            limits: Limits { versions: limits.versions.max(1), bytes: limits.bytes.max(1) },
            checkpoint: seal.head(0, &content),
            seal,
            base: content.clone(),
            content,
            versions: VecDeque::new(),
            bytes: 0,
            epoch: 0,
            stage: Stage::default(),
            applied: 0,
        }
    }

    pub fn seal(&self) -> &Seal {
        &self.seal
    }
    pub fn head(&self) -> Head {
        self.versions.back().map_or(self.checkpoint, Version::head)
    }
    pub fn checkpoint(&self) -> Head {
        self.checkpoint
    }
    /// At the head.
    pub fn content(&self) -> &Content {
        &self.content
    }
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
    pub fn stage(&self) -> &Stage {
        &self.stage
    }
    /// Entries that were applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn version(&self, number: u64) -> Option<&Version> {
        let back = number.checked_sub(self.checkpoint.number + 1)?;
        self.versions.get(usize::try_from(back).ok()?)
    }

    /// A version that is kept, the checkpoint among them.
    pub fn known(&self, number: u64) -> Option<Head> {
        if number == self.checkpoint.number {
            return Some(self.checkpoint);
        }
        self.version(number).map(Version::head)
    }

    pub fn knows(&self, head: Head) -> bool {
        self.known(head.number) == Some(head)
    }

    /// The last released version.
    pub fn released(&self) -> Head {
        // What is released is never folded away, see `fold`.
        self.known(self.stage.released).unwrap_or(self.checkpoint)
    }

    /// The whole content after a version that is kept.
    pub fn content_at(&self, number: u64) -> Option<Content> {
        if number == self.head().number {
            return Some(self.content.clone());
        }
        self.known(number)?;
        let mut change = Change::default();
        self.versions.iter().take_while(|v| v.number <= number).for_each(|v| change.then(&v.change));
        self.base.after(&change).ok()
    }

    /// What makes one version of another, either way round.
    pub fn diff(&self, from: u64, to: u64) -> Result<Change, Refusal> {
        let at = |number| self.content_at(number).ok_or(Refusal::Forgotten(number));
        Ok(at(from)?.diff(&at(to)?))
    }

    /// All changes behind `from` up to `to` as one; the same bytes wherever it is worked out.
    pub fn between(&self, from: u64, to: u64) -> Option<Change> {
        self.known(from)?;
        self.known(to)?;
        let mut change = Change::default();
        let within = self.versions.iter().filter(|version| version.number > from && version.number <= to);
        within.for_each(|version| change.then(&version.change));
        Some(change)
    }

    /// Before an entry is proposed: what would become of a put here and now, and what the checks say of the content that would come to
    /// be. The keepers go by the head, not by these checks, which may differ between versions of the program.
    pub fn judge(&self, put: &Put, checker: &dyn Checker) -> Result<Head, Refusal> {
        self.late(put.epoch)?;
        let content = self.fit(put)?;
        checker.check(&content).map_err(Refusal::Unfit)?;
        Ok(self.seal.head(put.base.number + 1, &content))
    }

    /// What would bring the content of an older version back.
    pub fn rollback(&self, to: u64, author: &str, epoch: Epoch) -> Result<Put, Refusal> {
        let change = self.diff(self.head().number, to)?;
        Ok(Put { base: self.head(), author: author.into(), epoch, origin: Origin::Rollback { to }, change })
    }

    fn late(&self, epoch: Epoch) -> Result<(), Refusal> {
        match epoch {
            0 => Err(Refusal::Late { seen: self.epoch }),
            epoch if epoch < self.epoch => Err(Refusal::Late { seen: self.epoch }),
            _ => Ok(()),
        }
    }

    fn missed(&self, base: Head) -> Refusal {
        let missed = self.versions.iter().filter(|version| version.number > base.number).take(TOLD);
        let told = |version: &Version| Missed {
            number: version.number,
            author: version.author.clone(),
            at: version.at,
            keys: version.change.0.len(),
        };
        Refusal::Missed { head: self.head(), missed: missed.map(told).collect() }
    }

    /// The content that a put makes of the head.
    fn fit(&self, put: &Put) -> Result<Content, Refusal> {
        if put.base != self.head() {
            // Older than what is kept is missed as well; above the head, or of another content, it is none of ours.
            let older = put.base.number < self.checkpoint.number || self.knows(put.base);
            return Err(if older { self.missed(put.base) } else { Refusal::Unknown(put.base) });
        }
        let named = |text: &str, most| !text.is_empty() && text.len() <= most;
        if !named(&put.author, NAME) {
            return Err(Refusal::Unfit(Wrong::whole(format!("an author has 1 to {NAME} bytes"))));
        }
        let content = match &put.origin {
            Origin::Put => {
                put.change.check().map_err(Refusal::Unfit)?;
                self.content.after(&put.change).map_err(Refusal::Unfit)?
            }
            // It may be as large as it takes, but has to be what it says it is.
            Origin::Rollback { to } => {
                let content = self.content.after(&put.change).map_err(Refusal::Unfit)?;
                if content != self.content_at(*to).ok_or(Refusal::Forgotten(*to))? {
                    return Err(Refusal::Unfit(Wrong::whole(format!("not the content of version {to}"))));
                }
                content
            }
            Origin::TakenBack { .. } => {
                return Err(Refusal::Unfit(Wrong::whole("taking back is no change of an author's")))
            }
        };
        if content == self.content {
            return Err(Refusal::Empty);
        }
        let folded = self.checkpoint.number >= self.stage.released;
        if folded && (self.versions.len() >= self.limits.versions || self.bytes >= self.limits.bytes) {
            return Err(Refusal::Full);
        }
        Ok(content)
    }

    /// One entry of the log.
    pub fn apply(&mut self, entry: &Entry) -> Result<Done, Refusal> {
        self.applied += 1;
        let epoch = entry.command.epoch();
        self.late(epoch)?;
        let done = match &entry.command {
            Command::Announce { .. } => Done::Announced,
            Command::Put(put) => self.put(entry.at, put)?,
            Command::Trial { number, canaries, .. } => self.trial(entry.at, *number, canaries)?,
            Command::Release { number, .. } => self.release(*number)?,
            Command::TakeBack { author, number, cause, .. } => {
                self.take_back(entry.at, epoch, author, *number, cause)?
            }
        };
        // A refused effect moves nothing, the fence included.
        self.epoch = epoch;
        self.fold();
        Ok(done)
    }

    fn put(&mut self, at: f64, put: &Put) -> Result<Done, Refusal> {
        if let Some(done) = self.version(put.base.number + 1).filter(|_| put.base != self.head()) {
            let same = done.author == put.author && done.epoch == put.epoch && done.origin == put.origin;
            if same && done.change == put.change && self.knows(put.base) {
                return Ok(Done::Repeat(done.head()));
            }
        }
        let content = self.fit(put)?;
        let Put { author, epoch, origin, change, .. } = put.clone();
        Ok(Done::Accepted(self.push(at, author, epoch, origin, change, content)))
    }

    fn push(
        &mut self,
        at: f64,
        author: String,
        epoch: Epoch,
        origin: Origin,
        change: Change,
        content: Content,
    ) -> Head {
        let head = self.seal.head(self.head().number + 1, &content);
        self.bytes += change.bytes();
        let Head { number, digest } = head;
        self.versions.push_back(Version { number, digest, author, epoch, at, origin, change });
        self.content = content;
        head
    }

    fn on_trial(&self) -> Option<u64> {
        self.stage.trial.as_ref().map(|trial| trial.number)
    }

    fn trial(&mut self, at: f64, number: u64, canaries: &BTreeSet<String>) -> Result<Done, Refusal> {
        let trial = self.on_trial();
        let fit = number > self.stage.released && number <= self.head().number;
        if !fit || trial.is_some_and(|on| on != number) {
            return Err(Refusal::NotOnTrial { asked: number, trial });
        }
        let before = self.stage.trial.as_ref().map(|trial| &trial.canaries);
        let all: BTreeSet<String> = before.into_iter().flatten().chain(canaries).cloned().collect();
        if all.len() > CANARIES || all.iter().any(|name| name.len() > NAME) {
            return Err(Refusal::Full);
        }
        let since = self.stage.trial.as_ref().map_or(at, |trial| trial.since);
        self.stage.trial = Some(Trial { number, canaries: all, since });
        Ok(Done::Tried)
    }

    fn release(&mut self, number: u64) -> Result<Done, Refusal> {
        let trial = self.on_trial();
        if trial != Some(number) {
            if trial.is_none() && number == self.stage.released {
                return Ok(Done::Repeat(self.released()));
            }
            return Err(Refusal::NotOnTrial { asked: number, trial });
        }
        (self.stage.released, self.stage.trial) = (number, None);
        Ok(Done::Released(self.released()))
    }

    fn take_back(
        &mut self,
        at: f64,
        epoch: Epoch,
        author: &str,
        number: u64,
        cause: &str,
    ) -> Result<Done, Refusal> {
        let trial = self.on_trial();
        if trial != Some(number) {
            let before = self.stage.taken_back.back().is_some_and(|last| last.number == number);
            if trial.is_none() && before {
                return Ok(Done::Repeat(self.released()));
            }
            return Err(Refusal::NotOnTrial { asked: number, trial });
        }
        let to = self.stage.released;
        let content = self.content_at(to).ok_or(Refusal::Forgotten(to))?;
        let (last, change) = (self.head().number, self.content.diff(&content));
        let cause: String = cause.chars().take(CAUSE / 4).collect();
        let author: String = author.chars().take(NAME / 4).collect();
        let origin = Origin::TakenBack { to, cause: cause.clone() };
        let head = self.push(at, author, epoch, origin, change, content);
        // All but the canaries have this very content: there is nothing to try.
        (self.stage.released, self.stage.trial) = (head.number, None);
        self.stage.taken_back.push_back(TakenBack { number, last, cause, at });
        if self.stage.taken_back.len() > TAKEN_BACK {
            self.stage.taken_back.pop_front();
        }
        Ok(Done::TakenBack(head))
    }

    /// Folds what is over the limits into the checkpoint, but nothing that is not released: it may have to be taken back.
    fn fold(&mut self) {
        let over = |history: &History| {
            history.versions.len() > history.limits.versions || history.bytes > history.limits.bytes
        };
        while over(self) && self.checkpoint.number < self.stage.released {
            let Some(oldest) = self.versions.pop_front() else { return };
            self.bytes -= oldest.change.bytes();
            if let Ok(base) = self.base.after(&oldest.change) {
                self.base = base;
            }
            self.checkpoint = oldest.head();
        }
    }

    /// All of it, for a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        let kept = Kept {
            limits: self.limits,
            checkpoint: self.checkpoint,
            content: self.base.clone(),
            versions: self.versions.clone(),
            epoch: self.epoch,
            stage: self.stage.clone(),
            applied: self.applied,
        };
        // Plain data into memory: there is nothing that could fail.
        postcard::to_allocvec(&kept).unwrap_or_default()
    }

    /// A history from a snapshot, every digest of it worked out anew.
    pub fn restore(seal: Seal, bytes: &[u8]) -> Result<History, Torn> {
        let torn = |what: &str| Torn(what.into());
        let kept: Kept = postcard::from_bytes(bytes).map_err(|e| Torn(e.to_string()))?;
        kept.content.check().map_err(|wrong| Torn(wrong.to_string()))?;
        if seal.head(kept.checkpoint.number, &kept.content) != kept.checkpoint {
            return Err(torn("the checkpoint's digest is not that of its content"));
        }
        let mut history = History {
            seal,
            limits: kept.limits,
            checkpoint: kept.checkpoint,
            base: kept.content.clone(),
            content: kept.content,
            versions: VecDeque::new(),
            bytes: 0,
            epoch: 0,
            stage: Stage::default(),
            applied: 0,
        };
        history.extend(kept.versions)?;
        history.staged(kept.stage)?;
        (history.epoch, history.applied) = (kept.epoch, kept.applied);
        Ok(history)
    }

    fn extend(&mut self, versions: impl IntoIterator<Item = Version>) -> Result<(), Torn> {
        for version in versions {
            let content = self.content.after(&version.change).map_err(|wrong| Torn(wrong.to_string()))?;
            let head = self.seal.head(self.head().number + 1, &content);
            if version.head() != head {
                return Err(Torn(format!("version {} is not what follows {}", version.head(), self.head())));
            }
            self.bytes += version.change.bytes();
            self.versions.push_back(version);
            self.content = content;
        }
        Ok(())
    }

    fn staged(&mut self, stage: Stage) -> Result<(), Torn> {
        let on = stage.trial.as_ref().map(|trial| trial.number);
        let known =
            self.known(stage.released).is_some() && on.is_none_or(|number| self.known(number).is_some());
        if !known || stage.taken_back.len() > TAKEN_BACK || on.is_some_and(|number| number <= stage.released)
        {
            return Err(Torn("what is released or on trial is no version of it".into()));
        }
        self.stage = stage;
        Ok(())
    }

    /// For a replica that does not read the log itself and has all up to `after`. None where it needs a snapshot.
    pub fn news(&self, after: Head) -> Option<News> {
        self.known(after.number).filter(|known| *known == after)?;
        let versions =
            self.versions.iter().filter(|version| version.number > after.number).cloned().collect();
        let (epoch, stage, applied) = (self.epoch, self.stage.clone(), self.applied);
        Some(News { after, versions, epoch, stage, applied })
    }

    /// Takes news in, whole or not at all; whether there was anything new. What is older than what is known changes nothing.
    pub fn learn(&mut self, news: News) -> Result<bool, Torn> {
        if news.applied <= self.applied || news.epoch < self.epoch {
            return Ok(false);
        }
        if news.after != self.head() {
            return Err(Torn(format!("news after {}, but the head here is {}", news.after, self.head())));
        }
        let mut next = self.clone();
        next.extend(news.versions)?;
        next.staged(news.stage)?;
        (next.epoch, next.applied) = (news.epoch, news.applied);
        next.fold();
        *self = next;
        Ok(true)
    }

    /// The same from a snapshot.
    pub fn learn_whole(&mut self, bytes: &[u8]) -> Result<bool, Torn> {
        let next = History::restore(self.seal.clone(), bytes)?;
        if next.applied <= self.applied || next.epoch < self.epoch {
            return Ok(false);
        }
        if next.head().number < self.head().number {
            return Err(Torn(format!(
                "a history up to {} in place of one up to {}",
                next.head(),
                self.head()
            )));
        }
        *self = next;
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
