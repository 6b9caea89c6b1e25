//! Operations on whole traces: scan, cut, merge, anonymise, summarise. They read open traces and write to a
//! [`Writer`], independent of files and terminals.

use crate::anonymise::Anonymiser;
use crate::expr::{BlockMatch, Expr};
use crate::file::{encode_rows, BlockKind, EncodedBlock, IndexEntry, Writer};
use crate::merge::{BlockWriter, Merge, MergeReport, RowSource};
use crate::open::{Damage, Trace, TraceError};
use crate::row::{Names, Note, Row};
use crate::summary::{GroupBy, Summary};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Seek, Write};
use std::ops::ControlFlow;
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Scope;

/// Rows in a block written by these operations.
pub const BLOCK_ROWS: usize = 16384;

/// Progress callback with the blocks done and the blocks in total.
pub type Progress<'a> = &'a mut dyn FnMut(usize, usize);

/// Selection of rows by time and expression.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Start of the time range in us, inclusive.
    pub from: i64,
    /// End of the time range in us, exclusive.
    pub to: i64,
    pub expr: Expr,
}

impl Default for Selection {
    fn default() -> Selection {
        Selection { from: i64::MIN, to: i64::MAX, expr: Expr::All }
    }
}

impl Selection {
    fn overlaps(&self, entry: &IndexEntry) -> bool {
        entry.from < self.to && entry.to >= self.from
    }
    fn covers(&self, entry: &IndexEntry) -> bool {
        entry.from >= self.from && entry.to < self.to
    }
    fn matches(&self, row: &Row, names: &Names, trace_start: i64) -> bool {
        row.read >= self.from && row.read < self.to && self.expr.matches(row, names, trace_start)
    }
}

/// Outcome of reading a trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScanReport {
    /// Number of blocks whose body was read.
    pub read_blocks: usize,
    /// Number of blocks skipped because their head or time range excluded them or was sufficient.
    pub skipped_blocks: usize,
    pub rows: u64,
    pub damage: Vec<Damage>,
}

/// Records a damaged block and returns `None` for it. Other errors are passed on.
fn record_damage<T>(
    result: Result<T, TraceError>,
    entry: &IndexEntry,
    damage: &mut Vec<Damage>,
) -> Result<Option<T>, TraceError> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(TraceError::DamagedBlock { offset, problem }) => {
            damage.push(Damage { offset, len: entry.len, rows: Some(entry.rows), problem });
            Ok(None)
        }
        Err(fault) => Err(fault),
    }
}

/// Decides from the index and the head whether none, some or all rows of a block are selected. Counts skipped blocks;
/// records a block whose head is damaged and skips it.
fn match_block<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    selection: &Selection,
    entry: &IndexEntry,
    trace_start: i64,
    report: &mut ScanReport,
) -> Result<BlockMatch, TraceError> {
    let matched = if !selection.overlaps(entry) {
        BlockMatch::None
    } else if selection.expr == Expr::All || entry.kind != BlockKind::Rows {
        BlockMatch::All
    } else if trace.major == crate::v1::MAJOR {
        // Version 1 has no stored heads.
        BlockMatch::Some
    } else {
        let head = trace.head(entry, names);
        let Some(head) = record_damage(head, entry, &mut report.damage)? else { return Ok(BlockMatch::None) };
        selection.expr.match_block(&head, names, trace_start)
    };
    report.skipped_blocks += usize::from(matched == BlockMatch::None);
    Ok(if matched == BlockMatch::All && !selection.covers(entry) { BlockMatch::Some } else { matched })
}

