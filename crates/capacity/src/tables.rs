//! The page's tables: what a plan and the points come to, as Markdown. One block for each name, the same text each time.

use crate::estimate::{depends, Costs, Estimate, FAR};
use crate::fit::Shape;
use crate::plan::Plan;
use crate::point::{Points, MEASURES, ROLES};
use crate::reckon::{doubled, events, reasons, Bound, Line, Reckoning, Verdict};
use crate::unit::{number, show, Unit};
use std::collections::BTreeSet;
use std::fmt::Write;

/// A block of the page.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    pub name: &'static str,
    pub text: String,
}

/// Names of the blocks, in the order in which they are printed.
pub const NAMES: [&str; 8] = ["not-carried", "plan", "budgets", "doubled", "roles", "events", "cuts", "fits"];

fn unit(measure: &str) -> Unit {
    match measure {
        "cpu" => Unit::Cores,
        "memory" => Unit::Bytes,
        "sent" | "received" | "disk" => Unit::BytesASecond,
        "latency_p50" | "latency_p99" | "round_p99" => Unit::Seconds,
        _ => Unit::Count,
    }
}

/// A figure; where it is open above it says no more than a least.
fn figure(told: &Estimate, unit: Unit) -> String {
    match (told.known, told.above.is_empty(), told.below.is_empty()) {
        (false, ..) => "not known".into(),
        (_, true, true) => show(told.value, unit),
        (_, false, true) => format!("at least {}", show(told.value, unit)),
        (_, true, false) => format!("at most {}", show(told.value, unit)),
        _ => format!("about {}, open both ways", show(told.value, unit)),
    }
}

fn span(told: &Estimate, unit: Unit) -> String {
    if !told.known {
        return "-".into();
    }
    format!("{} to {}", show(told.low, unit), show(told.high, unit))
}

/// How far beyond the points a figure lies; marked from four times on.
fn reach(told: &Estimate) -> String {
    match told.reach {
        r if r <= 0.0 => "-".into(),
        r if r > FAR => format!("**{}**", number(r)),
        r => number(r),
    }
}

fn percent(share: f64) -> String {
    match share * 100.0 {
        // Nothing is measured that well.
        small if small < 0.1 => "under 0.1%".into(),
        told => format!("{}%", number(told)),
    }
}

fn row(out: &mut String, cells: &[String]) {
    // A bar inside a cell would be a cell more.
    let cells: Vec<String> = cells.iter().map(|cell| cell.replace(['|', '\n'], " ")).collect();
    let _ = writeln!(out, "| {} |", cells.join(" | "));
}

fn head(out: &mut String, names: &[&str]) {
    let _ = writeln!(out, "| {} |", names.join(" | "));
    let _ = writeln!(out, "|{}", " --- |".repeat(names.len()));
}

fn ratio(line: &Line) -> String {
    match (line.needed.known, line.verdict) {
        (false, _) | (_, Verdict::NoWay) => "-".into(),
        _ => number(line.ratio()),
    }
}

