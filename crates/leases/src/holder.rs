//! What an instance knows of its own grants. Its host sends what [`Holder::ask`] gives, hands in what comes back, and before every
//! step of a duty asks [`Holder::may`]. Times are s by the instance's own monotonic clock.
//!
//! The term counts from when a line was sent: whatever the network did to it, the keepers count from later. A process that was stopped
//! finds out at its first look, since every look compares the clock with what the last answered line allows.

use crate::sent::Sent;
use crate::table::{Granted, Mark, Refused, Said, Told};
use crate::{Duty, Epoch, Owner};
use std::collections::{BTreeMap, BTreeSet};

/// Share of the term after which a line is due; four may fail before a grant runs out.
pub const RENEW: f64 = 0.2;
/// Share of the term left under which no new step is begun.
pub const DOUBT: f64 = 0.25;
/// Lines that may be unanswered and still be counted from; older answers come too late to matter.
const SENT: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It may begin steps.
    Holds,
    /// The term has run low: the step under way may end, no new one begins.
    Doubts,
    /// Taken back: as soon as no step is under way it is handed over.
    Yields,
    /// Ended; what is still under way here lands at no fence.
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The term ran out unanswered, or this process stood still.
    TermOver,
    /// Handed over as asked.
    HandedOver,
    /// The keepers no longer list it: it ran out there.
    Unlisted,
    /// A later incarnation has spoken.
    Superseded,
    /// A fence has seen a later epoch.
    Fenced,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Begin with a duty under this epoch.
    Begin(Duty, Epoch),
    /// End the step under way, begin none, then call [`Holder::ended`].
    Yield(Duty, Epoch),
    /// Drop it at once.
    StandDown(Duty, Epoch, Why),
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    epoch: Epoch,
    /// Taken back: believed in until then at the latest, whatever later answers allow.
    back: Option<f64>,
    /// A step is under way.
    busy: bool,
    done: u64,
    work: bool,
    /// Its mark is to be told: in the next line, or again until the line of that serial is answered.
    news: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    me: Owner,
    zone: String,
    wants: BTreeSet<String>,
    leaving: bool,
    sent: Sent,
    /// Until when the last answered line allows to believe in grants.
    until: f64,
    term: f64,
    /// The answer that was taken last.
    heard: (u64, u64),
    held: BTreeMap<Duty, Held>,
    given: Vec<(Duty, Epoch)>,
    /// Dropped in the middle of a step: not given back before the step has ended, since an effect may be on its way.
    lingers: BTreeSet<(Duty, Epoch)>,
    asked: Option<f64>,
    urgent: bool,
    over: Option<Refused>,
}

impl Holder {
    /// `term` is a guess until an answer tells it; it only paces the first lines.
    pub fn new(me: Owner, zone: &str, wants: impl IntoIterator<Item = String>, term: f64) -> Holder {
        Holder {
            me,
            zone: zone.into(),
            wants: wants.into_iter().collect(),
            leaving: false,
            sent: Sent::after(0, SENT),
            until: f64::MIN,
            term,
            heard: (0, 0),
            held: BTreeMap::new(),
            given: Vec::new(),
            lingers: BTreeSet::new(),
            asked: None,
            urgent: true,
            over: None,
        }
    }

    pub fn me(&self) -> &Owner {
        &self.me
    }
    /// Why the keepers will have nothing more of this incarnation, if so.
    pub fn refused(&self) -> Option<Refused> {
        self.over
    }
    pub fn leaving(&self) -> bool {
        self.leaving
    }
    pub fn holds(&self) -> impl Iterator<Item = (&Duty, Epoch)> {
        self.held.iter().map(|(duty, held)| (duty, held.epoch))
    }

    /// The instance drains: everything is handed over.
    pub fn leave(&mut self) {
        self.urgent |= !self.leaving;
        self.leaving = true;
    }

    /// The next line is due at once: a keeper that may have heard none is spoken to.
    pub fn hurry(&mut self) {
        self.urgent = true;
    }

    /// Whether anything that was given back is not known to be heard.
    pub fn owes(&self) -> bool {
        !self.given.is_empty() || !self.lingers.is_empty()
    }

    /// When the next line is due; at once after news.
    pub fn due(&self) -> f64 {
        match self.asked {
            Some(asked) if !self.urgent => asked + RENEW * self.term,
            _ => f64::MIN,
        }
    }

