//! Race conditions, provoked in a server process over real connections. Each test forces its order of events: the
//! process is paused while its sockets fill, or a stand-in waits until it has observed an event.

use puffinladder_toy::gateway::{encode_command, unix_time_ms, Gateway};
use puffinladder_toy::harness::ServerHarness;
use puffinladder_toy::http::HttpStandIn;
use puffinladder_toy::WAIT_TIMEOUT;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::RwLock;
use std::thread;
use std::time::Instant;

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];
const KEY: &str = ",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

fn start_server() -> ServerHarness {
    ServerHarness::start(SERVER, |_| {})
}

fn call_status(gateway: &mut Gateway, class: &str, extra_fields: &str, body: &[u8]) -> String {
    let (tag, _) = gateway.call(class, extra_fields, body);
    let response = gateway.read_response().expect("the server answers the request");
    assert_eq!(response.tag, tag);
    response.status
}

fn assert_serves(harness: &ServerHarness) {
    assert_eq!(call_status(&mut harness.connect_gateway(), "quote", "", b"still there"), "200");
}

// ---- link to the agent ----

/// Guards against run slots held for good by requests that were cancelled before their launch had reached the agent.
#[test]
fn requests_cancelled_before_their_launch_was_sent_free_their_slots() {
    let harness = start_server();
    let mut gateway = harness.connect_gateway();
    // The new link accepts no commands until its first poll is answered.
    harness.agent.mute_samples(true);
    harness.agent.disconnect();
    harness.agent.wait_for_commands("subscribe", 2);
    let wait_for_events = |event: &str, count: usize| {
        harness.log.wait_for(&format!("{count} events{event}"), |log| {
            (log.iter().filter(|line| line.ends_with(event)).count() >= count).then_some(())
        });
    };
    // As many as the server runs at once.
    for count in 1..=4 {
        let (tag, _) = gateway.call("quote", "", b"hold");
        wait_for_events(": run", count);
        gateway.cancel(tag);
        wait_for_events(": pause", count);
    }
    assert_eq!(harness.agent.command_count("launch", ""), 0);
    harness.agent.mute_samples(false);
    // While no slot is free, requests are rejected: those before them were given up soon.
    let started_at = Instant::now();
    while call_status(&mut harness.connect_gateway(), "quote", "", b"quick") != "200" {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no slot is free after {WAIT_TIMEOUT:?}");
        thread::yield_now();
    }
}

// ---- closing connections ----

#[test]
fn response_before_broken_message_survives_close() {
    let harness = start_server();
    let mut gateway = harness.connect_gateway();
    // One request that is answered without the policy, then invalid bytes, more than one read returns.
    let good = encode_command(&[b"CALL", b"1", b"nothing", b"", b""]);
    let bytes = [good, b"*no array\r\n".to_vec(), vec![b'x'; 60_000]].concat();
    harness.pause();
    gateway.stream.write_all(&bytes).unwrap();
    harness.resume();
    assert_eq!(gateway.read_response().expect("a response to the open request").status, "500");
    gateway.read_to_end().expect("the connection is closed without a reset");
}

