//! Golden tests of serialized forms: load reports, stored snapshots, xDS resources, and the plans and responses that fixed
//! events lead to.

use puffinladder_control::fleet::{FleetConfig, FleetView};
use puffinladder_control::plan::{Plan, Planner};
use puffinladder_control::report::{ClassLoad, LoadReport};
use puffinladder_control::resources::{resource_snapshot, type_url, ProxyProfile, SubsetConfig};
use puffinladder_control::service::{ControlService, RestoredSnapshot, ServiceConfig, StoredSnapshot};
use puffinladder_control::stream::{PlanVersion, ProxyRequest, ResourceType, Update};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::PathBuf;

/// Seconds between plans.
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
fn load_report_json_is_unchanged() {
    let report: LoadReport = serde_json::from_str(REPORT).unwrap();
    assert_eq!(serde_json::to_string(&report).unwrap(), REPORT);
    let draining = REPORT.replace(r#""leaving":null"#, r#""leaving":1.25"#);
    let report: LoadReport = serde_json::from_str(&draining).unwrap();
    assert_eq!(serde_json::to_string(&report).unwrap(), draining);
}

#[test]
fn stored_snapshot_json_is_unchanged() {
    let stored = read("snapshot.json");
    let snapshot: StoredSnapshot = serde_json::from_slice(&stored).unwrap();
    let again = serde_json::to_value(&snapshot).unwrap();
    assert_eq!(rounded(&again), rounded(&serde_json::from_slice(&stored).unwrap()));
    assert!(
        snapshot.plan.shares.len() > 10 && snapshot.plan.zones.len() == 3 && !snapshot.plan.drops.is_empty()
    );
    let (epoch, restored) = (snapshot.epoch + 1, RestoredSnapshot { snapshot, age: 0.5 });
    let service = ControlService::new(100.0, ServiceConfig::default(), epoch, Some(restored));
    assert!(service.has_valid_plan(100.0) && service.has_valid_plan(101.4) && !service.has_valid_plan(101.6));
}

#[test]
fn plan_encodes_to_the_recorded_resources() {
    let snapshot: StoredSnapshot = serde_json::from_slice(&read("snapshot.json")).unwrap();
    let profile = ProxyProfile { zone: "z1".into(), subset: 3 };
    let subsets = SubsetConfig { size: 2, count: 4 };
    let resources =
        resource_snapshot(&snapshot.plan, PlanVersion { epoch: 5, number: 9 }, &profile, &subsets);
    let urls = [
        "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "type.googleapis.com/envoy.config.listener.v3.Listener",
        "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
    ];
    let names = ["servers", "servers", "front", "front-routes"];
    let files = ["cluster.pb", "endpoints.pb", "listener.pb", "routes.pb"];
    for (at, resource_type) in ResourceType::ALL.into_iter().enumerate() {
        assert_eq!(type_url(resource_type), urls[at]);
        let resource = &resources.set(resource_type)[names[at]];
        assert!(resource.body == read(files[at]), "{}", files[at]);
    }
    let versions: Vec<u64> = ResourceType::ALL
        .into_iter()
        .enumerate()
        .map(|(at, resource_type)| resources.set(resource_type)[names[at]].version)
        .collect();
    assert_eq!(versions, VERSIONS);
}

const VERSIONS: [u64; 4] =
    [480958033407490148, 15146953641929918255, 4870089304050359961, 11420955664635124394];

/// Random events of servers in three zones, determined by a seed.
struct EventSequence {
    rng: ChaCha8Rng,
    servers: Vec<LoadReport>,
    silent_until: Vec<f64>,
}

impl EventSequence {
    fn new(seed: u64) -> EventSequence {
        let server = |at: usize| LoadReport {
            zone: ["z0", "z0", "z0", "z1", "z1", "z1", "z1", "z2"][at % 8].into(),
            cores: [4.0, 8.0][at % 2],
            ..LoadReport::healthy_server(&format!("n{at:02}"), ([10, 0, 0, at as u8], 4100).into())
        };
        let servers: Vec<LoadReport> = (0..18).map(server).collect();
        let silent_until = vec![0.0; servers.len()];
        EventSequence { rng: ChaCha8Rng::seed_from_u64(seed), servers, silent_until }
    }

    /// Advances to `now` and returns the reports that the service receives.
    fn reports(&mut self, now: f64) -> Vec<LoadReport> {
        let rng = &mut self.rng;
        if rng.random_bool(0.08) {
            let at = rng.random_range(0..self.servers.len());
            let server = &mut self.servers[at];
            match rng.random_range(0..6) {
                0 => server.healthy = false,
                1 => server.terminates_in = Some(3.0),
                2 => {
                    (server.incarnation, server.terminates_in, server.warm_up_progress) =
                        (server.incarnation + 1, None, 0.2)
                }
                3 => server.service_time = rng.random_range(0.005..0.02),
                4 => server.concurrency_limit = rng.random_range(2.0..8.0),
                _ => self.silent_until[at] = now + rng.random_range(0.5..6.0),
            }
        }
        if rng.random_bool(0.004) {
            self.silent_until.iter_mut().for_each(|until| *until = now + 3.0);
        }
        let surge = if (20.0..50.0).contains(&now) { 1.7 } else { 1.0 };
        let mut reports = Vec::new();
        for (at, server) in self.servers.iter_mut().enumerate() {
            if (!server.healthy || server.terminates_in.is_some()) && rng.random_bool(0.05) {
                (server.incarnation, server.healthy, server.terminates_in) =
                    (server.incarnation + 1, true, None);
            }
            server.sequence += 1;
            server.created_at = now + at as f64;
            server.warm_up_progress = (server.warm_up_progress + 0.02).min(1.0);
            server.pressure = rng.random_range(0.0..0.03) * surge;
            server.retry_after = rng.random_range(0.25..1.0);
            let class = |product: &str, priority_weight: f64, offered: f64, rejected: f64| ClassLoad {
                product: product.into(),
                customer: "k".into(),
                priority_weight,
                offered,
                rejected,
            };
            let offered = rng.random_range(50.0..150.0) * surge * if server.zone == "z1" { 2.0 } else { 1.0 };
            let rejected = if surge > 1.0 { offered * rng.random_range(0.1..0.6) } else { 0.0 };
            server.classes = vec![
                class("cheap", 1.0, offered, rejected),
                class("dear", 3.0, offered / 2.0, rejected / 20.0),
            ];
            if now >= self.silent_until[at] {
                reports.push(server.clone());
            }
        }
        reports
    }
}

/// Returns a digest of the lines.
fn digest(lines: &[String]) -> String {
    let mut hasher = blake3::Hasher::new();
    for line in lines {
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
    let (mut events, mut planner) = (EventSequence::new(seed), Planner::default());
    let mut fleet = FleetView::new(FleetConfig::default());
    let step = |at: u32| {
        let now = f64::from(at) * STEP;
        for report in events.reports(now) {
            fleet.record(now, report);
        }
        fleet.evict_silent(now);
        planner.plan(now, &fleet)
    };
    (0..400).map(step).collect()
}

#[test]
fn fixed_events_lead_to_the_recorded_plans() {
    let digests = [1, 2, 3].map(|seed| {
        let plans = plans(seed);
        let lines: Vec<String> =
            plans.iter().map(|plan| rounded(&serde_json::to_value(plan).unwrap())).collect();
        let reasons: std::collections::BTreeSet<&str> = plans
            .iter()
            .flatten()
            .flat_map(|plan| plan.shares.iter().map(|s| s.explanation.limited_by.as_str()))
            .collect();
        assert!(reasons.len() >= 7, "{reasons:?}");
        assert!(plans.iter().flatten().any(|plan| plan.panic));
        assert!(plans.iter().flatten().any(|plan| plan.zones.values().any(|zone| zone.spill > 0.0)));
        digest(&lines)
    });
    assert_eq!(digests, PLANS);
}

const PLANS: [&str; 3] = [
    "5714e8d3249ee0254cd1b8802b1df5c6",
    "ba21bb050560fd0a71cb74644ea5982f",
    "68c26b517e2a565c5efce988aaeed87a",
];

/// Formats an update as a line.
fn update_line(now: f64, id: u64, update: &Update) -> String {
    let entries: Vec<String> = update
        .entries
        .iter()
        .map(|entry| {
            format!(
                "{}={:x}{}",
                entry.resource.name,
                entry.resource.version,
                if entry.heartbeat { "*" } else { "" }
            )
        })
        .collect();
    let (resource_type, version, lease) =
        (type_url(update.resource_type), update.version, update.ttl.map(|s| format!("{s:.9}")));
    format!(
        "{now:.2} {id} {resource_type} {}.{} {} {} -{} {lease:?}\n",
        version.epoch,
        version.number,
        update.nonce,
        entries.join(","),
        update.removed.join(","),
    )
}

/// Returns all updates sent to proxies that acknowledge, reject, send wrong nonces or change their subscriptions.
fn responses(seed: u64) -> Vec<String> {
    let (mut events, mut service) =
        (EventSequence::new(seed), ControlService::new(0.0, ServiceConfig::default(), 7, None));
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1000);
    let mut lines = Vec::new();
    let mut outstanding: Vec<(u64, Update)> = Vec::new();
    let mut next_id = 1u64;
    let mut open = |service: &mut ControlService,
                    now: f64,
                    lines: &mut Vec<String>,
                    out: &mut Vec<(u64, Update)>| {
        let id = next_id;
        next_id += 1;
        service.open_stream(now, id, &format!("p{}", id % 8), &format!("z{}", id % 4), id.is_multiple_of(2));
        for resource_type in ResourceType::ALL {
            let held = [("servers".to_owned(), "1f".to_owned())].into();
            let request = ProxyRequest {
                resource_type: Some(resource_type),
                initial_versions: held,
                ..ProxyRequest::default()
            };
            for update in service.handle_request(now, id, &request).unwrap() {
                lines.push(update_line(now, id, &update));
                out.push((id, update));
            }
        }
    };
    (0..8).for_each(|_| open(&mut service, 0.0, &mut lines, &mut outstanding));
    for step in 1..=240u32 {
        let now = f64::from(step) * STEP;
        for report in events.reports(now) {
            service.handle_report(now, report);
        }
        for event in service.tick(now) {
            let id = event.stream;
            match event.result {
                Ok(update) => {
                    lines.push(update_line(now, id, &update));
                    outstanding.push((id, update));
                }
                Err(_) => {
                    lines.push(format!("{now:.2} {id} ends\n"));
                    open(&mut service, now, &mut lines, &mut outstanding);
                }
            }
        }
        let mut later = Vec::new();
        for (id, update) in std::mem::take(&mut outstanding) {
            if rng.random_bool(0.2) || id % 11 == 8 {
                later.push((id, update));
                continue;
            }
            let mut request = ProxyRequest {
                resource_type: Some(update.resource_type),
                nonce: update.nonce.clone(),
                ..ProxyRequest::default()
            };
            match rng.random_range(0..20) {
                0 => request.error = Some("no such\nthing".into()),
                1 => request.nonce = "900.1".into(),
                2 => request.names = vec!["servers".into(), "other".into()],
                3 => request.removed_names = vec!["other".into()],
                4 => request.nonce = String::new(),
                _ => {}
            }
            let wrong_nonce = request.nonce != update.nonce;
            for update in service.handle_request(now, id, &request).unwrap() {
                lines.push(update_line(now, id, &update));
                later.push((id, update));
            }
            if wrong_nonce {
                later.push((id, update));
            }
        }
        outstanding = later;
    }
    lines.push(serde_json::to_string(&service.proxy_statuses(60.0)).unwrap());
    let counts = service.stream_counters();
    lines.push(format!(
        "{} {} {} {} {} {} {}",
        counts.content_updates,
        counts.heartbeats,
        counts.acked,
        counts.rejected,
        counts.stale_nonces,
        counts.unknown_nonces,
        counts.coalesced
    ));
    lines
}

#[test]
fn fixed_events_lead_to_the_recorded_responses() {
    let digests = [4, 5].map(|seed| {
        let lines = responses(seed);
        assert!(lines.len() > 1000, "{}", lines.len());
        digest(&lines)
    });
    assert_eq!(digests, RESPONSES);
}

const RESPONSES: [&str; 2] = ["81afb50373d45a699cb8224fbd0242ed", "a1ab8d5e99b213d5e0ef8e0572fffead"];

#[test]
fn proxy_status_json_is_unchanged() {
    let (mut events, mut service) =
        (EventSequence::new(1), ControlService::new(0.0, ServiceConfig::default(), 7, None));
    for step in 0..8u32 {
        let now = f64::from(step) * STEP;
        for report in events.reports(now) {
            service.handle_report(now, report);
        }
        service.tick(now);
    }
    service.open_stream(2.0, 1, "p1", "z0", false);
    let updates = service
        .handle_request(
            2.0,
            1,
            &ProxyRequest { resource_type: Some(ResourceType::Endpoints), ..ProxyRequest::default() },
        )
        .unwrap();
    let nonce = updates[0].nonce.clone();
    let shown = |service: &ControlService| serde_json::to_string(&service.proxy_statuses(3.0)).unwrap();
    let before = concat!(
        r#"[{"node":"p1","zone":"z0","acked":[0,0],"settled":false,"open_for":1.0,"sent":1,"heartbeats":0,"refused":0,"#,
        r#""complaint":null}]"#
    );
    assert_eq!(shown(&service), before);
    let error = Some("bad weight".into());
    service
        .handle_request(
            2.0,
            1,
            &ProxyRequest {
                resource_type: Some(ResourceType::Endpoints),
                nonce,
                error,
                ..ProxyRequest::default()
            },
        )
        .unwrap();
    let after = concat!(
        r#"[{"node":"p1","zone":"z0","acked":[0,0],"settled":true,"open_for":1.0,"sent":1,"heartbeats":0,"refused":1,"#,
        r#""complaint":"Endpoints: bad weight"}]"#
    );
    assert_eq!(shown(&service), after);
}
