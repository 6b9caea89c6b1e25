//! What fails, and when: read from S-expressions, drawn from a seed, written down again. Times are s since all processes stood.
//!
//! ```text
//! (schedule (seed 7) (keepers 3) (stewards 4) (servers 6) (parts 8) (span 12s)
//!   (fault (at 2s) (do pause) (who "s1") (span 3s))
//!   (fault (at 4s) (do cut) (who "s2") (to "archive") (way there) (span 2s)))
//! ```

use puffinladder_settings::sexpr::{Block, Diagnostic, Reader};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::{self, Write};

/// A process of the ground.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Who {
    /// From 1.
    Keeper(u64),
    Steward(usize),
    Archive,
    /// A stand-in server that reports to the stewards.
    Seat(usize),
}

impl fmt::Display for Who {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Who::Keeper(number) => write!(out, "k{number}"),
            Who::Steward(number) => write!(out, "s{number}"),
            Who::Archive => out.write_str("archive"),
            Who::Seat(number) => write!(out, "n{number}"),
        }
    }
}

impl Who {
    pub fn read(text: &str) -> Option<Who> {
        if text == "archive" {
            return Some(Who::Archive);
        }
        let (kind, number) = text.split_at_checked(1)?;
        let number = number.parse().ok().filter(|number| (1..=10_000).contains(number))?;
        match kind {
            "k" => Some(Who::Keeper(number)),
            "s" => Some(Who::Steward(number as usize)),
            "n" => Some(Who::Seat(number as usize)),
            _ => None,
        }
    }
}

/// Which of a link's two directions; there is from `who` to `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Both,
    There,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// SIGSTOP, and SIGCONT after the span.
    Pause,
    /// The same, of whichever keeper leads by then.
    PauseLeader,
    /// SIGKILL, and a new start after the span with the disk as it was.
    Kill,
    /// The same, of whichever keeper leads by then.
    KillLeader,
    /// SIGTERM, and a new start after the span.
    Leave,
    /// SIGTERM to a server, and a new start once it has left by itself.
    Release,
    /// A keeper's disk is lost for good; another keeper joins in its place after the span.
    Lose,
    /// Nothing passes a link; after the span its connections break.
    Cut,
    /// Nothing passes a link, and all of it after the span, however late by then.
    Hold,
    /// A link's connections break.
    Reset,
    /// Each piece of bytes comes up to `value` s later.
    Slow,
    /// No more than `value` bytes a second.
    Trickle,
    /// A clock runs `value` times as fast.
    Rate,
    /// A wall clock is `value` s off.
    Wall,
    /// A keeper's syncs take `value` s.
    Sync,
}

const WORDS: [(&str, What); 15] = [
    ("pause", What::Pause),
    ("pause-leader", What::PauseLeader),
    ("kill", What::Kill),
    ("kill-leader", What::KillLeader),
    ("leave", What::Leave),
    ("release", What::Release),
    ("lose", What::Lose),
    ("cut", What::Cut),
    ("hold", What::Hold),
    ("reset", What::Reset),
    ("slow", What::Slow),
    ("trickle", What::Trickle),
    ("rate", What::Rate),
    ("wall", What::Wall),
    ("sync", What::Sync),
];
const WAYS: [(&str, Way); 3] = [("both", Way::Both), ("there", Way::There), ("back", Way::Back)];

impl What {
    pub fn word(self) -> &'static str {
        WORDS.iter().find(|(_, what)| *what == self).map_or("", |(word, _)| word)
    }
    fn on_link(self) -> bool {
        matches!(self, What::Cut | What::Hold | What::Reset | What::Slow | What::Trickle)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: f64,
    pub what: What,
    pub who: Who,
    /// Of a link: the other end, or every other.
    pub to: Option<Who>,
    pub way: Way,
    pub span: f64,
    pub value: f64,
}

