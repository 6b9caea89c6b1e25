//! Signals, heard through a pipe: a handler raises its flag, then writes a byte, and one thread waits for the byte.
//! signal-hook's own iterator does the same over a pair of Unix sockets, and this process is to hold none.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};
use std::io::{self, ErrorKind, PipeReader, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The time of the kill begins to run, which is why this one is heard first.
    Leave,
    Reload,
}

const HEARD: [(i32, Notice); 3] =
    [(SIGTERM, Notice::Leave), (SIGINT, Notice::Leave), (SIGHUP, Notice::Reload)];

pub struct Signals {
    raised: Vec<(Notice, Arc<AtomicBool>)>,
    pipe: PipeReader,
}

impl Signals {
    /// From here on none of them ends the process; what comes before anybody listens waits in the pipe.
    pub fn new() -> io::Result<Signals> {
        let (pipe, bell) = io::pipe()?;
        let mut raised = Vec::new();
        for (signal, notice) in HEARD {
            let told = Arc::new(AtomicBool::new(false));
            flag::register(signal, told.clone())?;
            // Behind the flag: whoever reads the byte finds it raised. A full pipe has bytes enough to wake by.
            low_level::pipe::register(signal, bell.try_clone()?)?;
            raised.push((notice, told));
        }
        Ok(Signals { raised, pipe })
    }

    /// Hands on what comes, one of a kind for any number that came together, until the pipe fails.
    pub fn listen(mut self, mut heed: impl FnMut(Notice)) -> io::Error {
        let mut bytes = [0; 64];
        loop {
            match self.pipe.read(&mut bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return e,
                Ok(0) => return ErrorKind::UnexpectedEof.into(),
                Ok(_) => {}
            }
            for (notice, told) in &self.raised {
                if told.swap(false, Ordering::AcqRel) {
                    heed(*notice);
                }
            }
        }
    }
}
