//! A server process with a stand-in for each of its peers, on ephemeral ports.

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

/// The configuration of `examples/server.json`, which tests adapt.
pub const EXAMPLE_CONFIG: &str = include_str!("../../server.json");

/// A running server process and its peers. Dropping it kills the process.
pub struct ServerHarness {
    pub agent: Agent,
    pub store: HttpStandIn,
    pub registry: HttpStandIn,
    pub address: SocketAddr,
    /// Lines of the server's log, [`END_OF_LOG`] last.
    pub log: Arc<Monitor<Vec<String>>>,
    /// Stops reading the server's standard error while it is set.
    pub log_paused: Arc<AtomicBool>,
    pub child: Child,
    config: Value,
    config_path: PathBuf,
}

/// The line that is appended to the collected log once the process has closed its standard error.
pub const END_OF_LOG: &str = "the log ends";

/// Number of log lines that a failed test prints.
const PRINTED_LOG_LINES: usize = 30;

const EPHEMERAL: &str = "127.0.0.1:0";

/// Starts `program` with `config` in a temporary file and collects its log line by line. Returns the process and the
/// path of the file, which is deleted when the log ends.
pub fn spawn_server(
    program: &[&str],
    config: &str,
    log: &Arc<Monitor<Vec<String>>>,
    log_paused: &Arc<AtomicBool>,
) -> (Child, PathBuf) {
    static NEXT_FILE: AtomicU32 = AtomicU32::new(0);
    let serial = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path: PathBuf =
        std::env::temp_dir().join(format!("puffinladder-{}-{serial}.json", std::process::id()));
    std::fs::write(&path, config).expect("the configuration can be written to the temporary folder");
    let mut child = Command::new(program[0])
        .args(&program[1..])
        .env("BALANCER_CONFIG", &path)
        .env("RUST_LOG", "trace,may=warn")
        .env_remove("BALANCER_NAME")
        .env_remove("BALANCER_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap_or_else(|e| panic!("starting {}: {e}", program[0]));
    let (lines, log) = (BufReader::new(child.stderr.take().expect("standard error is piped")), log.clone());
    let (log_paused, file) = (log_paused.clone(), path.clone());
    thread::spawn(move || {
        let mut lines = lines.lines().map_while(Result::ok);
        lines.by_ref().for_each(|line| {
            log.update(|log| log.push(line));
            while log_paused.load(Ordering::Relaxed) {
                thread::park();
            }
        });
        log.update(|log| log.push(END_OF_LOG.into()));
        let _ = std::fs::remove_file(file);
    });
    (child, path)
}

impl ServerHarness {
    /// Starts a server with all peers ready, its configuration adapted by `change`, and waits until it polls the agent.
    pub fn start(program: &[&str], change: impl FnOnce(&mut Value)) -> ServerHarness {
        let harness = ServerHarness::spawn(program, true, change);
        harness.agent.wait_for_command("sample", "");
        harness
    }

    /// Starts a server and waits until it listens; its agent greets it only if `agent_ready`.
    pub fn spawn(program: &[&str], agent_ready: bool, change: impl FnOnce(&mut Value)) -> ServerHarness {
        let (agent, store, registry) = (
            Agent::start(EPHEMERAL, agent_ready),
            HttpStandIn::start_store(EPHEMERAL),
            HttpStandIn::start_registry(EPHEMERAL),
        );
        let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG).expect("examples/server.json is JSON");
        config["listen"] = json!(EPHEMERAL);
        config["agent"] = json!(agent.address);
        config["store"] = json!(store.address);
        config["roster"] = json!(registry.address);
        change(&mut config);
        let (log, log_paused) = (Arc::default(), Arc::default());
        let (child, config_path) = spawn_server(program, &config.to_string(), &log, &log_paused);
        let address = log.wait_for("log line with the server's address", |log| {
            log.iter().find_map(|line| line.split_once("listens on ")?.1.parse().ok())
        });
        ServerHarness { agent, store, registry, address, log, log_paused, child, config, config_path }
    }

    /// Opens a new gateway connection to the server.
    pub fn connect_gateway(&self) -> Gateway {
        Gateway::connect(self.address)
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_for_log(&self, text: &str) {
        self.log.wait_for(&format!("log line with {text:?}"), |log| {
            log.iter().any(|line| line.contains(text)).then_some(())
        });
    }

    /// Tells the server to drain and exit.
    pub fn send_sigterm(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file by `text` and makes the server read it again.
    pub fn reload(&self, text: &str) {
        let new = self.config_path.with_extension("new");
        std::fs::write(&new, text)
            .and_then(|()| std::fs::rename(&new, &self.config_path))
            .expect("the configuration file can be replaced");
        self.signal("-HUP");
    }

    /// Moves agent, store and registry to new addresses and reloads the server's configuration.
    pub fn move_peers(&mut self) {
        (self.store, self.registry) =
            (HttpStandIn::start_store(EPHEMERAL), HttpStandIn::start_registry(EPHEMERAL));
        self.config["agent"] = json!(self.agent.listen(EPHEMERAL));
        self.config["store"] = json!(self.store.address);
        self.config["roster"] = json!(self.registry.address);
        self.reload(&self.config.to_string());
    }

    /// Stops the process with SIGSTOP; input accumulates in its sockets. Returns once the kernel shows it as stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = |text: String| text.rsplit_once(')').is_some_and(|(_, rest)| rest.starts_with(" T"));
        while !std::fs::read_to_string(&stat).is_ok_and(stopped) {
            thread::yield_now();
        }
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Kills the process with SIGKILL and restarts its agent without runs or notices.
    pub fn kill(&mut self, agent_ready: bool) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.agent.restart(agent_ready);
    }

    /// Starts the process again at its previous address.
    pub fn restart(&mut self, program: &[&str]) {
        self.config["listen"] = json!(self.address);
        self.log = Arc::default();
        (self.child, self.config_path) =
            spawn_server(program, &self.config.to_string(), &self.log, &self.log_paused);
    }

    /// Sends a signal to the process, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let done = Command::new("kill").args([signal, &id]).status().expect("kill can be run");
        assert!(done.success(), "kill {signal} {id}: {done}");
    }

    /// Waits until the process has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

impl ServerHarness {
    /// Prints the last lines of the server's log, which a failed test does not show otherwise.
    fn print_log(&self) {
        let log = self.log.lock();
        let first_shown = log.len().saturating_sub(PRINTED_LOG_LINES);
        log[first_shown..].iter().for_each(|line| println!("server: {line}"));
    }
}

impl Drop for ServerHarness {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            self.print_log();
        }
    }
}
