//! HTTP debug pages: `/plan`, `/servers` and `/proxies` as JSON, `/metrics` as OpenMetrics text, and `/health`.

use super::handle::ServiceHandle;
use super::prometheus;
use axum::extract::State;
use axum::http::{header, StatusCode};
use axum::response::IntoResponse;
use axum::routing::get;
use axum::{Json, Router};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::watch;

type JsonPage = Result<Json<Value>, StatusCode>;

fn json_page(value: Option<Value>) -> JsonPage {
    value.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn plan(State(service): State<ServiceHandle>) -> JsonPage {
    let page = service.query(|service, now| {
        let version = service.plan_version();
        service.plan().map(|plan| {
            let age = now - plan.decided_at;
            json!({"epoch": version.epoch, "number": version.number, "age": age, "plan": &**plan})
        })
    });
    json_page(page.await.flatten())
}

async fn servers(State(service): State<ServiceHandle>) -> JsonPage {
    let page = service.query(|service, now| {
        let fleet = service.fleet();
        let views = fleet.servers(now).into_iter();
        let servers: Vec<Value> = views
            .map(|view| json!({"report": view.report, "age": view.age, "belief": view.confidence}))
            .collect();
        json!({"panic": fleet.in_panic(now), "servers": servers})
    });
    json_page(page.await)
}

async fn proxies(State(service): State<ServiceHandle>) -> JsonPage {
    let page = service.query(
        |service, now| json!({"settled": service.in_sync_count(), "proxies": service.proxy_statuses(now)}),
    );
    json_page(page.await)
}

async fn health(State(service): State<ServiceHandle>) -> impl IntoResponse {
    match service.query(|service, now| service.has_valid_plan(now)).await {
        Some(true) => (StatusCode::OK, "a plan holds\n"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "no plan holds\n"),
    }
}

async fn metrics(State(service): State<ServiceHandle>) -> impl IntoResponse {
    let traffic = service.traffic.clone();
    let text = service.query(move |service, now| prometheus::exposition(service, &traffic, now)).await;
    let content_type = [(header::CONTENT_TYPE, prometheus::CONTENT_TYPE)];
    text.map(|text| (content_type, text)).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

/// Serves the pages until the service is stopped.
pub(super) async fn serve(listener: TcpListener, service: ServiceHandle, mut stopped: watch::Receiver<bool>) {
    let router = Router::new()
        .route("/plan", get(plan))
        .route("/servers", get(servers))
        .route("/proxies", get(proxies))
        .route("/metrics", get(metrics))
        .route("/health", get(health))
        .with_state(service);
    let shutdown = async move {
        let _ = stopped.changed().await;
    };
    if let Err(error) = axum::serve(listener, router).with_graceful_shutdown(shutdown).await {
        tracing::error!("debug pages: server failed: {error}");
    }
}
