//! The limits and intervals of a distributor.

use crate::messages::MAX_CHUNK_LINE_BYTES;
use thiserror::Error;

/// Limits and intervals of a distributor.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributorSettings {
    /// Bytes per second to one server, in the long run.
    pub rate: f64,
    /// Bytes to one server at once. With `rate` this is the most in any one second.
    pub burst: f64,
    /// Bytes per second to all servers together, in the long run.
    pub total_rate: f64,
    /// Bytes to all servers together at once.
    pub total_burst: f64,
    /// Servers that may be sent bodies of more than one chunk at once.
    pub catch_up_slots: usize,
    /// Time without progress after which a body is sent again from where the server is, s. A slot is lost after some of these.
    pub retry_timeout: f64,
    /// Silence after which nothing more is sent to a server, s.
    pub silence_timeout: f64,
    /// Silence after which a server is forgotten, s.
    pub forget_timeout: f64,
    /// Time between two target messages to a server that has what it should have, s.
    pub target_interval: f64,
    /// Servers at once.
    pub max_servers: usize,
}

impl Default for DistributorSettings {
    /// 12 KB to a server in any second; a machine sends no more than 2 MB a second.
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

/// Which setting of a distributor is not valid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A burst is too small for one chunk.
    #[error("burst: {burst} B is less than the line of one chunk takes, {least}")]
    BurstTooSmall {
        /// Of one server, B.
        burst: f64,
        /// The longest line, B.
        least: f64,
    },
    /// A rate or time is not a positive number.
    #[error("{name}: {value} is out of range, should be more than 0")]
    NotPositive {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// There is no slot or no server allowed.
    #[error("catch-up-slots, max-servers: should be at least 1")]
    NoCapacity,
}

impl DistributorSettings {
    /// Whether a distributor can work with these settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        let least = MAX_CHUNK_LINE_BYTES as f64;
        if !(self.burst >= least && self.total_burst >= least) {
            return Err(SettingsError::BurstTooSmall { burst: self.burst, least });
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
        if self.catch_up_slots == 0 || self.max_servers == 0 {
            return Err(SettingsError::NoCapacity);
        }
        Ok(())
    }
}
