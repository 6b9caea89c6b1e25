//! What is done with whole traces: to look through them, to cut, merge, veil and mend them. All goes from open
//! traces to a [`Writer`]; nothing here knows files or terminals.

use crate::anonymise::Veil;
use crate::expr::{Expr, Judged};
use crate::file::{pack_rows, Entry, Kind, Packed, Writer};
use crate::merge::{Blocks, Feed, Merge, Met};
use crate::open::{Damage, Fault, Trace};
use crate::row::{Names, Note, Row};
use crate::summary::{By, Summary};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Seek, Write};
use std::ops::ControlFlow;
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Scope;

/// Rows of the blocks that tools write.
pub const BLOCK_ROWS: usize = 16384;

/// How far a long piece of work has come, in blocks; called once for each.
pub type Progress<'a> = &'a mut dyn FnMut(usize, usize);

/// Which rows are meant.
#[derive(Clone, Debug)]
pub struct Choice {
    /// us, the first included, the last not.
    pub from: i64,
    pub to: i64,
    pub expr: Expr,
}

impl Default for Choice {
    fn default() -> Choice {
        Choice { from: i64::MIN, to: i64::MAX, expr: Expr::All }
    }
}

impl Choice {
    fn touches(&self, entry: &Entry) -> bool {
        entry.from < self.to && entry.to >= self.from
    }
    fn covers(&self, entry: &Entry) -> bool {
        entry.from >= self.from && entry.to < self.to
    }
    fn holds(&self, row: &Row, names: &Names, begin: i64) -> bool {
        row.read >= self.from && row.read < self.to && self.expr.holds(row, names, begin)
    }
}

/// What a look through a trace met.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Blocks that were read, and those that their heads or times ruled out.
    pub read: usize,
    pub passed: usize,
    pub rows: u64,
    pub damage: Vec<Damage>,
}

/// Names a block that could not be read; other faults end the work.
fn damaged<T>(result: Result<T, Fault>, entry: &Entry, damage: &mut Vec<Damage>) -> Result<Option<T>, Fault> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(Fault::Block { offset, what }) => {
            damage.push(Damage { offset, len: entry.len, rows: Some(entry.rows), what });
            Ok(None)
        }
        Err(fault) => Err(fault),
    }
}

/// What is known of a block without reading it: whether none, some or all of it is meant. One that is ruled out is counted,
/// one whose head can't be read is named; neither is to be read.
fn ahead<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Choice,
    entry: &Entry,
    begin: i64,
    seen: &mut Seen,
) -> Result<Judged, Fault> {
    let judged = if !choice.touches(entry) {
        Judged::None
    } else if choice.expr == Expr::All || entry.kind != Kind::Rows {
        Judged::All
    } else if trace.major == crate::v1::MAJOR {
        // A head of version 1 is made from its rows: it saves nothing there.
        Judged::Some
    } else {
        let head = trace.head(entry, names);
        let Some(head) = damaged(head, entry, &mut seen.damage)? else { return Ok(Judged::None) };
        choice.expr.judge(&head, names, begin)
    };
    seen.passed += usize::from(judged == Judged::None);
    Ok(if judged == Judged::All && !choice.covers(entry) { Judged::Some } else { judged })
}

/// Gives every row that is meant to `each`, block by block, until it has enough.
pub fn scan<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Choice,
    progress: Progress,
    mut each: impl FnMut(&Row, &Names) -> ControlFlow<()>,
) -> Result<Seen, Fault> {
    let begin = trace.span().map_or(0, |span| span.0);
    let mut seen = Seen { damage: trace.damage.clone(), ..Seen::default() };
    let entries: Vec<Entry> = trace.entries.iter().filter(|e| e.kind == Kind::Rows).copied().collect();
    let mut rows = Vec::new();
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if ahead(trace, names, choice, entry, begin, &mut seen)? == Judged::None {
            continue;
        }
        rows.clear();
        let read = trace.rows(entry, names, &mut rows);
        if damaged(read, entry, &mut seen.damage)?.is_none() {
            continue;
        }
        seen.read += 1;
        for row in rows.iter().filter(|row| choice.holds(row, names, begin)) {
            seen.rows += 1;
            if each(row, names).is_break() {
                return Ok(seen);
            }
        }
    }
    progress(entries.len(), entries.len());
    Ok(seen)
}

/// All notes of a span, in the order of their blocks.
pub fn notes<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Choice,
    damage: &mut Vec<Damage>,
) -> Result<Vec<Note>, Fault> {
    let mut all = Vec::new();
    for entry in trace.entries.clone().iter().filter(|e| e.kind == Kind::Notes && choice.touches(e)) {
        let read = trace.notes(entry, names, &mut all);
        damaged(read, entry, damage)?;
    }
    all.retain(|note| note.at >= choice.from && note.at < choice.to);
    Ok(all)
}

