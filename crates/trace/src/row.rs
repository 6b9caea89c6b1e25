//! Data model of a trace: requests as rows, state of the server as notes, and the names both refer to.

use puffinladder::{Outcome, Reason};
use smallvec::SmallVec;
use std::collections::HashMap;

/// A step of a request. Codes are stored in files and never get a second meaning; readers keep unknown codes as they
/// are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Step(pub u8);

impl Step {
    pub const RUN: Step = Step(1);
    pub const PAUSED: Step = Step(2);
    pub const RESUMED: Step = Step(3);
    pub const AT_CALL: Step = Step(4);
    pub const CALL: Step = Step(5);
    pub const CALL_AGAIN: Step = Step(6);
    pub const CALL_SKIPPED: Step = Step(7);
    pub const REPLAYED: Step = Step(8);
    pub const GONE: Step = Step(9);
    const RETURNED: u8 = 10;
    const ENDED: u8 = 20;
    /// Settled within the SLA time, and after it.
    pub const SETTLED: Step = Step(30);
    pub const SETTLED_LATE: Step = Step(31);
    const DECLINED: u8 = 32;
    const VOIDED: u8 = 48;
    /// Marks steps that were left out because the path was full.
    pub const MORE: Step = Step(64);

    /// Returns the step of a downstream call that returned.
    pub fn returned(outcome: Outcome) -> Step {
        Step(Step::RETURNED + outcome_code(outcome))
    }
    /// Returns the step of a run that ended.
    pub fn ended(outcome: Outcome) -> Step {
        Step(Step::ENDED + outcome_code(outcome))
    }
    /// Returns the step of a decline.
    pub fn declined(reason: Reason) -> Step {
        Step(Step::DECLINED + reason.code())
    }
    /// Returns the step of a void.
    pub fn voided(reason: Reason) -> Step {
        Step(Step::VOIDED + reason.code())
    }

    pub fn is_returned(self) -> bool {
        (Step::RETURNED..Step::ENDED).contains(&self.0)
    }
    pub fn is_ended(self) -> bool {
        (Step::ENDED..Step::SETTLED.0).contains(&self.0)
    }
    pub fn is_settled(self) -> bool {
        self == Step::SETTLED || self == Step::SETTLED_LATE
    }
    pub fn is_declined(self) -> bool {
        (Step::DECLINED..Step::VOIDED).contains(&self.0)
    }
    pub fn is_voided(self) -> bool {
        (Step::VOIDED..Step::MORE.0).contains(&self.0)
    }
    /// Returns whether the step ends the request for its caller: an answer, or no caller waits for one.
    pub fn is_final(self) -> bool {
        self.is_settled() || self.is_declined() || self.is_voided()
    }
    /// Returns the reason of a decline or a void.
    pub fn reason(self) -> Option<Reason> {
        let base = if self.is_declined() { Step::DECLINED } else { Step::VOIDED };
        if self.is_declined() || self.is_voided() {
            Reason::from_code(self.0 - base)
        } else {
            None
        }
    }

    /// Returns the printed form, such as `declined (waited)`.
    pub fn text(self) -> String {
        let outcome = |base: u8| OUTCOMES.get(usize::from(self.0 - base)).map_or("other", |o| o.1);
        match self {
            Step::RUN => "run".into(),
            Step::PAUSED => "paused".into(),
            Step::RESUMED => "resumed".into(),
            Step::AT_CALL => "at call".into(),
            Step::CALL => "call".into(),
            Step::CALL_AGAIN => "call again".into(),
            Step::CALL_SKIPPED => "call skipped".into(),
            Step::REPLAYED => "replayed".into(),
            Step::GONE => "gone".into(),
            Step::SETTLED => "settled".into(),
            Step::SETTLED_LATE => "settled late".into(),
            Step::MORE => "more".into(),
            _ if self.is_returned() => format!("returned ({})", outcome(Step::RETURNED)),
            _ if self.is_ended() => format!("ended ({})", outcome(Step::ENDED)),
            _ if self.is_declined() => format!("declined ({})", self.reason().map_or("other", Reason::text)),
            _ if self.is_voided() => format!("voided ({})", self.reason().map_or("other", Reason::text)),
            Step(code) => format!("step {code}"),
        }
    }
}

/// Outcome of a completed call, for users without a dependency on `puffinladder`.
pub const COMPLETED: Outcome = Outcome::Completed;

