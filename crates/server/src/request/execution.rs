//! The state machine of one request: offers it to the dispatcher, then turns each event into commands to the agent, calls
//! to the store and its answer.

use super::context::RequestContext;
use super::reply::{InFlightGuard, PendingReply};
use crate::dispatcher::{Offer, CONTENTION_LEAD};
use crate::runtime::clock;
use crate::state::mailbox::{Event, Mailbox};
use crate::state::received_request::ReceivedRequest;
use crate::wire::agent::link::{CommandStamp, NO_COMMAND};
use crate::wire::gateway::connection::Connection;
use crate::wire::gateway::refusals::Trust;
use crate::wire::store::StoreCall;
use puffinladder::{Outcome, Reason};
use puffinladder_trace::row::Step;
use std::ops::ControlFlow;
use std::sync::Arc;

/// The log's target for the events of requests, as operators name it in `RUST_LOG`; the lines begin with `txn` likewise.
const LOG_TARGET: &str = "puffinladder_server::txn";

/// What the agent was last told of a run and has shown no effect of yet.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AgentCommand {
    None,
    Launch,
    Freeze,
    Thaw,
    Deliver,
    Forgo,
}

/// The downstream call at which a run stands.
#[derive(Default)]
struct PendingCall {
    /// Sequence number of the notice that asked for it.
    notice: u64,
    body: Vec<u8>,
    reply: Vec<u8>,
    /// How often it was made.
    attempts: u32,
}

/// What becomes of a request after an offer.
enum Admission {
    /// In flight under this number; as a probe of its connection or not.
    Accepted { id: u32, is_probe: bool },
    /// It waited for its key, and is to be offered again with this mailbox.
    OfferAgain(Arc<Mailbox>),
    /// It is over.
    Over,
}

/// How a request left the policy's hands.
enum ExecutionEnd {
    /// It is over.
    Over,
    /// The attempt that it waited for never ran: it is to be offered again with this mailbox.
    OfferAgain(Arc<Mailbox>),
}

/// Follows a request from its first offer to the end of its run. It is offered once; again only if it waited for another
/// attempt that then never ran.
pub(super) fn execute(
    context: &RequestContext,
    received: &ReceivedRequest,
    mut mailbox: Arc<Mailbox>,
    connection: &Connection,
    tag: u64,
) {
    let mut reply = PendingReply::new(context, connection, tag, received);
    loop {
        let offered = Offering { context, received, connection, tag }.offer(&mailbox, &mut reply);
        let (id, is_probe) = match offered {
            Admission::Accepted { id, is_probe } => (id, is_probe),
            Admission::OfferAgain(new) => {
                mailbox = new;
                continue;
            }
            Admission::Over => return,
        };
        let mut execution = Execution::new(context, received, connection, tag, id, &mut reply);
        execution.is_probe = is_probe;
        match execution.run(&mailbox) {
            ExecutionEnd::Over => return,
            ExecutionEnd::OfferAgain(new) => mailbox = new,
        }
    }
}

/// A request that is offered to the policy.
struct Offering<'a> {
    context: &'a RequestContext,
    received: &'a ReceivedRequest,
    connection: &'a Connection,
    tag: u64,
}

