//! Case 6: the link to the agent breaks from time to time while keyed requests run, some of which make no call below.
//! No keyed request may run twice.

#[path = "../standins-2/standins.rs"]
mod standins;

use standins::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Length of the load, s.
const LOAD_S: f64 = 95.0;
/// Number of servers, each with an agent and gateways of its own.
const SERVERS: u32 = 4;
/// Requests a second; the days have up to 190 first tries at each server.
const RATE: f64 = 190.0;
/// Products with their share of the requests, as the site states them. Work, aims and deadlines are scaled to fit the rate.
const PRODUCTS: [(&str, f64); 4] =
    [("slot-search", 0.43), ("day-view", 0.272), ("patient-file", 0.2), ("book-visit", 0.098)];
/// Share of book-visits and slot-searches that call below, as the site states with 0.6 calls on average.
const CALLING_SHARE: f64 = 0.6;
/// Time between two breaks of the link, s.
const BREAK_EVERY_S: f64 = 2.0;
/// Lag with which the agent reads a command and sends a notice: a process on a busy machine, s.
const LAG_S: f64 = 0.005;
/// Mean work of a run on one core, s; the agent has room.
const WORK_S: f64 = 0.030;

const SETTINGS: &str = r#"{
  "Servers": 4,
  "Lanes": [
    {"Name": "slot-search", "Promise": 332, "GiveUp": 1070, "Importance": 1, "Effect": "safe", "DedupWindow": 5000},
    {"Name": "day-view", "Promise": 160, "GiveUp": 546, "Importance": 1, "Effect": "safe", "DedupWindow": 5000},
    {"Name": "patient-file", "Promise": 407, "GiveUp": 1390, "Importance": 2, "Effect": "safe", "DedupWindow": 5000},
    {"Name": "book-visit", "Promise": 278, "GiveUp": 824, "Importance": 4, "Effect": "keyed", "DedupWindow": 22971}
  ],
  "Tenants": [],
  "OverShareWorth": 0, "WorthBy": "work",
  "FamilyInfo": {
    "Below": "next_hop", "Cpus": 6, "RamKb": 43200, "RunFactor": 16, "KeyKb": 12.5, "Halt": "pause",
    "ClassCalls": [true, false, true, true], "ClassSkipWorth": [0.6, 0, 0.5, 0], "Idle": 30000, "Lingers": 200, "Upstreams": 4,
    "Signal": "tokens", "Heeded": 1000, "TellsGone": false, "Cold": false,
    "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"]
  },
  "Contract": {"FallMultiple": 6, "Fall": 2000, "Cold": 18000, "ColdShare": 0.31, "StopSendingWithin": 2500},
  "Limits": {"RetryAfter": true, "MaxRetryAfter": 1000}
}"#;

/// A server with its agent and its gateways.
struct Site {
    server: Server,
    agent: Agent,
    gateways: Vec<Gateway>,
}

fn start_site(number: u32, platform: &Platform, record: &Record) -> Site {
    let scripts = |id: &str, known: &Try| {
        // Work and calls of a request follow from its name, so that they are the same whenever it runs.
        let mut random = Random::new(u64::from_str_radix(&id[..15], 16).unwrap_or(1));
        random.next();
        let work = WORK_S * random.between(0.4, 1.6);
        let share = match known.class.as_str() {
            "day-view" => 0.0,
            "patient-file" => 1.0,
            _ => CALLING_SHARE,
        };
        let calls = random.unit() < share;
        Script { work: if calls { vec![work / 2.0, work / 2.0] } else { vec![work] } }
    };
    let agent = Agent::new(platform, record, 6.0, "pause", scripts).with_delay(LAG_S);
    let store = start_store(platform, record, |_| StoreAnswer { after: 0.004, status: 200, not_run: false });
    let setup = ServerSetup {
        name: &format!("n{number}"),
        agent: agent.listen(),
        roster: start_roster(),
        store,
        memory_mb: 192,
        sockets: 512,
        stop_ms: 3200,
        settings: SETTINGS,
    };
    let server = Server::start(&setup);
    let connect = |_| Gateway::connect(server.address, platform, record, &agent);
    let gateways: Result<Vec<Gateway>, _> = (0..16).map(connect).collect();
    let gateways = gateways.unwrap_or_else(|e| could_not_run(&format!("no connection to the server: {e}")));
    Site { server, agent, gateways }
}

