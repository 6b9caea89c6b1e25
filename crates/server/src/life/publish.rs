//! Tells a control service what this server decided of late, if the settings ask for it: a line of JSON a few times a
//! second, over TCP, from a thread of its own. Nobody waits for it, and nothing comes back.

use super::House;
use crate::memory::counts::Counts;
use puffinladder_charter::settings::Publish;
use puffinladder_reports::{Class, State, Who, WAIT};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Starts to publish; the process ends without waiting for it.
pub fn begin(told: &Publish, house: &Arc<House>, listens: SocketAddr) -> Result<(), String> {
    let Some(counts) = house.desk.book.counts().cloned() else { return Ok(()) };
    let (warrant, charter) = (&house.warrant, &house.warrant.terms.charter);
    let worth = |product: &puffinladder::RequestClass| product.priority_weight;
    let who = Who {
        instance: warrant.name.clone(),
        incarnation: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64),
        zone: told.zone.clone(),
        address: told.address.unwrap_or(listens),
        cores: charter.cores,
        cold: charter.starts_cold.then_some(charter.warm_up_duration).filter(|span| *span > 0.0),
        cold_share: charter.cold_capacity_fraction,
        products: warrant.terms.products.iter().cloned().zip(charter.classes.iter().map(worth)).collect(),
        customers: warrant.terms.customers.as_slice().into(),
    };
    let (control, every) = (told.control.clone(), Duration::from_secs_f64(told.every));
    let builder = thread::Builder::new().name("publish".into()).stack_size(house.limits.stack_recorder);
    let house = house.clone();
    let work = move || work(&who, &control, every, &counts, &house);
    builder.spawn(work).map(drop).map_err(|e| format!("no thread: {e}"))
}

fn work(who: &Who, control: &[SocketAddr], every: Duration, counts: &Counts, house: &House) {
    let begun = Instant::now();
    let mut streams: Vec<Option<TcpStream>> = control.iter().map(|_| None).collect();
    let mut heard = true;
    for sequence in 1u64.. {
        thread::sleep(every);
        let made = begun.elapsed().as_secs_f64();
        let line = who.line(&state(counts, house, every.as_secs_f64()), sequence, made);
        let mut any = false;
        // Each service gets all: they agree on nothing among themselves.
        for (at, stream) in control.iter().zip(&mut streams) {
            if stream.is_none() {
                *stream = TcpStream::connect_timeout(at, WAIT)
                    .ok()
                    .filter(|new| new.set_write_timeout(Some(WAIT)).is_ok() && new.set_nodelay(true).is_ok());
            }
            // A line that left in part can't be taken back: that connection is over.
            let sent = stream.as_mut().is_some_and(|open| open.write_all(line.as_bytes()).is_ok());
            *stream = stream.take().filter(|_| sent);
            any |= sent;
        }
        if any != heard {
            heard = any;
            let what = if any { "is heard again" } else { "finds no control service, goes on without" };
            tracing::info!("publish: {what}");
        }
    }
}

fn state(counts: &Counts, house: &House, span: f64) -> State {
    let taken = counts.take(span);
    let class = |&(product, customer, asked, declined): &(usize, usize, f64, f64)| Class {
        product,
        customer,
        asked,
        declined,
    };
    State {
        limit: taken.limit,
        running: house.desk.running(),
        takes: taken.takes,
        pressure: taken.pressure,
        retry_after: taken.retry_after,
        healthy: taken.healthy,
        leaving: taken.kill.map(|kill| (kill - house.clock.now()).max(0.0)),
        settled: taken.settled,
        classes: taken.classes.iter().map(class).collect(),
    }
}
