//! Records a trace beside live traffic. Callers push fixed-size records into a bounded ring without I/O, locks or
//! allocation. A dedicated thread encodes them and manages the files as [`rotation`] decides. Records that do not fit
//! are dropped and counted in the file.

pub mod rotation;

use crate::file::{self, FileMetadata, Writer};
use crate::row::{Names, Note, Product, Row, Step, Topic, LAST, MAX_STEPS, REPEAT};
use crossbeam_queue::ArrayQueue;
use rotation::{Action, Rotation, RotationLimits, StoredFile};
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Capacity of the ring, in records.
const RING: usize = 2048;
/// Sleep of the recorder thread while the ring is empty.
const LOOK: Duration = Duration::from_millis(100);

/// Record of one attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Read time in s (Unix), and the time between arrival and read in s.
    pub read: f64,
    pub unread: f64,
    pub product: u16,
    pub customer: u32,
    pub caller: u32,
    pub rank: f64,
    /// s
    pub hint: f64,
    /// KB
    pub memory: f64,
    pub repeat: bool,
    pub last: bool,
    /// s
    pub keep_off: f64,
    pub name: [u8; 16],
    pub key: Option<[u8; 32]>,
    steps: [u8; MAX_STEPS],
    /// Time since the previous step, in us.
    spans: [u32; MAX_STEPS],
    count: u8,
    at: f64,
}

impl RequestRecord {
    pub fn new(read: f64, name: [u8; 16]) -> RequestRecord {
        RequestRecord {
            read,
            unread: 0.0,
            product: 0,
            customer: 0,
            caller: 0,
            rank: 0.0,
            hint: 0.0,
            memory: 0.0,
            repeat: false,
            last: false,
            keep_off: 0.0,
            name,
            key: None,
            steps: [0; MAX_STEPS],
            spans: [0; MAX_STEPS],
            count: 0,
            at: read,
        }
    }

    /// Adds a step. Once the path is full, a marker for omitted steps and the latest step take its last two places, and a
    /// final step stays.
    pub fn add_step(&mut self, now: f64, step: Step) {
        let mut span = micros(now - self.at);
        self.at = now;
        if usize::from(self.count) == MAX_STEPS {
            let decisive = Step(self.steps[MAX_STEPS - 1]).is_final();
            if decisive {
                return;
            }
            span = span.saturating_add(self.spans[MAX_STEPS - 1]);
            self.steps[MAX_STEPS - 2] = Step::MORE.0;
            self.count -= 1;
        }
        let at = usize::from(self.count);
        (self.steps[at], self.spans[at]) = (step.0, span);
        self.count += 1;
    }
}

/// Converts seconds to microseconds in the range of a row.
fn micros(span: f64) -> u32 {
    (span * 1e6).clamp(0.0, f64::from(u32::MAX)) as u32
}

// Boxing the larger variant would allocate on the request path.
#[allow(clippy::large_enum_variant)]
enum Item {
    Txn(RequestRecord),
    Note { at: f64, topic: Topic, value: f32 },
}

/// Configuration of a recorder.
pub struct RecorderConfig {
    pub node: String,
    pub limits: RotationLimits,
    pub products: Vec<Product>,
    pub customers: Vec<String>,
    /// Key for hashing names and request keys.
    pub key: [u8; 32],
    /// One request in `sample` is kept; all attempts with the same key are kept or dropped together.
    pub sample: u32,
}

/// Storage of trace files, implemented by [`TraceDirectory`].
pub trait TraceStorage: Send + 'static {
    /// Returns the existing trace files, oldest first.
    fn list(&mut self) -> io::Result<Vec<StoredFile>>;
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory in which only files with a prefix are touched.
pub struct TraceDirectory {
    pub path: PathBuf,
    pub prefix: String,
}

impl TraceStorage for TraceDirectory {
    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        let mut all = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name.starts_with(&self.prefix) && name.ends_with(".trace") {
                all.push(StoredFile { name, bytes: entry.metadata().map_or(0, |meta| meta.len()) });
            }
        }
        all.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(all)
    }
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>> {
        let file = std::fs::OpenOptions::new().write(true).create_new(true).open(self.path.join(name))?;
        Ok(Box::new(file))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }
}

struct Shared {
    ring: ArrayQueue<Item>,
    /// Records that found the ring full since the thread last checked, and all lost records.
    full: AtomicU64,
    lost: AtomicU64,
    ending: AtomicBool,
}

/// Producer side of the recorder.
#[derive(Clone)]
pub struct Recorder(Arc<Shared>);

