//! A server process whose wall clock is stepped and whose system calls fail.

use puffinladder_toy::gateway::{unix_time_ms, Gateway};
use puffinladder_toy::harness::ServerHarness;
use puffinladder_toy::shim::{Shim, SystemFaults};
use puffinladder_toy::WAIT_TIMEOUT;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Instant;

const SERVER: &str = env!("CARGO_BIN_EXE_puffinladder-server");
const KEY: &str = ",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const HOUR_MS: i64 = 3_600_000;
/// Difference between the clocks of two machines that are kept in step.
const CLOCK_SKEW_MS: u128 = 50;

/// Starts a server with the library for faults.
fn start_server() -> (ServerHarness, Shim) {
    start_program(&[SERVER])
}

fn start_program(program: &[&str]) -> (ServerHarness, Shim) {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shim/system_faults.c");
    let shim = Shim::compile(&source, Path::new(env!("CARGO_TARGET_TMPDIR")));
    let command_line = shim.command_line(program);
    let program: Vec<&str> = command_line.iter().map(String::as_str).collect();
    (ServerHarness::start(&program, |_| {}), shim)
}

fn step_clock(shim: &Shim, clock_step_ms: i64) {
    shim.set(SystemFaults { clock_step_ms, ..SystemFaults::default() });
}

fn call_status(gateway: &mut Gateway, class: &str, extra_fields: &str, body: &[u8]) -> String {
    let (tag, _) = gateway.call(class, extra_fields, body);
    let response = gateway.read_response().expect("the server answers the request");
    assert_eq!(response.tag, tag);
    response.status
}

/// Guards against a step of the wall clock after which a retry within its window runs a second time.
#[test]
fn retry_after_a_clock_step_does_not_run_again() {
    for step in [HOUR_MS, -HOUR_MS] {
        let (harness, shim) = start_server();
        let mut gateway = harness.connect_gateway();
        assert_eq!(call_status(&mut gateway, "order", KEY, b"an order"), "200");
        step_clock(&shim, step);
        // Housekeeping, which forgets expired keys, follows within a few polls of the agent.
        harness.agent.wait_for_commands("sample", harness.agent.command_count("sample", "") + 20);
        let retry = format!("{KEY},r=1");
        let status = call_status(&mut harness.connect_gateway(), "order", &retry, b"an order");
        assert_eq!(status, "200", "step of {step} ms");
        assert_eq!(harness.agent.command_count("launch", ""), 1, "step of {step} ms");
    }
}

/// Guards against a step of the wall clock that ends the deadlines of open requests, or rejects new ones as old: all,
/// or those of a gateway whose clock is a little ahead.
#[test]
fn requests_are_served_across_clock_steps() {
    let (harness, shim) = start_server();
    let (mut first, mut second) = (harness.connect_gateway(), harness.connect_gateway());
    let (tag, attempt_id) = first.call("quote", "", b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    for step in [HOUR_MS, -HOUR_MS, 7_000, -7_000, 0] {
        step_clock(&shim, step);
        harness.agent.wait_for_commands("sample", harness.agent.command_count("sample", "") + 5);
        assert_eq!(call_status(&mut second, "quote", "", b"quick"), "200", "step of {step} ms");
        let sent_ahead = format!(",s={}", unix_time_ms() + CLOCK_SKEW_MS);
        let status = call_status(&mut second, "quote", &sent_ahead, b"quick");
        assert_eq!(status, "200", "step of {step} ms, sent by a clock {CLOCK_SKEW_MS} ms ahead");
        assert_eq!(call_status(&mut second, "quote", "", b"call text"), "200", "step of {step} ms");
    }
    harness.agent.finish_run(&attempt_id);
    let response = first.read_response().expect("the server answers the request");
    assert_eq!((response.tag, response.status.as_str()), (tag, "200"));
}

/// Guards against a step of the wall clock that ends a drain, and the process, before its time.
#[test]
fn drain_takes_its_time_across_a_clock_step() {
    let (harness, shim) = start_server();
    let mut gateway = harness.connect_gateway();
    let (tag, attempt_id) = gateway.call("quote", "", b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    harness.send_sigterm();
    harness.wait_for_log("shutting down");
    step_clock(&shim, HOUR_MS);
    harness.agent.wait_for_commands("sample", harness.agent.command_count("sample", "") + 5);
    harness.agent.finish_run(&attempt_id);
    let response = gateway.read_response().expect("the server answers the request");
    assert_eq!((response.tag, response.status.as_str()), (tag, "200"));
}

/// A server that writes a trace.
struct TracedServer {
    harness: ServerHarness,
    shim: Shim,
    traces: PathBuf,
    /// Removed with everything in it when the test ends.
    _folder: tempfile::TempDir,
}

impl TracedServer {
    fn start() -> TracedServer {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let (traces, settings) = (folder.path().join("traces"), folder.path().join("settings.scm"));
        let text = format!("(trace (folder \"{}\") (block-span 1s))", traces.display());
        std::fs::write(&settings, text).expect("the settings can be written");
        let settings = format!("PUFFINLADDER_SETTINGS={}", settings.display());
        let (harness, shim) = start_program(&["env", &settings, SERVER]);
        TracedServer { harness, shim, traces, _folder: folder }
    }

    fn written_bytes(&self) -> u64 {
        let files = std::fs::read_dir(&self.traces).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len()).sum()
    }

    fn wait_for_polls(&self, count: usize) {
        let seen = self.harness.agent.command_count("sample", "");
        self.harness.agent.wait_for_commands("sample", seen + count);
    }

    fn wait_for_growth(&self, before: u64) {
        let started_at = Instant::now();
        while self.written_bytes() <= before {
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "nothing written within {WAIT_TIMEOUT:?}");
            thread::yield_now();
        }
    }
}

