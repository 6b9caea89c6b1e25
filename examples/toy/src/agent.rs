//! A stand-in for the agent, which executes runs. The body of a request scripts its run:
//!
//! | body begins with | run |
//! | --- | --- |
//! | `hold` | runs until [`Agent::finish_run`] or [`Agent::refuse_run`] |
//! | `call TEXT` | calls the store with `TEXT`; its result is the reply |
//! | `steps` | runs until [`Agent::finish_run`], with a call at each [`Agent::reach_call`]; its result are the replies |
//! | `fail` | ends with `fault` |
//! | `late` | ends with `late`, without having started |
//! | `refuse` | is refused as unknown |
//! | `refuse slowly` | is refused as unknown after a short delay |
//! | anything else | returns `done` and the body |

use crate::Monitor;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SLOW_REFUSAL_DELAY: Duration = Duration::from_millis(10);

/// What becomes of the command at which the agent closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastCommand {
    /// The agent carries it out.
    Read,
    /// It is lost.
    Lost,
}

/// An open run.
#[derive(Default, Debug)]
struct Run {
    body: Vec<u8>,
    /// Notice of the call that a run with steps waits for.
    call: Option<u64>,
    /// Replies to the calls of a run with steps.
    replies: Vec<u8>,
}

#[derive(Default, Debug)]
struct AgentState {
    /// Whether the agent greets a server that subscribes.
    ready: bool,
    samples_muted: bool,
    /// Command at which the connection will be closed.
    disconnect_at: Option<(&'static str, LastCommand)>,
    /// Notices that are retained. The first has the sequence number `dropped + 1`.
    notices: Vec<Value>,
    dropped: usize,
    connection: Option<TcpStream>,
    /// Number of connections so far.
    connections: u64,
    /// Open runs by attempt id.
    runs: HashMap<String, Run>,
    /// Every command received, over all connections.
    received: Vec<Value>,
}

/// A listening agent. It talks to the server that connected last.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Monitor<AgentState>>,
}

impl Agent {
    /// Starts an agent at `address`. Unless `ready`, it greets nobody before [`Agent::become_ready`].
    pub fn start(address: &str, ready: bool) -> Agent {
        let mut agent = Agent { address: ([127, 0, 0, 1], 0).into(), state: Arc::default() };
        agent.state.lock().ready = ready;
        agent.address = agent.listen(address);
        agent
    }

