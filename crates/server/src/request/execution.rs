//! State machine of one request: submits it to the dispatcher, then turns each event into commands to the
//! agent, calls to the store and the answer.

use super::context::RequestContext;
use super::reply::{InFlightGuard, PendingReply};
use super::run_commands::{RunCommand, RunCommands, RunRules, StepRecovery};
use crate::dispatcher::{SubmitOutcome, CONTENTION_MARGIN_SECONDS};
use crate::runtime::clock;
use crate::state::mailbox::{Event, Mailbox};
use crate::state::received_request::ReceivedRequest;
use crate::wire::agent::receipts::CommandStamp;
use crate::wire::gateway::connection::Connection;
use crate::wire::gateway::refusals::Trust;
use crate::wire::store::StoreCall;
use puffinladder::{Outcome, Reason};
use puffinladder_trace::row::Step;
use std::ops::ControlFlow;
use std::sync::Arc;

/// Log target of request events, used by operators in `RUST_LOG`.
const LOG_TARGET: &str = "puffinladder_server::txn";

/// Downstream call that a run waits for.
#[derive(Default)]
struct PendingCall {
    body: Vec<u8>,
    reply: Vec<u8>,
    /// Number of attempts so far.
    attempts: u32,
}

/// Result of submitting a request.
enum Admission {
    /// In flight under `id`. `is_probe` marks the probe of a suspected connection.
    Accepted { id: u32, is_probe: bool },
    /// The key or attempt id that the request waited for was released: submit the request again with this
    /// mailbox.
    Resubmit(Arc<Mailbox>),
    /// Answered or cancelled.
    Finished,
}

/// Final state of an execution.
enum ExecutionEnd {
    /// Finished: no further submission.
    Finished,
    /// The earlier attempt, whose result the request waited for, never ran: submit the request again with
    /// this mailbox.
    Resubmit(Arc<Mailbox>),
}

/// Executes a request from its submission to the end of its run. It is submitted again only after waiting for
/// another request that never ran.
pub(super) fn execute(
    context: &RequestContext,
    received: &ReceivedRequest,
    mut mailbox: Arc<Mailbox>,
    connection: &Connection,
    tag: u64,
) {
    let mut reply = PendingReply::new(context, connection, tag, received);
    loop {
        let admission = Submission { context, received, connection, tag }.submit(&mailbox, &mut reply);
        let (id, is_probe) = match admission {
            Admission::Accepted { id, is_probe } => (id, is_probe),
            Admission::Resubmit(new) => {
                mailbox = new;
                continue;
            }
            Admission::Finished => return,
        };
        let mut execution = Execution::new(context, received, connection, tag, id, &mut reply);
        execution.is_probe = is_probe;
        match execution.run(&mailbox) {
            ExecutionEnd::Finished => return,
            ExecutionEnd::Resubmit(new) => mailbox = new,
        }
    }
}

/// Request to be submitted to the policy.
struct Submission<'a> {
    context: &'a RequestContext,
    received: &'a ReceivedRequest,
    connection: &'a Connection,
    tag: u64,
}