impl Offering<'_> {
    fn offer(&self, mailbox: &Arc<Mailbox>, reply: &mut PendingReply) -> Admission {
        let Offering { context, received, tag, .. } = self;
        let now = context.clock.now();
        let trust = self.connection.refusals.assess(now);
        if trust == Trust::Suspected {
            reply.reject(0.0, false, Reason::UnknownToAgent);
            return Admission::Over;
        }
        let arrived = now - clock::seconds_since(received.timestamp);
        let deadline = self.contention_deadline(now, arrived);
        match context.dispatcher.offer(received, arrived, mailbox, deadline) {
            Offer::Accepted(id) => return Admission::Accepted { id, is_probe: trust == Trust::Probe },
            Offer::AttemptContended => return self.wait_for_attempt(mailbox, reply),
            Offer::DuplicateAttempt => self.fail_duplicate(reply),
            Offer::KeyConflict => {
                let message = format_args!("request: tag {tag} failed: its key belongs to other content");
                context.faults.warn(message);
                reply.fail(Reason::KeyConflict);
            }
            Offer::KeysFull => reply.reject(0.0, false, Reason::KeyMemoryFull),
            Offer::KeyContended => return self.wait_for_key(mailbox, reply),
        }
        Admission::Over
    }

    /// Another request has its attempt id. If that one runs, this may be the same once more, and fails: it may not be said to have
    /// had no effect.
    fn wait_for_attempt(&self, mailbox: &Arc<Mailbox>, reply: &mut PendingReply) -> Admission {
        tracing::trace!(target: LOG_TARGET, "txn at tag {}: waits for its attempt id", self.tag);
        match (mailbox.receive(), self.connection.renew_mailbox(self.tag)) {
            (Event::AttemptReleased, Some(new)) => return Admission::OfferAgain(new),
            (Event::Cancelled, _) => reply.cancel(),
            _ => self.fail_duplicate(reply),
        }
        Admission::Over
    }

    fn fail_duplicate(&self, reply: &mut PendingReply) {
        let message = format_args!("request: tag {} failed: its attempt id is in flight already", self.tag);
        self.context.faults.warn(message);
        reply.fail(Reason::DuplicateName);
    }

    /// Until when it may wait for its key or attempt id: it has to be answered in its own time, and the policy does not know of it.
    fn contention_deadline(&self, now: f64, arrived: f64) -> f64 {
        let Offering { context, received, .. } = self;
        let request = &received.request;
        let class = &context.config.policy.settings.classes[request.class];
        let due = if request.deadline > 0.0 { request.deadline } else { arrived + class.timeout };
        (now + context.limits.key_contention_timeout).min(due - CONTENTION_LEAD)
    }

    fn wait_for_key(&self, mailbox: &Arc<Mailbox>, reply: &mut PendingReply) -> Admission {
        tracing::trace!(target: LOG_TARGET, "txn at tag {}: waits for its key", self.tag);
        match (mailbox.receive(), self.connection.renew_mailbox(self.tag)) {
            (Event::KeyReleased, Some(new)) => return Admission::OfferAgain(new),
            (Event::Reject { retry_after, last, reason }, _) => reply.reject(retry_after, last, reason),
            (Event::Cancelled, _) => reply.cancel(),
            _ => {}
        }
        Admission::Over
    }
}

/// A request in flight.
struct Execution<'a, 'r> {
    context: &'a RequestContext,
    received: &'a ReceivedRequest,
    connection: &'a Connection,
    tag: u64,
    id: u32,
    /// It is to show whether its suspected connection brings true requests.
    is_probe: bool,
    guard: InFlightGuard<'a>,
    reply: &'r mut PendingReply<'a>,
    last_command: AgentCommand,
    last_stamp: CommandStamp,
    paused: bool,
    pending_call: PendingCall,
    store_call: Option<Arc<StoreCall>>,
}

impl<'a, 'r> Execution<'a, 'r> {
    fn new(
        context: &'a RequestContext,
        received: &'a ReceivedRequest,
        connection: &'a Connection,
        tag: u64,
        id: u32,
        reply: &'r mut PendingReply<'a>,
    ) -> Execution<'a, 'r> {
        Execution {
            context,
            received,
            connection,
            tag,
            id,
            is_probe: false,
            guard: InFlightGuard::new(context, received.key, id),
            reply,
            last_command: AgentCommand::None,
            last_stamp: NO_COMMAND,
            paused: false,
            pending_call: PendingCall::default(),
            store_call: None,
        }
    }

    /// Handles events until the request is over.
    fn run(&mut self, mailbox: &Arc<Mailbox>) -> ExecutionEnd {
        loop {
            let event = mailbox.receive();
            tracing::trace!(target: LOG_TARGET, "txn {}: {}", self.id, event.label());
            if let ControlFlow::Break(end) = self.handle(event, mailbox) {
                return end;
            }
        }
    }

