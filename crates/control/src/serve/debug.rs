//! HTTP debug pages: `/plan`, `/servers` and `/proxies` as JSON, `/metrics` as OpenMetrics text, and `/health`.

use super::handle::ServiceHandle;
use super::prometheus;
use axum::extract::State;
use axum::http::{header, StatusCode};
use axum::response::IntoResponse;
use axum::routing::get;
use axum::{Json, Router};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use puffinladder_transport::{serve_connections, TransportError};
use serde_json::{json, Value};
use std::io;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum number of open connections, for people and monitors.
const MAX_CONNECTIONS: usize = 256;
/// Bytes of a connection that are read ahead, the header of a request included.
const MAX_BUFFERED_BYTES: usize = 16_384;
/// Maximum number of header fields of a request.
const MAX_HEADER_FIELDS: usize = 64;
/// Time from the start of a request, or from the end of the one before, to the end of its header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection takes no further request.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(120);
/// Time for the last response of a connection.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

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

fn router(service: ServiceHandle) -> Router {
    Router::new()
        .route("/plan", get(plan))
        .route("/servers", get(servers))
        .route("/proxies", get(proxies))
        .route("/metrics", get(metrics))
        .route("/health", get(health))
        .with_state(service)
}

/// Serves the pages until the service is stopped.
pub(super) async fn serve(listener: TcpListener, service: ServiceHandle, stopped: watch::Receiver<bool>) {
    let router = router(service);
    let handle = move |stream, _| serve_connection(stream, router.clone());
    serve_connections(listener, "debug pages", MAX_CONNECTIONS, stopped, handle).await;
}

/// Serves requests on a connection until it closes or its lifetime ends.
async fn serve_connection(stream: TcpStream, router: Router) -> Result<(), TransportError> {
    let mut protocol = http1::Builder::new();
    protocol.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    protocol.max_buf_size(MAX_BUFFERED_BYTES).max_headers(MAX_HEADER_FIELDS);
    let served = protocol.serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let mut served = pin!(served);
    let ended = match tokio::time::timeout(CONNECTION_LIFETIME, served.as_mut()).await {
        Ok(ended) => ended,
        Err(_) => {
            served.as_mut().graceful_shutdown();
            let last = tokio::time::timeout(LAST_RESPONSE_TIMEOUT, served).await;
            last.map_err(|_| TransportError::TimedOut)?
        }
    };
    ended.map_err(|error| io::Error::other(error).into())
}
