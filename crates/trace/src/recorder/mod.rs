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
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Capacity of the ring, in records.
const RING_CAPACITY: usize = 2048;
/// Sleep of the recorder thread while the ring is empty.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Record of one attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Time of the read in s, by the Unix clock.
    pub read: f64,
    /// Time between arrival and read in s.
    pub unread: f64,
    /// Indices into the lists of [`RecorderConfig`].
    pub product: u16,
    pub customer: u32,
    pub caller: u32,
    /// Stored in 64ths.
    pub rank: f64,
    /// Estimated core time in s, 0 if unknown.
    pub hint: f64,
    /// Memory in KB.
    pub memory: f64,
    /// Whether the attempt is a retry.
    pub repeat: bool,
    /// Whether the decline instructed the caller to try no other server.
    pub last: bool,
    /// Time in s for which a decline instructed the caller to send nothing.
    pub keep_off: f64,
    /// Name of the attempt. The file holds only a hash of it.
    pub name: [u8; 16],
    /// Key of the request. The file holds only a hash of it.
    pub key: Option<[u8; 32]>,
    steps: [u8; MAX_STEPS],
    /// Time since the previous step, in us.
    spans: [u32; MAX_STEPS],
    step_count: u8,
    last_step_at: f64,
}

impl RequestRecord {
    /// Creates a record of an attempt that was read at `read` (s, Unix).
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
            step_count: 0,
            last_step_at: read,
        }
    }

    /// Adds a step. Once the path is full, a marker for omitted steps and the latest step take its last two places, and a
    /// final step stays.
    pub fn add_step(&mut self, now: f64, step: Step) {
        let mut span = micros(now - self.last_step_at);
        self.last_step_at = now;
        if usize::from(self.step_count) == MAX_STEPS {
            let is_final = Step(self.steps[MAX_STEPS - 1]).is_final();
            if is_final {
                return;
            }
            span = span.saturating_add(self.spans[MAX_STEPS - 1]);
            self.steps[MAX_STEPS - 2] = Step::MORE.0;
            self.step_count -= 1;
        }
        let index = usize::from(self.step_count);
        (self.steps[index], self.spans[index]) = (step.0, span);
        self.step_count += 1;
    }
}

/// Converts seconds to microseconds in the range of a row.
fn micros(span: f64) -> u32 {
    (span * 1e6).clamp(0.0, f64::from(u32::MAX)) as u32
}

// Boxing the larger variant would allocate on the request path.
#[allow(clippy::large_enum_variant)]
enum Item {
    Request(RequestRecord),
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
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name.starts_with(&self.prefix) && name.ends_with(".trace") {
                files.push(StoredFile { name, bytes: entry.metadata().map_or(0, |meta| meta.len()) });
            }
        }
        files.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(files)
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
    /// Number of records that found the ring full since the thread last checked.
    ring_overflows: AtomicU64,
    /// Number of all lost records.
    lost_records: AtomicU64,
    shutting_down: AtomicBool,
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
    /// Starts a recorder thread. `on_error` receives a log line for each failure.
    pub fn start(
        config: RecorderConfig,
        storage: impl TraceStorage,
        stack_bytes: usize,
        on_error: impl FnMut(&str) + Send + 'static,
    ) -> io::Result<(Recorder, RecorderHandle)> {
        let shared = Arc::new(Shared {
            ring: ArrayQueue::new(RING_CAPACITY),
            ring_overflows: AtomicU64::new(0),
            lost_records: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
        });
        let worker = RecorderThread::new(config, storage, shared.clone(), on_error);
        let builder = thread::Builder::new().name("trace".into()).stack_size(stack_bytes);
        let thread = builder.spawn(move || worker.run())?;
        Ok((Recorder(shared.clone()), RecorderHandle { shared, thread }))
    }

    /// Queues the record of a request. Never blocks; a full ring drops it.
    pub fn record_request(&self, record: &RequestRecord) {
        self.push(Item::Request(*record));
    }
    /// Queues a state change at `at` (s, Unix). Never blocks; a full ring drops it.
    pub fn record_note(&self, at: f64, topic: Topic, value: f64) {
        self.push(Item::Note { at, topic, value: value as f32 });
    }
    fn push(&self, item: Item) {
        if self.0.ring.push(item).is_err() {
            self.0.ring_overflows.fetch_add(1, Ordering::Relaxed);
        }
    }
    /// Returns the number of records lost so far.
    pub fn lost_records(&self) -> u64 {
        self.0.lost_records.load(Ordering::Relaxed) + self.0.ring_overflows.load(Ordering::Relaxed)
    }
}

