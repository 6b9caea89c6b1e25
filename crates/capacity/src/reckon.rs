//! From a plan and what was measured to what is carried: budgets, machines, events, what gives out first.
//!
//! A line is held if the whole span of its figure is within the budget and nothing leaves it open above; not held if the
//! whole span is past it and nothing leaves it open below; else not known, with the reason. A mechanism of
//! which there is not a single point has no way: it is not carried.

use crate::estimate::{Costs, Estimate, Sizes};
use crate::plan::{Machine, Plan};
use crate::unit::{show, Unit};

/// What the code itself refuses more than, whatever it costs.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub role: String,
    /// The dimension.
    pub size: String,
    pub most: f64,
    /// As a person would look for it.
    pub named: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    NotHeld,
    NotKnown,
    /// There is nothing that does it.
    NoWay,
}

impl Verdict {
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Held => "held",
            Verdict::NotHeld => "**not held**",
            Verdict::NotKnown => "not known",
            Verdict::NoWay => "**no way**",
        }
    }
}

/// One line of the budgets.
#[derive(Clone, Debug)]
pub struct Line {
    pub what: String,
    pub needed: Estimate,
    pub limit: f64,
    pub unit: Unit,
    pub verdict: Verdict,
    /// Who takes most of it, or why it is not known.
    pub why: String,
}

impl Line {
    fn of(what: impl Into<String>, needed: Estimate, limit: f64, unit: Unit) -> Line {
        let verdict = verdict(&needed, limit);
        let why = match verdict {
            Verdict::NotKnown if needed.above.is_empty() && needed.below.is_empty() => {
                "within the span of error".into()
            }
            Verdict::NotKnown => reasons(&needed),
            Verdict::NotHeld if !needed.above.is_empty() => reasons(&needed),
            _ => String::new(),
        };
        Line { what: what.into(), needed, limit, unit, verdict, why }
    }

    /// Needed over carried.
    pub fn ratio(&self) -> f64 {
        self.needed.value / self.limit
    }
}

/// Reasons for which a figure is open, a few of them.
pub fn reasons(told: &Estimate) -> String {
    let all: Vec<&str> = told.above.iter().chain(&told.below).map(String::as_str).collect();
    let shown = all.iter().take(3).copied().collect::<Vec<_>>().join("; ");
    match all.len().saturating_sub(3) {
        0 => shown,
        more => format!("{shown}; {more} more"),
    }
}

pub fn verdict(needed: &Estimate, limit: f64) -> Verdict {
    if !needed.known {
        Verdict::NotKnown
    } else if needed.above.is_empty() && needed.high <= limit {
        Verdict::Held
    } else if needed.below.is_empty() && needed.low > limit {
        Verdict::NotHeld
    } else {
        Verdict::NotKnown
    }
}

/// A role's figures and the plan's machines, ready to be asked.
pub struct Reckoning<'p> {
    pub plan: &'p Plan,
    pub costs: &'p Costs<'p>,
    pub bounds: &'p [Bound],
}

/// What one machine takes of a measure, and which role most of it.
struct Load {
    all: Estimate,
    most: String,
}

/// Some of the machines, the others lost or cut off.
struct Case {
    name: String,
    plans: Vec<Plan>,
}

