//! Listener for load reports: one TCP connection per server, one JSON object per line.
//!
//! After the first report the service sends one line, its format offer; servers of earlier versions ignore it.

use super::handle::{Message, ServiceHandle};
use crate::report::decoder::{DecodeError, NameTable, ReportDecoder};
use puffinladder_reports::compact::FormatOffer;
use puffinladder_transport::{write_line, LineLimits, LineReader, MemoryBudget, SenderNames, TransportError};
use serde_json::value::RawValue;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum size of a report, bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Servers that one connection may report for. A server's own reports for one, a bench's for its whole fleet.
const MAX_SERVERS_PER_CONNECTION: usize = 1024;
/// Time without a report after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from the first byte of a report to its last.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Memory of a decoded report per byte of its line; lists of short names take the most.
const DECODED_BYTES_PER_BYTE: usize = 10;
/// Memory of all connections for reports that are incomplete or not handled, bytes. Holds eight reports of the maximum size.
const REPORT_MEMORY_BYTES: usize = 8 * (DECODED_BYTES_PER_BYTE + 1) * MAX_REPORT_BYTES;
/// Timeout of sending the format offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent connections: the number of servers that the fleet tracks.
const MAX_CONNECTIONS: usize = 20_000;

/// Error that closes a report connection.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Transport(#[from] TransportError),
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// Accepts report connections until the service is stopped.
pub(super) async fn serve(listener: TcpListener, service: ServiceHandle, stopped: watch::Receiver<bool>) {
    let names = NameTable::default();
    let limits = LineLimits {
        max_line_bytes: MAX_REPORT_BYTES,
        line_timeout: LINE_TIMEOUT,
        decoded_bytes_per_byte: DECODED_BYTES_PER_BYTE,
        memory: MemoryBudget::new(REPORT_MEMORY_BYTES),
    };
    let handle_connection = |stream: TcpStream, peer| {
        let (service, decoder) = (service.clone(), ReportDecoder::new(names.clone()));
        let limits = limits.clone();
        async move {
            if let Err(error) = read_reports(stream, limits, &service, decoder).await {
                tracing::warn!("report connection from {peer} closed: {error}");
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

async fn read_reports(
    stream: TcpStream,
    limits: LineLimits,
    service: &ServiceHandle,
    mut decoder: ReportDecoder,
) -> Result<(), ReportError> {
    // Dropped before the socket, so that the count is updated before the peer sees the connection close.
    let _connection = service.traffic.open_report_connection();
    let (reader, mut writer) = stream.into_split();
    let mut lines = LineReader::with_limits(reader, limits);
    let mut servers = SenderNames::new(MAX_SERVERS_PER_CONNECTION);
    let (mut bytes_counted, mut offer_sent) = (0, false);
    while let Some(line) = lines.read_within::<Box<RawValue>>(IDLE_TIMEOUT).await? {
        service.traffic.report_bytes.add(lines.bytes_read() - bytes_counted);
        bytes_counted = lines.bytes_read();
        let report = decoder.decode(line.get())?;
        servers.admit(&report.instance)?;
        if !offer_sent {
            write_line(&mut writer, &FormatOffer::supported(), OFFER_TIMEOUT).await?;
            offer_sent = true;
        }
        let memory = lines.take_reservation();
        service.send(Message::Report { report, memory }).await;
    }
    Ok(())
}
