//! Logging to standard error through a bounded queue and a writer thread, so that a blocked reader cannot stall the
//! server.

use super::error::StartError;
use crate::limits::Limits;
use puffinladder_settings::{LogFormat, LogSettings};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, Instant};
use tracing_subscriber::EnvFilter;

/// Filter used if neither `RUST_LOG` nor the settings specify one.
const DEFAULT_FILTER: &str = "info,may=warn";
/// Maximum wait for queued lines at exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);
/// Number of lines dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writer that queues each line.
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

/// Starts logging to standard error. `RUST_LOG` overrides the filter of the settings.
///
/// # Errors
///
/// Fails if the writer thread cannot be started or a logger is already installed.
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
            format!("log: {dropped} lines dropped, standard error was not read\n")
        } else {
            String::new()
        };
        // A failure to write the log must not stop the server.
        let _ = io::stderr().write_all(notice.as_bytes()).and_then(|()| io::stderr().write_all(&line));
        WRITTEN.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits until queued lines are written, up to `FLUSH_TIMEOUT`.
pub fn flush() {
    let started = Instant::now();
    while WRITTEN.load(Ordering::Relaxed) < QUEUED.load(Ordering::Relaxed)
        && started.elapsed() < FLUSH_TIMEOUT
    {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}
