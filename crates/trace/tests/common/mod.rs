//! Helpers that generate, open and read small traces.
#![allow(dead_code)]

use puffinladder_trace::file::{BlockKind, FileMetadata, IndexEntry, Writer};
use puffinladder_trace::merge::BlockWriter;
use puffinladder_trace::row::{Names, Note, Row};
use puffinladder_trace::synth::{Generator, Record, SynthConfig};
use puffinladder_trace::{v1, Trace};
use std::io::Cursor;

pub type Open = Trace<Cursor<Vec<u8>>>;

/// Generates the records of a synthetic trace.
pub fn records(config: &SynthConfig, names: &mut Names) -> (Vec<Row>, Vec<Note>) {
    let mut generator = Generator::new(config, names);
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    while let Some(record) = generator.next(names) {
        match record {
            Record::Row(row) => rows.push(row),
            Record::Note(note) => notes.push(note),
        }
    }
    (rows, notes)
}

pub fn meta(node: &str) -> FileMetadata {
    FileMetadata { node: node.into(), created: 1_767_225_600_000_000 }
}

/// Encodes a version 2 file with `block` rows in each block.
pub fn file(names: &Names, rows: &[Row], notes: &[Note], block: usize, seal: bool) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new(), &meta("n1")).unwrap();
    let mut blocks = BlockWriter::new(block, &mut writer);
    for row in rows {
        blocks.write_row(names, row.clone()).unwrap();
    }
    for note in notes {
        blocks.write_note(names, *note).unwrap();
    }
    blocks.flush(names).unwrap();
    let unsealed_len = writer.len() as usize;
    let mut bytes = writer.seal().unwrap();
    if !seal {
        // The file as a killed process leaves it.
        bytes.truncate(unsealed_len);
    }
    bytes
}

pub fn version_1_file(names: &Names, rows: &[Row], notes: &[Note]) -> Vec<u8> {
    let mut writer = v1::Writer::new(Vec::new(), &meta("n1")).unwrap();
    rows.iter().for_each(|row| writer.write_row(names, row).unwrap());
    notes.iter().for_each(|note| writer.write_note(names, note).unwrap());
    writer.finish().unwrap()
}

pub fn open(bytes: &[u8]) -> Open {
    Trace::open(Cursor::new(bytes.to_vec())).unwrap()
}

/// Describes a row by the names it refers to, independent of their numbers.
pub fn describe(names: &Names, row: &Row) -> String {
    let path: Vec<String> = names.path(row.path).steps().map(|step| step.text()).collect();
    let unnamed = Row { node: 0, product: 0, customer: 0, path: 0, ..row.clone() };
    let terms = names.product(row.product);
    format!("{} {terms:?} {} {path:?} {unnamed:?}", names.text(row.node), names.text(row.customer))
}

/// Returns all readable rows and the number of damaged blocks.
pub fn readable(trace: &mut Open) -> (Vec<String>, usize) {
    let (mut names, mut rows, mut damaged) = (Names::default(), Vec::new(), 0);
    for entry in blocks(trace) {
        let mut block_rows = Vec::new();
        match trace.rows(&entry, &mut names, &mut block_rows) {
            Ok(()) => rows.extend(block_rows.iter().map(|row| describe(&names, row))),
            Err(_) => damaged += 1,
        }
    }
    (rows, damaged)
}

pub fn blocks(trace: &Open) -> Vec<IndexEntry> {
    trace.entries.iter().filter(|entry| entry.kind == BlockKind::Rows).copied().collect()
}

pub fn small() -> SynthConfig {
    SynthConfig { span: 30.0, rate: 20.0, overload_share: 1.0, ..SynthConfig::default() }
}
