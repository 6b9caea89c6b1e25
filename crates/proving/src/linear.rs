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
pub fn one_table(steps: &[Step]) -> Result<(), String> {
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
mod tests {
    use super::*;

    fn asks(who: u64, pause: Option<bool>) -> Step {
        Step::Asks { who, pause }
    }
    fn answered(who: u64, paused: Option<bool>) -> Step {
        Step::Answered { who, paused }
    }

    #[test]
    fn a_read_after_a_command_was_answered_sees_it() {
        let command = [asks(1, Some(true)), answered(1, None), asks(2, None)];
        assert!(one_table(&[&command[..], &[answered(2, Some(true))]].concat()).is_ok());
        let stale = one_table(&[&command[..], &[answered(2, Some(false))]].concat());
        assert!(stale.unwrap_err().contains("no one table"));
    }

    #[test]
    fn what_was_refused_was_never_asked() {
        let steps = [asks(1, Some(true)), Step::Never { who: 1 }, asks(1, None), answered(1, Some(false))];
        assert!(one_table(&steps).is_ok());
        let seen = [asks(1, Some(true)), Step::Never { who: 1 }, asks(1, None), answered(1, Some(true))];
        assert!(one_table(&seen).is_err());
    }

    #[test]
    fn what_was_never_answered_may_have_been_carried_out_at_any_later_time_or_never() {
        let lost = [asks(1, Some(true)), asks(2, None), answered(2, Some(false)), asks(2, None)];
        for seen in [true, false] {
            assert!(one_table(&[&lost[..], &[answered(2, Some(seen))]].concat()).is_ok());
        }
        // Once it was seen it stays.
        let seen = [answered(2, Some(true)), asks(3, None), answered(3, Some(false))];
        assert!(one_table(&[&lost[..], &seen].concat()).is_err());
    }
}
