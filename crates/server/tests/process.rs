//! Resources of a server process in its default configuration: threads, descriptors and addresses. The operators' acceptance
//! test allows no child processes and no Unix sockets, so optional features must open none by default.

use puffinladder_toy::harness::ServerHarness;
use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];

fn proc_path(harness: &ServerHarness, file: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{}/{file}", harness.child.id()))
}

/// Returns the sorted names of the process's threads as the kernel shows them.
fn thread_names(harness: &ServerHarness) -> Vec<String> {
    let tasks = fs::read_dir(proc_path(harness, "task")).unwrap();
    let name = |task: fs::DirEntry| fs::read_to_string(task.path().join("comm")).unwrap().trim().to_string();
    let mut names: Vec<String> = tasks.map(|task| name(task.unwrap())).collect();
    names.sort();
    names
}

/// Returns the sorted link targets of the open descriptors, without the standard streams.
fn open_descriptors(harness: &ServerHarness) -> Vec<String> {
    let open = fs::read_dir(proc_path(harness, "fd")).unwrap().map(Result::unwrap);
    let beyond_standard =
        open.filter(|entry| entry.file_name().to_str().unwrap().parse::<u32>().unwrap() > 2);
    // A descriptor may be closed after it is listed.
    let mut targets: Vec<String> = beyond_standard
        .filter_map(|entry| Some(fs::read_link(entry.path()).ok()?.to_str()?.to_string()))
        .collect();
    targets.sort();
    targets
}

/// Returns the socket inodes in the given column of a table below `/proc/PID`.
fn socket_inodes(harness: &ServerHarness, table: &str, column: usize) -> BTreeSet<String> {
    let text = fs::read_to_string(proc_path(harness, table)).unwrap_or_default();
    text.lines().skip(1).filter_map(|line| Some(line.split_whitespace().nth(column)?.to_string())).collect()
}

/// Starts a server that has served a request, so that all its coroutines and links are up. The gateway has disconnected.
fn start_server() -> ServerHarness {
    let harness = ServerHarness::start(SERVER, |_| {});
    let mut gateway = harness.connect_gateway();
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.read_response().unwrap().status, "200");
    harness
}

#[test]
fn runs_expected_threads_and_no_child_process() {
    let harness = start_server();
    // The main thread, may's worker and may's timer have the program's name.
    assert_eq!(
        thread_names(&harness),
        ["log", "puffinladder-se", "puffinladder-se", "puffinladder-se", "signals"]
    );
    let children = proc_path(&harness, &format!("task/{}/children", harness.child.id()));
    assert_eq!(fs::read_to_string(children).unwrap_or_default(), "");
}

#[test]
fn uses_only_ipv4_sockets_and_one_listener() {
    let harness = start_server();
    let (tcp, unix) = (socket_inodes(&harness, "net/tcp", 9), socket_inodes(&harness, "net/unix", 6));
    let mut sockets = 0;
    let open = open_descriptors(&harness);
    for socket in open.iter().filter_map(|entry| entry.strip_prefix("socket:[")?.strip_suffix(']')) {
        assert!(!unix.contains(socket), "a Unix socket among {open:?}");
        sockets += usize::from(tcp.contains(socket));
    }
    // The listener and the agent's link, and possibly a report to the registry and the closing gateway connection.
    assert!((2..=4).contains(&sockets), "{open:?}");
    assert!(open.len() <= 14, "{open:?}");
    let table = fs::read_to_string(proc_path(&harness, "net/tcp")).unwrap();
    let listening = |line: &&str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words[3] == "0A" && open.contains(&format!("socket:[{}]", words[9]))
    };
    assert_eq!(table.lines().skip(1).filter(listening).count(), 1);
}

#[test]
fn repeated_sighup_reloads_and_repeated_sigterm_drains_once() {
    let mut harness = start_server();
    for moves in 1..=3 {
        harness.move_peers();
        harness.agent.wait_for_commands("subscribe", moves + 1);
    }
    harness.reload("{ half a file");
    harness.wait_for_log("keeping the current configuration");
    harness.send_sigterm();
    harness.wait_for_log("shutting down on SIGTERM");
    harness.send_sigterm();
    assert!(harness.wait_for_exit().success());
    assert_eq!(harness.log.lock().iter().filter(|line| line.contains("shutting down on SIGTERM")).count(), 1);
}

/// Coordination runs in separate processes, so the server must not link it, even through a dependency.
#[test]
fn links_no_consensus_store_or_second_runtime() {
    let arguments =
        ["tree", "-p", "puffinladder-server", "-e", "normal", "--prefix", "none", "--locked", "--offline"];
    let tree = std::process::Command::new(env!("CARGO")).args(arguments).output().unwrap();
    assert!(tree.status.success(), "{}", String::from_utf8_lossy(&tree.stderr));
    let tree = String::from_utf8(tree.stdout).unwrap();
    let linked: BTreeSet<&str> = tree.lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(linked.contains("may") && linked.contains("puffinladder-trace"), "{linked:?}");
    for crate_name in
        ["raft", "raft-proto", "tokio", "redb", "puffinladder-lease-store", "puffinladder-leases"]
    {
        assert!(!linked.contains(crate_name), "{crate_name}");
    }
}
