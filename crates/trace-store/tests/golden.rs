//! The forms that outlive a process: the folder of a trace store as version 1 wrote it, and the lines that workers and the trace store send each other.
//! The literals below never change with the code.

use puffinladder_leases::fence::{FenceRecord, Verdict};
use puffinladder_leases::Task;
use puffinladder_trace_store::store::Store;
use puffinladder_trace_store::words::{Answer, Ask, Outcome, Piece, Source, Taken};
use std::fmt::Debug;

fn source(server: &str, file: &str) -> Source {
    Source { server: server.into(), file: file.into() }
}

/// The stored folder holds: task gather/0 at epoch 7 after 4 effects, gather/3 at epoch 12 after 1; n1/a.trace complete but evicted, n1/b.trace complete
/// with two blocks, n2/c.trace with the first of its blocks.
#[test]
fn a_folder_written_by_version_1_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let stored = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/archive.redb");
    std::fs::copy(stored, folder.path().join("archive.redb")).unwrap();
    let (store, core) = Store::open(folder.path(), 100).unwrap();
    assert_eq!(core.seen(&Task::new("gather", 0)), FenceRecord { epoch: 7, number: 4 });
    assert_eq!(core.seen(&Task::new("gather", 3)), FenceRecord { epoch: 12, number: 1 });
    assert_eq!(core.seen(&Task::new("gather", 1)), FenceRecord { epoch: 0, number: 0 });
    assert_eq!(core.bytes(), 95);
    let files: Vec<(Source, Taken)> = core.files().map(|(source, taken)| (source.clone(), *taken)).collect();
    let wanted = [
        (source("n1", "a.trace"), Taken { blocks: 2, done: true }),
        (source("n1", "b.trace"), Taken { blocks: 2, done: true }),
        (source("n2", "c.trace"), Taken { blocks: 1, done: false }),
    ];
    assert_eq!(files, wanted);
    assert_eq!(store.files().unwrap(), [source("n1", "b.trace"), source("n2", "c.trace")]);
    let mut blocks = Vec::new();
    for file in store.files().unwrap() {
        store
            .blocks(&file, |block| {
                blocks.push(block);
                Ok(())
            })
            .unwrap();
    }
    assert_eq!(blocks, [vec![3; 30], vec![4; 35], vec![5; 30]]);
}

/// Reads as that value, and the value is written as that text.
fn same<T>(text: &str, value: T)
where
    T: Debug + PartialEq + serde::Serialize + serde::de::DeserializeOwned,
{
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value, "{text}");
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
}

#[test]
fn every_request_has_its_line() {
    same(
        r#"{"announce":{"duty":{"name":"gather","part":3},"epoch":7,"parts":4}}"#,
        Ask::Announce { duty: Task::new("gather", 3), epoch: 7, parts: 4 },
    );
    same(
        r#"{"put":{"duty":{"name":"gather","part":3},"epoch":7,"number":2,"piece":{"source":{"server":"n1","file":"a.trace"},"place":5,"last":true},"block":"AQI="}}"#,
        Ask::Put {
            duty: Task::new("gather", 3),
            epoch: 7,
            number: 2,
            piece: Piece { source: source("n1", "a.trace"), place: 5, last: true },
            block: "AQI=".into(),
        },
    );
    same(r#""status""#, Ask::Status);
}

#[test]
fn every_response_has_its_line() {
    same(
        r#"{"begun":{"verdict":"New","number":2,"taken":[[{"server":"n1","file":"a.trace"},{"blocks":5,"done":true}]]}}"#,
        Answer::Begun {
            verdict: Verdict::New,
            number: 2,
            taken: vec![(source("n1", "a.trace"), Taken { blocks: 5, done: true })],
        },
    );
    same(r#"{"put":{"fence":"New"}}"#, Answer::Put(Outcome::Fence(Verdict::New)));
    same(r#"{"put":{"fence":"Repeat"}}"#, Answer::Put(Outcome::Fence(Verdict::Duplicate)));
    same(
        r#"{"put":{"fence":{"Late":{"seen":8}}}}"#,
        Answer::Put(Outcome::Fence(Verdict::Stale { latest: 8 })),
    );
    same(
        r#"{"put":{"fence":{"Gap":{"expected":1}}}}"#,
        Answer::Put(Outcome::Fence(Verdict::Gap { expected: 1 })),
    );
    same(
        r#"{"put":{"elsewhere":{"blocks":1,"done":false}}}"#,
        Answer::Put(Outcome::Elsewhere(Taken { blocks: 1, done: false })),
    );
    same(r#"{"put":"full"}"#, Answer::Put(Outcome::Full));
    same(
        r#"{"status":{"files":3,"done":2,"blocks":9,"bytes":100,"refused":1}}"#,
        Answer::Status { files: 3, done: 2, blocks: 9, bytes: 100, refused: 1 },
    );
    same(r#"{"failed":"the block: torn"}"#, Answer::Failed("the block: torn".into()));
}
