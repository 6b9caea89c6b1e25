//! Estimate of the round trip of polls, by which a connection that has stopped answering is told from a slow one.

/// Weight of a new measurement in the mean round trip (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new measurement in the mean deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations from the mean up to which an answer is not overdue (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Least time until an answer is overdue, s; covers the scheduling of both processes.
const MIN_TIMEOUT: f64 = 0.005;

/// Smoothed round trip and its deviation, s.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    estimate: Option<Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl RoundTrip {
    /// Records a measured round trip, s.
    pub fn record(&mut self, measured: f64) {
        self.estimate = Some(match self.estimate {
            None => Estimate { mean: measured, deviation: measured / 2.0 },
            Some(Estimate { mean, deviation }) => Estimate {
                mean: mean + MEAN_WEIGHT * (measured - mean),
                deviation: deviation + DEVIATION_WEIGHT * ((measured - mean).abs() - deviation),
            },
        });
    }

    /// Returns whether an answer is overdue after `elapsed` seconds. None is before the first measurement.
    pub fn is_overdue(&self, elapsed: f64) -> bool {
        self.estimate.is_some_and(|estimate| {
            elapsed > (estimate.mean + DEVIATIONS * estimate.deviation).max(MIN_TIMEOUT)
        })
    }
}

#[cfg(test)]
mod tests;
