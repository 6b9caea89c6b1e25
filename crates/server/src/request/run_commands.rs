//! Commands to the agent for one run, and what follows for them after a reconnect. No I/O.
//!
//! When the connection breaks, the agent may or may not have read the commands that it had not confirmed. A notice on
//! the run shows the effect of the command before it. Until one comes, a command may be repeated only if that changes
//! nothing where the first one was read, whatever the run has done since:
//!
//! - `launch` does nothing for a request that runs, but starts one that has ended a second time. It is repeated only if
//!   the run may run again: the end of any other run may be on its way, or come before the second launch is read. That a
//!   class makes calls shows nothing, since its runs may make none.
//! - `forgo` names the notice of the call that it concerns, `freeze` and `thaw` set a state.
//! - `deliver` names no call: a run that read the first one and has reached its next call by now would take the reply
//!   for that call. It is never repeated. If the run may go on without the call, `forgo` takes its place; it does
//!   nothing if the reply was read.
//!
//! Where no command may be repeated, the run is in doubt until its next notice.

use crate::wire::agent::receipts::{CommandStamp, Receipt};
use puffinladder::{Idempotency, RequestClass};

/// Sequence number of a notice of the agent.
pub type NoticeNumber = u64;

/// Command to the agent for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunCommand {
    /// Starts the run.
    Launch,
    /// Preempts the run.
    Freeze,
    /// Resumes a preempted run.
    Thaw,
    /// Delivers the reply to the call that the run waits for.
    Deliver,
    /// Lets the run continue without the call that this notice requested.
    Forgo(NoticeNumber),
}

impl RunCommand {
    fn is_preemption(self) -> bool {
        matches!(self, RunCommand::Freeze | RunCommand::Thaw)
    }
}

/// What to do for the step that a run is at: its start, or the end of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepRecovery {
    /// Nothing: the agent has read the command, it is on its way on the new connection, or there was none.
    Settled,
    /// Send this command.
    Send(RunCommand),
    /// This command may not be sent again. Nothing tells whether the run goes on, until its next notice.
    InDoubt(RunCommand),
}

/// What to do for a run after a reconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    pub step: StepRecovery,
    /// Preemption or resumption, if it is to be sent. Follows the command of the step.
    pub preemption: Option<RunCommand>,
}

/// Command with its position in the connection.
#[derive(Clone, Copy, Debug)]
struct Issued {
    command: RunCommand,
    stamp: CommandStamp,
}

/// What the class of a run allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRules {
    /// The launch may be sent again though it may have been read.
    pub may_repeat_launch: bool,
    /// The run may continue without its calls.
    pub may_skip_calls: bool,
}

impl RunRules {
    /// Returns the rules of a class.
    pub fn of_class(class: &RequestClass) -> RunRules {
        RunRules {
            may_repeat_launch: class.idempotency == Idempotency::Idempotent,
            may_skip_calls: class.degraded_weight_fraction > 0.0,
        }
    }
}

/// Commands for a run whose effect no notice has shown.
#[derive(Debug)]
pub struct RunCommands {
    rules: RunRules,
    /// Last launch, reply or forgone call.
    step: Option<Issued>,
    /// Last preemption or resumption.
    preemption: Option<Issued>,
    /// Notice that requested the last call.
    call_notice: NoticeNumber,
}

impl RunCommands {
    /// Returns the state before the launch.
    pub fn new(rules: RunRules) -> RunCommands {
        RunCommands { rules, step: None, preemption: None, call_notice: 0 }
    }

    /// Returns the notice that requested the last call.
    pub fn call_notice(&self) -> NoticeNumber {
        self.call_notice
    }

    /// Records that a command was issued.
    pub fn record(&mut self, command: RunCommand, stamp: CommandStamp) {
        let issued = Some(Issued { command, stamp });
        if command.is_preemption() {
            self.preemption = issued;
        } else {
            self.step = issued;
        }
    }

    /// Records the notice of a call, which shows the effect of all earlier commands.
    pub fn record_call(&mut self, notice: NoticeNumber) {
        self.call_notice = notice;
        self.step = None;
        self.preemption = None;
    }

    /// Returns what to do after a reconnect, when all notices from before it have been recorded.
    pub fn recover(&mut self, receipt: impl Fn(CommandStamp) -> Receipt) -> Recovery {
        // What was confirmed once needs no later recovery.
        self.step = self.step.filter(|issued| receipt(issued.stamp) != Receipt::Confirmed);
        self.preemption = self.preemption.filter(|issued| receipt(issued.stamp) != Receipt::Confirmed);
        let step = self.step.map(|issued| self.recover_step(issued.command, receipt(issued.stamp)));
        let unread = self.preemption.filter(|issued| receipt(issued.stamp) != Receipt::Pending);
        Recovery {
            step: step.unwrap_or(StepRecovery::Settled),
            preemption: unread.map(|issued| issued.command),
        }
    }

    fn recover_step(&self, command: RunCommand, receipt: Receipt) -> StepRecovery {
        match (receipt, command) {
            (Receipt::Confirmed | Receipt::Pending, _) => StepRecovery::Settled,
            (Receipt::PossiblyLost, RunCommand::Deliver) if self.rules.may_skip_calls => {
                StepRecovery::Send(RunCommand::Forgo(self.call_notice))
            }
            (Receipt::PossiblyLost, RunCommand::Deliver) => StepRecovery::InDoubt(command),
            (Receipt::PossiblyLost, RunCommand::Launch) if !self.rules.may_repeat_launch => {
                StepRecovery::InDoubt(command)
            }
            (Receipt::Unsent | Receipt::PossiblyLost, command) => StepRecovery::Send(command),
        }
    }
}

#[cfg(test)]
mod tests;
