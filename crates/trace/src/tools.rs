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
    /// Start (inclusive) and end (exclusive) in us.
    pub from: i64,
    pub to: i64,
    pub expr: Expr,
}

impl Default for Selection {
    fn default() -> Selection {
        Selection { from: i64::MIN, to: i64::MAX, expr: Expr::All }
    }
}

impl Selection {
    fn touches(&self, entry: &IndexEntry) -> bool {
        entry.from < self.to && entry.to >= self.from
    }
    fn covers(&self, entry: &IndexEntry) -> bool {
        entry.from >= self.from && entry.to < self.to
    }
    fn matches(&self, row: &Row, names: &Names, begin: i64) -> bool {
        row.read >= self.from && row.read < self.to && self.expr.matches(row, names, begin)
    }
}

/// Outcome of reading a trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScanReport {
    /// Blocks read, and blocks skipped because their head or time range excluded them or was sufficient.
    pub read_blocks: usize,
    pub skipped_blocks: usize,
    pub rows: u64,
    pub damage: Vec<Damage>,
}

/// Records a damaged block and returns `None` for it. Other errors are passed on.
fn damaged<T>(
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
fn ahead<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Selection,
    entry: &IndexEntry,
    begin: i64,
    seen: &mut ScanReport,
) -> Result<BlockMatch, TraceError> {
    let judged = if !choice.touches(entry) {
        BlockMatch::None
    } else if choice.expr == Expr::All || entry.kind != BlockKind::Rows {
        BlockMatch::All
    } else if trace.major == crate::v1::MAJOR {
        // Version 1 has no stored heads.
        BlockMatch::Some
    } else {
        let head = trace.head(entry, names);
        let Some(head) = damaged(head, entry, &mut seen.damage)? else { return Ok(BlockMatch::None) };
        choice.expr.match_block(&head, names, begin)
    };
    seen.skipped_blocks += usize::from(judged == BlockMatch::None);
    Ok(if judged == BlockMatch::All && !choice.covers(entry) { BlockMatch::Some } else { judged })
}

/// Calls `each` for every selected row until it breaks.
pub fn scan<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Selection,
    progress: Progress,
    mut each: impl FnMut(&Row, &Names) -> ControlFlow<()>,
) -> Result<ScanReport, TraceError> {
    let begin = trace.time_range().map_or(0, |span| span.0);
    let mut seen = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let entries: Vec<IndexEntry> =
        trace.entries.iter().filter(|e| e.kind == BlockKind::Rows).copied().collect();
    let mut rows = Vec::new();
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if ahead(trace, names, choice, entry, begin, &mut seen)? == BlockMatch::None {
            continue;
        }
        rows.clear();
        let read = trace.rows(entry, names, &mut rows);
        if damaged(read, entry, &mut seen.damage)?.is_none() {
            continue;
        }
        seen.read_blocks += 1;
        for row in rows.iter().filter(|row| choice.matches(row, names, begin)) {
            seen.rows += 1;
            if each(row, names).is_break() {
                return Ok(seen);
            }
        }
    }
    progress(entries.len(), entries.len());
    Ok(seen)
}

/// Returns the notes in the selected time range, in block order.
pub fn notes<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Selection,
    damage: &mut Vec<Damage>,
) -> Result<Vec<Note>, TraceError> {
    let mut all = Vec::new();
    for entry in trace.entries.clone().iter().filter(|e| e.kind == BlockKind::Notes && choice.touches(e)) {
        let read = trace.notes(entry, names, &mut all);
        damaged(read, entry, damage)?;
    }
    all.retain(|note| note.at >= choice.from && note.at < choice.to);
    Ok(all)
}

/// Reads the rows or notes of a block into two empty lists. Returns `false` and records the damage on failure.
fn records<R: Read + Seek>(
    trace: &mut Trace<R>,
    entry: &IndexEntry,
    names: &mut Names,
    rows: &mut Vec<Row>,
    notes: &mut Vec<Note>,
    seen: &mut ScanReport,
) -> Result<bool, TraceError> {
    let read = match entry.kind {
        BlockKind::Rows => trace.rows(entry, names, rows),
        _ => trace.notes(entry, names, notes),
    };
    let sound = damaged(read, entry, &mut seen.damage)?.is_some();
    seen.read_blocks += usize::from(sound);
    Ok(sound)
}

