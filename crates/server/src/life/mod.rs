//! Start, notice to leave and end of the process.

pub mod alarm;
pub mod chores;
pub mod journal;
pub mod tally;

use crate::clock::Clock;
use crate::desk::Desk;
use crate::limits::Limits;
use crate::memory::keys::Keys;
use crate::txn::Living;
use crate::wire::agent::{self, Agent};
use crate::wire::gateway::{self, Gateways};
use crate::wire::roster;
use crate::wire::store::Store;
use alarm::Alarm;
use chores::Chores;
use may::coroutine::Builder;
use may::net::TcpListener;
use puffinladder::Brain;
use puffinladder_charter::Warrant;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::thread;
use tally::Tally;

/// All that the coroutines of one server share.
pub struct House {
    pub warrant: Warrant,
    pub limits: Limits,
    pub clock: Clock,
    pub desk: Desk,
    pub agent: Agent,
    pub store: Store,
    pub gateways: Gateways,
    pub living: Living,
    pub chores: Chores,
    pub alarm: Alarm,
    pub tally: Tally,
}

/// What the process cannot live without: if its coroutine ever ends, the process does, and is started anew.
struct Vital(&'static str);

impl Drop for Vital {
    fn drop(&mut self) {
        log::error!("{} has ended", self.0);
        journal::end();
        std::process::exit(70);
    }
}

impl House {
    pub fn new(warrant: Warrant) -> Arc<House> {
        let (limits, charter) = (Limits::new(&warrant), &warrant.terms.charter);
        let keys = Keys::new(limits.results, limits.key_grain, limits.key_over);
        Arc::new(House {
            clock: Clock::default(),
            desk: Desk::new(Brain::new(charter, warrant.seed), keys, charter.idle),
            agent: Agent::new(limits.buffer, limits.unsent_agent),
            store: Store::default(),
            gateways: Gateways::default(),
            living: Living::default(),
            chores: Chores::default(),
            alarm: Alarm::default(),
            tally: Tally::default(),
            limits,
            warrant,
        })
    }
}

/// Serves until the time of the kill.
pub fn run(warrant: Warrant) -> Result<(), String> {
    let house = House::new(warrant);
    let (limits, listen) = (&house.limits, house.warrant.listen);
    journal::start(limits)?;
    let signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("no signals: {e}"))?;
    // One core, one worker; it must not be tied to a core that other servers are tied to as well.
    let may = may::config();
    may.set_worker_pin(false);
    may.set_timeout_ns(limits.idle_poll.as_nanos() as u64);
    may.set_workers(1).set_stack_size(limits.stack).set_pool_capacity(limits.spare_stacks);
    let at = |e| format!("listen {listen}: {e}");
    let listener = TcpListener::bind(listen).map_err(at)?;
    let listens = listener.inner().local_addr().map_err(at)?;
    log::info!("{} listens on {listens}", house.warrant.name);
    deep(&house, "desk", |house| house.desk.run(house))?;
    deep(&house, "agent", agent::run)?;
    deep(&house, "roster", roster::run)?;
    deep(&house, "listener", move |house| gateway::listen(house, listener))?;
    let told = house.clone();
    let notice = move || heed(&told, signals);
    let watch = thread::Builder::new().name("signals".into()).stack_size(limits.stack_thread);
    watch.spawn(notice).map_err(|e| format!("no thread: {e}"))?;
    loop {
        house.alarm.wait(house.limits.chores);
        house.desk.ring();
        if house.desk.kill().is_some_and(|kill| house.clock.now() > kill) {
            log::info!("{} ends", house.warrant.name);
            journal::end();
            return Ok(());
        }
    }
}

/// A coroutine for the life of the process, with a stack that bears JSON and log lines.
fn deep(
    house: &Arc<House>,
    name: &'static str,
    work: impl FnOnce(&Arc<House>) + Send + 'static,
) -> Result<(), String> {
    let house = house.clone();
    let builder = Builder::new().name(name.into()).stack_size(house.limits.stack_deep);
    may::go!(builder, move || {
        let _vital = Vital(name);
        work(&house);
    })
    .map(drop)
    .map_err(|e| format!("no coroutine: {e}"))
}

/// Passes the first notice to leave on to the module; it has until the kill.
fn heed(house: &House, mut signals: Signals) {
    for _ in signals.forever() {
        if house.desk.kill().is_none() {
            log::info!("{} was told to leave", house.warrant.name);
            house.desk.leave(house.clock.now() + house.warrant.stop);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_fits_on_the_stack_of_a_txn() {
        let example = puffinladder_toy::town::EXAMPLE.as_bytes();
        let limits = Limits::new(&puffinladder_charter::read_warrant(example, None, None).unwrap());
        let txn = may::go!(Builder::new().stack_size(limits.stack), || panic!("as a txn might"));
        assert!(txn.unwrap().join().is_err());
    }
}
