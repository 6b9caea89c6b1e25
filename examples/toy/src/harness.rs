//! A server process with all its stand-ins round it, on ports that the system gives.

use crate::agent::Agent;
use crate::gateway::Gateway;
use crate::http::HttpStandIn;
use crate::Monitor;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;

/// The example's configuration, on which stories change what they need.
pub const EXAMPLE_CONFIG: &str = include_str!("../../server.json");

pub struct ServerHarness {
    pub agent: Agent,
    pub store: HttpStandIn,
    pub registry: HttpStandIn,
    pub address: SocketAddr,
    /// Lines of the server's log.
    pub log: Arc<Monitor<Vec<String>>>,
    /// Nobody reads the log any more.
    pub log_paused: Arc<AtomicBool>,
    pub child: Child,
    config: Value,
    config_path: PathBuf,
}

/// Starts `program` with this configuration, and says where that lies; its log comes line by line.
pub fn spawn_server(
    program: &[&str],
    text: &str,
    log: &Arc<Monitor<Vec<String>>>,
    log_paused: &Arc<AtomicBool>,
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
    let (log_paused, file) = (log_paused.clone(), path.clone());
    thread::spawn(move || {
        let mut lines = lines.lines().map_while(Result::ok);
        lines.by_ref().for_each(|line| {
            log.update(|log| log.push(line));
            while log_paused.load(Ordering::Relaxed) {
                thread::park();
            }
        });
        log.update(|log| log.push("the log ends".into()));
        let _ = std::fs::remove_file(file);
    });
    (child, path)
}

impl ServerHarness {
    /// A town that serves.
    pub fn start(program: &[&str], change: impl FnOnce(&mut Value)) -> ServerHarness {
        let harness = ServerHarness::spawn(program, true, change);
        harness.agent.wait_for_command("sample", "");
        harness
    }

    /// A town whose agent may not have come up yet.
    pub fn spawn(program: &[&str], agent_ready: bool, change: impl FnOnce(&mut Value)) -> ServerHarness {
        let any = "127.0.0.1:0";
        let (agent, store, registry) =
            (Agent::start(any, agent_ready), HttpStandIn::start_store(any), HttpStandIn::start_registry(any));
        let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG).expect("an example that is JSON");
        config["listen"] = json!(any);
        config["agent"] = json!(agent.address);
        config["store"] = json!(store.address);
        config["roster"] = json!(registry.address);
        change(&mut config);
        let (log, log_paused) = (Arc::default(), Arc::default());
        let (child, config_path) = spawn_server(program, &config.to_string(), &log, &log_paused);
        let address = log.wait_for("the server to listen", |log| {
            log.iter().find_map(|line| line.split_once("listens on ")?.1.parse().ok())
        });
        ServerHarness { agent, store, registry, address, log, log_paused, child, config, config_path }
    }

    pub fn connect_gateway(&self) -> Gateway {
        Gateway::connect(self.address)
    }

    /// Waits for a line of the log that holds this text.
    pub fn wait_for_log(&self, text: &str) {
        self.log.wait_for(text, |log| log.iter().any(|line| line.contains(text)).then_some(()));
    }

    /// Gives the notice to leave.
    pub fn send_sigterm(&self) {
        self.signal("-TERM");
    }

    /// Has the server read its configuration anew, with this text in the file.
    pub fn reload(&self, text: &str) {
        let new = self.config_path.with_extension("new");
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(&new, &self.config_path))
            .expect("a new file");
        self.signal("-HUP");
    }

    /// Moves agent, store and roster to new addresses and has the server told so.
    pub fn move_peers(&mut self) {
        let any = "127.0.0.1:0";
        (self.store, self.registry) = (HttpStandIn::start_store(any), HttpStandIn::start_registry(any));
        self.config["agent"] = json!(self.agent.listen(any));
        self.config["store"] = json!(self.store.address);
        self.config["roster"] = json!(self.registry.address);
        self.reload(&self.config.to_string());
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
    pub fn kill(&mut self, agent_ready: bool) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.agent.restart(agent_ready);
    }

    /// Starts the process again at its old address.
    pub fn restart(&mut self, program: &[&str]) {
        self.config["listen"] = json!(self.address);
        self.log = Arc::default();
        (self.child, self.config_path) =
            spawn_server(program, &self.config.to_string(), &self.log, &self.log_paused);
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let done = Command::new("kill").args([signal, &id]).status().expect("a kill command");
        assert!(done.success());
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("an end")
    }
}

impl Drop for ServerHarness {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
