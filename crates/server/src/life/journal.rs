//! The log goes out through a thread of its own: whoever stops reading it must not stop the server.

use crate::limits::Limits;
use puffinladder_settings::{LogFormat, LogSettings};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, Instant};
use tracing_subscriber::EnvFilter;

/// Lines handed in, written, and left out because the queue was full.
static TAKEN: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);
static LOST: AtomicU64 = AtomicU64::new(0);

/// Where the logger writes, one line at a time.
#[derive(Clone)]
struct Queue(SyncSender<Vec<u8>>);

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.0.try_send(line.to_vec()) {
            Ok(()) => TAKEN.fetch_add(1, Ordering::Relaxed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                LOST.fetch_add(1, Ordering::Relaxed)
            }
        };
        Ok(line.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The levels where nobody says otherwise.
const LEVELS: &str = "info,may=warn";

/// Starts logging to standard error. `RUST_LOG` wins over the settings' filter.
pub fn start(limits: &Limits, log: &LogSettings) -> Result<(), String> {
    let (queue, lines) = sync_channel::<Vec<u8>>(limits.log_lines);
    let writer = thread::Builder::new().name("log".into()).stack_size(limits.stack_thread);
    let write = move || {
        for line in lines {
            let lost = LOST.swap(0, Ordering::Relaxed);
            let note =
                if lost > 0 { format!("log: {lost} lines lost here, nobody read\n") } else { String::new() };
            // A log that can't be written is no reason to stop.
            let _ = io::stderr().write_all(note.as_bytes()).and_then(|()| io::stderr().write_all(&line));
            WRITTEN.fetch_add(1, Ordering::Relaxed);
        }
    };
    writer.spawn(write).map_err(|e| format!("no thread: {e}"))?;
    let levels = std::env::var("RUST_LOG").ok().or_else(|| log.filter.clone());
    let levels = EnvFilter::builder().parse_lossy(levels.as_deref().unwrap_or(LEVELS));
    let logger = tracing_subscriber::fmt().with_env_filter(levels).with_ansi(false);
    let logger = logger.with_writer(move || Queue(queue.clone()));
    match log.format {
        LogFormat::Text => logger.try_init(),
        LogFormat::Json => logger.json().flatten_event(true).try_init(),
    }
    .map_err(|e| format!("no log: {e}"))
}

/// Waits for the last lines before the process ends, though not for long.
pub fn end() {
    let begun = Instant::now();
    while WRITTEN.load(Ordering::Relaxed) < TAKEN.load(Ordering::Relaxed)
        && begun.elapsed() < Duration::from_millis(100)
    {
        thread::sleep(Duration::from_millis(1));
    }
}
