//! Limits of the table: whatever grows is bounded.

/// Most parts over all tasks.
pub const MAX_PARTS: usize = 100_000;
/// Most instances that are known at once.
pub const MAX_INSTANCES: usize = 10_000;
/// Most tasks that are declared, or that one request may name.
pub const MAX_NAMES: usize = 256;
/// Longest name of an instance, a zone or a task, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Of one part: instances that stalled on it and are excluded.
pub(super) const MAX_EXCLUSIONS: usize = 8;
/// Incarnations of one instance that may have sessions at once.
pub(super) const MAX_INCARNATIONS: usize = 4;
/// Time for which loads that were found balanced are not checked again, unless an instance joined or left, s.
pub(super) const BALANCE_CHECK_INTERVAL: f64 = 1.0;
/// Shortest time for which an instance without a session is remembered, s.
pub(super) const MIN_HISTORY_RETENTION: f64 = 600.0;