impl Submission<'_> {
    fn submit(&self, mailbox: &Arc<Mailbox>, reply: &mut PendingReply) -> Admission {
        let Submission { context, received, tag, .. } = self;
        if mailbox.is_cancelled() {
            reply.cancel();
            return Admission::Finished;
        }
        let now = clock::now();
        let trust = self.connection.refusals.assess(now);
        if trust == Trust::Suspected {
            reply.reject(0.0, false, Reason::UnknownToAgent);
            return Admission::Finished;
        }
        let arrived = now - clock::seconds_since(received.timestamp);
        let deadline = self.contention_deadline(now, arrived);
        match context.dispatcher.submit(received, arrived, mailbox, deadline) {
            SubmitOutcome::Accepted(id) => {
                return Admission::Accepted { id, is_probe: trust == Trust::Probe }
            }
            SubmitOutcome::AwaitingAttemptId => return self.wait_for_attempt(mailbox, reply),
            SubmitOutcome::DuplicateAttempt => self.fail_duplicate(reply),
            SubmitOutcome::KeyConflict => {
                let message =
                    format_args!("request: tag {tag} failed: idempotency key used with different content");
                context.faults.warn(message);
                reply.fail(Reason::KeyConflict);
            }
            SubmitOutcome::KeyTableFull => reply.reject(0.0, false, Reason::KeyMemoryFull),
            SubmitOutcome::AwaitingKey => return self.wait_for_key(mailbox, reply),
        }
        Admission::Finished
    }

    /// Waits for the end of the request in flight under the same attempt id. If that one ran, this request
    /// may be a duplicate of it and fails: a rejection would claim that it had no effect.
    fn wait_for_attempt(&self, mailbox: &Arc<Mailbox>, reply: &mut PendingReply) -> Admission {
        tracing::trace!(target: LOG_TARGET, "txn at tag {}: waits for its attempt id", self.tag);
        match (mailbox.receive(), self.connection.renew_mailbox(self.tag)) {
            (Event::AttemptReleased, Some(new)) => return Admission::Resubmit(new),
            (Event::Cancelled, _) => reply.cancel(),
            _ => self.fail_duplicate(reply),
        }
        Admission::Finished
    }

    fn fail_duplicate(&self, reply: &mut PendingReply) {
        let message = format_args!("request: tag {} failed: its attempt id is already in flight", self.tag);
        self.context.faults.warn(message);
        reply.fail(Reason::DuplicateName);
    }

    /// Returns the time until which the request may wait for its key or attempt id, s. The policy does not
    /// track its deadline meanwhile.
    fn contention_deadline(&self, now: f64, arrived: f64) -> f64 {
        let Submission { context, received, .. } = self;
        let request = &received.request;
        let class = &context.config.policy.settings.classes[request.class];
        let due = if request.deadline > 0.0 { request.deadline } else { arrived + class.timeout };
        (now + context.limits.key_contention_timeout).min(due - CONTENTION_MARGIN_SECONDS)
    }

    fn wait_for_key(&self, mailbox: &Arc<Mailbox>, reply: &mut PendingReply) -> Admission {
        tracing::trace!(target: LOG_TARGET, "txn at tag {}: waits for its key", self.tag);
        match (mailbox.receive(), self.connection.renew_mailbox(self.tag)) {
            (Event::KeyReleased, Some(new)) => return Admission::Resubmit(new),
            (Event::Reject { retry_after, do_not_forward, reason }, _) => {
                reply.reject(retry_after, do_not_forward, reason)
            }
            (Event::Cancelled, _) => reply.cancel(),
            _ => {}
        }
        Admission::Finished
    }
}

