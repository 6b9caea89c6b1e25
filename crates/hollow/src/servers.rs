//! Hollow servers: each is a task that publishes its reports to each control service as the serving process's thread does
//! (`crates/server/src/life/publish.rs`): one line after each pause, on a connection of its own, which is given up when it takes a line too
//! slowly and opened anew for the next one. Nothing is read from it.

use crate::counts::{Counts, Held, Way};
use crate::draw::{self, Load, Traffic};
use crate::{seats, starts};
use puffinladder_reports::{State, Who, WAIT};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// What is played.
#[derive(Clone, Debug)]
pub struct Told {
    pub count: usize,
    /// The number of the first of them.
    pub first: usize,
    pub control: Vec<SocketAddr>,
    /// None: without seats.
    pub stewards: Vec<SocketAddr>,
    pub load: Load,
    pub every: Duration,
    pub zones: usize,
    pub seed: u64,
    pub start_within: Duration,
    /// Servers that the equal share of a quota is reckoned for, and the quota of each customer over all of them, txns a second.
    pub fleet: usize,
    pub quota: f64,
    /// How long a seat that is told to leave waits for its turn.
    pub patience: Duration,
}

/// All that run; they end with it.
pub struct Servers {
    tasks: JoinSet<()>,
    leave: watch::Sender<bool>,
    pub counts: Arc<Counts>,
}

impl Servers {
    /// Starts them on the present runtime.
    pub fn start(told: &Told) -> Servers {
        let (counts, leave) = (Arc::new(Counts::default()), watch::Sender::new(false));
        let mut tasks = JoinSet::new();
        // One list for all: thousands of names would be most of a server's memory.
        let products: Arc<[(String, f64)]> =
            (0..told.load.products).map(|at| (draw::product(at), 1.0 + (at % 7) as f64 * 0.5)).collect();
        let customers: Arc<[String]> = (0..told.load.customers).map(draw::customer).collect();
        for (at, start) in starts(told.count, told.start_within, told.seed).into_iter().enumerate() {
            let number = told.first + at;
            let (instance, address) = draw::server(number);
            let zone = draw::zone(number, told.zones);
            let mut traffic = Traffic::new(told.load.clone(), told.seed ^ (number as u64 + 1) << 20);
            let (told, counts) = (told.clone(), counts.clone());
            let (products, customers) = (products.clone(), customers.clone());
            let mut leaves = leave.subscribe();
            tasks.spawn(async move {
                tokio::select! {
                    () = tokio::time::sleep(start) => {}
                    _ = leaves.wait_for(|leave| *leave) => return,
                }
                let incarnation = now_us();
                let who = Who {
                    instance,
                    incarnation,
                    zone,
                    address,
                    cores: 4.0,
                    cold: None,
                    cold_share: 1.0,
                    products,
                    customers: customers.clone(),
                };
                let seat = (!told.stewards.is_empty()).then(|| seats::Told {
                    server: who.instance.clone(),
                    incarnation,
                    zone: who.zone.clone(),
                    stewards: told.stewards.clone(),
                    quota: told.quota,
                    fleet: told.fleet,
                    every: told.every,
                    patience: told.patience.as_secs_f64(),
                });
                let publishes = publish(who, |span| traffic.state(span), &told.control, told.every, &counts);
                let sits = async {
                    match seat {
                        Some(seat) => seats::sit(&seat, &customers, &counts, &mut leaves).await,
                        None => drop(leaves.wait_for(|leave| *leave).await),
                    }
                };
                tokio::select! {
                    () = publishes => {}
                    () = sits => {}
                }
            });
        }
        Servers { tasks, leave, counts }
    }

    /// Tells all to leave, and waits until they have: at once without stewards, else once each has its turn or waited in vain.
    pub async fn leave(mut self) {
        let _ = self.leave.send(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

/// Publishes until it is dropped; `state` is asked what happened in each span.
pub async fn publish(
    who: Who,
    mut state: impl FnMut(f64) -> State,
    control: &[SocketAddr],
    every: Duration,
    counts: &Arc<Counts>,
) {
    let begun = Instant::now();
    let mut streams: Vec<(Option<TcpStream>, Way)> = control.iter().map(|_| Default::default()).collect();
    let mut connected = None;
    for sequence in 1u64.. {
        tokio::time::sleep(every).await;
        let made = begun.elapsed().as_secs_f64();
        let line = who.line(&state(every.as_secs_f64()), sequence, made);
        for (at, (stream, way)) in control.iter().zip(&mut streams) {
            if stream.is_none() {
                *stream = dial(*at).await;
                if stream.is_some() {
                    way.opened(counts);
                }
            }
            // A line that left in part can't be taken back: that connection is over.
            let sent = match stream {
                Some(open) => write(open, line.as_bytes()).await.is_ok(),
                None => false,
            };
            if sent {
                counts.sent.add(line.len() as u64);
                counts.messages_sent.add(1);
            } else {
                *stream = None;
                way.closed();
            }
        }
        if streams.iter().all(|(stream, _)| stream.is_none()) {
            connected = None;
        } else if connected.is_none() {
            connected = Some(Held::new(counts, |counts| &counts.connected));
        }
    }
}

async fn dial(at: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(WAIT, TcpStream::connect(at)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Writes all, as long as something of it leaves within each [`WAIT`]: so does a blocking write with a time-out.
async fn write(stream: &mut TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WAIT, stream.write(bytes)).await??;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
