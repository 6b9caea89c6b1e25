//! Rare moments, played to a whole server process over real connections. Each story forces its order: the process stands
//! still while its sockets fill, or a stand-in waits for what it must have seen.

use puffinladder_toy::gateway::{message, now, Gateway};
use puffinladder_toy::http::Place;
use puffinladder_toy::town::Town;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::RwLock;
use std::thread;
use std::time::{Duration, Instant};

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];
const KEY: &str = ",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

fn town() -> Town {
    Town::open(SERVER, |_| {})
}

fn word(gateway: &mut Gateway, class: &str, more: &str, body: &[u8]) -> String {
    let (tag, _) = gateway.call(class, more, body);
    let answer = gateway.answer().expect("an answer");
    assert_eq!(answer.tag, tag);
    answer.word
}

fn still_serves(town: &Town) {
    assert_eq!(word(&mut town.gateway(), "quote", "", b"still there"), "200");
}

// ---- the end of a connection ----

#[test]
fn what_was_answered_before_a_broken_message_arrives_and_no_reset_takes_it_away() {
    let town = town();
    let mut gateway = town.gateway();
    // Answered at once, unread by the policy; then what can't be read, and more behind it than one read takes.
    let good = message(&[b"CALL", b"1", b"nothing", b"", b""]);
    let bytes = [good, b"*no array\r\n".to_vec(), vec![b'x'; 60_000]].concat();
    town.pause();
    gateway.stream.write_all(&bytes).unwrap();
    town.resume();
    assert_eq!(gateway.answer().expect("the answer that was owed").word, "500");
    gateway.end().expect("an end, not a reset");
}

#[test]
fn half_a_message_ends_its_connection_only_behind_the_answers_that_are_owed_there() {
    let town = town();
    let mut gateway = town.gateway();
    let (tag, name) = gateway.call("quote", "", b"hold");
    town.agent.hears("launch", &name);
    gateway.stream.write_all(b"*5\r\n$4\r\nCA").unwrap();
    // A connection opened later whose time is over: that of the first one is over as well, twice.
    for _ in 0..2 {
        town.gateway().end().unwrap();
    }
    town.agent.finish(&name);
    let answer = gateway.answer().expect("the answer that was owed");
    assert_eq!((answer.tag, answer.word.as_str()), (tag, "200"));
    gateway.end().unwrap();
}

#[test]
fn a_gateway_that_never_reads_to_the_end_of_a_closed_connection_holds_it_for_a_moment_only() {
    let town = town();
    let mut gateway = town.gateway();
    gateway.stream.write_all(b"*no array\r\n").unwrap();
    // It goes on sending: the server reads that for a while, then has enough.
    let begun = Instant::now();
    while gateway.stream.write_all(&[b'x'; 65_536]).is_ok() {
        assert!(begun.elapsed() < Duration::from_secs(20), "it is read for ever");
    }
    still_serves(&town);
}

// ---- the end of the process ----

#[test]
fn before_the_kill_every_connection_is_asked_to_leave_and_ended_with_all_that_is_owed() {
    let mut town = town();
    let (mut rests, mut works, mut silent) = (town.gateway(), town.gateway(), town.gateway());
    assert_eq!(word(&mut rests, "quote", "", b""), "200");
    let (tag, name) = works.call("order", KEY, b"hold");
    town.agent.hears("launch", &name);
    town.term();
    let goodbye = rests.answer().expect("a goodbye");
    assert_eq!((goodbye.tag, goodbye.word.as_str()), (0, "goaway"));
    rests.end().expect("an end, not a reset");
    let mut words: Vec<(u64, String)> = Vec::new();
    while let Some(answer) = works.answer() {
        words.push((answer.tag, answer.word));
    }
    assert_eq!(words, [(tag, "500".to_string())]);
    silent.end().expect("an end, not a reset");
    assert!(town.end().success());
}

#[test]
fn the_notice_to_drain_finds_what_was_accepted_but_not_read_and_that_is_answered() {
    let town = town();
    let mut open = town.gateway();
    assert_eq!(word(&mut open, "quote", "", b""), "200");
    // On an open connection, on a new one and behind it in the backlog, then the notice, twice: all wait together.
    town.pause();
    let mut fresh: Vec<Gateway> = (0..60).map(|_| town.gateway()).collect();
    for gateway in fresh.iter_mut().chain([&mut open]) {
        gateway.call("quote", "", b"before the notice was heard");
    }
    town.term();
    town.term();
    town.resume();
    for gateway in fresh.iter_mut().chain([&mut open]) {
        assert!(["200", "503"].contains(&gateway.answer().expect("an answer").word.as_str()));
    }
}