    fn handle(&mut self, event: Event, mailbox: &Arc<Mailbox>) -> ControlFlow<ExecutionEnd> {
        match event {
            Event::Run if self.is_made_up() => {
                self.reject_made_up();
                return ControlFlow::Break(ExecutionEnd::Over);
            }
            Event::Run => self.launch_or_thaw(),
            Event::Pause => self.freeze(),
            Event::Replay => self.await_result(mailbox),
            Event::AtCall { sequence, body } => self.wait_at_call(sequence, body),
            Event::Call { limit } => self.make_call(limit, mailbox),
            Event::Returned { outcome, took, body } => self.deliver_reply(outcome, took, body),
            Event::SkipCall => self.skip_call(),
            // Its deadline is near, or its gateway has gone: the duty to answer ends, the run goes on.
            Event::Fail(reason) => self.reply.fail(reason),
            Event::Cancelled => {
                self.reply.cancel();
                self.context.dispatcher.report_cancelled(self.id);
            }
            // The link to the agent is new: what it may not have read is sent again.
            Event::Resume => {
                if !self.context.agent.is_confirmed(self.last_stamp) {
                    self.send_last_command();
                }
            }
            Event::Reject { retry_after, last, reason } => {
                self.reply.reject(retry_after, last, reason);
                self.guard.disarm();
                return ControlFlow::Break(ExecutionEnd::Over);
            }
            Event::KeyReleased => return ControlFlow::Break(self.take_key_over()),
            Event::Result(result) => {
                self.finish_with_result(result);
                return ControlFlow::Break(ExecutionEnd::Over);
            }
            Event::Refused => {
                self.connection.refusals.record_refused();
                self.finish(Outcome::NotNeeded, 0.0, Vec::new());
                return ControlFlow::Break(ExecutionEnd::Over);
            }
            Event::Ended { outcome, took, body } => {
                self.connection.refusals.record_known();
                self.finish(outcome, took, body);
                return ControlFlow::Break(ExecutionEnd::Over);
            }
            Event::OutcomeMissed => {
                self.finish(Outcome::Failed, 0.0, Vec::new());
                return ControlFlow::Break(ExecutionEnd::Over);
            }
            // For those that wait to be offered again: this one was offered.
            Event::AttemptReleased | Event::AttemptTaken => {}
            Event::Forgotten | Event::Shutdown => {
                self.guard.disarm();
                return ControlFlow::Break(ExecutionEnd::Over);
            }
        }
        ControlFlow::Continue(())
    }

    /// Whether it was queued before its connection was suspected, and never ran.
    fn is_made_up(&self) -> bool {
        !self.paused && !self.is_probe && self.connection.refusals.is_suspected()
    }

    fn reject_made_up(&mut self) {
        self.reply.reject(0.0, false, Reason::UnknownToAgent);
        self.context.dispatcher.release_key(self.received.key.as_ref(), self.id);
        self.guard.report_ended(Outcome::NotNeeded, 0.0);
    }

    /// The policy has judged its wait, and gives it to the cores.
    fn launch_or_thaw(&mut self) {
        let (command, step) = match std::mem::take(&mut self.paused) {
            true => (AgentCommand::Thaw, Step::RESUMED),
            false => (AgentCommand::Launch, Step::RUN),
        };
        self.reply.entry.record(step);
        self.send_command(command);
    }

    fn freeze(&mut self) {
        self.reply.entry.record(Step::PAUSED);
        self.paused = true;
        self.send_command(AgentCommand::Freeze);
    }

    /// A retry of what is in flight or has run gets that one's result.
    fn await_result(&mut self, mailbox: &Arc<Mailbox>) {
        self.reply.entry.record(Step::REPLAYED);
        match &self.received.key {
            Some(key) => self.context.dispatcher.await_result(key, self.received.digest, mailbox),
            None => mailbox.send(Event::Result(None)),
        }
    }

