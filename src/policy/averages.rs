//! Learned means: moving averages, and the weights of a new sample in them.

/// Weight of a new sample in a learned mean: about the last twenty count.
pub(super) const NEW_SAMPLE: f64 = 0.05;
/// The same for the rise of run time and for patience: a slow machine is to be noticed in a second.
pub(super) const NEW_SAMPLE_QUICK: f64 = 0.1;

/// A moving average that starts with its first sample.
pub(super) fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    let weight = if mean == 0.0 { 1.0 } else { weight };
    mean + weight * (sample - mean)
}