const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Completed, "done"),
    (Outcome::Failed, "failed"),
    (Outcome::Rejected, "full"),
    (Outcome::TimedOut, "timed out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::ConnectionLost, "broken off"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotNeeded, "moot"),
];

fn outcome_code(outcome: Outcome) -> u8 {
    OUTCOMES.iter().position(|(o, _)| *o == outcome).unwrap_or(0) as u8
}

/// Final state of a request, by which summaries count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Disposition(pub u8);

impl Disposition {
    /// The caller stopped waiting before an answer, or the trace ends before one.
    pub const GONE: Disposition = Disposition(Step::GONE.0);

    /// Returns the step that the disposition stands for.
    pub fn step(self) -> Step {
        Step(self.0)
    }
    /// Returns the printed form without the reason.
    pub fn label(self) -> &'static str {
        match self.step() {
            step if step.is_settled() => "settled",
            step if step.is_declined() => "declined",
            step if step.is_voided() => "voided",
            _ => "gone",
        }
    }
}

/// Steps of a request in order. Many requests share a path.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Path(pub Box<[u8]>);

/// Maximum steps of a path; later ones are left out.
pub const MAX_STEPS: usize = 30;

impl Path {
    /// Returns the steps in order.
    pub fn steps(&self) -> impl Iterator<Item = Step> + '_ {
        self.0.iter().map(|code| Step(*code))
    }
    /// Returns the index of the first matching step.
    pub fn find(&self, like: impl Fn(Step) -> bool) -> Option<usize> {
        self.steps().position(like)
    }
    /// Returns the final state.
    pub fn disposition(&self) -> Disposition {
        self.steps().find(|s| s.is_final()).map_or(Disposition::GONE, |s| Disposition(s.0))
    }
    /// Returns the index of the step that ended the wait: the run, or the answer if it never ran.
    pub fn wait_end(&self) -> usize {
        let end = |s: Step| s == Step::RUN || s == Step::GONE || s.is_final();
        self.find(end).unwrap_or(self.0.len().saturating_sub(1))
    }
}

/// A product and its terms.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Product {
    pub name: String,
    /// Value of a request, or of one second of work if `by_work` is set.
    pub value: f64,
    /// SLA time in s.
    pub sla: f64,
    /// Time in s after which a request expires.
    pub expiry: f64,
    pub by_work: bool,
}

/// Table of interned names, products and paths. Rows hold their numbers.
#[derive(Clone, Default, Debug)]
pub struct Names {
    words: Vec<String>,
    by_word: HashMap<String, u32>,
    products: Vec<Product>,
    paths: Vec<Path>,
    by_path: HashMap<Box<[u8]>, u32>,
}

impl Names {
    /// Returns the number of a word, adding it if new.
    pub fn intern(&mut self, word: &str) -> u32 {
        if let Some(at) = self.by_word.get(word) {
            return *at;
        }
        let at = self.words.len() as u32;
        self.words.push(word.to_owned());
        self.by_word.insert(word.to_owned(), at);
        at
    }
    /// Returns the word with a number, `?` if unknown.
    pub fn text(&self, word: u32) -> &str {
        self.words.get(word as usize).map_or("?", String::as_str)
    }
    /// Returns all words by number.
    pub fn words(&self) -> &[String] {
        &self.words
    }

    /// Interns a product. The same name with other terms is a product of its own.
    pub fn intern_product(&mut self, product: &Product) -> u32 {
        match self.products.iter().position(|known| known == product) {
            Some(at) => at as u32,
            None => {
                self.products.push(product.clone());
                self.products.len() as u32 - 1
            }
        }
    }
    /// Returns all products by number.
    pub fn products(&self) -> &[Product] {
        &self.products
    }
    /// Returns the product with a number. Panics if unknown.
    pub fn product(&self, product: u32) -> &Product {
        &self.products[product as usize]
    }

    /// Returns the number of a path, adding it if new.
    pub fn intern_path(&mut self, codes: &[u8]) -> u32 {
        if let Some(at) = self.by_path.get(codes) {
            return *at;
        }
        let at = self.paths.len() as u32;
        self.paths.push(Path(codes.into()));
        self.by_path.insert(codes.into(), at);
        at
    }
    /// Returns the path with a number. Panics if unknown.
    pub fn path(&self, path: u32) -> &Path {
        &self.paths[path as usize]
    }
    /// Returns all paths by number.
    pub fn paths(&self) -> &[Path] {
        &self.paths
    }

