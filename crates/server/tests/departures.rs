//! Clients that leave: requests whose connection is closed, or that were taken back, before they were launched, and attempt
//! ids that come again on another connection.

use puffinladder_toy::agent::LastCommand;
use puffinladder_toy::gateway::{encode_command, unix_time_ms, Gateway};
use puffinladder_toy::harness::ServerHarness;
use serde_json::json;
use std::io::Write;

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];
const KEY: &str = ",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
/// Requests that a client leaves behind; more than the server runs at once, and fewer than a connection may have open.
const ABANDONED: u64 = 30;
/// Rounds of a flood, and requests taken back in each; more than the process has request slots.
const FLOOD_ROUNDS: u64 = 20;
const FLOOD_PAIRS: u64 = 1500;

/// Starts a server whose class `order` has this effect.
fn start_server(effect: &str) -> ServerHarness {
    ServerHarness::start(SERVER, |config| config["settings"]["Lanes"][1]["Effect"] = json!(effect))
}

fn read_status(gateway: &mut Gateway, tag: u64) -> String {
    let response = gateway.read_response().expect("the server answers the request");
    assert_eq!(response.tag, tag);
    response.status
}

fn call_status(gateway: &mut Gateway, class: &str, fields: &str) -> String {
    let (tag, _) = gateway.call(class, fields, b"sound");
    read_status(gateway, tag)
}

/// Guards against requests that are launched after their connection was closed, since they were read before its end.
#[test]
fn requests_of_a_closed_connection_are_not_launched() {
    for class in ["quote", "order"] {
        let harness = start_server("unsafe");
        let mut gateway = harness.connect_gateway();
        assert_eq!(call_status(&mut gateway, "quote", ""), "200");
        let launches = harness.agent.command_count("launch", "");
        harness.pause();
        for _ in 0..ABANDONED {
            gateway.call(class, "", b"hold");
        }
        drop(gateway);
        harness.resume();
        let mut other = harness.connect_gateway();
        assert_eq!(call_status(&mut other, "quote", ""), "200");
        assert_eq!(harness.agent.command_count("launch", ""), launches + 1, "{class}");
    }
}

/// Guards against a request without a key that runs twice, since its attempt id comes again after its client has left: while
/// its run goes on, when it has ended, and when nothing tells whether its launch was read.
#[test]
fn attempt_id_of_an_unsafe_request_that_ran_does_not_run_again() {
    for (finish_first, link_breaks) in [(true, false), (false, false), (false, true)] {
        let harness = start_server("unsafe");
        let mut gateway = harness.connect_gateway();
        if link_breaks {
            harness.agent.disconnect_at("launch", LastCommand::Read);
        }
        let (_, attempt_id) = gateway.call("order", "", b"hold");
        harness.agent.wait_for_command("launch", &attempt_id);
        drop(gateway);
        if finish_first {
            harness.agent.finish_run(&attempt_id);
            harness.wait_for_log(": ended");
        }
        let mut other = harness.connect_gateway();
        let tag = other.call_with_id(&attempt_id, "order", "", b"hold");
        if !finish_first {
            harness.wait_for_log("waits for its attempt id");
            harness.agent.finish_run(&attempt_id);
        }
        assert_eq!(read_status(&mut other, tag), "500");
        assert_eq!(harness.agent.command_count("launch", &attempt_id), 1);
    }
}

/// Guards against a keyed request that runs twice, since its attempt id comes again after its client has left.
#[test]
fn attempt_id_of_a_keyed_request_that_ran_gets_its_result() {
    for finish_first in [true, false] {
        let harness = start_server("keyed");
        let mut gateway = harness.connect_gateway();
        let (_, attempt_id) = gateway.call("order", KEY, b"hold");
        harness.agent.wait_for_command("launch", &attempt_id);
        drop(gateway);
        let mut other = harness.connect_gateway();
        if finish_first {
            harness.agent.finish_run(&attempt_id);
            harness.wait_for_log(": ended");
        }
        let tag = other.call_with_id(&attempt_id, "order", KEY, b"hold");
        if !finish_first {
            harness.wait_for_log("waits for its attempt id");
            harness.agent.finish_run(&attempt_id);
        }
        let expected = if finish_first { "200" } else { "500" };
        assert_eq!(read_status(&mut other, tag), expected);
        assert_eq!(harness.agent.command_count("launch", &attempt_id), 1);
    }
}

/// Returns `pairs` requests, each taken back at once, with tags from `first_tag` and ever new callers.
fn requests_taken_back(first_tag: u64, pairs: u64) -> Vec<u8> {
    let mut messages = Vec::new();
    for tag in first_tag..first_tag + pairs {
        let fields = format!("i=ff{tag:014x},s={},f={tag},t=acme,h=10.5,m=20.5,p=0.5", unix_time_ms());
        let text = tag.to_string();
        messages.extend(encode_command(&[b"CALL", text.as_bytes(), b"quote", fields.as_bytes(), b""]));
        messages.extend(encode_command(&[b"CANCEL", text.as_bytes()]));
    }
    messages
}

/// Guards against clients that are rejected while another one sends requests and takes them back: these held a request slot
/// each until the policy had heard of them.
#[test]
fn flood_of_requests_taken_back_takes_no_slots_from_other_connections() {
    let harness = ServerHarness::start(SERVER, |config| config["limits"]["memory_mb"] = json!(32));
    let (mut flooding, mut other) = (harness.connect_gateway(), harness.connect_gateway());
    for round in 0..FLOOD_ROUNDS {
        // Both connections have messages waiting when the server reads on.
        harness.pause();
        let messages = requests_taken_back(1 + round * FLOOD_PAIRS, FLOOD_PAIRS);
        flooding.stream.write_all(&messages).expect("the messages fit into the buffers of the connection");
        let (tag, _) = other.call("quote", "", b"sound");
        harness.resume();
        assert_eq!(read_status(&mut other, tag), "200", "round {round}");
    }
}
