//! The toy town: stand-ins at the addresses of `examples/server.json`, and a gateway that sends a few txns as
//! soon as a server listens there.

use puffinladder_toy::agent::Agent;
use puffinladder_toy::gateway::Gateway;
use puffinladder_toy::harness::EXAMPLE_CONFIG;
use puffinladder_toy::http::HttpStandIn;
use serde_json::Value;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

fn main() {
    let config: Value = serde_json::from_str(EXAMPLE_CONFIG).expect("an example that is JSON");
    let at = |key: &str| config[key].as_str().unwrap_or_default().to_owned();
    let (_agent, _store) = (Agent::start(&at("agent"), true), HttpStandIn::start_store(&at("store")));
    let registry = HttpStandIn::start_registry(&at("roster"));
    println!("stand-ins are up; start the server now");
    while TcpStream::connect(at("listen")).is_err() {
        thread::sleep(Duration::from_millis(200));
    }
    let mut gateway = Gateway::connect(at("listen").parse().expect("an address"));
    println!("health check: {}", gateway.check_health().status);
    registry.wait_for_request(&at("name"), "on");
    println!("the roster lists {}", at("name"));
    let key = ",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let txns = [
        ("quote", "", "a plain quote", ""),
        ("quote", "", "call a quote that calls the store", ""),
        ("order", key, "an order", ""),
        ("order", key, "an order", ", the same again: settled from the first one's result"),
        ("order", key, "another order", ", under the first one's key: voided"),
        ("quote", "", "fail", ""),
    ];
    for (class, more, body, note) in txns {
        let (tag, _) = gateway.call(class, more, body.as_bytes());
        let answer = gateway.read_response().expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        println!("txn {tag}, {class} \"{body}\"{note}: {} {} \"{text}\"", answer.status, answer.fields);
    }
}