/// Execution of a request in flight.
struct Execution<'a, 'r> {
    context: &'a RequestContext,
    received: &'a ReceivedRequest,
    connection: &'a Connection,
    tag: u64,
    id: u32,
    /// Whether this request is the probe of a suspected connection.
    is_probe: bool,
    guard: InFlightGuard<'a>,
    reply: &'r mut PendingReply<'a>,
    commands: RunCommands,
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
        let class = &context.config.policy.settings.classes[received.request.class];
        Execution {
            context,
            received,
            connection,
            tag,
            id,
            is_probe: false,
            guard: InFlightGuard::new(context, received.key, id),
            reply,
            commands: RunCommands::new(RunRules::of_class(class)),
            paused: false,
            pending_call: PendingCall::default(),
            store_call: None,
        }
    }

    /// Handles events until the request ends.
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
            Event::Run if !self.paused && mailbox.is_cancelled() => {
                self.withdraw();
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
            Event::Run if self.is_suspected() => {
                self.reject_suspected();
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
            Event::Run => self.launch_or_thaw(),
            Event::Pause => self.freeze(),
            Event::Replay => self.await_result(mailbox),
            Event::AtCall { sequence, body } => self.request_call(sequence, body),
            Event::Call { limit } => self.make_call(limit, mailbox),
            Event::Returned { outcome, duration, body } => self.deliver_reply(outcome, duration, body),
            Event::SkipCall => self.skip_call(),
            // Only the pending answer ends here: the run continues.
            Event::Fail(reason) => self.reply.fail(reason),
            Event::Cancelled => {
                self.reply.cancel();
                self.context.dispatcher.report_cancelled(self.id);
            }
            Event::Resume => self.recover_after_reconnect(mailbox),
            Event::Reject { retry_after, do_not_forward, reason } => {
                self.reply.reject(retry_after, do_not_forward, reason);
                self.guard.disarm();
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
            Event::KeyReleased => return ControlFlow::Break(self.resubmit()),
            Event::Result(result) => {
                self.finish_with_result(result);
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
            Event::Refused => {
                self.connection.refusals.record_refused();
                self.finish(Outcome::NotNeeded, 0.0, Vec::new());
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
            Event::Ended { outcome, duration, body } => {
                self.connection.refusals.record_known();
                self.finish(outcome, duration, body);
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
            Event::OutcomeLost => {
                self.finish(Outcome::Failed, 0.0, Vec::new());
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
            // Only sent to requests that wait for an attempt id, before they are in flight.
            Event::AttemptReleased | Event::AttemptTaken => {}
            Event::Discarded | Event::Shutdown => {
                self.guard.disarm();
                return ControlFlow::Break(ExecutionEnd::Finished);
            }
        }
        ControlFlow::Continue(())
    }

    /// Returns whether the request comes from a suspected connection, has not started and is not a probe.
    fn is_suspected(&self) -> bool {
        !self.paused && !self.is_probe && self.connection.refusals.is_suspected()
    }

    fn reject_suspected(&mut self) {
        self.reply.reject(0.0, false, Reason::UnknownToAgent);
        self.end_unrun();
    }

    /// Ends a request that its gateway no longer waits for, instead of launching it.
    fn withdraw(&mut self) {
        self.reply.cancel();
        self.end_unrun();
    }

    /// Reports that the request ended without a run.
    fn end_unrun(&mut self) {
        self.context.dispatcher.release_key(self.received.key.as_ref(), self.id);
        self.guard.report_ended(Outcome::NotNeeded, 0.0);
    }

    /// Starts the run, or resumes it after a pause.
    fn launch_or_thaw(&mut self) {
        let (command, step) = match std::mem::take(&mut self.paused) {
            true => (RunCommand::Thaw, Step::RESUMED),
            false => (RunCommand::Launch, Step::RUN),
        };
        self.reply.entry.record(step);
        self.send_command(command);
    }

    fn freeze(&mut self) {
        self.reply.entry.record(Step::PAUSED);
        self.paused = true;
        self.send_command(RunCommand::Freeze);
    }

    /// Waits for the result of the earlier attempt of the same request.
    fn await_result(&mut self, mailbox: &Arc<Mailbox>) {
        self.reply.entry.record(Step::REPLAYED);
        match &self.received.key {
            Some(key) => self.context.dispatcher.await_result(key, self.received.digest, mailbox),
            None => mailbox.send(Event::Result(None)),
        }
    }

    /// Ends this execution so that the request is submitted again: the earlier attempt never ran.
    fn resubmit(&mut self) -> ExecutionEnd {
        self.guard.report_ended(Outcome::NotNeeded, 0.0);
        match self.connection.renew_mailbox(self.tag) {
            Some(new) => ExecutionEnd::Resubmit(new),
            None => ExecutionEnd::Finished,
        }
    }

    /// Answers with the result of the earlier attempt, or fails if there is none.
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

    /// Records that the run waits for a downstream call and asks the policy to allow it.
    fn request_call(&mut self, notice_sequence: u64, body: Vec<u8>) {
        self.commands.record_call(notice_sequence);
        self.pending_call.body = body;
        self.pending_call.attempts = 0;
        self.reply.entry.record(Step::AT_CALL);
        self.context.dispatcher.report_call_pending(self.id);
    }

    fn make_call(&mut self, limit: f64, mailbox: &Arc<Mailbox>) {
        let step = if self.pending_call.attempts == 0 { Step::CALL } else { Step::CALL_AGAIN };
        self.reply.entry.record(step);
        self.pending_call.attempts += 1;
        let (attempt, body) = (self.received.attempt, self.pending_call.body.clone());
        self.store_call = Some(self.context.store.call(attempt, body, limit, mailbox));
    }

    fn deliver_reply(&mut self, outcome: Outcome, duration: f64, body: Vec<u8>) {
        self.store_call = None;
        self.reply.entry.record(Step::returned(outcome));
        if outcome == Outcome::Completed {
            self.pending_call.reply = body;
            self.send_command(RunCommand::Deliver);
        }
        self.context.dispatcher.report_call_finished(self.id, outcome, duration);
    }

    fn skip_call(&mut self) {
        self.reply.entry.record(Step::CALL_SKIPPED);
        self.send_command(RunCommand::Forgo(self.commands.call_notice()));
    }

    /// Answers the request and records the end of its run.
    fn finish(&mut self, outcome: Outcome, duration: f64, body: Vec<u8>) {
        if let Some(call) = self.store_call.take() {
            call.abandon();
        }
        self.reply.entry.record(Step::ended(outcome));
        let (dispatcher, key) = (&self.context.dispatcher, self.received.key.as_ref());
        match outcome {
            Outcome::Completed => {
                self.reply.entry.record_run(duration);
                let result = Arc::new(body);
                dispatcher.finish_key(key, self.id, Some(&result));
                self.reply.complete(&result);
            }
            Outcome::NotNeeded => dispatcher.release_key(key, self.id),
            _ => dispatcher.finish_key(key, self.id, None),
        }
        // No effect if the request was already answered.
        self.reply.fail(Reason::RunFailed);
        self.guard.report_ended(outcome, duration);
    }

    /// After a reconnect, sends the commands that the agent may have missed and that may be sent again.
    fn recover_after_reconnect(&mut self, mailbox: &Mailbox) {
        // A notice that is queued behind this event shows the effect of the last command.
        if mailbox.has_run_notice() {
            return;
        }
        let recovery = self.commands.recover(|stamp| self.context.agent.receipt(stamp));
        match recovery.step {
            StepRecovery::Settled => {}
            StepRecovery::Send(command) => {
                tracing::trace!(target: LOG_TARGET, "txn {}: sends {command:?} after a reconnect", self.id);
                self.send_command(command);
            }
            StepRecovery::InDoubt(command) => {
                let attempt = String::from_utf8_lossy(&self.received.attempt);
                let message =
                    format_args!("agent: a command for request {attempt} may be lost, its run is in doubt");
                self.context.faults.warn(message);
                let may_never_end = command == RunCommand::Launch;
                self.context.dispatcher.report_in_doubt(self.id, may_never_end);
            }
        }
        if let Some(preemption) = recovery.preemption {
            self.send_command(preemption);
        }
    }

    /// Sends a command to the agent.
    fn send_command(&mut self, command: RunCommand) {
        let (agent, attempt) = (&self.context.agent, &self.received.attempt);
        let stamp = match command {
            RunCommand::Launch => self.launch(),
            RunCommand::Freeze => agent.freeze(attempt),
            RunCommand::Thaw => agent.thaw(attempt),
            RunCommand::Deliver => agent.deliver(attempt, &self.pending_call.reply),
            RunCommand::Forgo(notice) => agent.forgo(attempt, notice),
        };
        self.commands.record(command, stamp);
    }

    fn launch(&self) -> CommandStamp {
        let class = &self.context.config.policy.class_names[self.received.request.class];
        self.context.agent.launch(&self.received.attempt, class, &self.received.body)
    }
}
