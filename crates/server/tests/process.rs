//! What the process is to its machine when it is started as the platform starts it: threads, descriptors, addresses.
//! The operators' standing test refuses other programs, forks and Unix sockets; whatever is added to the program must be off here.

use puffinladder_toy::town::Town;
use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];

fn proc(town: &Town, what: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{}/{what}", town.child.id()))
}

/// Names of its threads, as the kernel shows them.
fn threads(town: &Town) -> Vec<String> {
    let tasks = fs::read_dir(proc(town, "task")).unwrap();
    let name = |task: fs::DirEntry| fs::read_to_string(task.path().join("comm")).unwrap().trim().to_string();
    let mut names: Vec<String> = tasks.map(|task| name(task.unwrap())).collect();
    names.sort();
    names
}

/// What its descriptors are, standard streams apart.
fn descriptors(town: &Town) -> Vec<String> {
    let open = fs::read_dir(proc(town, "fd")).unwrap().map(Result::unwrap);
    let ours = open.filter(|one| one.file_name().to_str().unwrap().parse::<u32>().unwrap() > 2);
    // One may close while it is looked at: an entry that is gone is none.
    let mut kinds: Vec<String> =
        ours.filter_map(|one| Some(fs::read_link(one.path()).ok()?.to_str()?.to_string())).collect();
    kinds.sort();
    kinds
}

/// Inodes in a table of the kernel's sockets, of which they are the word at this place.
fn inodes(town: &Town, table: &str, word: usize) -> BTreeSet<String> {
    let text = fs::read_to_string(proc(town, table)).unwrap_or_default();
    text.lines().skip(1).filter_map(|line| Some(line.split_whitespace().nth(word)?.to_string())).collect()
}

/// A town that has served, so that all its coroutines and links stand, and whose gateway has left.
fn town() -> Town {
    let town = Town::open(SERVER, |_| {});
    let mut gateway = town.gateway();
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.answer().unwrap().word, "200");
    town
}

#[test]
fn started_as_the_platform_does_it_has_the_threads_it_needs_and_no_child() {
    let town = town();
    // The main one, may's worker and may's timer have the program's name.
    assert_eq!(threads(&town), ["log", "puffinladder-se", "puffinladder-se", "puffinladder-se", "signals"]);
    let children = proc(&town, &format!("task/{}/children", town.child.id()));
    assert_eq!(fs::read_to_string(children).unwrap_or_default(), "");
}

#[test]
fn it_holds_sockets_of_ipv4_alone_and_listens_at_one_address() {
    let town = town();
    let (tcp, unix) = (inodes(&town, "net/tcp", 9), inodes(&town, "net/unix", 6));
    let mut sockets = 0;
    let open = descriptors(&town);
    for socket in open.iter().filter_map(|one| one.strip_prefix("socket:[")?.strip_suffix(']')) {
        assert!(!unix.contains(socket), "a Unix socket among {open:?}");
        sockets += usize::from(tcp.contains(socket));
    }
    // The listener, the agent's link, at most a report to the registry and the gateway on its way out.
    assert!((2..=4).contains(&sockets), "{open:?}");
    assert!(open.len() <= 14, "{open:?}");
    let table = fs::read_to_string(proc(&town, "net/tcp")).unwrap();
    let listening = |line: &&str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words[3] == "0A" && open.contains(&format!("socket:[{}]", words[9]))
    };
    assert_eq!(table.lines().skip(1).filter(listening).count(), 1);
}

#[test]
fn signals_are_heard_any_number_of_times_and_the_notice_to_drain_once() {
    let mut town = town();
    for moves in 1..=3 {
        town.move_peers();
        town.agent.hears_times("subscribe", moves + 1);
    }
    town.reload("{ half a file");
    town.logs("keeping the current configuration");
    town.term();
    town.logs("shutting down on SIGTERM");
    town.term();
    assert!(town.end().success());
    assert_eq!(town.log.lock().iter().filter(|line| line.contains("shutting down on SIGTERM")).count(), 1);
}

/// Coordination lives in processes of its own: nothing of it may come in through some dependency.
#[test]
fn the_program_links_no_consensus_no_store_and_no_second_runtime() {
    let asked =
        ["tree", "-p", "puffinladder-server", "-e", "normal", "--prefix", "none", "--locked", "--offline"];
    let tree = std::process::Command::new(env!("CARGO")).args(asked).output().unwrap();
    assert!(tree.status.success(), "{}", String::from_utf8_lossy(&tree.stderr));
    let tree = String::from_utf8(tree.stdout).unwrap();
    let linked: BTreeSet<&str> = tree.lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(linked.contains("may") && linked.contains("puffinladder-trace"), "{linked:?}");
    for never in ["raft", "raft-proto", "tokio", "redb", "puffinladder-lease-store", "puffinladder-leases"] {
        assert!(!linked.contains(never), "{never}");
    }
}
