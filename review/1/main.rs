//! The link to the agent breaks from time to time while some runs make two calls.

#[path = "../rig/mod.rs"]
mod rig;

use rig::*;
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Ticks of the stand-in agent, ms: the tick of the site file.
const AGENT_TICK_MS: u64 = 4;
/// First tries a second, the most that the pages name.
const RATE: f64 = 190.0;
const SECONDS: u64 = 80;
/// Time between two breaks of the link, ms.
const BREAK_INTERVAL_MS: (u64, u64) = (1000, 3000);
/// Runs in ten that make two calls; the others make one, so that the mean is 1.4.
const TWO_CALLS_IN_TEN: u64 = 4;
/// Connections of gateways.
const CONNECTIONS: usize = 4;

fn main() {
    let root = PathBuf::from(std::env::args().nth(1).expect("root of the checkout"));
    let folder = PathBuf::from(std::env::args().nth(2).expect("folder of the case"));
    let record = Record::create(&folder);
    let agent = Agent::with_ticks(&record, AGENT_TICK_MS, true);
    let store = start_store(&record, 5, |_| StoreAnswer::Reply);
    let listen = free_address();
    let deployment = Deployment {
        agent: agent.address,
        registry: start_registry(),
        store,
        listen,
        memory_mb: 64,
        sockets: 512,
        stop_ms: 3200,
    };
    let mut server = Server::start(&root, &deployment.config(), listen);
    if !server.wait_until_serving() {
        record.say(format!("the server does not serve: {}", server.log()));
        drop(server);
        std::process::exit(2);
    }
    let seed = seed();
    let mut rng = Rng::new(seed);
    let gateways: Vec<Gateway> = (0..CONNECTIONS)
        .map(|n| Gateway::connect(listen, n as u32 + 1, Some(&agent), &record).expect("connect"))
        .collect();
    let start = Instant::now();
    let pause = |rng: &mut Rng| Duration::from_millis(rng.between(BREAK_INTERVAL_MS.0, BREAK_INTERVAL_MS.1));
    let mut next_break = start + pause(&mut rng);
    let (mut sent, mut breaks) = (0u64, 0);
    while start.elapsed() < Duration::from_secs(SECONDS) {
        let due = (start.elapsed().as_secs_f64() * RATE) as u64;
        while sent < due {
            let gateway = &gateways[sent as usize % CONNECTIONS];
            sent += 1;
            if gateway.open() >= 32 || !gateway.is_usable() {
                continue;
            }
            let (first, last) = (rng.between(5, 15), rng.between(5, 15));
            let body = match rng.next() % 10 < TWO_CALLS_IN_TEN {
                true => format!("steps={first},{},{last};", rng.between(4, 12)),
                false => format!("steps={first},{last};"),
            };
            gateway.send(&Try {
                id: rng.hex16(),
                class: "bid-status",
                key: None,
                body,
                repeat: false,
                hint_ms: 30.0,
                memory_kb: 20.0,
            });
        }
        if has_trouble() && Instant::now() >= next_break {
            agent.break_link();
            breaks += 1;
            next_break = Instant::now() + pause(&mut rng);
        }
        sleep_ms(1);
    }
    sleep_ms(2000);
    let wrong = agent.wrong_deliveries();
    let (deliveries, links, _) = agent.counts();
    let mut words: HashMap<String, u64> = HashMap::new();
    let mut spoilt_answers = 0;
    for gateway in &gateways {
        for (id, answers) in gateway.all_answers() {
            for answer in answers {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let twice = format!("[reply to call 1 of {id}][reply to call 1 of {id}]");
                spoilt_answers += u64::from(answer.word == "200" && body.contains(&twice));
                *words.entry(answer.word).or_default() += 1;
            }
        }
    }
    record.say(format!(
        "seed {seed}: {sent} tries, answers {words:?}; {breaks} breaks of the link, {links} links"
    ));
    record.say(format!(
        "{deliveries} replies delivered, {} of them to another call than the one they belong to; {spoilt_answers} tries settled with such a result",
        wrong.len()
    ));
    for delivery in wrong.iter().take(10) {
        record.say(format!("{delivery:?}"));
    }
    if let Some(status) = server.has_ended() {
        record.say(format!("the server ended: {status}"));
        std::process::exit(2);
    }
    drop(server);
    // A run counts only if nearly all tries were answered, and the link was opened anew after most breaks.
    let answered: u64 = words.values().sum();
    let linked = if has_trouble() { links > 20 } else { links == 1 };
    let ran = sent > 10_000 && answered * 100 >= sent * 95 && deliveries >= sent && linked;
    if !ran {
        record.say("too little happened for a verdict");
    }
    std::process::exit(if !wrong.is_empty() {
        1
    } else if ran {
        0
    } else {
        2
    });
}
