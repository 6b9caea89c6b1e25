use super::*;

fn task() -> Task {
    Task::new("gather", 0)
}

fn block(file: &str, position: u64, last: bool) -> BlockId {
    BlockId { file: FileId { server: "n1".into(), name: file.into() }, position, last }
}

/// Decides on a block and applies the update, as after a successful write.
fn put(index: &mut TraceIndex, epoch: Epoch, number: u64, id: &BlockId, bytes: u64) -> PutOutcome {
    let Decision { outcome, update } = index.put(&task(), epoch, number, id, bytes);
    update.iter().for_each(|update| index.apply(update, bytes));
    outcome
}

fn announce(index: &mut TraceIndex, epoch: Epoch) -> Verdict {
    let Decision { outcome, update } = index.announce(&task(), epoch);
    update.iter().for_each(|update| index.apply(update, 0));
    outcome
}

const NEW: PutOutcome = PutOutcome::Fence(Verdict::New);

#[test]
fn new_epoch_resumes_and_fences_the_previous_one() {
    let mut index = TraceIndex::new(1000, [], []);
    assert_eq!(
        put(&mut index, 5, 1, &block("a", 0, false), 10),
        PutOutcome::Fence(Verdict::Gap { expected: 0 })
    );
    assert_eq!(announce(&mut index, 5), Verdict::New);
    assert_eq!(put(&mut index, 5, 1, &block("a", 0, false), 10), NEW);
    assert_eq!(put(&mut index, 5, 1, &block("a", 0, false), 10), PutOutcome::Fence(Verdict::Duplicate));
    assert_eq!(announce(&mut index, 6), Verdict::New);
    assert_eq!(
        put(&mut index, 5, 2, &block("a", 1, true), 10),
        PutOutcome::Fence(Verdict::Stale { latest: 6 })
    );
    assert_eq!(announce(&mut index, 5), Verdict::Stale { latest: 6 });
    // The successor does not know of the stored block yet.
    let stored = FileProgress { blocks: 1, complete: false };
    assert_eq!(put(&mut index, 6, 1, &block("a", 0, false), 10), PutOutcome::UnexpectedBlock(stored));
    assert_eq!(put(&mut index, 6, 1, &block("a", 1, true), 10), NEW);
    let complete = FileProgress { blocks: 2, complete: true };
    assert_eq!(put(&mut index, 6, 2, &block("a", 2, true), 10), PutOutcome::UnexpectedBlock(complete));
    assert_eq!((index.stored_bytes(), index.rejected_effects()), (20, 1));
}

#[test]
fn unapplied_decisions_leave_the_index_unchanged() {
    let mut index = TraceIndex::new(1000, [], []);
    announce(&mut index, 5);
    assert_eq!(index.put(&task(), 5, 1, &block("a", 0, true), 10).outcome, NEW);
    assert_eq!(
        index.put(&task(), 5, 1, &block("a", 0, true), 10).outcome,
        NEW,
        "the first update was not applied"
    );
    assert_eq!(index.fence_state(&task()).number, 0);
    assert_eq!(index.announce(&task(), 6).outcome, Verdict::New);
    assert_eq!(index.fence_state(&task()).epoch, 5);
}

#[test]
fn evicts_oldest_complete_files_past_the_byte_limit() {
    let mut index = TraceIndex::new(100, [], []);
    announce(&mut index, 5);
    assert_eq!(put(&mut index, 5, 1, &block("a", 0, true), 40), NEW);
    assert_eq!(put(&mut index, 5, 2, &block("b", 0, false), 40), NEW);
    let Decision { outcome, update } = index.put(&task(), 5, 3, &block("c", 0, true), 40);
    assert_eq!((outcome, update.unwrap().evicted.len()), (NEW, 1));
    assert_eq!(put(&mut index, 5, 3, &block("c", 0, true), 40), NEW);
    let complete = FileProgress { blocks: 1, complete: true };
    assert_eq!(
        put(&mut index, 5, 4, &block("a", 0, true), 1),
        PutOutcome::UnexpectedBlock(complete),
        "not collected again"
    );
    assert_eq!(put(&mut index, 5, 4, &block("d", 0, true), 90), PutOutcome::Full, "b is not complete yet");
    assert_eq!(index.stored_bytes(), 80);
}

#[test]
fn drops_first_completed_file_past_the_file_limit() {
    let mut index = TraceIndex::new(1000, [], []);
    index.max_files = 2;
    announce(&mut index, 5);
    for (number, file) in [(1, "a"), (2, "b"), (3, "c")] {
        assert_eq!(put(&mut index, 5, number, &block(file, 0, true), 10), NEW);
    }
    let names: Vec<&str> = index.files().map(|(file, _)| file.name.as_str()).collect();
    assert_eq!((names, index.stored_bytes()), (vec!["b", "c"], 20));
    let mut index = TraceIndex::new(1000, [], []);
    index.max_files = 1;
    announce(&mut index, 5);
    assert_eq!(put(&mut index, 5, 1, &block("a", 0, false), 10), NEW);
    assert_eq!(put(&mut index, 5, 2, &block("b", 0, true), 10), PutOutcome::Full, "a is not complete yet");
}

#[test]
fn rejects_invalid_names() {
    let mut index = TraceIndex::new(1000, [], []);
    announce(&mut index, 5);
    for name in ["../x", "", ".x", "a/b", "a\0"] {
        assert_eq!(put(&mut index, 5, 1, &block(name, 0, true), 1), PutOutcome::Full, "{name:?}");
    }
    assert!(matches!(
        index.announce(&Task::new("a/b", 0), 9),
        Decision { outcome: Verdict::Stale { .. }, update: None }
    ));
    // A file without blocks is stored as one empty block.
    assert_eq!(put(&mut index, 5, 1, &block("empty", 0, true), 0), NEW);
    assert_eq!(index.files().next().unwrap().1, &FileProgress { blocks: 1, complete: true });
}
