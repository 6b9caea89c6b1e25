//! A server's side of quotas and turns, on sockets: all that it decides is the [`Seat`]'s. It reports to every steward, and takes what whoever
//! of them owns the duty answers.

use crate::counts::{Counts, Way};
use puffinladder_leases::coordination::{CoordinatorReply, QuotaClient};
use puffinladder_leases::drain::{DrainDecision, DrainTiming};
use puffinladder_leases::SeededRandom;
use puffinladder_transport::{connect, encode_line, Clock, LineReader};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How long a report may take to leave, and from one try of a steward to the next.
const LEAVES: Duration = Duration::from_millis(500);
const AGAIN: Duration = Duration::from_millis(100);
/// Bytes of an answer.
const MOST_LINE: usize = 1 << 20;
/// Answers that wait for a seat: beyond them its links read no further.
const WAITING: usize = 64;
/// s between looks for its turn, once it is told to leave; and what its drain would need.
const LOOK: f64 = 0.05;
const DRAIN: f64 = 0.3;

/// What one seat is told.
#[derive(Clone, Debug)]
pub struct Told {
    pub server: String,
    pub incarnation: u64,
    pub zone: String,
    pub stewards: Vec<SocketAddr>,
    /// Each customer's over the fleet, txns a second, and servers that the equal share is reckoned for.
    pub quota: f64,
    pub fleet: usize,
    pub every: Duration,
    /// s that it waits for its turn.
    pub patience: f64,
}

/// Keeps a connection to one steward: the latest report goes out, answers come in. What is on its way when the connection ends is lost, as
/// the next report says it again.
pub async fn link(
    at: SocketAddr,
    mut reports: watch::Receiver<Arc<Vec<u8>>>,
    replies: mpsc::Sender<CoordinatorReply>,
    counts: Arc<Counts>,
) {
    let mut way = Way::default();
    loop {
        if let Ok(stream) = connect(at).await {
            way.opened(&counts);
            let (from, mut to) = stream.into_split();
            let mut lines = LineReader::new(from, MOST_LINE);
            let mut before = 0;
            loop {
                tokio::select! {
                    changed = reports.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        let report = reports.borrow_and_update().clone();
                        if !matches!(timeout(LEAVES, to.write_all(&report)).await, Ok(Ok(()))) {
                            break;
                        }
                        counts.sent.add(report.len() as u64);
                        counts.messages_sent.add(1);
                    }
                    reply = lines.read::<CoordinatorReply>() => {
                        let Ok(Some(reply)) = reply else { break };
                        counts.received.add(lines.bytes_read() - before);
                        counts.messages_received.add(1);
                        before = lines.bytes_read();
                        if replies.send(reply).await.is_err() {
                            return;
                        }
                    }
                }
            }
            way.closed();
        }
        sleep(AGAIN).await;
    }
}

/// Reports and takes answers until it was told to leave and goes.
pub async fn sit(
    told: &Told,
    customers: &[String],
    counts: &Arc<Counts>,
    leaves: &mut watch::Receiver<bool>,
) {
    let quotas: BTreeMap<String, f64> = customers.iter().map(|name| (name.clone(), told.quota)).collect();
    let mut seat = QuotaClient::new(&told.server, told.incarnation, &told.zone, &quotas, told.fleet);
    drop(quotas);
    let mut chance = SeededRandom::new(told.incarnation);
    let (clock, every) = (Clock::system(), told.every.as_secs_f64());
    let (reports, latest) = watch::channel(Arc::default());
    let (replies, mut answers) = mpsc::channel(WAITING);
    let mut links = JoinSet::new();
    for at in &told.stewards {
        links.spawn(link(*at, latest.clone(), replies.clone(), counts.clone()));
    }
    let (mut due, mut told_to) = (0.0, false);
    loop {
        let now = clock.now();
        if now >= due {
            due = now + every;
            // Most customers ask one server for little at a time.
            let demand = told.quota / told.fleet.max(1) as f64 * 1.5 * chance.next_unit();
            if let Ok(report) = encode_line(&seat.next_report(now, |_| demand)) {
                reports.send_replace(Arc::new(report));
            }
        }
        if told_to && seat.drain_decision(now).is_none_or(|go| go != DrainDecision::Wait) {
            return;
        }
        let until = if told_to { due.min(now + LOOK) } else { due };
        tokio::select! {
            Some(reply) = answers.recv() => drop(seat.handle_reply(clock.now(), &reply)),
            _ = leaves.wait_for(|leave| *leave), if !told_to => {
                told_to = true;
                seat.start_draining(clock.now(), DrainTiming { max_wait: told.patience, killed_at: f64::MAX, drain_duration: DRAIN });
            }
            () = sleep(clock.sleep_duration(until - now)) => {}
        }
    }
}
