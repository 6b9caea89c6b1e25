//! Drop guards of a request: one answer to the gateway, and one report of the end to the dispatcher.

use super::context::RequestContext;
use crate::state::identifiers::IdempotencyKey;
use crate::state::received_request::ReceivedRequest;
use crate::state::request_log::RequestEntry;
use crate::wire::gateway::connection::Connection;
use crate::wire::resp;
use puffinladder::{Outcome, Reason};
use puffinladder_trace::row::Step;

/// Initial capacity for the fields of an answer.
const ANSWER_FIELD_BYTES: usize = 48;
/// Initial capacity for the fields of a rejection.
const REJECTION_FIELD_BYTES: usize = 24;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Pending answer of a request. A request dropped without an answer, even by a panic, is answered as failed.
pub(super) struct PendingReply<'a> {
    context: &'a RequestContext,
    connection: &'a Connection,
    tag: u64,
    is_pending: bool,
    /// Log entry of the request.
    pub(super) entry: RequestEntry<'a>,
}

impl<'a> PendingReply<'a> {
    /// Opens the log entry of a request whose answer is pending.
    pub(super) fn new(
        context: &'a RequestContext,
        connection: &'a Connection,
        tag: u64,
        received: &ReceivedRequest,
    ) -> PendingReply<'a> {
        let entry = context.dispatcher.log.open(received, &context.config.policy);
        PendingReply { context, connection, tag, is_pending: true, entry }
    }

    fn send(&mut self, status: &str, fields: &[u8], body: &[u8], step: Step) {
        if std::mem::take(&mut self.is_pending) {
            self.entry.record(step);
            let mut all_fields = Vec::with_capacity(ANSWER_FIELD_BYTES);
            self.context.dispatcher.write_load_signal(&mut all_fields);
            if !all_fields.is_empty() && !fields.is_empty() {
                all_fields.push(b',');
            }
            all_fields.extend_from_slice(fields);
            self.connection.answer(self.tag, status, &all_fields, body);
            self.context.summary.count(status);
        }
    }

    /// Answers with the result.
    pub(super) fn complete(&mut self, result: &[u8]) {
        let step = self.entry.completion_step();
        self.send("200", &[], result, step);
    }

    /// Answers that the request was rejected; `retry_after` is in seconds, 0 for none.
    pub(super) fn reject(&mut self, retry_after: f64, do_not_forward: bool, reason: Reason) {
        self.entry.record_retry_after(retry_after, do_not_forward);
        let mut fields = Vec::with_capacity(REJECTION_FIELD_BYTES);
        if retry_after > 0.0 {
            fields.extend_from_slice(b"w=");
            resp::write_decimal(&mut fields, (retry_after * MILLISECONDS_PER_SECOND).ceil() as u64);
        }
        if do_not_forward {
            fields.extend_from_slice(if fields.is_empty() { b"l=1" } else { b",l=1" });
        }
        self.send("503", &fields, &[], Step::declined(reason));
    }

    /// Answers that the request failed.
    pub(super) fn fail(&mut self, reason: Reason) {
        self.send("500", &[], &[], Step::voided(reason));
    }

    /// Drops the pending answer of a cancelled request.
    pub(super) fn cancel(&mut self) {
        self.is_pending = false;
        self.entry.record(Step::GONE);
    }
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        self.fail(Reason::HandlerLost);
    }
}

/// Guard of a request in flight: on drop, even by a panic, it reports the end to the dispatcher and closes
/// the idempotency key.
pub(super) struct InFlightGuard<'a> {
    context: &'a RequestContext,
    key: Option<IdempotencyKey>,
    id: u32,
    ended: bool,
}

impl<'a> InFlightGuard<'a> {
    /// Returns the guard of the request in flight under `id`.
    pub(super) fn new(
        context: &'a RequestContext,
        key: Option<IdempotencyKey>,
        id: u32,
    ) -> InFlightGuard<'a> {
        InFlightGuard { context, key, id, ended: false }
    }

    /// Reports the end of the request to the dispatcher, unless it was reported before.
    pub(super) fn report_ended(&mut self, outcome: Outcome, duration: f64) {
        if !std::mem::replace(&mut self.ended, true) {
            self.context.dispatcher.report_ended(self.id, outcome, duration);
        }
    }

    /// Disarms the guard of a request that the dispatcher already removed.
    pub(super) fn disarm(&mut self) {
        self.ended = true;
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.context.dispatcher.finish_key(self.key.as_ref(), self.id, None);
            self.report_ended(Outcome::Failed, 0.0);
        }
    }
}
