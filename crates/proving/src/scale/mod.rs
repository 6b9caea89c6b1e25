//! Scale tests: control services with many emulated servers and callers, some of which fail, and bounds on what must not grow with their number.
//! Checks use counts that the processes report and the descriptors that the kernel counts; time limits only end a wait, which fails the run.

mod fleet;
pub mod scenarios;

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

/// Configuration of the fleets.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Program under test.
    pub program: PathBuf,
    /// Folder in which each fleet's folder is created; that is kept if a check failed or `keep` is set.
    pub folder: PathBuf,
    pub keep: bool,
    pub seed: u64,
}

/// Initial fleet size; scenarios that compare also run with three times as many.
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

/// Bound that a value must satisfy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expectation {
    Equal(f64),
    AtMost(f64),
    AtLeast(f64),
}

impl Expectation {
    /// Returns whether the value satisfies the bound; NaN never does.
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

/// Formats whole numbers without decimals, others with two.
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

/// One check of a scenario.
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

/// Result of a scenario.
#[derive(Debug)]
pub struct ScenarioReport {
    pub scenario: Scenario,
    pub assertions: Vec<Assertion>,
    /// Time limit exceeded, or process that exited.
    pub error: Option<String>,
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