impl Reckoning<'_> {
    fn at(&self, plan: &Plan, role: &str, measure: &str) -> Estimate {
        self.costs.at(role, measure, &plan.sizes(role))
    }

    /// A server's part that is control and not the requests that it serves.
    fn server_without_requests(&self, measures: &[&str]) -> Estimate {
        let mut at = self.plan.sizes("server");
        at.insert("requests".into(), 0.0);
        let add = |sum: Estimate, measure: &&str| sum.plus(&self.costs.at("server", measure, &at));
        measures.iter().fold(Estimate::sum(), add)
    }

    /// All that a server sends and hears for control. A report goes to each control service anew: what was measured with one
    /// counts for each, unless the points say with how many they were taken. What goes to and from stewards and whoever brings
    /// configuration is theirs to tell: all that such processes send and hear, over the servers.
    fn server_bytes(&self) -> Line {
        let plan = self.plan;
        let controls =
            if self.costs.names("server", "controls") { 1.0 } else { plan.count("control").max(1.0) };
        let mut parts =
            vec![("control services", self.server_without_requests(&["sent", "received"]).times(controls))];
        for (role, name) in
            [("steward-quota", "quota stewards"), ("steward-turns", "turn stewards"), ("config", "config")]
        {
            if plan.count(role) > 0.0 {
                let all =
                    Estimate::sum().plus(&self.at(plan, role, "sent")).plus(&self.at(plan, role, "received"));
                parts.push((name, all.times(plan.count(role) / plan.fleet.servers)));
            }
        }
        let all = parts.iter().fold(Estimate::sum(), |sum, (_, part)| sum.plus(part));
        let mut line = Line::of("a server's bytes for control", all, plan.server.bytes, Unit::BytesASecond);
        let told = parts.iter().filter(|(_, part)| part.known);
        let told: Vec<String> =
            told.map(|(name, part)| format!("{name} {}", show(part.value, line.unit))).collect();
        if !told.is_empty() {
            let stop = if line.why.is_empty() { "" } else { "; " };
            line.why = format!("{}{stop}{}", told.join(", "), line.why);
        }
        line
    }

    fn load(&self, plan: &Plan, machine: &Machine, measure: &str) -> Load {
        let (mut all, mut most) = (Estimate::sum(), (0.0, String::new()));
        for role in &machine.runs {
            let told = self.at(plan, role, measure);
            if told.value > most.0 {
                most = (told.value, role.clone());
            }
            all = all.plus(&told);
        }
        Load { all, most: most.1 }
    }

    fn cases(&self) -> Vec<Case> {
        let plan = self.plan;
        let mut cases =
            vec![Case { name: format!("all {} machines", plan.machines.len()), plans: vec![plan.clone()] }];
        if plan.machines.len() > 1 {
            let without = |lost: &Machine| plan.on(|machine| machine.name != lost.name);
            let plans = plan.machines.iter().map(without).collect();
            cases.push(Case { name: "one machine lost".into(), plans });
        }
        let mut regions: Vec<&str> = plan.machines.iter().map(|machine| machine.region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        if regions.len() > 1 {
            let plans = regions.iter().map(|lost| plan.on(|machine| machine.region != *lost)).collect();
            cases.push(Case { name: "one region's machines cut off".into(), plans });
        }
        cases
    }

    /// Of several cases the one that comes nearest to its limit.
    fn worst(lines: Vec<Line>) -> Option<Line> {
        let rank = |line: &Line| match line.verdict {
            Verdict::NoWay | Verdict::NotHeld => 2,
            Verdict::NotKnown => 1,
            Verdict::Held => 0,
        };
        // The first of equals, so that the page does not hang on the order of a maximum.
        lines.into_iter().reduce(|a, b| {
            let more = rank(&b).cmp(&rank(&a)).then(b.ratio().total_cmp(&a.ratio()));
            if more.is_gt() {
                b
            } else {
                a
            }
        })
    }

    fn machine_lines(&self) -> Vec<Line> {
        let mut lines = Vec::new();
        for case in self.cases() {
            for (measure, unit, named) in
                [("cpu", Unit::Cores, "processors"), ("memory", Unit::Bytes, "memory")]
            {
                let mut together = Vec::new();
                let mut fullest = Vec::new();
                for plan in &case.plans {
                    let (mut sum, mut limit) = (Estimate::sum(), 0.0);
                    for machine in &plan.machines {
                        let load = self.load(plan, machine, measure);
                        let has = if measure == "cpu" { machine.cores } else { machine.memory };
                        let what = format!("{}: {named} of the fullest machine", case.name);
                        let mut line = Line::of(what, load.all.clone(), has, unit);
                        if line.why.is_empty() && !load.most.is_empty() {
                            line.why = format!("{}: most of it {}", machine.name, load.most);
                        }
                        fullest.push(line);
                        sum = sum.plus(&load.all);
                        limit += has;
                    }
                    together.push(Line::of(format!("{}: {named} together", case.name), sum, limit, unit));
                }
                lines.extend(Self::worst(together));
                lines.extend(Self::worst(fullest));
            }
        }
        lines
    }

    /// Where the code itself ends, at the worst of all cases.
    fn bound_lines(&self) -> Vec<Line> {
        let mut lines = Vec::new();
        for bound in self.bounds {
            let plans = self.cases().into_iter().flat_map(|case| case.plans);
            let sizes = plans
                .filter(|plan| plan.count(&bound.role) > 0.0)
                .map(|plan| plan.sizes(&bound.role).get(&bound.size).copied().unwrap_or(0.0));
            let Some(most) = sizes.reduce(f64::max) else { continue };
            let needed = Estimate { low: most, value: most, high: most, ..Estimate::none() };
            let mut line =
                Line::of(format!("{}: {}", bound.role, bound.size), needed, bound.most, Unit::Count);
            line.why = format!("bound in the code: {}", bound.named);
            lines.push(line);
        }
        lines
    }

    /// All budgets, those that do more harm first.
    pub fn budgets(&self) -> Vec<Line> {
        let (plan, server) = (self.plan, &self.plan.server);
        let mut in_force = Line::of(
            "a change in force at every server",
            self.at(plan, "config", "latency_p99"),
            plan.changes.in_force,
            Unit::Seconds,
        );
        if !self.costs.has("config") {
            in_force.verdict = Verdict::NoWay;
            in_force.why =
                "no point was ever measured of anything that brings a change to the servers".into();
        }
        let mut lines = vec![
            in_force,
            Line::of(
                "a server's change known to every caller",
                self.at(plan, "control", "latency_p99"),
                plan.changes.in_force,
                Unit::Seconds,
            ),
        ];
        lines.extend(self.bound_lines());
        lines.extend(self.machine_lines());
        lines.push(Line::of(
            "a server's processor for control",
            self.server_without_requests(&["cpu"]),
            server.cpu,
            Unit::Cores,
        ));
        lines.push(Line::of(
            "a server's memory",
            self.at(plan, "server", "memory"),
            server.memory,
            Unit::Bytes,
        ));
        lines.push(self.server_bytes());
        lines.push(Line::of(
            "added to a request, p99",
            self.at(plan, "server", "latency_p99"),
            plan.added_p99,
            Unit::Seconds,
        ));
        lines
    }

    /// What ends one process of a role, as if it had its machine for itself.
    pub fn limits_of(&self, role: &str) -> Vec<Line> {
        let plan = self.plan;
        let mut lines = Vec::new();
        if role == "server" {
            let of_server =
                |line: &Line| line.what.starts_with("a server's ") || line.what.starts_with("added");
            return self
                .budgets()
                .into_iter()
                .filter(|line| of_server(line) && !line.what.contains("caller"))
                .collect();
        }
        // Of the machines that it stands on the smallest.
        let on = plan.machines.iter().filter(|machine| machine.runs.iter().any(|runs| runs == role));
        let least =
            on.map(|machine| (machine.cores, machine.memory)).reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)));
        if let Some((cores, memory)) = least {
            lines.push(Line::of("the machine's cores", self.at(plan, role, "cpu"), cores, Unit::Cores));
            lines.push(Line::of("the machine's memory", self.at(plan, role, "memory"), memory, Unit::Bytes));
        }
        for bound in self.bounds.iter().filter(|bound| bound.role == role) {
            let most = plan.sizes(role).get(&bound.size).copied().unwrap_or(0.0);
            let needed = Estimate { low: most, value: most, high: most, ..Estimate::none() };
            lines.push(Line::of(
                format!("{}, bounded in the code", bound.size),
                needed,
                bound.most,
                Unit::Count,
            ));
        }
        lines
    }

    /// What is not carried, in the order in which it comes: no way at all, then needed over carried, then harm.
    pub fn ranking(&self) -> Vec<Line> {
        let mut lines: Vec<Line> = self
            .budgets()
            .into_iter()
            .filter(|l| matches!(l.verdict, Verdict::NoWay | Verdict::NotHeld))
            .collect();
        // Sorting keeps the order of harm among equals.
        lines.sort_by(|a, b| {
            let way = |line: &Line| line.verdict != Verdict::NoWay;
            way(a).cmp(&way(b)).then(b.ratio().total_cmp(&a.ratio()))
        });
        lines
    }
}

