//! What a trace costs a server: two of them among their own stand-ins, one that records and one that does not, get the
//! same requests in turns; CPU time per request and resident memory of both, and the median of the ratios.
//!
//!     cargo build --release && cargo run --release -p puffinladder-server --example trace_cost

use puffinladder_toy::harness::ServerHarness;

const ROUNDS: usize = 61;
const REQUESTS_PER_ROUND: usize = 8000;
/// Requests that are open at once, as from a few gateways.
const CONCURRENCY: usize = 8;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const KILOBYTES_PER_MEGABYTE: f64 = 1024.0;

/// What a process has used, by the system's own accounts.
struct Usage {
    cpu_seconds: f64,
    resident_megabytes: f64,
}

/// The usage of a process by its id.
fn usage(id: u32) -> Usage {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let nanoseconds: f64 = tasks
        .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
        .sum();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|text| text.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    Usage {
        cpu_seconds: nanoseconds / NANOSECONDS_PER_SECOND,
        resident_megabytes: kilobytes.unwrap_or(0.0) / KILOBYTES_PER_MEGABYTE,
    }
}

/// CPU microseconds per request of one round.
fn run_round(harness: &ServerHarness) -> f64 {
    let before = usage(harness.child.id()).cpu_seconds;
    let mut gateway = harness.connect_gateway();
    for _ in 0..REQUESTS_PER_ROUND / CONCURRENCY {
        for _ in 0..CONCURRENCY {
            gateway.call("quote", "", b"quick");
        }
        for _ in 0..CONCURRENCY {
            gateway.read_response().expect("the server answers each request");
        }
    }
    let used = usage(harness.child.id()).cpu_seconds - before;
    used / REQUESTS_PER_ROUND as f64 * MICROSECONDS_PER_SECOND
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// CPU microseconds per request of the same round on both servers.
struct Round {
    off: f64,
    on: f64,
}

impl Round {
    fn ratio(&self) -> f64 {
        self.on / self.off
    }
}

fn main() {
    let own = std::env::current_exe().expect("the system knows this program's path");
    let directory = own.parent().and_then(|path| path.parent()).expect("examples lie below the programs");
    let program = directory.join("puffinladder-server").display().to_string();
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let settings = folder.path().join("s.scm");
    let text = format!("(trace (folder \"{}\"))", folder.path().join("traces").display());
    std::fs::write(&settings, text).expect("the temporary folder takes files");
    let settings = format!("PUFFINLADDER_SETTINGS={}", settings.display());
    let filter = "RUST_LOG=info,may=warn";
    let off = ServerHarness::start(&["env", filter, &program], |_| {});
    let on = ServerHarness::start(&["env", filter, &settings, &program], |_| {});
    run_round(&off);
    run_round(&on);
    let rounds = (0..ROUNDS).map(|_| Round { off: run_round(&off), on: run_round(&on) });
    let mut rounds: Vec<Round> = rounds.collect();
    println!(
        "CPU per request: {:.1} us off, {:.1} us on, medians of {ROUNDS} rounds of {REQUESTS_PER_ROUND} requests in turns",
        median(rounds.iter().map(|round| round.off).collect()),
        median(rounds.iter().map(|round| round.on).collect())
    );
    rounds.sort_by(|a, b| a.ratio().total_cmp(&b.ratio()));
    println!(
        "median of the ratios {:.3} ({:.3} to {:.3})",
        rounds[ROUNDS / 2].ratio(),
        rounds[0].ratio(),
        rounds[ROUNDS - 1].ratio()
    );
    let [off, on] = [&off, &on].map(|harness| usage(harness.child.id()).resident_megabytes);
    println!("resident: {off:.1} MB off, {on:.1} MB on");
}
