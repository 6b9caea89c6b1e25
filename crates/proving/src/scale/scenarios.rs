//! The stories: what happens to a fleet, and what must not grow by it.

use super::fleet::{Caller, EmulatorKind, EmulatorSpec, Fleet, Metrics, REPORT_INTERVAL_S};
use super::{Expectation, FleetConfig, FleetSize, Scenario, ScenarioReport};
use crate::schedule::Direction;
use std::collections::BTreeMap;

/// Zones over which all are spread.
const ZONES: usize = 6;
/// Plans over which nothing is to happen.
const CALM: f64 = 12.0;
/// What stays the same: numbers in it may have a digit more.
const SAME: f64 = 1.05;
/// s between renewals of a type, of which two have leases.
const RENEWED: f64 = 0.5;
/// Bytes a second that a server may spend on control.
const BUDGET: f64 = 12_000.0;
/// Types of resources.
const TYPES: f64 = 4.0;
/// Descriptors of a control service beside its connections.
const OWN: f64 = 40.0;
/// Bytes a second that slow callers read, all of them together.
const TRICKLE: f64 = 200.0;
/// Numbers of those who come beside the others.
const BESIDE: usize = 60_000;
/// Servers and callers of a process that dies: a connection each.
const DEAD: usize = 50;

/// Plays one scenario.
pub async fn run_scenario(scenario: Scenario, size: FleetSize, config: &FleetConfig) -> ScenarioReport {
    let mut report =
        ScenarioReport { scenario, assertions: Vec::new(), error: None, kept_folders: Vec::new() };
    match scenario {
        Scenario::Steady => steady(size, config, &mut report).await,
        Scenario::Budget => {
            within(config, &mut report, 1, async |fleet| budget(fleet, size).await).await;
        }
        Scenario::Change => change(size, config, &mut report).await,
        Scenario::Restart => {
            within(config, &mut report, 1, async |fleet| restart(fleet, size).await).await;
        }
        Scenario::Zone => {
            within(config, &mut report, 1, async |fleet| zone(fleet, size).await).await;
        }
        Scenario::Cut => {
            within(config, &mut report, 2, async |fleet| cut(fleet, size).await).await;
        }
        Scenario::Slow => {
            within(config, &mut report, 1, async |fleet| slow(fleet, size).await).await;
        }
        Scenario::Dead => {
            within(config, &mut report, 1, async |fleet| dead(fleet, size).await).await;
        }
    }
    report
}

