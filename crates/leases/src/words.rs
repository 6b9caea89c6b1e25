//! What instances, operators and keepers say to each other, a line of JSON each. One connection may carry all of it.

use crate::fence::Verdict;
use crate::table::{Change, Command, Row, Said, Seat, Told};
use crate::{Duty, Epoch, Owner};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest line, in bytes: a list of grants of tens of thousands of parts.
pub const LINE: usize = 16 << 20;

/// To a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    Say(Said),
    /// From another keeper: a message of the consensus library, base64.
    Peer(String),
    /// How this keeper is, by itself alone.
    Status,
    /// Who owns what and who is there, as of now: from the keeper that leads.
    Duties,
    Command(Command),
    /// A keeper under a number that was never used, reached there.
    Add {
        number: u64,
        address: String,
    },
    Remove {
        number: u64,
    },
}

/// From a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    Told(Told),
    /// This keeper does not lead; that one may.
    Elsewhere {
        leader: Option<u64>,
        address: Option<String>,
    },
    Status(Box<Status>),
    Duties {
        rows: Vec<Row>,
        seats: Vec<Seat>,
        /// The table's time, s.
        at: f64,
    },
    Done,
    Failed(String),
}

/// How a keeper is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub number: u64,
    pub leader: Option<u64>,
    /// It leads, and knows all that was agreed before.
    pub leads: bool,
    pub term: u64,
    pub applied: u64,
    pub log_entries: usize,
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    pub retired: Vec<u64>,
    pub last_epoch: u64,
    pub instances: usize,
    /// Its disk takes longer than a leader's may.
    pub slow: bool,
    /// s that it is up, by its clock.
    pub up: f64,
    /// Counted since it started, by name.
    pub counts: BTreeMap<String, u64>,
}

/// What a process did, for whoever collects the history of many: a line of JSON each on standard output where that is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// It listens there.
    Ready {
        listen: String,
    },
    /// A keeper applied a change of the table.
    Change(Change),
    Leads {
        keeper: u64,
        term: u64,
    },
    Begin {
        owner: Owner,
        duty: Duty,
        epoch: Epoch,
    },
    Down {
        owner: Owner,
        duty: Duty,
        epoch: Epoch,
        why: String,
    },
    /// A server goes by this rate for a customer from `at` on, and by no more than the lower of it and the equal share from `until` on if nothing else
    /// is told; both s of the machine's monotonic clock.
    Goes {
        customer: String,
        rate: f64,
        equal: f64,
        at: f64,
        until: Option<f64>,
    },
    /// A server leaves: by a turn under this epoch, or without.
    Leaves {
        zone: String,
        by: Option<Epoch>,
    },
    /// A fence judged an effect, or the announcement of an owner where there is no piece; its number is then the last that stands.
    Judged {
        duty: Duty,
        epoch: Epoch,
        number: u64,
        piece: Option<String>,
        verdict: Verdict,
    },
}

/// Where events go; nowhere unless it is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Events(pub bool);

impl Events {
    pub fn tell(self, event: &Event) {
        if !self.0 {
            return;
        }
        // Nobody reads any more: then nothing is told.
        if let Ok(mut line) = serde_json::to_string(event) {
            line.push('\n');
            let _ = std::io::Write::write_all(&mut std::io::stdout().lock(), line.as_bytes());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_said_reads_back_as_it_was_meant() {
        let asks = [
            Ask::Say(Said { serial: 3, ..Said::default() }),
            Ask::Status,
            Ask::Command(Command::Pause { duty: "gather".into(), paused: true }),
            Ask::Add { number: 4, address: "127.0.0.4:1".into() },
        ];
        for ask in asks {
            let text = serde_json::to_string(&ask).unwrap();
            assert_eq!(serde_json::from_str::<Ask>(&text).unwrap(), ask, "{text}");
        }
        // What another version leaves out has a default.
        let short = r#"{"say":{"owner":{"instance":"n1","incarnation":1},"serial":1}}"#;
        assert!(matches!(serde_json::from_str(short).unwrap(), Ask::Say(said) if said.knows == 0));
    }
}
