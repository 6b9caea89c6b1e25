//! A steward that parts quotas, over customers and servers, and one that gives turns, over servers. One steward owns the whole duty; three
//! keepers grant it.
//!
//! Bytes and messages are servers' reports and the answers to them, counted by the servers' side. What the steward and the keepers say to each other is a
//! line each half a second and not counted.

use crate::child::{until, Child};
use crate::fleet::Keepers;
use crate::seats::{Figures, Seats};
use crate::{count, pass, Counted, Gauge, Sizes, Taken};
use puffinladder_leases::protocol::Event;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;

/// A customer's quota over the fleet, txns a second.
const QUOTA: f64 = 100.0;

/// Starts a steward of which `inside` says what it does, and waits until it is ready: where it hears reports, if it does.
pub async fn start(
    gauge: &Gauge,
    folder: &Path,
    keepers: &Keepers,
    inside: &str,
) -> Result<(Child, Option<SocketAddr>), String> {
    let text = format!(
        "(steward (name \"s1\") (zone \"z0\") (folder \"{}\") {}\n {inside})\n",
        folder.join("steward").display(),
        keepers.told()
    );
    let path = folder.join("steward.scm");
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    let args = ["steward".into(), "--settings".into(), path.display().to_string(), "--events".into()];
    let mut child = Child::start(&gauge.program, &args, "steward", folder)?;
    let ready = |line: &str| match serde_json::from_str(line) {
        Ok(Event::Ready { listen }) => Some(listen.parse().ok()),
        _ => None,
    };
    let listen = child.says("the steward to be ready", ready).await?;
    Ok((child, listen))
}

pub async fn quota(gauge: &Gauge, sizes: &Sizes) -> Result<Vec<Taken>, String> {
    let (servers, customers) = (count(sizes, "servers")?, count(sizes, "customers")?);
    let quotas: BTreeMap<String, f64> =
        (0..customers).map(|at| (crate::server::customer(at), QUOTA)).collect();
    let each: Vec<String> =
        quotas.iter().map(|(name, rate)| format!("(customer (name \"{name}\") (rate {rate}))")).collect();
    let inside = format!(
        "(listen \"127.0.0.1:0\") (quota (parts 1) (servers {servers}) (span 2s) {})",
        each.join(" ")
    );
    reported(gauge, "steward-quota", "(duty (name \"quota\") (parts 1))", &inside, servers, &quotas).await
}

pub async fn turns(gauge: &Gauge, sizes: &Sizes) -> Result<Vec<Taken>, String> {
    let servers = count(sizes, "servers")?;
    let inside = "(listen \"127.0.0.1:0\") (turns (most 10) (zone-share 0.1) (span 30s) (silent 5s))";
    reported(gauge, "steward-turns", "(duty (name \"turns\"))", inside, servers, &BTreeMap::new()).await
}

async fn reported(
    gauge: &Gauge,
    role: &'static str,
    duty: &str,
    inside: &str,
    servers: usize,
    quotas: &BTreeMap<String, f64>,
) -> Result<Vec<Taken>, String> {
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let mut keepers = Keepers::start(gauge, folder.path(), duty).await?;
    let (mut child, listen) = start(gauge, folder.path(), &keepers, inside).await?;
    let listen = listen.ok_or_else(|| child.fault("does not say where it hears reports"))?;
    keepers.all_owned().await?;
    let seats = Seats::open(listen, servers, quotas);
    let heard = async || {
        let known =
            |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed) == servers as u64;
        (known(&seats.counts.heard) && (quotas.is_empty() || known(&seats.counts.answered))).then_some(())
    };
    until("every server to be heard and answered", &mut [&mut child], heard).await?;
    let before = (child.usage()?, Counted::now(seats.figures()));
    let span = pass(gauge.span).await;
    let after = (child.usage()?, Counted::now(seats.figures()));
    match seats.counts.lost.load(Ordering::Relaxed) {
        0 => {}
        lost => return Err(child.fault(&format!("{lost} of {servers} servers lost their connection"))),
    }
    let mut taken = Taken::of(role, span);
    after.0.tell(&before.0, &mut taken);
    let rate = |of: fn(&Figures) -> u64| after.1.rate(&before.1, of);
    taken.put("sent", rate(|all| all.received));
    taken.put("received", rate(|all| all.sent));
    taken.put("messages_sent", rate(|all| all.replies));
    taken.put("messages_received", rate(|all| all.reports));
    Ok(vec![taken])
}