impl Fault {
    pub fn new(at: f64, what: What, who: Who, span: f64) -> Fault {
        Fault { at, what, who, to: None, way: Way::Both, span, value: 0.0 }
    }
    /// Whether a link from one to another is meant, and which of its directions, as seen from its dialling end.
    pub fn hits(&self, from: Who, to: Who) -> Option<Way> {
        let other = |end: Who| self.to.is_none_or(|to| to == end);
        if self.who == from && other(to) {
            return Some(self.way);
        }
        let turned = match self.way {
            Way::Both => Way::Both,
            Way::There => Way::Back,
            Way::Back => Way::There,
        };
        (self.who == to && other(from)).then_some(turned)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    pub keepers: u64,
    pub stewards: usize,
    /// Stand-in servers that report to the stewards, for parts of a quota and turns to leave.
    pub seats: usize,
    /// Servers whose traces are gathered, and parts of that duty.
    pub servers: usize,
    pub parts: usize,
    /// Files that each server has written before anything begins, and s from one file to the next, over all of them.
    pub backlog: usize,
    pub files: f64,
    /// s for which there is traffic, and faults begin.
    pub span: f64,
    /// The term of grants, s; all other times of the keepers follow from it.
    pub term: f64,
    pub faults: Vec<Fault>,
}

impl Default for Schedule {
    fn default() -> Schedule {
        Schedule {
            seed: 1,
            keepers: 3,
            stewards: 3,
            seats: 0,
            servers: 6,
            parts: 6,
            backlog: 1,
            files: 0.02,
            span: 8.0,
            term: 0.6,
            faults: Vec::new(),
        }
    }
}

/// Longest schedule, s, and most faults.
const LONGEST: f64 = 3600.0;
const MOST: usize = 10_000;

impl Schedule {
    pub fn read(file: &str, text: &str) -> Result<Schedule, Vec<Diagnostic>> {
        let reader = Reader::new(file, text);
        let forms = reader.parse();
        let top = reader.top_level(&forms);
        let usual = Schedule::default();
        let read = top.block("schedule").map(|block| {
            let mut schedule = Schedule {
                seed: block.count("seed", usual.seed as usize, 0..=usize::MAX) as u64,
                keepers: block.count("keepers", usual.keepers as usize, 1..=9) as u64,
                stewards: block.count("stewards", usual.stewards, 1..=300),
                seats: block.count("seats", usual.seats, 0..=300),
                servers: block.count("servers", usual.servers, 1..=300),
                parts: block.count("parts", usual.parts, 1..=10_000),
                backlog: block.count("backlog", usual.backlog, 0..=10_000),
                files: block.duration("files", usual.files, 0.001..=60.0),
                span: block.duration("span", usual.span, 0.1..=LONGEST),
                term: block.duration("term", usual.term, 0.2..=60.0),
                faults: Vec::new(),
            };
            let faults = block.blocks("fault");
            if faults.len() > MOST {
                block.report("fault", format!("should stand here {MOST} times at the most"));
            }
            schedule.faults = faults.iter().take(MOST).map(|one| fault(one, &schedule)).collect();
            block.finish();
            schedule
        });
        if read.is_none() {
            top.report("schedule", "should be given");
        }
        top.finish();
        match (read, reader.into_diagnostics()) {
            (Some(schedule), faults) if faults.is_empty() => Ok(schedule),
            (_, faults) => Err(faults),
        }
    }

    pub fn has(&self, who: Who) -> bool {
        match who {
            Who::Keeper(number) => (1..=self.keepers).contains(&number),
            Who::Steward(number) => (1..=self.stewards).contains(&number),
            Who::Archive => true,
            Who::Seat(number) => (1..=self.seats).contains(&number),
        }
    }

    pub fn all(&self) -> Vec<Who> {
        let keepers = (1..=self.keepers).map(Who::Keeper);
        let stewards = (1..=self.stewards).map(Who::Steward);
        keepers.chain([Who::Archive]).chain(stewards).chain((1..=self.seats).map(Who::Seat)).collect()
    }

    /// The same with other faults.
    pub fn with(&self, faults: Vec<Fault>) -> Schedule {
        Schedule { faults, ..self.clone() }
    }

    /// One drawn from a seed: the same for the same seed and size.
    pub fn draw(seed: u64, size: &Schedule) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut drawn = Schedule { seed, faults: Vec::new(), ..size.clone() };
        let clocks = drawn.all();
        for who in clocks {
            if rng.random_bool(0.4) {
                let value = 1.0 + rng.random_range(-0.01..0.01);
                drawn.faults.push(Fault { value, ..Fault::new(0.0, What::Rate, who, LONGEST) });
            }
        }
        let count = rng.random_range(4..=10);
        let mut lost = false;
        for _ in 0..count {
            let at = rng.random_range(0.3..drawn.span.max(0.6) * 0.9);
            // Short ones heal within a term, long ones outlast it several times.
            let short = rng.random_bool(0.3);
            let terms = if short { rng.random_range(0.1..0.9) } else { rng.random_range(1.5..5.0) };
            let span = terms * drawn.term;
            let keeper = Who::Keeper(rng.random_range(1..=drawn.keepers));
            let steward = Who::Steward(rng.random_range(1..=drawn.stewards));
            let way = [Way::Both, Way::There, Way::Back][rng.random_range(0..3)];
            let Who::Keeper(number) = keeper else { continue };
            let other = Who::Keeper(1 + number % drawn.keepers);
            let ends = [(steward, Who::Archive), (steward, keeper), (keeper, other)];
            let (from, to) = ends[rng.random_range(0..3)];
            let link = |what| Fault { to: Some(to), way, ..Fault::new(at, what, from, span) };
            let fault = match rng.random_range(0..17) {
                // Stewards in the middle of a step are what all of this is about.
                0..4 => Fault::new(at, What::Pause, steward, span),
                4 => Fault::new(at, What::PauseLeader, keeper, span),
                5 => Fault::new(at, What::Pause, Who::Archive, span.min(2.0 * drawn.term)),
                6 => Fault::new(at, What::Kill, steward, span),
                7 => Fault::new(at, What::KillLeader, keeper, span),
                8 => Fault::new(at, What::Kill, Who::Archive, 0.5 * drawn.term),
                9 => Fault::new(at, What::Leave, steward, span),
                10 if !lost && drawn.keepers >= 3 => {
                    lost = true;
                    Fault::new(at, What::Lose, keeper, drawn.term)
                }
                11 => link(What::Cut),
                // What a steward said is on its way until another has its grants, and the archive may be another life by then.
                12 | 13 => {
                    let held = rng.random_range(2.5..6.0) * drawn.term;
                    let stood = Fault::new(at + 0.1 * drawn.term, What::Pause, steward, held);
                    drawn.faults.push(stood);
                    Fault {
                        to: Some(Who::Archive),
                        way: Way::There,
                        ..Fault::new(at, What::Hold, steward, held)
                    }
                }
                14 => Fault { value: rng.random_range(0.02..0.3), ..link(What::Slow) },
                15 => Fault { value: rng.random_range(2e3..5e4), ..link(What::Trickle) },
                16 => {
                    let off = rng.random_range(-86_400.0..86_400.0);
                    Fault { value: off, ..Fault::new(at, What::Wall, steward, LONGEST) }
                }
                _ => Fault { value: rng.random_range(0.1..2.0), ..Fault::new(at, What::Sync, keeper, span) },
            };
            drawn.faults.push(fault);
        }
        // Servers fail too: two or three times where there are any.
        for _ in 0..if drawn.seats > 0 { rng.random_range(2..=3) } else { 0 } {
            let at = rng.random_range(0.3..drawn.span.max(0.6) * 0.9);
            let seat = Who::Seat(rng.random_range(1..=drawn.seats));
            let steward = Who::Steward(rng.random_range(1..=drawn.stewards));
            let span = rng.random_range(0.1..4.0) * drawn.term;
            let way = [Way::Both, Way::There, Way::Back][rng.random_range(0..3)];
            drawn.faults.push(match rng.random_range(0..5) {
                0 => Fault::new(at, What::Pause, seat, span),
                1 => Fault::new(at, What::Kill, seat, span),
                2 => Fault { way, ..Fault::new(at, What::Hold, seat, span) },
                3 => Fault { way, to: Some(steward), ..Fault::new(at, What::Cut, seat, span) },
                _ => Fault::new(at, What::Release, seat, 0.0),
            });
        }
        drawn.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        drawn
    }
}