#[test]
fn the_notice_to_drain_before_the_agent_is_up_is_heeded_and_what_was_read_is_answered() {
    let mut town = Town::found(SERVER, false, |_| {});
    let mut gateway = town.gateway();
    gateway.call("order", KEY, b"read too soon");
    town.logs("txn 1");
    town.term();
    assert!(["500", "503"].contains(&gateway.answer().expect("an answer").word.as_str()));
    assert!(town.end().success());
    assert_eq!(town.agent.count("launch", ""), 0);
}

#[test]
fn a_reload_in_a_drain_moves_the_links_and_the_result_still_comes() {
    let mut town = town();
    let mut gateway = town.gateway();
    let (tag, name) = gateway.call("order", KEY, b"hold");
    town.agent.hears("launch", &name);
    town.term();
    town.move_peers();
    town.agent.hears_times("subscribe", 2);
    town.agent.finish(&name);
    let answer = gateway.answer().unwrap();
    assert_eq!((answer.tag, answer.word.as_str()), (tag, "200"));
    assert!(town.end().success());
}

// ---- retries ----

#[test]
fn a_retry_that_lay_unread_past_its_window_never_runs_again() {
    // A window of 0.1 s, and tries that may lie unread for long before they are due.
    let town = Town::open(SERVER, |config| {
        config["settings"]["Lanes"][1]["DedupWindow"] = json!(100);
        config["settings"]["Lanes"][1]["GiveUp"] = json!(60_000);
    });
    let mut gateway = town.gateway();
    let came = now();
    assert_eq!(word(&mut gateway, "order", &format!("{KEY},s={came}"), b"an order"), "200");
    // Each came to the machine within the window; the last of them is read three seconds behind its end.
    while now() < came + 3200 {
        let repeat = format!("{KEY},r=1,s={}", came + 40);
        assert!(["200", "503"].contains(&word(&mut gateway, "order", &repeat, b"an order").as_str()));
        assert_eq!(town.agent.count("launch", ""), 1, "run again after {} ms", now() - came);
    }
}

#[test]
fn a_cancel_that_crosses_the_answer_costs_nobody_anything() {
    let town = town();
    let mut gateway = town.gateway();
    let (tag, name) = gateway.call("order", KEY, b"hold");
    town.agent.hears("launch", &name);
    town.pause();
    town.agent.finish(&name);
    gateway.cancel(tag);
    town.resume();
    // Whichever was read first, there is at most one answer, and the result serves a retry.
    let (repeat, _) = gateway.call("order", KEY, b"hold");
    let mut answer = gateway.answer().unwrap();
    if answer.tag == tag {
        answer = gateway.answer().unwrap();
    }
    assert_eq!((answer.tag, answer.word.as_str()), (repeat, "200"));
    assert_eq!(town.agent.count("launch", ""), 1);
}

#[test]
fn a_window_shorter_than_the_run_ends_no_sooner_than_the_run() {
    let town = Town::open(SERVER, |config| config["settings"]["Lanes"][1]["DedupWindow"] = json!(1));
    let mut gateway = town.gateway();
    let (first, name) = gateway.call("order", KEY, b"hold");
    town.agent.hears("launch", &name);
    let begun = now();
    while now() < begun + 300 {
        still_serves(&town);
    }
    let (repeat, _) = gateway.call("order", KEY, b"hold");
    town.logs("replay");
    town.agent.finish(&name);
    let mut tags = [0; 2].map(|_| gateway.answer().map(|answer| (answer.tag, answer.word)).unwrap());
    tags.sort();
    assert_eq!(tags, [(first, "200".to_string()), (repeat, "200".to_string())]);
}

// ---- the agent and the store ----

#[test]
fn half_a_notice_and_notices_that_come_twice_are_heard_once() {
    let town = town();
    let mut gateway = town.gateway();
    let (tag, name) = gateway.call("order", KEY, b"hold");
    town.agent.hears("launch", &name);
    town.agent.babble(&format!("{{\"op\":\"outcome\",\"seq\":1,\"id\":\"{name}\",\"end\":\"fi"));
    town.agent.cut();
    town.agent.finish(&name);
    assert_eq!(gateway.answer().unwrap().tag, tag);
    town.agent.repeat();
    town.agent.repeat();
    assert_eq!(word(&mut gateway, "order", &KEY.replace('5', "6"), b"the next answer here"), "200");
}

