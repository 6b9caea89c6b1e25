//! Signal delivery through a self-pipe: a handler sets a flag and writes a byte, and one thread reads the pipe.
//! signal-hook's iterator is not used because it opens Unix sockets, which this process must not do.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};
use std::io::{self, ErrorKind, PipeReader, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Buffer size for reads from the pipe.
const PIPE_READ_BYTES: usize = 64;

/// Action requested by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Drain and exit. Handled first because the time until the kill is running.
    Drain,
    /// Reload the configuration.
    Reload,
}

/// Handled signals, in order of precedence.
const ACTIONS: [(i32, SignalAction); 3] =
    [(SIGTERM, SignalAction::Drain), (SIGINT, SignalAction::Drain), (SIGHUP, SignalAction::Reload)];

/// Flag set by a signal's handler.
struct SignalFlag {
    action: SignalAction,
    flag: Arc<AtomicBool>,
}

/// Receiver of signals.
pub struct SignalListener {
    flags: Vec<SignalFlag>,
    pipe: PipeReader,
}

impl SignalListener {
    /// Registers the handlers. Signals received before [`SignalListener::listen`] stay pending in the pipe.
    ///
    /// # Errors
    ///
    /// Fails if the pipe cannot be created or a handler cannot be registered.
    pub fn register() -> io::Result<SignalListener> {
        let (pipe, writer) = io::pipe()?;
        let mut flags = Vec::new();
        for (signal, action) in ACTIONS {
            let flag = Arc::new(AtomicBool::new(false));
            flag::register(signal, flag.clone())?;
            // Registered after the flag, so that the flag is set when the byte is read. A full pipe may drop the byte,
            // since the bytes in it wake the reader.
            low_level::pipe::register(signal, writer.try_clone()?)?;
            flags.push(SignalFlag { action, flag });
        }
        Ok(SignalListener { flags, pipe })
    }

    /// Calls `handle` for each received signal, coalescing repeats, until reading the pipe fails. Returns that error.
    pub fn listen(mut self, mut handle: impl FnMut(SignalAction)) -> io::Error {
        let mut bytes = [0; PIPE_READ_BYTES];
        loop {
            match self.pipe.read(&mut bytes) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return error,
                Ok(0) => return ErrorKind::UnexpectedEof.into(),
                Ok(_) => {}
            }
            for signal in &self.flags {
                if signal.flag.swap(false, Ordering::AcqRel) {
                    handle(signal.action);
                }
            }
        }
    }
}