/// Writes the selected rows and the notes of the time range. Blocks that are selected entirely are copied as they are.
pub fn cut<R: Read + Seek, W: Write>(
    trace: &mut Trace<R>,
    choice: &Selection,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<ScanReport, TraceError> {
    let begin = trace.time_range().map_or(0, |span| span.0);
    let mut seen = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let mut names = Names::default();
    let mut blocks = BlockWriter::new(BLOCK_ROWS, out);
    let entries = trace.entries.clone();
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        let whole = match ahead(trace, &mut names, choice, entry, begin, &mut seen)? {
            BlockMatch::None => continue,
            BlockMatch::Some => false,
            BlockMatch::All => trace.major == crate::file::MAJOR,
        };
        if whole {
            let read = trace.encoded_block(entry);
            if let Some(raw) = damaged(read, entry, &mut seen.damage)? {
                seen.rows += if entry.kind == BlockKind::Rows { u64::from(entry.rows) } else { 0 };
                blocks.write_encoded(&names, &raw)?;
            }
            continue;
        }
        if !records(trace, entry, &mut names, &mut rows, &mut notes, &mut seen)? {
            continue;
        }
        for row in rows.drain(..) {
            if choice.matches(&row, &names, begin) {
                seen.rows += 1;
                blocks.write_row(&names, row)?;
            }
        }
        for note in notes.drain(..).filter(|note| note.at >= choice.from && note.at < choice.to) {
            blocks.write_note(&names, note)?;
        }
    }
    blocks.flush(&names)?;
    progress(entries.len(), entries.len());
    Ok(seen)
}

/// Rows to encode, with their block's sequence number and their names.
type Task = (u64, Vec<Row>, Arc<Names>);

/// Pool of threads that encode blocks and return them in the order of submission.
struct Packers {
    tasks: Option<SyncSender<Task>>,
    packed: Receiver<(u64, EncodedBlock)>,
    early: BTreeMap<u64, EncodedBlock>,
    given: u64,
    taken: u64,
    names: Arc<Names>,
}

