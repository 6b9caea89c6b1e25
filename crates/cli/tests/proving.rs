//! Workers (stewards), lease store replicas (keepers) and the trace store (archive) as processes, with injected faults. The checkers of
//! the proving crate verify every run; each test adds a check of its own failure.

use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::Event;
use puffinladder_leases::table::ChangeKind;
use puffinladder_proving::cluster::{run_schedule, ClusterConfig, RunReport};
use puffinladder_proving::process::Program;
use puffinladder_proving::schedule::{ProcessId, Schedule};
use puffinladder_trace_store::injected_bug::InjectedBug;
use std::path::Path;

fn setup(folder: &Path) -> ClusterConfig {
    let program = Program {
        path: env!("CARGO_BIN_EXE_puffinladder").into(),
        leading_args: vec!["prove".into(), "part".into()],
    };
    ClusterConfig { program, folder: folder.into(), keep: false, injected_bug: None, starts_leased: false }
}

fn run(schedule: &Schedule, change: impl Fn(&mut ClusterConfig)) -> RunReport {
    // Failed runs are kept in the build folder.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut setup = setup(folder);
    change(&mut setup);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(run_schedule(schedule, &setup)).unwrap()
}

fn read(text: &str) -> Schedule {
    Schedule::read("schedule", text).unwrap_or_else(|faults| panic!("{}", faults[0]))
}

/// Runs a schedule that must pass all checkers.
fn passes(text: &str) -> RunReport {
    passes_with(text, |_| {})
}

fn passes_with(text: &str, change: impl Fn(&mut ClusterConfig)) -> RunReport {
    let run = run(&read(text), change);
    assert_eq!(run.failures, Vec::<String>::new(), "kept in {:?}", run.folder);
    assert!(run.rows > 500 && run.counts.effects > 50, "{:?}", run.counts);
    run
}

/// Counts the leases that an instance ended for a reason.
fn lease_ends(run: &RunReport, who: ProcessId, why: &str) -> usize {
    let ended = |event: &Event| matches!(event, Event::LeaseEnded { reason: of, .. } if of == why);
    run.history.events().filter(|(entry, event)| entry.process == who.to_string() && ended(event)).count()
}

