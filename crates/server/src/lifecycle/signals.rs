//! Signals, received through a pipe: a handler raises its flag, then writes a byte, and one thread waits for the byte.
//! signal-hook's own iterator does the same over a pair of Unix sockets, and this process is to hold none.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};
use std::io::{self, ErrorKind, PipeReader, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Bytes that are read from the pipe at once.
const PIPE_READ_BYTES: usize = 64;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Drain and end. The time to the kill begins to run, which is why this one is handled first.
    Drain,
    /// Read the configuration anew.
    Reload,
}

/// The signals that are handled, in the order in which those that came together are.
const ACTIONS: [(i32, SignalAction); 3] =
    [(SIGTERM, SignalAction::Drain), (SIGINT, SignalAction::Drain), (SIGHUP, SignalAction::Reload)];

/// A signal's flag.
struct SignalFlag {
    action: SignalAction,
    flag: Arc<AtomicBool>,
}

/// Receives signals.
pub struct SignalListener {
    flags: Vec<SignalFlag>,
    pipe: PipeReader,
}

impl SignalListener {
    /// From here on none of the signals ends the process; what comes before anybody listens waits in the pipe.
    pub fn register() -> io::Result<SignalListener> {
        let (pipe, writer) = io::pipe()?;
        let mut flags = Vec::new();
        for (signal, action) in ACTIONS {
            let flag = Arc::new(AtomicBool::new(false));
            flag::register(signal, flag.clone())?;
            // Behind the flag: whoever reads the byte finds it raised. A full pipe has bytes enough to wake by.
            low_level::pipe::register(signal, writer.try_clone()?)?;
            flags.push(SignalFlag { action, flag });
        }
        Ok(SignalListener { flags, pipe })
    }

    /// Hands on what comes, one of a kind for any number that came together, until the pipe fails.
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