/// Reads the rows or notes of a block into two empty lists. Whether they could be read; if not, the damage is named.
fn records<R: Read + Seek>(
    trace: &mut Trace<R>,
    entry: &Entry,
    names: &mut Names,
    rows: &mut Vec<Row>,
    notes: &mut Vec<Note>,
    seen: &mut Seen,
) -> Result<bool, Fault> {
    let read = match entry.kind {
        Kind::Rows => trace.rows(entry, names, rows),
        _ => trace.notes(entry, names, notes),
    };
    let sound = damaged(read, entry, &mut seen.damage)?.is_some();
    seen.read += usize::from(sound);
    Ok(sound)
}

/// Writes what is meant, and the notes of the span. A block that is meant as a whole goes over as it stands.
pub fn cut<R: Read + Seek, W: Write>(
    trace: &mut Trace<R>,
    choice: &Choice,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<Seen, Fault> {
    let begin = trace.span().map_or(0, |span| span.0);
    let mut seen = Seen { damage: trace.damage.clone(), ..Seen::default() };
    let mut names = Names::default();
    let mut blocks = Blocks::new(BLOCK_ROWS, out);
    let entries = trace.entries.clone();
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        let whole = match ahead(trace, &mut names, choice, entry, begin, &mut seen)? {
            Judged::None => continue,
            Judged::Some => false,
            Judged::All => trace.major == crate::file::MAJOR,
        };
        if whole {
            let read = trace.raw(entry);
            if let Some(raw) = damaged(read, entry, &mut seen.damage)? {
                seen.rows += if entry.kind == Kind::Rows { u64::from(entry.rows) } else { 0 };
                blocks.whole(&names, &raw)?;
            }
            continue;
        }
        if !records(trace, entry, &mut names, &mut rows, &mut notes, &mut seen)? {
            continue;
        }
        for row in rows.drain(..) {
            if choice.holds(&row, &names, begin) {
                seen.rows += 1;
                blocks.row(&names, row)?;
            }
        }
        for note in notes.drain(..).filter(|note| note.at >= choice.from && note.at < choice.to) {
            blocks.note(&names, note)?;
        }
    }
    blocks.rest(&names)?;
    progress(entries.len(), entries.len());
    Ok(seen)
}

/// Rows to be packed, with their place in the order and their names.
type Task = (u64, Vec<Row>, Arc<Names>);

