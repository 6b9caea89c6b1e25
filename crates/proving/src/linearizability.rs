//! Whether what operators were answered could have come from one table: each command and each read took effect at one moment between its
//! asking and its answer. Judged by a library's checker; what is asked here is one bit, whether a duty is paused.

use stateright::semantics::register::{Register, RegisterOp, RegisterRet};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};

/// What an operator did, in the order in which things began and ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationStep {
    Invoked {
        operator: u64,
        pause: Option<bool>,
    },
    /// A read's answer, or that a command was carried out.
    Returned {
        operator: u64,
        paused: Option<bool>,
    },
    /// What was asked last was not carried out, or was a read that nobody answered: as if it had never been asked.
    Discarded {
        operator: u64,
    },
}

/// Operations of which it is not known whether they were carried out, beyond which a history is too wide to be searched.
pub const MAX_UNKNOWN_OUTCOMES: usize = 6;

/// The steps without what was never carried out.
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

/// Whether the steps could have come from one table. Operators whose command was never answered have no later step.
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
        Err(format!("no one table gives these answers: {steps:?}"))
    }
}

#[cfg(test)]
mod tests;
