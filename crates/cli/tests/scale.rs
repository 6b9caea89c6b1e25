//! Scale tests at small sizes: costs that must not grow with the number of servers and callers, and state left by dead peers.
//! `puffinladder prove scale` runs them at larger sizes; docs/proving.md lists the checks of each.

use puffinladder_proving::scale::scenarios::run_scenario;
use puffinladder_proving::scale::{FleetConfig, FleetSize, Scenario};
use std::sync::{Condvar, Mutex, PoisonError};

/// Tests that run in parallel, limited since each starts many processes.
const MAX_PARALLEL: usize = 3;
static RUNNING: Mutex<usize> = Mutex::new(0);
static FINISHED: Condvar = Condvar::new();

/// Permit to run one test.
struct Permit;

impl Permit {
    fn acquire() -> Permit {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        *FINISHED
            .wait_while(running, |running| *running >= MAX_PARALLEL)
            .unwrap_or_else(PoisonError::into_inner) += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FINISHED.notify_one();
    }
}

/// Runs a story and requires so many checks, all passed.
fn assert_holds(story: Scenario, check_count: usize) {
    let _permit = Permit::acquire();
    let setup = FleetConfig {
        program: env!("CARGO_BIN_EXE_puffinladder").into(),
        folder: env!("CARGO_TARGET_TMPDIR").into(),
        keep: false,
        seed: 1,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let report = runtime.block_on(run_scenario(story, FleetSize { servers: 24, callers: 36 }, &setup));
    assert!(report.passed(), "seed {}, kept in {:?}\n{report}", setup.seed, report.kept_folders);
    assert_eq!(report.assertions.len(), check_count, "number of checks in docs/proving.md\n{report}");
    println!("{report}");
}

#[test]
fn cost_of_a_peer_does_not_grow_with_their_number() {
    assert_holds(Scenario::Steady, 16);
}

#[test]
fn server_control_cost_stays_within_budget() {
    assert_holds(Scenario::Budget, 1);
}

#[test]
fn change_costs_unaffected_callers_nothing() {
    assert_holds(Scenario::Change, 7);
}

#[test]
fn restarts_return_to_the_initial_state() {
    assert_holds(Scenario::Restart, 22);
}

#[test]
fn zone_loss_and_return_leave_other_zones_undisturbed() {
    assert_holds(Scenario::Zone, 9);
}

#[test]
fn healed_partition_leaves_no_state() {
    assert_holds(Scenario::Cut, 14);
}

#[test]
fn slow_callers_are_disconnected_without_delaying_others() {
    assert_holds(Scenario::Slow, 7);
}

#[test]
fn dead_connections_leave_no_state() {
    assert_holds(Scenario::Dead, 10);
}
