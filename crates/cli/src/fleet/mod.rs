//! The commands around leases on the fleet's tasks: the lease store, the leases in it, workers and the trace store.

pub mod common;
pub mod lease_store;
pub mod leases;
pub mod trace_store;
pub mod worker;

use crate::say::{Done, Wrong};
use puffinladder_leases::protocol::EventSink;
use puffinladder_trace_store::injected_bug::InjectedBug;
use puffinladder_transport::Clock;
use serde::{de::DeserializeOwned, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

/// What the proving ground hands in otherwise than an operator would.
#[derive(Clone)]
pub struct Ground {
    pub clock: Clock,
    pub events: EventSink,
    /// ms that a keeper's syncs take longer.
    pub sync_pause: Arc<AtomicU64>,
    /// A bug in the trace store that the checkers must find.
    pub injected_bug: Option<InjectedBug>,
}

impl Ground {
    pub fn usual(events: bool) -> Ground {
        Ground {
            clock: Clock::system(),
            events: EventSink { enabled: events },
            sync_pause: Arc::default(),
            injected_bug: None,
        }
    }
}

/// How long an operator waits for an answer.
const WAIT: Duration = Duration::from_secs(5);
/// Longest answer, in bytes.
const LONGEST: usize = 64 << 20;

/// Asks a service one thing.
pub async fn ask<A: Serialize, B: DeserializeOwned>(at: SocketAddr, ask: &A) -> Result<B, String> {
    let answer =
        puffinladder_transport::request(at, ask, WAIT, LONGEST).await.map_err(|e| format!("{at}: {e}"))?;
    answer.ok_or_else(|| format!("{at}: closed without an answer"))
}

fn failed(what: String) -> Wrong {
    Wrong::Failed(what)
}

/// A table for people: columns as wide as what stands in them.
fn print(rows: &[Vec<String>]) -> Done {
    use std::io::Write;
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |at: usize| rows.iter().filter_map(|row| row.get(at)).map(|text| text.chars().count()).max();
    let widths: Vec<usize> = (0..columns).map(|at| width(at).unwrap_or(0)).collect();
    let mut out = std::io::stdout().lock();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(text, width)| format!("{text:<width$}", width = *width)).collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    Ok(())
}
