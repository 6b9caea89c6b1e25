//! Starts the stand-ins at the addresses of `examples/server.json` and sends a few requests from a gateway as soon as
//! a server listens there.

use puffinladder_toy::agent::Agent;
use puffinladder_toy::gateway::Gateway;
use puffinladder_toy::harness::EXAMPLE_CONFIG;
use puffinladder_toy::http::HttpStandIn;
use serde_json::Value;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const KEY_FIELD: &str = ",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

fn main() {
    let config: Value = serde_json::from_str(EXAMPLE_CONFIG).expect("examples/server.json is JSON");
    let text = |key: &str| config[key].as_str().unwrap_or_default().to_owned();
    let _agent = Agent::start(&text("agent"), true);
    let _store = HttpStandIn::start_store(&text("store"));
    let registry = HttpStandIn::start_registry(&text("roster"));
    println!("stand-ins are up; start the server now");
    while TcpStream::connect(text("listen")).is_err() {
        thread::sleep(CONNECT_RETRY_INTERVAL);
    }
    let server = text("listen").parse().expect("listen in examples/server.json is an address");
    let mut gateway = Gateway::connect(server);
    println!("health check: {}", gateway.check_health().status);
    registry.wait_for_request(&text("name"), "on");
    println!("the roster lists {}", text("name"));
    let requests = [
        ("quote", "", "a plain quote", ""),
        ("quote", "", "call a quote that calls the store", ""),
        ("order", KEY_FIELD, "an order", ""),
        ("order", KEY_FIELD, "an order", ", the same again: settled from the first one's result"),
        ("order", KEY_FIELD, "another order", ", under the first one's key: voided"),
        ("quote", "", "fail", ""),
    ];
    for (class, extra_fields, body, note) in requests {
        let (tag, _) = gateway.call(class, extra_fields, body.as_bytes());
        let response = gateway.read_response().expect("the server answers each request");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        println!("txn {tag}, {class} \"{body}\"{note}: {} {} \"{text}\"", response.status, response.fields);
    }
}
