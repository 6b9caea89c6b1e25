//! What is written down of each txn and of the server's state, if the settings ask for a trace.

use super::counts::Counts;
use crate::lock::lock;
use crate::txn::Read;
use puffinladder::Gauges;
use puffinladder_charter::Terms;
use puffinladder_trace::recorder::keeper::Changes;
use puffinladder_trace::recorder::{Entry, Recorder};
use puffinladder_trace::row::{Step, Topic};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Least time between notes of one topic, s: decisions move in steps of a tenth, gauges jump about.
const CHANGES: f64 = 0.1;
const GAUGES: f64 = 1.0;

/// Nothing is written where nobody records, and nothing counted where nobody is told.
#[derive(Clone, Default)]
pub struct Book(Option<Arc<Inner>>, Option<Arc<Counts>>);

struct Inner {
    recorder: Recorder,
    changes: Mutex<Changes>,
}

/// The recorder's clock: the system's, read without a lock.
fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

impl Book {
    pub fn new(recorder: Option<Recorder>, counts: Option<Arc<Counts>>) -> Book {
        let inner = recorder.map(|recorder| Arc::new(Inner { recorder, changes: Mutex::default() }));
        Book(inner, counts)
    }

    pub fn counts(&self) -> Option<&Arc<Counts>> {
        self.1.as_ref()
    }

    /// Begins the page of a txn that was just read.
    pub fn page<'a>(&'a self, read: &Read, now: f64, terms: &Terms) -> Page<'a> {
        if self.0.is_none() && self.1.is_none() {
            return Page::default();
        }
        let news = &read.news;
        let product = &terms.charter.products[news.product];
        let due = unix() - (now - read.stamp).max(0.0) + product.sla + product.sla_stretch * news.hint;
        let counts = self.1.as_deref().map(|counts| (counts, counts.asked(news.product, news.customer)));
        let Some(inner) = &self.0 else { return Page { entry: None, counts, due } };
        let mut entry = Entry::new(unix(), read.name);
        entry.unread = (now - read.stamp).max(0.0);
        entry.product = news.product as u16;
        entry.customer = news.customer as u32;
        (entry.caller, entry.rank, entry.hint) = (news.caller, news.rank, news.hint);
        (entry.memory, entry.repeat, entry.key) = (news.memory, news.repeat, read.key);
        Page { entry: Some((&inner.recorder, entry)), counts, due }
    }

    pub fn note(&self, now: f64, topic: Topic, value: f64) {
        if let Some(inner) = &self.0 {
            inner.recorder.note(now, topic, value);
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