    /// Listens at one more address, with the same runs and notices.
    pub fn listen(&self, address: &str) -> SocketAddr {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|e| panic!("agent cannot listen on {address}: {e}"));
        let address = listener.local_addr().expect("a bound listener has an address");
        let state = self.state.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                connection.set_nodelay(true).expect("TCP_NODELAY can be set");
                let number = state.lock().replace_connection(&connection);
                let state = state.clone();
                thread::spawn(move || serve(&state, connection, number));
            }
        });
        address
    }

    /// Greets the server from now on.
    pub fn become_ready(&self) {
        self.state.update(|state| state.ready = true);
    }

    /// Stops or resumes responses to sample polls.
    pub fn mute_samples(&self, muted: bool) {
        self.state.update(|state| state.samples_muted = muted);
    }

    /// Drops the connection and all state, as a restart does: no runs, and notices from 1.
    pub fn restart(&self, ready: bool) {
        self.state.update(|state| {
            state.connection.take().map(|connection| connection.shutdown(Shutdown::Both));
            *state = AgentState { ready, connections: state.connections, ..AgentState::default() };
        });
    }

    /// Sends all retained notices again with their sequence numbers.
    pub fn resend_notices(&self) {
        self.state.update(|state| {
            let notices = state.notices.clone();
            notices.iter().for_each(|notice| state.send(notice));
        });
    }

    /// Closes the connection. Runs continue.
    pub fn disconnect(&self) {
        self.state.lock().connection.take().map(|connection| connection.shutdown(Shutdown::Both));
    }

    /// Closes the connection at the next command with this `op`. Commands after it are lost.
    pub fn disconnect_at(&self, op: &'static str, last_command: LastCommand) {
        self.state.lock().disconnect_at = Some((op, last_command));
    }

    /// Sends arbitrary text.
    pub fn send_raw(&self, text: &str) {
        let state = self.state.lock();
        state.connection.as_ref().map(|mut connection| connection.write_all(text.as_bytes()));
    }

    /// Lets an open run with steps call the store with `text`.
    pub fn reach_call(&self, id: &str, text: &str) {
        self.state.update(|state| {
            let notice =
                state.send_notice(json!({"op": "request", "id": id, "body": BASE64_STANDARD.encode(text)}));
            state.runs.get_mut(id).unwrap_or_else(|| panic!("no open run {id} to call")).call = Some(notice);
        });
    }

    /// Waits until an open run with steps has got `replies`, one after the other.
    pub fn wait_for_replies(&self, id: &str, replies: &str) {
        self.state.wait_for(&format!("replies {replies:?} for {id:?}"), |state| {
            (state.runs.get(id)?.replies == replies.as_bytes()).then_some(())
        });
    }

    /// Completes an open run.
    pub fn finish_run(&self, id: &str) {
        self.state.update(|state| {
            let run = state.runs.remove(id).unwrap_or_else(|| panic!("no open run {id} to finish"));
            state.send_outcome(id, "fine", &run.result());
        });
    }

    /// Closes the connection, completes all open runs and drops all notices, those outcomes included. Returns the number
    /// of runs.
    pub fn finish_all_disconnected(&self) -> usize {
        let mut state = self.state.lock();
        state.connection.take().map(|connection| connection.shutdown(Shutdown::Both));
        let runs: Vec<(String, Run)> = state.runs.drain().collect();
        for (id, run) in &runs {
            state.send_outcome(id, "fine", &run.result());
        }
        state.drop_notices();
        runs.len()
    }

    /// Closes the connection and drops all notices, with one that was never sent among them.
    pub fn drop_notices(&self) {
        let mut state = self.state.lock();
        state.connection.take().map(|connection| connection.shutdown(Shutdown::Both));
        state.send_notice(json!({"op": "aside", "end": "dropped"}));
        state.drop_notices();
    }

    /// Refuses an open run as unknown.
    pub fn refuse_run(&self, id: &str) {
        self.state.update(|state| {
            state.runs.remove(id).unwrap_or_else(|| panic!("no open run {id} to refuse"));
            state.send(&json!({"op": "refusal", "end": "launch", "id": id}));
        });
    }

    /// Waits for a command with this `op` and attempt id and returns the first. An empty id matches any.
    pub fn wait_for_command(&self, op: &str, id: &str) -> Value {
        self.state
            .wait_for(&format!("{op:?} command for {id:?}"), |state| state.commands(op, id).next().cloned())
    }

    /// Returns the number of commands received with this `op` and attempt id. An empty id matches any.
    pub fn command_count(&self, op: &str, id: &str) -> usize {
        self.state.lock().commands(op, id).count()
    }

    /// Waits until `count` commands with this `op` have been received in total.
    pub fn wait_for_commands(&self, op: &str, count: usize) {
        self.state.wait_for(&format!("{count} {op:?} commands"), |state| {
            (state.commands(op, "").count() >= count).then_some(())
        });
    }
}

impl Run {
    fn result(&self) -> Vec<u8> {
        if self.has_steps() {
            return self.replies.clone();
        }
        [b"done ", &self.body[..]].concat()
    }

    fn has_steps(&self) -> bool {
        self.body.starts_with(b"steps")
    }

    /// Ends the call that the run waits for, if `ends` holds for its notice.
    fn end_call(&mut self, reply: &[u8], ends: impl FnOnce(u64) -> bool) {
        if self.call.take_if(|notice| ends(*notice)).is_some() {
            self.replies.extend_from_slice(reply);
        }
    }
}

impl AgentState {
    /// Makes this the connection to the server and returns its number.
    fn replace_connection(&mut self, connection: &TcpStream) -> u64 {
        let old = self.connection.replace(connection.try_clone().expect("a socket can be cloned"));
        old.map(|old| old.shutdown(Shutdown::Both));
        self.connections += 1;
        self.connections
    }

    /// Returns whether the connection with this number is open.
    fn is_open(&self, number: u64) -> bool {
        self.connection.is_some() && self.connections == number
    }

    fn drop_notices(&mut self) {
        self.dropped += self.notices.len();
        self.notices.clear();
    }

