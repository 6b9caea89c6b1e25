//! What is written down of each txn and of the server's state, if the settings ask for a trace.

use super::counts::Counts;
use crate::clock::{age, unix};
use crate::lock::lock;
use crate::txn::Read;
use puffinladder::Gauges;
use puffinladder_charter::Terms;
use puffinladder_trace::recorder::keeper::Changes;
use puffinladder_trace::recorder::{Entry, Recorder};
use puffinladder_trace::row::{Step, Topic};
use std::sync::{Arc, Mutex};

/// Least time between notes of one topic, s: decisions move in steps of a tenth, gauges jump about.
const CHANGES: f64 = 0.1;
const GAUGES: f64 = 1.0;

/// Nothing is written where nobody records, and nothing counted where nobody is told.
#[derive(Default)]
pub struct Book(Option<Inner>, Option<Arc<Counts>>);

struct Inner {
    recorder: Recorder,
    changes: Mutex<Changes>,
}

impl Book {
    pub fn new(recorder: Option<Recorder>, counts: Option<Arc<Counts>>) -> Book {
        let inner = recorder.map(|recorder| Inner { recorder, changes: Mutex::default() });
        Book(inner, counts)
    }

    pub fn counts(&self) -> Option<&Arc<Counts>> {
        self.1.as_ref()
    }

    /// Begins the page of a txn that was just read.
    pub fn page<'a>(&'a self, read: &Read, terms: &Terms) -> Page<'a> {
        if self.0.is_none() && self.1.is_none() {
            return Page::default();
        }
        let (news, now, unread) = (&read.news, unix(), age(read.stamp));
        let product = &terms.charter.classes[news.class];
        let due = now - unread + product.latency_objective + product.objective_stretch * news.cost_hint;
        let counts = self.1.as_deref().map(|counts| (counts, counts.asked(news.class, news.tenant)));
        let Some(inner) = &self.0 else { return Page { entry: None, counts, due } };
        let mut entry = Entry::new(now, read.name);
        entry.unread = unread;
        entry.product = news.class as u16;
        entry.customer = news.tenant as u32;
        (entry.caller, entry.rank, entry.hint) = (news.caller, news.rank, news.cost_hint);
        (entry.memory, entry.repeat, entry.key) = (news.memory, news.is_retry, read.key);
        Page { entry: Some((&inner.recorder, entry)), counts, due }
    }

    pub fn note(&self, now: f64, topic: Topic, value: f64) {
        if let Some(inner) = &self.0 {
            inner.recorder.note(now, topic, value);
        }
    }
    pub fn leave(&self, now: f64, kill: f64) {
        self.note(now, Topic::LEAVE, kill - now);
        if let Some(counts) = &self.1 {
            counts.leave(kill);
        }
    }
    pub fn health(&self, now: f64, good: bool) {
        self.change(now, Topic::HEALTH, f64::from(u8::from(good)));
        if let Some(counts) = &self.1 {
            counts.health(good);
        }
    }
    pub fn limits(&self, now: f64, runs: f64, calls: f64, pressure: f64) {
        self.change(now, Topic::LIMIT, runs);
        self.change(now, Topic::CALLS, calls);
        if let Some(counts) = &self.1 {
            counts.limits(runs, pressure);
        }
    }

    /// Notes what has changed.
    pub fn change(&self, now: f64, topic: Topic, value: f64) {
        self.news(now, topic, value, CHANGES);
    }

    fn news(&self, now: f64, topic: Topic, value: f64, least: f64) {
        if let Some(inner) = &self.0 {
            if lock(&inner.changes).news(now, topic.0, value, least) {
                inner.recorder.note(now, topic, value);
            }
        }
    }

    pub fn gauges(&self, gauges: &Gauges) {
        if self.0.is_none() {
            return;
        }
        let shown = [
            (Topic::BUSY, gauges.busy),
            (Topic::RUNNABLE, gauges.runnable),
            (Topic::MEMORY, gauges.memory),
            (Topic::SOCKETS, gauges.sockets),
        ];
        for (topic, value) in shown {
            if let Some(value) = value {
                self.news(unix(), topic, value, GAUGES);
            }
        }
    }
}

/// The page of one txn: it goes to the recorder when the txn's life is over, however that ends.
#[derive(Default)]
pub struct Page<'a> {
    entry: Option<(&'a Recorder, Entry)>,
    /// Where it counts.
    counts: Option<(&'a Counts, usize)>,
    /// When its SLA time ends, by the recorder's clock.
    due: f64,
}

impl Page<'_> {
    pub fn step(&mut self, step: Step) {
        if let Some((_, entry)) = &mut self.entry {
            entry.step(unix(), step);
        }
        if let Some((counts, at)) = self.counts {
            counts.step(at, step);
        }
    }
    /// As what a settled txn counts now.
    pub fn settled(&self) -> Step {
        let told = self.entry.is_some() || self.counts.is_some();
        if told && unix() > self.due {
            Step::SETTLED_LATE
        } else {
            Step::SETTLED
        }
    }
    pub fn keep_off(&mut self, retry_after: f64, last: bool) {
        if let Some((_, entry)) = &mut self.entry {
            (entry.keep_off, entry.last) = (retry_after, last);
        }
        if let (Some((counts, _)), true) = (self.counts, retry_after > 0.0) {
            counts.keep_off(retry_after);
        }
    }
    /// Its run ended after so many seconds.
    pub fn ran(&self, took: f64) {
        if let Some((counts, _)) = self.counts {
            counts.ran(took);
        }
    }
}

impl Drop for Page<'_> {
    fn drop(&mut self) {
        if let Some((recorder, entry)) = &self.entry {
            recorder.txn(entry);
        }
    }
}
