//! Tests of the trace that a server records: it agrees with the responses that gateways received.

use puffinladder_toy::gateway::{unix_time_ms, Gateway};
use puffinladder_toy::harness::ServerHarness;
use puffinladder_toy::WAIT_TIMEOUT;
use puffinladder_trace::anonymise::parse_key;
use puffinladder_trace::file::BlockKind;
use puffinladder_trace::recorder::{keyed_hash, request_key_hash};
use puffinladder_trace::row::{Names, Row, Topic};
use puffinladder_trace::tools::{notes, Selection};
use puffinladder_trace::Trace;
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

const SERVER: &str = env!("CARGO_BIN_EXE_puffinladder-server");
const KEY_HEX: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const KEY: &str = ",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// Writes settings that record a trace in `folder` and returns their path.
fn write_settings(folder: &Path, options: &str) -> String {
    let (key, file) = (folder.join("key"), folder.join("ours.scm"));
    std::fs::write(&key, KEY_HEX).unwrap();
    let (traces, key) = (folder.join("traces"), key.display());
    let text = format!("(trace (folder \"{}\") (key-file \"{key}\") {options})", traces.display());
    std::fs::write(&file, text).unwrap();
    file.display().to_string()
}

/// Starts a server that records a trace and does not stop runs, so that they outlast their responses.
fn start_server(settings: &str) -> ServerHarness {
    let settings = format!("PUFFINLADDER_SETTINGS={settings}");
    ServerHarness::start(&["env", &settings, SERVER], |config| {
        config["settings"]["FamilyInfo"]["Halt"] = "silent".into()
    })
}

