//! Checks compatibility with the stored database of version 1 and with the messages between workers and the trace store.
//! The literals must not change.

use puffinladder_leases::fence::{FenceRecord, Verdict};
use puffinladder_leases::Task;
use puffinladder_trace_store::protocol::{BlockId, FileId, FileProgress, PutOutcome, Request, Response};
use puffinladder_trace_store::store::{Store, StoreError};
use std::fmt::Debug;

fn file(server: &str, name: &str) -> FileId {
    FileId { server: server.into(), name: name.into() }
}

/// The stored database contains task gather/0 at epoch 7 after 4 effects and gather/3 at epoch 12 after 1. File n1/a.trace is
/// complete but evicted, n1/b.trace is complete with two blocks, n2/c.trace has its first block.
#[test]
fn reads_version_1_database() {
    let directory = tempfile::tempdir().unwrap();
    let stored = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/archive.redb");
    std::fs::copy(stored, directory.path().join("archive.redb")).unwrap();
    let (store, index) = Store::open(directory.path(), 100).unwrap();
    assert_eq!(index.fence_state(&Task::new("gather", 0)), FenceRecord { epoch: 7, number: 4 });
    assert_eq!(index.fence_state(&Task::new("gather", 3)), FenceRecord { epoch: 12, number: 1 });
    assert_eq!(index.fence_state(&Task::new("gather", 1)), FenceRecord { epoch: 0, number: 0 });
    assert_eq!(index.stored_bytes(), 95);
    let files: Vec<(FileId, FileProgress)> =
        index.files().map(|(file, progress)| (file.clone(), *progress)).collect();
    let expected = [
        (file("n1", "a.trace"), FileProgress { blocks: 2, complete: true }),
        (file("n1", "b.trace"), FileProgress { blocks: 2, complete: true }),
        (file("n2", "c.trace"), FileProgress { blocks: 1, complete: false }),
    ];
    assert_eq!(files, expected);
    assert_eq!(store.files().unwrap(), [file("n1", "b.trace"), file("n2", "c.trace")]);
    let mut blocks = Vec::new();
    for file in store.files().unwrap() {
        store
            .for_each_block(&file, |block| {
                blocks.push(block);
                Ok::<(), StoreError>(())
            })
            .unwrap();
    }
    assert_eq!(blocks, [vec![3; 30], vec![4; 35], vec![5; 30]]);
}

/// Checks that the text decodes to the value and the value encodes to the text.
fn assert_round_trip<T>(text: &str, value: T)
where
    T: Debug + PartialEq + serde::Serialize + serde::de::DeserializeOwned,
{
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value, "{text}");
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
}

#[test]
fn request_encoding_is_stable() {
    assert_round_trip(
        r#"{"announce":{"duty":{"name":"gather","part":3},"epoch":7,"parts":4}}"#,
        Request::Announce { task: Task::new("gather", 3), epoch: 7, parts: 4 },
    );
    assert_round_trip(
        r#"{"put":{"duty":{"name":"gather","part":3},"epoch":7,"number":2,"piece":{"source":{"server":"n1","file":"a.trace"},"place":5,"last":true},"block":"AQI="}}"#,
        Request::Put {
            task: Task::new("gather", 3),
            epoch: 7,
            number: 2,
            id: BlockId { file: file("n1", "a.trace"), position: 5, last: true },
            block: "AQI=".into(),
        },
    );
    assert_round_trip(r#""status""#, Request::Status);
}

#[test]
fn response_encoding_is_stable() {
    assert_round_trip(
        r#"{"begun":{"verdict":"New","number":2,"taken":[[{"server":"n1","file":"a.trace"},{"blocks":5,"done":true}]]}}"#,
        Response::Announced {
            verdict: Verdict::New,
            number: 2,
            progress: vec![(file("n1", "a.trace"), FileProgress { blocks: 5, complete: true })],
        },
    );
    assert_round_trip(r#"{"put":{"fence":"New"}}"#, Response::Put(PutOutcome::Fence(Verdict::New)));
    assert_round_trip(r#"{"put":{"fence":"Repeat"}}"#, Response::Put(PutOutcome::Fence(Verdict::Duplicate)));
    assert_round_trip(
        r#"{"put":{"fence":{"Late":{"seen":8}}}}"#,
        Response::Put(PutOutcome::Fence(Verdict::Stale { latest: 8 })),
    );
    assert_round_trip(
        r#"{"put":{"fence":{"Gap":{"expected":1}}}}"#,
        Response::Put(PutOutcome::Fence(Verdict::Gap { expected: 1 })),
    );
    assert_round_trip(
        r#"{"put":{"elsewhere":{"blocks":1,"done":false}}}"#,
        Response::Put(PutOutcome::UnexpectedBlock(FileProgress { blocks: 1, complete: false })),
    );
    assert_round_trip(r#"{"put":"full"}"#, Response::Put(PutOutcome::Full));
    assert_round_trip(
        r#"{"status":{"files":3,"done":2,"blocks":9,"bytes":100,"refused":1}}"#,
        Response::Status { files: 3, complete_files: 2, blocks: 9, bytes: 100, rejected: 1 },
    );
    assert_round_trip(r#"{"failed":"the block: torn"}"#, Response::Failed("the block: torn".into()));
}
