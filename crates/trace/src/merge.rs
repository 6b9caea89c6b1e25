//! Rows of one file in the order of their reading, and of many files as one. Memory is bounded: of a file as many
//! blocks are open as overlap, and a clock that steps back far costs the order there, not the memory.

use crate::file::{pack_notes, pack_rows, Kind, Packed, Writer};
use crate::open::{Damage, Fault, Trace};
use crate::row::{Names, Note, Row};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io::{self, Read, Seek, Write};

/// Rows of one file that wait for earlier ones of blocks not yet read.
const MOST_WAITING: usize = 1 << 17;

/// One file, row by row in the order of their reading.
pub struct Feed<R> {
    trace: Trace<R>,
    /// us, put on every time of this file.
    pub offset: i64,
    /// Blocks of rows that are still to be read, and the earliest time in each or behind it.
    next: usize,
    earliest: Vec<i64>,
    waiting: VecDeque<Row>,
    fresh: Vec<Row>,
    /// Blocks that could not be read.
    pub damage: Vec<Damage>,
    /// Rows that came later than they should, since the node's clock stepped back too far.
    pub unordered: u64,
    last: i64,
}

impl<R: Read + Seek> Feed<R> {
    pub fn new(mut trace: Trace<R>, offset: i64) -> Feed<R> {
        trace.entries.retain(|entry| entry.kind == Kind::Rows);
        let mut earliest: Vec<i64> = trace.entries.iter().map(|entry| entry.from).collect();
        for at in (1..earliest.len()).rev() {
            earliest[at - 1] = earliest[at - 1].min(earliest[at]);
        }
        let damage = trace.damage.clone();
        let (waiting, fresh) = (VecDeque::new(), Vec::new());
        Feed { trace, offset, next: 0, earliest, waiting, fresh, damage, unordered: 0, last: i64::MIN }
    }

    /// Reads on until the next row is sure, and tells its time.
    pub fn peek(&mut self, names: &mut Names) -> Result<Option<i64>, Fault> {
        loop {
            let open = self.earliest.get(self.next).copied();
            match (self.waiting.front(), open) {
                (Some(row), None) => return Ok(Some(row.read)),
                (Some(row), Some(open)) if row.read <= open.saturating_add(self.offset) => {
                    return Ok(Some(row.read))
                }
                (Some(row), Some(_)) if self.waiting.len() > MOST_WAITING => return Ok(Some(row.read)),
                (None, None) => return Ok(None),
                _ => self.load(names)?,
            }
        }
    }

    fn load(&mut self, names: &mut Names) -> Result<(), Fault> {
        let entry = self.trace.entries[self.next];
        self.next += 1;
        self.fresh.clear();
        match self.trace.rows(&entry, names, &mut self.fresh) {
            Ok(()) => {}
            Err(Fault::Block { offset, what }) => {
                self.damage.push(Damage { offset, len: entry.len, rows: Some(entry.rows), what });
                return Ok(());
            }
            Err(fault) => return Err(fault),
        }
        self.fresh.iter_mut().for_each(|row| row.read = row.read.saturating_add(self.offset));
        let late = match (self.fresh.first(), self.waiting.back()) {
            (Some(first), Some(last)) => first.read < last.read,
            _ => false,
        };
        self.waiting.extend(self.fresh.drain(..));
        if late {
            // Both parts are in order: a stable sort of two runs is a merge.
            self.waiting.make_contiguous().sort_by_key(|row| row.read);
        }
        Ok(())
    }

    /// Takes the row that was peeked at.
    pub fn pop(&mut self) -> Option<Row> {
        let row = self.waiting.pop_front()?;
        self.unordered += u64::from(row.read < self.last);
        self.last = self.last.max(row.read);
        Some(row)
    }
}

/// What a merge met.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Met {
    pub rows: u64,
    /// Rows that stood in more than one input, and were written once.
    pub doubled: u64,
    pub unordered: u64,
    pub damage: Vec<(usize, Damage)>,
}