impl RecorderHandle {
    /// Writes pending records and seals the file. Returns after `timeout` at the latest, so that a hanging disk cannot
    /// block the caller.
    pub fn shutdown(self, timeout: Duration) {
        self.shared.shutting_down.store(true, Ordering::Release);
        self.thread.thread().unpark();
        let started = Instant::now();
        while !self.thread.is_finished() && started.elapsed() < timeout {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// State of the recorder thread.
struct RecorderThread<P, C> {
    rotation: Rotation,
    storage: P,
    on_error: C,
    shared: Arc<Shared>,
    config: RecorderConfig,
    names: Names,
    node: u32,
    products: Vec<u32>,
    customers: Vec<u32>,
    rows: Vec<Row>,
    notes: Vec<Note>,
    out: Option<(String, Writer<Box<dyn Write + Send>>)>,
    file_count: u32,
}

fn unix_now() -> f64 {
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
    fn new(
        config: RecorderConfig,
        mut storage: P,
        shared: Arc<Shared>,
        mut on_error: C,
    ) -> RecorderThread<P, C> {
        let mut names = Names::default();
        let files = storage.list().unwrap_or_else(|e| {
            on_error(&format!("trace: cannot list the trace directory: {e}"));
            Vec::new()
        });
        RecorderThread {
            rotation: Rotation::new(config.limits.clone(), files),
            node: names.intern(&config.node),
            products: config.products.iter().map(|product| names.intern_product(product)).collect(),
            customers: config.customers.iter().map(|customer| names.intern(customer)).collect(),
            names,
            storage,
            on_error,
            shared,
            config,
            rows: Vec::new(),
            notes: Vec::new(),
            out: None,
            file_count: 0,
        }
    }

    fn run(mut self) {
        // Steps of the wall clock must not delay or hasten file actions.
        let (started, started_unix) = (Instant::now(), unix_now());
        loop {
            let shutting_down = self.shared.shutting_down.load(Ordering::Acquire);
            let now = started_unix + started.elapsed().as_secs_f64();
            let ring_has_more = self.drain_ring(now);
            if shutting_down && !ring_has_more {
                self.rotation.begin_shutdown();
            }
            while let Some(action) = self.rotation.next_action(now) {
                self.perform(now, action);
            }
            self.shared.lost_records.store(self.rotation.dropped, Ordering::Relaxed);
            if shutting_down && !ring_has_more && self.rotation.is_finished(now) {
                return;
            }
            if !ring_has_more {
                thread::park_timeout(IDLE_POLL_INTERVAL);
            }
        }
    }

    /// Moves records from the ring until a file action is due. Returns `false` once the ring is empty.
    fn drain_ring(&mut self, now: f64) -> bool {
        self.rotation.add_lost(self.shared.ring_overflows.swap(0, Ordering::Relaxed));
        while self.rotation.next_action(now).is_none() {
            let Some(item) = self.shared.ring.pop() else { return false };
            if let Item::Request(record) = &item {
                if !self.is_sampled(record) {
                    continue;
                }
            }
            if !self.rotation.admit(now) {
                continue;
            }
            match item {
                Item::Request(record) => {
                    let row = self.row(&record);
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
    fn is_sampled(&self, record: &RequestRecord) -> bool {
        let sample_key = record.key.as_ref().map_or(&record.name[..], |key| &key[..]);
        self.config.sample <= 1
            || keyed_hash(&self.config.key, sample_key).is_multiple_of(u64::from(self.config.sample))
    }

    fn row(&mut self, record: &RequestRecord) -> Row {
        let count = usize::from(record.step_count);
        let number = |index: usize, numbers: &[u32], names: &mut Names| {
            numbers.get(index).copied().unwrap_or_else(|| names.intern(""))
        };
        Row {
            read: (record.read * 1e6) as i64,
            unread: micros(record.unread),
            node: self.node,
            product: self.products.get(usize::from(record.product)).copied().unwrap_or(0),
            customer: number(record.customer as usize, &self.customers, &mut self.names),
            caller: record.caller,
            rank: (record.rank * 64.0) as u8,
            hint: micros(record.hint),
            memory: (record.memory * 1024.0).clamp(0.0, f64::from(u32::MAX)) as u32,
            flags: if record.repeat { REPEAT } else { 0 } | if record.last { LAST } else { 0 },
            name: keyed_hash(&self.config.key, &record.name) as u32,
            key: record.key.map_or(0, |key| request_key_hash(&self.config.key, &key)),
            keep_off: (record.keep_off * 1e3).ceil().clamp(0.0, f64::from(u32::MAX)) as u32,
            path: self.names.intern_path(&record.steps[..count]),
            spans: record.spans[..count].iter().copied().collect(),
        }
    }

    fn perform(&mut self, now: f64, action: Action) {
        match action {
            Action::OpenFile => {
                let opened = self.open(now);
                let bytes = self.report_failure(opened, "cannot create a trace file");
                self.rotation.opened(now, bytes);
            }
            Action::WriteBlock => {
                let lost = self.rotation.take_unreported();
                if lost > 0 {
                    let (at, topic) = ((now * 1e6) as i64, Topic::DROPPED);
                    self.notes.push(Note { at, node: self.node, topic, value: lost as f32 });
                }
                let wrote = self.write();
                let bytes = self.report_failure(wrote, "cannot write a block");
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
                let result = out.seal().map(|_| bytes);
                let sealed = self.report_failure(result, "cannot seal the trace file").is_some();
                self.rotation.closed(now, StoredFile { name, bytes }, sealed);
            }
            Action::AbandonFile => {
                let (name, bytes) =
                    self.out.take().map_or((String::new(), 0), |(name, out)| (name, out.len()));
                self.rotation.closed(now, StoredFile { name, bytes }, true);
            }
            Action::RemoveFile(name) => {
                let removed = self.storage.remove(&name).or_else(|e| match e.kind() {
                    io::ErrorKind::NotFound => Ok(()),
                    _ => Err(e),
                });
                self.report_failure(removed, "cannot delete the oldest trace file");
                self.rotation.removed();
            }
        }
    }

    fn open(&mut self, now: f64) -> io::Result<u64> {
        self.file_count += 1;
        let name = format!("{}-{:010}-{:04}.trace", self.config.node, now as u64, self.file_count);
        let out = self.storage.create(&name)?;
        let meta = FileMetadata { node: self.config.node.clone(), created: (now * 1e6) as i64 };
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
    fn report_failure<T>(&mut self, result: io::Result<T>, context: &str) -> Option<T> {
        result
            .map_err(|e| {
                if self.rotation.failures() == 0 {
                    (self.on_error)(&format!("trace: {context}: {e}"));
                }
            })
            .ok()
    }
}
