//! Reports of servers: a TCP connection each, one JSON object a line, nothing back. A server that finds no service goes on without.

use super::handle::{Message, ServiceHandle};
use puffinladder_transport::{LineReader, TransportError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes of one report at the most: a few thousand classes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// A connection without a report for so long is closed: servers report several times a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections at once: as many as the servers that are remembered.
const MAX_CONNECTIONS: usize = 20_000;

/// Takes reports until the service is stopped.
pub(super) async fn serve(listener: TcpListener, service: ServiceHandle, stopped: watch::Receiver<bool>) {
    let handle_connection = |stream: TcpStream, peer| {
        let service = service.clone();
        async move {
            if let Err(error) = read_reports(stream, &service).await {
                tracing::warn!("reports from {peer}: {error}");
            }
            Ok(())
        }
    };
    puffinladder_transport::serve_connections(
        listener,
        "reports",
        MAX_CONNECTIONS,
        stopped,
        handle_connection,
    )
    .await;
}

async fn read_reports(stream: TcpStream, service: &ServiceHandle) -> Result<(), TransportError> {
    let mut lines = LineReader::new(stream, MAX_REPORT_BYTES);
    // Dropped before the socket is: whoever sees the connection end sees the count without it.
    let _connection = service.traffic.report_connection();
    let mut counted = 0;
    while let Some(report) = lines.read_within(IDLE_TIMEOUT).await? {
        service.traffic.report_bytes.add(lines.bytes_read() - counted);
        counted = lines.bytes_read();
        service.send(Message::Report(report)).await;
    }
    Ok(())
}