/// All rows of many files in one order: by time, then by the inputs' order.
pub struct Merge<R> {
    pub feeds: Vec<Feed<R>>,
    heads: BinaryHeap<Reverse<(i64, usize)>>,
    begun: bool,
    /// Rows of the present moment, by which doubled ones are known.
    present: Vec<(usize, Try)>,
    now: i64,
    pub met: Met,
}

/// By what a try of one moment is known again, whatever version wrote it: node, name, key, caller, product.
type Try = (u32, u32, u64, u32, u32);

fn known_by(row: &Row) -> Try {
    (row.node, row.name, row.key, row.caller, row.product)
}

impl<R: Read + Seek> Merge<R> {
    pub fn new(feeds: Vec<Feed<R>>) -> Merge<R> {
        let (heads, present) = (BinaryHeap::new(), Vec::new());
        Merge { feeds, heads, begun: false, present, now: i64::MIN, met: Met::default() }
    }

    pub fn next(&mut self, names: &mut Names) -> Result<Option<Row>, Fault> {
        if !std::mem::replace(&mut self.begun, true) {
            for at in 0..self.feeds.len() {
                if let Some(time) = self.feeds[at].peek(names)? {
                    self.heads.push(Reverse((time, at)));
                }
            }
        }
        while let Some(mut top) = self.heads.peek_mut() {
            let at = top.0 .1;
            let feed = &mut self.feeds[at];
            let Some(row) = feed.pop() else {
                std::collections::binary_heap::PeekMut::pop(top);
                continue;
            };
            match feed.peek(names)? {
                Some(time) => top.0 .0 = time,
                None => {
                    std::collections::binary_heap::PeekMut::pop(top);
                }
            }
            if self.feeds.len() > 1 {
                if self.now != row.read {
                    self.now = row.read;
                    self.present.clear();
                }
                let own = known_by(&row);
                if self.present.iter().any(|(from, known)| *from != at && *known == own) {
                    self.met.doubled += 1;
                    continue;
                }
                self.present.push((at, own));
            }
            self.met.rows += 1;
            return Ok(Some(row));
        }
        self.met.unordered = self.feeds.iter().map(|feed| feed.unordered).sum();
        self.met.damage = self
            .feeds
            .iter()
            .enumerate()
            .flat_map(|(at, f)| f.damage.iter().map(move |d| (at, d.clone())))
            .collect();
        Ok(None)
    }
}

/// Collects rows and notes into blocks of a size, and writes each that is full.
pub struct Blocks<'a, W: Write> {
    rows: Vec<Row>,
    notes: Vec<Note>,
    most: usize,
    out: &'a mut Writer<W>,
}

impl<'a, W: Write> Blocks<'a, W> {
    pub fn new(most: usize, out: &'a mut Writer<W>) -> Blocks<'a, W> {
        Blocks { rows: Vec::new(), notes: Vec::new(), most, out }
    }
    /// Whether a block was full with this row, and written.
    pub fn row(&mut self, names: &Names, row: Row) -> io::Result<bool> {
        self.rows.push(row);
        let full = self.rows.len() >= self.most;
        if full {
            self.out.block(&pack_rows(names, &mut self.rows))?;
            self.rows.clear();
        }
        Ok(full)
    }
    pub fn note(&mut self, names: &Names, note: Note) -> io::Result<()> {
        self.notes.push(note);
        if self.notes.len() >= self.most {
            self.out.block(&pack_notes(names, &mut self.notes))?;
            self.notes.clear();
        }
        Ok(())
    }
    /// Writes what is left.
    pub fn rest(&mut self, names: &Names) -> io::Result<()> {
        if !self.rows.is_empty() {
            self.out.block(&pack_rows(names, &mut self.rows))?;
            self.rows.clear();
        }
        if !self.notes.is_empty() {
            self.out.block(&pack_notes(names, &mut self.notes))?;
            self.notes.clear();
        }
        Ok(())
    }
    /// Writes what is left, then a block that was packed elsewhere.
    pub fn whole(&mut self, names: &Names, block: &Packed) -> io::Result<()> {
        self.rest(names)?;
        self.out.block(block)
    }
}