#[test]
fn an_expiry_without_end_breaks_no_call() {
    // Times far beyond what a duration holds: the call goes out all the same, and its reply comes back.
    let town = Town::open(SERVER, |config| {
        for lane in 0..2 {
            for key in ["Promise", "GiveUp", "DedupWindow"] {
                config["settings"]["Lanes"][lane][key] = json!(1e300);
            }
        }
    });
    let mut gateway = town.gateway();
    let (tag, _) = gateway.call("order", KEY, b"call for ever");
    let answer = gateway.answer().unwrap();
    assert_eq!((answer.tag, answer.body.as_slice()), (tag, &b"stored for ever"[..]));
}

/// A listener whose backlog takes connections that nobody accepts.
fn deaf() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

#[test]
fn a_registry_that_takes_connections_and_says_nothing_stops_nothing() {
    let deaf = deaf();
    let mut town = Town::open(SERVER, |config| config["roster"] = json!(deaf.local_addr().unwrap()));
    town.logs("registry: failed to report to ");
    still_serves(&town);
    town.agent.cut();
    town.agent.hears_times("subscribe", 2);
    still_serves(&town);
    // Found at a new address it hears at once.
    town.move_peers();
    town.roster.hears("PUT /roster/toy-1 ", "on");
    still_serves(&town);
}

// ---- descriptors ----

#[test]
fn silent_clients_in_a_full_table_leave_descriptors_for_work_and_for_our_own_links() {
    let down = deaf();
    let narrow = ["sh", "-c", "ulimit -n 64; exec \"$0\"", SERVER[0]];
    let town = Town::open(&narrow, |config| {
        config["limits"]["sockets"] = json!(64);
        config["roster"] = json!(down.local_addr().unwrap());
    });
    let mut silent: Vec<Gateway> = (0..200).map(|_| town.gateway()).collect();
    // As many calls below as there is room for beside a run, none of which ends.
    let mut works = town.gateway();
    for at in 0..12 {
        works.call("order", &KEY.replace("5c0f", &format!("00{at:02}")), b"call hang");
    }
    town.store.calls.wait("12 calls", |calls| (calls.len() == 12).then_some(()));
    silent.extend((0..200).map(|_| town.gateway()));
    town.agent.cut();
    town.agent.hears_times("subscribe", 2);
    still_serves(&town);
    // Discovery is back where it was.
    let back = Place::roster_at(down);
    back.hears("PUT /roster/toy-1 ", "on");
    still_serves(&town);
    assert!(!town.log.lock().iter().any(|line| line.contains("listener: accept failed")));
}

/// Clients that connect as fast as they are accepted and never close: what the server ends stays half open. Some say
/// nothing, some begin a message, some ask once and stay. Stands still while `gate` is taken, and ends when told, with all
/// that it holds.
fn flood(server: std::net::SocketAddr, over: &AtomicBool, gate: &RwLock<()>) {
    let mut held = std::collections::VecDeque::new();
    while !over.load(Ordering::Relaxed) {
        let _connecting = gate.read().unwrap();
        let Ok(mut stream) = std::net::TcpStream::connect(server) else { continue };
        let says: &[u8] = match held.len() % 3 {
            0 => b"",
            1 => b"*5\r\n$4\r\nCA",
            _ => b"*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$0\r\n\r\n",
        };
        let _ = stream.write_all(says);
        held.push_back(stream);
        if held.len() > 1000 {
            held.pop_front();
        }
    }
}