/// Calls `each` for every selected row until it breaks.
pub fn scan<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    selection: &Selection,
    progress: Progress,
    mut each: impl FnMut(&Row, &Names) -> ControlFlow<()>,
) -> Result<ScanReport, TraceError> {
    let trace_start = trace.time_range().map_or(0, |span| span.0);
    let mut report = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let entries: Vec<IndexEntry> =
        trace.entries.iter().filter(|e| e.kind == BlockKind::Rows).copied().collect();
    let mut rows = Vec::new();
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if match_block(trace, names, selection, entry, trace_start, &mut report)? == BlockMatch::None {
            continue;
        }
        rows.clear();
        let read = trace.rows(entry, names, &mut rows);
        if record_damage(read, entry, &mut report.damage)?.is_none() {
            continue;
        }
        report.read_blocks += 1;
        for row in rows.iter().filter(|row| selection.matches(row, names, trace_start)) {
            report.rows += 1;
            if each(row, names).is_break() {
                return Ok(report);
            }
        }
    }
    progress(entries.len(), entries.len());
    Ok(report)
}

/// Returns the notes in the selected time range, in block order.
pub fn notes<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    selection: &Selection,
    damage: &mut Vec<Damage>,
) -> Result<Vec<Note>, TraceError> {
    let mut found = Vec::new();
    for entry in trace.entries.clone().iter().filter(|e| e.kind == BlockKind::Notes && selection.overlaps(e))
    {
        let read = trace.notes(entry, names, &mut found);
        record_damage(read, entry, damage)?;
    }
    found.retain(|note| note.at >= selection.from && note.at < selection.to);
    Ok(found)
}

/// Reads the rows or notes of a block into two empty lists. Returns `false` and records the damage on failure.
fn read_records<R: Read + Seek>(
    trace: &mut Trace<R>,
    entry: &IndexEntry,
    names: &mut Names,
    rows: &mut Vec<Row>,
    notes: &mut Vec<Note>,
    report: &mut ScanReport,
) -> Result<bool, TraceError> {
    let read = match entry.kind {
        BlockKind::Rows => trace.rows(entry, names, rows),
        _ => trace.notes(entry, names, notes),
    };
    let readable = record_damage(read, entry, &mut report.damage)?.is_some();
    report.read_blocks += usize::from(readable);
    Ok(readable)
}

/// Writes the selected rows and the notes of the time range. Blocks that are selected entirely are copied as they are.
pub fn cut<R: Read + Seek, W: Write>(
    trace: &mut Trace<R>,
    selection: &Selection,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<ScanReport, TraceError> {
    let trace_start = trace.time_range().map_or(0, |span| span.0);
    let mut report = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let mut names = Names::default();
    let mut blocks = BlockWriter::new(BLOCK_ROWS, out);
    let entries = trace.entries.clone();
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        let whole = match match_block(trace, &mut names, selection, entry, trace_start, &mut report)? {
            BlockMatch::None => continue,
            BlockMatch::Some => false,
            BlockMatch::All => trace.major == crate::file::MAJOR,
        };
        if whole {
            let read = trace.encoded_block(entry);
            if let Some(raw) = record_damage(read, entry, &mut report.damage)? {
                report.rows += if entry.kind == BlockKind::Rows { u64::from(entry.rows) } else { 0 };
                blocks.write_encoded(&names, &raw)?;
            }
            continue;
        }
        if !read_records(trace, entry, &mut names, &mut rows, &mut notes, &mut report)? {
            continue;
        }
        for row in rows.drain(..) {
            if selection.matches(&row, &names, trace_start) {
                report.rows += 1;
                blocks.write_row(&names, row)?;
            }
        }
        for note in notes.drain(..).filter(|note| note.at >= selection.from && note.at < selection.to) {
            blocks.write_note(&names, note)?;
        }
    }
    blocks.flush(&names)?;
    progress(entries.len(), entries.len());
    Ok(report)
}

/// Rows to encode, with their block's sequence number and their names.
type EncodeTask = (u64, Vec<Row>, Arc<Names>);

/// Pool of threads that encode blocks and return them in the order of submission.
struct BlockEncoders {
    tasks: Option<SyncSender<EncodeTask>>,
    encoded: Receiver<(u64, EncodedBlock)>,
    completed: BTreeMap<u64, EncodedBlock>,
    submitted: u64,
    returned: u64,
    names: Arc<Names>,
}

