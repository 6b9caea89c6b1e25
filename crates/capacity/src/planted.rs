//! Points of a fleet whose costs are laws that a test knows.

use crate::estimate::depends;
use crate::point::{Point, Points};
use std::collections::BTreeMap;

pub type Law = fn(&BTreeMap<String, f64>) -> f64;

/// What a test plants: of a role a measure and its law.
pub type Laws = Vec<(&'static str, &'static str, Law)>;

/// Series along all dimensions of each role, and points off their cross, exactly as the laws say.
pub fn points(laws: &Laws) -> Points {
    let top = |role: &str, key: &str| match key {
        "servers" => 400.0,
        "proxies" => 1200.0,
        "customers" => 8000.0,
        "routes" => 2000.0,
        // The whole fleet's, or one server's.
        "requests" if ["archive", "steward-gather"].contains(&role) => 40_000.0,
        "requests" => 400.0,
        "changes" => 1.0,
        "instances" => 16.0,
        _ => 16.0,
    };
    let mut roles: Vec<&str> = laws.iter().map(|(role, ..)| *role).collect();
    roles.dedup();
    let mut points = Vec::new();
    for role in roles {
        let keys = depends(role);
        let middle: BTreeMap<String, f64> =
            keys.iter().map(|key| (key.to_string(), top(role, key) / 8.0)).collect();
        let mut add = |varied: &str, sizes: BTreeMap<String, f64>| {
            let mine = laws.iter().filter(|(of, ..)| *of == role);
            let measures = mine.map(|(_, measure, law)| (measure.to_string(), law(&sizes))).collect();
            points.push(Point {
                role: role.into(),
                sizes,
                measures,
                varied: varied.into(),
                seed: 1,
                date: "2026-01-02".into(),
                version: "0.1.0".into(),
                cores: 8,
                beside: "nothing".into(),
                span: 1000.0,
            });
        };
        for key in keys {
            for part in [16.0, 8.0, 4.0, 2.0, 1.0] {
                let mut sizes = middle.clone();
                sizes.insert(key.to_string(), top(role, key) / part);
                add(key, sizes);
            }
            // Off the cross: with all the others at a quarter of their tops.
            for part in [4.0, 2.0, 1.0] {
                let mut sizes: BTreeMap<String, f64> =
                    keys.iter().map(|key| (key.to_string(), top(role, key) / 4.0)).collect();
                sizes.insert(key.to_string(), top(role, key) / part);
                add(key, sizes);
            }
        }
    }
    Points { points }
}

/// A fleet that carries its plan, but for what a test changes in it.
pub fn sound() -> Laws {
    vec![
        ("config", "cpu", |at| 0.001 * at["servers"]),
        ("config", "memory", |_| 2e7),
        ("config", "latency_p99", |at| 0.2 + 0.0005 * at["servers"]),
        ("config", "sent", |at| 60.0 * at["servers"]),
        ("config", "received", |at| 40.0 * at["servers"]),
        ("config", "connections", |at| at["servers"]),
        ("control", "cpu", |at| 0.0005 * at["servers"] + 0.0004 * at["proxies"]),
        ("control", "memory", |at| 2e7 + 2e5 * at["proxies"]),
        ("control", "latency_p99", |at| 0.3 + 0.0002 * at["proxies"]),
        ("control", "connections", |at| at["servers"] + at["proxies"]),
        ("control", "sent", |at| 36.0 * at["servers"] * at["proxies"]),
        ("control", "received", |at| 800.0 * at["servers"]),
        ("keeper", "cpu", |at| 0.1 + 0.001 * at["parts"]),
        ("keeper", "memory", |_| 4e7),
        ("steward-quota", "cpu", |at| 1e-8 * at["servers"] * at["customers"] + 0.01),
        ("steward-quota", "memory", |at| 1e7 + 500.0 * at["customers"]),
        ("steward-quota", "connections", |at| at["servers"]),
        ("steward-quota", "sent", |at| 100.0 * at["servers"]),
        ("steward-quota", "received", |at| 100.0 * at["servers"]),
        ("steward-turns", "sent", |at| 50.0 * at["servers"]),
        ("steward-turns", "received", |at| 50.0 * at["servers"]),
        ("steward-turns", "cpu", |at| 1e-5 * at["servers"]),
        ("steward-turns", "memory", |_| 1e7),
        ("steward-gather", "cpu", |at| 0.1 + 1e-6 * at["requests"]),
        ("steward-gather", "memory", |_| 1e7),
        ("archive", "cpu", |at| 0.05 + 1e-6 * at["requests"]),
        ("archive", "memory", |_| 1e7),
        ("server", "cpu", |at| 0.01 + 0.001 * at["requests"]),
        ("server", "memory", |at| 2e7 + 1000.0 * at["customers"]),
        ("server", "sent", |_| 1000.0),
        ("server", "received", |_| 200.0),
        ("server", "latency_p99", |at| 0.002 + 0.000_01 * at["requests"]),
    ]
}

/// The same with one law put in another's place.
pub fn but(role: &'static str, measure: &'static str, law: Law) -> Laws {
    let mut laws = sound();
    for one in &mut laws {
        if (one.0, one.1) == (role, measure) {
            one.2 = law;
        }
    }
    laws
}
