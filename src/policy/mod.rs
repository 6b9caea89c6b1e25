//! Every decision of one server: what it admits, runs and rejects, and what it tells its callers.
//!
//! A host makes `AdmissionPolicy::new(&settings, seed)` when its process starts and calls
//! `policy.decide(&round, &mut decisions)` once a round with all that happened since the last one. What goes in
//! is in `src/settings.rs`, `request.rs` and `round.rs`, what comes out in `decisions.rs` and `outcome.rs`.
//! `docs/design.md` tells where the mechanism comes from and what each constant rests on.
//!
//! A request is stamped with its arrival (the time it lay unread counts) and queued until a run slot frees.
//! Then its wait is judged against its class's threshold, and it runs or is rejected ([`queue`]). The rest
//! guards the rules, one concern a module. These decide:
//!
//! | module | decides |
//! | --- | --- |
//! | [`rounds`] | the order of a round; what an abandoned request and a notice to drain change |
//! | [`arrivals`] | what is queued, replayed or rejected on arrival; which idempotency keys are remembered |
//! | [`queue`] | the order of the queue, wait thresholds, which request takes a freed slot |
//! | [`calls`] | which downstream calls are made, their time-outs, their retries, degraded answers |
//! | [`deadlines`] | the error that is sent before a deadline passes unanswered |
//! | [`rejection`] | Retry-After, and whether another server is worth a try |
//! | [`load_signal`] | the load signal that answers carry |
//!
//! And these hold the limits and estimates that they decide by, all of it in [`state`]:
//!
//! | module | holds |
//! | --- | --- |
//! | [`concurrency`] | how many requests may run at once |
//! | [`call_window`] | how many downstream calls may be open |
//! | [`quota`] | which requests are beyond their tenant's quota |
//! | [`memory`] | what may start, queue and be remembered within the machine's memory |
//! | [`warm_up`] | what a server that started cold can bear |
//! | [`health`] | whether this machine has slowed down, and its health and keepalive because of it |
//! | [`pressure`] | how near to their thresholds requests wait |
//! | [`retry_advice`] | what rejected callers are told, and the counts for the log |
//! | [`estimates`] | what runs take, what cost hints are worth, when callers give up |
//! | [`averages`] | the learned means that the others keep |
//! | [`in_flight`] | one request and where it stands |
//! | [`timing`] | intervals that several modules share |

mod arrivals;
mod averages;
mod call_window;
mod calls;
mod concurrency;
mod deadlines;
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
