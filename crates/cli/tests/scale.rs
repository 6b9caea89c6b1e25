//! Scale tests at small sizes: what must not grow with the number of servers and callers, nor stay of a dead one. Large ones by
//! `puffinladder prove scale`; what each story asserts stands in docs/proving.md.

use puffinladder_proving::scale::scenarios::run_scenario;
use puffinladder_proving::scale::{FleetConfig, FleetSize, Scenario};
use std::sync::{Condvar, Mutex, PoisonError};

/// So many worlds at once: all of them together would be a matter of the machine.
const SEATS: usize = 3;
static TAKEN: Mutex<usize> = Mutex::new(0);
static FREE: Condvar = Condvar::new();

struct Seat;

impl Seat {
    fn take() -> Seat {
        let taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        *FREE.wait_while(taken, |taken| *taken >= SEATS).unwrap_or_else(PoisonError::into_inner) += 1;
        Seat
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        *TAKEN.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FREE.notify_one();
    }
}

fn holds(story: Scenario, asserted: usize) {
    let _seat = Seat::take();
    let setup = FleetConfig {
        program: env!("CARGO_BIN_EXE_puffinladder").into(),
        folder: env!("CARGO_TARGET_TMPDIR").into(),
        keep: false,
        seed: 1,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let told = runtime.block_on(run_scenario(story, FleetSize { servers: 24, callers: 36 }, &setup));
    assert!(told.passed(), "seed {}, kept in {:?}\n{told}", setup.seed, told.kept_folders);
    assert_eq!(told.assertions.len(), asserted, "as many things as docs/proving.md says\n{told}");
    println!("{told}");
}

#[test]
fn what_a_server_and_a_caller_cost_does_not_grow_with_how_many_there_are() {
    holds(Scenario::Steady, 16);
}

#[test]
fn a_server_spends_no_more_on_control_than_the_plan_gives_it() {
    holds(Scenario::Budget, 1);
}

#[test]
fn a_change_costs_callers_that_it_does_not_concern_nothing() {
    holds(Scenario::Change, 7);
}

#[test]
fn a_restart_of_the_service_of_all_peers_and_of_everything_ends_where_it_began() {
    holds(Scenario::Restart, 22);
}

#[test]
fn a_zone_s_worth_that_goes_and_comes_back_at_once_disturbs_nobody_else() {
    holds(Scenario::Zone, 9);
}

#[test]
fn two_regions_that_are_cut_and_healed_leave_nothing_behind() {
    holds(Scenario::Cut, 14);
}

#[test]
fn callers_that_read_slowly_are_ended_and_the_others_wait_for_none_of_them() {
    holds(Scenario::Slow, 7);
}

#[test]
fn a_hundred_dead_connections_leave_no_connection_stream_or_view() {
    holds(Scenario::Dead, 10);
}
