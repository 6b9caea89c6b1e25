//! An emulated server of a fault-injection test: reports to the workers, applies the quota shares that it receives, and drains by
//! slots. It uses the same [`QuotaClient`] as a real server.

use crate::fleet::ServiceEnvironment;
use crate::terminal::CommandResult;
use clap::Args;
use puffinladder_leases::coordination::{CoordinatorReply, QuotaClient, ServerReport};
use puffinladder_leases::drain::{DrainDecision, DrainTiming};
use puffinladder_leases::protocol::Event;
use puffinladder_transport::{connect, write_line, LineReader};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Arguments of an emulated server.
#[derive(Args)]
pub struct ServerArgs {
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

/// Interval between reports, s.
const REPORT_INTERVAL: f64 = 0.1;
/// Interval between checks of quota and drain state, s.
const POLL_INTERVAL: f64 = 0.01;
/// Longest wait for a drain slot, s.
const MAX_DRAIN_WAIT: f64 = 30.0;
const CUSTOMER: &str = "a";

/// Returns the machine's monotonic clock, s, which is the same for all processes, unlike their skewed clocks.
fn monotonic_seconds() -> f64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Keeps a connection to one worker: sends the latest report, and forwards the replies.
async fn run_connection(
    at: SocketAddr,
    mut reports: watch::Receiver<ServerReport>,
    replies: mpsc::Sender<CoordinatorReply>,
) {
    loop {
        if let Ok(stream) = connect(at).await {
            let (reader, mut writer) = stream.into_split();
            let mut lines = LineReader::new(reader, 1 << 20);
            loop {
                tokio::select! {
                    changed = reports.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        let report = reports.borrow_and_update().clone();
                        if write_line(&mut writer, &report, Duration::from_millis(500)).await.is_err() {
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

/// Runs the server until it has drained after SIGTERM.
pub async fn run_server(args: &ServerArgs, environment: &ServiceEnvironment) -> CommandResult {
    let clock = &environment.clock;
    let customers = [(CUSTOMER.to_string(), args.quota)].into();
    let mut client = QuotaClient::new(&args.name, args.life, &args.zone, &customers, args.seats);
    let equal_share = args.quota / args.seats as f64;
    let (reports, latest) = watch::channel(ServerReport::default());
    let (replies_in, mut replies) = mpsc::channel(64);
    for at in &args.stewards {
        tokio::spawn(run_connection(*at, latest.clone(), replies_in.clone()));
    }
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    environment.events.emit(&Event::Ready { listen: String::new() });
    let (mut last_report, mut draining_since, mut applied) = (f64::MIN, None, None);
    loop {
        tokio::select! {
            Some(reply) = replies.recv() => drop(client.handle_reply(clock.now(), &reply)),
            _ = term.recv() => {
                let timing = DrainTiming { max_wait: MAX_DRAIN_WAIT, killed_at: f64::MAX, drain_duration: args.drain };
                client.start_draining(clock.now(), timing)
            }
            () = tokio::time::sleep(Duration::from_secs_f64(POLL_INTERVAL)) => {}
        }
        let now = clock.now();
        let (rate, until) =
            (client.rate(now, CUSTOMER).unwrap_or(equal_share), client.valid_until(now, CUSTOMER));
        if applied != Some((rate, until)) {
            applied = Some((rate, until));
            let at = monotonic_seconds();
            // On the machine's clock, which the checkers use.
            let until = until.map(|until| at + clock.sleep_duration(until - now).as_secs_f64());
            environment.events.emit(&Event::QuotaApplied {
                tenant: CUSTOMER.into(),
                rate,
                equal_share,
                at,
                valid_until: until,
            });
        }
        if now - last_report >= REPORT_INTERVAL {
            last_report = now;
            reports.send_replace(client.next_report(now, |_| args.demand));
        }
        let decision = client.drain_decision(now).filter(|decision| *decision != DrainDecision::Wait);
        if let (Some(decision), None) = (decision, draining_since) {
            draining_since = Some(now);
            let slot_epoch = if let DrainDecision::WithSlot(epoch) = decision { Some(epoch) } else { None };
            environment.events.emit(&Event::ServerDraining { zone: args.zone.clone(), slot_epoch });
        }
        if draining_since.is_some_and(|since| now - since >= args.drain) {
            return Ok(());
        }
    }
}