fn fault(block: &Block, schedule: &Schedule) -> Fault {
    let who = |key: &'static str| {
        let text = block.text(key)?;
        let found = Who::read(&text).filter(|who| schedule.has(*who));
        if found.is_none() {
            block.report(
                key,
                format!(
                    "{text:?}: should be a process of this schedule, such as \"k1\", \"s1\" or \"archive\""
                ),
            );
        }
        found
    };
    let what = block.choice("do", What::Pause, &WORDS);
    for key in ["at", "do", "who"] {
        block.require(key);
    }
    let usual = match what {
        What::Slow => 0.1,
        What::Trickle => 10_000.0,
        What::Rate => 1.0,
        What::Sync => 1.0,
        _ => 0.0,
    };
    let read = Fault {
        at: block.duration("at", 0.0, 0.0..=LONGEST),
        what,
        who: who("who").unwrap_or(Who::Archive),
        to: who("to"),
        way: block.choice("way", Way::Both, &WAYS),
        span: block.duration("span", 1.0, 0.0..=LONGEST),
        value: block.number("value", usual, -1e6..=1e9),
    };
    if read.to.is_some() && !what.on_link() {
        block.report("to", "is for links alone: cut, hold, reset, slow, trickle");
    }
    let keeper = matches!(read.who, Who::Keeper(_));
    if matches!(what, What::Lose | What::Sync) && !keeper {
        block.report("who", "should be a keeper");
    }
    if what == What::Release && !matches!(read.who, Who::Seat(_)) {
        block.report("who", "should be a server, such as \"n1\"");
    }
    if what == What::Rate && !(0.1..=10.0).contains(&read.value) {
        block.report("value", "should be a rate from 0.1 to 10");
    }
    block.finish();
    read
}

impl fmt::Display for Schedule {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let (keepers, stewards) = (self.keepers, self.stewards);
        write!(
            out,
            "(schedule (seed {}) (keepers {keepers}) (stewards {stewards}) (seats {})",
            self.seed, self.seats
        )?;
        write!(
            out,
            " (servers {}) (parts {}) (span {}s) (term {}s)",
            self.servers, self.parts, self.span, self.term
        )?;
        write!(out, " (backlog {}) (files {}s)", self.backlog, self.files)?;
        for fault in &self.faults {
            let mut more = String::new();
            if let Some(to) = fault.to {
                let _ = write!(more, " (to \"{to}\")");
            }
            if fault.way != Way::Both {
                let way = WAYS.iter().find(|(_, way)| *way == fault.way).map_or("", |(word, _)| word);
                let _ = write!(more, " (way {way})");
            }
            if fault.value != 0.0 {
                let _ = write!(more, " (value {})", fault.value);
            }
            let (at, what, who, span) = (fault.at, fault.what.word(), fault.who, fault.span);
            write!(out, "\n  (fault (at {at}s) (do {what}) (who \"{who}\"){more} (span {span}s))")?;
        }
        out.write_str(")\n")
    }
}

#[cfg(test)]
mod tests;