/// Guards against a step of the wall clock back, after which the trace was not written until the clock had caught up.
#[test]
fn trace_is_written_after_a_clock_step_back() {
    let server = TracedServer::start();
    let mut gateway = server.harness.connect_gateway();
    assert_eq!(call_status(&mut gateway, "quote", "", b"a first request"), "200");
    server.wait_for_growth(0);
    // The file's head comes first, then its first block.
    server.wait_for_polls(10);
    // This record waits for its block to be written when the clock steps.
    let before = server.written_bytes();
    assert_eq!(call_status(&mut gateway, "quote", "", b"before the step"), "200");
    server.wait_for_polls(10);
    step_clock(&server.shim, -HOUR_MS);
    server.wait_for_growth(before);
}

/// Guards against a disk that fails for a while and ends the service of requests, or the trace for good.
#[test]
fn trace_is_written_again_after_disk_errors() {
    const ENOSPC: u32 = 28;
    const EIO: u32 = 5;
    for disk_error in [ENOSPC, EIO] {
        // Only the first of a series of failures is logged: each error has a server of its own.
        let server = TracedServer::start();
        let mut gateway = server.harness.connect_gateway();
        assert_eq!(call_status(&mut gateway, "quote", "", b"a first request"), "200");
        server.wait_for_growth(0);
        server.shim.set(SystemFaults { disk_error, ..SystemFaults::default() });
        assert_eq!(call_status(&mut gateway, "quote", "", b"while the disk fails"), "200");
        server.harness.wait_for_log(&format!("(os error {disk_error})"));
        assert_eq!(call_status(&mut gateway, "quote", "", b"still failing"), "200");
        let before = server.written_bytes();
        server.shim.set(SystemFaults::default());
        assert_eq!(call_status(&mut gateway, "quote", "", b"the disk is well"), "200");
        server.wait_for_growth(before);
    }
}

/// Guards against system calls that fail for a moment or do less than asked: every request gets its answer.
#[test]
fn requests_are_answered_while_system_calls_fail() {
    let (harness, shim) = start_server();
    for seed in 1..=3 {
        println!("seed {seed}");
        shim.set(SystemFaults { fail_one_in: 6, seed, ..SystemFaults::default() });
        for _ in 0..5 {
            let mut gateway = harness.connect_gateway();
            let body = vec![b'x'; 1500];
            for _ in 0..10 {
                assert_eq!(call_status(&mut gateway, "quote", "", &body), "200", "seed {seed}");
                let status = call_status(&mut gateway, "quote", "", b"call text");
                assert_eq!(status, "200", "seed {seed}");
            }
        }
    }
}

/// Guards against an accept that fails for its own connection and closes an idle one for it.
#[test]
fn failed_accept_closes_no_idle_connection() {
    const ECONNABORTED: u32 = 103;
    let (harness, shim) = start_server();
    let mut idle = harness.connect_gateway();
    assert_eq!(call_status(&mut idle, "quote", "", b"quick"), "200");
    shim.set(SystemFaults { accept_error: ECONNABORTED, ..SystemFaults::default() });
    let mut waiting = harness.connect_gateway();
    harness.wait_for_log("listener: accept failed");
    harness.agent.wait_for_commands("sample", harness.agent.command_count("sample", "") + 20);
    shim.set(SystemFaults::default());
    assert_eq!(call_status(&mut waiting, "quote", "", b"quick"), "200");
    assert_eq!(call_status(&mut idle, "quote", "", b"quick"), "200");
}
