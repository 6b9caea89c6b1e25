//! The serving process between its peers: callers that send requests at drawn moments whether answered or not, an agent that runs each for a
//! drawn time, a roster, and a control service that counts the reports that it gets.
//!
//! **Added latency** is what the server adds to a request: from the write of the request to the read of its answer, less the time from the launch's
//! coming to the agent until the agent wrote its outcome. Both ways through the server, its decisions and any wait in its hold are in it, and so are
//! four hops over loopback and the wake-ups of the peers, which are tasks of this process. Only requests that were settled count.
//!
//! **Bytes and messages sent** are reports to one control service, counted there; nothing comes back from it. What callers and agent cost in bytes is
//! the requests' own and not counted.

mod peers;

use crate::child::{until, Child};
use crate::{count, pass, size, Counted, Gauge, Sizes, Taken};
use peers::{Agent, Callers, Sink};
use puffinladder_proving::measure::quantile;
use puffinladder_toy::harness::EXAMPLE_CONFIG;
use puffinladder_toy::http::HttpStandIn;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Connections of callers.
const CALLERS: usize = 16;
/// Share of the requests that has to be settled for a point to mean anything.
const SETTLED: f64 = 0.95;
/// Descriptors and memory that the process is told it may use: a server's budget is judged from what it does use.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 192;

pub(crate) fn route(at: usize) -> String {
    format!("p{at:05}")
}

pub(crate) fn customer(at: usize) -> String {
    format!("k{at:05}")
}

fn config(
    agent: SocketAddr,
    store: SocketAddr,
    roster: SocketAddr,
    routes: usize,
    customers: usize,
    seed: u64,
) -> Result<Value, String> {
    let mut told: Value = serde_json::from_str(EXAMPLE_CONFIG).map_err(|e| e.to_string())?;
    told["listen"] = json!("127.0.0.1:0");
    (told["agent"], told["store"], told["roster"]) = (json!(agent), json!(store), json!(roster));
    told["seed"] = json!(format!("{seed:x}"));
    told["limits"] = json!({"cores": 4.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    let settings = &mut told["settings"];
    let lane = |at: usize| json!({"Name": route(at), "Promise": 4000, "GiveUp": 8000, "Importance": 1 + at % 3, "Effect": "safe"});
    settings["Lanes"] = (0..routes).map(lane).collect();
    // Nobody asks for more than it may: turning away is cheaper than serving.
    let tenant = |at: usize| json!({"Name": customer(at), "QuotaRps": 1e6, "Share": 1});
    settings["Tenants"] = (0..customers).map(tenant).collect();
    let info = &mut settings["FamilyInfo"];
    info["ClassCalls"] = vec![false; routes].into();
    info["ClassSkipWorth"] = vec![0.0; routes].into();
    (info["RamKb"], info["Halt"], info["Upstreams"]) = (json!(1e6), json!("silent"), json!(CALLERS));
    Ok(told)
}

pub async fn point(gauge: &Gauge, sizes: &Sizes) -> Result<Vec<Taken>, String> {
    let (routes, customers) = (count(sizes, "routes")?, count(sizes, "customers")?);
    let rate = size(sizes, "requests")?;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text)
            .map(|()| path.display().to_string())
            .map_err(|e| format!("{}: {e}", path.display()))
    };
    let (agent, sink) = (Agent::open(gauge.seed).await?, Sink::open().await?);
    let any = "127.0.0.1:0";
    let (store, roster) = (HttpStandIn::start_store(any), HttpStandIn::start_registry(any));
    let told = config(agent.at, store.address, roster.address, routes, customers, gauge.seed)?;
    let config = write("server.json", &told.to_string())?;
    let publish = format!(
        "(log (filter \"info,may=warn\"))\n(publish (control \"{}\") (zone \"a\") (every 250ms))\n",
        sink.at
    );
    let settings = write("server.scm", &publish)?;
    let args = ["serve".into(), "--config".into(), config, "--settings".into(), settings];
    let mut child = Child::start(&gauge.program, &args, "server", folder.path())?;
    let listens = |line: &str| line.split_once("listens on ")?.1.trim().parse().ok();
    let server: SocketAddr = child.says("the server to listen", listens).await?;
    let serving = async || peers::serving(server).await.then_some(());
    until("the server to be healthy", &mut [&mut child], serving).await?;
    let callers = Callers::open(server, CALLERS, rate, routes, customers, gauge.seed, &agent).await?;
    // Settled: half a second's requests are answered, and reports come.
    let enough = (rate * 0.5).max(10.0) as u64;
    let flows = async || (callers.counts().0 >= enough && sink.heard().1 >= 4).then_some(());
    until("requests to be answered", &mut [&mut child], flows).await?;
    let used = child.usage()?;
    let (reports, answers) = (Counted::now(sink.heard()), callers.counts());
    callers.count_from_now();
    let span = pass(gauge.span).await;
    let (heard, after) = (Counted::now(sink.heard()), callers.counts());
    let mut latencies = callers.added();
    let then = child.usage()?;
    child.lives()?;
    let (settled, all) = (after.0 - answers.0, after.1 - answers.1);
    if (settled as f64) < SETTLED * all as f64 || settled == 0 {
        return Err(child.fault(&format!("only {settled} of {all} answers say that a request was settled")));
    }
    let mut taken = Taken::of("server", span);
    then.tell(&used, &mut taken);
    taken.put("sent", heard.rate(&reports, |all| all.0));
    taken.put("messages_sent", heard.rate(&reports, |all| all.1));
    latencies.sort_by(f64::total_cmp);
    taken.put_known("latency_p50", Some(quantile(&latencies, 0.5)));
    taken.put_known("latency_p99", Some(quantile(&latencies, 0.99)));
    Ok(vec![taken])
}