fn not_carried(reckoning: &Reckoning, points: &Points) -> String {
    let mut out = String::new();
    if points.points.is_empty() {
        out += "**Nothing was measured yet**: `docs/capacity/points.json` holds no point. What stands here follows from the plan and from the code alone.\n\n";
    }
    let all = reckoning.budgets();
    let ranked = reckoning.ranking();
    if ranked.is_empty() {
        let held = all.iter().filter(|line| line.verdict == Verdict::Held).count();
        let _ = writeln!(out, "Of {} lines {held} are held and none is known to be not carried.", all.len());
    } else {
        let _ = writeln!(
            out,
            "Not carried, in this order (no way at all, then needed over carried, then harm):\n"
        );
        for (at, line) in ranked.iter().enumerate() {
            let why = if line.why.is_empty() { String::new() } else { format!("; {}", line.why) };
            match line.verdict {
                Verdict::NoWay => {
                    let _ = writeln!(
                        out,
                        "{}. **{}: no way at all**; wanted within {}{why}.",
                        at + 1,
                        line.what,
                        show(line.limit, line.unit)
                    );
                }
                _ => {
                    let (needed, limit) = (figure(&line.needed, line.unit), show(line.limit, line.unit));
                    let far = if line.needed.far() {
                        format!("; extrapolated {} times", number(line.needed.reach))
                    } else {
                        String::new()
                    };
                    let _ = writeln!(
                        out,
                        "{}. **{}: {} times** (needed {needed}, carried {limit}){why}{far}.",
                        at + 1,
                        line.what,
                        number(line.ratio())
                    );
                }
            }
        }
    }
    let open: Vec<&Line> = all.iter().filter(|line| line.verdict == Verdict::NotKnown).collect();
    if !open.is_empty() {
        let names: Vec<&str> = open.iter().map(|line| line.what.as_str()).collect();
        let _ = writeln!(
            out,
            "\nNot known ({} of {} lines; why stands with the budgets): {}.",
            open.len(),
            all.len(),
            names.join("; ")
        );
    }
    out
}

fn plan_table(plan: &Plan) -> String {
    let (fleet, events, changes) = (&plan.fleet, &plan.events, &plan.changes);
    let mut out = String::new();
    head(&mut out, &["of the plan", "figure"]);
    let n = number;
    for (name, told) in [
        ("servers", n(fleet.servers)),
        ("callers, in services", format!("{}, in {}", n(fleet.callers), n(fleet.services))),
        (
            "requests at the peak",
            format!("{} a second; {} at each server", n(fleet.requests), n(fleet.requests / fleet.servers)),
        ),
        ("routes, tenants", format!("{}, {}", n(fleet.routes), n(fleet.tenants))),
        ("regions, zones", format!("{}, {}", n(fleet.regions), n(fleet.zones))),
        (
            "changes of configuration",
            format!(
                "{} a day, in force within {}; {} a second in the busiest minute ({} of a day's: assumed)",
                n(changes.a_day),
                show(changes.in_force, Unit::Seconds),
                n(plan.changes_a_second()),
                percent(changes.busiest)
            ),
        ),
        ("added to a request, p99", show(plan.added_p99, Unit::Seconds)),
        (
            "a server's control",
            format!(
                "{}, {}, {}",
                show(plan.server.cpu, Unit::Cores),
                show(plan.server.memory, Unit::Bytes),
                show(plan.server.bytes, Unit::BytesASecond)
            ),
        ),
        (
            "an ordinary day",
            format!(
                "{} failures, {} restarts; {} of them in the busiest minute (assumed)",
                n(events.failures_a_day),
                n(events.restarts_a_day),
                percent(events.busiest)
            ),
        ),
        ("a rack", format!("{} servers (assumed), {} a year", n(events.rack), n(events.racks_a_year))),
        (
            "zones lost, regions cut",
            format!(
                "{} and {} a year (assumed), a cut of {} s",
                n(events.zones_a_year),
                n(events.cuts_a_year),
                n(events.cut)
            ),
        ),
    ] {
        row(&mut out, &[name.to_owned(), told]);
    }
    for machine in &plan.machines {
        let told = format!(
            "{} cores, {} (assumed); region {}, zone {}: {}",
            n(machine.cores),
            show(machine.memory, Unit::Bytes),
            machine.region,
            machine.zone,
            machine.runs.join(", ")
        );
        row(&mut out, &[format!("machine {}", machine.name), told]);
    }
    out
}

fn budgets(reckoning: &Reckoning) -> String {
    let mut out = String::new();
    head(
        &mut out,
        &[
            "budget",
            "needed",
            "span of error",
            "carried",
            "needed over carried",
            "verdict",
            "times measured",
            "what takes most, or why not known",
        ],
    );
    for line in reckoning.budgets() {
        row(
            &mut out,
            &[
                line.what.clone(),
                figure(&line.needed, line.unit),
                span(&line.needed, line.unit),
                show(line.limit, line.unit),
                ratio(&line),
                line.verdict.name().into(),
                reach(&line.needed),
                line.why.clone(),
            ],
        );
    }
    out
}

