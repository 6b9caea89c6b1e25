//! Terms that hold for many processes or many callers together: restarts all at once, and the ramp of a cold server.

use puffinladder_toy::gateway::Gateway;
use puffinladder_toy::town::Town;
use puffinladder_toy::PATIENCE;
use serde_json::json;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];

/// Waits until the server says that it is healthy.
fn healthy(server: SocketAddr) {
    let begun = Instant::now();
    while TcpStream::connect(server).is_err() {
        assert!(begun.elapsed() < PATIENCE, "nobody listens");
        thread::yield_now();
    }
    assert_eq!(Gateway::open(server).check().word, "serving");
}

fn word(gateway: &mut Gateway, body: &[u8]) -> String {
    gateway.call("quote", "", body);
    gateway.answer().expect("an answer").word
}

#[test]
fn of_thirty_servers_killed_at_work_and_started_again_nine_in_ten_are_ready_within_ten_seconds() {
    // Some registries take connections and say nothing, and some agents come up only once their server is healthy.
    let deaf = TcpListener::bind("127.0.0.1:0").unwrap();
    let roster = deaf.local_addr().unwrap();
    // Addresses of their own, so that nobody's outgoing connection takes a port while its server is dead.
    let id = std::process::id();
    let mut towns: Vec<Town> = (0..30)
        .map(|at| {
            Town::open(SERVER, |config| {
                config["listen"] = json!(format!("127.{}.{}.{}:0", 64 + (id >> 8) % 128, id % 256, at + 1));
                if at % 5 == 0 {
                    config["roster"] = json!(roster);
                }
            })
        })
        .collect();
    let mut gateways: Vec<Gateway> = towns.iter().map(Town::gateway).collect();
    for (town, gateway) in towns.iter().zip(&mut gateways) {
        assert_eq!(word(gateway, b"quick"), "200");
        let (_, name) = gateway.call("quote", "", b"hold");
        town.agent.hears("launch", &name);
    }
    for (at, town) in towns.iter_mut().enumerate() {
        town.kill(at % 3 != 0);
    }
    let begun = Instant::now();
    towns.iter_mut().for_each(|town| town.start_again(SERVER));
    let mut took: Vec<Duration> = thread::scope(|scope| {
        let ready = |town: &Town| {
            healthy(town.server);
            town.agent.greet();
            assert_eq!(word(&mut town.gateway(), b"the first one"), "200");
            begun.elapsed()
        };
        let all: Vec<_> = towns.iter().map(|town| scope.spawn(move || ready(town))).collect();
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    took.sort();
    println!("ready after: median {:?}, nine in ten {:?}, all {:?}", took[15], took[26], took[29]);
    assert!(took[26] < Duration::from_secs(10), "{took:?}");
}

#[test]
fn thirty_callers_together_get_no_more_of_a_cold_server_than_its_ramp_and_each_hears_so() {
    let town = Town::open(SERVER, |config| {
        let settings = &mut config["settings"];
        let info = &mut settings["FamilyInfo"];
        (info["Cold"], info["Cpus"], info["Upstreams"]) = (json!(true), json!(6), json!(30));
        (info["Signal"], info["RamKb"]) = (json!("tokens"), json!(1e6));
        // Nobody is rejected for its wait meanwhile.
        settings["Lanes"][0]["GiveUp"] = json!(60_000);
        settings["Contract"] = json!({"FallMultiple": 5, "Fall": 1500, "Cold": 600_000, "ColdShare": 0.2, "StopSendingWithin": 1000});
    });
    let n: f64 = 6.0 * (1.0 + 4.0 * 0.2);
    let most = (n + 2.0 * n.sqrt() + 2.0) as usize;
    // Each knows only of itself, and sends four unprompted, no run of which ends by itself.
    let mut callers: Vec<Gateway> = (0..30).map(|_| town.gateway()).collect();
    for caller in &mut callers {
        (0..4).for_each(|_| drop(caller.call("quote", "", b"hold")));
    }
    town.log.wait("all beyond the ramp to be declined", |log| {
        let declined = log.iter().filter(|line| line.ends_with(": decline")).count();
        (declined >= 120 - most).then_some(())
    });
    town.agent.hears_times("sample", town.agent.count("sample", "") + 5);
    let declined = town.log.lock().iter().filter(|line| line.ends_with(": decline")).count();
    println!("of 120 in hand: {}, of {most}", 120 - declined);
    assert_eq!(120 - declined, most);
    // What they are told adds up: no more is asked of anybody, and nobody comes back before its turn.
    let answered = |caller: &&mut Gateway| {
        caller.stream.set_nonblocking(true).unwrap();
        let any = caller.stream.peek(&mut [0]).is_ok();
        caller.stream.set_nonblocking(false).unwrap();
        any
    };
    let advice = callers.iter_mut().filter(answered).map(|caller| caller.answer().unwrap().fields);
    let advice: Vec<String> = advice.collect();
    let field = |fields: &str, name: &str| -> f64 {
        let found = fields.split(',').find_map(|field| field.strip_prefix(name)?.parse().ok());
        found.unwrap_or_else(|| panic!("no {name} in {fields}"))
    };
    assert!(advice.len() >= 25 && advice.iter().all(|fields| field(fields, "w=") >= 1000.0), "{advice:?}");
    assert!(advice.iter().all(|fields| 30.0 * field(fields, "v=") < 1.0), "{advice:?}");
    assert!(30.0 * field(&town.gateway().check().fields, "v=") < 1.0);
}
