//! What this process uses, and how many descriptors it may: read of the system.

use rustix::process::{getrlimit, Resource};
use rustix::time::{clock_gettime, ClockId};

/// s of processor time of all its threads so far.
pub fn cpu() -> f64 {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    used.tv_sec as f64 + used.tv_nsec as f64 / 1e9
}

/// Bytes of memory that are resident; 0 where the system does not say.
pub fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Descriptors that are open, without the one that looks; 0 where the system does not say.
pub fn descriptors() -> u64 {
    std::fs::read_dir("/proc/self/fd").map_or(0, |all| (all.count() as u64).saturating_sub(1))
}

/// Descriptors of a process beside its connections.
const OWN: u64 = 64;

/// Whether so many connections fit into what the process may open; how many do, if not.
pub fn room(connections: u64) -> Result<(), u64> {
    let most = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX).saturating_sub(OWN);
    if connections <= most {
        Ok(())
    } else {
        Err(most)
    }
}