/// What becomes of a line when the plan grows to twice its size.
#[derive(Clone, Debug)]
pub struct Doubled {
    pub now: Line,
    pub twice: Line,
    /// Between which factors it gives out: carried at the first, no more at the second.
    pub gives_out: Option<(f64, f64)>,
}

/// Steps in which the plan is grown.
const STEPS: usize = 20;

/// Each line at the plan's size and at twice that, those that give out first on top, the others by how full they are.
pub fn doubled(plan: &Plan, costs: &Costs, bounds: &[Bound]) -> Vec<Doubled> {
    let grown: Vec<(f64, Vec<Line>)> = (0..=STEPS)
        .map(|step| {
            let k = 1.0 + step as f64 / STEPS as f64;
            let plan = plan.scaled(k);
            (k, Reckoning { plan: &plan, costs, bounds }.budgets())
        })
        .collect();
    let mut all = Vec::new();
    for (at, now) in grown[0].1.iter().enumerate() {
        let twice = &grown[STEPS].1[at];
        let over = |k: usize| grown[k].1[at].ratio() > 1.0;
        let gives_out = (1..=STEPS).find(|&k| over(k) && !over(k - 1)).map(|k| (grown[k - 1].0, grown[k].0));
        all.push(Doubled {
            now: now.clone(),
            twice: twice.clone(),
            gives_out: gives_out.filter(|_| !over(0)),
        });
    }
    let rank = |one: &Doubled| match (one.now.ratio() > 1.0, one.gives_out) {
        (true, _) => 0.0,
        (_, Some((_, k))) => k,
        (_, None) => f64::INFINITY,
    };
    all.sort_by(|a, b| rank(a).total_cmp(&rank(b)).then(b.twice.ratio().total_cmp(&a.twice.ratio())));
    all
}

