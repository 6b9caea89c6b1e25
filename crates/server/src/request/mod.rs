//! Request handling, one coroutine per request: from the decoded request to its answer and the end of its
//! run.

pub mod context;
mod execution;
mod reply;
mod run_commands;

use crate::state::mailbox::Mailbox;
use crate::state::received_request::ReceivedRequest;
use crate::wire::gateway::connection::Connection;
use context::RequestContext;
use puffinladder::Reason;
use reply::PendingReply;
use std::sync::Arc;

/// Slot of the process and of a connection, held by the coroutine of a request until its run has ended. Released on drop.
struct RequestSlot {
    context: Arc<RequestContext>,
    connection: Arc<Connection>,
}

impl RequestSlot {
    /// Returns `None` if all slots of the process, or of the connection, are in use.
    fn acquire(context: &Arc<RequestContext>, connection: &Arc<Connection>) -> Option<RequestSlot> {
        if !connection.slots.acquire() {
            return None;
        }
        if !context.slots.acquire() {
            connection.slots.release();
            return None;
        }
        Some(RequestSlot { context: context.clone(), connection: connection.clone() })
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.connection.slots.release();
        self.context.slots.release();
    }
}

/// Starts the coroutine of a request, or rejects the request at once if all slots of the process, or of its connection, are in use.
pub fn start(
    context: &Arc<RequestContext>,
    received: ReceivedRequest,
    mailbox: Arc<Mailbox>,
    connection: Arc<Connection>,
    tag: u64,
) {
    let Some(slot) = RequestSlot::acquire(context, &connection) else {
        let mut reply = PendingReply::new(context, &connection, tag, &received);
        reply.reject(0.0, false, Reason::ProcessAtCapacity);
        return;
    };
    may::go!(move || execution::execute(&slot.context, &received, mailbox, &slot.connection, tag));
}

#[cfg(test)]
mod tests;
