//! Reports to the roster. Trouble here touches nothing else.

use super::http;
use super::ring::{Filled, Ring};
use crate::life::House;
use may::net::TcpStream;
use std::io::{self, Write};
use std::sync::Arc;

/// Reports for as long as the process lives.
pub fn run(house: &Arc<House>) {
    let (mut next, mut well, mut at) = (0.0, true, None);
    loop {
        let now = house.clock.now();
        let roster = house.directory.peers().roster;
        // Where the list does not follow the state, a server leaves it by reporting no more.
        let leaves = house.desk.kill().is_some() && !house.warrant.terms.charter.endpoints_follow_health;
        // A roster that moved hears at once: it may not know this server yet.
        if (now >= next || at != Some(roster)) && house.agent.greeted() && !leaves {
            (next, at) = (now + house.limits.report.as_secs_f64(), Some(roster));
            let end = report(house, roster);
            if let Err(e) = &end {
                if well {
                    tracing::warn!("roster: no report: {e}");
                }
            }
            well = end.is_ok();
        }
        house.chores.wait();
    }
}

/// One report on a connection of its own: what became of the last one, or of its answer, can't touch it.
fn report(house: &House, roster: std::net::SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&roster, house.limits.report_wait)?;
    stream.set_read_timeout(Some(house.limits.report_wait))?;
    stream.set_write_timeout(Some(house.limits.report_wait))?;
    let end = house.clock.now() + house.limits.report_wait.as_secs_f64();
    let duty = if house.desk.serving() { "on" } else { "off" };
    let body = format!("{{\"duty\":\"{duty}\"}}");
    let target = format!("PUT /roster/{}", house.warrant.name);
    stream.write_all(&http::request(&target, "roster", "", body.as_bytes()))?;
    let mut input = Ring::new(house.limits.buffer, house.limits.head + house.limits.reply);
    while house.clock.now() < end {
        if !matches!(input.fill_from(&mut stream)?, Filled::Bytes(_)) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let reply = http::reply(input.whole(), house.limits.head, house.limits.reply);
        if let Some(reply) = reply.map_err(io::Error::other)? {
            return match reply.status {
                200..=299 => Ok(()),
                status => Err(io::Error::other(format!("status {status}"))),
            };
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}