/// Threads that pack blocks, which come out in the order in which they were given.
struct Packers {
    tasks: Option<SyncSender<Task>>,
    packed: Receiver<(u64, Packed)>,
    early: BTreeMap<u64, Packed>,
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
                if done.send((at, pack_rows(&names, &mut rows))).is_err() {
                    return;
                }
            });
        }
        let (early, names) = (BTreeMap::new(), Arc::default());
        Packers { tasks: Some(tasks), packed, early, given: 0, taken: 0, names }
    }

    /// Waits while all are busy, which bounds what is in memory.
    fn pack(&mut self, names: &Names, rows: Vec<Row>) {
        if self.names.size() != names.size() {
            self.names = Arc::new(names.clone());
        }
        if let Some(tasks) = &self.tasks {
            // The threads end only once nobody gives any more.
            let _ = tasks.send((self.given, rows, self.names.clone()));
            self.given += 1;
        }
    }

    /// Gives out what is ready, or all that was given.
    fn take(&mut self, all: bool, mut each: impl FnMut(&Packed) -> Result<(), Fault>) -> Result<(), Fault> {
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

/// Writes many traces as one, in the order of time. Each comes with what is put on its times, us.
pub fn merge<R: Read + Seek, W: Write>(
    mut traces: Vec<(Trace<R>, i64)>,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<Met, Fault> {
    let mut names = Names::default();
    let mut damage = Vec::new();
    // Notes are few: they go first, in one order.
    let mut all: Vec<Note> = Vec::new();
    let total: u64 = traces.iter().map(|(trace, _)| trace.count(Kind::Rows)).sum();
    for (at, (trace, offset)) in traces.iter_mut().enumerate() {
        let mut found = Vec::new();
        let mut these = notes(trace, &mut names, &Choice::default(), &mut found)?;
        these.iter_mut().for_each(|note| note.at = note.at.saturating_add(*offset));
        all.extend(these);
        damage.extend(found.into_iter().map(|one| (at, one)));
    }
    let told = |n: &Note| (n.at, n.node, n.topic, n.value.to_bits());
    all.sort_by_key(told);
    all.dedup_by_key(|note| told(note));
    let mut blocks = Blocks::new(BLOCK_ROWS, out);
    for note in all {
        blocks.note(&names, note)?;
    }
    blocks.rest(&names)?;
    let mut merge =
        Merge::new(traces.into_iter().map(|(trace, offset)| Feed::new(trace, offset)).collect::<Vec<_>>());
    let workers = std::thread::available_parallelism().map_or(1, |n| n.get().saturating_sub(1)).clamp(1, 4);
    std::thread::scope(|scope| -> Result<(), Fault> {
        let mut packers = Packers::new(scope, workers);
        let (mut rows, mut sent) = (Vec::with_capacity(BLOCK_ROWS), 0);
        while let Some(row) = merge.next(&mut names)? {
            rows.push(row);
            if rows.len() == BLOCK_ROWS {
                sent += BLOCK_ROWS;
                packers.pack(&names, std::mem::replace(&mut rows, Vec::with_capacity(BLOCK_ROWS)));
                packers.take(false, |block| Ok(out.block(block)?))?;
                progress(sent.min(total as usize), total as usize);
            }
        }
        if !rows.is_empty() {
            packers.pack(&names, rows);
        }
        packers.take(true, |block| Ok(out.block(block)?))
    })?;
    progress(total as usize, total as usize);
    damage.extend(std::mem::take(&mut merge.met.damage));
    Ok(Met { damage, ..merge.met })
}

/// Writes a trace with other names, and without blocks that can't be read.
pub fn anonymise<R: Read + Seek, W: Write>(
    trace: &mut Trace<R>,
    key: &[u8; 32],
    floor: u64,
    nodes_too: bool,
    out: &mut Writer<W>,
    progress: Progress,
) -> Result<Seen, Fault> {
    let mut names = Names::default();
    let mut seen = Seen { damage: trace.damage.clone(), ..Seen::default() };
    let entries = trace.entries.clone();
    let mut counts: HashMap<u32, u64> = HashMap::new();
    if floor > 0 {
        for entry in entries.iter().filter(|entry| entry.kind == Kind::Rows) {
            let Some(head) = damaged(trace.head(entry, &mut names), entry, &mut Vec::new())? else {
                continue;
            };
            head.groups.iter().for_each(|group| *counts.entry(group.customer).or_default() += group.count);
        }
    }
    let mut veil = Veil::new(key, &counts, floor, nodes_too);
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    let mut blocks = Blocks::new(BLOCK_ROWS, out);
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if !records(trace, entry, &mut names, &mut rows, &mut notes, &mut seen)? {
            continue;
        }
        for mut row in rows.drain(..) {
            veil.row(&mut names, &mut row);
            seen.rows += 1;
            blocks.row(&names, row)?;
        }
        for mut note in notes.drain(..) {
            note.node = veil.node(&mut names, note.node);
            blocks.note(&names, note)?;
        }
    }
    blocks.rest(&names)?;
    progress(entries.len(), entries.len());
    Ok(seen)
}

/// Sums over what is meant. Without percentiles whole blocks are told by their heads.
pub fn summarise<R: Read + Seek>(
    trace: &mut Trace<R>,
    names: &mut Names,
    choice: &Choice,
    by: Option<By>,
    interval: i64,
    percentiles: bool,
    progress: Progress,
) -> Result<(Summary, Seen), Fault> {
    let begin = trace.span().map_or(0, |span| span.0);
    let mut summary = Summary::new(by, interval, begin);
    if percentiles || trace.major == crate::v1::MAJOR {
        let seen = scan(trace, names, choice, progress, |row, names| {
            summary.row(row, names);
            ControlFlow::Continue(())
        })?;
        return Ok((summary.finish(names), seen));
    }
    let mut seen = Seen { damage: trace.damage.clone(), ..Seen::default() };
    let entries: Vec<Entry> = trace.entries.iter().filter(|e| e.kind == Kind::Rows).copied().collect();
    let mut rows = Vec::new();
    for (at, entry) in entries.iter().enumerate() {
        progress(at, entries.len());
        if !choice.touches(entry) {
            seen.passed += 1;
            continue;
        }
        let Some(head) = damaged(trace.head(entry, names), entry, &mut seen.damage)? else { continue };
        match choice.expr.judge(&head, names, begin) {
            Judged::None => seen.passed += 1,
            Judged::All if choice.covers(entry) && summary.fits(&head) => {
                seen.passed += 1;
                seen.rows += u64::from(entry.rows);
                summary.block(&head);
            }
            _ => {
                rows.clear();
                let read = trace.rows(entry, names, &mut rows);
                if damaged(read, entry, &mut seen.damage)?.is_some() {
                    seen.read += 1;
                    for row in rows.iter().filter(|row| choice.holds(row, names, begin)) {
                        seen.rows += 1;
                        summary.row(row, names);
                    }
                }
            }
        }
    }
    progress(entries.len(), entries.len());
    Ok((summary.finish(names), seen))
}
