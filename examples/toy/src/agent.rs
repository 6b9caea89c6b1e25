//! The agent that owns the cores. A txn's body says what its run does:
//!
//! | body begins with | the run |
//! | --- | --- |
//! | `hold` | runs until [`Agent::finish_run`] |
//! | `call TEXT` | calls below with `TEXT`; its result is the reply |
//! | `fail` | ends in a fault |
//! | `late` | never begins |
//! | `refuse` | is refused, as that of a txn it does not know |
//! | `refuse slowly` | likewise, and the agent takes a moment for it |
//! | anything else | gives `done` and the body |

use crate::Monitor;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a refusal takes that takes a moment.
const SLOW_REFUSAL_DELAY: Duration = Duration::from_millis(10);

#[derive(Default, Debug)]
struct AgentState {
    ready: bool,
    samples_muted: bool,
    /// All notices so far that it retains; the first has the number after those that it has dropped.
    notices: Vec<Value>,
    /// How many notices it has dropped.
    dropped: usize,
    connection: Option<TcpStream>,
    runs: HashMap<String, Vec<u8>>,
    /// Every command that was read, over all links.
    received: Vec<Value>,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Monitor<AgentState>>,
}

impl Agent {
    /// Listens; `greet` says whether it is up already.
    pub fn start(address: &str, ready: bool) -> Agent {
        let mut agent = Agent { address: ([127, 0, 0, 1], 0).into(), state: Arc::default() };
        agent.state.lock().ready = ready;
        agent.address = agent.listen(address);
        agent
    }

    /// Listens at another address too; runs and notices go on.
    pub fn listen(&self, address: &str) -> SocketAddr {
        let listener = TcpListener::bind(address).expect("an address for the agent");
        let address = listener.local_addr().expect("an address");
        let state = self.state.clone();
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                link.set_nodelay(true).expect("no delay");
                let old = state.lock().connection.replace(link.try_clone().expect("a second handle"));
                old.map(|old| old.shutdown(Shutdown::Both));
                let state = state.clone();
                thread::spawn(move || serve(&state, link));
            }
        });
        address
    }

    /// Comes up, if it was late.
    pub fn become_ready(&self) {
        self.state.update(|state| state.ready = true);
    }

    /// Answers no more samples, or does so again.
    pub fn mute_samples(&self, muted: bool) {
        self.state.update(|state| state.samples_muted = muted);
    }

    /// Dies with its server and is to come up anew: no runs, and notices from 1.
    pub fn restart(&self, ready: bool) {
        self.state.update(|state| {
            state.connection.take().map(|link| link.shutdown(Shutdown::Both));
            *state = AgentState { ready, ..AgentState::default() };
        });
    }

    /// Says all its notices once more, each under its old number.
    pub fn resend_notices(&self) {
        self.state.update(|state| {
            let notices = state.notices.clone();
            notices.iter().for_each(|notice| state.send(notice));
        });
    }

    /// Cuts the link; runs go on.
    pub fn disconnect(&self) {
        self.state.lock().connection.take().map(|link| link.shutdown(Shutdown::Both));
    }

    /// Says something that is no notice.
    pub fn send_raw(&self, text: &str) {
        let state = self.state.lock();
        state.connection.as_ref().map(|mut link| link.write_all(text.as_bytes()));
    }

    /// Ends a run that holds.
    pub fn finish_run(&self, id: &str) {
        self.state.update(|state| {
            let body = state.runs.remove(id).expect("a run to finish");
            state.send_outcome(id, "fine", &[b"done ", &body[..]].concat());
        });
    }

    /// Ends all runs that hold while the link is cut, and retains none of the notices so far, as after too many others. Gives the
    /// number of runs.
    pub fn finish_all_disconnected(&self) -> usize {
        let mut state = self.state.lock();
        state.connection.take().map(|link| link.shutdown(Shutdown::Both));
        let runs: Vec<(String, Vec<u8>)> = state.runs.drain().collect();
        for (id, body) in &runs {
            state.send_outcome(id, "fine", &[b"done ", &body[..]].concat());
        }
        state.drop_notices();
        runs.len()
    }

    /// Cuts the link, and drops notices as after too many: none that was said before is said again, and some are missing.
    pub fn drop_notices(&self) {
        let mut state = self.state.lock();
        state.connection.take().map(|link| link.shutdown(Shutdown::Both));
        state.send_notice(json!({"op": "aside", "end": "one that nobody hears"}));
        state.drop_notices();
    }

    /// Refuses a run that holds, as that of a txn it does not know.
    pub fn refuse_run(&self, id: &str) {
        self.state.update(|state| {
            state.runs.remove(id).expect("a run to refuse");
            state.send(&json!({"op": "refusal", "end": "launch", "id": id}));
        });
    }

    /// The first command of this kind for this txn, once it has come; of any txn for an empty id.
    pub fn wait_for_command(&self, op: &str, id: &str) -> Value {
        self.state.wait_for(&format!("{op} of {id}"), |state| state.commands(op, id).next().cloned())
    }

    /// How many commands of this kind came for this txn; of all txns for an empty id.
    pub fn command_count(&self, op: &str, id: &str) -> usize {
        self.state.lock().commands(op, id).count()
    }

    /// Waits until so many commands of this kind have come.
    pub fn wait_for_commands(&self, op: &str, count: usize) {
        self.state.wait_for(&format!("{op} {count} times"), |state| {
            (state.commands(op, "").count() >= count).then_some(())
        });
    }
}

impl AgentState {
    fn drop_notices(&mut self) {
        self.dropped += self.notices.len();
        self.notices.clear();
    }

    fn commands<'a>(&'a self, op: &'a str, id: &'a str) -> impl Iterator<Item = &'a Value> {
        self.received.iter().filter(move |line| line["op"] == op && (id.is_empty() || line["id"] == id))
    }

    fn send(&mut self, line: &Value) {
        if let Some(link) = &mut self.connection {
            // A cut link gets it later, with the notices.
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn send_notice(&mut self, mut line: Value) {
        line["seq"] = json!(self.dropped + self.notices.len() + 1);
        self.notices.push(line.clone());
        self.send(&line);
    }

    fn send_outcome(&mut self, id: &str, end: &str, body: &[u8]) {
        self.send_notice(
            json!({"op": "outcome", "id": id, "end": end, "ms": 1.5, "body": BASE64_STANDARD.encode(body)}),
        );
    }

    fn handle_command(&mut self, line: &Value) {
        self.received.push(line.clone());
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
                self.runs.insert(id, body);
            }
            "launch" if body.starts_with(b"hold") => {
                self.runs.insert(id, body);
            }
            "launch" => self.send_outcome(&id, "fine", &[b"done ", &body[..]].concat()),
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

fn serve(state: &Monitor<AgentState>, link: TcpStream) {
    for line in BufReader::new(link).lines().map_while(Result::ok) {
        let Ok(line) = serde_json::from_str::<Value>(&line) else { return };
        if line["op"] == "subscribe" {
            let after = line["seq"].as_u64().unwrap_or_default() as usize;
            state.wait_for("the agent to come up", |state| state.ready.then_some(()));
            let mut state = state.lock();
            state.send(&json!({"op": "greeting", "end": "running", "ms": 5}));
            let notices = state.notices.clone();
            let retained = after.saturating_sub(state.dropped);
            notices.iter().skip(retained).for_each(|notice| state.send(notice));
        }
        state.update(|state| state.handle_command(&line));
    }
}
