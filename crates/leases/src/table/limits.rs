//! Limits on the size of the table.

/// Maximum number of parts over all tasks.
pub const MAX_PARTS: usize = 100_000;
/// Maximum number of instances whose history the table keeps.
pub const MAX_INSTANCES: usize = 10_000;
/// Maximum number of declared tasks, and of tasks in one request.
pub const MAX_NAMES: usize = 256;
/// Longest name of an instance, a zone or a task, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of instances excluded from one part.
pub(super) const MAX_EXCLUSIONS: usize = 8;
/// Maximum number of incarnations of one instance that have sessions at once.
pub(super) const MAX_INCARNATIONS: usize = 4;
/// Time after which balanced loads are checked again if no instance joined or left, s.
pub(super) const BALANCE_CHECK_INTERVAL: f64 = 1.0;
/// Shortest time for which the history of an instance without a session is kept, s.
pub(super) const MIN_HISTORY_RETENTION: f64 = 600.0;
