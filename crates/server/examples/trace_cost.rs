//! What a trace costs a server: two of them among their own stand-ins, one that records and one that does not, get the
//! same txns in turns; CPU a txn and resident memory of both, and the median of the ratios.
//!
//!     cargo build --release && cargo run --release -p puffinladder-server --example trace_cost

use puffinladder_toy::town::Town;

const ROUNDS: usize = 61;
const TXNS: usize = 8000;

/// CPU s and resident MB of a process, from the system's own books.
fn books(id: u32) -> (f64, f64) {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default();
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let ns: f64 = tasks
        .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
        .sum();
    let resident = read("status").lines().find_map(|line| line.strip_prefix("VmRSS:").map(str::to_owned));
    let kb = resident.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    (ns / 1e9, kb.unwrap_or(0.0) / 1024.0)
}

/// CPU us a txn of one round.
fn round(town: &Town) -> f64 {
    let before = books(town.child.id()).0;
    let mut gateway = town.gateway();
    // Eight at a time, as from a few gateways.
    for _ in 0..TXNS / 8 {
        for _ in 0..8 {
            gateway.call("quote", "", b"quick");
        }
        for _ in 0..8 {
            gateway.answer().expect("an answer");
        }
    }
    (books(town.child.id()).0 - before) / TXNS as f64 * 1e6
}

fn main() {
    let own = std::env::current_exe().expect("a path of its own");
    let program = own.parent().and_then(|p| p.parent()).expect("a folder").join("puffinladder-server");
    let program = program.display().to_string();
    let folder = tempfile::tempdir().expect("a folder");
    let settings = folder.path().join("s.scm");
    let text = format!("(trace (folder \"{}\"))", folder.path().join("traces").display());
    std::fs::write(&settings, text).expect("settings");
    let told = format!("PUFFINLADDER_SETTINGS={}", settings.display());
    let quiet = "RUST_LOG=info,may=warn";
    let off = Town::open(&["env", quiet, &program], |_| {});
    let on = Town::open(&["env", quiet, &told, &program], |_| {});
    round(&off);
    round(&on);
    let mut all: Vec<(f64, f64)> = (0..ROUNDS).map(|_| (round(&off), round(&on))).collect();
    let median = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let ratio = median(all.iter().map(|(off, on)| on / off).collect());
    println!(
        "CPU a txn: {:.1} us off, {:.1} us on, medians of {ROUNDS} rounds of {TXNS} txns in turns",
        median(all.iter().map(|r| r.0).collect()),
        median(all.iter().map(|r| r.1).collect())
    );
    all.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    println!(
        "median of the ratios {ratio:.3} ({:.3} to {:.3})",
        all[0].1 / all[0].0,
        all[ROUNDS - 1].1 / all[ROUNDS - 1].0
    );
    println!("resident: {:.1} MB off, {:.1} MB on", books(off.child.id()).1, books(on.child.id()).1);
}