/// Something that happens to many at once.
#[derive(Clone, Debug)]
pub struct Event {
    pub name: String,
    /// How often, in words.
    pub often: String,
    /// Who comes back at one moment, over the whole fleet.
    pub servers: f64,
    pub callers: f64,
    /// Of the servers those that are away meanwhile, so that the others have their requests.
    pub away: f64,
}

/// What a returning crowd costs one process of a role.
#[derive(Clone, Debug)]
pub struct Burst {
    pub role: String,
    pub connections: Estimate,
    pub bytes: Estimate,
    /// CPU seconds.
    pub cpu: Estimate,
}

/// What an event comes to.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub event: Event,
    pub bursts: Vec<Burst>,
    /// s of the fullest machine until what came back is taken in, beside its steady work.
    pub absorbed: Line,
    /// A server's processor with the requests of those that are away, of the plan's peak.
    pub server_cpu: Estimate,
    /// And what it adds to a request.
    pub server_added: Line,
}

/// Events of the plan.
pub fn events(plan: &Plan) -> Vec<Event> {
    let (fleet, events) = (&plan.fleet, &plan.events);
    let minute = (events.failures_a_day + events.restarts_a_day) * events.busiest;
    let a_year = |n: f64| format!("{n} a year");
    vec![
        Event {
            name: "the busiest minute of an ordinary day, all of it at once".into(),
            often: "every day".into(),
            servers: minute.min(fleet.servers),
            callers: 0.0,
            away: minute.min(fleet.servers),
        },
        Event {
            name: "a rack or switch".into(),
            often: a_year(events.racks_a_year),
            servers: events.rack.min(fleet.servers),
            callers: 0.0,
            away: events.rack.min(fleet.servers),
        },
        Event {
            name: "a zone".into(),
            often: a_year(events.zones_a_year),
            servers: fleet.servers / fleet.zones,
            callers: fleet.callers / fleet.zones,
            away: fleet.servers / fleet.zones,
        },
        Event {
            name: "a cut between regions heals".into(),
            often: a_year(events.cuts_a_year),
            // Each side's processes lost the servers of the other, and the callers that had gone over come back.
            servers: fleet.servers - fleet.servers / fleet.regions,
            callers: fleet.callers - fleet.callers / fleet.regions,
            away: 0.0,
        },
    ]
}

