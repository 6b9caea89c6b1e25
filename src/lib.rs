//! Admission policy of one server: which requests it admits, runs and rejects, and what it tells its callers.
//!
//! [`AdmissionPolicy`] makes every decision. A host feeds it one [`Round`] at a time, with everything that
//! happened since the round before, and the policy answers through the host's [`Decisions`]. The package
//! knows no protocol, no clock and no thread: the host translates its own messages and carries out what is
//! decided.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod decisions;
mod outcome;
mod policy;
mod request;
mod round;
mod settings;

pub use decisions::Decisions;
pub use outcome::{Outcome, Reason};
pub use policy::AdmissionPolicy;
pub use request::Request;
pub use round::{Completion, Gauges, Round, RoundInput};
pub use settings::{
    Downstream, Idempotency, LoadSignal, PolicySettings, Preemption, RequestClass, SettingsError, Tenant,
};