    fn commands<'a>(&'a self, op: &'a str, id: &'a str) -> impl Iterator<Item = &'a Value> {
        self.received.iter().filter(move |line| line["op"] == op && (id.is_empty() || line["id"] == id))
    }

    fn send(&mut self, line: &Value) {
        if let Some(connection) = &mut self.connection {
            // A failed write loses nothing: the server receives the retained notices when it subscribes again.
            let _ = connection.write_all(format!("{line}\n").as_bytes());
        }
    }

    /// Sends a notice and returns its sequence number.
    fn send_notice(&mut self, mut line: Value) -> u64 {
        let sequence = (self.dropped + self.notices.len() + 1) as u64;
        line["seq"] = json!(sequence);
        self.notices.push(line.clone());
        self.send(&line);
        sequence
    }

    fn send_outcome(&mut self, id: &str, end: &str, body: &[u8]) {
        self.send_notice(
            json!({"op": "outcome", "id": id, "end": end, "ms": 1.5, "body": BASE64_STANDARD.encode(body)}),
        );
    }

    fn has_steps(&self, id: &str) -> bool {
        self.runs.get(id).is_some_and(Run::has_steps)
    }

    fn end_call(&mut self, id: &str, reply: &[u8], ends: impl FnOnce(u64) -> bool) {
        if let Some(run) = self.runs.get_mut(id) {
            run.end_call(reply, ends);
        }
    }

    fn handle_command(&mut self, line: &Value) {
        self.received.push(line.clone());
        let disconnects = self.disconnect_at.take_if(|(op, _)| line["op"] == *op);
        if let Some((_, last_command)) = disconnects {
            self.connection.take().map(|connection| connection.shutdown(Shutdown::Both));
            if last_command == LastCommand::Lost {
                return;
            }
        }
        let id = line["id"].as_str().unwrap_or_default().to_owned();
        let body = BASE64_STANDARD.decode(line["body"].as_str().unwrap_or_default()).unwrap_or_default();
        match line["op"].as_str().unwrap_or_default() {
            "launch" if self.runs.contains_key(&id) => {}
            "launch" if body.starts_with(b"fail") => self.send_outcome(&id, "fault", b""),
            "launch" if body.starts_with(b"late") => self.send_outcome(&id, "late", b""),
            "launch" if body.starts_with(b"refuse") => {
                if body.starts_with(b"refuse slowly") {
                    thread::sleep(SLOW_REFUSAL_DELAY);
                }
                self.send(&json!({"op": "refusal", "end": "launch", "id": id}));
            }
            "launch" if body.starts_with(b"call ") => {
                self.send_notice(
                    json!({"op": "request", "id": id, "body": BASE64_STANDARD.encode(&body[5..])}),
                );
                self.runs.insert(id, Run { body, ..Run::default() });
            }
            "launch" if body.starts_with(b"hold") || body.starts_with(b"steps") => {
                self.runs.insert(id, Run { body, ..Run::default() });
            }
            "launch" => self.send_outcome(&id, "fine", &[b"done ", &body[..]].concat()),
            "deliver" if self.has_steps(&id) => self.end_call(&id, &body, |_| true),
            "forgo" if self.has_steps(&id) => self.end_call(&id, b"none", |notice| line["seq"] == notice),
            "deliver" if self.runs.remove(&id).is_some() => self.send_outcome(&id, "fine", &body),
            "forgo" if self.runs.remove(&id).is_some() => self.send_outcome(&id, "fine", b"poorer"),
            "freeze" if self.runs.remove(&id).is_some() => self.send_outcome(&id, "broken_off", b""),
            "sample" if !self.samples_muted => {
                self.send(&json!({"op": "sampled", "tag": line["tag"], "values": [0.5, 1, 0.1, 2]}));
            }
            _ => {}
        }
    }
}

fn serve(state: &Monitor<AgentState>, connection: TcpStream, number: u64) {
    for line in BufReader::new(connection).lines().map_while(Result::ok) {
        let Ok(line) = serde_json::from_str::<Value>(&line) else { return };
        if !state.lock().is_open(number) {
            return;
        }
        if line["op"] == "subscribe" {
            let after = line["seq"].as_u64().unwrap_or_default() as usize;
            state.wait_for("ready agent", |state| state.ready.then_some(()));
            let mut state = state.lock();
            state.send(&json!({"op": "greeting", "end": "running", "ms": 5}));
            let notices = state.notices.clone();
            let retained = after.saturating_sub(state.dropped);
            notices.iter().skip(retained).for_each(|notice| state.send(notice));
        }
        state.update(|state| state.handle_command(&line));
    }
}
