//! What this process uses, and how many descriptors it may open, as the system says.

use rustix::process::{getrlimit, Resource};
use rustix::time::{clock_gettime, ClockId};
use thiserror::Error;

/// Descriptors of a process beside its connections.
const RESERVED_DESCRIPTORS: u64 = 64;
const BYTES_PER_KILOBYTE: u64 = 1024;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// More connections are asked for than the process may have descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{available} descriptors are left to the process")]
pub struct TooFewDescriptors {
    /// Descriptors that are left for connections.
    pub available: u64,
}

/// Processor time of all threads of the process so far, in seconds.
pub fn cpu_seconds() -> f64 {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    used.tv_sec as f64 + used.tv_nsec as f64 / NANOSECONDS_PER_SECOND
}

/// Bytes of memory that are resident; 0 where the system does not say.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kilobytes.unwrap_or(0) * BYTES_PER_KILOBYTE
}

/// Descriptors that are open, without the one that lists them; 0 where the system does not say.
pub fn open_descriptors() -> u64 {
    std::fs::read_dir("/proc/self/fd").map_or(0, |entries| (entries.count() as u64).saturating_sub(1))
}

/// Checks that so many connections fit into what the process may open.
///
/// # Errors
///
/// Says how many fit, where they don't.
pub fn check_descriptors(connections: u64) -> Result<(), TooFewDescriptors> {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let available = limit.saturating_sub(RESERVED_DESCRIPTORS);
    if connections > available {
        return Err(TooFewDescriptors { available });
    }
    Ok(())
}
