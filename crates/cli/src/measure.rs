//! Helpers of the benchmarks.

/// Returns a field of `/proc/self/status` in MB: `VmRSS:` is the resident memory, `VmHWM:` its peak.
pub fn memory(field: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// Returns the quantile `share` (0.5 is the median) of the values, or 0 if there are none.
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values
        .get(((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
