//! Exponentially weighted moving averages and their weights.

/// Weight of a new sample in a moving average; the last 20 samples dominate.
pub(super) const EWMA_WEIGHT: f64 = 0.05;
/// Weight of a new sample where a change, such as a slow machine, must show within a second.
pub(super) const FAST_EWMA_WEIGHT: f64 = 0.1;

/// Returns the moving average after `sample`; the first sample becomes the mean.
pub(super) fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    let weight = if mean == 0.0 { 1.0 } else { weight };
    mean + weight * (sample - mean)
}
