//! Checks compatibility with the stored incarnation file of version 1. The literals must not change.

use puffinladder_worker::incarnation;
use std::fs;
use std::path::Path;

#[test]
fn reads_and_rewrites_version_1_incarnation_file() {
    let directory = tempfile::tempdir().unwrap();
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/life");
    fs::copy(stored, directory.path().join("life")).unwrap();
    assert_eq!(incarnation::next(directory.path(), 1.0).unwrap(), 1_700_000_000_000_124);
    assert_eq!(fs::read_to_string(directory.path().join("life")).unwrap(), "1700000000000124\n");
    assert_eq!(incarnation::next(directory.path(), 1_800_000_000.5).unwrap(), 1_800_000_000_500_000);
    assert_eq!(fs::read_to_string(directory.path().join("life")).unwrap(), "1800000000500000\n");
    assert!(!directory.path().join("life.new").exists());
}
