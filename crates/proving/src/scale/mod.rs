//! Scale tests: control services with many servers and callers in front and behind them, some of which fail, and what must not grow with them.
//! Judged by counts that the processes report of themselves, and by the descriptors that the system counts for them; time only ends a
//! wait that would not end, which fails the run.

mod fleet;
pub mod scenarios;

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

/// How worlds are made.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The program, whose hidden commands the processes are.
    pub program: PathBuf,
    /// Where each world's folder is made; it is kept where something did not hold, or always.
    pub folder: PathBuf,
    pub keep: bool,
    pub seed: u64,
}

/// How many there are at first; stories that compare also play three times as many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    pub servers: usize,
    pub callers: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    Steady,
    Budget,
    Change,
    Restart,
    Zone,
    Cut,
    Slow,
    Dead,
}

impl Scenario {
    pub const ALL: [Scenario; 8] = [
        Scenario::Steady,
        Scenario::Budget,
        Scenario::Change,
        Scenario::Restart,
        Scenario::Zone,
        Scenario::Cut,
        Scenario::Slow,
        Scenario::Dead,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::Budget => "budget",
            Scenario::Change => "change",
            Scenario::Restart => "restart",
            Scenario::Zone => "zone",
            Scenario::Cut => "cut",
            Scenario::Slow => "slow",
            Scenario::Dead => "dead",
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.pad(self.name())
    }
}

impl FromStr for Scenario {
    type Err = String;
    fn from_str(text: &str) -> Result<Scenario, String> {
        Scenario::ALL.into_iter().find(|scenario| scenario.name() == text).ok_or_else(|| {
            let all: Vec<&str> = Scenario::ALL.iter().map(|scenario| scenario.name()).collect();
            format!("should be one of {}", all.join(", "))
        })
    }
}

/// What a count has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expectation {
    Equal(f64),
    /// At the most, at the least.
    AtMost(f64),
    AtLeast(f64),
}

impl Expectation {
    /// A count that is no number holds nowhere.
    pub fn passed(self, seen: f64) -> bool {
        match self {
            Expectation::Equal(wanted) => seen == wanted,
            Expectation::AtMost(most) => seen <= most,
            Expectation::AtLeast(least) => seen >= least,
        }
    }
}

impl fmt::Display for Expectation {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let text = match self {
            Expectation::Equal(wanted) => format!("= {}", DisplayValue(*wanted)),
            Expectation::AtMost(most) => format!("<= {}", DisplayValue(*most)),
            Expectation::AtLeast(least) => format!(">= {}", DisplayValue(*least)),
        };
        to.pad(&text)
    }
}

/// A count, or a ratio with two places.
struct DisplayValue(f64);

impl fmt::Display for DisplayValue {
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
pub struct Assertion {
    pub scenario: Scenario,
    pub description: String,
    pub expected: Expectation,
    pub observed: f64,
}

impl Assertion {
    pub fn passed(&self) -> bool {
        self.expected.passed(self.observed)
    }
}

/// What came of a scenario.
#[derive(Debug)]
pub struct ScenarioReport {
    pub scenario: Scenario,
    pub assertions: Vec<Assertion>,
    /// A wait that did not end, or a process that did.
    pub error: Option<String>,
    /// Folders of worlds that were kept.
    pub kept_folders: Vec<PathBuf>,
}

impl ScenarioReport {
    pub fn passed(&self) -> bool {
        self.error.is_none() && !self.assertions.is_empty() && self.assertions.iter().all(Assertion::passed)
    }
}

impl fmt::Display for ScenarioReport {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        for assertion in &self.assertions {
            let (verdict, seen) =
                (if assertion.passed() { "holds" } else { "FAILS" }, DisplayValue(assertion.observed));
            writeln!(
                to,
                "{:<8} {:<72} {seen:>10}  {:<12} {verdict}",
                assertion.scenario, assertion.description, assertion.expected
            )?;
        }
        if let Some(error) = &self.error {
            writeln!(to, "{:<8} FAILS: {error}", self.scenario)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
