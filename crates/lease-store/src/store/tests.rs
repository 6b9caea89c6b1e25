use super::*;
use crate::durable::{StoredHardState, StoredSnapshot};

fn entry(index: u64, term: u64) -> StoredEntry {
    StoredEntry { index, term, kind: 0, data: vec![7; 300], context: Vec::new() }
}

fn writes() -> Vec<PendingWrite> {
    let hard_state = |term, commit| Some(StoredHardState { term, vote: 2, commit });
    let snapshot =
        StoredSnapshot { index: 3, term: 2, voters: vec![1, 2, 3], learners: vec![], table: vec![1; 500] };
    vec![
        PendingWrite {
            number: 1,
            hard_state: hard_state(2, 1),
            entries: vec![entry(2, 2), entry(3, 2), entry(4, 2)],
            snapshot: None,
        },
        PendingWrite {
            number: 2,
            hard_state: hard_state(3, 3),
            entries: vec![entry(4, 3), entry(5, 3)],
            snapshot: None,
        },
        PendingWrite { number: 0, hard_state: None, entries: vec![], snapshot: Some(snapshot) },
        PendingWrite { number: 3, hard_state: hard_state(3, 5), entries: vec![entry(6, 3)], snapshot: None },
    ]
}

#[test]
fn what_was_kept_is_there_after_a_restart_and_as_a_disk_in_memory_would_have_it() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("keeper");
    let (mut store, mut durable) = Store::bootstrap(&path, 2, &[1, 2, 3]).unwrap();
    for write in writes() {
        store.write(std::slice::from_ref(&write)).unwrap();
        durable.apply(&write);
        drop(store);
        let (again, read) = Store::open(&path).unwrap();
        assert_eq!((again.id(), &read), (2, &durable));
        store = again;
    }
    // The same in one sync.
    let other = folder.path().join("other");
    let (store, _) = Store::bootstrap(&other, 2, &[1, 2, 3]).unwrap();
    store.write(&writes()).unwrap();
    drop(store);
    assert_eq!(Store::open(&other).unwrap().1, durable);
}

#[test]
fn a_disk_belongs_to_one_process_and_is_founded_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("keeper");
    let missing = Store::open(&path).err().unwrap().to_string();
    assert!(missing.contains("no keeper's disk") && missing.contains("keeper"), "{missing}");
    let held = Store::bootstrap(&path, 1, &[1, 2, 3]).unwrap();
    assert!(matches!(Store::open(&path), Err(StoreError::InUse { .. })));
    assert!(matches!(Store::bootstrap(&path, 1, &[1, 2, 3]), Err(StoreError::AlreadyExists { .. })));
    drop(held);
    Store::open(&path).unwrap();
}

#[test]
fn a_file_that_was_cut_or_written_over_is_refused_or_read_as_it_was_and_never_panics() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("keeper");
    let (store, mut durable) = Store::bootstrap(&path, 2, &[1, 2, 3]).unwrap();
    store.write(&writes()).unwrap();
    writes().iter().for_each(|write| durable.apply(write));
    drop(store);
    let whole = std::fs::read(&path).unwrap();
    let damaged = folder.path().join("torn");
    let mut refused = 0;
    let mut check = |bytes: &[u8]| {
        std::fs::write(&damaged, bytes).unwrap();
        match Store::open(&damaged) {
            Ok((_, read)) => assert_eq!(read, durable),
            Err(error) => {
                refused += 1;
                assert!(error.to_string().contains("torn"), "{error}");
            }
        }
    };
    for part in 0..32 {
        check(&whole[..whole.len() * part / 32]);
    }
    for place in (0..whole.len()).step_by(whole.len() / 200) {
        let mut bytes = whole.clone();
        bytes[place] ^= 0x55;
        check(&bytes);
    }
    assert!(refused > 32, "{refused}");
}