    /// Returns the number of entries. Entries are never removed, so that an unchanged count means an unchanged table.
    pub fn entry_count(&self) -> usize {
        self.words.len() + self.products.len() + self.paths.len()
    }
}

/// Flag in [`Row::flags`]: the attempt is a retry.
pub const REPEAT: u8 = 1;
/// Flag in [`Row::flags`]: the decline instructed the caller to try no other server.
pub const LAST: u8 = 2;

/// One attempt of a request, from read to the end of its run. Times are in us; version 2 rounds values other than
/// `read` as [`crate::codec::quantize`] does.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Row {
    /// Time of the read, by the node's Unix clock.
    pub read: i64,
    /// Time between arrival and read.
    pub unread: u32,
    pub node: u32,
    pub product: u32,
    pub customer: u32,
    pub caller: u32,
    /// Rank in 64ths.
    pub rank: u8,
    /// Core time estimated by the gateway, in us; 0 if unknown.
    pub hint: u32,
    /// Memory in bytes.
    pub memory: u32,
    pub flags: u8,
    /// Keyed hash of the attempt's name.
    pub name: u32,
    /// Keyed hash of the request's key, 48 bits; 0 without a key.
    pub key: u64,
    /// Time for which a decline instructed the caller to send nothing, in ms.
    pub keep_off: u32,
    pub path: u32,
    /// Time from the previous step to each step, the first from `read`.
    pub spans: SmallVec<[u32; 5]>,
}

impl Row {
    /// Returns whether the attempt is a retry.
    pub fn repeat(&self) -> bool {
        self.flags & REPEAT != 0
    }
    /// Returns whether the decline instructed the caller to try no other server.
    pub fn last(&self) -> bool {
        self.flags & LAST != 0
    }
    /// Returns the time from arrival until the request ran or was answered, in us.
    pub fn wait(&self, path: &Path) -> u64 {
        let held = self.spans.iter().take(path.wait_end() + 1).map(|s| u64::from(*s)).sum::<u64>();
        u64::from(self.unread) + held
    }
    /// Returns the duration of the run in us, if it ran to its end.
    pub fn run_time(&self, path: &Path) -> Option<u64> {
        let (from, to) = (path.find(|s| s == Step::RUN)?, path.find(Step::is_ended)?);
        self.spans.get(from + 1..=to).map(|spans| spans.iter().map(|s| u64::from(*s)).sum())
    }
    /// Returns the time from read to answer in us, if it was answered.
    pub fn response_time(&self, path: &Path) -> Option<u64> {
        let at = path.find(Step::is_final)?;
        self.spans.get(..=at).map(|spans| spans.iter().map(|s| u64::from(*s)).sum())
    }
    /// Returns the value of the request under the product's terms.
    pub fn value(&self, terms: &Product) -> f64 {
        let work = if terms.by_work && self.hint > 0 { f64::from(self.hint) / 1e6 } else { 1.0 };
        terms.value * work
    }
}

/// Subject of a note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Topic(pub u8);

impl Topic {
    /// Run limit, open calls, and the signal carried on answers.
    pub const LIMIT: Topic = Topic(1);
    pub const CALLS: Topic = Topic(2);
    pub const SIGNAL: Topic = Topic(3);
    /// 1 while the server reports itself healthy.
    pub const HEALTH: Topic = Topic(4);
    /// Seconds until the kill, at the shutdown notice.
    pub const LEAVE: Topic = Topic(5);
    /// 1 if the addresses changed.
    pub const RELOAD: Topic = Topic(6);
    pub const BUSY: Topic = Topic(7);
    pub const RUNNABLE: Topic = Topic(8);
    pub const MEMORY: Topic = Topic(9);
    pub const SOCKETS: Topic = Topic(10);
    /// Records lost since the previous note of this topic: the writer fell behind or the disk failed.
    pub const DROPPED: Topic = Topic(11);

    const TEXTS: [&'static str; 12] = [
        "?", "limit", "calls", "signal", "health", "leave", "reload", "busy", "runnable", "memory",
        "sockets", "dropped",
    ];

    /// Returns the printed form.
    pub fn text(self) -> &'static str {
        Topic::TEXTS.get(usize::from(self.0)).copied().unwrap_or("?")
    }
}

/// A change of the server's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Note {
    /// Time in us, by the node's Unix clock.
    pub at: i64,
    pub node: u32,
    pub topic: Topic,
    pub value: f32,
}
