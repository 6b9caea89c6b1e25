//! Scenarios of the scale tests: the failure of each, and the bounds that must hold.

use super::fleet::{CallerView, EmulatorKind, EmulatorSpec, Fleet, Metrics, REPORT_INTERVAL_S};
use super::{Expectation, FleetConfig, FleetSize, Scenario, ScenarioReport};
use crate::schedule::Direction;
use std::collections::BTreeMap;

const ZONES: usize = 6;
/// Plans for which a stable fleet is observed.
const STEADY_PLANS: f64 = 12.0;
/// Allowed cost ratio for sizes that must cost the same; larger numbers may take one more digit.
const MAX_COST_RATIO: f64 = 1.05;
/// Renewal interval of each of the two resource types with leases.
const RENEWAL_INTERVAL_S: f64 = 0.5;
/// Budget of a server for reports to one control service.
const CONTROL_BYTES_PER_SECOND: f64 = 12_000.0;
const RESOURCE_TYPES: f64 = 4.0;
/// Descriptors of a control service in addition to its connections.
const BASE_DESCRIPTORS: f64 = 40.0;
/// Bandwidth of all slow callers together.
const SLOW_BYTES_PER_SECOND: f64 = 200.0;
/// First number of peers that join in addition to the initial ones.
const EXTRA_FIRST_NUMBER: usize = 60_000;
/// Servers, and callers, of a process that dies; one connection each.
const DEAD_PEERS: usize = 50;

/// Runs one scenario.
pub async fn run_scenario(scenario: Scenario, size: FleetSize, config: &FleetConfig) -> ScenarioReport {
    let mut report =
        ScenarioReport { scenario, assertions: Vec::new(), error: None, kept_folders: Vec::new() };
    match scenario {
        Scenario::Steady => run_steady(size, config, &mut report).await,
        Scenario::Budget => {
            in_new_fleet(config, &mut report, 1, async |fleet| run_budget(fleet, size).await).await;
        }
        Scenario::Change => run_change(size, config, &mut report).await,
        Scenario::Restart => {
            in_new_fleet(config, &mut report, 1, async |fleet| run_restart(fleet, size).await).await;
        }
        Scenario::Zone => {
            in_new_fleet(config, &mut report, 1, async |fleet| run_zone(fleet, size).await).await;
        }
        Scenario::Cut => {
            in_new_fleet(config, &mut report, 2, async |fleet| run_cut(fleet, size).await).await;
        }
        Scenario::Slow => {
            in_new_fleet(config, &mut report, 1, async |fleet| run_slow(fleet, size).await).await;
        }
        Scenario::Dead => {
            in_new_fleet(config, &mut report, 1, async |fleet| run_dead(fleet, size).await).await;
        }
    }
    report
}

