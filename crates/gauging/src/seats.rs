//! Servers as a steward sees them: each a connection that reports four times a second and takes what comes back, all decided by the server's own side of
//! the quota and drain tasks ([`QuotaClient`]). Tasks of this process.

use puffinladder_leases::coordination::{CoordinatorReply, QuotaClient};
use puffinladder_transport::{connect, write_line, LineReader};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Between reports.
const EVERY: Duration = Duration::from_millis(250);
/// Longest answer, in bytes.
const ANSWER: usize = 16 << 20;
const UNREAD: Duration = Duration::from_secs(5);

/// All of them, together and since they began.
#[derive(Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub reports: AtomicU64,
    pub received: AtomicU64,
    pub replies: AtomicU64,
    /// Seats that have reported four times, and that went by an answer.
    pub heard: AtomicU64,
    pub answered: AtomicU64,
    /// Connections that ended.
    pub lost: AtomicU64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub sent: u64,
    pub reports: u64,
    pub received: u64,
    pub replies: u64,
}

pub struct Seats {
    pub counts: Arc<Counts>,
    _tasks: JoinSet<()>,
}

impl Seats {
    pub fn open(steward: SocketAddr, count: usize, customers: &BTreeMap<String, f64>) -> Seats {
        let counts = Arc::<Counts>::default();
        let mut tasks = JoinSet::new();
        for at in 0..count {
            let seat = QuotaClient::new(&format!("n{at:05}"), 1, &format!("z{}", at % 6), customers, count);
            // Spread over the time between two reports, as a fleet's are.
            let first = EVERY.mul_f64(at as f64 / count as f64);
            tasks.spawn(sit(steward, seat, at, first, counts.clone()));
        }
        Seats { counts, _tasks: tasks }
    }

    pub fn figures(&self) -> Figures {
        let Counts { sent, reports, received, replies, .. } = &*self.counts;
        let [sent, reports, received, replies] =
            [sent, reports, received, replies].map(|c| c.load(Ordering::Relaxed));
        Figures { sent, reports, received, replies }
    }
}

async fn sit(steward: SocketAddr, mut seat: QuotaClient, at: usize, first: Duration, counts: Arc<Counts>) {
    tokio::time::sleep(first).await;
    let add = |counter: &AtomicU64, by: u64| {
        counter.fetch_add(by, Ordering::Relaxed);
    };
    if let Ok(stream) = connect(steward).await {
        let (from, mut to) = stream.into_split();
        let mut lines = LineReader::new(from, ANSWER);
        let begun = Instant::now();
        let (mut read, mut number, mut answered) = (0, 0u64, false);
        let mut due = tokio::time::interval(EVERY);
        due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = due.tick() => {
                    number += 1;
                    // What customers ask for goes up and down, and differs between servers.
                    let turn = number + at as u64;
                    let demand = |customer: &str| ((customer.len() as u64 + turn) % 7) as f64;
                    let report = seat.next_report(begun.elapsed().as_secs_f64(), demand);
                    let Ok(bytes) = write_line(&mut to, &report, UNREAD).await else { break };
                    add(&counts.sent, bytes);
                    add(&counts.reports, 1);
                    add(&counts.heard, u64::from(number == 4));
                }
                reply = lines.read::<CoordinatorReply>() => {
                    let Ok(Some(reply)) = reply else { break };
                    add(&counts.received, lines.bytes_read() - read);
                    read = lines.bytes_read();
                    add(&counts.replies, 1);
                    if seat.handle_reply(begun.elapsed().as_secs_f64(), &reply) && !answered {
                        answered = true;
                        add(&counts.answered, 1);
                    }
                }
            }
        }
    }
    add(&counts.lost, 1);
}