#[test]
fn no_moment_of_a_flood_a_drain_or_a_new_life_holds_more_descriptors_than_were_given() {
    const GIVEN: usize = 64;
    // Its last moments are the ones in which all connections part while others still come.
    let mut town = Town::open(SERVER, |config| {
        config["limits"]["sockets"] = json!(GIVEN);
        config["stop_ms"] = json!(1500);
    });
    let server = town.server;
    let (over, most) = (AtomicBool::new(false), AtomicUsize::new(0));
    let process = AtomicUsize::new(town.child.id() as usize);
    let gate = RwLock::new(());
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| flood(server, &over, &gate));
        }
        // Looked at from outside, without a pause. A number is listed once, and new ones take the lowest that is free, so
        // that one look never counts more than were open together.
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                let open = std::fs::read_dir(format!("/proc/{}/fd", process.load(Ordering::Relaxed)));
                most.fetch_max(open.map_or(0, Iterator::count), Ordering::Relaxed);
            }
        });
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..2 {
                // Calls that hang below, and two links to the agent, while the table is full.
                // The flood's connections stay meanwhile, but none comes: one that has said nothing yet is the first to
                // make way for another, and this gateway might be it before its first call.
                let no_new_connections = gate.write().unwrap();
                let mut works = town.gateway();
                for at in 0..12 {
                    works.call("order", &KEY.replace("5c0f", &format!("00{at:02}")), b"call hang");
                }
                town.store.calls.wait("12 calls", |calls| (calls.len() >= 12).then_some(()));
                drop(no_new_connections);
                town.store.calls.change(Vec::clear);
                town.agent.cut();
                town.agent.hears_times("subscribe", 2);
                town.term();
                assert!(town.end().success());
                town.agent.anew(true);
                town.start_again(SERVER);
                // Until it has begun its own work it shows what it was started with, the flood's ends among that.
                town.logs("listens on");
                process.store(town.child.id() as usize, Ordering::Relaxed);
                town.agent.hears("sample", "");
            }
        }));
        over.store(true, Ordering::Relaxed);
        result.unwrap();
    });
    let most = most.into_inner();
    println!("{most} descriptors of {GIVEN} at the most");
    assert!((GIVEN / 2..=GIVEN).contains(&most), "{most} descriptors of {GIVEN}");
}

#[test]
fn resets_behind_the_last_byte_by_the_hundred_leave_nothing_behind() {
    let town = town();
    let open = |town: &Town| std::fs::read_dir(format!("/proc/{}/fd", town.child.id())).unwrap().count();
    still_serves(&town);
    let before = open(&town);
    for _ in 0..300 {
        let mut gateway = town.gateway();
        gateway.call("quote", "", b"and away");
        // Closed over the unread answer, the connection is reset.
        gateway.stream.peek(&mut [0]).unwrap();
    }
    still_serves(&town);
    let begun = Instant::now();
    while open(&town) > before + 3 {
        assert!(begun.elapsed() < Duration::from_secs(20), "{} descriptors stay open", open(&town) - before);
        std::thread::yield_now();
    }
}

// ---- settings of another customer ----

#[test]
fn names_with_dots_equal_beginnings_and_letters_of_any_alphabet_are_told_apart() {
    let lane = |name: &str, effect: &str| json!({"Name": name, "Promise": 4000, "GiveUp": 8000, "Importance": 1, "Effect": effect, "DedupWindow": 900});
    let town = Town::open(SERVER, |config| {
        let settings = &mut config["settings"];
        settings["Lanes"] =
            json!([lane("cita", "safe"), lane("cita.año", "keyed"), lane("cita.año.新", "unsafe")]);
        settings["Tenants"] =
            json!([{"Name": "norte", "QuotaRps": 0}, {"Name": "norte.ñ", "QuotaRps": 1e300}]);
        settings["FamilyInfo"]["ClassCalls"] = Value::Null;
        settings["FamilyInfo"]["Unheard-Of"] = json!({"of": ["anything"]});
    });
    let mut gateway = town.gateway();
    for tenant in ["norte", "norte.ñ"] {
        for (at, class) in ["cita", "cita.año", "cita.año.新"].into_iter().enumerate() {
            let key = KEY.replace("5c", &format!("{at}{}", tenant.len() % 10));
            let (_, name) = gateway.call(class, &format!(",t={tenant}{key}"), b"");
            assert_eq!(gateway.answer().unwrap().word, "200", "{class} of {tenant}");
            assert_eq!(town.agent.hears("launch", &name)["class"], class);
        }
    }
    for wrong in ["cita.", "cit", "cita.ano", "norte"] {
        assert_eq!(word(&mut gateway, wrong, ",t=norte", b""), "500", "{wrong}");
    }
    for wrong in ["nort", "norte.", "norte.n", "acme"] {
        assert_eq!(word(&mut gateway, "cita", &format!(",t={wrong}"), b""), "500", "{wrong}");
    }
}
