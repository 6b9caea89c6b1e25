//! A process of the program: started, stopped, let go on, told to leave, killed, always by its own id. What it tells on standard output comes
//! into the ground's queue; its log goes to a file.

use puffinladder_leases::protocol::Event;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use tokio::sync::mpsc;

/// How the program is called: the binary, and what stands before the kind of process.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub leading_args: Vec<String>,
}

/// What came of a process: an event, or that it said its last.
#[derive(Debug)]
pub struct ProcessOutput {
    pub process: String,
    pub incarnation: u32,
    pub event: Option<Event>,
}

pub struct Process {
    child: Child,
    commands: Option<ChildStdin>,
    /// SIGSTOPped by us.
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
        // Lines that are no event are passed over: the program may print what it likes.
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

    /// Starts one whose lines go to `hear`, none at the end; it says whether more is wanted.
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
    /// SIGTERM; a paused one hears it once it goes on.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells it something on standard input: `rate 1.01`, `wall 86400`, `sync 2000`.
    pub fn send_command(&mut self, command: &str, value: f64) {
        if let Some(commands) = &mut self.commands {
            let _ = writeln!(commands, "{command} {value}").and_then(|()| commands.flush());
        }
    }

    /// How it ended, if it did.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