/// Sends requests to a server for the time of the load, and breaks its agent's link now and then. Returns how often.
fn load(site: &Site, seed: u64) -> u32 {
    let mut random = Random::new(seed);
    let (started, mut sent, mut breaks) = (Instant::now(), 0u32, 0u32);
    let mut next_break = random.between(1.5, 2.5);
    loop {
        let now = started.elapsed().as_secs_f64();
        if now >= LOAD_S {
            return breaks;
        }
        if trouble() && now >= next_break && now < LOAD_S - 2.0 {
            next_break += BREAK_EVERY_S + random.between(-0.5, 0.5);
            breaks += 1;
            site.agent.break_link();
        }
        while f64::from(sent) < now * RATE {
            sent += 1;
            let mut draw = random.unit();
            let drawn = PRODUCTS.iter().find(|(_, share)| {
                draw -= share;
                draw < 0.0
            });
            let class = drawn.unwrap_or(&PRODUCTS[0]).0;
            let keyed = class == "book-visit";
            let call = Call {
                id: random.hex(16),
                class: class.into(),
                key: if keyed { random.hex(32) } else { String::new() },
                body: random.hex(64).into_bytes(),
                memory: 20.0,
                hint_ms: 1e3 * WORK_S,
                rank: random.unit(),
                gateway: 1,
                quiet: !keyed,
                ..Call::default()
            };
            let first = random.next() as usize % site.gateways.len();
            let usable = |gateway: &&Gateway| gateway.open() < 32 && !gateway.ended.load(Ordering::SeqCst);
            if let Some(gateway) = site.gateways.iter().cycle().skip(first).take(16).find(usable) {
                gateway.send(&call);
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn main() {
    let (record, platform) = (Record::open(), Platform::default());
    let mut sites: Vec<Site> = (1..=SERVERS).map(|number| start_site(number, &platform, &record)).collect();
    let breaks: u32 = std::thread::scope(|scope| {
        let loads = sites.iter().enumerate().map(|(seed, site)| scope.spawn(move || load(site, seed as u64 + 58)));
        let loads: Vec<_> = loads.collect();
        loads.into_iter().map(|load| load.join().expect("a load")).sum()
    });
    sleep(8.0);
    for site in &mut sites {
        if !site.server.is_running() {
            could_not_run("a server has ended by itself");
        }
        site.server.kill();
    }
    let tries = platform.tries();
    let served = |known: &&Try| known.answer.as_ref().is_some_and(|(word, _)| word == "200");
    let all_served = tries.values().filter(served).count();
    let keyed: Vec<(&String, &Try)> = tries.iter().filter(|(_, known)| known.class == "book-visit").collect();
    let ran = keyed.iter().filter(|(_, known)| !known.runs.is_empty()).count();
    let twice: Vec<&(&String, &Try)> = keyed.iter().filter(|(_, known)| known.runs.len() > 1).collect();
    record.say(&format!("{SERVERS} servers: sent {}, served {all_served}, links broken {breaks} times", tries.len()));
    record.say(&format!("book-visit: sent {}, {ran} ran, {} ran more than once", keyed.len(), twice.len()));
    for (id, known) in &twice {
        record.say(&format!(
            "  {id}, key {}: {} runs, the second {:.1} ms behind the first; results made: {}; answered {:?}",
            known.key,
            known.runs.len(),
            1e3 * (known.runs[1] - known.runs[0]).as_secs_f64(),
            known.results.len(),
            known.answer.as_ref().map(|(word, _)| word)
        ));
    }
    if all_served * 2 < tries.len() {
        could_not_run("fewer than half of the requests were served, so that the test says nothing");
    }
    if ran < 1000 || trouble() && breaks < 20 {
        could_not_run("too few keyed requests ran, or too few links broke, so that the test says nothing");
    }
    let broken = !twice.is_empty();
    record.say(if broken { "BROKEN: a keyed request ran more than once" } else { "HELD" });
    std::process::exit(i32::from(broken));
}