impl BlockEncoders {
    fn new<'s>(scope: &'s Scope<'s, '_>, workers: usize) -> BlockEncoders {
        let (tasks, queue) = sync_channel::<EncodeTask>(workers);
        let (encoded_sender, encoded) = channel();
        let queue = Arc::new(Mutex::new(queue));
        for _ in 0..workers {
            let (queue, encoded_sender) = (queue.clone(), encoded_sender.clone());
            scope.spawn(move || loop {
                let task = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
                let Ok((at, mut rows, names)) = task else { return };
                if encoded_sender.send((at, encode_rows(&names, &mut rows))).is_err() {
                    return;
                }
            });
        }
        let (completed, names) = (BTreeMap::new(), Arc::default());
        BlockEncoders { tasks: Some(tasks), encoded, completed, submitted: 0, returned: 0, names }
    }

    /// Submits rows for encoding. Blocks while all threads are busy, which bounds memory.
    fn submit(&mut self, names: &Names, rows: Vec<Row>) {
        if self.names.entry_count() != names.entry_count() {
            self.names = Arc::new(names.clone());
        }
        if let Some(tasks) = &self.tasks {
            // The receivers live until `tasks` is dropped, so that this cannot fail.
            let _ = tasks.send((self.submitted, rows, self.names.clone()));
            self.submitted += 1;
        }
    }

    /// Passes encoded blocks to `each` in order: those that are ready, or with `all` every submitted one.
    fn drain(
        &mut self,
        finish: bool,
        mut each: impl FnMut(&EncodedBlock) -> Result<(), TraceError>,
    ) -> Result<(), TraceError> {
        if finish {
            self.tasks = None;
        }
        while self.returned < self.submitted {
            let next = if finish { self.encoded.recv().ok() } else { self.encoded.try_recv().ok() };
            let Some((at, block)) = next else { return Ok(()) };
            self.completed.insert(at, block);
            while let Some(block) = self.completed.remove(&self.returned) {
                self.returned += 1;
                each(&block)?;
            }
        }
        Ok(())
    }
}

