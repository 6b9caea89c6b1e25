//! How long the fleet goes without an owner: read off a history, from the moment something was done to a steward to the first effect of whoever came
//! after it.

use crate::history::{Happened, History};
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::Event;
use puffinladder_leases::table::ChangeKind;
use puffinladder_leases::{Epoch, Task};
use std::collections::BTreeMap;

/// From each fault of that word to the first effect that stood under a later epoch, for each part that the one hit owned; s. Parts without any such
/// effect until the end are counted apart.
pub fn gaps(history: &History, word: &str) -> (Vec<f64>, usize) {
    let mut owned: BTreeMap<&Task, (Epoch, &str)> = BTreeMap::new();
    let mut open: Vec<(f64, &Task, Epoch)> = Vec::new();
    let mut closed = Vec::new();
    for entry in &history.entries {
        match &entry.what {
            Happened::Begun { fault } if fault.split(' ').next() == Some(word) => {
                let hit = owned.iter().filter(|(_, (_, whose))| *whose == entry.who);
                open.extend(hit.map(|(duty, (epoch, _))| (entry.at, *duty, *epoch)));
            }
            Happened::Told(Event::Change(change)) => match change.kind {
                ChangeKind::Granted => {
                    let known = owned.get(&change.task).is_some_and(|(epoch, _)| *epoch >= change.epoch);
                    if !known {
                        owned.insert(&change.task, (change.epoch, &change.holder.instance));
                    }
                }
                ChangeKind::Ended
                    if owned.get(&change.task).is_some_and(|(epoch, _)| *epoch == change.epoch) =>
                {
                    owned.remove(&change.task);
                }
                _ => {}
            },
            Happened::Told(Event::EffectChecked {
                task: duty,
                epoch,
                block: Some(_),
                verdict: Verdict::New,
                ..
            }) => {
                let done = open.extract_if(.., |(_, of, old)| *of == duty && epoch > old);
                closed.extend(done.map(|(from, ..)| entry.at - from));
            }
            _ => {}
        }
    }
    closed.sort_by(f64::total_cmp);
    (closed, open.len())
}

/// A value that so large a share of the sorted ones is not above.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let place = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(place.max(1) - 1).or(sorted.last()).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests {
    use super::*;
    use puffinladder_leases::table::{Cause, Change};
    use puffinladder_leases::HolderId;

    #[test]
    fn a_gap_lasts_until_the_successors_first_effect_and_not_a_late_one_of_the_dead() {
        let mut history = History::default();
        let duty = Task::new("gather", 0);
        let change = |epoch, to: &str, what| {
            let (duty, owner, cause) = (duty.clone(), HolderId::new(to, 1), Cause::Vacant);
            Happened::Told(Event::Change(Change {
                at: 0.0,
                task: duty,
                holder: owner,
                epoch,
                kind: what,
                cause,
            }))
        };
        let effect = |epoch, verdict| {
            let (duty, piece) = (duty.clone(), Some("a#0".to_string()));
            Happened::Told(Event::EffectChecked { task: duty, epoch, number: 1, block: piece, verdict })
        };
        history.tell(0.0, "k1", 1, change(1, "s1", ChangeKind::Granted));
        history.tell(1.0, "s1", 0, Happened::Begun { fault: "kill s1".into() });
        history.tell(1.1, "archive", 1, effect(1, Verdict::New));
        history.tell(3.0, "k1", 1, change(1, "s1", ChangeKind::Ended));
        history.tell(3.1, "k1", 1, change(2, "s2", ChangeKind::Granted));
        history.tell(3.2, "k2", 1, change(1, "s1", ChangeKind::Granted));
        history.tell(3.5, "archive", 1, effect(2, Verdict::New));
        history.tell(4.0, "s2", 0, Happened::Begun { fault: "leave s2".into() });
        assert_eq!(gaps(&history, "kill"), (vec![2.5], 0));
        assert_eq!(gaps(&history, "leave"), (vec![], 1));
        assert_eq!(quantile(&[1.0, 2.0, 3.0], 0.5), 2.0);
        assert!(quantile(&[], 0.5).is_nan() && quantile(&[1.0, 9.0], 0.99) == 9.0);
    }
}
