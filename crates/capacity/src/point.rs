//! Points: what one process of a role was measured to cost at one size, and the file that holds them.
//!
//! Every figure of the page comes from these. A file of them is written by a command and merged by people, so that
//! it is read as anything from outside: bounded in length, in number and in every name, finite numbers only, no key
//! that nobody knows, and a fault that says which file, which point and which key.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Roles that a point may be of; `module` is the decision module's round alone, without a process round it, `config`
/// whoever brings changes of configuration to the servers.
pub const ROLES: [&str; 10] = [
    "config",
    "server",
    "control",
    "proxy",
    "keeper",
    "steward-quota",
    "steward-turns",
    "steward-gather",
    "archive",
    "module",
];

/// Dimensions along which a role's cost may grow; requests and changes are counted a second, controls are control services.
pub const SIZES: [&str; 12] = [
    "controls",
    "servers",
    "proxies",
    "instances",
    "customers",
    "routes",
    "requests",
    "changes",
    "parts",
    "callers",
    "keepers",
    "stewards",
];

/// What is measured of a process, and in what.
///
/// A latency is of what the role is there for: at a `server` what it adds to a request, at `control` from a server's
/// changed report to the last caller that goes by it, at `config` from a change that was accepted to the last server
/// that has it in force, at a keeper or steward from a line to its answer, at the `module` one round.
pub const MEASURES: [(&str, &str); 13] = [
    ("cpu", "cores"),
    ("memory", "bytes resident"),
    ("sent", "bytes a second"),
    ("received", "bytes a second"),
    ("messages_sent", "a second"),
    ("messages_received", "a second"),
    ("descriptors", "open"),
    ("connections", "open"),
    ("syncs", "a second"),
    ("disk", "bytes a second"),
    ("latency_p50", "s"),
    ("latency_p99", "s"),
    ("round_p99", "s"),
];

/// A file may hold so many points, and be so long.
pub const MOST_POINTS: usize = 5000;
pub const MOST_BYTES: usize = 16 << 20;
/// Longest text in a point.
const MOST_TEXT: usize = 400;
/// No size and no measure is above this; past it products overflow and nothing is known.
const MOST_VALUE: f64 = 1e18;

/// What one process of a role cost at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// One of [`ROLES`].
    pub role: String,
    /// What stood around it, by the names of [`SIZES`].
    pub sizes: BTreeMap<String, f64>,
    /// What it cost, by the names of [`MEASURES`]; what was not taken is absent, never 0.
    pub measures: BTreeMap<String, f64>,
    /// The dimension along which this point belongs to a series, the others held.
    pub varied: String,
    pub seed: u64,
    pub date: String,
    pub version: String,
    /// Cores of the machine.
    pub cores: u32,
    /// What ran beside it.
    pub beside: String,
    /// s over which it was measured.
    pub span: f64,
}

/// All that was measured.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Points {
    pub points: Vec<Point>,
}

/// What is wrong with a file of points, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    /// The point's place in the file, from 0; none where the file as a whole can't be read.
    pub index: Option<usize>,
    pub key: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if let Some(index) = self.index {
            write!(f, "points[{index}]")?;
            if !self.key.is_empty() {
                write!(f, ".{}", self.key)?;
            }
            write!(f, ": ")?;
        }
        write!(f, "{}", self.what)
    }
}

impl std::error::Error for Fault {}

impl Point {
    /// The first key that is wrong, and why.
    pub fn check(&self) -> Result<(), (String, String)> {
        let wrong = |key: &str, what: String| Err((key.to_owned(), what));
        if !ROLES.contains(&self.role.as_str()) {
            return wrong("role", format!("{:?} should be one of {}", cut(&self.role), ROLES.join(", ")));
        }
        for (key, value) in &self.sizes {
            if !SIZES.contains(&key.as_str()) {
                return wrong("sizes", format!("{:?} should be one of {}", cut(key), SIZES.join(", ")));
            }
            if !amount(*value) {
                return wrong(&format!("sizes.{key}"), format!("{value} should be a number from 0 to 1e18"));
            }
        }
        for (key, value) in &self.measures {
            if !MEASURES.iter().any(|(name, _)| name == key) {
                let names: Vec<&str> = MEASURES.iter().map(|(name, _)| *name).collect();
                return wrong("measures", format!("{:?} should be one of {}", cut(key), names.join(", ")));
            }
            if !amount(*value) {
                return wrong(
                    &format!("measures.{key}"),
                    format!("{value} should be a number from 0 to 1e18"),
                );
            }
        }
        if !self.sizes.contains_key(&self.varied) {
            return wrong("varied", format!("{:?} should be one of this point's sizes", cut(&self.varied)));
        }
        if !self.span.is_finite() || self.span <= 0.0 || self.span > 1e9 {
            return wrong("span", format!("{} should be seconds above 0", self.span));
        }
        if self.cores == 0 {
            return wrong("cores", "should be 1 or more".into());
        }
        for (key, text) in [("date", &self.date), ("version", &self.version), ("beside", &self.beside)] {
            if text.chars().count() > MOST_TEXT || text.chars().any(unfit) {
                return wrong(
                    key,
                    format!("should be one line of {MOST_TEXT} letters at the most, without | < >"),
                );
            }
        }
        Ok(())
    }

