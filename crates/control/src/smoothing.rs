//! Statistics shared by planning and load shedding.

/// Returns the weight of a new sample in an exponential moving average, `elapsed` seconds after the last sample.
pub(crate) fn sample_weight(elapsed: f64, time_constant: f64) -> f64 {
    1.0 - (-elapsed / time_constant).exp()
}

/// Returns the upper median, or 0 if there are no values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
