//! All that happened in a run, in the order in which the ground heard of it; a file of it is a line of JSON each.

use puffinladder_leases::protocol::Event;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// s since all processes stood.
    pub at: f64,
    /// As in `k1`, `s1`, `archive`, or `ground`.
    #[serde(rename = "who")]
    pub process: String,
    /// Starts of that process so far.
    #[serde(rename = "life")]
    pub incarnation: u32,
    #[serde(rename = "what")]
    pub event: HistoryEvent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// What the process itself told.
    #[serde(rename = "told")]
    Reported(Event),
    /// What the ground did: a fault began, or ended.
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

    /// What processes told, by name.
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

    /// Reads a file of it. A last line that was cut off is left out; any other that can't be read is named by its number.
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
