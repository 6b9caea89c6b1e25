//! Reports of servers: a TCP connection each, one JSON object a line, nothing back. A server that finds nobody goes on without.

use super::{Desk, Word};
use puffinladder_transport::{LineReader, TransportError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes of one report: a few thousand classes.
const MOST_LINE: usize = 1 << 20;
/// A connection that says nothing for so long is closed.
const SILENT: Duration = Duration::from_secs(30);
/// Connections at once.
const MOST: usize = 20_000;

pub async fn listen(listener: TcpListener, desk: Desk, stopped: watch::Receiver<bool>) {
    let each = |stream: TcpStream, from| {
        let desk = desk.clone();
        async move {
            if let Err(fault) = read(stream, &desk).await {
                tracing::warn!("reports from {from}: {fault}");
            }
            Ok(())
        }
    };
    puffinladder_transport::serve_connections(listener, "reports", MOST, stopped, each).await;
}

async fn read(stream: TcpStream, desk: &Desk) -> Result<(), TransportError> {
    let mut lines = LineReader::new(stream, MOST_LINE);
    // Dropped before the socket is: whoever sees the connection end sees the count without it.
    let _held = desk.meters.report_connection();
    let mut counted = 0;
    while let Some(report) = lines.read_within(SILENT).await? {
        desk.meters.report_bytes.add(lines.bytes_read() - counted);
        counted = lines.bytes_read();
        desk.tell(Word::Report(report)).await;
    }
    Ok(())
}