    /// Where it stands among others, so that their order in a file counts for nothing: not in what is printed and not in the
    /// last digit of a sum.
    pub fn rank(&self, other: &Point) -> std::cmp::Ordering {
        let head = |point: &Point| (point.role.clone(), point.varied.clone());
        let size = |point: &Point| point.sizes.get(&point.varied).copied().unwrap_or(0.0);
        let held = |point: &Point| -> Vec<(String, u64)> {
            let others = point.sizes.iter().filter(|(key, _)| **key != point.varied);
            others.map(|(key, value)| (key.clone(), value.to_bits())).collect()
        };
        let (here, there) = (head(self), head(other));
        here.cmp(&there)
            .then_with(|| held(self).cmp(&held(other)))
            .then_with(|| size(self).total_cmp(&size(other)))
            .then_with(|| self.seed.cmp(&other.seed))
            .then_with(|| self.date.cmp(&other.date))
            .then_with(|| {
                let bits = |point: &Point| -> Vec<(String, u64)> {
                    point.measures.iter().map(|(key, value)| (key.clone(), value.to_bits())).collect()
                };
                bits(self).cmp(&bits(other))
            })
    }
}

/// What would break a table, or pass for a marker of the page.
pub fn unfit(c: char) -> bool {
    c.is_control() || "|<>".contains(c)
}

fn amount(value: f64) -> bool {
    value.is_finite() && (0.0..=MOST_VALUE).contains(&value)
}

/// The beginning of a text from outside, for a message.
fn cut(text: &str) -> String {
    text.chars().take(40).collect()
}

impl Points {
    /// Reads a file of points; `file` names it in a fault.
    pub fn parse(file: &str, text: &str) -> Result<Points, Fault> {
        let whole = |what: String| Fault { file: file.into(), index: None, key: String::new(), what };
        if text.len() > MOST_BYTES {
            return Err(whole(format!("{} bytes, of {MOST_BYTES} at the most", text.len())));
        }
        // In two steps, so that a fault inside a point names the point.
        let value: serde_json::Value =
            serde_json::from_str(text).map_err(|e| whole(format!("is not JSON: {e}")))?;
        let serde_json::Value::Object(mut top) = value else {
            return Err(whole("should be an object with a list of points".into()));
        };
        let list = match top.remove("points") {
            Some(serde_json::Value::Array(list)) => list,
            Some(_) => return Err(whole("points: should be a list".into())),
            None => return Err(whole("points: should be given".into())),
        };
        if let Some(key) = top.keys().next() {
            return Err(whole(format!("{}: is not known; there is points", cut(key))));
        }
        if list.len() > MOST_POINTS {
            return Err(whole(format!("points: {} of them, of {MOST_POINTS} at the most", list.len())));
        }
        let mut points = Vec::with_capacity(list.len());
        for (index, value) in list.into_iter().enumerate() {
            let at = |key: String, what: String| Fault { file: file.into(), index: Some(index), key, what };
            let point: Point = serde_json::from_value(value).map_err(|e| at(String::new(), e.to_string()))?;
            point.check().map_err(|(key, what)| at(key, what))?;
            points.push(point);
        }
        Ok(Points { points })
    }

    /// Pretty JSON in an order that does not hang on when a point was taken.
    pub fn print(&self) -> String {
        let mut sorted = self.clone();
        sorted.points.sort_by(Point::rank);
        // A map with keys of text and finite numbers has always a form in JSON.
        let mut text = serde_json::to_string_pretty(&sorted).unwrap_or_default();
        text.push('\n');
        text
    }
}

#[cfg(test)]
mod tests;
