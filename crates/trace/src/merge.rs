//! Reads the rows of one file or of many files in time order. Memory is bounded: only overlapping blocks of a file are
//! held, and rows after a large backward clock step are returned out of order.

use crate::file::{encode_notes, encode_rows, BlockKind, EncodedBlock, Writer};
use crate::open::{Damage, Trace, TraceError};
use crate::row::{Names, Note, Row};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io::{self, Read, Seek, Write};

/// Maximum number of rows of one file that wait for earlier rows in blocks not yet read.
const MAX_WAITING_ROWS: usize = 1 << 17;

/// Rows of one file in time order.
pub struct RowSource<R> {
    trace: Trace<R>,
    /// Offset in us added to every time of this file.
    pub offset: i64,
    /// Next block to read.
    next: usize,
    /// For each block, the earliest time in it or in any later block.
    earliest: Vec<i64>,
    waiting: VecDeque<Row>,
    loaded: Vec<Row>,
    /// Blocks that could not be read.
    pub damage: Vec<Damage>,
    /// Rows returned out of order, because the node's clock stepped back too far.
    pub out_of_order: u64,
    last: i64,
}

impl<R: Read + Seek> RowSource<R> {
    /// Creates a source that adds `offset` (us) to every time.
    pub fn new(mut trace: Trace<R>, offset: i64) -> RowSource<R> {
        trace.entries.retain(|entry| entry.kind == BlockKind::Rows);
        let mut earliest: Vec<i64> = trace.entries.iter().map(|entry| entry.from).collect();
        for at in (1..earliest.len()).rev() {
            earliest[at - 1] = earliest[at - 1].min(earliest[at]);
        }
        let damage = trace.damage.clone();
        let (waiting, loaded) = (VecDeque::new(), Vec::new());
        RowSource {
            trace,
            offset,
            next: 0,
            earliest,
            waiting,
            loaded,
            damage,
            out_of_order: 0,
            last: i64::MIN,
        }
    }

    /// Reads ahead until the next row is certain and returns its time.
    pub fn peek(&mut self, names: &mut Names) -> Result<Option<i64>, TraceError> {
        loop {
            let next_block = self.earliest.get(self.next).copied();
            match (self.waiting.front(), next_block) {
                (Some(row), None) => return Ok(Some(row.read)),
                (Some(row), Some(next_block)) if row.read <= next_block.saturating_add(self.offset) => {
                    return Ok(Some(row.read))
                }
                (Some(row), Some(_)) if self.waiting.len() > MAX_WAITING_ROWS => return Ok(Some(row.read)),
                (None, None) => return Ok(None),
                _ => self.load(names)?,
            }
        }
    }

    fn load(&mut self, names: &mut Names) -> Result<(), TraceError> {
        let entry = self.trace.entries[self.next];
        self.next += 1;
        self.loaded.clear();
        match self.trace.rows(&entry, names, &mut self.loaded) {
            Ok(()) => {}
            Err(TraceError::DamagedBlock { offset, problem }) => {
                self.damage.push(Damage { offset, len: entry.len, rows: Some(entry.rows), problem });
                return Ok(());
            }
            Err(fault) => return Err(fault),
        }
        self.loaded.iter_mut().for_each(|row| row.read = row.read.saturating_add(self.offset));
        let overlapping = match (self.loaded.first(), self.waiting.back()) {
            (Some(first), Some(last)) => first.read < last.read,
            _ => false,
        };
        self.waiting.extend(self.loaded.drain(..));
        if overlapping {
            // Both runs are sorted, so that the stable sort merges them.
            self.waiting.make_contiguous().sort_by_key(|row| row.read);
        }
        Ok(())
    }

    /// Removes and returns the row whose time [`RowSource::peek`] returned.
    pub fn pop(&mut self) -> Option<Row> {
        let row = self.waiting.pop_front()?;
        self.out_of_order += u64::from(row.read < self.last);
        self.last = self.last.max(row.read);
        Some(row)
    }
}

/// Outcome of a merge.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct MergeReport {
    pub rows: u64,
    /// Rows found in more than one input and written once.
    pub duplicates: u64,
    pub out_of_order: u64,
    pub damage: Vec<(usize, Damage)>,
}

