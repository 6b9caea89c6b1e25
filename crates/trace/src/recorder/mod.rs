//! Writes a trace beside live traffic. Whoever records puts a fixed-size entry into a bounded ring and goes on: no
//! I/O, no lock, no allocation. A thread of its own takes it out, packs it and keeps the files, as [`rotation`]
//! decides. What it can't keep up with is dropped and counted in the file.

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

/// Entries that wait for the thread: two seconds of a thousand txns each.
const RING: usize = 2048;
/// How long the thread sleeps while nothing comes.
const LOOK: Duration = Duration::from_millis(100);

/// A txn's life, as whoever lives it writes it down.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// s, Unix: when it was read. When it came is told by `unread`, s.
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
    /// us from the step before.
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

    /// Something happened to it at this time. Past the most steps only its last places change: one that says that
    /// there were more, and what it ended with.
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

/// Seconds as microseconds that a row can hold.
fn micros(span: f64) -> u32 {
    (span * 1e6).clamp(0.0, f64::from(u32::MAX)) as u32
}

// A box for the larger kind would be an allocation on the txn's path; the ring is made once.
#[allow(clippy::large_enum_variant)]
enum Item {
    Txn(RequestRecord),
    Note { at: f64, topic: Topic, value: f32 },
}

/// What a recorder is told.
pub struct RecorderConfig {
    pub node: String,
    pub limits: RotationLimits,
    pub products: Vec<Product>,
    pub customers: Vec<String>,
    /// By which names and keys are hashed.
    pub key: [u8; 32],
    /// One txn of so many is kept, all tries under a key alike.
    pub sample: u32,
}

/// Where files are made. The real one is a [`TraceDirectory`]; tests have one that fails on cue.
pub trait TraceStorage: Send + 'static {
    /// Files that lie there, oldest first.
    fn list(&mut self) -> io::Result<Vec<StoredFile>>;
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder in which only files of one prefix are touched.
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
    /// Entries that found the ring full since the thread last looked, and all records lost so far.
    full: AtomicU64,
    lost: AtomicU64,
    ending: AtomicBool,
}

/// The end of the ring that traffic writes to.
#[derive(Clone)]
pub struct Recorder(Arc<Shared>);

/// The thread behind it.
pub struct RecorderHandle {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl Recorder {
    /// Starts to record there. `complain` hears of what fails, as a line.
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
    /// Records lost so far.
    pub fn lost_records(&self) -> u64 {
        self.0.lost.load(Ordering::Relaxed) + self.0.full.load(Ordering::Relaxed)
    }
}

impl RecorderHandle {
    /// Writes what waits and seals the file, in `within` at the most: a disk that hangs must not hold up the end.
    pub fn shutdown(self, within: Duration) {
        self.shared.ending.store(true, Ordering::Release);
        self.thread.thread().unpark();
        let begun = std::time::Instant::now();
        while !self.thread.is_finished() && begun.elapsed() < within {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// The thread's side.
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

/// The hash of a name or key under a key: nobody without it can tell whose it was.
pub fn keyed_hash(key: &[u8; 32], bytes: &[u8]) -> u64 {
    let hash = blake3::keyed_hash(key, bytes);
    hash.as_bytes().first_chunk().map_or(1, |first| u64::from_le_bytes(*first))
}

/// The same for the key of a referenced txn: 48 bits, never 0.
pub fn request_key_hash(key: &[u8; 32], bytes: &[u8]) -> u64 {
    (keyed_hash(key, bytes) >> 16).max(1)
}

impl<P: TraceStorage, C: FnMut(&str)> RecorderThread<P, C> {
    fn new(told: RecorderConfig, mut place: P, shared: Arc<Shared>, mut complain: C) -> RecorderThread<P, C> {
        let mut names = Names::default();
        let files = place.list().unwrap_or_else(|e| {
            complain(&format!("trace: the folder can't be read: {e}"));
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

    /// Takes out what came until there is something to write. Whether more may lie there: the ring holds what comes
    /// meanwhile, and only a disk that can't be written to makes records wait here.
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

    /// All tries under a key are kept, or none.
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
                let bytes = self.failing(opened, "no file could be begun");
                self.rotation.opened(now, bytes);
            }
            Action::WriteBlock => {
                let lost = self.rotation.take_unreported();
                if lost > 0 {
                    let (at, topic) = ((now * 1e6) as i64, Topic::DROPPED);
                    self.notes.push(Note { at, node: self.node, topic, value: lost as f32 });
                }
                let wrote = self.write();
                let bytes = self.failing(wrote, "a block could not be written");
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
                let well = self.failing(sealed, "a file could not be sealed").is_some();
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
                self.failing(removed, "an old file could not be deleted");
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
        let Some((_, out)) = &mut self.out else { return Err(io::Error::other("no file is open")) };
        if !self.rows.is_empty() {
            out.write_block(&file::encode_rows(&self.names, &mut self.rows))?;
        }
        if !self.notes.is_empty() {
            out.write_block(&file::encode_notes(&self.names, &mut self.notes))?;
        }
        out.flush()?;
        Ok(out.len())
    }

    /// Says what failed, once for each time that it began to fail.
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