/// Handle of the recorder thread.
pub struct RecorderHandle {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl Recorder {
    /// Starts a recorder thread. `complain` receives a log line for each failure.
    pub fn start(
        told: RecorderConfig,
        place: impl TraceStorage,
        stack: usize,
        complain: impl FnMut(&str) + Send + 'static,
    ) -> io::Result<(Recorder, RecorderHandle)> {
        let shared = Arc::new(Shared {
            ring: ArrayQueue::new(RING),
            full: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            ending: AtomicBool::new(false),
        });
        let worker = RecorderThread::new(told, place, shared.clone(), complain);
        let builder = thread::Builder::new().name("trace".into()).stack_size(stack);
        let thread = builder.spawn(move || worker.work())?;
        Ok((Recorder(shared.clone()), RecorderHandle { shared, thread }))
    }

    pub fn record_request(&self, entry: &RequestRecord) {
        self.put(Item::Txn(*entry));
    }
    pub fn record_note(&self, at: f64, topic: Topic, value: f64) {
        self.put(Item::Note { at, topic, value: value as f32 });
    }
    fn put(&self, item: Item) {
        if self.0.ring.push(item).is_err() {
            self.0.full.fetch_add(1, Ordering::Relaxed);
        }
    }
    /// Returns the number of records lost so far.
    pub fn lost_records(&self) -> u64 {
        self.0.lost.load(Ordering::Relaxed) + self.0.full.load(Ordering::Relaxed)
    }
}

impl RecorderHandle {
    /// Writes pending records and seals the file. Returns after `within` at the latest, so that a hanging disk cannot block.
    pub fn shutdown(self, within: Duration) {
        self.shared.ending.store(true, Ordering::Release);
        self.thread.thread().unpark();
        let begun = std::time::Instant::now();
        while !self.thread.is_finished() && begun.elapsed() < within {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// State of the recorder thread.
struct RecorderThread<P, C> {
    rotation: Rotation,
    place: P,
    complain: C,
    shared: Arc<Shared>,
    told: RecorderConfig,
    names: Names,
    node: u32,
    products: Vec<u32>,
    customers: Vec<u32>,
    rows: Vec<Row>,
    notes: Vec<Note>,
    out: Option<(String, Writer<Box<dyn Write + Send>>)>,
    serial: u32,
}

fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// Returns a keyed hash of a name or key, which cannot be reversed without `key`.
pub fn keyed_hash(key: &[u8; 32], bytes: &[u8]) -> u64 {
    let hash = blake3::keyed_hash(key, bytes);
    hash.as_bytes().first_chunk().map_or(1, |first| u64::from_le_bytes(*first))
}

/// Returns a keyed hash of a request's key: 48 bits, never 0.
pub fn request_key_hash(key: &[u8; 32], bytes: &[u8]) -> u64 {
    (keyed_hash(key, bytes) >> 16).max(1)
}

impl<P: TraceStorage, C: FnMut(&str)> RecorderThread<P, C> {
    fn new(told: RecorderConfig, mut place: P, shared: Arc<Shared>, mut complain: C) -> RecorderThread<P, C> {
        let mut names = Names::default();
        let files = place.list().unwrap_or_else(|e| {
            complain(&format!("trace: cannot list the trace directory: {e}"));
            Vec::new()
        });
        RecorderThread {
            rotation: Rotation::new(told.limits.clone(), files),
            node: names.intern(&told.node),
            products: told.products.iter().map(|product| names.intern_product(product)).collect(),
            customers: told.customers.iter().map(|customer| names.intern(customer)).collect(),
            names,
            place,
            complain,
            shared,
            told,
            rows: Vec::new(),
            notes: Vec::new(),
            out: None,
            serial: 0,
        }
    }

    fn work(mut self) {
        loop {
            let ending = self.shared.ending.load(Ordering::Acquire);
            let now = unix();
            let more = self.gather(now);
            if ending && !more {
                self.rotation.begin_shutdown();
            }
            while let Some(act) = self.rotation.next_action(now) {
                self.act(now, act);
            }
            self.shared.lost.store(self.rotation.dropped, Ordering::Relaxed);
            if ending && !more && self.rotation.is_finished(now) {
                return;
            }
            if !more {
                thread::park_timeout(LOOK);
            }
        }
    }

    /// Moves records from the ring until a file action is due. Returns `false` once the ring is empty. Records wait in the
    /// ring during slow writes.
    fn gather(&mut self, now: f64) -> bool {
        self.rotation.add_lost(self.shared.full.swap(0, Ordering::Relaxed));
        while self.rotation.next_action(now).is_none() {
            let Some(item) = self.shared.ring.pop() else { return false };
            if let Item::Txn(entry) = &item {
                if !self.sampled(entry) {
                    continue;
                }
            }
            if !self.rotation.admit(now) {
                continue;
            }
            match item {
                Item::Txn(entry) => {
                    let row = self.row(&entry);
                    self.rows.push(row);
                }
                Item::Note { at, topic, value } => {
                    self.notes.push(Note { at: (at * 1e6) as i64, node: self.node, topic, value })
                }
            }
        }
        true
    }

    /// Returns whether a record belongs to the sample.
    fn sampled(&self, entry: &RequestRecord) -> bool {
        let named = entry.key.as_ref().map_or(&entry.name[..], |key| &key[..]);
        self.told.sample <= 1 || keyed_hash(&self.told.key, named).is_multiple_of(u64::from(self.told.sample))
    }

    fn row(&mut self, entry: &RequestRecord) -> Row {
        let count = usize::from(entry.count);
        let name = |at: usize, all: &[u32], names: &mut Names| {
            all.get(at).copied().unwrap_or_else(|| names.intern(""))
        };
        Row {
            read: (entry.read * 1e6) as i64,
            unread: micros(entry.unread),
            node: self.node,
            product: self.products.get(usize::from(entry.product)).copied().unwrap_or(0),
            customer: name(entry.customer as usize, &self.customers, &mut self.names),
            caller: entry.caller,
            rank: (entry.rank * 64.0) as u8,
            hint: micros(entry.hint),
            memory: (entry.memory * 1024.0).clamp(0.0, f64::from(u32::MAX)) as u32,
            flags: if entry.repeat { REPEAT } else { 0 } | if entry.last { LAST } else { 0 },
            name: keyed_hash(&self.told.key, &entry.name) as u32,
            key: entry.key.map_or(0, |key| request_key_hash(&self.told.key, &key)),
            keep_off: (entry.keep_off * 1e3).ceil().clamp(0.0, f64::from(u32::MAX)) as u32,
            path: self.names.intern_path(&entry.steps[..count]),
            spans: entry.spans[..count].iter().copied().collect(),
        }
    }

    fn act(&mut self, now: f64, act: Action) {
        match act {
            Action::OpenFile => {
                let opened = self.open(now);
                let bytes = self.failing(opened, "cannot create a trace file");
                self.rotation.opened(now, bytes);
            }
            Action::WriteBlock => {
                let lost = self.rotation.take_unreported();
                if lost > 0 {
                    let (at, topic) = ((now * 1e6) as i64, Topic::DROPPED);
                    self.notes.push(Note { at, node: self.node, topic, value: lost as f32 });
                }
                let wrote = self.write();
                let bytes = self.failing(wrote, "cannot write a block");
                if bytes.is_none() {
                    self.rotation.restore_unreported(lost);
                }
                self.rotation.wrote(now, bytes);
                self.rows.clear();
                self.notes.clear();
            }
            Action::SealFile => {
                let Some((name, out)) = self.out.take() else { return };
                let bytes = out.len();
                let sealed = out.seal().map(|_| bytes);
                let well = self.failing(sealed, "cannot seal the trace file").is_some();
                self.rotation.closed(now, StoredFile { name, bytes }, well);
            }
            Action::AbandonFile => {
                let (name, bytes) =
                    self.out.take().map_or((String::new(), 0), |(name, out)| (name, out.len()));
                self.rotation.closed(now, StoredFile { name, bytes }, true);
            }
            Action::RemoveFile(name) => {
                let removed = self.place.remove(&name).or_else(|e| match e.kind() {
                    io::ErrorKind::NotFound => Ok(()),
                    _ => Err(e),
                });
                self.failing(removed, "cannot delete the oldest trace file");
                self.rotation.removed();
            }
        }
    }

    fn open(&mut self, now: f64) -> io::Result<u64> {
        self.serial += 1;
        let name = format!("{}-{:010}-{:04}.trace", self.told.node, now as u64, self.serial);
        let out = self.place.create(&name)?;
        let meta = FileMetadata { node: self.told.node.clone(), created: (now * 1e6) as i64 };
        let writer = Writer::new(out, &meta)?;
        let len = writer.len();
        self.out = Some((name, writer));
        Ok(len)
    }

    fn write(&mut self) -> io::Result<u64> {
        let Some((_, out)) = &mut self.out else { return Err(io::Error::other("no trace file is open")) };
        if !self.rows.is_empty() {
            out.write_block(&file::encode_rows(&self.names, &mut self.rows))?;
        }
        if !self.notes.is_empty() {
            out.write_block(&file::encode_notes(&self.names, &mut self.notes))?;
        }
        out.flush()?;
        Ok(out.len())
    }

    /// Logs the first of a series of failures.
    fn failing<T>(&mut self, result: io::Result<T>, what: &str) -> Option<T> {
        result
            .map_err(|e| {
                if self.rotation.failures() == 0 {
                    (self.complain)(&format!("trace: {what}: {e}"));
                }
            })
            .ok()
    }
}