    /// The attempt that it waited for never ran after all: this one is the first now, with a mailbox of its own.
    fn take_key_over(&mut self) -> ExecutionEnd {
        self.guard.report_ended(Outcome::NotNeeded, 0.0);
        match self.connection.renew_mailbox(self.tag) {
            Some(new) => ExecutionEnd::OfferAgain(new),
            None => ExecutionEnd::Over,
        }
    }

    /// The attempt that it waited for has ended.
    fn finish_with_result(&mut self, result: Option<Arc<Vec<u8>>>) {
        match result {
            Some(result) => {
                self.reply.complete(&result);
                self.guard.report_ended(Outcome::Completed, 0.0);
            }
            None => {
                self.reply.fail(Reason::EarlierAttemptFailed);
                self.guard.report_ended(Outcome::Failed, 0.0);
            }
        }
    }

    /// The run stands at a call, which is made once the policy allows it.
    fn wait_at_call(&mut self, notice: u64, body: Vec<u8>) {
        self.last_command = AgentCommand::None;
        self.pending_call.notice = notice;
        self.pending_call.body = body;
        self.pending_call.attempts = 0;
        self.reply.entry.record(Step::AT_CALL);
        self.context.dispatcher.report_call_wanted(self.id);
    }

    fn make_call(&mut self, limit: f64, mailbox: &Arc<Mailbox>) {
        let step = if self.pending_call.attempts == 0 { Step::CALL } else { Step::CALL_AGAIN };
        self.reply.entry.record(step);
        self.pending_call.attempts += 1;
        let (attempt, body) = (self.received.attempt, self.pending_call.body.clone());
        self.store_call = Some(self.context.store.call(attempt, body, limit, mailbox));
    }

    fn deliver_reply(&mut self, outcome: Outcome, took: f64, body: Vec<u8>) {
        self.store_call = None;
        self.reply.entry.record(Step::returned(outcome));
        if outcome == Outcome::Completed {
            self.pending_call.reply = body;
            self.send_command(AgentCommand::Deliver);
        }
        self.context.dispatcher.report_call_finished(self.id, outcome, took);
    }

    fn skip_call(&mut self) {
        self.reply.entry.record(Step::CALL_SKIPPED);
        self.send_command(AgentCommand::Forgo);
    }

    /// The run has ended.
    fn finish(&mut self, outcome: Outcome, took: f64, body: Vec<u8>) {
        if let Some(call) = self.store_call.take() {
            call.abandon();
        }
        self.reply.entry.record(Step::ended(outcome));
        let (dispatcher, key) = (&self.context.dispatcher, self.received.key.as_ref());
        match outcome {
            Outcome::Completed => {
                self.reply.entry.record_run(took);
                let result = Arc::new(body);
                dispatcher.finish_key(key, self.id, Some(&result));
                self.reply.complete(&result);
            }
            Outcome::NotNeeded => dispatcher.release_key(key, self.id),
            _ => dispatcher.finish_key(key, self.id, None),
        }
        // Of no effect where it was answered.
        self.reply.fail(Reason::RunFailed);
        self.guard.report_ended(outcome, took);
    }

    fn send_command(&mut self, command: AgentCommand) {
        self.last_command = command;
        self.send_last_command();
    }

    /// Sends the last command to the agent, for the first time or again.
    fn send_last_command(&mut self) {
        let (agent, attempt) = (&self.context.agent, &self.received.attempt);
        self.last_stamp = match self.last_command {
            AgentCommand::None => NO_COMMAND,
            AgentCommand::Launch => {
                let class = &self.context.config.policy.class_names[self.received.request.class];
                agent.launch(attempt, class, &self.received.body)
            }
            AgentCommand::Freeze => agent.freeze(attempt),
            AgentCommand::Thaw => agent.thaw(attempt),
            AgentCommand::Deliver => agent.deliver(attempt, &self.pending_call.reply),
            AgentCommand::Forgo => agent.forgo(attempt, self.pending_call.notice),
        };
    }
}
