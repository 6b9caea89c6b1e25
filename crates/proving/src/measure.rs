//! Time without a lease holder: from a fault of a worker to the first accepted effect of its successor.

use crate::history::{History, HistoryEvent};
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::Event;
use puffinladder_leases::table::ChangeKind;
use puffinladder_leases::{Epoch, Task};
use std::collections::BTreeMap;

/// Returns the sorted gaps, s, from each fault with that keyword to the first effect accepted under a later epoch, for each task that the
/// affected process held, and the number of tasks without such an effect.
pub fn ownership_gaps(history: &History, fault_keyword: &str) -> (Vec<f64>, usize) {
    let mut leases: BTreeMap<&Task, (Epoch, &str)> = BTreeMap::new();
    let mut open: Vec<(f64, &Task, Epoch)> = Vec::new();
    let mut closed = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::FaultStarted { fault } if fault.split(' ').next() == Some(fault_keyword) => {
                let affected = leases.iter().filter(|(_, (_, holder))| *holder == entry.process);
                open.extend(affected.map(|(task, (epoch, _))| (entry.at, *task, *epoch)));
            }
            HistoryEvent::Reported(Event::Change(change)) => match change.kind {
                ChangeKind::Granted => {
                    let known = leases.get(&change.task).is_some_and(|(epoch, _)| *epoch >= change.epoch);
                    if !known {
                        leases.insert(&change.task, (change.epoch, &change.holder.instance));
                    }
                }
                ChangeKind::Ended
                    if leases.get(&change.task).is_some_and(|(epoch, _)| *epoch == change.epoch) =>
                {
                    leases.remove(&change.task);
                }
                _ => {}
            },
            HistoryEvent::Reported(Event::EffectChecked {
                task,
                epoch,
                block: Some(_),
                verdict: Verdict::New,
                ..
            }) => {
                let done = open.extract_if(.., |(_, of, old)| *of == task && epoch > old);
                closed.extend(done.map(|(from, ..)| entry.at - from));
            }
            _ => {}
        }
    }
    closed.sort_by(f64::total_cmp);
    (closed, open.len())
}

/// Returns the quantile `share` (0 to 1) of sorted values, NaN if there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let place = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(place.max(1) - 1).or(sorted.last()).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests;
