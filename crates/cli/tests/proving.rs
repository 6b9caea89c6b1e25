//! Owners, keepers and the archive as processes of the program, with faults between them: a story for each failure. What every run has to hold is
//! checked by the proving ground itself; each story says beside that what it was about.

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
    ClusterConfig { program, folder: folder.into(), keep: false, injected_bug: None }
}

fn run(schedule: &Schedule, change: impl Fn(&mut ClusterConfig)) -> RunReport {
    // What failed stays beside the build, to be looked at.
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut setup = setup(folder);
    change(&mut setup);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(run_schedule(schedule, &setup)).unwrap()
}

fn read(text: &str) -> Schedule {
    Schedule::read("story", text).unwrap_or_else(|faults| panic!("{}", faults[0]))
}

/// Plays a story that has to hold.
fn holds(text: &str) -> RunReport {
    let run = run(&read(text), |_| {});
    assert_eq!(run.failures, Vec::<String>::new(), "kept in {:?}", run.folder);
    assert!(run.rows > 500 && run.counts.effects > 50, "{:?}", run.counts);
    run
}

/// Times at which an instance stood down, and from what.
fn downs(run: &RunReport, who: ProcessId, why: &str) -> usize {
    let down = |event: &Event| matches!(event, Event::LeaseEnded { reason: of, .. } if of == why);
    run.history.events().filter(|(entry, event)| entry.process == who.to_string() && down(event)).count()
}

