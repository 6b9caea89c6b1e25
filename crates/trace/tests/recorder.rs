//! The recorder on disks that fill up, hang or recover.

mod common;

use common::{open, readable};
use puffinladder_trace::recorder::rotation::{RotationLimits, StoredFile};
use puffinladder_trace::recorder::{Recorder, RecorderConfig, RequestRecord, TraceStorage};
use puffinladder_trace::row::{Names, Step, Topic};
use puffinladder_trace::tools::{notes, Selection};
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Simulated disk.
#[derive(Default)]
struct Disk {
    files: Vec<(String, Vec<u8>)>,
    /// Free bytes; `None` for no limit.
    free_bytes: Option<usize>,
    hangs: bool,
    removed: usize,
}

#[derive(Clone, Default)]
struct SharedDisk(Arc<(Mutex<Disk>, Condvar)>);

impl SharedDisk {
    fn with<T>(&self, change: impl FnOnce(&mut Disk) -> T) -> T {
        let changed = change(&mut self.0 .0.lock().unwrap());
        self.0 .1.notify_all();
        changed
    }
    /// Waits until the disk is in the wanted state.
    fn until(&self, state: &str, wanted: impl Fn(&Disk) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        let mut disk = self.0 .0.lock().unwrap();
        while !wanted(&disk) {
            assert!(Instant::now() < end, "timed out waiting for {state}");
            disk = self.0 .1.wait_timeout(disk, Duration::from_millis(20)).unwrap().0;
        }
    }
}

impl TraceStorage for SharedDisk {
    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        Ok(Vec::new())
    }
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>> {
        let at = self.with(|disk| {
            disk.files.push((name.into(), Vec::new()));
            disk.files.len() - 1
        });
        Ok(Box::new(DiskFile(self.clone(), at)))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.with(|disk| {
            disk.removed += 1;
            if let Some(file) = disk.files.iter_mut().find(|file| file.0 == name) {
                file.1.clear();
            }
        });
        Ok(())
    }
}

struct DiskFile(SharedDisk, usize);

impl Write for DiskFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.until("the disk to respond", |disk| !disk.hangs);
        self.0.with(|disk| {
            let len = disk.free_bytes.map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
            if len == 0 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            disk.free_bytes = disk.free_bytes.map(|free_bytes| free_bytes - len);
            disk.files[self.1].1.extend(&bytes[..len]);
            Ok(len)
        })
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn config(rows: usize) -> RecorderConfig {
    let limits = RotationLimits { block_rows: rows, max_block_age: 3600.0, ..RotationLimits::default() };
    let product = Default::default();
    RecorderConfig {
        node: "n1".into(),
        limits,
        products: vec![product],
        customers: vec!["k1".into()],
        key: [3; 32],
        sample: 1,
    }
}

fn record(recorder: &Recorder, from: u32, count: u32) {
    for caller in from..from + count {
        let mut record = RequestRecord::new(1000.0 + f64::from(caller), [b'0'; 16]);
        record.caller = caller;
        record.add_step(1001.0 + f64::from(caller), Step::SETTLED);
        recorder.record_request(&record);
    }
}

/// Returns the readable rows, the reported drops and the torn files.
fn totals(disk: &SharedDisk) -> (usize, f64, usize) {
    let files = disk.with(|disk| disk.files.clone());
    let (mut rows, mut dropped, mut torn) = (0, 0.0, 0);
    for (_, bytes) in files.iter().filter(|file| !file.1.is_empty()) {
        let mut trace = open(bytes);
        torn += usize::from(!trace.sealed);
        rows += readable(&mut trace).0.len();
        let notes = notes(&mut trace, &mut Names::default(), &Selection::default(), &mut Vec::new()).unwrap();
        dropped +=
            notes.iter().filter(|n| n.topic == Topic::DROPPED).map(|n| f64::from(n.value)).sum::<f64>();
    }
    (rows, dropped, torn)
}

#[test]
fn records_end_up_in_sealed_file() {
    let disk = SharedDisk::default();
    let (recorder, handle) = Recorder::start(config(100), disk.clone(), 1 << 20, |_| {}).unwrap();
    record(&recorder, 0, 250);
    handle.shutdown(Duration::from_secs(20));
    assert_eq!(totals(&disk), (250, 0.0, 0));
    assert_eq!(recorder.lost_records(), 0);
}

