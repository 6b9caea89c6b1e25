//! A control service between emulated servers and callers, which are processes of their own (`puffinladder emulate`): over servers, callers, customers
//! and products that the reports name. One run tells of the service and of a caller.
//!
//! Bytes and messages are counted by the emulator processes: of the service all that they sent and got, of a caller its part of what the callers did.
//! `latency` of the service is the callers' lag: from a plan's decision, by the age that its lease tells, to a caller's answer to its content. Callers say it
//! for each second: of these the median of the medians, and the most of the 99th percentiles. Where no plan changed there is none.

use crate::child::{Child, PATIENCE};
use crate::{count, pass, Gauge, Sizes, Taken};
use puffinladder_proving::measure::quantile;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Most that one process plays.
const SERVERS: usize = 250;
const CALLERS: usize = 2500;
const ZONES: usize = 6;

/// What an emulator process says each second.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Line {
    at: f64,
    connected: u64,
    sent: u64,
    received: u64,
    messages_sent: u64,
    messages_received: u64,
    reconnects: u64,
    #[serde(default)]
    holding: u64,
    lag_p50: Option<f64>,
    lag_p99: Option<f64>,
}

/// The emulator processes of one kind, with the number that each plays.
struct Emulators(Vec<(Child, u64)>);

/// What they did a second, all together, between two looks.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    sent: f64,
    received: f64,
    messages_sent: f64,
    messages_received: f64,
}

impl Emulators {
    fn start(
        gauge: &Gauge,
        folder: &Path,
        kind: &str,
        count: usize,
        most: usize,
        control: SocketAddr,
        more: &[String],
    ) -> Result<Emulators, String> {
        let mut all = Vec::new();
        for first in (0..count).step_by(most) {
            let here = most.min(count - first);
            let mut args = vec!["emulate".to_string(), kind.into()];
            let told = [
                ("--count", here.to_string()),
                ("--first", first.to_string()),
                ("--control", control.to_string()),
                ("--zones", ZONES.to_string()),
                ("--seed", gauge.seed.to_string()),
            ];
            args.extend(told.into_iter().flat_map(|(key, value)| [key.to_string(), value]));
            args.extend(more.iter().cloned());
            let child = Child::start(&gauge.program, &args, &format!("emulator-{kind}-{first}"), folder)?;
            all.push((child, here as u64));
        }
        Ok(Emulators(all))
    }

    fn children(&mut self) -> impl Iterator<Item = &mut Child> {
        self.0.iter_mut().map(|(child, _)| child)
    }

    /// The last line of each; none before all have said one.
    fn last(&self) -> Option<Vec<Line>> {
        self.0.iter().map(|(child, _)| serde_json::from_str(child.output().last()?).ok()).collect()
    }

    /// All that they said after these lines.
    fn since(&self, before: &[Line]) -> Vec<Line> {
        let later = |(child, then): (&Child, &Line)| -> Vec<Line> {
            let all = child.output().into_iter().filter_map(|line| serde_json::from_str::<Line>(&line).ok());
            all.filter(|line| line.at > then.at).collect()
        };
        self.0.iter().map(|(child, _)| child).zip(before).flat_map(later).collect()
    }

    /// Whether all are as `well` wants, by the last line of each.
    fn all(&self, well: impl Fn(&Line, u64) -> bool) -> bool {
        self.last()
            .is_some_and(|lines| lines.iter().zip(&self.0).all(|(line, (_, count))| well(line, *count)))
    }
}

fn rates(before: &[Line], after: &[Line]) -> Result<Rates, String> {
    let mut sum = Rates::default();
    for (then, now) in before.iter().zip(after) {
        let span = now.at - then.at;
        if span <= 0.0 {
            return Err("an emulator process said nothing while it was measured".into());
        }
        if now.reconnects > then.reconnects {
            return Err(format!(
                "{} connections were lost while it was measured",
                now.reconnects - then.reconnects
            ));
        }
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / span;
        sum.sent += rate(now.sent, then.sent);
        sum.received += rate(now.received, then.received);
        sum.messages_sent += rate(now.messages_sent, then.messages_sent);
        sum.messages_received += rate(now.messages_received, then.messages_received);
    }
    Ok(sum)
}

