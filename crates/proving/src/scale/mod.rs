//! Scale tests: control services with many servers and callers in front and behind them, some of which fail, and what must not grow with them.
//! Judged by counts that the processes report of themselves, and by the descriptors that the system counts for them; time only ends a
//! wait that would not end, which fails the run.

pub mod stories;
mod world;

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

/// How worlds are made.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program, whose hidden commands the processes are.
    pub program: PathBuf,
    /// Where each world's folder is made; it is kept where something did not hold, or always.
    pub folder: PathBuf,
    pub keep: bool,
    pub seed: u64,
}

/// How many there are at first; stories that compare also play three times as many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub servers: usize,
    pub callers: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Story {
    Steady,
    Budget,
    Change,
    Restart,
    Zone,
    Cut,
    Slow,
    Dead,
}

impl Story {
    pub const ALL: [Story; 8] = [
        Story::Steady,
        Story::Budget,
        Story::Change,
        Story::Restart,
        Story::Zone,
        Story::Cut,
        Story::Slow,
        Story::Dead,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Story::Steady => "steady",
            Story::Budget => "budget",
            Story::Change => "change",
            Story::Restart => "restart",
            Story::Zone => "zone",
            Story::Cut => "cut",
            Story::Slow => "slow",
            Story::Dead => "dead",
        }
    }
}

impl fmt::Display for Story {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.pad(self.name())
    }
}

impl FromStr for Story {
    type Err = String;
    fn from_str(text: &str) -> Result<Story, String> {
        Story::ALL.into_iter().find(|story| story.name() == text).ok_or_else(|| {
            let all: Vec<&str> = Story::ALL.iter().map(|story| story.name()).collect();
            format!("should be one of {}", all.join(", "))
        })
    }
}

/// What a count has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Must {
    Be(f64),
    /// At the most, at the least.
    Most(f64),
    Least(f64),
}

impl Must {
    /// A count that is no number holds nowhere.
    pub fn holds(self, seen: f64) -> bool {
        match self {
            Must::Be(wanted) => seen == wanted,
            Must::Most(most) => seen <= most,
            Must::Least(least) => seen >= least,
        }
    }
}

impl fmt::Display for Must {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let text = match self {
            Must::Be(wanted) => format!("= {}", Figure(*wanted)),
            Must::Most(most) => format!("<= {}", Figure(*most)),
            Must::Least(least) => format!(">= {}", Figure(*least)),
        };
        to.pad(&text)
    }
}

/// A count, or a ratio with two places.
struct Figure(f64);

impl fmt::Display for Figure {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let text = match self.0 {
            whole if whole.fract() == 0.0 => format!("{whole:.0}"),
            part => format!("{part:.2}"),
        };
        to.pad(&text)
    }
}

/// One thing that was asserted.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub story: Story,
    pub what: String,
    pub must: Must,
    pub seen: f64,
}

impl Row {
    pub fn holds(&self) -> bool {
        self.must.holds(self.seen)
    }
}

/// What came of a story.
#[derive(Debug)]
pub struct Told {
    pub story: Story,
    pub rows: Vec<Row>,
    /// A wait that did not end, or a process that did.
    pub fault: Option<String>,
    /// Folders of worlds that were kept.
    pub kept: Vec<PathBuf>,
}

impl Told {
    pub fn holds(&self) -> bool {
        self.fault.is_none() && !self.rows.is_empty() && self.rows.iter().all(Row::holds)
    }
}

impl fmt::Display for Told {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        for row in &self.rows {
            let (verdict, seen) = (if row.holds() { "holds" } else { "FAILS" }, Figure(row.seen));
            writeln!(to, "{:<8} {:<72} {seen:>10}  {:<12} {verdict}", row.story, row.what, row.must)?;
        }
        if let Some(fault) = &self.fault {
            writeln!(to, "{:<8} FAILS: {fault}", self.story)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
