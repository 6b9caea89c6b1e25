//! Metrics page. Dashboards and alerts depend on the names and labels, some of which differ from the names in the code.

use super::traffic::TrafficCounters;
use crate::service::ControlService;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Content type of the page.
pub(super) const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Prefix of all metric names.
const PREFIX: &str = "puffinladder_control";

type LabelledCounter = Family<Vec<(String, String)>, Counter>;

fn labels<const N: usize>(labels: [(&str, &str); N]) -> Vec<(String, String)> {
    labels.map(|(name, value)| (name.to_owned(), value.to_owned())).into()
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge = Gauge::<f64, AtomicU64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

/// Registers a counter. The library appends `_total` to the name.
fn counter(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let counter = Counter::<f64, AtomicU64>::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn register_plan(registry: &mut Registry, service: &ControlService, now: f64) {
    let counters = service.counters;
    let age = service.plan().map_or(f64::INFINITY, |plan| now - plan.decided_at);
    let number = service.plan_version().number;
    gauge(registry, "plan_age_seconds", "Since the plan in force was decided", age);
    gauge(registry, "plan_number", "Number of the plan in this life", number as f64);
    counter(registry, "plans", "Plans decided", counters.plans as f64);
    let changed = counters.plans_changed as f64;
    counter(registry, "plans_changed", "Plans that changed what proxies hold", changed);
    counter(registry, "plans_missing", "Times that no plan could be made", counters.plans_missing as f64);
}

fn register_fleet(registry: &mut Registry, service: &ControlService, now: f64) {
    let fleet = service.fleet();
    let panic = if fleet.in_panic(now) { 1.0 } else { 0.0 };
    gauge(registry, "servers", "Servers heard of", fleet.len() as f64);
    gauge(registry, "servers_fresh", "Servers heard of lately", fleet.fresh_count(now) as f64);
    gauge(registry, "panic", "1 while most reports are missing", panic);
    counter(registry, "reports_taken", "Reports taken", fleet.accepted as f64);
    counter(registry, "reports_refused", "Reports refused", fleet.rejected as f64);
}

fn register_streams(registry: &mut Registry, service: &ControlService) {
    let (counters, streams) = (service.counters, service.stream_counters());
    gauge(registry, "proxies", "Streams of proxies", service.proxy_count() as f64);
    let in_sync = service.in_sync_count() as f64;
    gauge(registry, "proxies_settled", "Proxies that hold all of the plan", in_sync);
    counter(registry, "responses", "Responses with content", streams.content_updates as f64);
    counter(registry, "heartbeats", "Responses that renew leases only", streams.heartbeats as f64);
    counter(registry, "refused", "Responses that proxies refused", streams.rejected as f64);
    let help = "Plans that came and went while an answer was awaited";
    counter(registry, "coalesced", help, streams.coalesced as f64);
    counter(registry, "cut", "Streams cut", counters.streams_aborted as f64);
    counter(registry, "streams", "Streams that proxies opened", counters.streams_opened as f64);
    let help = "Responses that waited for one stream's socket at once, the most so far";
    gauge(registry, "responses_waiting_most", help, counters.max_queued_updates as f64);
}

fn register_traffic(registry: &mut Registry, traffic: &TrafficCounters) {
    let open = traffic.report_connections.get() as f64;
    gauge(registry, "report_connections", "Connections of servers that are open", open);
    let total = traffic.report_connections_total.get() as f64;
    counter(registry, "report_connections", "Connections of servers", total);
    counter(registry, "report_bytes", "Bytes of reports", traffic.report_bytes.get() as f64);
}

fn register_rejections(registry: &mut Registry, service: &ControlService) {
    let rejections = LabelledCounter::default();
    for (reason, count) in service.fleet().rejections.by_reason() {
        rejections.get_or_create(&labels([("reason", reason)])).inc_by(count);
    }
    registry.register("reports_refused_by_reason", "Reports refused, by why", rejections);
}

fn register_update_bytes(registry: &mut Registry, traffic: &TrafficCounters) {
    let bytes = LabelledCounter::default();
    for bytes_of_type in traffic.update_bytes() {
        let name = format!("{:?}", bytes_of_type.resource_type).to_lowercase();
        for (content_kind, count) in [("content", bytes_of_type.content), ("renewal", bytes_of_type.renewals)]
        {
            bytes.get_or_create(&labels([("type", &name), ("what", content_kind)])).inc_by(count);
        }
    }
    let help = "Bytes of responses, by type and by whether they carry content";
    registry.register("response_bytes", help, bytes);
}

/// Encodes all metrics as OpenMetrics text, at `now` seconds by the service's clock.
pub(super) fn exposition(service: &ControlService, traffic: &TrafficCounters, now: f64) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    register_plan(&mut registry, service, now);
    register_fleet(&mut registry, service, now);
    register_streams(&mut registry, service);
    register_traffic(&mut registry, traffic);
    register_rejections(&mut registry, service);
    register_update_bytes(&mut registry, traffic);
    let mut text = String::new();
    encode(&mut text, &registry).map(|()| text).unwrap_or_default()
}
