//! The size to design for: how it is read, what it comes to for one process of a role, and what it is at twice the size.

use crate::estimate::Sizes;
use crate::point::{unfit, ROLES, SIZES};
use puffinladder_settings::sexpr::{Block, Diagnostic, Reader};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that a plan may name.
const MOST_MACHINES: usize = 100;
/// Letters of a name; it lands in a table.
const LONGEST_NAME: usize = 40;

/// What the fleet is to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub fleet: Fleet,
    pub changes: Changes,
    /// s that may be added to a request for 99 in 100.
    pub added_p99: f64,
    pub server: Budget,
    pub machines: Vec<Machine>,
    /// Of a role the dimensions that its processes part among them.
    pub shares: BTreeMap<String, BTreeSet<String>>,
    pub events: Events,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub servers: f64,
    pub callers: f64,
    pub services: f64,
    /// A second over the whole fleet.
    pub requests: f64,
    pub routes: f64,
    pub tenants: f64,
    pub regions: f64,
    pub zones: f64,
    pub parts: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    pub a_day: f64,
    /// s
    pub in_force: f64,
    /// Share of a day's that falls into its busiest minute.
    pub busiest: f64,
}

/// What a server may spend on control.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub cpu: f64,
    pub memory: f64,
    /// A second, sent and received.
    pub bytes: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub name: String,
    pub region: String,
    pub zone: String,
    pub cores: f64,
    pub memory: f64,
    pub runs: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Events {
    pub failures_a_day: f64,
    pub restarts_a_day: f64,
    pub busiest: f64,
    pub rack: f64,
    pub racks_a_year: f64,
    pub zones_a_year: f64,
    pub cuts_a_year: f64,
    /// s
    pub cut: f64,
    /// s of its steady state that a peer costs on top when it comes back.
    pub returning: f64,
}

/// Roles that stand on the machines for control; the others are as many as the fleet has.
const PLACED: [&str; 7] =
    ["config", "control", "keeper", "steward-quota", "steward-turns", "steward-gather", "archive"];

fn count(block: &Block, key: &'static str, range: std::ops::RangeInclusive<usize>) -> f64 {
    block.require(key);
    block.count(key, *range.start(), range) as f64
}

fn share(block: &Block, key: &'static str) -> f64 {
    block.require(key);
    // A day has 1440 minutes: the busiest has its even part at the least.
    block.number(key, 1.0 / 1440.0, 1.0 / 1440.0..=1.0)
}

fn span(block: &Block, key: &'static str, range: std::ops::RangeInclusive<f64>) -> f64 {
    block.require(key);
    block.duration(key, *range.start(), range)
}

fn name(block: &Block, key: &'static str) -> String {
    block.require(key);
    let text = block.text(key).unwrap_or_default();
    if text.chars().count() > LONGEST_NAME || text.chars().any(unfit) {
        block.report(key, format!("should be {LONGEST_NAME} letters at the most, without | < >"));
    }
    text
}

/// A block that has to be there; where it is not, an empty one that says so.
fn section<T>(top: &Block, key: &'static str, read: impl Fn(&Block) -> T) -> Option<T> {
    let Some(block) = top.block(key) else {
        top.report(key, "should be given");
        return None;
    };
    let told = read(&block);
    block.finish();
    Some(told)
}

fn fleet(block: &Block) -> Fleet {
    let told = Fleet {
        servers: count(block, "servers", 1..=1_000_000),
        callers: count(block, "callers", 1..=10_000_000),
        services: count(block, "services", 1..=10_000_000),
        requests: count(block, "requests", 1..=1_000_000_000),
        routes: count(block, "routes", 1..=10_000_000),
        tenants: count(block, "tenants", 1..=10_000_000),
        regions: count(block, "regions", 1..=100),
        zones: count(block, "zones", 1..=1000),
        parts: count(block, "parts", 1..=100_000),
    };
    if told.zones < told.regions {
        block.report("zones", "should be one for each region at the least");
    }
    told
}

fn changes(block: &Block) -> Changes {
    Changes {
        a_day: count(block, "a-day", 0..=100_000_000),
        in_force: span(block, "in-force", 0.001..=86_400.0),
        busiest: share(block, "busiest-minute"),
    }
}

fn budget(block: &Block) -> Budget {
    for key in ["cpu", "memory", "bytes"] {
        block.require(key);
    }
    Budget {
        cpu: block.number("cpu", 1.0, 0.0001..=1024.0),
        memory: block.bytes("memory", 1, 1..=1 << 50) as f64,
        bytes: block.bytes("bytes", 1, 1..=1 << 50) as f64,
    }
}

fn machine(block: &Block) -> Machine {
    block.require("memory");
    let told = Machine {
        name: name(block, "name"),
        region: name(block, "region"),
        zone: name(block, "zone"),
        cores: count(block, "cores", 1..=4096),
        memory: block.bytes("memory", 1, 1 << 20..=1 << 50) as f64,
        runs: block.texts("runs"),
    };
    for role in &told.runs {
        if !PLACED.contains(&role.as_str()) {
            block.report("runs", format!("{role:?} should be one of {}", PLACED.join(", ")));
        }
    }
    if told.runs.iter().collect::<BTreeSet<_>>().len() < told.runs.len() {
        block.report(
            "runs",
            "a role stands here twice: two of its processes on one machine are lost together",
        );
    }
    block.finish();
    told
}

