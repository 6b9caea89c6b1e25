//! What the benches of the command line share.

/// Memory of this process, MB: `VmRSS:` now, `VmHWM:` at the most so far.
pub fn memory(which: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(which));
    line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// The value below which a share of all lie: 0.5 for the median. 0 where there are none.
pub fn percentile(all: &mut [f64], share: f64) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(((all.len() as f64 * share) as usize).min(all.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
