//! A stand-in server on the proving ground: it reports to the stewards, goes by the parts that it is given, and leaves by turns. All that it decides is the
//! [`Seat`]'s, which a real server would hold.

use crate::fleet::Ground;
use crate::say::Done;
use clap::Args;
use puffinladder_leases::coordination::{CoordinatorReply, QuotaClient, ServerReport};
use puffinladder_leases::drain::{DrainDecision, DrainTiming};
use puffinladder_leases::protocol::Event;
use puffinladder_transport::{connect, write_line, LineReader};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

#[derive(Args)]
pub struct Told {
    #[arg(long, default_value = "")]
    name: String,
    #[arg(long, default_value = "")]
    zone: String,
    #[arg(long, default_value_t = 1)]
    life: u64,
    #[arg(long, value_delimiter = ',')]
    stewards: Vec<SocketAddr>,
    #[arg(long, default_value_t = 1)]
    seats: usize,
    #[arg(long, default_value_t = 1.0)]
    quota: f64,
    #[arg(long, default_value_t = 0.0)]
    demand: f64,
    #[arg(long, default_value_t = 0.3)]
    drain: f64,
}

/// s between reports, and between looks.
const EVERY: f64 = 0.1;
const LOOK: f64 = 0.01;
/// s that it waits for its turn.
const PATIENCE: f64 = 30.0;
const CUSTOMER: &str = "a";

/// The machine's monotonic clock, s: the same for all processes, whatever clock each goes by.
fn machine() -> f64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Keeps a connection to one steward: the latest report goes out, answers come in.
async fn link(
    at: SocketAddr,
    mut reports: watch::Receiver<ServerReport>,
    replies: mpsc::Sender<CoordinatorReply>,
) {
    loop {
        if let Ok(stream) = connect(at).await {
            let (from, mut to) = stream.into_split();
            let mut lines = LineReader::new(from, 1 << 20);
            loop {
                tokio::select! {
                    changed = reports.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        let report = reports.borrow_and_update().clone();
                        if write_line(&mut to, &report, Duration::from_millis(500)).await.is_err() {
                            break;
                        }
                    }
                    reply = lines.read::<CoordinatorReply>() => match reply {
                        Ok(Some(reply)) => drop(replies.send(reply).await),
                        _ => break,
                    },
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

pub async fn sit(told: &Told, ground: &Ground) -> Done {
    let clock = &ground.clock;
    let customers = [(CUSTOMER.to_string(), told.quota)].into();
    let mut seat = QuotaClient::new(&told.name, told.life, &told.zone, &customers, told.seats);
    let equal = told.quota / told.seats as f64;
    let (reports, latest) = watch::channel(ServerReport::default());
    let (replies, mut answers) = mpsc::channel(64);
    for at in &told.stewards {
        tokio::spawn(link(*at, latest.clone(), replies.clone()));
    }
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    ground.events.emit(&Event::Ready { listen: String::new() });
    let (mut reported, mut gone, mut goes) = (f64::MIN, None, None);
    loop {
        tokio::select! {
            Some(reply) = answers.recv() => drop(seat.handle_reply(clock.now(), &reply)),
            _ = term.recv() => {
                let timing = DrainTiming { max_wait: PATIENCE, killed_at: f64::MAX, drain_duration: told.drain };
                seat.start_draining(clock.now(), timing)
            }
            () = tokio::time::sleep(Duration::from_secs_f64(LOOK)) => {}
        }
        let now = clock.now();
        let (rate, until) = (seat.rate(now, CUSTOMER).unwrap_or(equal), seat.valid_until(now, CUSTOMER));
        if goes != Some((rate, until)) {
            goes = Some((rate, until));
            let at = machine();
            // By the machine's clock, however fast this process's own runs.
            let until = until.map(|until| at + clock.sleep_duration(until - now).as_secs_f64());
            ground.events.emit(&Event::QuotaApplied {
                tenant: CUSTOMER.into(),
                rate,
                equal_share: equal,
                at,
                valid_until: until,
            });
        }
        if now - reported >= EVERY {
            reported = now;
            reports.send_replace(seat.next_report(now, |_| told.demand));
        }
        let go = seat.drain_decision(now).filter(|go| *go != DrainDecision::Wait);
        if let (Some(go), None) = (go, gone) {
            gone = Some(now);
            let by = if let DrainDecision::WithSlot(epoch) = go { Some(epoch) } else { None };
            ground.events.emit(&Event::ServerDraining { zone: told.zone.clone(), slot_epoch: by });
        }
        if gone.is_some_and(|since| now - since >= told.drain) {
            return Ok(());
        }
    }
}