/// Waits until all servers are connected and all callers hold a plan.
async fn settle(control: &mut Child, report: &mut Emulators, call: &mut Emulators) -> Result<(), String> {
    let begun = Instant::now();
    loop {
        let connected = report.all(|line, count| line.connected == count);
        if connected && call.all(|line, count| line.connected == count && line.holding == count) {
            return Ok(());
        }
        control.lives()?;
        report.children().chain(call.children()).try_for_each(Child::lives)?;
        if begun.elapsed() > PATIENCE {
            let (servers, callers) = (report.last(), call.last());
            return Err(control.fault(&format!(
                "not all are connected and hold a plan after {} s: {servers:?}, {callers:?}",
                PATIENCE.as_secs()
            )));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

pub async fn point(gauge: &Gauge, sizes: &Sizes) -> Result<Vec<Taken>, String> {
    let (servers, callers) = (count(sizes, "servers")?, count(sizes, "proxies")?);
    let (customers, routes) = (count(sizes, "customers")?, count(sizes, "routes")?);
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let path = folder.path().join("control.scm");
    let any = "127.0.0.1:0";
    let text = format!("(control (xds \"{any}\") (reports \"{any}\"))\n");
    std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    let args = ["control".into(), "--settings".into(), path.display().to_string()];
    let mut control = Child::start(&gauge.program, &args, "control", folder.path())?;
    let listens = |line: &str| {
        let (xds, reports) = line.split_once("xds on ")?.1.split_once(", reports on ")?;
        Some((xds.parse::<SocketAddr>().ok()?, reports.trim().parse::<SocketAddr>().ok()?))
    };
    let (xds, reports) = control.says("the control service to listen", listens).await?;
    let load = ["--customers", &customers.to_string(), "--products", &routes.to_string()].map(String::from);
    let mut report = Emulators::start(gauge, folder.path(), "servers", servers, SERVERS, reports, &load)?;
    let mut call = Emulators::start(gauge, folder.path(), "callers", callers, CALLERS, xds, &[])?;
    settle(&mut control, &mut report, &mut call).await?;
    let look = |report: &Emulators, call: &Emulators, control: &Child| -> Result<_, String> {
        let untold = || "an emulator process says nothing".to_string();
        Ok((control.usage()?, report.last().ok_or_else(untold)?, call.last().ok_or_else(untold)?))
    };
    // They say a line a second: of less than two nothing could be told.
    let span = gauge.span.max(2.0);
    let before = look(&report, &call, &control)?;
    let span = pass(span).await;
    let after = look(&report, &call, &control)?;
    control.lives()?;
    for child in report.children().chain(call.children()) {
        child.lives()?;
    }
    let (from_servers, of_callers) = (rates(&before.1, &after.1)?, rates(&before.2, &after.2)?);
    let mut service = Taken::of("control", span);
    after.0.tell(&before.0, &mut service);
    service.put("received", from_servers.sent + of_callers.sent);
    service.put("messages_received", from_servers.messages_sent + of_callers.messages_sent);
    service.put("sent", from_servers.received + of_callers.received);
    service.put("messages_sent", from_servers.messages_received + of_callers.messages_received);
    let lags = call.since(&before.2);
    let mut middle: Vec<f64> = lags.iter().filter_map(|line| line.lag_p50).collect();
    middle.sort_by(f64::total_cmp);
    service.put_known("latency_p50", Some(quantile(&middle, 0.5)));
    service.put_known("latency_p99", lags.iter().filter_map(|line| line.lag_p99).reduce(f64::max));
    let mut caller = Taken::of("proxy", span);
    let each = |of_all: f64| of_all / callers as f64;
    caller.put("received", each(of_callers.received));
    caller.put("messages_received", each(of_callers.messages_received));
    caller.put("sent", each(of_callers.sent));
    caller.put("messages_sent", each(of_callers.messages_sent));
    Ok(vec![service, caller])
}
