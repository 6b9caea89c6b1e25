use super::*;
use crate::durable::{PendingWrite, StoredEntry, StoredSnapshot};

fn entry(index: u64, term: u64) -> StoredEntry {
    StoredEntry { index, term, entry_type: 0, data: vec![index as u8], context: Vec::new() }
}

#[test]
fn apply_overwrites_entries_and_truncates_at_snapshot() {
    let mut durable = DurableState::bootstrap(&[1, 2, 3]);
    durable.apply(&PendingWrite {
        entries: vec![entry(2, 1), entry(3, 1), entry(4, 1)],
        ..PendingWrite::default()
    });
    durable.apply(&PendingWrite { entries: vec![entry(3, 2)], ..PendingWrite::default() });
    let terms: Vec<(u64, u64)> = durable.entries.iter().map(|entry| (entry.index, entry.term)).collect();
    assert_eq!(terms, [(2, 1), (3, 2)]);
    let snapshot = StoredSnapshot { index: 2, term: 1, voters: vec![1, 2, 3], ..StoredSnapshot::default() };
    durable.apply(&PendingWrite { snapshot: Some(snapshot), ..PendingWrite::default() });
    assert_eq!(durable.entries, [entry(3, 2)]);
    let log = ReplicaLog::new(&durable).unwrap();
    assert_eq!((log.first_index().unwrap(), log.last_index().unwrap()), (3, 3));
    assert_eq!((log.term(2).unwrap(), log.term(3).unwrap()), (1, 2));
    assert!(log.term(1).is_err() && log.term(4).is_err());
    assert_eq!(log.entries(3, 4, None, GetEntriesContext::empty(false)).unwrap().len(), 1);
    assert!(log.entries(3, 9, None, GetEntriesContext::empty(false)).is_err());
}
