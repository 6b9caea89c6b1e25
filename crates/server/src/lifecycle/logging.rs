//! The log goes out through a thread of its own: whoever stops reading it must not stop the server.

use super::error::StartError;
use crate::limits::Limits;
use puffinladder_settings::{LogFormat, LogSettings};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, Instant};
use tracing_subscriber::EnvFilter;

/// The levels where nobody says otherwise.
const DEFAULT_FILTER: &str = "info,may=warn";
/// The longest that the process waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Lines that were queued.
static QUEUED: AtomicU64 = AtomicU64::new(0);
/// Lines that were written.
static WRITTEN: AtomicU64 = AtomicU64::new(0);
/// Lines that were lost because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Where the logger writes, one line at a time.
#[derive(Clone)]
struct LineQueue(SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.0.try_send(line.to_vec()) {
            Ok(()) => QUEUED.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed)
            }
        };
        Ok(line.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard error. `RUST_LOG` wins over the settings' filter.
pub fn start(limits: &Limits, log: &LogSettings) -> Result<(), StartError> {
    let (queue, lines) = sync_channel::<Vec<u8>>(limits.max_queued_log_lines);
    let writer = thread::Builder::new().name("log".into()).stack_size(limits.thread_stack_bytes);
    writer.spawn(move || write_lines(lines)).map_err(StartError::Thread)?;
    let filter = std::env::var("RUST_LOG").ok().or_else(|| log.filter.clone());
    let filter = EnvFilter::builder().parse_lossy(filter.as_deref().unwrap_or(DEFAULT_FILTER));
    let logger = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false);
    let logger = logger.with_writer(move || LineQueue(queue.clone()));
    match log.format {
        LogFormat::Text => logger.try_init(),
        LogFormat::Json => logger.json().flatten_event(true).try_init(),
    }
    .map_err(StartError::Log)
}

fn write_lines(lines: Receiver<Vec<u8>>) {
    for line in lines {
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        let notice = if dropped > 0 {
            format!("log: {dropped} lines lost here, nobody read\n")
        } else {
            String::new()
        };
        // A log that can't be written is no reason to stop.
        let _ = io::stderr().write_all(notice.as_bytes()).and_then(|()| io::stderr().write_all(&line));
        WRITTEN.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits for the last lines before the process ends, though not for long.
pub fn flush() {
    let started = Instant::now();
    while WRITTEN.load(Ordering::Relaxed) < QUEUED.load(Ordering::Relaxed)
        && started.elapsed() < FLUSH_TIMEOUT
    {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}
