//! Files that are truncated, corrupted or malicious.

mod common;

use common::*;
use proptest::prelude::*;
use puffinladder_trace::file::{BlockHeader, BlockKind, Writer, BLOCK_HEADER_BYTES};
use puffinladder_trace::row::Names;
use puffinladder_trace::tools::{self, Selection};
use puffinladder_trace::{Trace, TraceError};
use std::io::Cursor;

/// Returns the rows of an intact file, its unsealed bytes, and the offset and row count of each block.
fn intact_file() -> (Vec<String>, Vec<u8>, Vec<(usize, usize)>) {
    let mut names = Names::default();
    let (rows, _) = records(&small(), &mut names);
    let bytes = file(&names, &rows[..160], &[], 24, false);
    let mut trace = open(&bytes);
    let block_positions = blocks(&trace).iter().map(|e| (e.offset as usize, e.rows as usize)).collect();
    (readable(&mut trace).0, bytes, block_positions)
}

#[test]
fn truncation_loses_only_the_block_being_written() {
    let (original, bytes, block_positions) = intact_file();
    assert!(block_positions.len() > 5);
    for cut in block_positions[block_positions.len() - 2].0..=bytes.len() {
        let mut trace = open(&bytes[..cut]);
        let whole: usize = (0..block_positions.len())
            .filter(|at| block_positions.get(at + 1).map_or(bytes.len(), |next| next.0) <= cut)
            .map(|at| block_positions[at].1)
            .sum();
        let torn = !block_positions.iter().any(|position| position.0 == cut) && cut < bytes.len();
        assert_eq!((trace.sealed, trace.damage.len()), (false, usize::from(torn)), "cut at {cut}");
        assert_eq!(readable(&mut trace).0, original[..whole], "cut at {cut}");
    }
}

#[test]
fn repaired_file_is_sealed_and_holds_readable_rows() {
    let (original, bytes, block_positions) = intact_file();
    let mut torn = open(&bytes[..bytes.len() - 10]);
    let mut writer = Writer::new(Vec::new(), &torn.meta).unwrap();
    let report = tools::cut(&mut torn, &Selection::default(), &mut writer, &mut |_, _| {}).unwrap();
    assert_eq!(report.damage.len(), 1);
    assert_eq!(report.damage[0].rows, Some(block_positions[block_positions.len() - 1].1 as u32));
    let mut whole = open(&writer.seal().unwrap());
    assert!(whole.sealed && whole.damage.is_empty());
    let kept = original.len() - block_positions[block_positions.len() - 1].1;
    assert_eq!(readable(&mut whole), (original[..kept].to_vec(), 0));
}

/// Corrupts each byte in turn: only intact rows are read, and at most `most` rows are lost.
fn check_corruption_of_each_byte(bytes: &[u8], original: &[String], max_lost: usize) {
    for at in 0..bytes.len() {
        let mut corrupt = bytes.to_vec();
        corrupt[at] ^= 0x41;
        let mut trace = match Trace::open(Cursor::new(corrupt)) {
            Ok(trace) => trace,
            Err(fault) => panic!("byte {at}: {fault}"),
        };
        let (rows, bad) = readable(&mut trace);
        let reported = trace.damage.len() + bad;
        assert!(reported <= 1, "byte {at}: {:?}", trace.damage);
        // The rows are a subsequence of the originals.
        let mut rest = original.iter();
        assert!(rows.iter().all(|row| rest.any(|known| known == row)), "byte {at}: row not in the original");
        assert!(
            rows.len() + max_lost >= original.len(),
            "byte {at}: {} of {} rows",
            rows.len(),
            original.len()
        );
        assert!(
            rows.len() == original.len() || reported == 1,
            "byte {at}: rows lost without reported damage"
        );
    }
}

#[test]
fn corrupt_byte_loses_at_most_one_block() {
    let mut names = Names::default();
    let (rows, _) = records(&small(), &mut names);
    let rows = &rows[..18];
    let sealed = file(&names, rows, &[], 6, true);
    let original = readable(&mut open(&sealed)).0;
    check_corruption_of_each_byte(&sealed, &original, 6);
    check_corruption_of_each_byte(&file(&names, rows, &[], 6, false), &original, 6);
    let first = version_1_file(&names, rows, &[]);
    let original = readable(&mut open(&first)).0;
    check_corruption_of_each_byte(&first, &original, 1);
}

#[test]
fn rejects_implausible_block_lengths() {
    let (_, bytes, block_positions) = intact_file();
    let last = block_positions[block_positions.len() - 1].0;
    for (head, body) in [(u32::MAX, 0), (0, u32::MAX), (64 << 20, 64 << 20)] {
        let mut corrupt = bytes.clone();
        let header =
            BlockHeader { kind: BlockKind::Rows, rows: u32::MAX, head, body, crc_head: 0, crc_body: 0 };
        corrupt.splice(last..last + BLOCK_HEADER_BYTES, header.encode());
        let mut trace = open(&corrupt);
        assert_eq!(trace.damage.len(), 1);
        assert_eq!(blocks(&trace).len(), block_positions.len() - 1);
        readable(&mut trace);
    }
}

#[test]
fn rejects_later_versions_and_other_files() {
    let later = puffinladder_trace::file::put_header(3, 0, &meta("n1"));
    assert!(matches!(Trace::open(Cursor::new(later)), Err(TraceError::UnsupportedVersion(3))));
    for bytes in [&b""[..], b"PUF", b"PUFTRACE", &[0u8; 4096], &[0xa7; 4096], &[0xf0; 4096]] {
        assert!(
            matches!(Trace::open(Cursor::new(bytes.to_vec())), Err(TraceError::NotATrace(_))),
            "{bytes:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(18), ..ProptestConfig::default() })]
    /// A malicious body with valid checksums must not cause a panic.
    #[test]
    fn malicious_body_with_valid_checksum_does_not_panic(
        at in 0usize..4000, with in proptest::collection::vec(any::<u8>(), 1..24), rows in 0u32..70000,
    ) {
        let mut names = Names::default();
        let (made, _) = records(&small(), &mut names);
        let mut bytes = file(&names, &made[..40], &[], 40, false);
        let block_start = blocks(&open(&bytes))[0].offset as usize;
        let original = BlockHeader::decode(&bytes[block_start..]).unwrap();
        let content = block_start + BLOCK_HEADER_BYTES..bytes.len();
        let at = content.start + at % (content.len() - with.len().min(content.len() - 1));
        let end = (at + with.len()).min(bytes.len());
        bytes.splice(at..end, with.iter().copied().take(end - at));
        let (head, body) = bytes[block_start + BLOCK_HEADER_BYTES..].split_at(original.head as usize);
        let rows = if rows % 2 == 0 { original.rows } else { rows };
        let new = BlockHeader { rows, crc_head: crc32c::crc32c(head), crc_body: crc32c::crc32c(body), ..original };
        bytes.splice(block_start..block_start + BLOCK_HEADER_BYTES, new.encode());
        if let Ok(mut trace) = Trace::open(Cursor::new(bytes)) {
            readable(&mut trace);
        }
    }
    #[test]
    fn arbitrary_bytes_after_header_do_not_panic(
        major in 1u16..3, bytes in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let mut bytes_of_file = puffinladder_trace::file::put_header(major, 9, &meta("n1"));
        bytes_of_file.extend(bytes);
        readable(&mut open(&bytes_of_file));
    }
}
