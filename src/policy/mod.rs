//! Admission policy of one server: which requests it admits, runs and rejects, and what it signals to
//! callers.
//!
//! A host creates `AdmissionPolicy::new(&settings, seed)` when its process starts and calls
//! `policy.decide(&round, &mut decisions)` once per round with all events since the last one. Inputs are
//! defined in `src/settings.rs`, `request.rs` and `round.rs`, outputs in `decisions.rs` and `outcome.rs`.
//! `docs/design.md` describes the mechanism.
//!
//! A request is queued with its arrival time, which includes the time before it was read, until a run slot
//! is free. Its wait is then compared with the threshold of its class, and it runs or is rejected
//! ([`queue`]).
//!
//! Modules that make decisions:
//!
//! | module | decides |
//! | --- | --- |
//! | [`rounds`] | order of a round, abandoned requests, drain |
//! | [`arrivals`] | queueing, replay and rejection on arrival; which idempotency keys are remembered |
//! | [`queue`] | queue order, wait thresholds, assignment of run slots |
//! | [`calls`] | downstream calls, their timeouts and retries, degraded answers |
//! | [`deadlines`] | errors sent to requests out of the queue before their deadline |
//! | [`rejection`] | Retry-After, and whether to try another server |
//! | [`load_signal`] | load signal on answers |
//!
//! Modules that hold limits and estimates, which [`state`] combines:
//!
//! | module | holds |
//! | --- | --- |
//! | [`concurrency`] | limit on running requests |
//! | [`call_window`] | limit on open downstream calls |
//! | [`quota`] | tenant quotas |
//! | [`memory`] | memory budget for runs, queue and idempotency keys |
//! | [`warm_up`] | capacity of a server that started cold |
//! | [`health`] | slowdown of the machine, health and keepalive |
//! | [`pressure`] | waits relative to their thresholds |
//! | [`retry_advice`] | Retry-After and rejection counts |
//! | [`estimates`] | run times, accuracy of cost hints, caller abandonment |
//! | [`averages`] | moving averages |
//! | [`in_flight`] | state of one request |
//! | [`timing`] | shared time constants |

mod arrivals;
mod averages;
mod call_window;
mod calls;
mod concurrency;
mod deadlines;
mod doubt;
mod estimates;
mod health;
mod in_flight;
mod load_signal;
mod memory;
mod pressure;
mod queue;
mod quota;
mod rejection;
mod retry_advice;
mod rounds;
mod state;
mod timing;
mod warm_up;

pub use state::AdmissionPolicy;
