//! Settings of the rollout controller.

use crate::follower::ACK_INTERVAL;
use crate::history::MAX_CANARIES;
use thiserror::Error;

/// Maximum number of canaries in one selection. Later selections for the same version may add others.
const MAX_CANARIES_PER_SELECTION: usize = MAX_CANARIES / 4;
/// Maximum value of a time, s.
const MAX_TIME: f64 = 3600.0;
/// Minimum silence timeout, s.
const MIN_SILENCE_TIMEOUT: f64 = 2.0 * ACK_INTERVAL;

/// Settings of the rollout controller.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Number of canaries in one selection.
    pub canaries: usize,
    /// Time for which a canary must be healthy with the version active, s.
    pub observation_time: f64,
    /// Time after which a version is released without the canaries that have not activated it, if at least half have passed, s.
    pub canary_timeout: f64,
    /// Time without an acknowledgement after which a server counts as silent, s.
    pub silence_timeout: f64,
    /// Time for which a new lease holder collects acknowledgements before it selects canaries or reports on all servers, s.
    pub discovery_time: f64,
    /// Time after which a command without effect is proposed again, s.
    pub repeat_interval: f64,
    /// Maximum number of servers.
    pub max_servers: usize,
}

impl Default for RolloutSettings {
    fn default() -> RolloutSettings {
        RolloutSettings {
            canaries: 3,
            observation_time: 0.5,
            canary_timeout: 2.0,
            silence_timeout: 2.5,
            discovery_time: 1.5,
            repeat_interval: 0.5,
            max_servers: 10_000,
        }
    }
}

/// An invalid setting of the rollout controller.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The number of canaries is 0 or too large.
    #[error("canaries: got {0}, expected 1 to {MAX_CANARIES_PER_SELECTION}")]
    Canaries(usize),
    /// The server limit is 0.
    #[error("max-servers: got 0, expected at least 1")]
    NoServers,
    /// The silence timeout is so short that healthy servers would count as silent.
    #[error("silence-timeout: got {0} s, expected a finite time of at least {MIN_SILENCE_TIMEOUT} s")]
    SilenceTimeout(f64),
    /// A time is negative, too long or not a number.
    #[error("{name}: got {value} s, expected 0 to {MAX_TIME} s")]
    TimeOutOfRange {
        /// The name of the setting.
        name: &'static str,
        /// The configured value, s.
        value: f64,
    },
}

impl RolloutSettings {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        if !(1..=MAX_CANARIES_PER_SELECTION).contains(&self.canaries) {
            return Err(SettingsError::Canaries(self.canaries));
        }
        if self.max_servers == 0 {
            return Err(SettingsError::NoServers);
        }
        if !(self.silence_timeout >= MIN_SILENCE_TIMEOUT && self.silence_timeout.is_finite()) {
            return Err(SettingsError::SilenceTimeout(self.silence_timeout));
        }
        let times = [
            ("observation-time", self.observation_time),
            ("canary-timeout", self.canary_timeout),
            ("discovery-time", self.discovery_time),
            ("repeat-interval", self.repeat_interval),
        ];
        for (name, value) in times {
            if !(0.0..=MAX_TIME).contains(&value) {
                return Err(SettingsError::TimeOutOfRange { name, value });
            }
        }
        Ok(())
    }
}
