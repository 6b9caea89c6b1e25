//! Golden test of the names on the debug pages, which dashboards and alerts read.

mod common;

use common::{can_route, report, start_service, wait_until, Servers};
use puffinladder_control::report::ClassLoad;
use puffinladder_proxy::Proxy;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Names and value types on each page, then the descriptions and the labels of the metrics.
const NAMES: [&str; 5] = [
    include_str!("golden/plan.names"),
    include_str!("golden/servers.names"),
    include_str!("golden/proxies.names"),
    include_str!("golden/metrics.names"),
    include_str!("golden/labels.names"),
];

async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.0\r\nHost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

fn body(response: &str) -> &str {
    response.split_once("\r\n\r\n").unwrap().1
}

/// Collects the path and type of each value.
fn names(value: &Value, path_prefix: &str, found: &mut BTreeSet<String>) {
    let value_type = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(items) => {
            items.iter().for_each(|item| names(item, &format!("{path_prefix}[]"), found));
            return;
        }
        Value::Object(fields) => {
            fields.iter().for_each(|(name, item)| names(item, &format!("{path_prefix}.{name}"), found));
            return;
        }
    };
    found.insert(format!("{path_prefix} {value_type}"));
}

fn shape(response: &str) -> String {
    let mut found = BTreeSet::new();
    names(&serde_json::from_str(body(response)).unwrap(), "", &mut found);
    found.into_iter().collect::<Vec<_>>().join("\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn page_names_are_unchanged() {
    let running = start_service(None, None).await;
    let servers = Servers::start(vec![running.reports], vec![report(1), report(2)]);
    let class = ClassLoad {
        product: "p".into(),
        customer: "k".into(),
        priority_weight: 1.0,
        offered: 100.0,
        rejected: 60.0,
    };
    servers.change(|server| server.classes = vec![class.clone()]);
    let debug = running.debug.unwrap();
    let proxy = Proxy::start(running.xds, "p1", "a", true);
    wait_until("the proxy to route", || can_route(&proxy)).await;
    while !get(debug, "/plan").await.contains("customer") {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let mut shapes = Vec::new();
    for page in ["/plan", "/servers", "/proxies"] {
        shapes.push(shape(&get(debug, page).await));
    }
    let health = get(debug, "/health").await;
    assert!(
        health.starts_with("HTTP/1.0 200 OK\r\n") || health.starts_with("HTTP/1.1 200 OK\r\n"),
        "{health}"
    );
    assert_eq!(body(&health), "a plan holds\n");
    let metrics = get(debug, "/metrics").await;
    assert!(metrics.contains("content-type: application/openmetrics-text; version=1.0.0; charset=utf-8"));
    let described: Vec<&str> = body(&metrics).lines().filter(|line| line.starts_with('#')).collect();
    let labelled: BTreeSet<&str> = body(&metrics)
        .lines()
        .filter_map(|line| line.contains('{').then(|| line.rsplit_once(' '))?)
        .map(|(name, _)| name)
        .collect();
    shapes.push(described.join(
        "
",
    ));
    shapes.push(labelled.into_iter().collect::<Vec<_>>().join(
        "
",
    ));
    assert_eq!(shapes, NAMES.map(str::trim_end));
}

#[tokio::test(flavor = "multi_thread")]
async fn pages_report_a_missing_plan() {
    let running = start_service(None, None).await;
    let debug = running.debug.unwrap();
    let health = get(debug, "/health").await;
    assert!(health.contains(" 503 Service Unavailable\r\n"), "{health}");
    assert_eq!(body(&health), "no plan holds\n");
    assert!(get(debug, "/plan").await.contains(" 503 Service Unavailable\r\n"));
    assert_eq!(body(&get(debug, "/servers").await), r#"{"panic":false,"servers":[]}"#);
    assert_eq!(body(&get(debug, "/proxies").await), r#"{"proxies":[],"settled":0}"#);
}

/// Guards against clients whose headers take hundreds of kilobytes each before a request is complete.
#[tokio::test(flavor = "multi_thread")]
async fn header_of_many_large_fields_is_rejected_before_it_is_buffered() {
    let running = start_service(None, None).await;
    let address = running.debug.unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let field = "a".repeat(4000);
    stream.write_all(b"GET /health HTTP/1.1\r\nHost: x\r\n").await.unwrap();
    for number in 0..95 {
        // Fails once the service has closed the connection.
        if stream.write_all(format!("x{number}: {field}\r\n").as_bytes()).await.is_err() {
            break;
        }
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    assert!(response.is_empty() || response.starts_with(b"HTTP/1.1 431"), "{response:?}");
    assert!(get(address, "/metrics").await.starts_with("HTTP/1.0 200"));
}
