//! Child process of the program under test: started, paused, resumed, terminated and killed by its own id. Events on its standard output go
//! into a channel, its log into a file.

use puffinladder_leases::protocol::Event;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use tokio::sync::mpsc;

/// Path of the program and the arguments before the kind of process.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub leading_args: Vec<String>,
}

/// Event of a process, or the end of its output (`event` is `None`).
#[derive(Debug)]
pub struct ProcessOutput {
    pub process: String,
    pub incarnation: u32,
    pub event: Option<Event>,
}

pub struct Process {
    child: Child,
    commands: Option<ChildStdin>,
    /// Stopped with SIGSTOP.
    paused: bool,
}

impl Process {
    pub fn start(
        program: &Program,
        args: &[String],
        process: &str,
        incarnation: u32,
        log: &Path,
        output: mpsc::UnboundedSender<ProcessOutput>,
    ) -> std::io::Result<Process> {
        let process = process.to_string();
        // The program may print other lines too.
        Process::spawn_with_line_handler(program, args, log, move |line| {
            let event = match line {
                Some(line) => match serde_json::from_str(line) {
                    Ok(event) => Some(event),
                    Err(_) => return true,
                },
                None => None,
            };
            output.send(ProcessOutput { process: process.clone(), incarnation, event }).is_ok()
        })
    }

    /// Starts a process and passes each line of its output to `on_line`, then `None` at the end. Reading stops once `on_line` returns false.
    pub fn spawn_with_line_handler(
        program: &Program,
        args: &[String],
        log: &Path,
        on_line: impl Fn(Option<&str>) -> bool + Send + 'static,
    ) -> std::io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(&program.path)
            .args(&program.leading_args)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let (commands, out) = (child.stdin.take(), child.stdout.take());
        let read = move || {
            for line in out.into_iter().flat_map(|out| BufReader::new(out).lines()).map_while(Result::ok) {
                if !on_line(Some(&line)) {
                    return;
                }
            }
            on_line(None);
        };
        std::thread::Builder::new().name("events".into()).stack_size(256 << 10).spawn(read)?;
        Ok(Process { child, commands, paused: false })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.paused = true;
    }
    pub fn resume(&mut self) {
        if std::mem::take(&mut self.paused) {
            self.signal(Signal::CONT);
        }
    }
    /// Sends SIGTERM; a paused process receives it after it resumes.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Writes a command to standard input: `rate 1.01`, `wall 86400`, `sync 2000`.
    pub fn send_command(&mut self, command: &str, value: f64) {
        if let Some(commands) = &mut self.commands {
            let _ = writeln!(commands, "{command} {value}").and_then(|()| commands.flush());
        }
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
