//! Limits on the size of the table.

/// Most parts over all tasks.
pub const MAX_PARTS: usize = 100_000;
/// Most instances that the table remembers.
pub const MAX_INSTANCES: usize = 10_000;
/// Most declared tasks, and most tasks in one request.
pub const MAX_NAMES: usize = 256;
/// Longest name of an instance, a zone or a task, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Most instances excluded from one part.
pub(super) const MAX_EXCLUSIONS: usize = 8;
/// Most incarnations of one instance with sessions at once.
pub(super) const MAX_INCARNATIONS: usize = 4;
/// Time after which balanced loads are checked again if no instance joined or left, s.
pub(super) const BALANCE_CHECK_INTERVAL: f64 = 1.0;
/// Shortest time for which the history of an instance without a session is kept, s.
pub(super) const MIN_HISTORY_RETENTION: f64 = 600.0;
