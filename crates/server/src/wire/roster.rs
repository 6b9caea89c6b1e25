//! Reports to the roster. Trouble here touches nothing else.

use super::http;
use super::ring::{Filled, Ring};
use crate::life::House;
use may::net::TcpStream;
use std::io::{self, Write};
use std::sync::Arc;

/// Reports for as long as the process lives.
pub fn run(house: &Arc<House>) {
    let mut link = None;
    let mut next = 0.0;
    let mut well = true;
    loop {
        let now = house.clock.now();
        // Where the list does not follow the state, a server leaves it by reporting no more.
        let leaves = house.desk.kill().is_some() && !house.warrant.terms.charter.list_follows;
        if now >= next && house.agent.greeted() && !leaves {
            next = now + house.limits.report.as_secs_f64();
            let end = report(house, &mut link);
            if let Err(e) = &end {
                link = None;
                if well {
                    log::warn!("roster: no report: {e}");
                }
            }
            well = end.is_ok();
        }
        house.chores.wait();
    }
}

fn report(house: &House, link: &mut Option<TcpStream>) -> io::Result<()> {
    let stream = match link {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&house.warrant.roster, house.limits.connect)?;
            stream.set_read_timeout(Some(house.limits.report_wait))?;
            stream.set_write_timeout(Some(house.limits.report_wait))?;
            link.insert(stream)
        }
    };
    let duty = if house.desk.serving() { "on" } else { "off" };
    let body = format!("{{\"duty\":\"{duty}\"}}");
    let target = format!("PUT /roster/{}", house.warrant.name);
    stream.write_all(&http::request(&target, "roster", "", body.as_bytes()))?;
    let mut input = Ring::new(house.limits.buffer, house.limits.head + house.limits.reply);
    loop {
        if !matches!(input.fill_from(&mut *stream)?, Filled::Bytes(_)) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let reply = http::reply(input.whole(), house.limits.head, house.limits.reply);
        if let Some(reply) = reply.map_err(io::Error::other)? {
            if !reply.stays {
                *link = None;
            }
            return match reply.status {
                200..=299 => Ok(()),
                status => Err(io::Error::other(format!("status {status}"))),
            };
        }
    }
}
