//! Inputs and outputs of trace commands: files and standard streams. An output file appears only once it is complete.

use crate::terminal::{CommandError, CommandResult};
use puffinladder_trace::Trace;
use std::fs::File;
use std::io::{self, BufWriter, Read, Seek, Write};
use std::path::{Path, PathBuf};

/// Readable and seekable input of a trace.
pub trait Source: Read + Seek {}
impl<T: Read + Seek> Source for T {}

pub type Opened = Trace<Box<dyn Source>>;

/// Opens a trace; `-` is standard input, which is copied to a temporary file, since a trace is read from its end.
pub fn open(name: &str) -> CommandResult<Opened> {
    let source: Box<dyn Source> = if name == "-" {
        let mut spool = tempfile::tempfile()?;
        io::copy(&mut io::stdin().lock(), &mut spool)?;
        Box::new(spool)
    } else {
        Box::new(File::open(name).map_err(|e| CommandError::Failed(format!("{name}: {e}")))?)
    };
    Trace::open(source).map_err(|fault| CommandError::from(fault).with_context(name))
}

/// Output stream; a file is written under a temporary name and renamed by [`Output::finish`].
pub enum Output {
    Stdout(BufWriter<io::Stdout>),
    File { file: BufWriter<File>, part: PathBuf, path: PathBuf },
}

impl Output {
    pub fn new(name: &str) -> CommandResult<Output> {
        if name == "-" {
            return Ok(Output::Stdout(BufWriter::with_capacity(1 << 20, io::stdout())));
        }
        let path = PathBuf::from(name);
        let mut part = path.clone().into_os_string();
        part.push(format!(".{}.part", std::process::id()));
        let part = PathBuf::from(part);
        let file = File::create(&part).map_err(|e| CommandError::Failed(format!("{name}: {e}")))?;
        Ok(Output::File { file: BufWriter::with_capacity(1 << 20, file), part, path })
    }

    /// Flushes the output and renames the file to its name.
    pub fn finish(mut self) -> CommandResult {
        self.flush()?;
        if let Output::File { part, path, .. } = &mut self {
            std::fs::rename(&*part, &*path)?;
            *part = PathBuf::new();
        }
        Ok(())
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        if let Output::File { part, .. } = self {
            if !part.as_os_str().is_empty() {
                let _ = std::fs::remove_file(part);
            }
        }
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Output::Stdout(out) => out.write(bytes),
            Output::File { file, .. } => file.write(bytes),
        }
    }
    fn flush(&mut self) -> io::Result<()> {
        match self {
            Output::Stdout(out) => out.flush(),
            Output::File { file, .. } => file.flush(),
        }
    }
}

/// Returns a usage error if the output is one of the inputs.
pub fn reject_overwrite(inputs: &[&str], out: &str) -> CommandResult {
    let real = |name: &str| Path::new(name).canonicalize().ok();
    match inputs.iter().find(|name| out != "-" && real(name).is_some() && real(name) == real(out)) {
        Some(name) => Err(CommandError::Usage(format!("{name}: is an input and can't be the output too"))),
        None => Ok(()),
    }
}