fn trace_files(folder: &Path) -> Vec<PathBuf> {
    let Ok(found) = std::fs::read_dir(folder.join("traces")) else { return Vec::new() };
    let mut paths: Vec<PathBuf> = found.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

/// Returns the rows of all files with the texts of their steps, by the hash of the attempt id.
fn recorded_rows(folder: &Path, names: &mut Names) -> BTreeMap<u32, (Row, Vec<String>)> {
    let mut rows_by_hash = BTreeMap::new();
    for path in trace_files(folder) {
        let Ok(mut trace) = Trace::open(File::open(path).unwrap()) else { continue };
        let mut rows = Vec::new();
        for entry in trace.entries.clone() {
            trace.rows(&entry, names, &mut rows).unwrap();
        }
        for row in rows {
            let steps = names.path(row.path).steps().map(|step| step.text()).collect();
            assert!(rows_by_hash.insert(row.name, (row, steps)).is_none(), "attempt recorded twice");
        }
    }
    rows_by_hash
}

fn attempt_hash(attempt_id: &str) -> u32 {
    keyed_hash(&parse_key(KEY_HEX).unwrap(), attempt_id.as_bytes()) as u32
}

#[test]
fn drained_server_seals_complete_trace() {
    let folder = tempfile::tempdir().unwrap();
    let mut harness = start_server(&write_settings(folder.path(), "(block-span 0.2s)"));
    let mut gateway = harness.connect_gateway();
    let mut sent = BTreeMap::new();
    let stale = format!(",s={}", unix_time_ms() - 5000);
    for (class, more, body) in [
        ("quote", "", "plain"),
        ("quote", stale.as_str(), "too old"),
        ("quote", "", "fail"),
        ("quote", "", "call the store"),
        ("order", KEY, "an order"),
        ("order", KEY, "an order"),
    ] {
        let (tag, attempt_id) = gateway.call(class, more, body.as_bytes());
        let response = gateway.read_response().unwrap();
        assert_eq!(response.tag, tag);
        sent.insert(attempt_hash(&attempt_id), (response, class));
    }
    let (tag, held) = gateway.call("quote", "", b"hold");
    harness.agent.wait_for_command("launch", &held);
    gateway.cancel(tag);
    harness.wait_for_log("gone");
    let (_, open) = gateway.call("quote", "", b"hold");
    harness.agent.wait_for_command("launch", &open);
    harness.send_sigterm();
    assert!(harness.wait_for_exit().success());

    let mut names = Names::default();
    let rows = recorded_rows(folder.path(), &mut names);
    assert_eq!(rows.len(), 8);
    for (hash, (response, class)) in &sent {
        let (row, steps) = &rows[hash];
        let status = match names.path(row.path).disposition().label() {
            "settled" => "200",
            "declined" => "503",
            _ => "500",
        };
        assert_eq!(status, response.status, "{steps:?}");
        assert_eq!(&names.product(row.product).name, class);
        assert_eq!((names.text(row.customer), row.caller, names.text(row.node)), ("acme", 1, "toy-1"));
        assert_eq!(
            response.fields.contains(&format!("w={}", row.keep_off)),
            row.keep_off > 0,
            "{}",
            response.fields
        );
        assert_eq!(row.key != 0, *class == "order");
    }
    let recorded: Vec<String> = rows.values().map(|(_, steps)| steps.join(", ")).collect();
    for expected in [
        "run, ended (done), settled",
        "declined (waited)",
        "run, ended (failed), voided (run failed)",
        "run, at call, call, returned (done), ended (done), settled",
        "replayed, settled",
        "run, gone",
    ] {
        assert!(
            recorded.iter().any(|steps| steps == expected),
            "no attempt with steps {expected:?} in {recorded:?}"
        );
    }
    // The run still open at the exit has a response and a complete row too.
    let steps = &rows[&attempt_hash(&open)].1;
    assert_eq!(gateway.read_response().unwrap().status, "500");
    assert_eq!(steps.join(", "), "run, voided (due)");
    let key = request_key_hash(&parse_key(KEY_HEX).unwrap(), &KEY.as_bytes()[3..]);
    assert_eq!(rows.values().filter(|(row, _)| row.key == key).count(), 2);

    let mut state = Vec::new();
    for path in trace_files(folder.path()) {
        let mut trace = Trace::open(File::open(&path).unwrap()).unwrap();
        assert!(trace.sealed && trace.damage.is_empty(), "{path:?}");
        state.extend(notes(&mut trace, &mut names, &Selection::default(), &mut Vec::new()).unwrap());
        // The file contains neither attempt ids nor keys in plain text.
        let bytes = std::fs::read(&path).unwrap();
        assert!(!bytes.windows(16).any(|w| w == held.as_bytes() || w == &KEY.as_bytes()[3..19]));
    }
    for topic in [Topic::LIMIT, Topic::CALLS, Topic::HEALTH, Topic::LEAVE, Topic::BUSY, Topic::MEMORY] {
        assert!(state.iter().any(|note| note.topic == topic), "the trace has no note on {}", topic.text());
    }
}

#[test]
fn trace_of_killed_server_agrees_with_responses() {
    let folder = tempfile::tempdir().unwrap();
    let mut harness = start_server(&write_settings(folder.path(), "(block-rows 64) (block-span 600s)"));
    let server = harness.address;
    let load = move |id: usize| {
        let mut gateway = Gateway::connect(server);
        let mut received: Vec<(u32, String)> = Vec::new();
        // An upper bound; the server is killed long before.
        for at in 0..100_000 {
            let body = if at % 7 == id { "fail" } else { "quick" };
            let Some((attempt_id, status)) = call_until_closed(&mut gateway, body) else { break };
            received.push((attempt_hash(&attempt_id), status));
        }
        received
    };
    let gateways: Vec<_> = (0..3).map(|id| std::thread::spawn(move || load(id))).collect();
    let end = Instant::now() + WAIT_TIMEOUT;
    let blocks = || {
        let trace =
            trace_files(folder.path()).first().and_then(|path| Trace::open(File::open(path).ok()?).ok());
        trace.map_or(0, |trace| trace.record_count(BlockKind::Rows))
    };
    while blocks() < 256 {
        assert!(Instant::now() < end, "{} of 256 blocks written within {WAIT_TIMEOUT:?}", blocks());
        std::thread::yield_now();
    }
    harness.child.kill().unwrap();
    harness.wait_for_exit();
    let received: Vec<_> = gateways.into_iter().map(|thread| thread.join().unwrap()).collect();

    let mut names = Names::default();
    let rows = recorded_rows(folder.path(), &mut names);
    assert!(rows.len() >= 256, "{}", rows.len());
    for gateway in &received {
        let mut missing = false;
        for (hash, status) in gateway {
            match rows.get(hash) {
                Some((row, steps)) => {
                    assert!(!missing, "the trace lacks an attempt answered before a recorded one");
                    let settled = names.path(row.path).disposition().label() == "settled";
                    assert_eq!(settled, status == "200", "{status}: {steps:?}");
                }
                None => missing = true,
            }
        }
    }
}

/// Sends a request and returns its attempt id and status, or `None` once the connection is closed.
fn call_until_closed(gateway: &mut Gateway, body: &str) -> Option<(String, String)> {
    use std::panic::{catch_unwind, AssertUnwindSafe};
    // Sending panics once the server is gone.
    let (_, attempt_id) =
        catch_unwind(AssertUnwindSafe(|| gateway.call("quote", "", body.as_bytes()))).ok()?;
    gateway.read_response().map(|response| (attempt_id, response.status))
}

#[test]
fn invalid_settings_report_every_error_with_position() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("ours.scm");
    std::fs::write(&file, "(trace\n  (block-rows 1)\n  (folder 5))").unwrap();
    let config = folder.path().join("config.json");
    std::fs::write(&config, puffinladder_toy::harness::EXAMPLE_CONFIG).unwrap();
    let out = Command::new(SERVER)
        .env("PUFFINLADDER_SETTINGS", &file)
        .env("BALANCER_CONFIG", &config)
        .output()
        .unwrap();
    let errors = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(1), "{errors}");
    assert!(
        errors.contains("ours.scm:2:15: trace.block-rows: ")
            && errors.contains("ours.scm:3:11: trace.folder: "),
        "{errors}"
    );
}

#[test]
fn prints_help_and_rejects_unknown_flag() {
    let run = |flag: &str| Command::new(SERVER).arg(flag).output().unwrap();
    let help = run("--help");
    assert!(help.status.success() && String::from_utf8_lossy(&help.stdout).contains("BALANCER_CONFIG"));
    assert_eq!(run("--hlep").status.code(), Some(2));
}
