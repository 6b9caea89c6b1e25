//! History of a run: entries in the order in which the cluster received them, stored as JSON lines.

use puffinladder_leases::protocol::Event;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time since all processes were ready, s.
    pub at: f64,
    /// Process name, such as `k1`, `s1` or `archive`.
    #[serde(rename = "who")]
    pub process: String,
    /// Number of starts of that process so far.
    #[serde(rename = "life")]
    pub incarnation: u32,
    #[serde(rename = "what")]
    pub event: HistoryEvent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// Event that the process printed.
    #[serde(rename = "told")]
    Reported(Event),
    /// Fault that the cluster injected, as `KEYWORD PROCESS`.
    #[serde(rename = "begun")]
    FaultStarted {
        fault: String,
    },
    #[serde(rename = "healed")]
    FaultEnded {
        fault: String,
    },
    Started,
    #[serde(rename = "ended")]
    Exited {
        #[serde(rename = "how")]
        status: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    pub entries: Vec<Entry>,
}

impl History {
    pub fn record(&mut self, at: f64, process: impl ToString, incarnation: u32, event: HistoryEvent) {
        self.entries.push(Entry { at, process: process.to_string(), incarnation, event });
    }

    /// Returns the events that processes reported, with their entries.
    pub fn events(&self) -> impl Iterator<Item = (&Entry, &Event)> {
        self.entries.iter().filter_map(|entry| match &entry.event {
            HistoryEvent::Reported(event) => Some((entry, event)),
            _ => None,
        })
    }

    pub fn write(&self, mut to: impl Write) -> std::io::Result<()> {
        for entry in &self.entries {
            serde_json::to_writer(&mut to, entry)?;
            to.write_all(b"\n")?;
        }
        to.flush()
    }

    /// Reads JSON lines. A truncated last line is skipped.
    ///
    /// # Errors
    ///
    /// The number of the first other line that cannot be parsed, with the parser's message, or the I/O error.
    pub fn read(from: impl BufRead) -> Result<History, String> {
        let mut history = History::default();
        let lines: Vec<String> = from.lines().collect::<Result<_, _>>().map_err(|e| e.to_string())?;
        for (at, line) in lines.iter().enumerate() {
            match serde_json::from_str(line) {
                Ok(entry) => history.entries.push(entry),
                Err(_) if at + 1 == lines.len() => break,
                Err(e) => return Err(format!("line {}: {e}", at + 1)),
            }
        }
        Ok(history)
    }
}

#[cfg(test)]
mod tests;