/// Plays in a fleet of its own, and keeps what came of it.
async fn within<T>(
    config: &FleetConfig,
    report: &mut ScenarioReport,
    services: usize,
    play: impl AsyncFnOnce(&mut Fleet<'_>) -> Result<T, String>,
) -> Option<T> {
    if report.error.is_some() {
        return None;
    }
    let mut fleet = match Fleet::start(config, report.scenario, services).await {
        Ok(fleet) => fleet,
        Err(what) => {
            report.error = Some(what);
            return None;
        }
    };
    let played = play(&mut fleet).await;
    let (rows, kept) = fleet.end(played.is_err());
    report.assertions.extend(rows);
    report.kept_folders.extend(kept);
    played.map_err(|what| report.error = Some(what)).ok()
}

fn part(kind: EmulatorKind, count: usize, first: usize) -> EmulatorSpec {
    EmulatorSpec { kind, count, first, zones: ZONES, to: vec![(0, false)] }
}

/// Servers and callers of one service, all in two processes.
async fn all(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<[usize; 2], String> {
    let servers = fleet.start_emulator(part(EmulatorKind::Servers, size.servers, 0), "500ms").await?;
    let callers = fleet.start_emulator(part(EmulatorKind::Callers, size.callers, 0), "500ms").await?;
    Ok([servers, callers])
}

fn grown(metrics: &Metrics, since: &Metrics, name: &str) -> f64 {
    metrics.get(name) - since.get(name)
}

/// Content that each caller was sent between two looks; whoever has another stream since counts from its start.
fn sent<'a>(
    now: &'a BTreeMap<String, Caller>,
    before: &'a BTreeMap<String, Caller>,
) -> impl Iterator<Item = (&'a Caller, u64)> {
    now.values().map(|caller| {
        let old = before.get(&caller.node).filter(|old| old.sent <= caller.sent).map_or(0, |old| old.sent);
        (caller, caller.sent - old)
    })
}

fn most(of: impl Iterator<Item = f64>) -> f64 {
    of.reduce(f64::max).unwrap_or(f64::NAN)
}

/// What one fleet in which nothing happens costs: bytes a report, bytes a renewal.
async fn calm(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<[f64; 2], String> {
    all(fleet, size).await?;
    let from = fleet.wait_until_stable(0, size).await?;
    let (servers, callers) = (fleet.servers(0).await?, fleet.callers(0).await?);
    let plans = from.get("plans_total");
    let to = fleet.wait_for_metrics(0, "plans", |metrics| metrics.get("plans_total") >= plans + CALM).await?;
    let later = (fleet.servers(0).await?, fleet.callers(0).await?);
    let of = format!("{} servers, {} callers", size.servers, size.callers);
    fleet.expect(
        format!("{of}: content sent while nothing changes"),
        Expectation::Equal(0.0),
        grown(&to, &from, "responses_total"),
    );
    let more = later.0.values().filter_map(|now| {
        let old = servers.get(&now.instance)?;
        Some((now.sequence - old.sequence) as f64 - (now.made - old.made) / REPORT_INTERVAL_S)
    });
    let more = most(more);
    fleet.expect(format!("{of}: reports of a server past one each 250 ms"), Expectation::AtMost(1.0), more);
    let more = later.1.values().filter_map(|now| {
        let old = callers.get(&now.node)?;
        let due = 2.0 * ((now.open_for - old.open_for) / RENEWED + 1.0);
        Some((now.heartbeats - old.heartbeats) as f64 - due)
    });
    let more = most(more);
    fleet.expect(
        format!("{of}: renewals of a caller past one a type each 500 ms"),
        Expectation::AtMost(0.0),
        more,
    );
    let open = fleet.descriptors(0).await;
    let room = (size.servers + size.callers) as f64 + OWN;
    fleet.expect(format!("{of}: descriptors of the control service"), Expectation::AtMost(room), open);
    let report = grown(&to, &from, "report_bytes_total") / grown(&to, &from, "reports_taken_total");
    let renewal = (to.response_bytes("renewal") - from.response_bytes("renewal"))
        / grown(&to, &from, "heartbeats_total");
    Ok([report, renewal])
}

/// What a server with the plan's share of requests spends on one control service.
async fn budget(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    all(fleet, size).await?;
    let from = fleet.wait_until_stable(0, size).await?;
    let plans = from.get("plans_total");
    let to = fleet.wait_for_metrics(0, "plans", |metrics| metrics.get("plans_total") >= plans + CALM).await?;
    let report = grown(&to, &from, "report_bytes_total") / grown(&to, &from, "reports_taken_total");
    fleet.expect(
        "bytes a second of a server asked 150 times a second",
        Expectation::AtMost(BUDGET),
        report / REPORT_INTERVAL_S,
    );
    Ok(())
}

async fn steady(size: FleetSize, config: &FleetConfig, report: &mut ScenarioReport) {
    let sizes = [
        size,
        FleetSize { servers: 3 * size.servers, ..size },
        FleetSize { callers: 3 * size.callers, ..size },
    ];
    let mut costs = Vec::new();
    for size in sizes {
        costs.extend(within(config, report, 1, async |fleet| calm(fleet, size).await).await);
    }
    let [few, servers, callers] = costs[..] else { return };
    for (what, at) in [("a report", 0), ("a renewal", 1)] {
        for (of, three) in [("servers", servers), ("callers", callers)] {
            let ratio = three[at] / few[at];
            report.assertions.push(super::Assertion {
                scenario: report.scenario,
                description: format!("bytes of {what}, three times the {of} over once"),
                expected: Expectation::AtMost(SAME),
                observed: ratio,
            });
        }
    }
}

/// One server of the last zone goes silent for good. Bytes that this cost, to how many responses.
async fn changed(fleet: &mut Fleet<'_>, size: FleetSize, others: usize) -> Result<[f64; 2], String> {
    all(fleet, size).await?;
    let one = fleet.start_emulator(part(EmulatorKind::Servers, 1, BESIDE - 1), "0s").await?;
    let beside = EmulatorSpec { zones: ZONES - 1, ..part(EmulatorKind::Callers, others, BESIDE) };
    fleet.start_emulator(beside, "500ms").await?;
    let standing = FleetSize { servers: size.servers + 1, callers: size.callers + others };
    let from = fleet.wait_until_stable(0, standing).await?;
    let before = fleet.callers(0).await?;
    fleet.kill_emulator(one);
    let to = fleet.wait_until_stable(0, FleetSize { servers: size.servers, ..standing }).await?;
    let after = fleet.callers(0).await?;
    let hit = &format!("zone-{ZONES}");
    let of =
        |concerned: bool| sent(&after, &before).filter(move |(caller, _)| (caller.zone == *hit) == concerned);
    let untouched = of(false).map(|(_, sent)| sent as f64).sum();
    let least = of(true).map(|(_, sent)| sent as f64).reduce(f64::min).unwrap_or(f64::NAN);
    let all = of(true).map(|(_, sent)| sent as f64);
    let (all, changes) = (most(all), grown(&to, &from, "plans_changed_total"));
    let name = format!("{others} callers beside");
    fleet.expect(
        format!("{name}: content to callers of zones that nothing changed in"),
        Expectation::Equal(0.0),
        untouched,
    );
    fleet.expect(
        format!("{name}: content to each caller of the zone that lost a server"),
        Expectation::AtLeast(1.0),
        least,
    );
    fleet.expect(
        format!("{name}: the same, one a changed plan at the most"),
        Expectation::AtMost(changes),
        all,
    );
    let bytes = to.response_bytes("content") - from.response_bytes("content");
    Ok([bytes, grown(&to, &from, "responses_total")])
}

async fn change(size: FleetSize, config: &FleetConfig, report: &mut ScenarioReport) {
    let mut costs = Vec::new();
    for others in [size.callers, 3 * size.callers] {
        costs.extend(within(config, report, 1, async |fleet| changed(fleet, size, others).await).await);
    }
    let [few, many] = costs[..] else { return };
    report.assertions.push(super::Assertion {
        scenario: report.scenario,
        description: "bytes a response of the change, three times the callers it does not concern over once"
            .into(),
        expected: Expectation::AtMost(SAME),
        observed: (many[0] / many[1]) / (few[0] / few[1]),
    });
}

/// What a start of all peers at once may cost a service that has just begun, too.
fn came(fleet: &mut Fleet<'_>, what: &str, size: FleetSize, metrics: &Metrics, since: &Metrics) {
    let (servers, callers) = (size.servers as f64, size.callers as f64);
    let streams = grown(metrics, since, "streams_total");
    fleet.expect(format!("{what}: streams opened"), Expectation::AtMost(2.0 * callers), streams);
    let connections = grown(metrics, since, "report_connections_total");
    fleet.expect(format!("{what}: connections of servers"), Expectation::AtMost(2.0 * servers), connections);
    // Each stream gets each type once, and whatever changed in it since.
    let content = streams * (TYPES + 2.0 * grown(metrics, since, "plans_changed_total"));
    fleet.expect(
        format!("{what}: responses with content"),
        Expectation::AtMost(content),
        grown(metrics, since, "responses_total"),
    );
    fleet.expect(format!("{what}: streams open"), Expectation::Equal(callers), metrics.get("proxies"));
    fleet.expect(
        format!("{what}: responses that wait for one stream"),
        Expectation::AtMost(TYPES),
        metrics.get("responses_waiting_most"),
    );
}

async fn restart(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    let parties = all(fleet, size).await?;
    let old = fleet.wait_until_stable(0, size).await?;
    let room = (size.servers + size.callers) as f64 + OWN;
    for (what, service, peers) in
        [("the service alone", true, false), ("all peers", false, true), ("everything", true, true)]
    {
        let mut since = fleet.metrics(0).await?;
        let epoch = fleet.epoch(0).await?;
        if service {
            fleet.kill_service(0);
        }
        if peers {
            parties.iter().for_each(|party| fleet.kill_emulator(*party));
        }
        if service {
            fleet.start_service(0).await?;
            since = fleet.metrics(0).await?.zeroed();
        }
        if peers {
            for party in parties {
                fleet.restart_emulator(party, "0s")?;
            }
        }
        // Those who were there before may be taken for those who come: not once as many streams came anew.
        let (streams, callers) = (since.get("streams_total"), size.callers as f64);
        fleet
            .wait_for_metrics(0, "all callers to come", |metrics| {
                metrics.get("streams_total") >= streams + callers
            })
            .await?;
        let metrics = fleet.wait_until_stable(0, size).await?;
        came(fleet, what, size, &metrics, &since);
        let open = fleet.wait_for_descriptors(0, room).await;
        fleet.expect(format!("{what}: descriptors of the service"), Expectation::AtMost(room), open);
        let later = fleet.epoch(0).await?;
        let must = if service { Expectation::AtLeast(1.0) } else { Expectation::Equal(0.0) };
        fleet.expect(format!("{what}: the plan's epoch, over the one before"), must, later - epoch);
    }
    let plans = old.get("plans_total");
    fleet.expect("plans before, or nothing was played", Expectation::AtLeast(1.0), plans);
    Ok(())
}

async fn zone(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    let (servers, callers) = (size.servers.div_ceil(ZONES), size.callers.div_ceil(ZONES));
    let whole = FleetSize { servers: servers * ZONES, callers: callers * ZONES };
    let mut lost = [0; 2];
    for at in 0..ZONES {
        lost[0] = fleet.start_emulator(part(EmulatorKind::Servers, servers, at * servers), "500ms").await?;
        lost[1] = fleet.start_emulator(part(EmulatorKind::Callers, callers, at * callers), "500ms").await?;
    }
    let from = fleet.wait_until_stable(0, whole).await?;
    let (before, open) = (fleet.callers(0).await?, fleet.descriptors(0).await);
    lost.iter().for_each(|party| fleet.kill_emulator(*party));
    let left = FleetSize { servers: whole.servers - servers, callers: whole.callers - callers };
    let to = fleet.wait_until_stable(0, left).await?;
    let after = fleet.callers(0).await?;
    let most_open = open - (servers + callers) as f64;
    let still = fleet.wait_for_descriptors(0, most_open).await;
    fleet.expect("lost: descriptors, those of the lost given back", Expectation::AtMost(most_open), still);
    fleet.expect(
        "lost: streams opened by those who stay",
        Expectation::Equal(0.0),
        grown(&to, &from, "streams_total"),
    );
    let connections = grown(&to, &from, "report_connections_total");
    fleet.expect("lost: connections of servers that stay", Expectation::Equal(0.0), connections);
    let changes = grown(&to, &from, "plans_changed_total");
    let content = most(sent(&after, &before).map(|(_, sent)| sent as f64));
    fleet.expect(
        "lost: content to a caller, one a changed plan at the most",
        Expectation::AtMost(changes),
        content,
    );
    for party in lost {
        fleet.restart_emulator(party, "0s")?;
    }
    let back = fleet.wait_until_stable(0, whole).await?;
    let all = fleet.callers(0).await?;
    let stayed = all.iter().filter(|(node, _)| after.contains_key(*node));
    let stayed: BTreeMap<String, Caller> = stayed.map(|(node, c)| (node.clone(), c.clone())).collect();
    let content = most(sent(&stayed, &after).map(|(_, sent)| sent as f64));
    let changes = grown(&back, &to, "plans_changed_total");
    fleet.expect(
        "back: content to a caller that stayed, one a changed plan",
        Expectation::AtMost(changes),
        content,
    );
    let size = FleetSize { servers, callers };
    let streams = grown(&back, &to, "streams_total");
    fleet.expect("back: streams opened", Expectation::AtMost(2.0 * size.callers as f64), streams);
    let connections = grown(&back, &to, "report_connections_total");
    fleet.expect("back: connections of servers", Expectation::AtMost(2.0 * size.servers as f64), connections);
    let again = fleet.wait_for_descriptors(0, open).await;
    fleet.expect("back: descriptors, no more than before", Expectation::AtMost(open), again);
    let waited = back.get("responses_waiting_most");
    fleet.expect("responses that wait for one stream", Expectation::AtMost(TYPES), waited);
    Ok(())
}

async fn cut(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    // Servers report to both regions' services, callers ask their own.
    let (servers, callers) = (size.servers.div_ceil(2), size.callers.div_ceil(2));
    let whole = FleetSize { servers: 2 * servers, callers };
    let mut across = Vec::new();
    for region in 0..2 {
        let to = (0..2).map(|service| (service, service != region)).collect();
        let part = EmulatorSpec { to, ..part(EmulatorKind::Servers, servers, region * servers) };
        across.push(fleet.start_emulator(part, "500ms").await?);
        let part = EmulatorSpec { to: vec![(region, false)], ..part_of(region, callers) };
        fleet.start_emulator(part, "500ms").await?;
    }
    let (mut from, mut before) = (Vec::new(), Vec::new());
    for region in 0..2 {
        from.push(fleet.wait_until_stable(region, whole).await?);
        before.push(fleet.callers(region).await?);
    }
    across.iter().for_each(|party| shut(fleet, *party, true));
    let alone = servers as f64;
    for (region, from) in from.iter().enumerate() {
        let settled = |metrics: &Metrics| {
            metrics.get("servers") == alone && metrics.get("proxies_settled") == callers as f64
        };
        let to = fleet.wait_for_metrics(region, "the other region to be forgotten", settled).await?;
        let what = format!("cut, region {}", region + 1);
        fleet.expect(format!("{what}: a plan holds"), Expectation::AtMost(2.0), to.get("plan_age_seconds"));
        fleet.expect(
            format!("{what}: streams opened anew"),
            Expectation::Equal(0.0),
            grown(&to, from, "streams_total"),
        );
        let most = (2 * servers) as f64;
        fleet.expect(
            format!("{what}: connections of servers"),
            Expectation::AtMost(most),
            to.get("report_connections"),
        );
    }
    across.iter().for_each(|party| shut(fleet, *party, false));
    for region in 0..2 {
        let to = fleet.wait_until_stable(region, whole).await?;
        let (after, from) = (fleet.callers(region).await?, &from[region]);
        let what = format!("healed, region {}", region + 1);
        fleet.expect(
            format!("{what}: streams opened anew"),
            Expectation::Equal(0.0),
            grown(&to, from, "streams_total"),
        );
        let connections = grown(&to, from, "report_connections_total");
        fleet.expect(
            format!("{what}: connections opened by the other region"),
            Expectation::AtMost(2.0 * alone),
            connections,
        );
        let changes = grown(&to, from, "plans_changed_total");
        let content = most(sent(&after, &before[region]).map(|(_, sent)| sent as f64));
        fleet.expect(
            format!("{what}: content to a caller, one a changed plan"),
            Expectation::AtMost(changes),
            content,
        );
        let refused = grown(&to, from, "reports_refused_total");
        fleet.expect(
            format!("{what}: reports that came late and were refused"),
            Expectation::Equal(0.0),
            refused,
        );
    }
    Ok(())
}

/// Shuts the relays before an emulator process, or opens them.
fn shut(fleet: &Fleet<'_>, party: usize, shut: bool) {
    fleet
        .relays(party)
        .for_each(|relay| relay.impair(Direction::Both, |impairment| impairment.blocked = shut));
}

fn part_of(region: usize, callers: usize) -> EmulatorSpec {
    part(EmulatorKind::Callers, callers, region * callers)
}

async fn slow(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    let sound = all(fleet, size).await?[1];
    let one = fleet.start_emulator(part(EmulatorKind::Servers, 1, BESIDE - 1), "0s").await?;
    let count = size.callers.div_ceil(3);
    let through = EmulatorSpec { to: vec![(0, true)], ..part(EmulatorKind::Callers, count, BESIDE) };
    let slow = fleet.start_emulator(through, "500ms").await?;
    let whole = FleetSize { servers: size.servers + 1, callers: size.callers + count };
    let from = fleet.wait_until_stable(0, whole).await?;
    let open = fleet.descriptors(0).await;
    let before = fleet.callers(0).await?;
    fleet.relays(slow).for_each(|relay| {
        relay.impair(Direction::Reverse, |impairment| impairment.bytes_per_second = TRICKLE)
    });
    fleet.kill_emulator(one);
    let names: Vec<String> = before.keys().filter(|node| number(node) < BESIDE).cloned().collect();
    // All that read hold the plan without the lost server, and go on, until each slow one was ended at least once.
    let servers = size.servers as f64;
    let mut streams = 0.0f64;
    let ended = |metrics: &Metrics| metrics.get("streams_total") - metrics.get("proxies");
    let gone = ended(&from);
    let to = fleet
        .wait_for_metrics(0, "slow callers to be ended", |metrics| {
            streams = streams.max(metrics.get("proxies"));
            metrics.get("servers") == servers && ended(metrics) >= gone + count as f64
        })
        .await?;
    let holds = |all: &BTreeMap<String, Caller>| {
        names.iter().filter(|node| all.get(*node).is_some_and(|caller| caller.settled)).count()
    };
    let count_of = names.len();
    let what = "those who read to hold the plan without the lost server, while others read slowly";
    let after = fleet.wait_for_callers(0, what, |all| holds(all) == count_of).await?;
    let held = holds(&after);
    fleet.expect(
        "callers that read hold the changed plan",
        Expectation::Equal(size.callers as f64),
        held as f64,
    );
    let kept = names.iter().filter(|node| {
        let open = |all: &BTreeMap<String, Caller>| all.get(*node).map_or(f64::NAN, |c| c.open_for);
        open(&after) >= open(&before)
    });
    let kept = kept.count() as f64;
    fleet.expect("of them, streams that were never ended", Expectation::Equal(size.callers as f64), kept);
    let again = fleet.emulator_status(sound).reconnects as f64;
    fleet.expect("of them, connections opened again, as they say", Expectation::Equal(0.0), again);
    let most = (size.callers + 2 * count) as f64;
    fleet.expect("streams at most, one dying beside each slow caller's", Expectation::AtMost(most), streams);
    fleet.expect(
        "responses that wait for one stream",
        Expectation::AtMost(TYPES),
        to.get("responses_waiting_most"),
    );
    let ended = ended(&to) - gone;
    fleet.expect("streams of slow callers that were ended", Expectation::AtLeast(count as f64), ended);
    fleet
        .relays(slow)
        .for_each(|relay| relay.impair(Direction::Reverse, |impairment| impairment.bytes_per_second = 0.0));
    fleet.wait_until_stable(0, FleetSize { servers: size.servers, callers: whole.callers }).await?;
    let last = fleet.wait_for_descriptors(0, open).await;
    fleet.expect("read again: descriptors, no more than before", Expectation::AtMost(open), last);
    Ok(())
}

/// The number in a emulated caller's name.
fn number(node: &str) -> usize {
    node.rsplit('c').next().and_then(|number| number.parse().ok()).unwrap_or(usize::MAX)
}

async fn dead(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    all(fleet, size).await?;
    let base = fleet.wait_until_stable(0, size).await?;
    let open = fleet.descriptors(0).await;
    for (what, silent) in [("killed", false), ("cut off without a word", true)] {
        let mut parties = [0; 2];
        for (at, kind) in [EmulatorKind::Servers, EmulatorKind::Callers].into_iter().enumerate() {
            let part = EmulatorSpec { to: vec![(0, silent)], ..part(kind, DEAD, BESIDE) };
            parties[at] = fleet.start_emulator(part, "500ms").await?;
        }
        let more = FleetSize { servers: size.servers + DEAD, callers: size.callers + DEAD };
        fleet.wait_until_stable(0, more).await?;
        let held = fleet.descriptors(0).await;
        fleet.expect(
            format!("{what}: descriptors with a hundred peers more"),
            Expectation::AtLeast(open + 2.0 * DEAD as f64),
            held,
        );
        for party in parties {
            match silent {
                true => shut(fleet, party, true),
                false => fleet.kill_emulator(party),
            }
        }
        // Its connections, streams and views are gone; the rest is as it was.
        let metrics = fleet.wait_until_stable(0, size).await?;
        let left = fleet.wait_for_descriptors(0, open).await;
        fleet.expect(format!("{what}: descriptors, no more than before"), Expectation::AtMost(open), left);
        for name in ["servers", "report_connections", "proxies"] {
            fleet.expect(format!("{what}: {name}"), Expectation::Equal(base.get(name)), metrics.get(name));
        }
        if silent {
            parties.iter().for_each(|party| fleet.kill_emulator(*party));
        }
    }
    Ok(())
}