/// Merges traces in time order. Each trace comes with an offset in us that is added to its times.
pub fn merge<R: Read + Seek, W: Write>(
    mut traces: Vec<(Trace<R>, i64)>,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<MergeReport, TraceError> {
    let mut names = Names::default();
    let mut damage = Vec::new();
    // Notes are few and are written first, sorted.
    let mut merged_notes: Vec<Note> = Vec::new();
    let total: u64 = traces.iter().map(|(trace, _)| trace.record_count(BlockKind::Rows)).sum();
    for (at, (trace, offset)) in traces.iter_mut().enumerate() {
        let mut found = Vec::new();
        let mut trace_notes = notes(trace, &mut names, &Selection::default(), &mut found)?;
        trace_notes.iter_mut().for_each(|note| note.at = note.at.saturating_add(*offset));
        merged_notes.extend(trace_notes);
        damage.extend(found.into_iter().map(|damage| (at, damage)));
    }
    let note_key = |n: &Note| (n.at, n.node, n.topic, n.value.to_bits());
    merged_notes.sort_by_key(note_key);
    merged_notes.dedup_by_key(|note| note_key(note));
    let mut blocks = BlockWriter::new(BLOCK_ROWS, out);
    for note in merged_notes {
        blocks.write_note(&names, note)?;
    }
    blocks.flush(&names)?;
    let mut merge = Merge::new(
        traces.into_iter().map(|(trace, offset)| RowSource::new(trace, offset)).collect::<Vec<_>>(),
    );
    let workers = std::thread::available_parallelism().map_or(1, |n| n.get().saturating_sub(1)).clamp(1, 4);
    std::thread::scope(|scope| -> Result<(), TraceError> {
        let mut encoders = BlockEncoders::new(scope, workers);
        let (mut rows, mut sent) = (Vec::with_capacity(BLOCK_ROWS), 0);
        while let Some(row) = merge.next(&mut names)? {
            rows.push(row);
            if rows.len() == BLOCK_ROWS {
                sent += BLOCK_ROWS;
                encoders.submit(&names, std::mem::replace(&mut rows, Vec::with_capacity(BLOCK_ROWS)));
                encoders.drain(false, |block| Ok(out.write_block(block)?))?;
                progress(sent.min(total as usize), total as usize);
            }
        }
        if !rows.is_empty() {
            encoders.submit(&names, rows);
        }
        encoders.drain(true, |block| Ok(out.write_block(block)?))
    })?;
    progress(total as usize, total as usize);
    damage.extend(std::mem::take(&mut merge.report.damage));
    Ok(MergeReport { damage, ..merge.report })
}

/// Writes an anonymised copy of a trace, without damaged blocks.
pub fn anonymise<R: Read + Seek, W: Write>(
    trace: &mut Trace<R>,
    key: &[u8; 32],
    floor: u64,
    anonymise_nodes: bool,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<ScanReport, TraceError> {
    let mut names = Names::default();
    let mut report = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let entries = trace.entries.clone();
    let mut counts: HashMap<u32, u64> = HashMap::new();
    if floor > 0 {
        for entry in entries.iter().filter(|entry| entry.kind == BlockKind::Rows) {
            let Some(head) = record_damage(trace.head(entry, &mut names), entry, &mut Vec::new())? else {
                continue;
            };
            head.groups.iter().for_each(|group| *counts.entry(group.customer).or_default() += group.count);
        }
    }
    let mut anonymiser = Anonymiser::new(key, &counts, floor, anonymise_nodes);
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    let mut blocks = BlockWriter::new(BLOCK_ROWS, out);
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if !read_records(trace, entry, &mut names, &mut rows, &mut notes, &mut report)? {
            continue;
        }
        for mut row in rows.drain(..) {
            anonymiser.anonymise_row(&mut names, &mut row);
            report.rows += 1;
            blocks.write_row(&names, row)?;
        }
        for mut note in notes.drain(..) {
            note.node = anonymiser.anonymise_node(&mut names, note.node);
            blocks.write_note(&names, note)?;
        }
    }
    blocks.flush(&names)?;
    progress(entries.len(), entries.len());
    Ok(report)
}

/// Summarises the selected rows. Without percentiles, heads are used in place of rows where they suffice.
pub fn summarise<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    selection: &Selection,
    by: Option<GroupBy>,
    interval: i64,
    percentiles: bool,
    progress: Progress,
) -> Result<(Summary, ScanReport), TraceError> {
    let trace_start = trace.time_range().map_or(0, |span| span.0);
    let mut summary = Summary::new(by, interval, trace_start);
    if percentiles || trace.major == crate::v1::MAJOR {
        let report = scan(trace, names, selection, progress, |row, names| {
            summary.add_row(row, names);
            ControlFlow::Continue(())
        })?;
        return Ok((summary.finish(names), report));
    }
    let mut report = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let entries: Vec<IndexEntry> =
        trace.entries.iter().filter(|e| e.kind == BlockKind::Rows).copied().collect();
    let mut rows = Vec::new();
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if !selection.overlaps(entry) {
            report.skipped_blocks += 1;
            continue;
        }
        let Some(head) = record_damage(trace.head(entry, names), entry, &mut report.damage)? else {
            continue;
        };
        match selection.expr.match_block(&head, names, trace_start) {
            BlockMatch::None => report.skipped_blocks += 1,
            BlockMatch::All if selection.covers(entry) && summary.head_suffices(&head) => {
                report.skipped_blocks += 1;
                report.rows += u64::from(entry.rows);
                summary.add_block(&head);
            }
            _ => {
                rows.clear();
                let read = trace.rows(entry, names, &mut rows);
                if record_damage(read, entry, &mut report.damage)?.is_some() {
                    report.read_blocks += 1;
                    for row in rows.iter().filter(|row| selection.matches(row, names, trace_start)) {
                        report.rows += 1;
                        summary.add_row(row, names);
                    }
                }
            }
        }
    }
    progress(entries.len(), entries.len());
    Ok((summary.finish(names), report))
}