impl Packers {
    fn new<'s>(scope: &'s Scope<'s, '_>, workers: usize) -> Packers {
        let (tasks, todo) = sync_channel::<Task>(workers);
        let (done, packed) = channel();
        let todo = Arc::new(Mutex::new(todo));
        for _ in 0..workers {
            let (todo, done) = (todo.clone(), done.clone());
            scope.spawn(move || loop {
                let task = todo.lock().unwrap_or_else(PoisonError::into_inner).recv();
                let Ok((at, mut rows, names)) = task else { return };
                if done.send((at, encode_rows(&names, &mut rows))).is_err() {
                    return;
                }
            });
        }
        let (early, names) = (BTreeMap::new(), Arc::default());
        Packers { tasks: Some(tasks), packed, early, given: 0, taken: 0, names }
    }

    /// Submits rows for encoding. Blocks while all threads are busy, which bounds memory.
    fn pack(&mut self, names: &Names, rows: Vec<Row>) {
        if self.names.entry_count() != names.entry_count() {
            self.names = Arc::new(names.clone());
        }
        if let Some(tasks) = &self.tasks {
            // The receivers live until `tasks` is dropped, so that this cannot fail.
            let _ = tasks.send((self.given, rows, self.names.clone()));
            self.given += 1;
        }
    }

    /// Passes encoded blocks to `each` in order: those that are ready, or with `all` every submitted one.
    fn take(
        &mut self,
        all: bool,
        mut each: impl FnMut(&EncodedBlock) -> Result<(), TraceError>,
    ) -> Result<(), TraceError> {
        if all {
            self.tasks = None;
        }
        while self.taken < self.given {
            let next = if all { self.packed.recv().ok() } else { self.packed.try_recv().ok() };
            let Some((at, block)) = next else { return Ok(()) };
            self.early.insert(at, block);
            while let Some(block) = self.early.remove(&self.taken) {
                self.taken += 1;
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
    let mut all: Vec<Note> = Vec::new();
    let total: u64 = traces.iter().map(|(trace, _)| trace.record_count(BlockKind::Rows)).sum();
    for (at, (trace, offset)) in traces.iter_mut().enumerate() {
        let mut found = Vec::new();
        let mut these = notes(trace, &mut names, &Selection::default(), &mut found)?;
        these.iter_mut().for_each(|note| note.at = note.at.saturating_add(*offset));
        all.extend(these);
        damage.extend(found.into_iter().map(|one| (at, one)));
    }
    let told = |n: &Note| (n.at, n.node, n.topic, n.value.to_bits());
    all.sort_by_key(told);
    all.dedup_by_key(|note| told(note));
    let mut blocks = BlockWriter::new(BLOCK_ROWS, out);
    for note in all {
        blocks.write_note(&names, note)?;
    }
    blocks.flush(&names)?;
    let mut merge = Merge::new(
        traces.into_iter().map(|(trace, offset)| RowSource::new(trace, offset)).collect::<Vec<_>>(),
    );
    let workers = std::thread::available_parallelism().map_or(1, |n| n.get().saturating_sub(1)).clamp(1, 4);
    std::thread::scope(|scope| -> Result<(), TraceError> {
        let mut packers = Packers::new(scope, workers);
        let (mut rows, mut sent) = (Vec::with_capacity(BLOCK_ROWS), 0);
        while let Some(row) = merge.next(&mut names)? {
            rows.push(row);
            if rows.len() == BLOCK_ROWS {
                sent += BLOCK_ROWS;
                packers.pack(&names, std::mem::replace(&mut rows, Vec::with_capacity(BLOCK_ROWS)));
                packers.take(false, |block| Ok(out.write_block(block)?))?;
                progress(sent.min(total as usize), total as usize);
            }
        }
        if !rows.is_empty() {
            packers.pack(&names, rows);
        }
        packers.take(true, |block| Ok(out.write_block(block)?))
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
    nodes_too: bool,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<ScanReport, TraceError> {
    let mut names = Names::default();
    let mut seen = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let entries = trace.entries.clone();
    let mut counts: HashMap<u32, u64> = HashMap::new();
    if floor > 0 {
        for entry in entries.iter().filter(|entry| entry.kind == BlockKind::Rows) {
            let Some(head) = damaged(trace.head(entry, &mut names), entry, &mut Vec::new())? else {
                continue;
            };
            head.groups.iter().for_each(|group| *counts.entry(group.customer).or_default() += group.count);
        }
    }
    let mut veil = Anonymiser::new(key, &counts, floor, nodes_too);
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    let mut blocks = BlockWriter::new(BLOCK_ROWS, out);
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if !records(trace, entry, &mut names, &mut rows, &mut notes, &mut seen)? {
            continue;
        }
        for mut row in rows.drain(..) {
            veil.anonymise_row(&mut names, &mut row);
            seen.rows += 1;
            blocks.write_row(&names, row)?;
        }
        for mut note in notes.drain(..) {
            note.node = veil.anonymise_node(&mut names, note.node);
            blocks.write_note(&names, note)?;
        }
    }
    blocks.flush(&names)?;
    progress(entries.len(), entries.len());
    Ok(seen)
}

/// Summarises the selected rows. Without percentiles, heads are used in place of rows where they suffice.
pub fn summarise<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Selection,
    by: Option<GroupBy>,
    interval: i64,
    percentiles: bool,
    progress: Progress,
) -> Result<(Summary, ScanReport), TraceError> {
    let begin = trace.time_range().map_or(0, |span| span.0);
    let mut summary = Summary::new(by, interval, begin);
    if percentiles || trace.major == crate::v1::MAJOR {
        let seen = scan(trace, names, choice, progress, |row, names| {
            summary.add_row(row, names);
            ControlFlow::Continue(())
        })?;
        return Ok((summary.finish(names), seen));
    }
    let mut seen = ScanReport { damage: trace.damage.clone(), ..ScanReport::default() };
    let entries: Vec<IndexEntry> =
        trace.entries.iter().filter(|e| e.kind == BlockKind::Rows).copied().collect();
    let mut rows = Vec::new();
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if !choice.touches(entry) {
            seen.skipped_blocks += 1;
            continue;
        }
        let Some(head) = damaged(trace.head(entry, names), entry, &mut seen.damage)? else { continue };
        match choice.expr.match_block(&head, names, begin) {
            BlockMatch::None => seen.skipped_blocks += 1,
            BlockMatch::All if choice.covers(entry) && summary.head_suffices(&head) => {
                seen.skipped_blocks += 1;
                seen.rows += u64::from(entry.rows);
                summary.add_block(&head);
            }
            _ => {
                rows.clear();
                let read = trace.rows(entry, names, &mut rows);
                if damaged(read, entry, &mut seen.damage)?.is_some() {
                    seen.read_blocks += 1;
                    for row in rows.iter().filter(|row| choice.matches(row, names, begin)) {
                        seen.rows += 1;
                        summary.add_row(row, names);
                    }
                }
            }
        }
    }
    progress(entries.len(), entries.len());
    Ok((summary.finish(names), seen))
}
