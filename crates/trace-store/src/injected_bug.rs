//! Bugs that fault tests inject into a trace store to verify that their checkers detect them.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// An injected bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Epochs are kept only in memory and lost on restart.
    ForgetsEpochs,
    /// A decision and its block are committed in separate transactions.
    TwoSteps,
}

/// The error of parsing an unknown [`InjectedBug`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("should be forgets-epochs or two-steps")]
pub struct UnknownBug;

impl FromStr for InjectedBug {
    type Err = UnknownBug;

    fn from_str(text: &str) -> Result<InjectedBug, UnknownBug> {
        match text {
            "forgets-epochs" => Ok(InjectedBug::ForgetsEpochs),
            "two-steps" => Ok(InjectedBug::TwoSteps),
            _ => Err(UnknownBug),
        }
    }
}

impl fmt::Display for InjectedBug {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            InjectedBug::ForgetsEpochs => "forgets-epochs",
            InjectedBug::TwoSteps => "two-steps",
        })
    }
}
