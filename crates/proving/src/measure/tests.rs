use super::*;
use puffinladder_leases::table::{Cause, Change};
use puffinladder_leases::HolderId;

#[test]
fn gap_ends_at_first_effect_of_the_successor() {
    let mut history = History::default();
    let task = Task::new("gather", 0);
    let change = |epoch, to: &str, kind| {
        let (task, holder, cause) = (task.clone(), HolderId::new(to, 1), Cause::Vacant);
        HistoryEvent::Reported(Event::Change(Change { at: 0.0, task, holder, epoch, kind, cause }))
    };
    let effect = |epoch, verdict| {
        let (task, block) = (task.clone(), Some("a#0".to_string()));
        HistoryEvent::Reported(Event::EffectChecked { task, epoch, number: 1, block, verdict })
    };
    history.record(0.0, "k1", 1, change(1, "s1", ChangeKind::Granted));
    history.record(1.0, "s1", 0, HistoryEvent::FaultStarted { fault: "kill s1".into() });
    history.record(1.1, "archive", 1, effect(1, Verdict::New));
    history.record(3.0, "k1", 1, change(1, "s1", ChangeKind::Ended));
    history.record(3.1, "k1", 1, change(2, "s2", ChangeKind::Granted));
    history.record(3.2, "k2", 1, change(1, "s1", ChangeKind::Granted));
    history.record(3.5, "archive", 1, effect(2, Verdict::New));
    history.record(4.0, "s2", 0, HistoryEvent::FaultStarted { fault: "leave s2".into() });
    assert_eq!(ownership_gaps(&history, "kill"), (vec![2.5], 0));
    assert_eq!(ownership_gaps(&history, "leave"), (vec![], 1));
    assert_eq!(quantile(&[1.0, 2.0, 3.0], 0.5), 2.0);
    assert!(quantile(&[], 0.5).is_nan() && quantile(&[1.0, 9.0], 0.99) == 9.0);
}
