use super::*;
use crate::log::ReplicaLog;

fn entry(index: u64, term: u64) -> StoredEntry {
    StoredEntry { index, term, entry_type: 0, data: vec![index as u8], context: Vec::new() }
}

#[test]
fn rejects_incomplete_durable_state() {
    let mut durable = DurableState::bootstrap(&[1, 2, 3]);
    durable.entries = vec![entry(2, 1), entry(4, 1)];
    assert_eq!(durable.check(), Err(CorruptState::Gap { expected: 3, found: 4 }));
    durable.entries[1] = StoredEntry { entry_type: 9, ..entry(3, 1) };
    assert_eq!(durable.check(), Err(CorruptState::UnknownEntryType { index: 3, entry_type: 9 }));
    durable.entries.pop();
    durable.hard_state.commit = 3;
    assert_eq!(ReplicaLog::new(&durable).unwrap_err(), CorruptState::Truncated { last: 2, commit: 3 });
    assert_eq!(DurableState::join().check(), Ok(()));
    let snapshot = StoredSnapshot { index: 1, term: 1, ..StoredSnapshot::default() };
    assert_eq!(DurableState { snapshot, ..DurableState::default() }.check(), Err(CorruptState::NoVoters));
}