fn doubled_table(plan: &Plan, costs: &Costs, bounds: &[Bound]) -> String {
    let all = doubled(plan, costs, bounds);
    let mut out = String::new();
    let held = all.iter().filter(|one| one.now.verdict == Verdict::Held).count();
    match all.iter().find(|one| one.gives_out.is_some()) {
        Some(first) => {
            let (below, above) = first.gives_out.unwrap_or_default();
            let (what, below, above) = (&first.now.what, number(below), number(above));
            let _ = write!(
                out,
                "As far as is known **{what}** gives out first, between {below} and {above} times the plan"
            );
        }
        None => {
            let _ = write!(out, "Nothing that is known to be carried today gives out up to twice the plan");
        }
    }
    let _ = writeln!(out, " ({held} of {} lines are known to be carried today).\n", all.len());
    head(&mut out, &["line", "of its limit today", "at twice the plan", "gives out at"]);
    for one in &all {
        let gives_out = match one.gives_out {
            Some((below, above)) => format!("{} to {}", number(below), number(above)),
            None if one.now.verdict == Verdict::NoWay => "no way today".into(),
            None if !one.now.needed.known => "not known".into(),
            None if one.now.verdict == Verdict::NotHeld => "not carried today".into(),
            None if one.now.ratio() > 1.0 => "not known whether carried today".into(),
            None if one.twice.verdict == Verdict::Held => "carried at twice".into(),
            None => "not known whether carried at twice".into(),
        };
        row(&mut out, &[one.now.what.clone(), ratio(&one.now), ratio(&one.twice), gives_out]);
    }
    out
}

fn sizes_of(plan: &Plan, role: &str) -> String {
    let at = plan.sizes(role);
    let told = depends(role).iter().filter_map(|key| Some(format!("{key} {}", number(*at.get(*key)?))));
    told.collect::<Vec<_>>().join(", ")
}

fn roles(plan: &Plan, costs: &Costs, bounds: &[Bound]) -> String {
    let twice = plan.scaled(2.0);
    let mut out = String::new();
    head(
        &mut out,
        &[
            "role",
            "processes",
            "sizes at one of them",
            "measure",
            "at the plan",
            "span of error",
            "grows as",
            "prediction off by",
            "times measured",
            "at twice the plan",
        ],
    );
    for role in ROLES {
        let (count, sizes) = (number(plan.count(role)), sizes_of(plan, role));
        if !costs.has(role) {
            let mut cells = vec![role.to_owned(), count, sizes, "all".into(), "not measured".into()];
            cells.extend(vec!["-".to_owned(); 5]);
            row(&mut out, &cells);
            continue;
        }
        let mut missing = Vec::new();
        for (measure, _) in MEASURES {
            let told = costs.at(role, measure, &plan.sizes(role));
            if !told.known && told.above.iter().any(|why| why.ends_with("not taken")) {
                missing.push(measure);
                continue;
            }
            let later = costs.at(role, measure, &twice.sizes(role));
            let unit = unit(measure);
            let grows = match told.above.is_empty() && told.below.is_empty() {
                true => told.form.clone(),
                false => {
                    format!("{}; {}", if told.form.is_empty() { "-" } else { &told.form }, reasons(&told))
                }
            };
            row(
                &mut out,
                &[
                    role.to_owned(),
                    count.clone(),
                    sizes.clone(),
                    measure.to_owned(),
                    figure(&told, unit),
                    span(&told, unit),
                    grows,
                    told.error.map_or("-".into(), percent),
                    reach(&told),
                    figure(&later, unit),
                ],
            );
        }
        if !missing.is_empty() {
            let mut cells = vec![role.to_owned(), count, sizes, missing.join(", "), "not taken".into()];
            cells.extend(vec!["-".to_owned(); 5]);
            row(&mut out, &cells);
        }
    }
    // What ends a role, whatever else stands on its machine.
    let _ = writeln!(out, "\nWhat gives out first in each role when the plan doubles:\n");
    head(&mut out, &["role", "what", "of its limit today", "at twice the plan"]);
    let here = Reckoning { plan, costs, bounds };
    let there = Reckoning { plan: &twice, costs, bounds };
    for role in ROLES {
        let (now, later) = (here.limits_of(role), there.limits_of(role));
        let known = now.iter().zip(&later).filter(|(_, later)| later.needed.known);
        let open = later.iter().filter(|line| !line.needed.known).count();
        let rest =
            if open > 0 { format!(" ({open} of {} limits not known)", later.len()) } else { String::new() };
        match known.reduce(|a, b| if b.1.ratio() > a.1.ratio() { b } else { a }) {
            Some((now, later)) => {
                row(&mut out, &[role.into(), now.what.clone() + &rest, ratio(now), ratio(later)])
            }
            None => row(&mut out, &[role.into(), "not known".into(), "-".into(), "-".into()]),
        }
    }
    out
}

