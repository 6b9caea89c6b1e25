//! The times and bounds of a rollout.

use crate::follower::ACK_INTERVAL;
use crate::history::MAX_CANARIES;
use thiserror::Error;

/// Canaries of one draw, at the most: later draws for the same version may add others.
const MAX_CANARIES_PER_SELECTION: usize = MAX_CANARIES / 4;
/// Longest time that a setting may have, s: an hour.
const MAX_TIME: f64 = 3600.0;
/// Acknowledgement intervals without a report before a server may count as silent.
const MIN_SILENT_INTERVALS: f64 = 2.0;

/// Times and bounds of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Servers that get a version before the others.
    pub canaries: usize,
    /// Time for which a canary has to be healthy under the version, s.
    pub observation_time: f64,
    /// Time after which canaries that have not got it are passed over if half of them have, s.
    pub canary_timeout: f64,
    /// Time without an acknowledgement after which a server counts as silent, s.
    pub silence_timeout: f64,
    /// Time for which a new lease holder listens before it judges all servers, or draws canaries, s.
    pub discovery_time: f64,
    /// Time after which a command that shows no effect is proposed again, s.
    pub repeat_interval: f64,
    /// Servers at once.
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

/// Which setting of a rollout is not valid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// There are no canaries or too many of them.
    #[error("canaries: {0}, should be from 1 to {MAX_CANARIES_PER_SELECTION}")]
    Canaries(usize),
    /// No server is allowed.
    #[error("max-servers: should be at least 1")]
    NoServers,
    /// A healthy server would count as silent.
    #[error("silence-timeout: {0} s is less than two acknowledgement intervals of a server")]
    SilenceTimeout(f64),
    /// A time is negative, too long or no number.
    #[error("{name}: {value} s is out of range, should be from 0 to an hour")]
    TimeOutOfRange {
        /// The setting.
        name: &'static str,
        /// Its value, s.
        value: f64,
    },
}

impl RolloutSettings {
    /// Whether a rollout can be run with these settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        if !(1..=MAX_CANARIES_PER_SELECTION).contains(&self.canaries) {
            return Err(SettingsError::Canaries(self.canaries));
        }
        if self.max_servers == 0 {
            return Err(SettingsError::NoServers);
        }
        let least_silence = MIN_SILENT_INTERVALS * ACK_INTERVAL;
        if !(self.silence_timeout >= least_silence && self.silence_timeout.is_finite()) {
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
