//! The agent that owns the cores. A txn's body says what its run does:
//!
//! | body begins with | the run |
//! | --- | --- |
//! | `hold` | runs until [`Agent::finish`] |
//! | `call TEXT` | calls below with `TEXT`; its result is the reply |
//! | `fail` | ends in a fault |
//! | `late` | never begins |
//! | `refuse` | is refused, as that of a txn it does not know |
//! | `refuse slowly` | likewise, and the agent takes a moment for it |
//! | anything else | gives `done` and the body |

use crate::Watched;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a refusal takes that takes a moment.
const SLOW_REFUSAL: Duration = Duration::from_millis(10);

#[derive(Default, Debug)]
struct Farm {
    up: bool,
    mute: bool,
    /// All notices so far that it retains; the first has the number after those that it has dropped.
    notices: Vec<Value>,
    /// How many notices it has dropped.
    dropped: usize,
    link: Option<TcpStream>,
    runs: HashMap<String, Vec<u8>>,
    /// Every command that was read, over all links.
    heard: Vec<Value>,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    farm: Arc<Watched<Farm>>,
}

impl Agent {
    /// Listens; `greet` says whether it is up already.
    pub fn open(address: &str, greet: bool) -> Agent {
        let mut agent = Agent { address: ([127, 0, 0, 1], 0).into(), farm: Arc::default() };
        agent.farm.lock().up = greet;
        agent.address = agent.listen(address);
        agent
    }

    /// Listens at another address too; runs and notices go on.
    pub fn listen(&self, address: &str) -> SocketAddr {
        let listener = TcpListener::bind(address).expect("an address for the agent");
        let address = listener.local_addr().expect("an address");
        let farm = self.farm.clone();
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                link.set_nodelay(true).expect("no delay");
                let old = farm.lock().link.replace(link.try_clone().expect("a second handle"));
                old.map(|old| old.shutdown(Shutdown::Both));
                let farm = farm.clone();
                thread::spawn(move || serve(&farm, link));
            }
        });
        address
    }

    /// Comes up, if it was late.
    pub fn greet(&self) {
        self.farm.change(|farm| farm.up = true);
    }

    /// Answers no more samples, or does so again.
    pub fn mute(&self, mute: bool) {
        self.farm.change(|farm| farm.mute = mute);
    }

    /// Dies with its server and is to come up anew: no runs, and notices from 1.
    pub fn anew(&self, up: bool) {
        self.farm.change(|farm| {
            farm.link.take().map(|link| link.shutdown(Shutdown::Both));
            *farm = Farm { up, ..Farm::default() };
        });
    }

    /// Says all its notices once more, each under its old number.
    pub fn repeat(&self) {
        self.farm.change(|farm| {
            let notices = farm.notices.clone();
            notices.iter().for_each(|notice| farm.say(notice));
        });
    }

    /// Cuts the link; runs go on.
    pub fn cut(&self) {
        self.farm.lock().link.take().map(|link| link.shutdown(Shutdown::Both));
    }

    /// Says something that is no notice.
    pub fn babble(&self, text: &str) {
        let farm = self.farm.lock();
        farm.link.as_ref().map(|mut link| link.write_all(text.as_bytes()));
    }

    /// Ends a run that holds.
    pub fn finish(&self, id: &str) {
        self.farm.change(|farm| {
            let body = farm.runs.remove(id).expect("a run to finish");
            farm.outcome(id, "fine", &[b"done ", &body[..]].concat());
        });
    }

    /// Ends all runs that hold while the link is cut, and retains none of the notices so far, as after too many others. Gives the
    /// number of runs.
    pub fn finish_unheard(&self) -> usize {
        let mut farm = self.farm.lock();
        farm.link.take().map(|link| link.shutdown(Shutdown::Both));
        let runs: Vec<(String, Vec<u8>)> = farm.runs.drain().collect();
        for (id, body) in &runs {
            farm.outcome(id, "fine", &[b"done ", &body[..]].concat());
        }
        farm.drop_notices();
        runs.len()
    }

    /// Cuts the link, and drops notices as after too many: none that was said before is said again, and some are missing.
    pub fn drop_notices(&self) {
        let mut farm = self.farm.lock();
        farm.link.take().map(|link| link.shutdown(Shutdown::Both));
        farm.notice(json!({"op": "aside", "end": "one that nobody hears"}));
        farm.drop_notices();
    }

    /// Refuses a run that holds, as that of a txn it does not know.
    pub fn refuse(&self, id: &str) {
        self.farm.change(|farm| {
            farm.runs.remove(id).expect("a run to refuse");
            farm.say(&json!({"op": "refusal", "end": "launch", "id": id}));
        });
    }

    /// The first command of this kind for this txn, once it has come; of any txn for an empty id.
    pub fn hears(&self, op: &str, id: &str) -> Value {
        self.farm.wait(&format!("{op} of {id}"), |farm| farm.commands(op, id).next().cloned())
    }

    /// How many commands of this kind came for this txn; of all txns for an empty id.
    pub fn count(&self, op: &str, id: &str) -> usize {
        self.farm.lock().commands(op, id).count()
    }

    /// Waits until so many commands of this kind have come.
    pub fn hears_times(&self, op: &str, times: usize) {
        self.farm.wait(&format!("{op} {times} times"), |farm| {
            (farm.commands(op, "").count() >= times).then_some(())
        });
    }
}