fn events_table(reckoning: &Reckoning) -> String {
    let plan = reckoning.plan;
    let mut out = String::new();
    let returning = show(plan.events.returning, Unit::Seconds);
    let _ = writeln!(out, "A peer that comes back is reckoned at {returning} of its steady cost, on top of the steady work (assumed; the slopes are the points').\n");
    let told: Vec<_> = events(plan).into_iter().map(|event| reckoning.outcome(event)).collect();
    head(
        &mut out,
        &[
            "event",
            "how often",
            "servers and callers that come back at once",
            "taken in by the fullest machine after",
            "verdict",
            "a server's processor meanwhile",
            "added to a request, p99",
            "verdict",
        ],
    );
    for one in &told {
        row(
            &mut out,
            &[
                one.event.name.clone(),
                one.event.often.clone(),
                format!("{} and {}", number(one.event.servers.ceil()), number(one.event.callers.ceil())),
                figure(&one.absorbed.needed, Unit::Seconds),
                one.absorbed.verdict.name().into(),
                figure(&one.server_cpu, Unit::Cores),
                figure(&one.server_added.needed, Unit::Seconds),
                one.server_added.verdict.name().into(),
            ],
        );
    }
    let _ = writeln!(out, "\nThe burst at one process of each role:\n");
    head(&mut out, &["event", "role", "connections", "bytes", "processor, s of a core"]);
    for one in &told {
        for burst in &one.bursts {
            let (connections, bytes) =
                (figure(&burst.connections, Unit::Count), figure(&burst.bytes, Unit::Bytes));
            let cpu = if burst.cpu.known { figure(&burst.cpu, Unit::Count) } else { "not known".into() };
            row(&mut out, &[one.event.name.clone(), burst.role.clone(), connections, bytes, cpu]);
        }
    }
    out
}

/// Who is left on which side, by the plan's placement alone.
fn cuts(plan: &Plan) -> String {
    let mut out = String::new();
    let keepers = plan.count("keeper");
    let need = (keepers / 2.0).floor() + 1.0;
    let _ = writeln!(out, "{} keepers, {} are a majority.\n", number(keepers), number(need));
    head(
        &mut out,
        &["what is left", "keepers", "grants and changes", "control services", "stewards", "archive"],
    );
    let mut say = |name: String, rest: &Plan| {
        let keepers = rest.count("keeper");
        let decides = if keepers >= need { "decided here" } else { "**nothing new is decided**" };
        let stewards = ["steward-quota", "steward-turns", "steward-gather"]
            .map(|role| number(rest.count(role)))
            .join(", ");
        let archive = if rest.count("archive") > 0.0 { "here" } else { "not here" };
        row(
            &mut out,
            &[name, number(keepers), decides.into(), number(rest.count("control")), stewards, archive.into()],
        );
    };
    say("all machines".into(), plan);
    for lost in &plan.machines {
        say(format!("without machine {}", lost.name), &plan.on(|machine| machine.name != lost.name));
    }
    let regions: BTreeSet<&str> = plan.machines.iter().map(|machine| machine.region.as_str()).collect();
    for side in regions {
        say(format!("region {side}, cut from the others"), &plan.on(|machine| machine.region == side));
    }
    let _ = writeln!(out, "\nStewards: for quotas, for turns to leave, for gathering.");
    out
}

