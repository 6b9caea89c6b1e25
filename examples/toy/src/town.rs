//! A server process with all its stand-ins round it, on ports that the system gives.

use crate::agent::Agent;
use crate::gateway::Gateway;
use crate::http::Place;
use crate::Watched;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;

/// The example's configuration, on which stories change what they need.
pub const EXAMPLE: &str = include_str!("../../server.json");

pub struct Town {
    pub agent: Agent,
    pub store: Place,
    pub roster: Place,
    pub server: SocketAddr,
    /// Lines of the server's log.
    pub log: Arc<Watched<Vec<String>>>,
    /// Nobody reads the log any more.
    pub deaf: Arc<AtomicBool>,
    pub child: Child,
    told: Value,
    path: PathBuf,
}

/// Starts `program` with this configuration, and says where that lies; its log comes line by line.
pub fn start(
    program: &[&str],
    text: &str,
    log: &Arc<Watched<Vec<String>>>,
    deaf: &Arc<AtomicBool>,
) -> (Child, PathBuf) {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let serial = FILES.fetch_add(1, Ordering::Relaxed);
    let path: PathBuf =
        std::env::temp_dir().join(format!("puffinladder-{}-{serial}.json", std::process::id()));
    std::fs::write(&path, text).expect("a place for the configuration");
    let mut child = Command::new(program[0])
        .args(&program[1..])
        .env("BALANCER_CONFIG", &path)
        .env("RUST_LOG", "trace,may=warn")
        .env_remove("BALANCER_NAME")
        .env_remove("BALANCER_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the server's program");
    let (lines, log) = (BufReader::new(child.stderr.take().expect("its log")), log.clone());
    let (deaf, file) = (deaf.clone(), path.clone());
    thread::spawn(move || {
        let mut lines = lines.lines().map_while(Result::ok);
        lines.by_ref().for_each(|line| {
            log.change(|log| log.push(line));
            while deaf.load(Ordering::Relaxed) {
                thread::park();
            }
        });
        log.change(|log| log.push("the log ends".into()));
        let _ = std::fs::remove_file(file);
    });
    (child, path)
}

impl Town {
    /// A town that serves.
    pub fn open(program: &[&str], change: impl FnOnce(&mut Value)) -> Town {
        let town = Town::found(program, true, change);
        town.agent.hears("sample", "");
        town
    }

    /// A town whose agent may not have come up yet.
    pub fn found(program: &[&str], greet: bool, change: impl FnOnce(&mut Value)) -> Town {
        let any = "127.0.0.1:0";
        let (agent, store, roster) = (Agent::open(any, greet), Place::store(any), Place::roster(any));
        let mut told: Value = serde_json::from_str(EXAMPLE).expect("an example that is JSON");
        told["listen"] = json!(any);
        told["agent"] = json!(agent.address);
        told["store"] = json!(store.address);
        told["roster"] = json!(roster.address);
        change(&mut told);
        let (log, deaf) = (Arc::default(), Arc::default());
        let (child, path) = start(program, &told.to_string(), &log, &deaf);
        let server = log.wait("the server to listen", |log| {
            log.iter().find_map(|line| line.split_once("listens on ")?.1.parse().ok())
        });
        Town { agent, store, roster, server, log, deaf, child, told, path }
    }

    pub fn gateway(&self) -> Gateway {
        Gateway::open(self.server)
    }

    /// Waits for a line of the log that holds this text.
    pub fn logs(&self, text: &str) {
        self.log.wait(text, |log| log.iter().any(|line| line.contains(text)).then_some(()));
    }

    /// Gives the notice to leave.
    pub fn term(&self) {
        self.signal("-TERM");
    }

    /// Has the server read its configuration anew, with this text in the file.
    pub fn reload(&self, text: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &self.path)).expect("a new file");
        self.signal("-HUP");
    }

    /// Moves agent, store and roster to new addresses and has the server told so.
    pub fn move_peers(&mut self) {
        let any = "127.0.0.1:0";
        (self.store, self.roster) = (Place::store(any), Place::roster(any));
        self.told["agent"] = json!(self.agent.listen(any));
        self.told["store"] = json!(self.store.address);
        self.told["roster"] = json!(self.roster.address);
        self.reload(&self.told.to_string());
    }

    /// Has the process stand still: what comes meanwhile waits in its sockets.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = |text: String| text.rsplit_once(')').is_some_and(|(_, rest)| rest.starts_with(" T"));
        while !std::fs::read_to_string(&stat).is_ok_and(stopped) {
            thread::yield_now();
        }
    }
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Kills the process and its agent outright.
    pub fn kill(&mut self, agent_is_up: bool) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.agent.anew(agent_is_up);
    }

    /// Starts the process again at its old address.
    pub fn start_again(&mut self, program: &[&str]) {
        self.told["listen"] = json!(self.server);
        self.log = Arc::default();
        (self.child, self.path) = start(program, &self.told.to_string(), &self.log, &self.deaf);
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let done = Command::new("kill").args([signal, &id]).status().expect("a kill command");
        assert!(done.success());
    }

    pub fn end(&mut self) -> ExitStatus {
        self.child.wait().expect("an end")
    }
}

impl Drop for Town {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
