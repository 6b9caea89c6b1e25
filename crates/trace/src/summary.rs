//! Summaries of a trace: requests and value, in total and by group.

use crate::block::BlockHead;
use crate::row::{Names, Row, Step};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Key by which a summary is grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum GroupBy {
    Product,
    Customer,
    Caller,
    /// Disposition with its reason.
    Reason,
    Node,
    Interval,
}

/// Counts and values of a group of rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    pub requests: u64,
    pub settled: u64,
    /// Requests settled within the SLA time.
    pub in_sla: u64,
    pub declined: u64,
    pub voided: u64,
    pub gone: u64,
    pub requested_value: f64,
    pub value_in_sla: f64,
}

impl Totals {
    /// Adds `count` requests with a total `value` that ended with `step`.
    pub fn add(&mut self, step: Step, count: u64, value: f64) {
        self.requests += count;
        self.requested_value += value;
        if step == Step::SETTLED {
            self.in_sla += count;
            self.value_in_sla += value;
        }
        *if step.is_settled() {
            &mut self.settled
        } else if step.is_declined() {
            &mut self.declined
        } else if step.is_voided() {
            &mut self.voided
        } else {
            &mut self.gone
        } += count;
    }
    /// Returns the share of the requested value that was settled within the SLA time.
    pub fn value_share(&self) -> f64 {
        if self.requested_value > 0.0 {
            self.value_in_sla / self.requested_value
        } else {
            0.0
        }
    }
}

/// Histogram of durations in us.
#[derive(Clone, Debug)]
pub struct DurationHistogram(pub Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        // Three significant digits up to 72 minutes, the largest span of a row.
        DurationHistogram(
            Histogram::new_with_bounds(1, u64::from(u32::MAX), 3).expect("valid histogram bounds"),
        )
    }
}

impl DurationHistogram {
    /// Records a duration in us.
    pub fn add(&mut self, value: u64) {
        self.0.saturating_record(value.max(1));
    }
    /// Returns a percentile in us, 0 if empty.
    pub fn percentile(&self, percentile: f64) -> u64 {
        if self.0.is_empty() {
            0
        } else {
            self.0.value_at_percentile(percentile)
        }
    }
}

/// A summary that rows and heads are added to.
#[derive(Debug, Default)]
pub struct Summary {
    pub total: Totals,
    pub groups: BTreeMap<String, Totals>,
    pub waits: DurationHistogram,
    pub runs: DurationHistogram,
    /// Times of the first and the last row, in us.
    pub span: Option<(i64, i64)>,
    by: Option<GroupBy>,
    interval: i64,
    trace_start: i64,
    /// Totals by group number. [`Summary::finish`] resolves the names.
    by_number: BTreeMap<u64, Totals>,
}

/// Maximum number of groups in a summary; further callers are counted as one group.
const MAX_GROUPS: usize = 100_000;

impl Summary {
    /// Creates a summary. `begin` is the start of the first interval, in us.
    pub fn new(by: Option<GroupBy>, interval: i64, trace_start: i64) -> Summary {
        Summary { by, interval: interval.max(1), trace_start, ..Summary::default() }
    }

    fn extend_span(&mut self, from: i64, to: i64) {
        let (first, last) = self.span.unwrap_or((from, to));
        self.span = Some((first.min(from), last.max(to)));
    }

    /// Returns the interval that a time falls into.
    fn interval_of(&self, at: i64) -> i64 {
        (at - self.trace_start).div_euclid(self.interval)
    }

    /// Returns whether a block's head is sufficient for everything but percentiles.
    pub fn head_suffices(&self, head: &BlockHead) -> bool {
        match self.by {
            None | Some(GroupBy::Product | GroupBy::Customer | GroupBy::Reason) => true,
            Some(GroupBy::Interval) => self.interval_of(head.from) == self.interval_of(head.to),
            Some(GroupBy::Node) => head.nodes.len() == 1,
            Some(GroupBy::Caller) => false,
        }
    }

    /// Adds a whole block by its head.
    pub fn add_block(&mut self, head: &BlockHead) {
        self.extend_span(head.from, head.to);
        for group in &head.groups {
            let step = group.disposition.step();
            self.total.add(step, group.count, group.value);
            let number = match self.by {
                None => continue,
                Some(GroupBy::Product) => group.product.into(),
                Some(GroupBy::Customer) => group.customer.into(),
                Some(GroupBy::Reason) => group.disposition.0.into(),
                Some(GroupBy::Interval) => self.interval_of(head.from) as u64,
                Some(GroupBy::Node) => head.nodes.first().copied().unwrap_or(0).into(),
                Some(GroupBy::Caller) => u64::MAX,
            };
            self.by_number.entry(number).or_default().add(step, group.count, group.value);
        }
    }

    /// Adds a row, with its durations.
    pub fn add_row(&mut self, row: &Row, names: &Names) {
        self.extend_span(row.read, row.read);
        let path = names.path(row.path);
        let (step, value) = (path.disposition().step(), row.value(names.product(row.product)));
        self.total.add(step, 1, value);
        self.add_times(row, names);
        let group = match self.by {
            None => return,
            Some(GroupBy::Product) => row.product.into(),
            Some(GroupBy::Customer) => row.customer.into(),
            Some(GroupBy::Caller) if self.by_number.len() >= MAX_GROUPS => u64::MAX,
            Some(GroupBy::Caller) => row.caller.into(),
            Some(GroupBy::Reason) => step.0.into(),
            Some(GroupBy::Node) => row.node.into(),
            Some(GroupBy::Interval) => self.interval_of(row.read) as u64,
        };
        self.by_number.entry(group).or_default().add(step, 1, value);
    }

    /// Adds a row to the percentiles only.
    pub fn add_times(&mut self, row: &Row, names: &Names) {
        let path = names.path(row.path);
        self.waits.add(row.wait(path));
        if let Some(took) = row.run_time(path) {
            self.runs.add(took);
        }
    }

    /// Resolves the names of the groups.
    pub fn finish(mut self, names: &Names) -> Summary {
        for (group, added) in std::mem::take(&mut self.by_number) {
            let name = match self.by {
                Some(GroupBy::Product) => names.product(group as u32).name.clone(),
                Some(GroupBy::Customer | GroupBy::Node) => names.text(group as u32).to_owned(),
                Some(GroupBy::Caller) if group == u64::MAX => "others".into(),
                Some(GroupBy::Caller) => group.to_string(),
                Some(GroupBy::Reason) => Step(group as u8).text(),
                Some(GroupBy::Interval) => format!("{:>9.0}s", (group as i64 * self.interval) as f64 / 1e6),
                None => continue,
            };
            let totals = self.groups.entry(name).or_default();
            *totals = Totals {
                requests: totals.requests + added.requests,
                settled: totals.settled + added.settled,
                in_sla: totals.in_sla + added.in_sla,
                declined: totals.declined + added.declined,
                voided: totals.voided + added.voided,
                gone: totals.gone + added.gone,
                requested_value: totals.requested_value + added.requested_value,
                value_in_sla: totals.value_in_sla + added.value_in_sla,
            };
        }
        self
    }
}
