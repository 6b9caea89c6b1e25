//! A request's life, from its reading to its answer and to the end of its run: one coroutine each.

pub mod context;
mod execution;
mod reply;

use crate::state::mailbox::Mailbox;
use crate::state::received_request::ReceivedRequest;
use crate::wire::gateway::connection::Connection;
use context::RequestContext;
use puffinladder::Reason;
use reply::PendingReply;
use std::sync::Arc;

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
