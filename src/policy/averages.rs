//! Learned means: moving averages, and the weights of a new sample in them.

/// Weight of a new sample in a learned mean: about the last twenty count.
pub(super) const EWMA_WEIGHT: f64 = 0.05;
/// The same for the rise of run time and for patience: a slow machine is to be noticed in a second.
pub(super) const FAST_EWMA_WEIGHT: f64 = 0.1;

/// A moving average that starts with its first sample.
pub(super) fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    let weight = if mean == 0.0 { 1.0 } else { weight };
    mean + weight * (sample - mean)
}