/// Rows of many files in the order of time, then of the inputs.
pub struct Merge<R> {
    pub sources: Vec<RowSource<R>>,
    next_times: BinaryHeap<Reverse<(i64, usize)>>,
    started: bool,
    /// Input and identity of the rows with the current time, to detect duplicates.
    current: Vec<(usize, AttemptIdentity)>,
    now: i64,
    pub report: MergeReport,
}

/// Identity of an attempt at a given time, independent of the file version: node, name, key, caller, product.
type AttemptIdentity = (u32, u32, u64, u32, u32);

fn attempt_identity(row: &Row) -> AttemptIdentity {
    (row.node, row.name, row.key, row.caller, row.product)
}

impl<R: Read + Seek> Merge<R> {
    /// Merges the sources.
    pub fn new(sources: Vec<RowSource<R>>) -> Merge<R> {
        let (next_times, current) = (BinaryHeap::new(), Vec::new());
        Merge { sources, next_times, started: false, current, now: i64::MIN, report: MergeReport::default() }
    }

    /// Returns the next row, or `None` at the end, when `report` is complete.
    pub fn next(&mut self, names: &mut Names) -> Result<Option<Row>, TraceError> {
        if !std::mem::replace(&mut self.started, true) {
            for at in 0..self.sources.len() {
                if let Some(time) = self.sources[at].peek(names)? {
                    self.next_times.push(Reverse((time, at)));
                }
            }
        }
        while let Some(mut top) = self.next_times.peek_mut() {
            let at = top.0 .1;
            let source = &mut self.sources[at];
            let Some(row) = source.pop() else {
                std::collections::binary_heap::PeekMut::pop(top);
                continue;
            };
            match source.peek(names)? {
                Some(time) => top.0 .0 = time,
                None => {
                    std::collections::binary_heap::PeekMut::pop(top);
                }
            }
            if self.sources.len() > 1 {
                if self.now != row.read {
                    self.now = row.read;
                    self.current.clear();
                }
                let identity = attempt_identity(&row);
                if self.current.iter().any(|(from, known)| *from != at && *known == identity) {
                    self.report.duplicates += 1;
                    continue;
                }
                self.current.push((at, identity));
            }
            self.report.rows += 1;
            return Ok(Some(row));
        }
        self.report.out_of_order = self.sources.iter().map(|source| source.out_of_order).sum();
        self.report.damage = self
            .sources
            .iter()
            .enumerate()
            .flat_map(|(at, f)| f.damage.iter().map(move |d| (at, d.clone())))
            .collect();
        Ok(None)
    }
}

/// Writer that groups rows and notes into blocks of a fixed size.
pub struct BlockWriter<'a, W: Write> {
    rows: Vec<Row>,
    notes: Vec<Note>,
    block_rows: usize,
    out: &'a mut Writer<W>,
}

impl<'a, W: Write> BlockWriter<'a, W> {
    /// Creates a writer with `block_rows` records in each block.
    pub fn new(block_rows: usize, out: &'a mut Writer<W>) -> BlockWriter<'a, W> {
        BlockWriter { rows: Vec::new(), notes: Vec::new(), block_rows, out }
    }
    /// Adds a row. Returns whether this completed a block.
    pub fn write_row(&mut self, names: &Names, row: Row) -> io::Result<bool> {
        self.rows.push(row);
        let full = self.rows.len() >= self.block_rows;
        if full {
            self.out.write_block(&encode_rows(names, &mut self.rows))?;
            self.rows.clear();
        }
        Ok(full)
    }
    /// Adds a note.
    pub fn write_note(&mut self, names: &Names, note: Note) -> io::Result<()> {
        self.notes.push(note);
        if self.notes.len() >= self.block_rows {
            self.out.write_block(&encode_notes(names, &mut self.notes))?;
            self.notes.clear();
        }
        Ok(())
    }
    /// Writes the remaining rows and notes.
    pub fn flush(&mut self, names: &Names) -> io::Result<()> {
        if !self.rows.is_empty() {
            self.out.write_block(&encode_rows(names, &mut self.rows))?;
            self.rows.clear();
        }
        if !self.notes.is_empty() {
            self.out.write_block(&encode_notes(names, &mut self.notes))?;
            self.notes.clear();
        }
        Ok(())
    }
    /// Writes the remaining rows and notes, then an encoded block.
    pub fn write_encoded(&mut self, names: &Names, block: &EncodedBlock) -> io::Result<()> {
        self.flush(names)?;
        self.out.write_block(block)
    }
}
