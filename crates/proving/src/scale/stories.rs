//! The stories: what happens to a fleet, and what must not grow by it.

use super::world::{Caller, Kind, Look, Part, World, EVERY};
use super::{Must, Setup, Size, Story, Told};
use crate::schedule::Way;
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

/// Plays one story.
pub async fn play(story: Story, size: Size, setup: &Setup) -> Told {
    let mut told = Told { story, rows: Vec::new(), fault: None, kept: Vec::new() };
    match story {
        Story::Steady => steady(size, setup, &mut told).await,
        Story::Budget => drop(within(setup, &mut told, 1, async |world| budget(world, size).await).await),
        Story::Change => change(size, setup, &mut told).await,
        Story::Restart => drop(within(setup, &mut told, 1, async |world| restart(world, size).await).await),
        Story::Zone => drop(within(setup, &mut told, 1, async |world| zone(world, size).await).await),
        Story::Cut => drop(within(setup, &mut told, 2, async |world| cut(world, size).await).await),
        Story::Slow => drop(within(setup, &mut told, 1, async |world| slow(world, size).await).await),
        Story::Dead => drop(within(setup, &mut told, 1, async |world| dead(world, size).await).await),
    }
    told
}

/// Plays in a world of its own, and keeps what came of it.
async fn within<T>(
    setup: &Setup,
    told: &mut Told,
    services: usize,
    play: impl AsyncFnOnce(&mut World<'_>) -> Result<T, String>,
) -> Option<T> {
    if told.fault.is_some() {
        return None;
    }
    let mut world = match World::start(setup, told.story, services).await {
        Ok(world) => world,
        Err(what) => {
            told.fault = Some(what);
            return None;
        }
    };
    let played = play(&mut world).await;
    let (rows, kept) = world.end(played.is_err());
    told.rows.extend(rows);
    told.kept.extend(kept);
    played.map_err(|what| told.fault = Some(what)).ok()
}

fn part(kind: Kind, count: usize, first: usize) -> Part {
    Part { kind, count, first, zones: ZONES, to: vec![(0, false)] }
}

/// Servers and callers of one service, all in two processes.
async fn all(world: &mut World<'_>, size: Size) -> Result<[usize; 2], String> {
    let servers = world.play(part(Kind::Servers, size.servers, 0), "500ms").await?;
    let callers = world.play(part(Kind::Callers, size.callers, 0), "500ms").await?;
    Ok([servers, callers])
}

fn grown(look: &Look, since: &Look, name: &str) -> f64 {
    look.get(name) - since.get(name)
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

/// What one world in which nothing happens costs: bytes a report, bytes a renewal.
async fn calm(world: &mut World<'_>, size: Size) -> Result<[f64; 2], String> {
    all(world, size).await?;
    let from = world.stand(0, size).await?;
    let (servers, callers) = (world.servers(0).await?, world.callers(0).await?);
    let plans = from.get("plans_total");
    let to = world.until(0, "plans", |look| look.get("plans_total") >= plans + CALM).await?;
    let later = (world.servers(0).await?, world.callers(0).await?);
    let of = format!("{} servers, {} callers", size.servers, size.callers);
    world.must(
        format!("{of}: content sent while nothing changes"),
        Must::Be(0.0),
        grown(&to, &from, "responses_total"),
    );
    let more = later.0.values().filter_map(|now| {
        let old = servers.get(&now.instance)?;
        Some((now.sequence - old.sequence) as f64 - (now.made - old.made) / EVERY)
    });
    let more = most(more);
    world.must(format!("{of}: reports of a server past one each 250 ms"), Must::Most(1.0), more);
    let more = later.1.values().filter_map(|now| {
        let old = callers.get(&now.node)?;
        let due = 2.0 * ((now.open_for - old.open_for) / RENEWED + 1.0);
        Some((now.heartbeats - old.heartbeats) as f64 - due)
    });
    let more = most(more);
    world.must(format!("{of}: renewals of a caller past one a type each 500 ms"), Must::Most(0.0), more);
    let open = world.descriptors(0).await;
    let room = (size.servers + size.callers) as f64 + OWN;
    world.must(format!("{of}: descriptors of the control service"), Must::Most(room), open);
    let report = grown(&to, &from, "report_bytes_total") / grown(&to, &from, "reports_taken_total");
    let renewal = (to.response_bytes("renewal") - from.response_bytes("renewal"))
        / grown(&to, &from, "heartbeats_total");
    Ok([report, renewal])
}

/// What a server with the plan's share of requests spends on one control service.
async fn budget(world: &mut World<'_>, size: Size) -> Result<(), String> {
    all(world, size).await?;
    let from = world.stand(0, size).await?;
    let plans = from.get("plans_total");
    let to = world.until(0, "plans", |look| look.get("plans_total") >= plans + CALM).await?;
    let report = grown(&to, &from, "report_bytes_total") / grown(&to, &from, "reports_taken_total");
    world.must("bytes a second of a server asked 150 times a second", Must::Most(BUDGET), report / EVERY);
    Ok(())
}

async fn steady(size: Size, setup: &Setup, told: &mut Told) {
    let sizes =
        [size, Size { servers: 3 * size.servers, ..size }, Size { callers: 3 * size.callers, ..size }];
    let mut costs = Vec::new();
    for size in sizes {
        costs.extend(within(setup, told, 1, async |world| calm(world, size).await).await);
    }
    let [few, servers, callers] = costs[..] else { return };
    for (what, at) in [("a report", 0), ("a renewal", 1)] {
        for (of, three) in [("servers", servers), ("callers", callers)] {
            let ratio = three[at] / few[at];
            told.rows.push(super::Row {
                story: told.story,
                what: format!("bytes of {what}, three times the {of} over once"),
                must: Must::Most(SAME),
                seen: ratio,
            });
        }
    }
}

/// One server of the last zone goes silent for good. Bytes that this cost, to how many responses.
async fn changed(world: &mut World<'_>, size: Size, others: usize) -> Result<[f64; 2], String> {
    all(world, size).await?;
    let one = world.play(part(Kind::Servers, 1, BESIDE - 1), "0s").await?;
    let beside = Part { zones: ZONES - 1, ..part(Kind::Callers, others, BESIDE) };
    world.play(beside, "500ms").await?;
    let standing = Size { servers: size.servers + 1, callers: size.callers + others };
    let from = world.stand(0, standing).await?;
    let before = world.callers(0).await?;
    world.kill(one);
    let to = world.stand(0, Size { servers: size.servers, ..standing }).await?;
    let after = world.callers(0).await?;
    let hit = &format!("zone-{ZONES}");
    let of =
        |concerned: bool| sent(&after, &before).filter(move |(caller, _)| (caller.zone == *hit) == concerned);
    let untouched = of(false).map(|(_, sent)| sent as f64).sum();
    let least = of(true).map(|(_, sent)| sent as f64).reduce(f64::min).unwrap_or(f64::NAN);
    let all = of(true).map(|(_, sent)| sent as f64);
    let (all, changes) = (most(all), grown(&to, &from, "plans_changed_total"));
    let name = format!("{others} callers beside");
    world.must(
        format!("{name}: content to callers of zones that nothing changed in"),
        Must::Be(0.0),
        untouched,
    );
    world.must(
        format!("{name}: content to each caller of the zone that lost a server"),
        Must::Least(1.0),
        least,
    );
    world.must(format!("{name}: the same, one a changed plan at the most"), Must::Most(changes), all);
    let bytes = to.response_bytes("content") - from.response_bytes("content");
    Ok([bytes, grown(&to, &from, "responses_total")])
}

async fn change(size: Size, setup: &Setup, told: &mut Told) {
    let mut costs = Vec::new();
    for others in [size.callers, 3 * size.callers] {
        costs.extend(within(setup, told, 1, async |world| changed(world, size, others).await).await);
    }
    let [few, many] = costs[..] else { return };
    told.rows.push(super::Row {
        story: told.story,
        what: "bytes a response of the change, three times the callers it does not concern over once".into(),
        must: Must::Most(SAME),
        seen: (many[0] / many[1]) / (few[0] / few[1]),
    });
}

/// What a start of all peers at once may cost a service that has just begun, too.
fn came(world: &mut World<'_>, what: &str, size: Size, look: &Look, since: &Look) {
    let (servers, callers) = (size.servers as f64, size.callers as f64);
    let streams = grown(look, since, "streams_total");
    world.must(format!("{what}: streams opened"), Must::Most(2.0 * callers), streams);
    let connections = grown(look, since, "report_connections_total");
    world.must(format!("{what}: connections of servers"), Must::Most(2.0 * servers), connections);
    // Each stream gets each type once, and whatever changed in it since.
    let content = streams * (TYPES + 2.0 * grown(look, since, "plans_changed_total"));
    world.must(
        format!("{what}: responses with content"),
        Must::Most(content),
        grown(look, since, "responses_total"),
    );
    world.must(format!("{what}: streams open"), Must::Be(callers), look.get("proxies"));
    world.must(
        format!("{what}: responses that wait for one stream"),
        Must::Most(TYPES),
        look.get("responses_waiting_most"),
    );
}

async fn restart(world: &mut World<'_>, size: Size) -> Result<(), String> {
    let parties = all(world, size).await?;
    let old = world.stand(0, size).await?;
    let room = (size.servers + size.callers) as f64 + OWN;
    for (what, service, peers) in
        [("the service alone", true, false), ("all peers", false, true), ("everything", true, true)]
    {
        let mut since = world.look(0).await?;
        let epoch = world.epoch(0).await?;
        if service {
            world.kill_service(0);
        }
        if peers {
            parties.iter().for_each(|party| world.kill(*party));
        }
        if service {
            world.start_service(0).await?;
            since = world.look(0).await?.nothing();
        }
        if peers {
            for party in parties {
                world.again(party, "0s")?;
            }
        }
        // Those who were there before may be taken for those who come: not once as many streams came anew.
        let (streams, callers) = (since.get("streams_total"), size.callers as f64);
        world.until(0, "all callers to come", |look| look.get("streams_total") >= streams + callers).await?;
        let look = world.stand(0, size).await?;
        came(world, what, size, &look, &since);
        let open = world.descriptors_within(0, room).await;
        world.must(format!("{what}: descriptors of the service"), Must::Most(room), open);
        let later = world.epoch(0).await?;
        let must = if service { Must::Least(1.0) } else { Must::Be(0.0) };
        world.must(format!("{what}: the plan's epoch, over the one before"), must, later - epoch);
    }
    let plans = old.get("plans_total");
    world.must("plans before, or nothing was played", Must::Least(1.0), plans);
    Ok(())
}

async fn zone(world: &mut World<'_>, size: Size) -> Result<(), String> {
    let (servers, callers) = (size.servers.div_ceil(ZONES), size.callers.div_ceil(ZONES));
    let whole = Size { servers: servers * ZONES, callers: callers * ZONES };
    let mut lost = [0; 2];
    for at in 0..ZONES {
        lost[0] = world.play(part(Kind::Servers, servers, at * servers), "500ms").await?;
        lost[1] = world.play(part(Kind::Callers, callers, at * callers), "500ms").await?;
    }
    let from = world.stand(0, whole).await?;
    let (before, open) = (world.callers(0).await?, world.descriptors(0).await);
    lost.iter().for_each(|party| world.kill(*party));
    let left = Size { servers: whole.servers - servers, callers: whole.callers - callers };
    let to = world.stand(0, left).await?;
    let after = world.callers(0).await?;
    let most_open = open - (servers + callers) as f64;
    let still = world.descriptors_within(0, most_open).await;
    world.must("lost: descriptors, those of the lost given back", Must::Most(most_open), still);
    world.must("lost: streams opened by those who stay", Must::Be(0.0), grown(&to, &from, "streams_total"));
    let connections = grown(&to, &from, "report_connections_total");
    world.must("lost: connections of servers that stay", Must::Be(0.0), connections);
    let changes = grown(&to, &from, "plans_changed_total");
    let content = most(sent(&after, &before).map(|(_, sent)| sent as f64));
    world.must("lost: content to a caller, one a changed plan at the most", Must::Most(changes), content);
    for party in lost {
        world.again(party, "0s")?;
    }
    let back = world.stand(0, whole).await?;
    let all = world.callers(0).await?;
    let stayed = all.iter().filter(|(node, _)| after.contains_key(*node));
    let stayed: BTreeMap<String, Caller> = stayed.map(|(node, c)| (node.clone(), c.clone())).collect();
    let content = most(sent(&stayed, &after).map(|(_, sent)| sent as f64));
    let changes = grown(&back, &to, "plans_changed_total");
    world.must("back: content to a caller that stayed, one a changed plan", Must::Most(changes), content);
    let size = Size { servers, callers };
    let streams = grown(&back, &to, "streams_total");
    world.must("back: streams opened", Must::Most(2.0 * size.callers as f64), streams);
    let connections = grown(&back, &to, "report_connections_total");
    world.must("back: connections of servers", Must::Most(2.0 * size.servers as f64), connections);
    let again = world.descriptors_within(0, open).await;
    world.must("back: descriptors, no more than before", Must::Most(open), again);
    let waited = back.get("responses_waiting_most");
    world.must("responses that wait for one stream", Must::Most(TYPES), waited);
    Ok(())
}

async fn cut(world: &mut World<'_>, size: Size) -> Result<(), String> {
    // Servers report to both regions' services, callers ask their own.
    let (servers, callers) = (size.servers.div_ceil(2), size.callers.div_ceil(2));
    let whole = Size { servers: 2 * servers, callers };
    let mut across = Vec::new();
    for region in 0..2 {
        let to = (0..2).map(|service| (service, service != region)).collect();
        let part = Part { to, ..part(Kind::Servers, servers, region * servers) };
        across.push(world.play(part, "500ms").await?);
        let part = Part { to: vec![(region, false)], ..part_of(region, callers) };
        world.play(part, "500ms").await?;
    }
    let (mut from, mut before) = (Vec::new(), Vec::new());
    for region in 0..2 {
        from.push(world.stand(region, whole).await?);
        before.push(world.callers(region).await?);
    }
    across.iter().for_each(|party| shut(world, *party, true));
    let alone = servers as f64;
    for (region, from) in from.iter().enumerate() {
        let settled =
            |look: &Look| look.get("servers") == alone && look.get("proxies_settled") == callers as f64;
        let to = world.until(region, "the other region to be forgotten", settled).await?;
        let what = format!("cut, region {}", region + 1);
        world.must(format!("{what}: a plan holds"), Must::Most(2.0), to.get("plan_age_seconds"));
        world.must(format!("{what}: streams opened anew"), Must::Be(0.0), grown(&to, from, "streams_total"));
        let most = (2 * servers) as f64;
        world.must(format!("{what}: connections of servers"), Must::Most(most), to.get("report_connections"));
    }
    across.iter().for_each(|party| shut(world, *party, false));
    for region in 0..2 {
        let to = world.stand(region, whole).await?;
        let (after, from) = (world.callers(region).await?, &from[region]);
        let what = format!("healed, region {}", region + 1);
        world.must(format!("{what}: streams opened anew"), Must::Be(0.0), grown(&to, from, "streams_total"));
        let connections = grown(&to, from, "report_connections_total");
        world.must(
            format!("{what}: connections opened by the other region"),
            Must::Most(2.0 * alone),
            connections,
        );
        let changes = grown(&to, from, "plans_changed_total");
        let content = most(sent(&after, &before[region]).map(|(_, sent)| sent as f64));
        world.must(format!("{what}: content to a caller, one a changed plan"), Must::Most(changes), content);
        let refused = grown(&to, from, "reports_refused_total");
        world.must(format!("{what}: reports that came late and were refused"), Must::Be(0.0), refused);
    }
    Ok(())
}

/// Shuts the relays before an emulator process, or opens them.
fn shut(world: &World<'_>, party: usize, shut: bool) {
    world.relays(party).for_each(|relay| relay.trouble(Way::Both, |trouble| trouble.shut = shut));
}

fn part_of(region: usize, callers: usize) -> Part {
    part(Kind::Callers, callers, region * callers)
}

async fn slow(world: &mut World<'_>, size: Size) -> Result<(), String> {
    let sound = all(world, size).await?[1];
    let one = world.play(part(Kind::Servers, 1, BESIDE - 1), "0s").await?;
    let count = size.callers.div_ceil(3);
    let through = Part { to: vec![(0, true)], ..part(Kind::Callers, count, BESIDE) };
    let slow = world.play(through, "500ms").await?;
    let whole = Size { servers: size.servers + 1, callers: size.callers + count };
    let from = world.stand(0, whole).await?;
    let open = world.descriptors(0).await;
    let before = world.callers(0).await?;
    world.relays(slow).for_each(|relay| relay.trouble(Way::Back, |trouble| trouble.rate = TRICKLE));
    world.kill(one);
    let names: Vec<String> = before.keys().filter(|node| number(node) < BESIDE).cloned().collect();
    // All that read hold the plan without the lost server, and go on, until each slow one was ended at least once.
    let servers = size.servers as f64;
    let mut streams = 0.0f64;
    let ended = |look: &Look| look.get("streams_total") - look.get("proxies");
    let gone = ended(&from);
    let to = world
        .until(0, "slow callers to be ended", |look| {
            streams = streams.max(look.get("proxies"));
            look.get("servers") == servers && ended(look) >= gone + count as f64
        })
        .await?;
    let holds = |all: &BTreeMap<String, Caller>| {
        names.iter().filter(|node| all.get(*node).is_some_and(|caller| caller.settled)).count()
    };
    let count_of = names.len();
    let what = "those who read to hold the plan without the lost server, while others read slowly";
    let after = world.until_callers(0, what, |all| holds(all) == count_of).await?;
    let held = holds(&after);
    world.must("callers that read hold the changed plan", Must::Be(size.callers as f64), held as f64);
    let kept = names.iter().filter(|node| {
        let open = |all: &BTreeMap<String, Caller>| all.get(*node).map_or(f64::NAN, |c| c.open_for);
        open(&after) >= open(&before)
    });
    let kept = kept.count() as f64;
    world.must("of them, streams that were never ended", Must::Be(size.callers as f64), kept);
    let again = world.tick(sound).reconnects as f64;
    world.must("of them, connections opened again, as they say", Must::Be(0.0), again);
    let most = (size.callers + 2 * count) as f64;
    world.must("streams at most, one dying beside each slow caller's", Must::Most(most), streams);
    world.must("responses that wait for one stream", Must::Most(TYPES), to.get("responses_waiting_most"));
    let ended = ended(&to) - gone;
    world.must("streams of slow callers that were ended", Must::Least(count as f64), ended);
    world.relays(slow).for_each(|relay| relay.trouble(Way::Back, |trouble| trouble.rate = 0.0));
    world.stand(0, Size { servers: size.servers, callers: whole.callers }).await?;
    let last = world.descriptors_within(0, open).await;
    world.must("read again: descriptors, no more than before", Must::Most(open), last);
    Ok(())
}

/// The number in a emulated caller's name.
fn number(node: &str) -> usize {
    node.rsplit('c').next().and_then(|number| number.parse().ok()).unwrap_or(usize::MAX)
}

async fn dead(world: &mut World<'_>, size: Size) -> Result<(), String> {
    all(world, size).await?;
    let base = world.stand(0, size).await?;
    let open = world.descriptors(0).await;
    for (what, silent) in [("killed", false), ("cut off without a word", true)] {
        let mut parties = [0; 2];
        for (at, kind) in [Kind::Servers, Kind::Callers].into_iter().enumerate() {
            let part = Part { to: vec![(0, silent)], ..part(kind, DEAD, BESIDE) };
            parties[at] = world.play(part, "500ms").await?;
        }
        let more = Size { servers: size.servers + DEAD, callers: size.callers + DEAD };
        world.stand(0, more).await?;
        let held = world.descriptors(0).await;
        world.must(
            format!("{what}: descriptors with a hundred peers more"),
            Must::Least(open + 2.0 * DEAD as f64),
            held,
        );
        for party in parties {
            match silent {
                true => shut(world, party, true),
                false => world.kill(party),
            }
        }
        // Its connections, streams and views are gone; the rest is as it was.
        let look = world.stand(0, size).await?;
        let left = world.descriptors_within(0, open).await;
        world.must(format!("{what}: descriptors, no more than before"), Must::Most(open), left);
        for name in ["servers", "report_connections", "proxies"] {
            world.must(format!("{what}: {name}"), Must::Be(base.get(name)), look.get(name));
        }
        if silent {
            parties.iter().for_each(|party| world.kill(*party));
        }
    }
    Ok(())
}