    /// The line to send now, if one is due. It is to be sent at once: the term counts from `now`. What was given up or done is told again
    /// until an answer shows that it was heard.
    pub fn ask(&mut self, now: f64) -> Option<Said> {
        if now < self.due() || self.over == Some(Refused::Superseded) {
            return None;
        }
        (self.asked, self.urgent) = (Some(now), false);
        let serial = self.sent.send(now);
        let mut marks = Vec::new();
        for (duty, held) in &mut self.held {
            if let Some(told) = &mut held.news {
                *told = if *told == 0 { serial } else { *told };
                marks.push(Mark { duty: duty.clone(), epoch: held.epoch, done: held.done, work: held.work });
            }
        }
        Some(Said {
            owner: self.me.clone(),
            zone: self.zone.clone(),
            serial,
            wants: self.wants.clone(),
            leaving: self.leaving,
            marks,
            given: self.given.clone(),
            knows: self.heard.1,
        })
    }

    /// Takes in what a keeper told, however late or often it comes.
    pub fn told(&mut self, now: f64, told: &Told) -> Vec<Act> {
        let mut acts = self.look(now);
        if told.owner != self.me {
            return acts;
        }
        if let Some(refused) = told.refused {
            self.over = Some(refused);
            if refused == Refused::Superseded {
                acts.extend(self.all_down(Why::Superseded));
            }
            return acts;
        }
        // An answer to a line that was never sent, or older than what is known, says nothing.
        if told.serial > self.sent.last() || (told.serial, told.version) < self.heard {
            return acts;
        }
        self.over = None;
        let sent = self.sent.at(told.serial);
        let before = self.until;
        // Without the list only that much is known: nothing changed since the version that was told along.
        let whole = told.grants.is_some() || told.version == self.heard.1;
        if !whole {
            self.urgent = true;
            return acts;
        }
        if let Some(at) = sent.filter(|_| told.term.is_finite() && told.term > 0.0) {
            self.term = told.term;
            self.until = self.until.max(at + told.term);
        }
        if told.serial > self.heard.0 {
            // That line was heard with all it said.
            for held in self.held.values_mut() {
                held.news = held.news.filter(|line| *line == 0 || *line > told.serial);
            }
        }
        self.heard = (told.serial, told.version);
        if let Some(grants) = &told.grants {
            acts.extend(self.list(now, before, grants));
        }
        acts
    }

    /// Takes the keepers' list: what is missing there has ended, what is new begins.
    fn list(&mut self, now: f64, before: f64, grants: &[Granted]) -> Vec<Act> {
        let mut acts = Vec::new();
        let listed: BTreeMap<&Duty, &Granted> = grants.iter().map(|grant| (&grant.duty, grant)).collect();
        let gone = |duty: &Duty, held: &Held| listed.get(duty).is_none_or(|grant| grant.epoch != held.epoch);
        let ended: Vec<Duty> = self.held.iter().filter(|(d, h)| gone(d, h)).map(|(d, _)| d.clone()).collect();
        for duty in ended {
            acts.extend(self.down(&duty, Why::Unlisted));
        }
        self.given.retain(|(duty, epoch)| listed.get(duty).is_some_and(|grant| grant.epoch == *epoch));
        for (duty, grant) in listed {
            if self.lingers.contains(&(duty.clone(), grant.epoch)) {
                continue;
            }
            let given = self.given.iter().any(|(old, epoch)| old == duty && *epoch == grant.epoch);
            match self.held.get_mut(duty) {
                Some(held) if grant.back && held.back.is_none() => {
                    held.back = Some(before);
                    acts.push(Act::Yield(duty.clone(), grant.epoch));
                }
                Some(_) => {}
                None if given || grant.back || now >= self.until => {
                    // Known to be over, or never begun: given back as soon as a line goes out.
                    if !given {
                        self.given.push((duty.clone(), grant.epoch));
                        self.urgent = true;
                    }
                }
                None => {
                    let held = Held {
                        epoch: grant.epoch,
                        back: None,
                        busy: false,
                        done: 0,
                        work: false,
                        news: None,
                    };
                    self.held.insert(duty.clone(), held);
                    acts.push(Act::Begin(duty.clone(), grant.epoch));
                }
            }
        }
        acts
    }

    /// Looks at the clock: what has run out is dropped.
    pub fn look(&mut self, now: f64) -> Vec<Act> {
        let over = |held: &Held| now >= self.end_of(held);
        let ended: Vec<Duty> =
            self.held.iter().filter(|(_, h)| over(h)).map(|(duty, _)| duty.clone()).collect();
        ended.iter().filter_map(|duty| self.down(duty, Why::TermOver)).collect()
    }

    /// Until when a grant may be believed in.
    fn end_of(&self, held: &Held) -> f64 {
        held.back.map_or(self.until, |back| back.min(self.until))
    }