impl Farm {
    fn drop_notices(&mut self) {
        self.dropped += self.notices.len();
        self.notices.clear();
    }

    fn commands<'a>(&'a self, op: &'a str, id: &'a str) -> impl Iterator<Item = &'a Value> {
        self.heard.iter().filter(move |line| line["op"] == op && (id.is_empty() || line["id"] == id))
    }

    fn say(&mut self, line: &Value) {
        if let Some(link) = &mut self.link {
            // A cut link gets it later, with the notices.
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn notice(&mut self, mut line: Value) {
        line["seq"] = json!(self.dropped + self.notices.len() + 1);
        self.notices.push(line.clone());
        self.say(&line);
    }

    fn outcome(&mut self, id: &str, end: &str, body: &[u8]) {
        self.notice(
            json!({"op": "outcome", "id": id, "end": end, "ms": 1.5, "body": BASE64_STANDARD.encode(body)}),
        );
    }

    fn take(&mut self, line: &Value) {
        self.heard.push(line.clone());
        let id = line["id"].as_str().unwrap_or_default().to_owned();
        let body = BASE64_STANDARD.decode(line["body"].as_str().unwrap_or_default()).unwrap_or_default();
        match line["op"].as_str().unwrap_or_default() {
            "launch" if self.runs.contains_key(&id) => {}
            "launch" if body.starts_with(b"fail") => self.outcome(&id, "fault", b""),
            "launch" if body.starts_with(b"late") => self.outcome(&id, "late", b""),
            "launch" if body.starts_with(b"refuse") => {
                if body.starts_with(b"refuse slowly") {
                    thread::sleep(SLOW_REFUSAL);
                }
                self.say(&json!({"op": "refusal", "end": "launch", "id": id}));
            }
            "launch" if body.starts_with(b"call ") => {
                self.notice(json!({"op": "request", "id": id, "body": BASE64_STANDARD.encode(&body[5..])}));
                self.runs.insert(id, body);
            }
            "launch" if body.starts_with(b"hold") => {
                self.runs.insert(id, body);
            }
            "launch" => self.outcome(&id, "fine", &[b"done ", &body[..]].concat()),
            "deliver" if self.runs.remove(&id).is_some() => self.outcome(&id, "fine", &body),
            "forgo" if self.runs.remove(&id).is_some() => self.outcome(&id, "fine", b"poorer"),
            "freeze" if self.runs.remove(&id).is_some() => self.outcome(&id, "broken_off", b""),
            "sample" if !self.mute => {
                self.say(&json!({"op": "sampled", "tag": line["tag"], "values": [0.5, 1, 0.1, 2]}));
            }
            _ => {}
        }
    }
}

fn serve(farm: &Watched<Farm>, link: TcpStream) {
    for line in BufReader::new(link).lines().map_while(Result::ok) {
        let Ok(line) = serde_json::from_str::<Value>(&line) else { return };
        if line["op"] == "subscribe" {
            let after = line["seq"].as_u64().unwrap_or_default() as usize;
            farm.wait("the agent to come up", |farm| farm.up.then_some(()));
            let mut farm = farm.lock();
            farm.say(&json!({"op": "greeting", "end": "running", "ms": 5}));
            let notices = farm.notices.clone();
            let retained = after.saturating_sub(farm.dropped);
            notices.iter().skip(retained).for_each(|notice| farm.say(notice));
        }
        farm.change(|farm| farm.take(&line));
    }
}
