use super::*;
use crate::durable::{StoredHardState, StoredSnapshot};

fn entry(index: u64, term: u64) -> StoredEntry {
    StoredEntry { index, term, entry_type: 0, data: vec![7; 300], context: Vec::new() }
}

fn writes() -> Vec<PendingWrite> {
    let hard_state = |term, commit| Some(StoredHardState { term, vote: 2, commit });
    let snapshot =
        StoredSnapshot { index: 3, term: 2, voters: vec![1, 2, 3], learners: vec![], data: vec![1; 500] };
    vec![
        PendingWrite {
            sequence: 1,
            hard_state: hard_state(2, 1),
            entries: vec![entry(2, 2), entry(3, 2), entry(4, 2)],
            snapshot: None,
        },
        PendingWrite {
            sequence: 2,
            hard_state: hard_state(3, 3),
            entries: vec![entry(4, 3), entry(5, 3)],
            snapshot: None,
        },
        PendingWrite { sequence: 0, hard_state: None, entries: vec![], snapshot: Some(snapshot) },
        PendingWrite {
            sequence: 3,
            hard_state: hard_state(3, 5),
            entries: vec![entry(6, 3)],
            snapshot: None,
        },
    ]
}

#[test]
fn reopened_file_matches_in_memory_state() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("keeper");
    let (mut store, mut durable) = Store::bootstrap(&path, 2, &[1, 2, 3]).unwrap();
    for write in writes() {
        store.write(std::slice::from_ref(&write)).unwrap();
        durable.apply(&write);
        drop(store);
        let (reopened, read) = Store::open(&path).unwrap();
        assert_eq!((reopened.id(), &read), (2, &durable));
        store = reopened;
    }
    // All writes in one sync.
    let batched_path = directory.path().join("other");
    let (store, _) = Store::bootstrap(&batched_path, 2, &[1, 2, 3]).unwrap();
    store.write(&writes()).unwrap();
    drop(store);
    assert_eq!(Store::open(&batched_path).unwrap().1, durable);
}

#[test]
fn file_is_opened_by_one_process_and_never_overwritten() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("keeper");
    let missing = Store::open(&path).err().unwrap().to_string();
    assert!(missing.contains("replica file not found") && missing.contains("keeper"), "{missing}");
    let open_store = Store::bootstrap(&path, 1, &[1, 2, 3]).unwrap();
    assert!(matches!(Store::open(&path), Err(StoreError::InUse { .. })));
    assert!(matches!(Store::bootstrap(&path, 1, &[1, 2, 3]), Err(StoreError::AlreadyExists { .. })));
    drop(open_store);
    Store::open(&path).unwrap();
}

#[test]
fn damaged_file_is_rejected_or_read_unchanged() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("keeper");
    let (store, mut durable) = Store::bootstrap(&path, 2, &[1, 2, 3]).unwrap();
    store.write(&writes()).unwrap();
    writes().iter().for_each(|write| durable.apply(write));
    drop(store);
    let intact = std::fs::read(&path).unwrap();
    let damaged = directory.path().join("torn");
    let mut rejected = 0;
    let mut check = |bytes: &[u8]| {
        std::fs::write(&damaged, bytes).unwrap();
        match Store::open(&damaged) {
            Ok((_, read)) => assert_eq!(read, durable),
            Err(error) => {
                rejected += 1;
                assert!(error.to_string().contains("torn"), "{error}");
            }
        }
    };
    for length_32nds in 0..32 {
        check(&intact[..intact.len() * length_32nds / 32]);
    }
    for offset in (0..intact.len()).step_by(intact.len() / 200) {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x55;
        check(&bytes);
    }
    assert!(rejected > 32, "{rejected}");
}