/// Guards against requests that were read and got no answer since bytes after them were invalid.
#[test]
fn broken_message_closes_after_pending_responses() {
    let harness = start_server();
    let mut gateway = harness.connect_gateway();
    let (tag, attempt_id) = gateway.call("quote", "", b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    gateway.stream.write_all(b"*no array\r\n").unwrap();
    harness.wait_for_log("gateway: closing connection");
    harness.agent.finish_run(&attempt_id);
    let response = gateway.read_response().expect("a response to the open request");
    assert_eq!((response.tag, response.status.as_str()), (tag, "200"));
    gateway.read_to_end().unwrap();
}

#[test]
fn incomplete_message_closes_after_pending_responses() {
    let harness = start_server();
    let mut gateway = harness.connect_gateway();
    let (tag, attempt_id) = gateway.call("quote", "", b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    gateway.stream.write_all(b"*5\r\n$4\r\nCA").unwrap();
    // Two connections that are opened later and time out show that the timeout of the first one has passed.
    for _ in 0..2 {
        harness.connect_gateway().read_to_end().unwrap();
    }
    harness.agent.finish_run(&attempt_id);
    let response = gateway.read_response().expect("a response to the open request");
    assert_eq!((response.tag, response.status.as_str()), (tag, "200"));
    gateway.read_to_end().unwrap();
}

#[test]
fn closed_connection_stops_reading_further_input() {
    let harness = start_server();
    let mut gateway = harness.connect_gateway();
    gateway.stream.write_all(b"*no array\r\n").unwrap();
    // The server discards further input for a limited time, then closes the socket.
    let started_at = Instant::now();
    while gateway.stream.write_all(&[b'x'; 65_536]).is_ok() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the server still reads after {WAIT_TIMEOUT:?}");
    }
    assert_serves(&harness);
}

// ---- drain and exit ----

#[test]
fn exit_sends_goaway_and_pending_responses() {
    let mut harness = start_server();
    let (mut idle, mut busy, mut silent) =
        (harness.connect_gateway(), harness.connect_gateway(), harness.connect_gateway());
    assert_eq!(call_status(&mut idle, "quote", "", b""), "200");
    let (tag, attempt_id) = busy.call("order", KEY, b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    harness.send_sigterm();
    let notice = idle.read_response().expect("a goaway notice");
    assert_eq!((notice.tag, notice.status.as_str()), (0, "goaway"));
    idle.read_to_end().expect("the connection is closed without a reset");
    let mut statuses: Vec<(u64, String)> = Vec::new();
    while let Some(response) = busy.read_response() {
        statuses.push((response.tag, response.status));
    }
    assert_eq!(statuses, [(tag, "500".to_string())]);
    silent.read_to_end().expect("the connection is closed without a reset");
    assert!(harness.wait_for_exit().success());
}

#[test]
fn drain_answers_accepted_but_unread_requests() {
    let harness = start_server();
    let mut open = harness.connect_gateway();
    assert_eq!(call_status(&mut open, "quote", "", b""), "200");
    // While the process is paused: requests on an open connection and on new ones in the backlog, then SIGTERM twice.
    harness.pause();
    let mut fresh: Vec<Gateway> = (0..60).map(|_| harness.connect_gateway()).collect();
    for gateway in fresh.iter_mut().chain([&mut open]) {
        gateway.call("quote", "", b"before the drain");
    }
    harness.send_sigterm();
    harness.send_sigterm();
    harness.resume();
    for gateway in fresh.iter_mut().chain([&mut open]) {
        assert!(["200", "503"]
            .contains(&gateway.read_response().expect("the server answers each request").status.as_str()));
    }
}

#[test]
fn drain_before_agent_is_ready_answers_read_requests() {
    let mut harness = ServerHarness::spawn(SERVER, false, |_| {});
    let mut gateway = harness.connect_gateway();
    gateway.call("order", KEY, b"read before the agent is ready");
    harness.wait_for_log("txn 1");
    harness.send_sigterm();
    assert!(["500", "503"]
        .contains(&gateway.read_response().expect("the server answers each request").status.as_str()));
    assert!(harness.wait_for_exit().success());
    assert_eq!(harness.agent.command_count("launch", ""), 0);
}

#[test]
fn reload_during_drain_still_delivers_result() {
    let mut harness = start_server();
    let mut gateway = harness.connect_gateway();
    let (tag, attempt_id) = gateway.call("order", KEY, b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    harness.send_sigterm();
    harness.move_peers();
    harness.agent.wait_for_commands("subscribe", 2);
    harness.agent.finish_run(&attempt_id);
    let response = gateway.read_response().unwrap();
    assert_eq!((response.tag, response.status.as_str()), (tag, "200"));
    assert!(harness.wait_for_exit().success());
}

// ---- retries ----

#[test]
fn retry_read_after_dedup_window_does_not_run_again() {
    // A dedup window of 0.1 s, and attempts with far deadlines that may stay unread for long.
    let harness = ServerHarness::start(SERVER, |config| {
        config["settings"]["Lanes"][1]["DedupWindow"] = json!(100);
        config["settings"]["Lanes"][1]["GiveUp"] = json!(60_000);
    });
    let mut gateway = harness.connect_gateway();
    let arrived_at_ms = unix_time_ms();
    assert_eq!(call_status(&mut gateway, "order", &format!("{KEY},s={arrived_at_ms}"), b"an order"), "200");
    // Each retry arrives within the window by its timestamp; the last is read three seconds after its end.
    while unix_time_ms() < arrived_at_ms + 3200 {
        let repeat = format!("{KEY},r=1,s={}", arrived_at_ms + 40);
        assert!(["200", "503"].contains(&call_status(&mut gateway, "order", &repeat, b"an order").as_str()));
        assert_eq!(
            harness.agent.command_count("launch", ""),
            1,
            "run again after {} ms",
            unix_time_ms() - arrived_at_ms
        );
    }
}

#[test]
fn cancel_crossing_response_keeps_result_for_retry() {
    let harness = start_server();
    let mut gateway = harness.connect_gateway();
    let (tag, attempt_id) = gateway.call("order", KEY, b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    harness.pause();
    harness.agent.finish_run(&attempt_id);
    gateway.cancel(tag);
    harness.resume();
    // In either order there is at most one response, and the result serves a retry.
    let (repeat, _) = gateway.call("order", KEY, b"hold");
    let mut response = gateway.read_response().unwrap();
    if response.tag == tag {
        response = gateway.read_response().unwrap();
    }
    assert_eq!((response.tag, response.status.as_str()), (repeat, "200"));
    assert_eq!(harness.agent.command_count("launch", ""), 1);
}

#[test]
fn dedup_window_lasts_at_least_as_long_as_run() {
    let harness =
        ServerHarness::start(SERVER, |config| config["settings"]["Lanes"][1]["DedupWindow"] = json!(1));
    let mut gateway = harness.connect_gateway();
    let (first, attempt_id) = gateway.call("order", KEY, b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    let started_at = unix_time_ms();
    while unix_time_ms() < started_at + 300 {
        assert_serves(&harness);
    }
    let (repeat, _) = gateway.call("order", KEY, b"hold");
    harness.wait_for_log("replay");
    harness.agent.finish_run(&attempt_id);
    let mut tags =
        [0; 2].map(|_| gateway.read_response().map(|response| (response.tag, response.status)).unwrap());
    tags.sort();
    assert_eq!(tags, [(first, "200".to_string()), (repeat, "200".to_string())]);
}

// ---- agent, store and registry ----

#[test]
fn duplicate_and_partial_notices_are_handled_once() {
    let harness = start_server();
    let mut gateway = harness.connect_gateway();
    let (tag, attempt_id) = gateway.call("order", KEY, b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    harness.agent.send_raw(&format!("{{\"op\":\"outcome\",\"seq\":1,\"id\":\"{attempt_id}\",\"end\":\"fi"));
    harness.agent.disconnect();
    harness.agent.finish_run(&attempt_id);
    assert_eq!(gateway.read_response().unwrap().tag, tag);
    harness.agent.resend_notices();
    harness.agent.resend_notices();
    assert_eq!(call_status(&mut gateway, "order", &KEY.replace('5', "6"), b"the next response"), "200");
}

#[test]
fn huge_deadline_does_not_break_store_call() {
    // Times beyond the range of a duration must not prevent the store call.
    let harness = ServerHarness::start(SERVER, |config| {
        for class in 0..2 {
            for key in ["Promise", "GiveUp", "DedupWindow"] {
                config["settings"]["Lanes"][class][key] = json!(1e300);
            }
        }
    });
    let mut gateway = harness.connect_gateway();
    let (tag, _) = gateway.call("order", KEY, b"call for ever");
    let response = gateway.read_response().unwrap();
    assert_eq!((response.tag, response.body.as_slice()), (tag, &b"stored for ever"[..]));
}

/// Returns a listener that accepts nothing: peers connect to its backlog and get no response.
fn unresponsive_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

#[test]
fn unresponsive_registry_does_not_block_server() {
    let unresponsive = unresponsive_listener();
    let mut harness =
        ServerHarness::start(SERVER, |config| config["roster"] = json!(unresponsive.local_addr().unwrap()));
    harness.wait_for_log("registry: failed to report to ");
    assert_serves(&harness);
    harness.agent.disconnect();
    harness.agent.wait_for_commands("subscribe", 2);
    assert_serves(&harness);
    // At a new address the registry gets a report at once.
    harness.move_peers();
    harness.registry.wait_for_request("PUT /roster/toy-1 ", "on");
    assert_serves(&harness);
}

// ---- descriptors ----

#[test]
fn silent_clients_leave_descriptors_for_requests_and_links() {
    let silent_listener = unresponsive_listener();
    let narrow = ["sh", "-c", "ulimit -n 64; exec \"$0\"", SERVER[0]];
    let harness = ServerHarness::start(&narrow, |config| {
        config["limits"]["sockets"] = json!(64);
        config["roster"] = json!(silent_listener.local_addr().unwrap());
    });
    let mut silent: Vec<Gateway> = (0..200).map(|_| harness.connect_gateway()).collect();
    // As many hanging store calls as there are descriptors for.
    let mut busy = harness.connect_gateway();
    for index in 0..12 {
        busy.call("order", &KEY.replace("5c0f", &format!("00{index:02}")), b"call hang");
    }
    harness.store.requests.wait_for("12 store calls", |requests| (requests.len() == 12).then_some(()));
    silent.extend((0..200).map(|_| harness.connect_gateway()));
    harness.agent.disconnect();
    harness.agent.wait_for_commands("subscribe", 2);
    assert_serves(&harness);
    // The registry is reachable again at the same address.
    let registry = HttpStandIn::serve_registry(silent_listener);
    registry.wait_for_request("PUT /roster/toy-1 ", "on");
    assert_serves(&harness);
    assert!(!harness.log.lock().iter().any(|line| line.contains("listener: accept failed")));
}

/// Opens connections as fast as the server accepts them and keeps up to 1000 of its own ends open, so that those the server
/// closed stay half open. Some send nothing, some part of a message, some one health check. Pauses while
/// `connect_gate` is held for writing and ends once `stopped` is set.
fn flood(server: std::net::SocketAddr, stopped: &AtomicBool, connect_gate: &RwLock<()>) {
    let mut held = std::collections::VecDeque::new();
    while !stopped.load(Ordering::Relaxed) {
        let _connecting = connect_gate.read().unwrap();
        let Ok(mut stream) = std::net::TcpStream::connect(server) else { continue };
        let message: &[u8] = match held.len() % 3 {
            0 => b"",
            1 => b"*5\r\n$4\r\nCA",
            _ => b"*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$0\r\n\r\n",
        };
        let _ = stream.write_all(message);
        held.push_back(stream);
        if held.len() > 1000 {
            held.pop_front();
        }
    }
}

#[test]
fn descriptor_limit_holds_during_flood_drain_and_restart() {
    const DESCRIPTOR_LIMIT: usize = 64;
    // A short stop time makes all connections close while new ones arrive.
    let mut harness = ServerHarness::start(SERVER, |config| {
        config["limits"]["sockets"] = json!(DESCRIPTOR_LIMIT);
        config["stop_ms"] = json!(1500);
    });
    let server = harness.address;
    let (stopped, peak) = (AtomicBool::new(false), AtomicUsize::new(0));
    let process = AtomicUsize::new(harness.child.id() as usize);
    let connect_gate = RwLock::new(());
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| flood(server, &stopped, &connect_gate));
        }
        // Counts descriptors through /proc in a loop. A number is listed once and new descriptors take the lowest free
        // number, so that one listing never counts more than were open at the same time.
        scope.spawn(|| {
            while !stopped.load(Ordering::Relaxed) {
                let open = std::fs::read_dir(format!("/proc/{}/fd", process.load(Ordering::Relaxed)));
                peak.fetch_max(open.map_or(0, Iterator::count), Ordering::Relaxed);
            }
        });
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..2 {
                // Hanging store calls and two agent links while the connection table is full. The flood pauses here,
                // because a connection without a request is evicted first and this gateway might be it.
                let no_new_connections = connect_gate.write().unwrap();
                let mut busy = harness.connect_gateway();
                for index in 0..12 {
                    busy.call("order", &KEY.replace("5c0f", &format!("00{index:02}")), b"call hang");
                }
                harness
                    .store
                    .requests
                    .wait_for("12 store calls", |requests| (requests.len() >= 12).then_some(()));
                drop(no_new_connections);
                harness.store.requests.update(Vec::clear);
                harness.agent.disconnect();
                harness.agent.wait_for_commands("subscribe", 2);
                harness.send_sigterm();
                assert!(harness.wait_for_exit().success());
                harness.agent.restart(true);
                harness.restart(SERVER);
                // Before the new process listens, /proc shows descriptors inherited at the fork, the flood's among them.
                harness.wait_for_log("listens on");
                process.store(harness.child.id() as usize, Ordering::Relaxed);
                harness.agent.wait_for_command("sample", "");
            }
        }));
        stopped.store(true, Ordering::Relaxed);
        result.unwrap();
    });
    let peak = peak.into_inner();
    println!("{peak} descriptors open at most, limit {DESCRIPTOR_LIMIT}");
    assert!(
        (DESCRIPTOR_LIMIT / 2..=DESCRIPTOR_LIMIT).contains(&peak),
        "{peak} descriptors open at most, limit {DESCRIPTOR_LIMIT}"
    );
}