    pub fn stage(&self, now: f64, duty: &Duty) -> Stage {
        let Some(held) = self.held.get(duty) else { return Stage::Down };
        match self.end_of(held) - now {
            left if left <= 0.0 => Stage::Down,
            _ if held.back.is_some() || self.leaving => Stage::Yields,
            left if left < DOUBT * self.term => Stage::Doubts,
            _ => Stage::Holds,
        }
    }

    /// Begins a step, if one may begin now: its epoch, and until when it may be believed in. Steps are bounded: one that would last longer
    /// than what is left must not begin.
    pub fn may(&mut self, now: f64, duty: &Duty) -> Option<(Epoch, f64)> {
        if self.stage(now, duty) != Stage::Holds {
            return None;
        }
        let held = self.held.get_mut(duty).filter(|held| !held.busy)?;
        held.busy = true;
        Some((held.epoch, self.until))
    }

    /// A step is over; `progress` says whether it got anything done, `work` whether there is more. Acts on what waited for its end.
    pub fn stepped(&mut self, now: f64, duty: &Duty, epoch: Epoch, progress: bool, work: bool) -> Vec<Act> {
        let acts = self.look(now);
        if let Some(held) = self.held.get_mut(duty).filter(|held| held.epoch == epoch) {
            held.busy = false;
            held.done += u64::from(progress);
            if progress || work != held.work {
                held.news = Some(0);
            }
            held.work = work;
        } else if self.lingers.remove(&(duty.clone(), epoch)) {
            self.given.push((duty.clone(), epoch));
            self.urgent = true;
        }
        acts
    }

    /// The host has ended a duty as asked: no effect of it is on its way. It is handed over with the next line, which is due at once.
    pub fn ended(&mut self, duty: &Duty, epoch: Epoch) -> Option<Act> {
        self.held.get(duty).filter(|held| held.epoch == epoch && !held.busy)?;
        self.down(duty, Why::HandedOver)
    }

    /// A fence refused this epoch: another has the duty, whatever is believed here.
    pub fn fenced(&mut self, duty: &Duty, epoch: Epoch) -> Option<Act> {
        self.held.get(duty).filter(|held| held.epoch == epoch)?;
        self.down(duty, Why::Fenced)
    }

    fn down(&mut self, duty: &Duty, why: Why) -> Option<Act> {
        let held = self.held.remove(duty)?;
        let grant = (duty.clone(), held.epoch);
        if held.busy {
            self.lingers.insert(grant);
        } else if why != Why::Unlisted {
            // Should the keepers still list it when they are heard again, it is not picked up anew under the old epoch.
            self.given.push(grant);
            self.urgent = true;
        }
        Some(Act::StandDown(duty.clone(), held.epoch, why))
    }

