//! Terms that hold for many processes or many callers together: restarts all at once, and the ramp of a cold server.

use puffinladder_toy::gateway::Gateway;
use puffinladder_toy::town::Town;
use puffinladder_toy::PATIENCE;
use serde_json::json;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];

/// Waits until the server says that it is healthy.
fn healthy(server: SocketAddr) {
    let begun = Instant::now();
    while TcpStream::connect(server).is_err() {
        assert!(begun.elapsed() < PATIENCE, "nobody listens");
        thread::yield_now();
    }
    assert_eq!(Gateway::open(server).check().word, "serving");
}

fn word(gateway: &mut Gateway, body: &[u8]) -> String {
    gateway.call("quote", "", body);
    gateway.answer().expect("an answer").word
}

#[test]
fn of_thirty_servers_killed_at_work_and_started_again_nine_in_ten_are_ready_within_ten_seconds() {
    // Some rosters take connections and say nothing, and some agents come up only once their server is healthy.
    let deaf = TcpListener::bind("127.0.0.1:0").unwrap();
    let roster = deaf.local_addr().unwrap();
    // Addresses of their own, so that nobody's outgoing connection takes a port while its server is dead.
    let id = std::process::id();
    let mut towns: Vec<Town> = (0..30)
        .map(|at| {
            Town::open(SERVER, |told| {
                told["listen"] = json!(format!("127.{}.{}.{}:0", 64 + (id >> 8) % 128, id % 256, at + 1));
                if at % 5 == 0 {
                    told["roster"] = json!(roster);
                }
            })
        })
        .collect();
    let mut gateways: Vec<Gateway> = towns.iter().map(Town::gateway).collect();
    for (town, gateway) in towns.iter().zip(&mut gateways) {
        assert_eq!(word(gateway, b"quick"), "200");
        let (_, name) = gateway.call("quote", "", b"hold");
        town.agent.hears("launch", &name);
    }
    for (at, town) in towns.iter_mut().enumerate() {
        town.kill(at % 3 != 0);
    }
    let begun = Instant::now();
    towns.iter_mut().for_each(|town| town.start_again(SERVER));
    let mut took: Vec<Duration> = thread::scope(|scope| {
        let ready = |town: &Town| {
            healthy(town.server);
            town.agent.greet();
            assert_eq!(word(&mut town.gateway(), b"the first one"), "200");
            begun.elapsed()
        };
        let all: Vec<_> = towns.iter().map(|town| scope.spawn(move || ready(town))).collect();
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    took.sort();
    println!("ready after: median {:?}, nine in ten {:?}, all {:?}", took[15], took[26], took[29]);
    assert!(took[26] < Duration::from_secs(10), "{took:?}");
}

/// What 30 callers sent to a server that has just been started, and what it began of that, in spans of 1.5 s.
struct Ramp {
    sent: usize,
    begun: usize,
    spans: f64,
    /// What may begin within a span.
    most: f64,
}

/// Each caller sends its next request once the last one is answered, and knows nothing of the others. If it `heeds`,
/// it sends no more than the server's last answer lets it, and comes back when that says.
fn ramp(heeds: bool) -> Ramp {
    let town = Town::open(SERVER, |told| {
        let settings = &mut told["settings"];
        let info = &mut settings["FamilyInfo"];
        (info["Cold"], info["Cpus"], info["Upstreams"]) = (json!(true), json!(6), json!(30));
        (info["Signal"], info["RamKb"]) = (json!("tokens"), json!(1e6));
        settings["Contract"] = json!({"FallMultiple": 5, "Fall": 1500, "Cold": 600_000, "ColdShare": 0.2, "StopSendingWithin": 1000});
    });
    let n: f64 = 6.0 * (1.0 + 4.0 * 0.2);
    let begun = Instant::now();
    let caller = |at: u64| {
        let mut gateway = town.gateway();
        let (mut sent, mut chance) = (0, at * 0x9e37 + 1);
        while begun.elapsed() < Duration::from_millis(4500) {
            gateway.call("quote", "", b"quick");
            sent += 1;
            let Some(answer) = gateway.answer() else { break };
            if !heeds {
                continue;
            }
            let field = |name: &str| {
                let fields = answer.fields.split(',').filter_map(|field| field.split_once('='));
                fields.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<f64>().ok())
            };
            // A fraction of a request counts by chance, looked at ten times a second; after a second it is forgotten.
            let may = field("v").unwrap_or(1.0).min(1.0);
            let off = Duration::from_secs_f64(field("w").unwrap_or(0.0) / 1e3);
            let heard = Instant::now();
            while heard.elapsed() < off.max(Duration::from_millis(100)) {
                thread::sleep(Duration::from_millis(10));
            }
            while heard.elapsed() < Duration::from_secs(1) {
                chance = chance.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                if ((chance >> 33) as f64) < may * (1u64 << 31) as f64 {
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        sent
    };
    let sent = thread::scope(|scope| {
        let callers: Vec<_> = (0..30).map(|at| scope.spawn(move || caller(at))).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).sum()
    });
    let spans = begun.elapsed().as_secs_f64() / 1.5;
    Ramp { sent, begun: town.agent.count("launch", ""), spans, most: n + 2.0 * n.sqrt() + 2.0 }
}

#[test]
fn thirty_callers_that_heed_nothing_get_no_more_than_the_ramp_of_a_cold_server() {
    let ramp = ramp(false);
    println!("sent {}, begun {} in {:.1} spans of {:.1}", ramp.sent, ramp.begun, ramp.spans, ramp.most);
    assert!(ramp.begun as f64 <= ramp.most * ramp.spans.ceil(), "{} begun", ramp.begun);
    assert!(ramp.begun as f64 >= ramp.most * 0.8, "{} begun", ramp.begun);
}

#[test]
fn thirty_callers_that_heed_the_signal_come_once_a_memory_and_get_no_more_than_the_ramp() {
    let ramp = ramp(true);
    println!("sent {}, begun {} in {:.1} spans of {:.1}", ramp.sent, ramp.begun, ramp.spans, ramp.most);
    assert!(ramp.begun as f64 <= ramp.most * ramp.spans.ceil(), "{} begun", ramp.begun);
    // Unprompted, and again once a second when what they heard is forgotten, and beside that what the ramp leaves.
    let unprompted = 30.0 * (ramp.spans * 1.5 + 1.0);
    assert!(ramp.sent as f64 <= unprompted + ramp.most, "{} sent, {unprompted:.0} unprompted", ramp.sent);
}
