//! Drain slots, which bound how many servers of the fleet and of a zone are unavailable at once during a rollout. One
//! lease holder assigns the slots. A server waits for its slot for a bounded time that leaves enough time to drain
//! before the process is killed, then drains without a slot.

mod messages;
mod server;
mod slots;
#[cfg(test)]
mod tests;

pub use messages::{DrainReport, DrainRules, DrainSlot, DrainState};
pub use server::{DrainDecision, DrainTiming, DrainingServer, StateReport};
pub use slots::{DrainSlots, ServerSlot};