#[test]
fn connection_resets_leak_no_descriptors() {
    let harness = start_server();
    let open = |harness: &ServerHarness| {
        std::fs::read_dir(format!("/proc/{}/fd", harness.child.id())).unwrap().count()
    };
    assert_serves(&harness);
    let before = open(&harness);
    for _ in 0..300 {
        let mut gateway = harness.connect_gateway();
        gateway.call("quote", "", b"reset");
        // Closing with an unread response resets the connection.
        gateway.wait_readable();
    }
    assert_serves(&harness);
    let started_at = Instant::now();
    while open(&harness) > before + 3 {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "{} more descriptors open after {WAIT_TIMEOUT:?}",
            open(&harness) - before
        );
        std::thread::yield_now();
    }
}

// ---- names in the settings ----

#[test]
fn similar_and_non_ascii_names_are_distinguished() {
    let class = |name: &str, effect: &str| json!({"Name": name, "Promise": 4000, "GiveUp": 8000, "Importance": 1, "Effect": effect, "DedupWindow": 900});
    let harness = ServerHarness::start(SERVER, |config| {
        let settings = &mut config["settings"];
        settings["Lanes"] =
            json!([class("cita", "safe"), class("cita.año", "keyed"), class("cita.año.新", "unsafe")]);
        settings["Tenants"] =
            json!([{"Name": "norte", "QuotaRps": 0}, {"Name": "norte.ñ", "QuotaRps": 1e300}]);
        settings["FamilyInfo"]["ClassCalls"] = Value::Null;
        settings["FamilyInfo"]["Unheard-Of"] = json!({"of": ["anything"]});
    });
    let mut gateway = harness.connect_gateway();
    for tenant in ["norte", "norte.ñ"] {
        for (index, class_name) in ["cita", "cita.año", "cita.año.新"].into_iter().enumerate() {
            let key = KEY.replace("5c", &format!("{index}{}", tenant.len() % 10));
            let (_, attempt_id) = gateway.call(class_name, &format!(",t={tenant}{key}"), b"");
            assert_eq!(gateway.read_response().unwrap().status, "200", "{class_name} of {tenant}");
            assert_eq!(harness.agent.wait_for_command("launch", &attempt_id)["class"], class_name);
        }
    }
    for unknown in ["cita.", "cit", "cita.ano", "norte"] {
        assert_eq!(call_status(&mut gateway, unknown, ",t=norte", b""), "500", "{unknown}");
    }
    for unknown in ["nort", "norte.", "norte.n", "acme"] {
        assert_eq!(call_status(&mut gateway, "cita", &format!(",t={unknown}"), b""), "500", "{unknown}");
    }
}
