//! Linearizability check of the operators' commands and reads: each must take effect at one moment between its invocation and its return.
//! The state is one bit, whether a task is paused.

use stateright::semantics::register::{Register, RegisterOp, RegisterRet};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};

/// Invocation or return of one operation, in the order of the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationStep {
    Invoked {
        operator: u64,
        pause: Option<bool>,
    },
    /// Result of a read, or `None` when a command was applied.
    Returned {
        operator: u64,
        paused: Option<bool>,
    },
    /// The operator's last operation was not applied, or was a read without an answer; the check ignores it.
    Discarded {
        operator: u64,
    },
}

/// Operations with an unknown outcome beyond which the search takes too long.
pub const MAX_UNKNOWN_OUTCOMES: usize = 6;

/// Returns the steps without discarded operations.
fn without_discarded(steps: &[OperationStep]) -> Vec<OperationStep> {
    let mut kept: Vec<OperationStep> = Vec::new();
    for step in steps {
        let OperationStep::Discarded { operator } = *step else {
            kept.push(*step);
            continue;
        };
        let last = kept
            .iter()
            .rposition(|step| matches!(step, OperationStep::Invoked { operator: of, .. } if *of == operator));
        last.map(|at| kept.remove(at));
    }
    kept
}

/// Checks the steps for linearizability. An operator whose command was never answered must have no later step.
///
/// # Errors
///
/// A step out of order, or steps that no sequential order explains.
pub fn check_linearizable(steps: &[OperationStep]) -> Result<(), String> {
    let mut tester = LinearizabilityTester::new(Register(false));
    for step in without_discarded(steps) {
        let accepted = match step {
            OperationStep::Invoked { operator, pause: Some(paused) } => {
                tester.on_invoke(operator, RegisterOp::Write(paused))
            }
            OperationStep::Invoked { operator, pause: None } => tester.on_invoke(operator, RegisterOp::Read),
            OperationStep::Returned { operator, paused: Some(paused) } => {
                tester.on_return(operator, RegisterRet::ReadOk(paused))
            }
            OperationStep::Returned { operator, paused: None } => {
                tester.on_return(operator, RegisterRet::WriteOk)
            }
            OperationStep::Discarded { .. } => continue,
        };
        accepted.map(drop).map_err(|error| format!("{step:?}: {error}"))?;
    }
    if tester.is_consistent() {
        Ok(())
    } else {
        Err(format!("not linearizable: {steps:?}"))
    }
}

#[cfg(test)]
mod tests;
