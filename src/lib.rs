//! Admission policy of one server: which requests it admits, runs and rejects, and what it signals to
//! callers.
//!
//! [`AdmissionPolicy`] makes every decision. A host passes it one [`Round`] at a time with all events since
//! the previous round, and the policy writes its decisions to the host's [`Decisions`]. The crate has no
//! protocol, clock or threads: the host translates its own messages and carries out the decisions.
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
