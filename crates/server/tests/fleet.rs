//! Tests with many processes or many callers at once: simultaneous restarts, and the ramp of a cold server.

use puffinladder_toy::gateway::Gateway;
use puffinladder_toy::harness::ServerHarness;
use puffinladder_toy::WAIT_TIMEOUT;
use serde_json::json;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];

/// Waits until the server listens and checks that it reports itself healthy.
fn wait_until_healthy(server: SocketAddr) {
    let started_at = Instant::now();
    while TcpStream::connect(server).is_err() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{server} does not listen after {WAIT_TIMEOUT:?}");
        thread::yield_now();
    }
    assert_eq!(Gateway::connect(server).check_health().status, "serving");
}

fn call_status(gateway: &mut Gateway, body: &[u8]) -> String {
    gateway.call("quote", "", body);
    gateway.read_response().expect("the server answers the request").status
}

#[test]
fn most_restarted_servers_are_ready_within_ten_seconds() {
    // Some registries accept connections and never respond, and some agents become ready only after their server is healthy.
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let roster = unresponsive.local_addr().unwrap();
    // Each server has its own IP address, so that no outgoing connection takes its port while it is down.
    let id = std::process::id();
    let mut harnesses: Vec<ServerHarness> = (0..30)
        .map(|index| {
            ServerHarness::start(SERVER, |config| {
                config["listen"] =
                    json!(format!("127.{}.{}.{}:0", 64 + (id >> 8) % 128, id % 256, index + 1));
                if index % 5 == 0 {
                    config["roster"] = json!(roster);
                }
            })
        })
        .collect();
    let mut gateways: Vec<Gateway> = harnesses.iter().map(ServerHarness::connect_gateway).collect();
    for (harness, gateway) in harnesses.iter().zip(&mut gateways) {
        assert_eq!(call_status(gateway, b"quick"), "200");
        let (_, attempt_id) = gateway.call("quote", "", b"hold");
        harness.agent.wait_for_command("launch", &attempt_id);
    }
    for (index, harness) in harnesses.iter_mut().enumerate() {
        harness.kill(index % 3 != 0);
    }
    let started_at = Instant::now();
    harnesses.iter_mut().for_each(|harness| harness.restart(SERVER));
    let mut durations: Vec<Duration> = thread::scope(|scope| {
        let ready = |harness: &ServerHarness| {
            wait_until_healthy(harness.address);
            harness.agent.become_ready();
            assert_eq!(call_status(&mut harness.connect_gateway(), b"the first request"), "200");
            started_at.elapsed()
        };
        let threads: Vec<_> = harnesses.iter().map(|harness| scope.spawn(move || ready(harness))).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    durations.sort();
    println!(
        "ready after: median {:?}, nine in ten {:?}, all {:?}",
        durations[15], durations[26], durations[29]
    );
    assert!(durations[26] < Duration::from_secs(10), "{durations:?}");
}

#[test]
fn cold_server_limits_concurrent_callers_to_its_ramp() {
    let harness = ServerHarness::start(SERVER, |config| {
        let settings = &mut config["settings"];
        let info = &mut settings["FamilyInfo"];
        (info["Cold"], info["Cpus"], info["Upstreams"]) = (json!(true), json!(6), json!(30));
        (info["Signal"], info["RamKb"]) = (json!("tokens"), json!(1e6));
        // No request is rejected for its wait.
        settings["Lanes"][0]["GiveUp"] = json!(60_000);
        settings["Contract"] = json!({"FallMultiple": 5, "Fall": 1500, "Cold": 600_000, "ColdShare": 0.2, "StopSendingWithin": 1000});
    });
    let concurrency: f64 = 6.0 * (1.0 + 4.0 * 0.2);
    let limit = (concurrency + 2.0 * concurrency.sqrt() + 2.0) as usize;
    // Each caller sends four requests at once, whose runs do not end.
    let mut callers: Vec<Gateway> = (0..30).map(|_| harness.connect_gateway()).collect();
    for caller in &mut callers {
        (0..4).for_each(|_| drop(caller.call("quote", "", b"hold")));
    }
    harness.log.wait_for("decline of every request beyond the ramp", |log| {
        let declined = log.iter().filter(|line| line.ends_with(": decline")).count();
        (declined >= 120 - limit).then_some(())
    });
    harness.agent.wait_for_commands("sample", harness.agent.command_count("sample", "") + 5);
    let declined = harness.log.lock().iter().filter(|line| line.ends_with(": decline")).count();
    println!("of 120 in hand: {}, of {limit}", 120 - declined);
    assert_eq!(120 - declined, limit);
    // The load signals of all callers together stay within the ramp, and none may retry within a second.
    let has_response = |caller: &&mut Gateway| {
        caller.stream.set_nonblocking(true).unwrap();
        let has_data = caller.stream.peek(&mut [0]).is_ok();
        caller.stream.set_nonblocking(false).unwrap();
        has_data
    };
    let advice = callers.iter_mut().filter(has_response).map(|caller| caller.read_response().unwrap().fields);
    let advice: Vec<String> = advice.collect();
    let field = |fields: &str, name: &str| -> f64 {
        let found = fields.split(',').find_map(|field| field.strip_prefix(name)?.parse().ok());
        found.unwrap_or_else(|| panic!("no {name} in {fields}"))
    };
    assert!(advice.len() >= 25 && advice.iter().all(|fields| field(fields, "w=") >= 1000.0), "{advice:?}");
    assert!(advice.iter().all(|fields| 30.0 * field(fields, "v=") < 1.0), "{advice:?}");
    assert!(30.0 * field(&harness.connect_gateway().check_health().fields, "v=") < 1.0);
}
