//! Starts the recorder that the settings ask for.

use crate::limits::Limits;
use crate::memory::book::Book;
use crate::memory::counts::Counts;
use puffinladder_charter::settings::Trace;
use puffinladder_charter::Warrant;
use puffinladder_trace::recorder::keeper::Bounds;
use puffinladder_trace::recorder::{Folder, Recorder, Running, Told};
use puffinladder_trace::row::Product;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

/// 32 bytes that nobody else has: chance from the system, by which the standard library seeds its maps.
fn chance() -> [u8; 32] {
    let mut key = [0; 32];
    for part in key.chunks_mut(8) {
        part.copy_from_slice(&RandomState::new().hash_one(part.as_ptr() as usize).to_le_bytes());
    }
    key
}

/// A key of 64 hex digits.
fn key(file: &str) -> Result<[u8; 32], String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("trace.key-file: {file}: {e}"))?;
    puffinladder_trace::anonymise::parse_key(&text)
        .ok_or(format!("trace.key-file: {file}: not 64 hex digits"))
}

/// The book that txns are written into, and the recorder behind it.
pub fn begin(
    trace: Option<&Trace>,
    warrant: &Warrant,
    limits: &Limits,
    counts: Option<Arc<Counts>>,
) -> Result<(Book, Option<Running>), String> {
    let Some(trace) = trace else { return Ok((Book::new(None, counts), None)) };
    let terms = &warrant.terms;
    let product = |(name, product): (&String, &puffinladder::RequestClass)| Product {
        name: name.clone(),
        value: product.priority_weight,
        sla: product.latency_objective,
        expiry: product.timeout,
        by_work: terms.charter.weight_per_work,
    };
    let told = Told {
        node: warrant.name.clone(),
        bounds: Bounds {
            block_rows: trace.block_rows,
            block_span: trace.block_span,
            file_bytes: trace.file_bytes,
            file_span: trace.file_span,
            most_bytes: trace.most_bytes,
            most_files: trace.most_files,
        },
        products: terms.products.iter().zip(&terms.charter.classes).map(product).collect(),
        customers: terms.customers.clone(),
        key: trace.key_file.as_deref().map_or_else(|| Ok(chance()), key)?,
        sample: trace.sample,
    };
    let folder = Folder { path: trace.folder.clone().into(), prefix: format!("{}-", warrant.name) };
    std::fs::create_dir_all(&folder.path).map_err(|e| format!("trace.folder: {}: {e}", trace.folder))?;
    let complain = |line: &str| tracing::warn!("{line}");
    let started = Recorder::start(told, folder, limits.stack_recorder, complain);
    let (recorder, running) = started.map_err(|e| format!("no thread for the trace: {e}"))?;
    tracing::info!("a trace is written to {}", trace.folder);
    Ok((Book::new(Some(recorder), counts), Some(running)))
}
