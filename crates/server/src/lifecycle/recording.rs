//! Startup of the trace recorder.

use super::error::StartError;
use crate::limits::Limits;
use crate::state::counters::Counters;
use crate::state::request_log::RequestLog;
use puffinladder::RequestClass;
use puffinladder_settings::ServerConfig;
use puffinladder_settings::TraceSettings;
use puffinladder_trace::recorder::rotation::RotationLimits;
use puffinladder_trace::recorder::{Recorder, RecorderConfig, RecorderHandle, TraceDirectory};
use puffinladder_trace::row::Product;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

/// Length of a trace key in bytes.
const KEY_BYTES: usize = 32;

/// Returns a random key, derived from the system randomness that seeds `RandomState`.
fn random_key() -> [u8; KEY_BYTES] {
    let mut key = [0; KEY_BYTES];
    for part in key.chunks_mut(8) {
        part.copy_from_slice(&RandomState::new().hash_one(part.as_ptr() as usize).to_le_bytes());
    }
    key
}

/// Loads a key of 64 hex digits.
fn load_key(file: &str) -> Result<[u8; KEY_BYTES], StartError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| StartError::TraceKeyUnreadable { file: file.into(), source })?;
    puffinladder_trace::anonymise::parse_key(&text)
        .ok_or_else(|| StartError::TraceKeyMalformed { file: file.into() })
}

/// Request log, and its trace recorder if the settings enable one.
pub struct Recording {
    /// Records and counts requests.
    pub log: RequestLog,
    /// Handle of the recorder's thread.
    pub recorder_handle: Option<RecorderHandle>,
}

/// Starts the recorder if the settings enable a trace.
///
/// # Errors
///
/// Fails if the key cannot be loaded, the trace directory cannot be created or the thread cannot be started.
pub fn start(
    trace: Option<&TraceSettings>,
    config: &ServerConfig,
    limits: &Limits,
    counters: Option<Arc<Counters>>,
) -> Result<Recording, StartError> {
    let Some(trace) = trace else {
        return Ok(Recording { log: RequestLog::new(None, counters), recorder_handle: None });
    };
    let policy = &config.policy;
    let product = |(name, class): (&String, &RequestClass)| Product {
        name: name.clone(),
        value: class.priority_weight,
        sla: class.latency_objective,
        expiry: class.timeout,
        by_work: policy.settings.weight_per_work,
    };
    let recorder_config = RecorderConfig {
        node: config.name.clone(),
        limits: RotationLimits {
            block_rows: trace.block_rows,
            max_block_age: trace.block_duration,
            max_file_bytes: trace.file_bytes,
            max_file_age: trace.file_duration,
            max_total_bytes: trace.max_bytes,
            max_files: trace.max_files,
        },
        products: policy.class_names.iter().zip(&policy.settings.classes).map(product).collect(),
        customers: policy.tenant_names.clone(),
        key: trace.key_file.as_deref().map_or_else(|| Ok(random_key()), load_key)?,
        sample: trace.sample_interval,
    };
    let directory =
        TraceDirectory { path: trace.directory.clone().into(), prefix: format!("{}-", config.name) };
    std::fs::create_dir_all(&directory.path)
        .map_err(|source| StartError::TraceFolder { folder: trace.directory.clone(), source })?;
    let warn = |line: &str| tracing::warn!("{line}");
    let started = Recorder::start(recorder_config, directory, limits.recorder_stack_bytes, warn);
    let (recorder, recorder_handle) = started.map_err(StartError::TraceThread)?;
    tracing::info!("writing trace to {}", trace.directory);
    Ok(Recording { log: RequestLog::new(Some(recorder), counters), recorder_handle: Some(recorder_handle) })
}
