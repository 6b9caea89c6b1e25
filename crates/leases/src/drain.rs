//! Drain slots: during a rollout no more than so many servers, and no more than a fraction of a zone, are unavailable at
//! once. One lease holder assigns slots; a server waits a bounded time for its own, never so long that its drain would be
//! cut short, then drains without one. Both sides are here; neither reads a clock.

mod messages;
mod server;
mod slots;
#[cfg(test)]
mod tests;

pub use messages::{DrainReport, DrainRules, DrainSlot, DrainState};
pub use server::{DrainDecision, DrainTiming, DrainingServer, StateReport};
pub use slots::{DrainSlots, ServerSlot};
