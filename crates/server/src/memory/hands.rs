//! The txns in hand, by the number that the module knows and by the name that agent and store know.

use super::keys::Key;
use crate::lock::lock;
use puffinladder::{Outcome, Reason};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, OnceLock};

/// The 16 hex digits that name one try, as they came.
pub type Name = [u8; 16];

/// What a txn may hear, from whoever has to do with it.
pub enum Word {
    // The module's verbs.
    Run,
    Decline {
        retry_after: f64,
        last: bool,
        reason: Reason,
    },
    Void(Reason),
    Pause,
    Call {
        limit: f64,
    },
    SkipCall,
    Replay,
    // The agent's notices.
    AtCall {
        seq: u64,
        body: Vec<u8>,
    },
    Ended {
        outcome: Outcome,
        took: f64,
        body: Vec<u8>,
    },
    /// The agent is back, and all that it had to tell has been heard.
    Resume,
    // The store's answer, the forerunner's result, the gateway's farewell.
    Returned {
        outcome: Outcome,
        took: f64,
        body: Vec<u8>,
    },
    Result(Option<Arc<Vec<u8>>>),
    /// The forerunner never ran: this one is the first now.
    Free,
    Gone,
    /// The module no longer knows this txn.
    Over,
    /// The process ends.
    Close,
}

impl Word {
    /// Its name, for the trace of a txn's life.
    pub fn verb(&self) -> &'static str {
        match self {
            Word::Run => "run",
            Word::Decline { .. } => "decline",
            Word::Void(_) => "void",
            Word::Pause => "pause",
            Word::Call { .. } => "call",
            Word::SkipCall => "skip call",
            Word::Replay => "replay",
            Word::AtCall { .. } => "at call",
            Word::Ended { .. } => "ended",
            Word::Resume => "resume",
            Word::Returned { .. } => "returned",
            Word::Result(_) => "result",
            Word::Free => "free",
            Word::Gone => "gone",
            Word::Over => "over",
            Word::Close => "close",
        }
    }
}

/// What one txn has yet to hear.
#[derive(Default)]
pub struct Slip {
    words: Mutex<VecDeque<Word>>,
    reader: OnceLock<may::coroutine::Coroutine>,
}

impl Slip {
    pub fn say(&self, word: Word) {
        lock(&self.words).push_back(word);
        if let Some(reader) = self.reader.get() {
            reader.unpark();
        }
    }

    /// The next word; only the txn's own coroutine asks.
    pub fn wait(&self) -> Word {
        loop {
            let word = lock(&self.words).pop_front();
            match word {
                Some(word) => return word,
                None if self.reader.get().is_some() => may::coroutine::park(),
                // Only now that it can be woken is it sure that nothing came meanwhile.
                None => drop(self.reader.set(may::coroutine::current())),
            }
        }
    }
}

pub struct Hand {
    pub name: Name,
    pub key: Option<Key>,
    pub slip: Arc<Slip>,
    /// The module has let it run.
    pub running: bool,
}

#[derive(Default)]
pub struct Hands {
    by_id: HashMap<u32, Hand>,
    by_name: HashMap<Name, u32>,
    last: u32,
}

impl Hands {
    /// A number for a new txn; none if its name is in hand already.
    pub fn take(&mut self, name: Name, key: Option<Key>, slip: Arc<Slip>) -> Option<u32> {
        if self.by_name.contains_key(&name) {
            return None;
        }
        self.last = self.last.checked_add(1)?;
        self.by_name.insert(name, self.last);
        self.by_id.insert(self.last, Hand { name, key, slip, running: false });
        Some(self.last)
    }

    pub fn drop(&mut self, id: u32) -> Option<Hand> {
        let hand = self.by_id.remove(&id)?;
        self.by_name.remove(&hand.name);
        Some(hand)
    }

    pub fn get_mut(&mut self, id: u32) -> Option<&mut Hand> {
        self.by_id.get_mut(&id)
    }

    pub fn named(&self, name: &Name) -> Option<&Arc<Slip>> {
        self.by_id.get(self.by_name.get(name)?).map(|hand| &hand.slip)
    }

    pub fn running(&self) -> usize {
        self.by_id.values().filter(|hand| hand.running).count()
    }

    pub fn slips(&self) -> impl Iterator<Item = &Arc<Slip>> {
        self.by_id.values().map(|hand| &hand.slip)
    }
}
