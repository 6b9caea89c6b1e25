//! The limits and intervals of a distributor.

use crate::messages::MAX_CHUNK_LINE_BYTES;
use thiserror::Error;

/// Limits and intervals of a distributor.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributorSettings {
    /// Sustained rate to one server, bytes per second.
    pub rate: f64,
    /// Burst to one server, bytes. At most `rate + burst` bytes are sent to a server in any one second.
    pub burst: f64,
    /// Sustained rate to all servers, bytes per second.
    pub total_rate: f64,
    /// Burst to all servers, bytes.
    pub total_burst: f64,
    /// Maximum number of concurrent transfers of more than one chunk.
    pub catch_up_slots: usize,
    /// Time without activity after which a transfer restarts from the acknowledged offset, s.
    pub retry_timeout: f64,
    /// Time without acknowledgements after which nothing is sent to a server, s.
    pub silence_timeout: f64,
    /// Time without acknowledgements after which a server is removed, s.
    pub forget_timeout: f64,
    /// Interval between target messages to a server without a transfer, s.
    pub target_interval: f64,
    /// Maximum number of servers.
    pub max_servers: usize,
}

impl Default for DistributorSettings {
    /// At most 12 KB in any second to one server, and a sustained 2 MB per second in total.
    fn default() -> DistributorSettings {
        DistributorSettings {
            rate: 8000.0,
            burst: 4000.0,
            total_rate: 2e6,
            total_burst: 5e5,
            catch_up_slots: 256,
            retry_timeout: 0.5,
            silence_timeout: 3.0,
            forget_timeout: 60.0,
            target_interval: 1.0,
            max_servers: 10_000,
        }
    }
}

/// An invalid setting of a distributor.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A burst is too small for the line of one chunk.
    #[error("{name}: got {burst} B, expected at least {minimum} B for the line of one chunk")]
    BurstTooSmall {
        /// The name of the setting.
        name: &'static str,
        /// The configured burst, B.
        burst: f64,
        /// The length of the longest line with one chunk, B.
        minimum: f64,
    },
    /// A rate or time is not a positive number.
    #[error("{name}: got {value}, expected a finite number greater than 0")]
    NotPositive {
        /// The name of the setting.
        name: &'static str,
        /// The configured value.
        value: f64,
    },
    /// No slot or no server is allowed.
    #[error("{name}: got 0, expected at least 1")]
    NoCapacity {
        /// The name of the setting.
        name: &'static str,
    },
}

impl DistributorSettings {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        let minimum = MAX_CHUNK_LINE_BYTES as f64;
        for (name, burst) in [("burst", self.burst), ("total-burst", self.total_burst)] {
            if burst.is_nan() || burst < minimum {
                return Err(SettingsError::BurstTooSmall { name, burst, minimum });
            }
        }
        let positive = [
            ("rate", self.rate),
            ("total-rate", self.total_rate),
            ("retry-timeout", self.retry_timeout),
            ("silence-timeout", self.silence_timeout),
            ("forget-timeout", self.forget_timeout),
            ("target-interval", self.target_interval),
        ];
        for (name, value) in positive {
            if !(value > 0.0 && value.is_finite()) {
                return Err(SettingsError::NotPositive { name, value });
            }
        }
        for (name, value) in [("catch-up-slots", self.catch_up_slots), ("max-servers", self.max_servers)] {
            if value == 0 {
                return Err(SettingsError::NoCapacity { name });
            }
        }
        Ok(())
    }
}
