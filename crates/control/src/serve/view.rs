//! What people and monitors look at: `/plan`, `/servers`, `/proxies` as JSON, `/metrics` as Prometheus reads them, `/health`.

use super::Desk;
use axum::extract::State;
use axum::http::{header, StatusCode};
use axum::response::IntoResponse;
use axum::routing::get;
use axum::{Json, Router};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::{json, Value};
use std::sync::atomic::AtomicU64;
use tokio::net::TcpListener;
use tokio::sync::watch;

type Found = Result<Json<Value>, StatusCode>;

fn found(value: Option<Value>) -> Found {
    value.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn plan(State(desk): State<Desk>) -> Found {
    let told = desk.ask(|core, now| {
        let serial = core.serial();
        core.plan().map(|plan| {
            json!({"epoch": serial.epoch, "number": serial.number, "age": now - plan.made, "plan": &**plan})
        })
    });
    found(told.await.flatten())
}

async fn servers(State(desk): State<Desk>) -> Found {
    let told = desk.ask(|core, now| {
        let one = |b: crate::view::Believed| json!({"report": b.report, "age": b.age, "belief": b.belief});
        let all: Vec<Value> = core.views().believed(now).into_iter().map(one).collect();
        json!({"panic": core.views().panic(now), "servers": all})
    });
    found(told.await)
}

async fn proxies(State(desk): State<Desk>) -> Found {
    found(desk.ask(|core, now| json!({"settled": core.settled(), "proxies": core.seen(now)})).await)
}

async fn health(State(desk): State<Desk>) -> impl IntoResponse {
    match desk.ask(|core, now| core.holds(now)).await {
        Some(true) => (StatusCode::OK, "a plan holds\n"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "no plan holds\n"),
    }
}

async fn metrics(State(desk): State<Desk>) -> impl IntoResponse {
    let meters = desk.meters.clone();
    let told = desk.ask(move |core, now| {
        let (counts, totals, serial) = (core.counts(), core.totals, core.serial());
        let age = core.plan().map_or(f64::INFINITY, |plan| now - plan.made);
        let lines: [(&str, &str, &str, f64); 22] = [
            ("plan_age_seconds", "gauge", "Since the plan in force was decided", age),
            ("plan_number", "gauge", "Number of the plan in this life", serial.number as f64),
            ("plans_total", "counter", "Plans decided", totals.plans as f64),
            ("plans_changed_total", "counter", "Plans that changed what proxies hold", totals.changed as f64),
            ("plans_missing_total", "counter", "Times that no plan could be made", totals.none as f64),
            ("servers", "gauge", "Servers heard of", core.views().len() as f64),
            ("servers_fresh", "gauge", "Servers heard of lately", core.views().fresh(now) as f64),
            (
                "panic",
                "gauge",
                "1 while most reports are missing",
                f64::from(u8::from(core.views().panic(now))),
            ),
            ("reports_taken_total", "counter", "Reports taken", core.views().taken as f64),
            ("reports_refused_total", "counter", "Reports refused", core.views().refused as f64),
            ("proxies", "gauge", "Streams of proxies", core.peers() as f64),
            ("proxies_settled", "gauge", "Proxies that hold all of the plan", core.settled() as f64),
            ("responses_total", "counter", "Responses with content", counts.sent as f64),
            ("heartbeats_total", "counter", "Responses that renew leases only", counts.heartbeats as f64),
            ("refused_total", "counter", "Responses that proxies refused", counts.refused as f64),
            (
                "coalesced_total",
                "counter",
                "Plans that came and went while an answer was awaited",
                counts.coalesced as f64,
            ),
            ("cut_total", "counter", "Streams cut", totals.cut as f64),
            ("streams_total", "counter", "Streams that proxies opened", totals.opened as f64),
            (
                "responses_waiting_most",
                "gauge",
                "Responses that waited for one stream's socket at once, the most so far",
                totals.waiting_most as f64,
            ),
            (
                "report_connections",
                "gauge",
                "Connections of servers that are open",
                meters.report_connections.get() as f64,
            ),
            (
                "report_connections_total",
                "counter",
                "Connections of servers",
                meters.report_connections_total.get() as f64,
            ),
            ("report_bytes_total", "counter", "Bytes of reports", meters.report_bytes.get() as f64),
        ];
        let mut all = Registry::with_prefix("puffinladder_control");
        for (name, kind, help, value) in lines {
            if kind == "counter" {
                let counter = Counter::<f64, AtomicU64>::default();
                counter.inc_by(value);
                // The library puts _total behind.
                all.register(name.trim_end_matches("_total"), help, counter);
            } else {
                let gauge = Gauge::<f64, AtomicU64>::default();
                gauge.set(value);
                all.register(name, help, gauge);
            }
        }
        type Labelled = Family<Vec<(String, String)>, Counter>;
        let labels = |all: &[(&str, &str)]| {
            all.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect()
        };
        let refused = Labelled::default();
        for (reason, count) in core.views().refusals.told() {
            refused.get_or_create(&labels(&[("reason", reason)])).inc_by(count);
        }
        all.register("reports_refused_by_reason", "Reports refused, by why", refused);
        let bytes = Labelled::default();
        for (kind, content, renewals) in meters.responses() {
            let kind = format!("{kind:?}").to_lowercase();
            for (what, count) in [("content", content), ("renewal", renewals)] {
                bytes.get_or_create(&labels(&[("type", &kind), ("what", what)])).inc_by(count);
            }
        }
        all.register(
            "response_bytes",
            "Bytes of responses, by type and by whether they carry content",
            bytes,
        );
        let mut text = String::new();
        encode(&mut text, &all).map(|()| text).unwrap_or_default()
    });
    let kind = [(header::CONTENT_TYPE, "application/openmetrics-text; version=1.0.0; charset=utf-8")];
    told.await.map(|text| (kind, text)).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

pub async fn listen(listener: TcpListener, desk: Desk, mut stopped: watch::Receiver<bool>) {
    let router = Router::new()
        .route("/plan", get(plan))
        .route("/servers", get(servers))
        .route("/proxies", get(proxies))
        .route("/metrics", get(metrics))
        .route("/health", get(health))
        .with_state(desk);
    let ends = async move {
        let _ = stopped.changed().await;
    };
    if let Err(e) = axum::serve(listener, router).with_graceful_shutdown(ends).await {
        tracing::error!("debug view: {e}");
    }
}
