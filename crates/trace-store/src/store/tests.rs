use super::*;
use crate::protocol::BlockId;

fn block(file: &str, position: u64, last: bool) -> BlockId {
    BlockId { file: FileId { server: "n1".into(), name: file.into() }, position, last }
}

#[test]
fn restores_fence_and_files_after_restart() {
    let directory = tempfile::tempdir().unwrap();
    let task = Task::new("gather", 3);
    let (mut store, mut index) = Store::open(directory.path(), 100).unwrap();
    assert!(matches!(Store::open(directory.path(), 100), Err(StoreError::AlreadyOpen(_))));
    let updates = [index.announce(&task, 7).update.unwrap()];
    index.apply(&updates[0], 0);
    store.commit(&[PendingWrite { update: updates[0].clone(), block: Vec::new() }]).unwrap();
    for (number, (position, last)) in [(0, false), (1, true)].into_iter().enumerate() {
        let decision = index.put(&task, 7, number as u64 + 1, &block("a", position, last), 40);
        let update = decision.update.unwrap();
        index.apply(&update, 40);
        store.commit(&[PendingWrite { update, block: vec![position as u8; 40] }]).unwrap();
    }
    drop(store);
    let (mut store, mut index) = Store::open(directory.path(), 100).unwrap();
    assert_eq!((index.fence_state(&task), index.stored_bytes()), (FenceRecord { epoch: 7, number: 2 }, 80));
    assert!(index.put(&task, 6, 1, &block("b", 0, true), 1).update.is_none());
    // The next block exceeds the capacity, so the oldest complete file is evicted.
    let update = index.put(&task, 7, 3, &block("b", 0, true), 40).update.unwrap();
    index.apply(&update, 40);
    store.commit(&[PendingWrite { update, block: vec![9; 40] }]).unwrap();
    let mut blocks = Vec::new();
    for file in store.files().unwrap() {
        store
            .for_each_block(&file, |block| {
                blocks.push((file.name.clone(), block[0]));
                Ok::<(), StoreError>(())
            })
            .unwrap();
    }
    assert_eq!(blocks, [("b".to_string(), 9)]);
    drop(store);
    let (_, index) = Store::open(directory.path(), 100).unwrap();
    assert!(
        index.files().any(|(file, progress)| file.name == "a" && progress.complete)
            && index.stored_bytes() == 40
    );
}
