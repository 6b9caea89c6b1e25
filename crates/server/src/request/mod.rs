//! A request's life, from its reading to its answer and to the end of its run: one coroutine each.

mod execution;
mod reply;
pub mod slots;

use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::runtime::clock::Clock;
use crate::runtime::fault_log::FaultLog;
use crate::runtime::summary::AnswerSummary;
use crate::state::mailbox::Mailbox;
use crate::state::received_request::ReceivedRequest;
use crate::wire::agent::link::AgentLink;
use crate::wire::gateway::connection::Connection;
use crate::wire::store::StoreClient;
use puffinladder::Reason;
use puffinladder_charter::Warrant;
use reply::PendingReply;
use slots::RequestSlots;
use std::sync::Arc;

/// What the coroutines of all requests share.
pub struct RequestContext {
    /// Decides about them.
    pub dispatcher: Arc<Dispatcher>,
    /// Runs them.
    pub agent: Arc<AgentLink>,
    /// Takes their downstream calls.
    pub store: Arc<StoreClient>,
    /// How many there may be.
    pub slots: Arc<RequestSlots>,
    /// Counts their answers.
    pub summary: Arc<AnswerSummary>,
    /// Where gateways' faults are logged.
    pub faults: Arc<FaultLog>,
    /// Names and terms of their classes.
    pub config: Arc<Warrant>,
    /// The process's clock.
    pub clock: Arc<Clock>,
    /// Times and counts.
    pub limits: Arc<Limits>,
}

/// One of the process's places for requests, held by a coroutine.
struct RequestSlot(Arc<RequestContext>);

impl RequestSlot {
    /// None where the process has no room for one more.
    fn acquire(context: &Arc<RequestContext>) -> Option<RequestSlot> {
        context.slots.acquire().then(|| RequestSlot(context.clone()))
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.0.slots.release();
    }
}

/// Gives a request its coroutine. A process with no room for one more rejects it at once.
pub fn start(
    context: &Arc<RequestContext>,
    received: ReceivedRequest,
    mailbox: Arc<Mailbox>,
    connection: Arc<Connection>,
    tag: u64,
) {
    let Some(slot) = RequestSlot::acquire(context) else {
        let mut reply = PendingReply::new(context, &connection, tag, &received);
        reply.reject(0.0, false, Reason::ProcessAtCapacity);
        return;
    };
    may::go!(move || execution::execute(&slot.0, &received, mailbox, &connection, tag));
}

#[cfg(test)]
mod tests;