fn events(block: &Block) -> Events {
    Events {
        failures_a_day: count(block, "failures-a-day", 0..=10_000_000),
        restarts_a_day: count(block, "restarts-a-day", 0..=100_000_000),
        busiest: share(block, "busiest-minute"),
        rack: count(block, "rack", 1..=100_000),
        racks_a_year: count(block, "racks-a-year", 0..=1_000_000),
        zones_a_year: count(block, "zones-a-year", 0..=1_000_000),
        cuts_a_year: count(block, "cuts-a-year", 0..=1_000_000),
        cut: span(block, "cut", 1.0..=604_800.0),
        returning: span(block, "returning", 0.01..=3600.0),
    }
}

/// Reads a plan; all that is wrong with it is named at once.
pub fn read(file: &str, text: &str) -> Result<Plan, Vec<Diagnostic>> {
    let reader = Reader::new(file, text);
    let forms = reader.parse();
    let plan = {
        let top = reader.top_level(&forms);
        let machines: Vec<Machine> = top.blocks("machine").iter().map(machine).collect();
        if machines.is_empty() {
            top.report("machine", "should be given: who stands where for control");
        }
        if machines.len() > MOST_MACHINES {
            top.report("machine", format!("{} of them, of {MOST_MACHINES} at the most", machines.len()));
        }
        let mut names: Vec<&str> = machines.iter().map(|machine| machine.name.as_str()).collect();
        names.sort_unstable();
        if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            top.report("machine", format!("{:?} stands here twice", twice[0]));
        }
        let mut shares: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for block in top.blocks("role") {
            let role = name(&block, "name");
            if !ROLES.contains(&role.as_str()) {
                block.report("name", format!("{role:?} should be one of {}", ROLES.join(", ")));
            }
            let told: BTreeSet<String> = block.texts("shares").into_iter().collect();
            for key in told.iter().filter(|key| !SIZES.contains(&key.as_str())) {
                block.report("shares", format!("{key:?} should be one of {}", SIZES.join(", ")));
            }
            if shares.insert(role.clone(), told).is_some() {
                block.report("name", format!("{role:?} stands here twice"));
            }
            block.finish();
        }
        let added = |block: &Block| span(block, "p99", 0.000_001..=3600.0);
        let sections = (
            section(&top, "fleet", fleet),
            section(&top, "changes", changes),
            section(&top, "added", added),
            section(&top, "server", budget),
            section(&top, "events", events),
        );
        top.finish();
        match sections {
            (Some(fleet), Some(changes), Some(added_p99), Some(server), Some(events)) => {
                Some(Plan { fleet, changes, added_p99, server, machines, shares, events })
            }
            _ => None,
        }
    };
    let faults = reader.into_diagnostics();
    match plan {
        Some(plan) if faults.is_empty() => Ok(plan),
        _ => Err(faults),
    }
}

impl Plan {
    /// The same plan with `k` times of all that the fleet has; machines, budgets and zones stay.
    pub fn scaled(&self, k: f64) -> Plan {
        let mut plan = self.clone();
        for n in [
            &mut plan.fleet.servers,
            &mut plan.fleet.callers,
            &mut plan.fleet.services,
            &mut plan.fleet.requests,
            &mut plan.fleet.routes,
            &mut plan.fleet.tenants,
            &mut plan.changes.a_day,
            &mut plan.events.failures_a_day,
            &mut plan.events.restarts_a_day,
        ] {
            *n *= k;
        }
        plan
    }

    /// The same plan on some of its machines only.
    pub fn on(&self, stay: impl Fn(&Machine) -> bool) -> Plan {
        let mut plan = self.clone();
        plan.machines.retain(stay);
        plan
    }

    /// Processes of a role.
    pub fn count(&self, role: &str) -> f64 {
        match role {
            "server" | "module" => self.fleet.servers,
            "proxy" => self.fleet.callers,
            _ => self.machines.iter().flat_map(|machine| &machine.runs).filter(|runs| *runs == role).count()
                as f64,
        }
    }

    /// Changes a second in the busiest minute.
    pub fn changes_a_second(&self) -> f64 {
        self.changes.a_day * self.changes.busiest / 60.0
    }

    /// What one process of a role has to do with, at the worst.
    pub fn sizes(&self, role: &str) -> Sizes {
        let stewards = ["steward-quota", "steward-turns", "steward-gather"].map(|role| self.count(role));
        let stewards = stewards.into_iter().fold(0.0, f64::max);
        let whole = [
            ("servers", self.fleet.servers),
            ("proxies", self.fleet.callers),
            ("instances", stewards),
            ("customers", self.fleet.tenants),
            ("routes", self.fleet.routes),
            ("requests", self.fleet.requests),
            ("changes", self.changes_a_second()),
            ("parts", self.fleet.parts),
            ("callers", self.fleet.callers),
            ("keepers", self.count("keeper")),
            ("controls", self.count("control")),
            ("stewards", stewards),
        ];
        let shares = self.shares.get(role);
        let among = self.count(role).max(1.0);
        let each = |(key, n): (&str, f64)| match shares.is_some_and(|shares| shares.contains(key)) {
            true => (key.to_owned(), n / among),
            false => (key.to_owned(), n),
        };
        whole.into_iter().map(each).collect()
    }
}

#[cfg(test)]
mod tests;
