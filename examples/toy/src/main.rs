//! The toy town: stand-ins at the addresses of `examples/server.json`, and a gateway that sends a few txns as
//! soon as a server listens there.

use puffinladder_toy::agent::Agent;
use puffinladder_toy::gateway::Gateway;
use puffinladder_toy::http::Place;
use puffinladder_toy::town::EXAMPLE;
use serde_json::Value;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

fn main() {
    let told: Value = serde_json::from_str(EXAMPLE).expect("an example that is JSON");
    let at = |key: &str| told[key].as_str().unwrap_or_default().to_owned();
    let (_agent, _store) = (Agent::open(&at("agent"), true), Place::store(&at("store")));
    let roster = Place::roster(&at("roster"));
    println!("stand-ins are up; start the server now");
    while TcpStream::connect(at("listen")).is_err() {
        thread::sleep(Duration::from_millis(200));
    }
    let mut gateway = Gateway::open(at("listen").parse().expect("an address"));
    println!("health check: {}", gateway.check().word);
    roster.hears(&at("name"), "on");
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
    for (class, more, body, what) in txns {
        let (tag, _) = gateway.call(class, more, body.as_bytes());
        let answer = gateway.answer().expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        println!("txn {tag}, {class} \"{body}\"{what}: {} {} \"{text}\"", answer.word, answer.fields);
    }
}