#[test]
fn an_owner_stopped_in_the_middle_of_a_step_wakes_late_and_lands_nothing_more() {
    // What it said last lies on the link until another has had its part for long.
    let run = holds(
        "(schedule (stewards 2) (parts 1) (servers 4) (span 6s) (files 40ms) (backlog 40)
           (fault (at 0s) (do pause) (who \"s2\") (span 900ms))
           (fault (at 1s) (do hold) (who \"s1\") (to \"archive\") (way there) (span 3s))
           (fault (at 1100ms) (do pause) (who \"s1\") (span 3100ms)))",
    );
    assert!(run.counts.stale_effects >= 1, "{:?}", run.counts);
    assert_eq!(downs(&run, ProcessId::Worker(1), "its term is over"), 1, "it says so once");
}

/// s1 owns the one part, and what it says to the archive is held back; s2 comes after it, and the archive starts anew in between. s1 dials
/// again and again meanwhile: its announcements lie on the link too.
const HELD: &str = "(schedule (stewards 2) (parts 1) (servers 4) (span 7s) (files 40ms) (backlog 40)
    (fault (at 0s) (do pause) (who \"s2\") (span 900ms))
    (fault (at 1s) (do hold) (who \"s1\") (to \"archive\") (way there) (span 4s))
    (fault (at 1050ms) (do reset) (who \"s1\") (to \"archive\") (span 0s))
    (fault (at 1500ms) (do pause) (who \"s1\") (span 4s))
    (fault (at 4s) (do hold) (who \"s2\") (to \"archive\") (way there) (span 1500ms))
    (fault (at 4200ms) (do kill) (who \"archive\") (span 200ms)))";

#[test]
fn bytes_held_back_while_the_fence_starts_anew_are_refused_by_its_next_life() {
    let run = holds(HELD);
    let late = |event: &Event| matches!(event, Event::EffectChecked { verdict: Verdict::Stale { .. }, .. });
    assert!(
        run.history.events().any(|(entry, event)| entry.incarnation == 2 && late(event)),
        "{:?}",
        run.counts
    );
}

#[test]
fn a_fence_that_is_kept_in_memory_only_is_found_out() {
    let run = run(&read(HELD), |setup| setup.injected_bug = Some(InjectedBug::ForgetsEpochs));
    let found = |what: &String| what.contains("had been seen");
    assert!(run.failures.iter().any(found), "{:?}", run.failures);
    if let Some(folder) = run.folder {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[test]
fn an_archive_that_judges_and_writes_in_two_steps_is_found_out() {
    // Killed five times in between, it has lost what it says that it has.
    let kill =
        |at: u32| format!("(fault (at {}ms) (do kill) (who \"archive\") (span 100ms))", 1000 + 600 * at);
    let kills: Vec<String> = (0..5).map(kill).collect();
    let story = format!(
        "(schedule (stewards 2) (parts 2) (servers 4) (span 5s) (files 60ms) (backlog 6) {})",
        kills.join(" ")
    );
    assert_eq!(run(&read(&story), |_| {}).failures, Vec::<String>::new());
    let run = run(&read(&story), |setup| setup.injected_bug = Some(InjectedBug::TwoSteps));
    assert!(run.failures.iter().any(|what| what.contains("are missing")), "{:?}", run.failures);
    if let Some(folder) = run.folder {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[test]
fn an_owner_cut_from_the_keepers_stands_down_and_one_cut_from_the_archive_is_found_out() {
    let cut = holds(
        "(schedule (stewards 3) (parts 3) (servers 6) (span 6s)
           (fault (at 1s) (do cut) (who \"s1\") (to \"k1\") (span 3s)) (fault (at 1s) (do cut) (who \"s1\") (to \"k2\") (span 3s))
           (fault (at 1s) (do cut) (who \"s1\") (to \"k3\") (span 3s)))",
    );
    assert!(downs(&cut, ProcessId::Worker(1), "its term is over") >= 1);
    // It renews, has work, and gets nothing done: ten terms later it has lost its parts.
    let grey = holds(
        "(schedule (stewards 3) (parts 3) (servers 6) (span 10s)
           (fault (at 1s) (do cut) (who \"s1\") (to \"archive\") (span 9s)))",
    );
    let stalled = |event: &Event| matches!(event, Event::Change(c) if c.cause == puffinladder_leases::table::Cause::Stalled);
    assert!(grey.history.events().any(|(_, event)| stalled(event)));
}

#[test]
fn a_link_cut_one_way_only_takes_no_duty_twice() {
    for way in ["there", "back"] {
        holds(&format!(
            "(schedule (stewards 3) (parts 4) (servers 6) (span 4s)
               (fault (at 1s) (do cut) (who \"s1\") (way {way}) (span 2s)) (fault (at 1200ms) (do cut) (who \"k1\") (way {way}) (span 2s)))"
        ));
    }
}

#[test]
fn the_keeper_that_leads_is_killed_five_times_in_a_row() {
    let run = holds(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 8s) (term 1s)
           (fault (at 1s) (do kill-leader) (who \"k1\") (span 300ms)) (fault (at 2s) (do kill-leader) (who \"k1\") (span 300ms))
           (fault (at 3s) (do kill-leader) (who \"k1\") (span 300ms)) (fault (at 4s) (do kill-leader) (who \"k1\") (span 300ms))
           (fault (at 5s) (do kill-leader) (who \"k1\") (span 300ms)))",
    );
    assert!(run.counts.leaders >= 4, "{:?}", run.counts);
}

#[test]
fn without_a_majority_nobody_new_owns_anything_and_all_goes_on_once_it_is_back() {
    let run = holds(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 7s)
           (fault (at 1s) (do kill) (who \"k1\") (span 3s)) (fault (at 1s) (do kill) (who \"k2\") (span 3s)))",
    );
    let given = |from: f64, to: f64| {
        let given = |event: &Event| matches!(event, Event::Change(c) if c.kind == ChangeKind::Granted);
        run.history.events().filter(|(entry, event)| given(event) && entry.at > from && entry.at < to).count()
    };
    assert_eq!(given(1.2, 3.9), 0);
    assert!(given(4.0, 60.0) >= 4, "all stood down at their terms");
}

#[test]
fn a_keeper_that_lost_its_disk_is_replaced_under_a_new_number_and_one_with_a_slow_disk_does_not_lead() {
    let run = holds(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 5s)
           (fault (at 1s) (do lose) (who \"k2\") (span 500ms)) (fault (at 2s) (do sync) (who \"k1\") (value 2) (span 2s)))",
    );
    assert!(run.history.events().any(|(entry, _)| entry.process == "k4"), "it hears all that was agreed");
}

#[test]
fn a_leader_that_stood_still_wakes_up_as_one_no_more() {
    let run = holds(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 7s)
           (fault (at 1s) (do pause-leader) (who \"k1\") (span 4s)))",
    );
    assert!(run.counts.leaders >= 2);
}

#[test]
fn an_owner_that_starts_again_under_its_name_and_all_of_them_at_once_inherit_nothing() {
    let run = holds(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 5s)
           (fault (at 1s) (do kill) (who \"s1\") (span 100ms))
           (fault (at 3s) (do kill) (who \"s1\") (span 200ms)) (fault (at 3s) (do kill) (who \"s2\") (span 200ms))
           (fault (at 3s) (do kill) (who \"s3\") (span 200ms)))",
    );
    let lives = run.history.events().filter_map(|(_, event)| match event {
        Event::LeaseStarted { holder: owner, .. } if owner.instance == "s1" => Some(owner.incarnation),
        _ => None,
    });
    let lives: std::collections::BTreeSet<u64> = lives.collect();
    assert!(lives.len() >= 2, "{lives:?}");
}

#[test]
fn clocks_apart_within_the_bound_and_wall_clocks_a_day_off_change_nothing() {
    holds(
        "(schedule (stewards 3) (parts 4) (servers 6) (span 5s)
           (fault (at 0s) (do rate) (who \"s1\") (value 0.99) (span 3600s)) (fault (at 0s) (do rate) (who \"k1\") (value 1.01) (span 3600s))
           (fault (at 0s) (do rate) (who \"k2\") (value 0.99) (span 3600s))
           (fault (at 1s) (do wall) (who \"s2\") (value -86400) (span 3600s)) (fault (at 1s) (do wall) (who \"k2\") (value 86400) (span 3600s))
           (fault (at 1500ms) (do kill) (who \"s2\") (span 500ms)) (fault (at 2s) (do pause) (who \"s1\") (span 1500ms)))",
    );
}

#[test]
fn parts_of_a_quota_sum_to_it_whoever_is_stopped_killed_or_cut_off() {
    let run = holds(
        "(schedule (stewards 3) (seats 5) (parts 3) (servers 4) (span 9s)
           (fault (at 0s) (do rate) (who \"n1\") (value 0.99) (span 3600s)) (fault (at 0s) (do rate) (who \"n2\") (value 1.01) (span 3600s))
           (fault (at 3s) (do pause) (who \"s1\") (span 1500ms)) (fault (at 4s) (do kill) (who \"s2\") (span 500ms))
           (fault (at 4500ms) (do hold) (who \"n1\") (way back) (span 1200ms)) (fault (at 5s) (do pause) (who \"n2\") (span 2s))
           (fault (at 6s) (do cut) (who \"n3\") (span 1s)) (fault (at 6500ms) (do kill) (who \"n4\") (span 300ms)))",
    );
    assert!(run.counts.quota_parts > 50, "{:?}", run.counts);
    let most = run.history.events().filter_map(|(entry, event)| match event {
        Event::QuotaApplied { rate, .. } if entry.process == "n1" => Some(*rate),
        _ => None,
    });
    assert!(most.fold(0.0, f64::max) > 40.0, "more than twice the equal share");
}

#[test]
fn a_release_of_all_servers_goes_by_turns_also_when_their_owner_is_killed() {
    let release = |at: usize| format!("(fault (at 5s) (do release) (who \"n{at}\") (span 0s))");
    let all: Vec<String> = (1..=6).map(release).collect();
    let run = holds(&format!(
        "(schedule (stewards 3) (seats 6) (parts 3) (servers 4) (span 16s) {}
           (fault (at 5300ms) (do kill) (who \"s1\") (span 300ms)))",
        all.join(" ")
    ));
    assert!(run.counts.drain_slots >= 4, "{:?}", run.counts);
    let back = |who: &str| {
        run.history.events().any(|(entry, event)| {
            entry.process == who && entry.incarnation == 2 && matches!(event, Event::Ready { .. })
        })
    };
    assert!((1..=6).all(|at| back(&format!("n{at}"))), "{:?}", run.counts);
}

#[test]
fn drawn_schedules_hold() {
    for seed in [1, 5, 16] {
        let size = Schedule { workers: 4, servers: 6, parts: 6, duration: 6.0, ..Schedule::default() };
        let run = run(&Schedule::generate(seed, &size), |_| {});
        assert_eq!(run.failures, Vec::<String>::new(), "seed {seed}, kept in {:?}", run.folder);
    }
}
