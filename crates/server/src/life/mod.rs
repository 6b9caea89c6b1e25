//! Start, reload, notice to leave and end of the process.

pub mod alarm;
pub mod chores;
pub mod journal;
pub mod papers;
pub mod publish;
pub mod recording;
pub mod signals;
pub mod tally;

use crate::clock::Clock;
use crate::desk::Desk;
use crate::limits::Limits;
use crate::memory::book::Book;
use crate::memory::counts::Counts;
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
use papers::{Directory, Options, Papers};
use puffinladder::{AdmissionPolicy, PolicySettings};
use puffinladder_charter::Warrant;
use puffinladder_trace::row::Topic;
use signals::{Notice, Signals};
use std::hash::RandomState;
use std::sync::Arc;
use std::thread;
use tally::Tally;

/// All that the coroutines of one server share.
pub struct House {
    /// As read at start; of `peers` those in the directory are in force.
    pub warrant: Warrant,
    pub directory: Directory,
    pub limits: Limits,
    pub clock: Clock,
    pub desk: Desk,
    pub agent: Agent,
    pub store: Store,
    pub gateways: Gateways,
    pub living: Living,
    /// By which bodies are told apart.
    pub prints: RandomState,
    pub chores: Chores,
    pub alarm: Alarm,
    pub tally: Tally,
}

/// Files that a recorder has open at once: the one it writes, the next one, a look at its folder.
const TRACE_FILES: usize = 3;

/// What the process cannot live without: if its coroutine ever ends, the process does, and is started anew.
struct Vital(&'static str);

impl Drop for Vital {
    fn drop(&mut self) {
        tracing::error!("{} has ended", self.0);
        journal::end();
        std::process::exit(70);
    }
}

impl House {
    pub fn new(warrant: Warrant, limits: Limits, book: Book) -> Arc<House> {
        let keys = Keys::new(limits.keys, limits.results, limits.key_grain, limits.key_over);
        // Keys lie in this process, within `limits.keys`: the machine's memory, which the module guards, books
        // nothing for them.
        let charter = &PolicySettings { key_memory: 0.0, ..warrant.terms.charter.clone() };
        Arc::new(House {
            directory: Directory::new(warrant.peers),
            clock: Clock::default(),
            desk: Desk::new(AdmissionPolicy::new(charter, warrant.seed), keys, charter.idle_timeout, book),
            agent: Agent::new(limits.buffer, limits.unsent_agent),
            store: Store::default(),
            gateways: Gateways::default(),
            living: Living::default(),
            prints: RandomState::new(),
            chores: Chores::default(),
            alarm: Alarm::default(),
            tally: Tally::default(),
            limits,
            warrant,
        })
    }
}

/// Serves until the time of the kill.
pub fn run(told: &Options) -> Result<(), String> {
    // Heeded from the first: a signal that comes early waits until there is something to heed it.
    let signals = Signals::new().map_err(|e| format!("no signals: {e}"))?;
    let papers = Papers::told(told)?;
    let settings = papers::settings(told)?;
    let warrant = papers.read()?;
    let files = settings.trace.as_ref().map_or(0, |_| TRACE_FILES);
    let limits = Limits::new(&warrant, files + settings.publish.as_ref().map_or(0, |p| p.control.len()));
    journal::start(&limits, &settings.log)?;
    let terms = &warrant.terms;
    let counts = || Arc::new(Counts::new(terms.products.len(), terms.customers.len()));
    let counts = settings.publish.as_ref().map(|_| counts());
    let (book, recording) = recording::begin(settings.trace.as_ref(), &warrant, &limits, counts)?;
    let house = House::new(warrant, limits, book);
    let (limits, listen) = (&house.limits, house.warrant.listen);
    // One core, one worker; it must not be tied to a core that other servers are tied to as well.
    let may = may::config();
    may.set_worker_pin(false);
    may.set_timeout_ns(limits.idle_poll.as_nanos() as u64);
    may.set_workers(1).set_stack_size(limits.stack).set_pool_capacity(limits.spare_stacks);
    let at = |e| format!("listen {listen}: {e}");
    let listener = TcpListener::bind(listen).map_err(at)?;
    let listens = listener.inner().local_addr().map_err(at)?;
    tracing::info!("{} listens on {listens}", house.warrant.name);
    if let Some(told) = &settings.publish {
        publish::begin(told, &house, listens)?;
    }
    deep(&house, "desk", |house| house.desk.run(house))?;
    deep(&house, "agent", agent::run)?;
    deep(&house, "roster", roster::run)?;
    deep(&house, "listener", move |house| gateway::listen(house, listener))?;
    let told = house.clone();
    let notice = move || heed(&told, &papers, signals);
    let watch = thread::Builder::new().name("signals".into()).stack_size(limits.stack_thread);
    watch.spawn(notice).map_err(|e| format!("no thread: {e}"))?;
    let (mut asked, mut closed) = (false, false);
    loop {
        house.alarm.wait(house.limits.chores);
        house.desk.ring();
        let Some(kill) = house.desk.kill() else { continue };
        let now = house.clock.now();
        // Whoever comes behind the farewell comes on a new connection, and finds this one still answering.
        if !asked && now > kill - limits.farewell {
            asked = true;
            house.gateways.goodbye(&house);
        }
        // All answers are out by now. What the end of the process cut off would be reset, and answers with it.
        if now > kill - limits.last_close {
            house.gateways.part_all(kill - limits.last_close);
        }
        // Whoever keeps books closes them, so that none are open at the kill.
        if recording.is_some() && !closed && now > kill - limits.closing {
            closed = true;
            house.desk.close();
        }
        if now > kill - limits.closing / 2.0 && (closed || recording.is_none()) {
            if let Some(recording) = recording {
                recording.end(limits.seal);
            }
            tracing::info!("{} ends", house.warrant.name);
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

/// Passes the first notice to leave on to the module, which has until the kill, and reloads as often as told.
fn heed(house: &House, papers: &Papers, signals: Signals) {
    // Deaf to its notice to leave a server would break its promises at the kill.
    let _vital = Vital("signals");
    let failed = signals.listen(|notice| match notice {
        Notice::Reload => reload(house, papers),
        Notice::Leave if house.desk.kill().is_some() => {}
        Notice::Leave => {
            tracing::info!("{} was told to leave", house.warrant.name);
            let now = house.clock.now();
            house.desk.leave(now + house.warrant.stop, now);
        }
    });
    tracing::error!("signals: {failed}");
}

/// Reads the configuration anew. Where it can't be read, the old addresses stand.
fn reload(house: &House, papers: &Papers) {
    let warrant = match papers.read() {
        Ok(warrant) => warrant,
        Err(what) => return tracing::error!("reload: nothing changed: {what}"),
    };
    let fixed = house.warrant.fixed(&warrant);
    if !fixed.is_empty() {
        tracing::warn!("reload: {} hold until the next start", fixed.join(", "));
    }
    let peers = warrant.peers;
    let new = house.directory.swap(peers);
    let store = peers.store.map_or("nowhere".into(), |store| store.to_string());
    let found = if new { "now" } else { "still" };
    tracing::info!("reload: agent {found} at {}, roster {}, store {store}", peers.agent, peers.roster);
    house.desk.book.note(house.clock.now(), Topic::RELOAD, f64::from(u8::from(new)));
    house.agent.look();
    house.chores.ring();
}

#[cfg(test)]
mod tests;
