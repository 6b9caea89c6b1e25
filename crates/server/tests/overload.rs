//! A server process beside a machine that can fall over, under steady load and faults around it.

use puffinladder_toy::harness::ServerHarness;
use puffinladder_toy::load::{ClassLoad, Load, LoadGenerator};
use puffinladder_toy::machine::{Machine, MachineSize};
use puffinladder_toy::shared_store::{FaultyStore, StoreState};
use serde_json::json;
use std::thread;
use std::time::Duration;

const SERVER: &[&str] = &[env!("CARGO_BIN_EXE_puffinladder-server")];
/// Time that a working store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Time before the first fault.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Duration of a fault; longer than runs take to fill the machine.
const FAULT_TIME: Duration = Duration::from_secs(7);

/// Returns a small warm machine of six cores.
fn warm_machine() -> MachineSize {
    MachineSize {
        cores: 6.0,
        speed: 0.75,
        memory_kb: 10_000.0,
        run_factor: 8.0,
        overload_multiple: 5.0,
        overload_window: Duration::from_millis(1500),
        cold_fraction: 1.0,
        warm_up: Duration::from_secs(18),
    }
}

/// Returns a load somewhat above the capacity of [`warm_machine`].
fn overload(seed: u64) -> Load {
    println!("seed {seed}");
    Load {
        classes: [
            ClassLoad { name: "quote", keyed: false, rate: 60.0, work: (0.01, 0.08) },
            ClassLoad { name: "order", keyed: true, rate: 40.0, work: (0.02, 0.12) },
        ],
        memory_kb: (13.0, 62.0),
        patience: Duration::from_secs(8),
        max_attempts: 3,
        retry_delay: Duration::from_millis(100),
        seed,
    }
}

/// A server with its machine and its store, under load.
struct Trial {
    machine: Machine,
    store: FaultyStore,
    load: LoadGenerator,
    harness: ServerHarness,
}

impl Trial {
    fn start(size: MachineSize, load: Load) -> Trial {
        let machine = Machine::start(size);
        let store = FaultyStore::start(CALL_TIME);
        let harness = ServerHarness::spawn(SERVER, true, |config| {
            config["agent"] = json!(machine.address);
            config["store"] = json!(store.address);
            size.configure(config);
        });
        harness.wait_for_log("agent: connected");
        let load = LoadGenerator::start(harness.address, &machine, load);
        Trial { machine, store, load, harness }
    }

    /// Runs the load for `time`, then checks that the machine has not fallen over.
    fn run(&self, phase: &str, time: Duration) {
        thread::sleep(time);
        let peak = self.machine.peak();
        println!("{phase}: {peak:?}, {} runs open, {:?}", self.machine.open_runs(), self.load.counts());
        assert!(peak.memory <= 1.0, "the machine ran out of memory: {peak:?}");
        assert!(peak.cores <= 1.0, "the machine's cores were crowded: {peak:?}");
    }
}

/// Guards against report 96a839: runs that waited for a dead store filled the memory of the machine.
#[test]
fn machine_survives_a_store_that_refuses_connections() {
    let trial = Trial::start(warm_machine(), overload(1));
    trial.run("quiet", QUIET_TIME);
    trial.store.set(StoreState::Refusing);
    trial.run("store refuses connections", FAULT_TIME);
    let completed = trial.load.counts().completed;
    trial.store.set(StoreState::Serving(CALL_TIME));
    trial.run("store is back", QUIET_TIME);
    assert!(trial.load.counts().completed > completed, "nothing completes once the store is back");
}

/// Guards against report 96a839 on a machine that has just started.
#[test]
fn cold_machine_survives_a_store_that_refuses_connections() {
    let cold = MachineSize { cold_fraction: 0.2, ..warm_machine() };
    let trial = Trial::start(cold, overload(2));
    trial.store.set(StoreState::Refusing);
    trial.run("store refuses connections", FAULT_TIME);
}

/// Guards against a process that stands still for moments while waiting runs leave no memory for what arrives then.
#[test]
fn machine_survives_standstills_of_the_process_beside_a_dead_store() {
    let trial = Trial::start(warm_machine(), overload(3));
    trial.run("quiet", QUIET_TIME);
    trial.store.set(StoreState::Refusing);
    for _ in 0..6 {
        trial.harness.pause();
        thread::sleep(Duration::from_millis(300));
        trial.harness.resume();
        trial.run("store refuses connections, after a standstill", Duration::from_secs(1));
    }
}
