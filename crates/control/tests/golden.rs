//! Forms that others read or that outlive the process, as literals: load reports, the stored snapshot, xDS resources, and the
//! decisions that a fixed course of events leads to. They may only change on purpose.

use puffinladder_control::core::{Core, Snapshot, Told};
use puffinladder_control::plan::{Plan, Planner};
use puffinladder_control::resources::{type_url, world, Profile, Subsets};
use puffinladder_control::stream::{Kind, Push, Request, Serial};
use puffinladder_control::view::{Bounds, Class, Report, Views};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::PathBuf;

/// s between two plans.
const STEP: f64 = 0.25;

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn read(name: &str) -> Vec<u8> {
    std::fs::read(fixture(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

const REPORT: &str = concat!(
    r#"{"instance":"n1","incarnation":1764600000000000,"sequence":7,"made":2.5,"zone":"east","address":"127.0.0.1:4100","#,
    r#""cores":4.0,"limit":1.0,"running":3.0,"takes":0.012345678,"pressure":0.75,"retry_after":1.0,"healthy":true,"#,
    r#""leaving":null,"warmth":0.484375,"settled":38.0,"classes":[{"product":"quote","customer":"acme","worth":1.0,"#,
    r#""asked":80.0,"declined":0.0},{"product":"order \"b\"","customer":"größe","worth":2.5,"asked":4.0,"declined":4.0}]}"#,
);

#[test]
fn a_load_report_is_read_and_written_as_ever() {
    let report: Report = serde_json::from_str(REPORT).unwrap();
    assert_eq!(serde_json::to_string(&report).unwrap(), REPORT);
    let draining = REPORT.replace(r#""leaving":null"#, r#""leaving":1.25"#);
    let report: Report = serde_json::from_str(&draining).unwrap();
    assert_eq!(serde_json::to_string(&report).unwrap(), draining);
}

#[test]
fn a_stored_snapshot_is_read_and_written_as_ever() {
    let stored = read("snapshot.json");
    let snapshot: Snapshot = serde_json::from_slice(&stored).unwrap();
    let again = serde_json::to_value(&snapshot).unwrap();
    assert_eq!(rounded(&again), rounded(&serde_json::from_slice(&stored).unwrap()));
    assert!(
        snapshot.plan.shares.len() > 10 && snapshot.plan.zones.len() == 3 && !snapshot.plan.drops.is_empty()
    );
    let core = Core::new(100.0, Told::default(), snapshot.epoch + 1, Some((snapshot, 0.5)));
    assert!(core.holds(100.0) && core.holds(101.4) && !core.holds(101.6));
}

#[test]
fn a_plan_is_the_same_bytes_of_resources_as_ever() {
    let snapshot: Snapshot = serde_json::from_slice(&read("snapshot.json")).unwrap();
    let profile = Profile { zone: "z1".into(), slot: 3 };
    let subsets = Subsets { size: 2, slots: 4 };
    let held = world(&snapshot.plan, Serial { epoch: 5, number: 9 }, &profile, &subsets);
    let urls = [
        "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "type.googleapis.com/envoy.config.listener.v3.Listener",
        "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
    ];
    let names = ["servers", "servers", "front", "front-routes"];
    let files = ["cluster.pb", "endpoints.pb", "listener.pb", "routes.pb"];
    for (at, kind) in Kind::ALL.into_iter().enumerate() {
        assert_eq!(type_url(kind), urls[at]);
        let resource = &held.set(kind)[names[at]];
        assert!(resource.body == read(files[at]), "{}", files[at]);
    }
    let versions: Vec<u64> =
        Kind::ALL.into_iter().enumerate().map(|(at, kind)| held.set(kind)[names[at]].version).collect();
    assert_eq!(versions, VERSIONS);
}

const VERSIONS: [u64; 4] =
    [480958033407490148, 15146953641929918255, 4870089304050359961, 11420955664635124394];

/// Servers of three zones to which things happen, by a seed.
struct Course {
    rng: ChaCha8Rng,
    servers: Vec<Report>,
    silent_until: Vec<f64>,
}

impl Course {
    fn new(seed: u64) -> Course {
        let server = |at: usize| Report {
            zone: ["z0", "z0", "z0", "z1", "z1", "z1", "z1", "z2"][at % 8].into(),
            cores: [4.0, 8.0][at % 2],
            ..Report::sound(&format!("n{at:02}"), ([10, 0, 0, at as u8], 4100).into())
        };
        let servers: Vec<Report> = (0..18).map(server).collect();
        let silent_until = vec![0.0; servers.len()];
        Course { rng: ChaCha8Rng::seed_from_u64(seed), servers, silent_until }
    }

    /// What each server that is heard says at this time.
    fn reports(&mut self, now: f64) -> Vec<Report> {
        let rng = &mut self.rng;
        if rng.random_bool(0.08) {
            let at = rng.random_range(0..self.servers.len());
            let server = &mut self.servers[at];
            match rng.random_range(0..6) {
                0 => server.healthy = false,
                1 => server.leaving = Some(3.0),
                2 => {
                    (server.incarnation, server.leaving, server.warmth) = (server.incarnation + 1, None, 0.2)
                }
                3 => server.takes = rng.random_range(0.005..0.02),
                4 => server.limit = rng.random_range(2.0..8.0),
                _ => self.silent_until[at] = now + rng.random_range(0.5..6.0),
            }
        }
        if rng.random_bool(0.004) {
            self.silent_until.iter_mut().for_each(|until| *until = now + 3.0);
        }
        let surge = if (20.0..50.0).contains(&now) { 1.7 } else { 1.0 };
        let mut reports = Vec::new();
        for (at, server) in self.servers.iter_mut().enumerate() {
            if (!server.healthy || server.leaving.is_some()) && rng.random_bool(0.05) {
                (server.incarnation, server.healthy, server.leaving) = (server.incarnation + 1, true, None);
            }
            server.sequence += 1;
            server.made = now + at as f64;
            server.warmth = (server.warmth + 0.02).min(1.0);
            server.pressure = rng.random_range(0.0..0.03) * surge;
            server.retry_after = rng.random_range(0.25..1.0);
            let class = |product: &str, worth: f64, asked: f64, declined: f64| Class {
                product: product.into(),
                customer: "k".into(),
                worth,
                asked,
                declined,
            };
            let asked = rng.random_range(50.0..150.0) * surge * if server.zone == "z1" { 2.0 } else { 1.0 };
            let declined = if surge > 1.0 { asked * rng.random_range(0.1..0.6) } else { 0.0 };
            server.classes =
                vec![class("cheap", 1.0, asked, declined), class("dear", 3.0, asked / 2.0, declined / 20.0)];
            if now >= self.silent_until[at] {
                reports.push(server.clone());
            }
        }
        reports
    }
}

/// A digest of figures to nine digits: the last ones are the machine's mathematics.
fn digest(all: &[String]) -> String {
    let mut hasher = blake3::Hasher::new();
    for line in all {
        hasher.update(line.as_bytes());
    }
    hasher.finalize().to_hex()[..32].to_owned()
}

fn rounded(value: &serde_json::Value) -> String {
    use serde_json::Value;
    match value {
        Value::Number(number) if number.is_f64() => format!("{:.9}", number.as_f64().unwrap()),
        Value::Array(all) => format!("[{}]", all.iter().map(rounded).collect::<Vec<_>>().join(",")),
        Value::Object(all) => {
            let each = all.iter().map(|(name, value)| format!("{name}:{}", rounded(value)));
            format!("{{{}}}", each.collect::<Vec<_>>().join(","))
        }
        other => other.to_string(),
    }
}

fn plans(seed: u64) -> Vec<Option<Plan>> {
    let (mut course, mut planner) = (Course::new(seed), Planner::default());
    let mut views = Views::new(Bounds::default());
    let step = |at: u32| {
        let now = f64::from(at) * STEP;
        for report in course.reports(now) {
            views.take(now, report);
        }
        views.tidy(now);
        planner.plan(now, &views)
    };
    (0..400).map(step).collect()
}

#[test]
fn a_fixed_course_of_events_leads_to_the_same_plans_as_ever() {
    let digests = [1, 2, 3].map(|seed| {
        let plans = plans(seed);
        let lines: Vec<String> =
            plans.iter().map(|plan| rounded(&serde_json::to_value(plan).unwrap())).collect();
        let reasons: std::collections::BTreeSet<&str> =
            plans.iter().flatten().flat_map(|plan| plan.shares.iter().map(|s| s.why.held.as_str())).collect();
        assert!(reasons.len() >= 7, "{reasons:?}");
        assert!(plans.iter().flatten().any(|plan| plan.panic));
        assert!(plans.iter().flatten().any(|plan| plan.zones.values().any(|zone| zone.spill > 0.0)));
        digest(&lines)
    });
    assert_eq!(digests, PLANS);
}

const PLANS: [&str; 3] = [
    "355c6e12dc61d7e1a2570997262d20f9",
    "9273724de2f1c3f8a89966fe19b44767",
    "3dd78562d54b0d28d747b0aa5a0487b9",
];

/// What a proxy sees of a response.
fn line(now: f64, id: u64, push: &Push) -> String {
    let pieces: Vec<String> = push
        .pieces
        .iter()
        .map(|p| {
            format!("{}={:x}{}", p.resource.name, p.resource.version, if p.heartbeat { "*" } else { "" })
        })
        .collect();
    let (kind, serial, lease) = (type_url(push.kind), push.serial, push.lease.map(|s| format!("{s:.9}")));
    format!(
        "{now:.2} {id} {kind} {}.{} {} {} -{} {lease:?}\n",
        serial.epoch,
        serial.number,
        push.nonce,
        pieces.join(","),
        push.removed.join(","),
    )
}

/// All that leaves a service whose proxies acknowledge, refuse, lie, and ask for other names, by a seed.
fn responses(seed: u64) -> Vec<String> {
    let (mut course, mut core) = (Course::new(seed), Core::new(0.0, Told::default(), 7, None));
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1000);
    let mut lines = Vec::new();
    let mut outstanding: Vec<(u64, Push)> = Vec::new();
    let mut next_id = 1u64;
    let mut open = |core: &mut Core, now: f64, lines: &mut Vec<String>, out: &mut Vec<(u64, Push)>| {
        let id = next_id;
        next_id += 1;
        core.open(now, id, &format!("p{}", id % 8), &format!("z{}", id % 4), id.is_multiple_of(2));
        for kind in Kind::ALL {
            let held = [("servers".to_owned(), "1f".to_owned())].into();
            let request = Request { kind: Some(kind), held, ..Request::default() };
            for push in core.request(now, id, &request).unwrap() {
                lines.push(line(now, id, &push));
                out.push((id, push));
            }
        }
    };
    (0..8).for_each(|_| open(&mut core, 0.0, &mut lines, &mut outstanding));
    for step in 1..=240u32 {
        let now = f64::from(step) * STEP;
        for report in course.reports(now) {
            core.report(now, report);
        }
        for (id, push) in core.tick(now) {
            match push {
                Ok(push) => {
                    lines.push(line(now, id, &push));
                    outstanding.push((id, push));
                }
                Err(_) => {
                    lines.push(format!("{now:.2} {id} ends\n"));
                    open(&mut core, now, &mut lines, &mut outstanding);
                }
            }
        }
        let mut later = Vec::new();
        for (id, push) in std::mem::take(&mut outstanding) {
            if rng.random_bool(0.2) || id % 11 == 8 {
                later.push((id, push));
                continue;
            }
            let mut request =
                Request { kind: Some(push.kind), nonce: push.nonce.clone(), ..Request::default() };
            match rng.random_range(0..20) {
                0 => request.fault = Some("no such\nthing".into()),
                1 => request.nonce = "900.1".into(),
                2 => request.names = vec!["servers".into(), "other".into()],
                3 => request.gone = vec!["other".into()],
                4 => request.nonce = String::new(),
                _ => {}
            }
            let lies = request.nonce != push.nonce;
            for push in core.request(now, id, &request).unwrap() {
                lines.push(line(now, id, &push));
                later.push((id, push));
            }
            if lies {
                later.push((id, push));
            }
        }
        outstanding = later;
    }
    lines.push(serde_json::to_string(&core.seen(60.0)).unwrap());
    let counts = core.counts();
    lines.push(format!(
        "{} {} {} {} {} {} {}",
        counts.sent,
        counts.heartbeats,
        counts.acked,
        counts.refused,
        counts.stale,
        counts.unknown,
        counts.coalesced
    ));
    lines
}

#[test]
fn a_fixed_course_of_events_leads_to_the_same_responses_as_ever() {
    let digests = [4, 5].map(|seed| {
        let lines = responses(seed);
        assert!(lines.len() > 1000, "{}", lines.len());
        digest(&lines)
    });
    assert_eq!(digests, RESPONSES);
}

const RESPONSES: [&str; 2] = ["81afb50373d45a699cb8224fbd0242ed", "1b9d1068ea728d179895ce1cbf16ad9f"];

#[test]
fn what_the_debug_view_shows_of_a_proxy_has_the_same_names_as_ever() {
    let (mut course, mut core) = (Course::new(1), Core::new(0.0, Told::default(), 7, None));
    for step in 0..8u32 {
        let now = f64::from(step) * STEP;
        for report in course.reports(now) {
            core.report(now, report);
        }
        core.tick(now);
    }
    core.open(2.0, 1, "p1", "z0", false);
    let pushes =
        core.request(2.0, 1, &Request { kind: Some(Kind::Endpoints), ..Request::default() }).unwrap();
    let nonce = pushes[0].nonce.clone();
    let shown = |core: &Core| serde_json::to_string(&core.seen(3.0)).unwrap();
    let before = concat!(
        r#"[{"node":"p1","zone":"z0","acked":[0,0],"settled":false,"open_for":1.0,"sent":1,"heartbeats":0,"refused":0,"#,
        r#""complaint":null}]"#
    );
    assert_eq!(shown(&core), before);
    let fault = Some("bad weight".into());
    core.request(2.0, 1, &Request { kind: Some(Kind::Endpoints), nonce, fault, ..Request::default() })
        .unwrap();
    let after = concat!(
        r#"[{"node":"p1","zone":"z0","acked":[0,0],"settled":true,"open_for":1.0,"sent":1,"heartbeats":0,"refused":1,"#,
        r#""complaint":"Endpoints: bad weight"}]"#
    );
    assert_eq!(shown(&core), after);
}
