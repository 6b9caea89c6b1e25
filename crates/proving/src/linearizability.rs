//! Whether what operators were answered could have come from one table: each command and each read took effect at one moment between its
//! asking and its answer. Judged by a library's checker; what is asked here is one bit, whether a duty is paused.

use stateright::semantics::register::{Register, RegisterOp, RegisterRet};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};

/// What an operator did, in the order in which things began and ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Asks {
        who: u64,
        pause: Option<bool>,
    },
    /// A read's answer, or that a command was carried out.
    Answered {
        who: u64,
        paused: Option<bool>,
    },
    /// What was asked last was not carried out, or was a read that nobody answered: as if it had never been asked.
    Never {
        who: u64,
    },
}

/// Operations of which it is not known whether they were carried out, beyond which a history is too wide to be searched.
pub const UNKNOWN: usize = 6;

/// The steps without what was never carried out.
fn asked(steps: &[Step]) -> Vec<Step> {
    let mut kept: Vec<Step> = Vec::new();
    for step in steps {
        let Step::Never { who } = *step else {
            kept.push(*step);
            continue;
        };
        let last = kept.iter().rposition(|one| matches!(one, Step::Asks { who: of, .. } if *of == who));
        last.map(|at| kept.remove(at));
    }
    kept
}

/// Whether the steps could have come from one table. Operators whose command was never answered have no later step.
pub fn check_linearizable(steps: &[Step]) -> Result<(), String> {
    let mut tester = LinearizabilityTester::new(Register(false));
    for step in asked(steps) {
        let taken = match step {
            Step::Asks { who, pause: Some(paused) } => tester.on_invoke(who, RegisterOp::Write(paused)),
            Step::Asks { who, pause: None } => tester.on_invoke(who, RegisterOp::Read),
            Step::Answered { who, paused: Some(paused) } => {
                tester.on_return(who, RegisterRet::ReadOk(paused))
            }
            Step::Answered { who, paused: None } => tester.on_return(who, RegisterRet::WriteOk),
            Step::Never { .. } => continue,
        };
        taken.map(drop).map_err(|what| format!("{step:?}: {what}"))?;
    }
    if tester.is_consistent() {
        Ok(())
    } else {
        Err(format!("no one table gives these answers: {steps:?}"))
    }
}

#[cfg(test)]
mod tests;