    fn all_down(&mut self, why: Why) -> Vec<Act> {
        let all: Vec<Duty> = self.held.keys().cloned().collect();
        all.iter().filter_map(|duty| self.down(duty, why)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERM: f64 = 2.0;

    fn duty(part: u32) -> Duty {
        Duty::new("gather", part)
    }

    fn holder() -> Holder {
        Holder::new(Owner::new("n1", 7), "east", ["gather".to_string()], TERM)
    }

    fn told(serial: u64, version: u64, grants: &[(u32, Epoch, bool)]) -> Told {
        let grant = |(part, epoch, back): &(u32, Epoch, bool)| Granted {
            duty: duty(*part),
            epoch: *epoch,
            back: *back,
        };
        Told {
            owner: Owner::new("n1", 7),
            serial,
            term: TERM,
            version,
            grants: Some(grants.iter().map(grant).collect()),
            refused: None,
        }
    }

    /// One that holds part 0 under epoch 5 by a line that was sent at 100.
    fn owner() -> Holder {
        let mut holder = holder();
        assert_eq!(holder.ask(100.0).unwrap().serial, 1);
        assert_eq!(holder.told(100.4, &told(1, 3, &[(0, 5, false)])), [Act::Begin(duty(0), 5)]);
        holder
    }

    #[test]
    fn the_term_counts_from_when_the_line_was_sent() {
        let mut holder = owner();
        assert_eq!(holder.may(100.5, &duty(0)), Some((5, 102.0)));
        assert_eq!(holder.stage(101.6, &duty(0)), Stage::Doubts);
        assert_eq!(holder.stage(102.0, &duty(0)), Stage::Down);
        // It was stopped in the middle of a step, and finds out at its first look.
        assert_eq!(holder.look(500.0), [Act::StandDown(duty(0), 5, Why::TermOver)]);
        assert_eq!(holder.may(500.0, &duty(0)), None);
    }

    #[test]
    fn what_was_under_way_when_a_grant_ended_is_handed_back_only_once_it_has_ended() {
        let mut holder = owner();
        holder.may(100.5, &duty(0)).unwrap();
        holder.look(103.0);
        assert!(holder.ask(103.0).unwrap().given.is_empty(), "an effect is on its way");
        // The keepers still list it: it is not begun anew under the old epoch.
        assert!(holder.told(103.1, &told(2, 4, &[(0, 5, false)])).is_empty());
        holder.stepped(103.2, &duty(0), 5, true, true);
        assert_eq!(holder.ask(103.2).unwrap().given, [(duty(0), 5)]);
    }

    #[test]
    fn a_grant_taken_back_ends_with_the_term_before_the_news_whatever_is_renewed() {
        let mut holder = owner();
        holder.may(100.5, &duty(0)).unwrap();
        holder.ask(101.0).unwrap();
        let acts = holder.told(101.1, &told(2, 4, &[(0, 5, true), (1, 6, false)]));
        assert_eq!(acts, [Act::Yield(duty(0), 5), Act::Begin(duty(1), 6)]);
        assert_eq!(holder.may(101.2, &duty(0)), None, "no new step");
        assert_eq!(
            (holder.stage(101.9, &duty(0)), holder.stage(102.0, &duty(0))),
            (Stage::Yields, Stage::Down)
        );
        assert_eq!(holder.stage(102.0, &duty(1)), Stage::Holds);
        assert_eq!(holder.ended(&duty(0), 5), None, "its step is still under way");
        holder.stepped(101.5, &duty(0), 5, true, false);
        assert_eq!(holder.ended(&duty(0), 5), Some(Act::StandDown(duty(0), 5, Why::HandedOver)));
        assert_eq!(holder.ask(101.5).unwrap().given, [(duty(0), 5)], "at once");
    }

    #[test]
    fn old_answers_foreign_ones_and_those_to_lines_never_sent_change_nothing() {
        let mut holder = owner();
        holder.ask(101.0).unwrap();
        holder.told(101.1, &told(2, 6, &[(0, 5, false)]));
        let foreign = Told { owner: Owner::new("n1", 6), ..told(2, 9, &[]) };
        for answer in [told(1, 5, &[]), told(2, 5, &[]), told(9, 9, &[]), foreign] {
            assert!(holder.told(101.2, &answer).is_empty(), "{answer:?}");
        }
        assert_eq!(holder.stage(102.6, &duty(0)), Stage::Doubts, "by the line that was sent at 101");
    }

    #[test]
    fn an_answer_without_the_list_renews_only_what_is_known() {
        let mut holder = owner();
        assert_eq!(holder.ask(101.0).unwrap().knows, 3);
        let short = |version| Told { grants: None, ..told(2, version, &[]) };
        assert!(holder.told(101.1, &short(8)).is_empty());
        assert_eq!(
            holder.stage(102.0, &duty(0)),
            Stage::Down,
            "what changed is not known, so nothing is renewed"
        );
        assert!(holder.told(101.1, &short(3)).is_empty());
        assert_eq!(holder.stage(102.0, &duty(0)), Stage::Holds);
    }

    #[test]
    fn marks_are_told_until_they_were_heard() {
        let mut holder = owner();
        holder.may(100.5, &duty(0)).unwrap();
        holder.stepped(100.6, &duty(0), 5, true, true);
        let mark = Mark { duty: duty(0), epoch: 5, done: 1, work: true };
        assert_eq!(holder.ask(101.0).unwrap().marks, std::slice::from_ref(&mark));
        assert_eq!(holder.ask(101.5).unwrap().marks, [mark], "the first line may be lost");
        holder.told(101.6, &told(2, 3, &[(0, 5, false)]));
        assert!(holder.ask(102.0).unwrap().marks.is_empty());
    }

    #[test]
    fn a_fence_that_knows_better_ends_it_and_a_later_life_ends_all() {
        let mut holder = owner();
        holder.may(100.5, &duty(0)).unwrap();
        assert_eq!(holder.fenced(&duty(0), 4), None, "that was another grant");
        assert_eq!(holder.fenced(&duty(0), 5), Some(Act::StandDown(duty(0), 5, Why::Fenced)));
        let mut holder = owner();
        let refused = Told { refused: Some(Refused::Superseded), grants: None, ..told(2, 0, &[]) };
        assert_eq!(holder.told(100.6, &refused), [Act::StandDown(duty(0), 5, Why::Superseded)]);
        assert_eq!(holder.ask(109.0), None);
    }
}
