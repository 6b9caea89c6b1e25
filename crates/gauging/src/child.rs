//! A role's process: a child of this one with its output in files, which is killed when it is dropped.

use crate::usage::Usage;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than any role should take to come up, or to settle at its largest size.
pub const PATIENCE: Duration = Duration::from_secs(90);
/// Between looks at what a process has written.
const LOOK: Duration = Duration::from_millis(10);
/// Lines of its log that a fault shows, and bytes that are read of its end.
const SHOWN: usize = 5;
const END: usize = 64 << 10;

pub struct Child {
    process: Process,
    pub name: String,
    log: PathBuf,
    out: PathBuf,
}

impl Child {
    /// Starts the program; log and standard output go to files in the folder.
    pub fn start(program: &Path, args: &[String], name: &str, folder: &Path) -> Result<Child, String> {
        let (log, out) = (folder.join(format!("{name}.log")), folder.join(format!("{name}.out")));
        let file = |path: &Path| File::create(path).map_err(|e| format!("{}: {e}", path.display()));
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(file(&out)?).stderr(file(&log)?);
        // What the operator's own shell says is not what is measured.
        for name in
            ["BALANCER_CONFIG", "BALANCER_NAME", "BALANCER_LISTEN", "PUFFINLADDER_SETTINGS", "RUST_LOG"]
        {
            command.env_remove(name);
        }
        let process = command.spawn().map_err(|e| format!("{name}: {}: {e}", program.display()))?;
        Ok(Child { process, name: name.into(), log, out })
    }

    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Waits for a line of the log, or of standard output, that `find` finds something in.
    pub async fn says<T>(&mut self, what: &str, find: impl Fn(&str) -> Option<T>) -> Result<T, String> {
        let begun = Instant::now();
        loop {
            for path in [&self.log, &self.out] {
                let text = std::fs::read(path).unwrap_or_default();
                if let Some(found) = String::from_utf8_lossy(&text).lines().find_map(&find) {
                    return Ok(found);
                }
            }
            self.lives()?;
            if begun.elapsed() > PATIENCE {
                return Err(self.fault(&format!("waited in vain for {what}")));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Whole lines of its standard output so far.
    pub fn output(&self) -> Vec<String> {
        let text = std::fs::read(&self.out).unwrap_or_default();
        let whole = text.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
        String::from_utf8_lossy(&text[..whole]).lines().map(str::to_owned).collect()
    }

    /// What it has used by now; an error that shows its log if it is gone.
    pub fn usage(&self) -> Result<Usage, String> {
        Usage::of(self.id()).map_err(|what| self.fault(&what))
    }

    /// That it has not ended.
    pub fn lives(&mut self) -> Result<(), String> {
        match self.process.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => Err(self.fault(&format!("ended: {status}"))),
            Err(e) => Err(self.fault(&e.to_string())),
        }
    }

    /// What is wrong with it, and how its log ends.
    pub fn fault(&self, what: &str) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes[bytes.len().saturating_sub(END)..]).into_owned();
        let lines: Vec<&str> = text.lines().collect();
        let last = lines[lines.len().saturating_sub(SHOWN)..].join("\n  ");
        match last.is_empty() {
            true => format!("{}: {what}; its log is empty", self.name),
            false => format!("{}: {what}; its log ends:\n  {last}", self.name),
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Looks again and again until something is found, within the bound; whoever is waited on must live.
pub async fn until<T>(
    what: &str,
    children: &mut [&mut Child],
    mut find: impl AsyncFnMut() -> Option<T>,
) -> Result<T, String> {
    let begun = Instant::now();
    loop {
        if let Some(found) = find().await {
            return Ok(found);
        }
        for child in children.iter_mut() {
            child.lives()?;
        }
        if begun.elapsed() > PATIENCE {
            let faults: Vec<String> = children.iter().map(|child| child.fault("still runs")).collect();
            return Err(format!("waited in vain for {what}; {}", faults.join("; ")));
        }
        tokio::time::sleep(LOOK).await;
    }
}
