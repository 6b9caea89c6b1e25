//! What each role of a fleet costs at a size: runs the role as a real process of the program on loopback, plays its peers, waits by the protocol until it
//! has settled, and reads what it used over a span. The result is points (`puffinladder_capacity`); what they mean is reckoned elsewhere.
//!
//! | role | what is run | its peers |
//! | --- | --- | --- |
//! | `module` | the decision module alone, in this process, on a clock of its own | drawn requests |
//! | `server` | `serve` | callers, an agent, a control service that only counts |
//! | `control`, `proxy` | `control` | emulated servers and callers, processes of their own |
//! | `keeper` | three of `keeper`; the one that leads is looked at | instances: tasks of this process |
//! | `steward-quota`, `steward-turns` | `steward` with three keepers | servers' seats: tasks of this process |
//! | `steward-gather`, `archive` | `steward`, `archive`, three keepers | traces written into folders |
//!
//! A measure that was not taken is absent from its point. A role that does not start, ends early or does not settle is an error that shows the end of
//! its log: a series with a hole would be fitted as if nothing had happened. Children are killed when what holds them is dropped.
#![forbid(unsafe_code)]

pub mod archive;
pub mod child;
pub mod control;
pub mod fleet;
pub mod keeper;
pub mod meter;
pub mod module;
pub mod seats;
pub mod series;
pub mod server;
pub mod steward;
pub mod usage;

use puffinladder_capacity::point::Point;
use series::Series;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Sizes and measures by their names, as points have them.
pub type Sizes = BTreeMap<String, f64>;
pub type Measures = BTreeMap<String, f64>;

/// How measuring is done.
#[derive(Clone, Debug)]
pub struct Gauge {
    /// The program whose sub-commands are the roles.
    pub program: PathBuf,
    pub seed: u64,
    /// s that each point is measured for; a role that goes by longer steps is measured for whole ones.
    pub span: f64,
    pub stamp: Stamp,
}

/// What each point is stamped with.
#[derive(Clone, Debug, Default)]
pub struct Stamp {
    pub date: String,
    pub version: String,
    pub cores: u32,
    pub beside: String,
}

/// What one run told of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct Taken {
    pub role: &'static str,
    /// s that it was measured over.
    pub span: f64,
    pub measures: Measures,
}

impl Taken {
    pub fn of(role: &'static str, span: f64) -> Taken {
        Taken { role, span, measures: Measures::new() }
    }

    pub fn put(&mut self, name: &str, value: f64) {
        self.measures.insert(name.into(), value);
    }

    /// Puts what was measured, and nothing where it was not.
    pub fn put_known(&mut self, name: &str, value: Option<f64>) {
        if let Some(value) = value.filter(|value| value.is_finite()) {
            self.put(name, value);
        }
    }
}

/// A size by its name; a series that lacks it is wrong.
pub(crate) fn size(sizes: &Sizes, name: &str) -> Result<f64, String> {
    sizes.get(name).copied().ok_or_else(|| format!("the series says nothing of {name}"))
}

/// Lets so many s pass, and says how many did: a machine that has more to do is late.
pub(crate) async fn pass(span: f64) -> f64 {
    let begun = Instant::now();
    tokio::time::sleep(Duration::from_secs_f64(span)).await;
    (begun.elapsed().as_secs_f64() * 1e3).round() / 1e3
}

/// What was counted by a moment: looks at a process beside it take their time, and rates go by their own.
#[derive(Clone, Copy)]
pub(crate) struct Counted<T> {
    at: Instant,
    pub all: T,
}

impl<T> Counted<T> {
    pub fn now(all: T) -> Counted<T> {
        Counted { at: Instant::now(), all }
    }

    /// How many a second since an earlier moment, of one of the counters.
    pub fn rate(&self, before: &Counted<T>, of: impl Fn(&T) -> u64) -> f64 {
        let span = self.at.duration_since(before.at).as_secs_f64();
        of(&self.all).saturating_sub(of(&before.all)) as f64 / span
    }
}

pub(crate) fn count(sizes: &Sizes, name: &str) -> Result<usize, String> {
    Ok(size(sizes, name)? as usize)
}

impl Gauge {
    /// One point of a series: of each role that its run tells of.
    pub async fn take(&self, series: &Series, sizes: &Sizes) -> Result<Vec<Point>, String> {
        let taken = match series.run {
            series::Run::Module => module::point(self, sizes).await,
            series::Run::Server => server::point(self, sizes).await,
            series::Run::Control => control::point(self, sizes).await,
            series::Run::Keeper => keeper::point(self, sizes).await,
            series::Run::Quota => steward::quota(self, sizes).await,
            series::Run::Turns => steward::turns(self, sizes).await,
            series::Run::Gather => archive::point(self, sizes).await,
        };
        let what = || {
            let all: Vec<String> = sizes.iter().map(|(name, value)| format!("{value} {name}")).collect();
            format!("{} at {}", series.name(), all.join(", "))
        };
        let taken = taken.map_err(|fault| format!("{}: {fault}", what()))?;
        Ok(taken.into_iter().map(|taken| self.point(series, sizes, taken)).collect())
    }

    fn point(&self, series: &Series, sizes: &Sizes, taken: Taken) -> Point {
        Point {
            role: taken.role.into(),
            sizes: sizes.clone(),
            measures: taken.measures,
            varied: series.varied.into(),
            seed: self.seed,
            date: self.stamp.date.clone(),
            version: self.stamp.version.clone(),
            cores: self.stamp.cores,
            beside: self.stamp.beside.clone(),
            span: taken.span,
        }
    }
}