#[test]
fn effects_of_a_suspended_holder_are_rejected_after_its_lease() {
    // Its last effects are held on the link until another holder has had the part for a while.
    let run = passes(
        "(schedule (stewards 2) (parts 1) (servers 4) (span 6s) (files 40ms) (backlog 40)
           (fault (at 0s) (do pause) (who \"s2\") (span 900ms))
           (fault (at 1s) (do hold) (who \"s1\") (to \"archive\") (way there) (span 3s))
           (fault (at 1100ms) (do pause) (who \"s1\") (span 3100ms)))",
    );
    assert!(run.counts.stale_effects >= 1, "{:?}", run.counts);
    assert_eq!(lease_ends(&run, ProcessId::Worker(1), "its term is over"), 1, "it says so once");
}

/// s1 holds the one part and its messages to the archive are delayed, with those of its reconnects; s2 succeeds it, and the archive restarts
/// in between.
const DELAYED_EFFECTS: &str =
    "(schedule (stewards 2) (parts 1) (servers 4) (span 7s) (files 40ms) (backlog 40)
    (fault (at 0s) (do pause) (who \"s2\") (span 900ms))
    (fault (at 1s) (do hold) (who \"s1\") (to \"archive\") (way there) (span 4s))
    (fault (at 1050ms) (do reset) (who \"s1\") (to \"archive\") (span 0s))
    (fault (at 1500ms) (do pause) (who \"s1\") (span 4s))
    (fault (at 4s) (do hold) (who \"s2\") (to \"archive\") (way there) (span 1500ms))
    (fault (at 4200ms) (do kill) (who \"archive\") (span 200ms)))";

#[test]
fn restarted_trace_store_rejects_delayed_effects() {
    let run = passes(DELAYED_EFFECTS);
    let late = |event: &Event| matches!(event, Event::EffectChecked { verdict: Verdict::Stale { .. }, .. });
    assert!(
        run.history.events().any(|(entry, event)| entry.incarnation == 2 && late(event)),
        "{:?}",
        run.counts
    );
}

#[test]
fn detects_fence_kept_only_in_memory() {
    let run = run(&read(DELAYED_EFFECTS), |setup| setup.injected_bug = Some(InjectedBug::ForgetsEpochs));
    let detected = |failure: &String| failure.contains("had been seen");
    assert!(run.failures.iter().any(detected), "{:?}", run.failures);
    if let Some(folder) = run.folder {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[test]
fn detects_check_and_write_in_two_transactions() {
    // Killed five times between the two steps, it loses blocks that it acknowledged.
    let kill =
        |at: u32| format!("(fault (at {}ms) (do kill) (who \"archive\") (span 100ms))", 1000 + 600 * at);
    let kills: Vec<String> = (0..5).map(kill).collect();
    let schedule = format!(
        "(schedule (stewards 2) (parts 2) (servers 4) (span 5s) (files 60ms) (backlog 6) {})",
        kills.join(" ")
    );
    assert_eq!(run(&read(&schedule), |_| {}).failures, Vec::<String>::new());
    let run = run(&read(&schedule), |setup| setup.injected_bug = Some(InjectedBug::TwoSteps));
    assert!(run.failures.iter().any(|failure| failure.contains("are missing")), "{:?}", run.failures);
    if let Some(folder) = run.folder {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[test]
fn partitioned_holder_loses_its_leases() {
    // A cut tells nothing of a holder that has no lease yet.
    let leased = |setup: &mut ClusterConfig| setup.starts_leased = true;
    let cut_from_keepers = passes_with(
        "(schedule (stewards 3) (parts 3) (servers 6) (span 6s)
           (fault (at 1s) (do cut) (who \"s1\") (to \"k1\") (span 3s)) (fault (at 1s) (do cut) (who \"s1\") (to \"k2\") (span 3s))
           (fault (at 1s) (do cut) (who \"s1\") (to \"k3\") (span 3s)))",
        leased,
    );
    let name = ProcessId::Worker(1).to_string();
    let of_holder: Vec<_> =
        cut_from_keepers.history.events().filter(|(entry, _)| entry.process == name).take(200).collect();
    let expired = lease_ends(&cut_from_keepers, ProcessId::Worker(1), "its term is over");
    assert!(expired >= 1, "no lease of {name} expired: {of_holder:?}");
    // A holder that renews but makes no progress loses its parts after ten terms.
    let cut_from_archive = passes_with(
        "(schedule (stewards 3) (parts 3) (servers 6) (span 10s)
           (fault (at 1s) (do cut) (who \"s1\") (to \"archive\") (span 9s)))",
        leased,
    );
    let stalled = |event: &Event| matches!(event, Event::Change(c) if c.cause == puffinladder_leases::table::Cause::Stalled);
    assert!(cut_from_archive.history.events().any(|(_, event)| stalled(event)));
}

#[test]
fn one_way_partition_grants_no_part_twice() {
    for way in ["there", "back"] {
        passes(&format!(
            "(schedule (stewards 3) (parts 4) (servers 6) (span 4s)
               (fault (at 1s) (do cut) (who \"s1\") (way {way}) (span 2s)) (fault (at 1200ms) (do cut) (who \"k1\") (way {way}) (span 2s)))"
        ));
    }
}

#[test]
fn survives_five_kills_of_the_leader() {
    let run = passes(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 8s) (term 1s)
           (fault (at 1s) (do kill-leader) (who \"k1\") (span 300ms)) (fault (at 2s) (do kill-leader) (who \"k1\") (span 300ms))
           (fault (at 3s) (do kill-leader) (who \"k1\") (span 300ms)) (fault (at 4s) (do kill-leader) (who \"k1\") (span 300ms))
           (fault (at 5s) (do kill-leader) (who \"k1\") (span 300ms)))",
    );
    assert!(run.counts.leaders >= 4, "{:?}", run.counts);
}

#[test]
fn grants_no_lease_without_a_majority() {
    let run = passes(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 7s)
           (fault (at 1s) (do kill) (who \"k1\") (span 3s)) (fault (at 1s) (do kill) (who \"k2\") (span 3s)))",
    );
    let grants = |from: f64, to: f64| {
        let granted = |event: &Event| matches!(event, Event::Change(c) if c.kind == ChangeKind::Granted);
        run.history
            .events()
            .filter(|(entry, event)| granted(event) && entry.at > from && entry.at < to)
            .count()
    };
    assert_eq!(grants(1.2, 3.9), 0);
    assert!(grants(4.0, 60.0) >= 4, "all leases expired before");
}

#[test]
fn replaces_a_keeper_that_lost_its_disk() {
    let run = passes(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 5s)
           (fault (at 1s) (do lose) (who \"k2\") (span 500ms)) (fault (at 2s) (do sync) (who \"k1\") (value 2) (span 2s)))",
    );
    assert!(
        run.history.events().any(|(entry, _)| entry.process == "k4"),
        "the new keeper reports the committed changes"
    );
}

#[test]
fn suspended_leader_is_replaced() {
    let run = passes(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 7s)
           (fault (at 1s) (do pause-leader) (who \"k1\") (span 4s)))",
    );
    assert!(run.counts.leaders >= 2);
}

#[test]
fn restarted_holders_use_new_incarnations() {
    let run = passes(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 5s)
           (fault (at 1s) (do kill) (who \"s1\") (span 100ms))
           (fault (at 3s) (do kill) (who \"s1\") (span 200ms)) (fault (at 3s) (do kill) (who \"s2\") (span 200ms))
           (fault (at 3s) (do kill) (who \"s3\") (span 200ms)))",
    );
    let incarnations = run.history.events().filter_map(|(_, event)| match event {
        Event::LeaseStarted { holder: owner, .. } if owner.instance == "s1" => Some(owner.incarnation),
        _ => None,
    });
    let incarnations: std::collections::BTreeSet<u64> = incarnations.collect();
    assert!(incarnations.len() >= 2, "{incarnations:?}");
}

#[test]
fn tolerates_clock_drift_and_wrong_wall_clocks() {
    passes(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 5s)
           (fault (at 0s) (do rate) (who \"s1\") (value 0.99) (span 3600s)) (fault (at 0s) (do rate) (who \"k1\") (value 1.01) (span 3600s))
           (fault (at 0s) (do rate) (who \"k2\") (value 0.99) (span 3600s))
           (fault (at 1s) (do wall) (who \"s2\") (value -86400) (span 3600s)) (fault (at 1s) (do wall) (who \"k2\") (value 86400) (span 3600s))
           (fault (at 1500ms) (do kill) (who \"s2\") (span 500ms)) (fault (at 2s) (do pause) (who \"s1\") (span 1500ms)))",
    );
}

#[test]
fn quota_shares_stay_within_quota_under_faults() {
    let run = passes(
        "(schedule (stewards 3) (seats 5) (parts 3) (servers 4) (span 9s)
           (fault (at 0s) (do rate) (who \"n1\") (value 0.99) (span 3600s)) (fault (at 0s) (do rate) (who \"n2\") (value 1.01) (span 3600s))
           (fault (at 3s) (do pause) (who \"s1\") (span 1500ms)) (fault (at 4s) (do kill) (who \"s2\") (span 500ms))
           (fault (at 4500ms) (do hold) (who \"n1\") (way back) (span 1200ms)) (fault (at 5s) (do pause) (who \"n2\") (span 2s))
           (fault (at 6s) (do cut) (who \"n3\") (span 1s)) (fault (at 6500ms) (do kill) (who \"n4\") (span 300ms)))",
    );
    assert!(run.counts.quota_parts > 50, "{:?}", run.counts);
    let rates = run.history.events().filter_map(|(entry, event)| match event {
        Event::QuotaApplied { rate, .. } if entry.process == "n1" => Some(*rate),
        _ => None,
    });
    assert!(rates.fold(0.0, f64::max) > 40.0, "more than twice the equal share");
}

#[test]
fn drain_slots_survive_the_loss_of_their_holder() {
    let release = |at: usize| format!("(fault (at 5s) (do release) (who \"n{at}\") (span 0s))");
    let releases: Vec<String> = (1..=6).map(release).collect();
    let run = passes(&format!(
        "(schedule (stewards 3) (seats 6) (parts 3) (servers 4) (span 16s) {}
           (fault (at 5300ms) (do kill) (who \"s1\") (span 300ms)))",
        releases.join(" ")
    ));
    assert!(run.counts.drain_slots >= 4, "{:?}", run.counts);
    let restarted = |who: &str| {
        run.history.events().any(|(entry, event)| {
            entry.process == who && entry.incarnation == 2 && matches!(event, Event::Ready { .. })
        })
    };
    assert!((1..=6).all(|at| restarted(&format!("n{at}"))), "{:?}", run.counts);
}

#[test]
fn drawn_schedules_pass() {
    for seed in [1, 5, 16] {
        let size = Schedule { workers: 4, servers: 6, parts: 6, duration: 6.0, ..Schedule::default() };
        let run = run(&Schedule::generate(seed, &size), |_| {});
        assert_eq!(run.failures, Vec::<String>::new(), "seed {seed}, kept in {:?}", run.folder);
    }
}