impl Reckoning<'_> {
    /// What the last `servers` and `callers` of a role's peers cost it steadily: the slope where the plan stands.
    fn of_last(&self, role: &str, measure: &str, servers: f64, callers: f64) -> Estimate {
        let all = self.plan.sizes(role);
        let mut fewer: Sizes = all.clone();
        for (key, gone, of) in [
            ("servers", servers, self.plan.fleet.servers),
            ("proxies", callers, self.plan.fleet.callers),
            ("callers", callers, self.plan.fleet.callers),
        ] {
            // Of those that a process shares with others it gets back its share.
            fewer.entry(key.into()).and_modify(|n| *n *= 1.0 - (gone / of).clamp(0.0, 1.0));
        }
        let (with, without) = (self.costs.at(role, measure, &all), self.costs.at(role, measure, &fewer));
        let value = (with.value - without.value).max(0.0);
        // The span is that of the whole, as a share: both ends lie on one curve.
        let share = |edge: f64| if with.value > 0.0 { edge / with.value } else { 1.0 };
        let (low, high) = (value * share(with.low), value * share(with.high));
        Estimate { low, value, high, form: with.form.clone(), ..with }
    }

    pub fn outcome(&self, event: Event) -> Outcome {
        let plan = self.plan;
        let mut roles: Vec<&str> =
            plan.machines.iter().flat_map(|machine| &machine.runs).map(String::as_str).collect();
        roles.sort_unstable();
        roles.dedup();
        let returning = plan.events.returning;
        let last = |role: &str, measure: &str| self.of_last(role, measure, event.servers, event.callers);
        let burst = |role: &&str| Burst {
            role: (*role).to_owned(),
            connections: last(role, "connections"),
            bytes: last(role, "sent").plus(&last(role, "received")).times(returning),
            cpu: last(role, "cpu").times(returning),
        };
        let bursts: Vec<Burst> = roles.iter().map(burst).collect();
        let mut machines = Vec::new();
        for machine in &plan.machines {
            let steady = self.load(plan, machine, "cpu").all;
            let mine = bursts.iter().filter(|burst| machine.runs.contains(&burst.role));
            let work = mine.fold(Estimate::sum(), |sum, burst| sum.plus(&burst.cpu));
            let time = |work: f64, busy: f64| {
                let spare = machine.cores - busy;
                match (work > 0.0, spare > 0.0) {
                    (false, _) => 0.0,
                    (true, true) => work / spare,
                    // No core is left over: it is never taken in. A number, so that it can be ranked.
                    (true, false) => 1e9,
                }
            };
            let mut needed = steady.clone().plus(&work);
            needed.low = time(work.low, steady.low);
            needed.value = time(work.value, steady.value);
            needed.high = time(work.high, steady.high);
            let line =
                Line::of(format!("{}: taken in", event.name), needed, plan.changes.in_force, Unit::Seconds);
            machines.push(line);
        }
        let nobody =
            Line::of("taken in", Estimate::nothing("no machine"), plan.changes.in_force, Unit::Seconds);
        let absorbed = Self::worst(machines).unwrap_or(nobody);
        let mut at = plan.sizes("server");
        let left = 1.0 - event.away / plan.fleet.servers;
        let served = |n: &mut f64| *n = if left > 0.0 { *n / left } else { f64::INFINITY };
        at.entry("requests".into()).and_modify(served);
        let ask = |measure: &str| match left > 0.0 {
            true => self.costs.at("server", measure, &at),
            false => Estimate::nothing("no server is left"),
        };
        let server_added =
            Line::of("added to a request meanwhile, p99", ask("latency_p99"), plan.added_p99, Unit::Seconds);
        Outcome { event, bursts, absorbed, server_cpu: ask("cpu"), server_added }
    }
}

#[cfg(test)]
mod tests;