fn fits(costs: &Costs, points: &Points) -> String {
    let mut out = String::new();
    if points.points.is_empty() {
        return "Not measured: there is no point.\n".into();
    }
    head(
        &mut out,
        &[
            "role",
            "along",
            "held",
            "measure",
            "sizes",
            "shape",
            "prediction of the largest off by",
            "scatter of repeats",
            "off by shape",
        ],
    );
    for role in ROLES {
        for one in costs.series(role) {
            let held: Vec<String> =
                one.series.held.iter().map(|(key, n)| format!("{key} {}", number(*n))).collect();
            for (measure, _) in MEASURES {
                let (samples, _) = one.series.samples(measure);
                if samples.is_empty() {
                    continue;
                }
                let mut cells =
                    vec![role.to_owned(), one.series.varied.to_owned(), held.join(", "), measure.to_owned()];
                match one.fits.get(measure) {
                    None => {
                        let sizes: BTreeSet<u64> =
                            samples.iter().map(|sample| sample.size.to_bits()).collect();
                        let sizes: Vec<String> =
                            sizes.into_iter().map(|bits| number(f64::from_bits(bits))).collect();
                        cells.extend([sizes.join(", "), "fewer than three sizes: not fitted".into()]);
                        cells.extend(vec!["-".to_owned(); 3]);
                    }
                    Some(fit) => {
                        let sizes: Vec<String> = fit.sizes.iter().map(|n| number(*n)).collect();
                        let tried: Vec<String> = fit
                            .tried
                            .iter()
                            .map(|(shape, error)| format!("{} {}", shape.name(), percent(*error)))
                            .collect();
                        let shape = match fit.law.shape {
                            Shape::Unknown => "**unknown**".into(),
                            shape => shape.name().to_owned(),
                        };
                        cells.extend([sizes.join(", "), shape, percent(fit.error)]);
                        cells.push(fit.scatter.map_or("measured once each".into(), percent));
                        cells.push(tried.join(", "));
                    }
                }
                row(&mut out, &cells);
            }
        }
    }
    let all = |of: fn(&crate::point::Point) -> String| -> String {
        let told: BTreeSet<String> = points.points.iter().map(of).collect();
        let shown: Vec<String> = told.iter().take(12).cloned().collect();
        let more = told.len().saturating_sub(12);
        if more > 0 {
            format!("{}, {more} more", shown.join(", "))
        } else {
            shown.join(", ")
        }
    };
    let _ = writeln!(
        out,
        "\n{} points; versions: {}; dates: {}; cores: {}; beside them ran: {}.",
        points.points.len(),
        all(|point| point.version.clone()),
        all(|point| point.date.clone()),
        all(|point| point.cores.to_string()),
        all(|point| point.beside.clone())
    );
    out
}

/// All blocks of the page.
pub fn tables(plan: &Plan, points: &Points, bounds: &[Bound]) -> Vec<Table> {
    let costs = Costs::of(points);
    let reckoning = Reckoning { plan, costs: &costs, bounds };
    let text = |name: &str| match name {
        "not-carried" => not_carried(&reckoning, points),
        "plan" => plan_table(plan),
        "budgets" => budgets(&reckoning),
        "doubled" => doubled_table(plan, &costs, bounds),
        "roles" => roles(plan, &costs, bounds),
        "events" => events_table(&reckoning),
        "cuts" => cuts(plan),
        _ => fits(&costs, points),
    };
    NAMES.iter().map(|name| Table { name, text: text(name) }).collect()
}

#[cfg(test)]
mod tests;
