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
    room: Option<usize>,
    stands_still: bool,
    removed: usize,
}

#[derive(Clone, Default)]
struct Shelf(Arc<(Mutex<Disk>, Condvar)>);

impl Shelf {
    fn with<T>(&self, change: impl FnOnce(&mut Disk) -> T) -> T {
        let changed = change(&mut self.0 .0.lock().unwrap());
        self.0 .1.notify_all();
        changed
    }
    /// Waits until the disk is in the wanted state.
    fn until(&self, what: &str, wanted: impl Fn(&Disk) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        let mut disk = self.0 .0.lock().unwrap();
        while !wanted(&disk) {
            assert!(Instant::now() < end, "timed out waiting for {what}");
            disk = self.0 .1.wait_timeout(disk, Duration::from_millis(20)).unwrap().0;
        }
    }
}

impl TraceStorage for Shelf {
    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        Ok(Vec::new())
    }
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Write + Send>> {
        let at = self.with(|disk| {
            disk.files.push((name.into(), Vec::new()));
            disk.files.len() - 1
        });
        Ok(Box::new(Sheet(self.clone(), at)))
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

struct Sheet(Shelf, usize);

impl Write for Sheet {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.until("the disk to respond", |disk| !disk.stands_still);
        self.0.with(|disk| {
            let len = disk.room.map_or(bytes.len(), |room| room.min(bytes.len()));
            if len == 0 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            disk.room = disk.room.map(|room| room - len);
            disk.files[self.1].1.extend(&bytes[..len]);
            Ok(len)
        })
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn told(rows: usize) -> RecorderConfig {
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

fn put(recorder: &Recorder, from: u32, count: u32) {
    for caller in from..from + count {
        let mut entry = RequestRecord::new(1000.0 + f64::from(caller), [b'0'; 16]);
        entry.caller = caller;
        entry.add_step(1001.0 + f64::from(caller), Step::SETTLED);
        recorder.record_request(&entry);
    }
}

/// Returns the readable rows, the reported drops and the torn files.
fn found(shelf: &Shelf) -> (usize, f64, usize) {
    let files = shelf.with(|disk| disk.files.clone());
    let (mut rows, mut dropped, mut torn) = (0, 0.0, 0);
    for (_, bytes) in files.iter().filter(|file| !file.1.is_empty()) {
        let mut trace = open(bytes);
        torn += usize::from(!trace.sealed);
        rows += readable(&mut trace).0.len();
        let told = notes(&mut trace, &mut Names::default(), &Selection::default(), &mut Vec::new()).unwrap();
        dropped += told.iter().filter(|n| n.topic == Topic::DROPPED).map(|n| f64::from(n.value)).sum::<f64>();
    }
    (rows, dropped, torn)
}

#[test]
fn all_that_is_recorded_lies_in_a_sealed_file_at_the_end() {
    let shelf = Shelf::default();
    let (recorder, running) = Recorder::start(told(100), shelf.clone(), 1 << 20, |_| {}).unwrap();
    put(&recorder, 0, 250);
    running.shutdown(Duration::from_secs(20));
    assert_eq!(found(&shelf), (250, 0.0, 0));
    assert_eq!(recorder.lost_records(), 0);
}

#[test]
fn a_full_disk_costs_whole_records_which_are_counted_in_the_next_file() {
    let shelf = Shelf::default();
    let said = Arc::new(Mutex::new(Vec::new()));
    let heard = said.clone();
    let complain = move |line: &str| heard.lock().unwrap().push(line.to_owned());
    let (recorder, running) = Recorder::start(told(50), shelf.clone(), 1 << 20, complain).unwrap();
    put(&recorder, 0, 50);
    shelf.until("the first block", |disk| disk.files.first().is_some_and(|file| file.1.len() > 100));
    shelf.with(|disk| disk.room = Some(40));
    put(&recorder, 50, 50);
    shelf.until("the disk to fill up", |disk| disk.room == Some(0));
    // Exceeds the two pending blocks, so that the other records are dropped at once.
    put(&recorder, 100, 300);
    let end = Instant::now() + Duration::from_secs(20);
    while recorder.lost_records() < 250 {
        assert!(Instant::now() < end, "lost {}", recorder.lost_records());
        std::thread::sleep(Duration::from_millis(5));
    }
    // A file header fits, a block does not: the count of lost records must survive the failed block.
    shelf.with(|disk| disk.room = Some(60));
    shelf.until("the disk to fill up again", |disk| disk.room == Some(0));
    shelf.with(|disk| disk.room = None);
    put(&recorder, 400, 50);
    shelf.until("the third file", |disk| disk.files.len() > 2 && disk.files[2].1.len() > 100);
    put(&recorder, 450, 10);
    running.shutdown(Duration::from_secs(20));
    let (rows, dropped, torn) = found(&shelf);
    assert_eq!((rows + dropped as usize, torn), (460, 2), "{rows} rows, {dropped} dropped");
    assert_eq!(dropped as u64, recorder.lost_records());
    assert_eq!(said.lock().unwrap().len(), 1, "{said:?}");
}

#[test]
fn a_disk_that_stands_still_stops_nobody_and_what_the_ring_cannot_hold_is_counted() {
    let shelf = Shelf::default();
    shelf.with(|disk| disk.stands_still = true);
    let (recorder, running) = Recorder::start(told(50), shelf.clone(), 1 << 20, |_| {}).unwrap();
    // Far more than the ring holds: a blocking call would hang the test.
    put(&recorder, 0, 10_000);
    assert!(recorder.lost_records() > 0);
    shelf.with(|disk| disk.stands_still = false);
    running.shutdown(Duration::from_secs(20));
    let (rows, dropped, torn) = found(&shelf);
    assert_eq!((rows + dropped as usize, torn), (10_000, 0), "{rows} rows, {dropped} dropped");
}

#[test]
fn a_disk_that_never_answers_does_not_hold_up_the_end() {
    let shelf = Shelf::default();
    shelf.with(|disk| disk.stands_still = true);
    let (recorder, running) = Recorder::start(told(50), shelf.clone(), 1 << 20, |_| {}).unwrap();
    put(&recorder, 0, 60);
    running.shutdown(Duration::from_millis(50));
    shelf.with(|disk| disk.stands_still = false);
}

#[test]
fn old_files_make_room_and_a_sample_keeps_all_tries_of_a_key_or_none() {
    let shelf = Shelf::default();
    let mut few = told(20);
    few.limits = RotationLimits { max_file_bytes: 1, max_files: 3, ..few.limits };
    few.sample = 4;
    let (recorder, running) = Recorder::start(few, shelf.clone(), 1 << 20, |_| {}).unwrap();
    for at in 0..400u32 {
        let mut entry = RequestRecord::new(1000.0 + f64::from(at), [b'0'; 16]);
        (entry.key, entry.caller) = (Some([(at / 4) as u8; 32]), at / 4);
        entry.add_step(entry.read, Step::SETTLED);
        recorder.record_request(&entry);
        if at % 40 == 0 {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    running.shutdown(Duration::from_secs(20));
    let files = shelf.with(|disk| disk.files.clone());
    let mut names = Names::default();
    let mut rows = Vec::new();
    let lying = files.iter().filter(|file| !file.1.is_empty()).count();
    for (_, bytes) in files.iter().filter(|file| !file.1.is_empty()) {
        let mut trace = open(bytes);
        for entry in common::blocks(&trace) {
            trace.rows(&entry, &mut names, &mut rows).unwrap();
        }
    }
    assert!(lying <= 3 && shelf.with(|disk| disk.removed) + lying == files.len());
    let mut tries = std::collections::BTreeMap::new();
    rows.iter().for_each(|row| *tries.entry(row.caller).or_insert(0) += 1);
    assert!(!tries.is_empty() && tries.len() < 60, "{tries:?}");
}