/// Runs a step in a new fleet and adds its checks to the report; skipped after an error.
async fn in_new_fleet<T>(
    config: &FleetConfig,
    report: &mut ScenarioReport,
    services: usize,
    run: impl AsyncFnOnce(&mut Fleet<'_>) -> Result<T, String>,
) -> Option<T> {
    if report.error.is_some() {
        return None;
    }
    let mut fleet = match Fleet::start(config, report.scenario, services).await {
        Ok(fleet) => fleet,
        Err(error) => {
            report.error = Some(error);
            return None;
        }
    };
    let outcome = run(&mut fleet).await;
    let (rows, kept) = fleet.finish(outcome.is_err());
    report.assertions.extend(rows);
    report.kept_folders.extend(kept);
    outcome.map_err(|error| report.error = Some(error)).ok()
}

fn emulator(kind: EmulatorKind, count: usize, first: usize) -> EmulatorSpec {
    EmulatorSpec { kind, count, first, zones: ZONES, control: vec![(0, false)] }
}

/// Starts the servers and callers of one service, in two processes.
async fn start_peers(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<[usize; 2], String> {
    let servers = fleet.start_emulator(emulator(EmulatorKind::Servers, size.servers, 0), "500ms").await?;
    let callers = fleet.start_emulator(emulator(EmulatorKind::Callers, size.callers, 0), "500ms").await?;
    Ok([servers, callers])
}

fn increase(metrics: &Metrics, since: &Metrics, name: &str) -> f64 {
    metrics.get(name) - since.get(name)
}

/// Returns the content responses sent to each caller between two samples; a new stream counts from its start.
fn content_sent<'a>(
    now: &'a BTreeMap<String, CallerView>,
    before: &'a BTreeMap<String, CallerView>,
) -> impl Iterator<Item = (&'a CallerView, u64)> {
    now.values().map(|caller| {
        let old = before.get(&caller.node).filter(|old| old.sent <= caller.sent).map_or(0, |old| old.sent);
        (caller, caller.sent - old)
    })
}

fn maximum(of: impl Iterator<Item = f64>) -> f64 {
    of.reduce(f64::max).unwrap_or(f64::NAN)
}

/// Returns the bytes per report and the bytes per renewal of an idle fleet.
async fn measure_steady_cost(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<[f64; 2], String> {
    start_peers(fleet, size).await?;
    let from = fleet.wait_until_stable(0, size).await?;
    let (servers, callers) = (fleet.servers(0).await?, fleet.callers(0).await?);
    let plans = from.get("plans_total");
    let to = fleet
        .wait_for_metrics(0, "new plans", |metrics| metrics.get("plans_total") >= plans + STEADY_PLANS)
        .await?;
    let later = (fleet.servers(0).await?, fleet.callers(0).await?);
    let of = format!("{} servers, {} callers", size.servers, size.callers);
    fleet.expect(
        format!("{of}: content sent while nothing changes"),
        Expectation::Equal(0.0),
        increase(&to, &from, "responses_total"),
    );
    let more = later.0.values().filter_map(|now| {
        let old = servers.get(&now.instance)?;
        Some((now.sequence - old.sequence) as f64 - (now.made - old.made) / REPORT_INTERVAL_S)
    });
    let more = maximum(more);
    fleet.expect(format!("{of}: reports of a server past one each 250 ms"), Expectation::AtMost(1.0), more);
    let more = later.1.values().filter_map(|now| {
        let old = callers.get(&now.node)?;
        let due = 2.0 * ((now.open_for - old.open_for) / RENEWAL_INTERVAL_S + 1.0);
        Some((now.heartbeats - old.heartbeats) as f64 - due)
    });
    let more = maximum(more);
    fleet.expect(
        format!("{of}: renewals of a caller past one a type each 500 ms"),
        Expectation::AtMost(0.0),
        more,
    );
    let open = fleet.descriptors(0).await;
    let room = (size.servers + size.callers) as f64 + BASE_DESCRIPTORS;
    fleet.expect(format!("{of}: descriptors of the control service"), Expectation::AtMost(room), open);
    let report = increase(&to, &from, "report_bytes_total") / increase(&to, &from, "reports_taken_total");
    let renewal = (to.response_bytes("renewal") - from.response_bytes("renewal"))
        / increase(&to, &from, "heartbeats_total");
    Ok([report, renewal])
}

/// Checks the report bytes of a server that receives its planned share of requests.
async fn run_budget(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    start_peers(fleet, size).await?;
    let from = fleet.wait_until_stable(0, size).await?;
    let plans = from.get("plans_total");
    let to = fleet
        .wait_for_metrics(0, "new plans", |metrics| metrics.get("plans_total") >= plans + STEADY_PLANS)
        .await?;
    let report = increase(&to, &from, "report_bytes_total") / increase(&to, &from, "reports_taken_total");
    fleet.expect(
        "bytes a second of a server asked 150 times a second",
        Expectation::AtMost(CONTROL_BYTES_PER_SECOND),
        report / REPORT_INTERVAL_S,
    );
    Ok(())
}

async fn run_steady(size: FleetSize, config: &FleetConfig, report: &mut ScenarioReport) {
    let sizes = [
        size,
        FleetSize { servers: 3 * size.servers, ..size },
        FleetSize { callers: 3 * size.callers, ..size },
    ];
    let mut costs = Vec::new();
    for size in sizes {
        costs.extend(
            in_new_fleet(config, report, 1, async |fleet| measure_steady_cost(fleet, size).await).await,
        );
    }
    let [few, servers, callers] = costs[..] else { return };
    for (what, at) in [("a report", 0), ("a renewal", 1)] {
        for (of, three) in [("servers", servers), ("callers", callers)] {
            let ratio = three[at] / few[at];
            report.assertions.push(super::Assertion {
                scenario: report.scenario,
                description: format!("bytes of {what}, three times the {of} over once"),
                expected: Expectation::AtMost(MAX_COST_RATIO),
                observed: ratio,
            });
        }
    }
}

/// Kills one server of the last zone; returns the bytes and the number of responses that this caused.
async fn measure_change_cost(
    fleet: &mut Fleet<'_>,
    size: FleetSize,
    others: usize,
) -> Result<[f64; 2], String> {
    start_peers(fleet, size).await?;
    let lost_server =
        fleet.start_emulator(emulator(EmulatorKind::Servers, 1, EXTRA_FIRST_NUMBER - 1), "0s").await?;
    let beside =
        EmulatorSpec { zones: ZONES - 1, ..emulator(EmulatorKind::Callers, others, EXTRA_FIRST_NUMBER) };
    fleet.start_emulator(beside, "500ms").await?;
    let standing = FleetSize { servers: size.servers + 1, callers: size.callers + others };
    let from = fleet.wait_until_stable(0, standing).await?;
    let before = fleet.callers(0).await?;
    fleet.kill_emulator(lost_server);
    let to = fleet.wait_until_stable(0, FleetSize { servers: size.servers, ..standing }).await?;
    let after = fleet.callers(0).await?;
    let hit = &format!("zone-{ZONES}");
    let of = |concerned: bool| {
        content_sent(&after, &before).filter(move |(caller, _)| (caller.zone == *hit) == concerned)
    };
    let untouched = of(false).map(|(_, sent)| sent as f64).sum();
    let least = of(true).map(|(_, sent)| sent as f64).reduce(f64::min).unwrap_or(f64::NAN);
    let all = of(true).map(|(_, sent)| sent as f64);
    let (all, changes) = (maximum(all), increase(&to, &from, "plans_changed_total"));
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
    Ok([bytes, increase(&to, &from, "responses_total")])
}

async fn run_change(size: FleetSize, config: &FleetConfig, report: &mut ScenarioReport) {
    let mut costs = Vec::new();
    for others in [size.callers, 3 * size.callers] {
        costs.extend(
            in_new_fleet(config, report, 1, async |fleet| measure_change_cost(fleet, size, others).await)
                .await,
        );
    }
    let [few, many] = costs[..] else { return };
    report.assertions.push(super::Assertion {
        scenario: report.scenario,
        description: "bytes a response of the change, three times the callers it does not concern over once"
            .into(),
        expected: Expectation::AtMost(MAX_COST_RATIO),
        observed: (many[0] / many[1]) / (few[0] / few[1]),
    });
}

/// Checks the cost of simultaneous reconnects.
fn expect_reconnect_bounds(
    fleet: &mut Fleet<'_>,
    what: &str,
    size: FleetSize,
    metrics: &Metrics,
    since: &Metrics,
) {
    let (servers, callers) = (size.servers as f64, size.callers as f64);
    let streams = increase(metrics, since, "streams_total");
    fleet.expect(format!("{what}: streams opened"), Expectation::AtMost(2.0 * callers), streams);
    let connections = increase(metrics, since, "report_connections_total");
    fleet.expect(format!("{what}: connections of servers"), Expectation::AtMost(2.0 * servers), connections);
    // Each stream gets each type once, and what changed since.
    let content = streams * (RESOURCE_TYPES + 2.0 * increase(metrics, since, "plans_changed_total"));
    fleet.expect(
        format!("{what}: responses with content"),
        Expectation::AtMost(content),
        increase(metrics, since, "responses_total"),
    );
    fleet.expect(format!("{what}: streams open"), Expectation::Equal(callers), metrics.get("proxies"));
    fleet.expect(
        format!("{what}: responses that wait for one stream"),
        Expectation::AtMost(RESOURCE_TYPES),
        metrics.get("responses_waiting_most"),
    );
}

async fn run_restart(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    let emulators = start_peers(fleet, size).await?;
    let old = fleet.wait_until_stable(0, size).await?;
    let room = (size.servers + size.callers) as f64 + BASE_DESCRIPTORS;
    for (what, service, peers) in
        [("the service alone", true, false), ("all peers", false, true), ("everything", true, true)]
    {
        let mut since = fleet.metrics(0).await?;
        let epoch = fleet.epoch(0).await?;
        if service {
            fleet.kill_service(0);
        }
        if peers {
            emulators.iter().for_each(|emulator| fleet.kill_emulator(*emulator));
        }
        if service {
            fleet.start_service(0).await?;
            since = fleet.metrics(0).await?.zeroed();
        }
        if peers {
            for emulator in emulators {
                fleet.restart_emulator(emulator, "0s")?;
            }
        }
        // Streams from before the restart must not be counted as new ones.
        let (streams, callers) = (since.get("streams_total"), size.callers as f64);
        fleet
            .wait_for_metrics(0, "reconnect of all callers", |metrics| {
                metrics.get("streams_total") >= streams + callers
            })
            .await?;
        let metrics = fleet.wait_until_stable(0, size).await?;
        expect_reconnect_bounds(fleet, what, size, &metrics, &since);
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

async fn run_zone(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    let (servers, callers) = (size.servers.div_ceil(ZONES), size.callers.div_ceil(ZONES));
    let whole = FleetSize { servers: servers * ZONES, callers: callers * ZONES };
    let mut lost = [0; 2];
    for at in 0..ZONES {
        lost[0] =
            fleet.start_emulator(emulator(EmulatorKind::Servers, servers, at * servers), "500ms").await?;
        lost[1] =
            fleet.start_emulator(emulator(EmulatorKind::Callers, callers, at * callers), "500ms").await?;
    }
    let from = fleet.wait_until_stable(0, whole).await?;
    let (before, open) = (fleet.callers(0).await?, fleet.descriptors(0).await);
    lost.iter().for_each(|emulator| fleet.kill_emulator(*emulator));
    let left = FleetSize { servers: whole.servers - servers, callers: whole.callers - callers };
    let to = fleet.wait_until_stable(0, left).await?;
    let after = fleet.callers(0).await?;
    let most_open = open - (servers + callers) as f64;
    let still = fleet.wait_for_descriptors(0, most_open).await;
    fleet.expect("lost: descriptors, those of the lost given back", Expectation::AtMost(most_open), still);
    fleet.expect(
        "lost: streams opened by those who stay",
        Expectation::Equal(0.0),
        increase(&to, &from, "streams_total"),
    );
    let connections = increase(&to, &from, "report_connections_total");
    fleet.expect("lost: connections of servers that stay", Expectation::Equal(0.0), connections);
    let changes = increase(&to, &from, "plans_changed_total");
    let content = maximum(content_sent(&after, &before).map(|(_, sent)| sent as f64));
    fleet.expect(
        "lost: content to a caller, one a changed plan at the most",
        Expectation::AtMost(changes),
        content,
    );
    for emulator in lost {
        fleet.restart_emulator(emulator, "0s")?;
    }
    let back = fleet.wait_until_stable(0, whole).await?;
    let all = fleet.callers(0).await?;
    let stayed = all.iter().filter(|(node, _)| after.contains_key(*node));
    let stayed: BTreeMap<String, CallerView> = stayed.map(|(node, c)| (node.clone(), c.clone())).collect();
    let content = maximum(content_sent(&stayed, &after).map(|(_, sent)| sent as f64));
    let changes = increase(&back, &to, "plans_changed_total");
    fleet.expect(
        "back: content to a caller that stayed, one a changed plan",
        Expectation::AtMost(changes),
        content,
    );
    let size = FleetSize { servers, callers };
    let streams = increase(&back, &to, "streams_total");
    fleet.expect("back: streams opened", Expectation::AtMost(2.0 * size.callers as f64), streams);
    let connections = increase(&back, &to, "report_connections_total");
    fleet.expect("back: connections of servers", Expectation::AtMost(2.0 * size.servers as f64), connections);
    let again = fleet.wait_for_descriptors(0, open).await;
    fleet.expect("back: descriptors, no more than before", Expectation::AtMost(open), again);
    let waited = back.get("responses_waiting_most");
    fleet.expect("responses that wait for one stream", Expectation::AtMost(RESOURCE_TYPES), waited);
    Ok(())
}

async fn run_cut(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    // Servers report to the services of both regions, callers connect to their own.
    let (servers, callers) = (size.servers.div_ceil(2), size.callers.div_ceil(2));
    let whole = FleetSize { servers: 2 * servers, callers };
    let mut across = Vec::new();
    for region in 0..2 {
        let to = (0..2).map(|service| (service, service != region)).collect();
        let spec = EmulatorSpec { control: to, ..emulator(EmulatorKind::Servers, servers, region * servers) };
        across.push(fleet.start_emulator(spec, "500ms").await?);
        let spec = EmulatorSpec { control: vec![(region, false)], ..region_callers(region, callers) };
        fleet.start_emulator(spec, "500ms").await?;
    }
    let (mut from, mut before) = (Vec::new(), Vec::new());
    for region in 0..2 {
        from.push(fleet.wait_until_stable(region, whole).await?);
        before.push(fleet.callers(region).await?);
    }
    across.iter().for_each(|emulator| set_blocked(fleet, *emulator, true));
    let alone = servers as f64;
    for (region, from) in from.iter().enumerate() {
        let settled = |metrics: &Metrics| {
            metrics.get("servers") == alone && metrics.get("proxies_settled") == callers as f64
        };
        let to = fleet.wait_for_metrics(region, "expiry of the other region", settled).await?;
        let what = format!("cut, region {}", region + 1);
        fleet.expect(format!("{what}: a plan holds"), Expectation::AtMost(2.0), to.get("plan_age_seconds"));
        fleet.expect(
            format!("{what}: streams opened anew"),
            Expectation::Equal(0.0),
            increase(&to, from, "streams_total"),
        );
        let most = (2 * servers) as f64;
        fleet.expect(
            format!("{what}: connections of servers"),
            Expectation::AtMost(most),
            to.get("report_connections"),
        );
    }
    across.iter().for_each(|emulator| set_blocked(fleet, *emulator, false));
    for region in 0..2 {
        let to = fleet.wait_until_stable(region, whole).await?;
        let (after, from) = (fleet.callers(region).await?, &from[region]);
        let what = format!("healed, region {}", region + 1);
        fleet.expect(
            format!("{what}: streams opened anew"),
            Expectation::Equal(0.0),
            increase(&to, from, "streams_total"),
        );
        let connections = increase(&to, from, "report_connections_total");
        fleet.expect(
            format!("{what}: connections opened by the other region"),
            Expectation::AtMost(2.0 * alone),
            connections,
        );
        let changes = increase(&to, from, "plans_changed_total");
        let content = maximum(content_sent(&after, &before[region]).map(|(_, sent)| sent as f64));
        fleet.expect(
            format!("{what}: content to a caller, one a changed plan"),
            Expectation::AtMost(changes),
            content,
        );
        let refused = increase(&to, from, "reports_refused_total");
        fleet.expect(
            format!("{what}: reports that came late and were refused"),
            Expectation::Equal(0.0),
            refused,
        );
    }
    Ok(())
}

/// Blocks or unblocks the relays of an emulator process.
fn set_blocked(fleet: &Fleet<'_>, emulator: usize, blocked: bool) {
    fleet
        .relays(emulator)
        .for_each(|relay| relay.impair(Direction::Both, |impairment| impairment.blocked = blocked));
}

fn region_callers(region: usize, callers: usize) -> EmulatorSpec {
    emulator(EmulatorKind::Callers, callers, region * callers)
}

async fn run_slow(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    let fast_callers = start_peers(fleet, size).await?[1];
    let lost_server =
        fleet.start_emulator(emulator(EmulatorKind::Servers, 1, EXTRA_FIRST_NUMBER - 1), "0s").await?;
    let count = size.callers.div_ceil(3);
    let spec = EmulatorSpec {
        control: vec![(0, true)],
        ..emulator(EmulatorKind::Callers, count, EXTRA_FIRST_NUMBER)
    };
    let slow = fleet.start_emulator(spec, "500ms").await?;
    let whole = FleetSize { servers: size.servers + 1, callers: size.callers + count };
    let from = fleet.wait_until_stable(0, whole).await?;
    let open = fleet.descriptors(0).await;
    let before = fleet.callers(0).await?;
    fleet.relays(slow).for_each(|relay| {
        relay.impair(Direction::Reverse, |impairment| impairment.bytes_per_second = SLOW_BYTES_PER_SECOND)
    });
    fleet.kill_emulator(lost_server);
    let names: Vec<String> =
        before.keys().filter(|node| caller_number(node) < EXTRA_FIRST_NUMBER).cloned().collect();
    // Wait until each slow caller was disconnected at least once.
    let servers = size.servers as f64;
    let mut streams = 0.0f64;
    let ended = |metrics: &Metrics| metrics.get("streams_total") - metrics.get("proxies");
    let gone = ended(&from);
    let to = fleet
        .wait_for_metrics(0, "disconnect of the slow callers", |metrics| {
            streams = streams.max(metrics.get("proxies"));
            metrics.get("servers") == servers && ended(metrics) >= gone + count as f64
        })
        .await?;
    let holds = |all: &BTreeMap<String, CallerView>| {
        names.iter().filter(|node| all.get(*node).is_some_and(|caller| caller.settled)).count()
    };
    let count_of = names.len();
    let what = "new plan at the fast callers while others read slowly";
    let after = fleet.wait_for_callers(0, what, |all| holds(all) == count_of).await?;
    let held = holds(&after);
    fleet.expect(
        "callers that read hold the changed plan",
        Expectation::Equal(size.callers as f64),
        held as f64,
    );
    let kept = names.iter().filter(|node| {
        let open = |all: &BTreeMap<String, CallerView>| all.get(*node).map_or(f64::NAN, |c| c.open_for);
        open(&after) >= open(&before)
    });
    let kept = kept.count() as f64;
    fleet.expect("of them, streams that were never ended", Expectation::Equal(size.callers as f64), kept);
    let again = fleet.emulator_status(fast_callers).reconnects as f64;
    fleet.expect("of them, connections opened again, as they say", Expectation::Equal(0.0), again);
    let most = (size.callers + 2 * count) as f64;
    fleet.expect("streams at most, one dying beside each slow caller's", Expectation::AtMost(most), streams);
    fleet.expect(
        "responses that wait for one stream",
        Expectation::AtMost(RESOURCE_TYPES),
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

/// Returns the number in an emulated caller's name.
fn caller_number(node: &str) -> usize {
    node.rsplit('c').next().and_then(|number| number.parse().ok()).unwrap_or(usize::MAX)
}

async fn run_dead(fleet: &mut Fleet<'_>, size: FleetSize) -> Result<(), String> {
    start_peers(fleet, size).await?;
    let base = fleet.wait_until_stable(0, size).await?;
    let open = fleet.descriptors(0).await;
    for (what, silent) in [("killed", false), ("cut off without a word", true)] {
        let mut emulators = [0; 2];
        for (at, kind) in [EmulatorKind::Servers, EmulatorKind::Callers].into_iter().enumerate() {
            let spec =
                EmulatorSpec { control: vec![(0, silent)], ..emulator(kind, DEAD_PEERS, EXTRA_FIRST_NUMBER) };
            emulators[at] = fleet.start_emulator(spec, "500ms").await?;
        }
        let more = FleetSize { servers: size.servers + DEAD_PEERS, callers: size.callers + DEAD_PEERS };
        fleet.wait_until_stable(0, more).await?;
        let held = fleet.descriptors(0).await;
        fleet.expect(
            format!("{what}: descriptors with a hundred peers more"),
            Expectation::AtLeast(open + 2.0 * DEAD_PEERS as f64),
            held,
        );
        for emulator in emulators {
            match silent {
                true => set_blocked(fleet, emulator, true),
                false => fleet.kill_emulator(emulator),
            }
        }
        let metrics = fleet.wait_until_stable(0, size).await?;
        let left = fleet.wait_for_descriptors(0, open).await;
        fleet.expect(format!("{what}: descriptors, no more than before"), Expectation::AtMost(open), left);
        for name in ["servers", "report_connections", "proxies"] {
            fleet.expect(format!("{what}: {name}"), Expectation::Equal(base.get(name)), metrics.get(name));
        }
        if silent {
            emulators.iter().for_each(|emulator| fleet.kill_emulator(*emulator));
        }
    }
    Ok(())
}
