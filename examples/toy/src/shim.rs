//! A library that is preloaded into a server process to step its wall clock and to fail its system calls.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// State of the faults of one process, in the layout that the library reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemFaults {
    /// Offset of the wall clock, in milliseconds; whole seconds count.
    pub clock_step_ms: i64,
    /// One in this many system calls on sockets fails or is cut short; 0 for none.
    pub fail_one_in: u32,
    pub seed: u32,
    /// If not 0, only accepts fail, with this error number.
    pub accept_error: u32,
    /// One in this many reads and writes on connections that the process has opened finds the connection broken, with
    /// ETIMEDOUT or EHOSTUNREACH; 0 for none.
    pub break_one_in: u32,
    /// If not 0, writes and syncs of files fail with this error number.
    pub disk_error: u32,
}

/// The library, compiled from a source file, and its control file for one process.
pub struct Shim {
    library: PathBuf,
    control: PathBuf,
}

impl Shim {
    /// Compiles the library from `source` into `folder`. Panics if the C compiler fails.
    pub fn compile(source: &Path, folder: &Path) -> Shim {
        static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
        let name = format!("shim-{}-{}", std::process::id(), NEXT_FILE.fetch_add(1, Ordering::Relaxed));
        let (library, control) = (folder.join(format!("{name}.so")), folder.join(format!("{name}.control")));
        let compiler =
            Command::new("cc").args(["-O1", "-shared", "-fPIC", "-o"]).arg(&library).arg(source).status();
        assert!(compiler.expect("cc can be run").success(), "{} does not compile", source.display());
        let shim = Shim { library, control };
        shim.set(SystemFaults::default());
        shim
    }

    /// Returns the command line that starts `program` with the library loaded.
    pub fn command_line(&self, program: &[&str]) -> Vec<String> {
        let preload = format!("LD_PRELOAD={}", self.library.display());
        let control = format!("SHIM_CONTROL={}", self.control.display());
        ["env".to_owned(), preload, control]
            .into_iter()
            .chain(program.iter().map(|&word| word.to_owned()))
            .collect()
    }

    /// Sets the faults of the process.
    pub fn set(&self, faults: SystemFaults) {
        let mut bytes = faults.clock_step_ms.to_le_bytes().to_vec();
        bytes.extend(faults.fail_one_in.to_le_bytes());
        bytes.extend(faults.seed.to_le_bytes());
        bytes.extend(faults.accept_error.to_le_bytes());
        bytes.extend(faults.break_one_in.to_le_bytes());
        bytes.extend(faults.disk_error.to_le_bytes());
        // The file keeps its place on disk, which the process has mapped.
        let file = fs::OpenOptions::new().write(true).create(true).truncate(false).open(&self.control);
        let written = file.and_then(|mut file| std::io::Write::write_all(&mut file, &bytes));
        written.expect("the control file can be written");
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.library);
        let _ = fs::remove_file(&self.control);
    }
}