#[test]
fn full_disk_drops_records_and_counts_them_in_next_file() {
    let disk = SharedDisk::default();
    let logged = Arc::new(Mutex::new(Vec::new()));
    let log = logged.clone();
    let on_error = move |line: &str| log.lock().unwrap().push(line.to_owned());
    let (recorder, handle) = Recorder::start(config(50), disk.clone(), 1 << 20, on_error).unwrap();
    record(&recorder, 0, 50);
    disk.until("the first block", |disk| disk.files.first().is_some_and(|file| file.1.len() > 100));
    disk.with(|disk| disk.free_bytes = Some(40));
    record(&recorder, 50, 50);
    disk.until("the disk to fill up", |disk| disk.free_bytes == Some(0));
    // Exceeds the two pending blocks, so that the other records are dropped at once.
    record(&recorder, 100, 300);
    let end = Instant::now() + Duration::from_secs(20);
    while recorder.lost_records() < 250 {
        assert!(Instant::now() < end, "lost {}", recorder.lost_records());
        std::thread::sleep(Duration::from_millis(5));
    }
    // A file header fits, a block does not: the count of lost records must survive the failed block.
    disk.with(|disk| disk.free_bytes = Some(60));
    disk.until("the disk to fill up again", |disk| disk.free_bytes == Some(0));
    disk.with(|disk| disk.free_bytes = None);
    record(&recorder, 400, 50);
    disk.until("the third file", |disk| disk.files.len() > 2 && disk.files[2].1.len() > 100);
    record(&recorder, 450, 10);
    handle.shutdown(Duration::from_secs(20));
    let (rows, dropped, torn) = totals(&disk);
    assert_eq!((rows + dropped as usize, torn), (460, 2), "{rows} rows, {dropped} dropped");
    assert_eq!(dropped as u64, recorder.lost_records());
    assert_eq!(logged.lock().unwrap().len(), 1, "{logged:?}");
}

#[test]
fn hanging_disk_never_blocks_recording_and_drops_are_counted() {
    let disk = SharedDisk::default();
    disk.with(|disk| disk.hangs = true);
    let (recorder, handle) = Recorder::start(config(50), disk.clone(), 1 << 20, |_| {}).unwrap();
    // Far more than the ring holds: a blocking call would hang the test.
    record(&recorder, 0, 10_000);
    assert!(recorder.lost_records() > 0);
    disk.with(|disk| disk.hangs = false);
    handle.shutdown(Duration::from_secs(20));
    let (rows, dropped, torn) = totals(&disk);
    assert_eq!((rows + dropped as usize, torn), (10_000, 0), "{rows} rows, {dropped} dropped");
}

#[test]
fn shutdown_times_out_on_hanging_disk() {
    let disk = SharedDisk::default();
    disk.with(|disk| disk.hangs = true);
    let (recorder, handle) = Recorder::start(config(50), disk.clone(), 1 << 20, |_| {}).unwrap();
    record(&recorder, 0, 60);
    handle.shutdown(Duration::from_millis(50));
    disk.with(|disk| disk.hangs = false);
}

#[test]
fn deletes_old_files_and_samples_attempts_by_key() {
    let disk = SharedDisk::default();
    let mut sampled = config(20);
    sampled.limits = RotationLimits { max_file_bytes: 1, max_files: 3, ..sampled.limits };
    sampled.sample = 4;
    let (recorder, handle) = Recorder::start(sampled, disk.clone(), 1 << 20, |_| {}).unwrap();
    for at in 0..400u32 {
        let mut record = RequestRecord::new(1000.0 + f64::from(at), [b'0'; 16]);
        (record.key, record.caller) = (Some([(at / 4) as u8; 32]), at / 4);
        record.add_step(record.read, Step::SETTLED);
        recorder.record_request(&record);
        if at % 40 == 0 {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    handle.shutdown(Duration::from_secs(20));
    let files = disk.with(|disk| disk.files.clone());
    let mut names = Names::default();
    let mut rows = Vec::new();
    let remaining = files.iter().filter(|file| !file.1.is_empty()).count();
    for (_, bytes) in files.iter().filter(|file| !file.1.is_empty()) {
        let mut trace = open(bytes);
        for entry in common::blocks(&trace) {
            trace.rows(&entry, &mut names, &mut rows).unwrap();
        }
    }
    assert!(remaining <= 3 && disk.with(|disk| disk.removed) + remaining == files.len());
    let mut attempts = std::collections::BTreeMap::new();
    rows.iter().for_each(|row| *attempts.entry(row.caller).or_insert(0) += 1);
    assert!(!attempts.is_empty() && attempts.len() < 60, "{attempts:?}");
}
