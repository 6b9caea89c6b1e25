//! Reports of servers: a TCP connection each, one JSON object a line. After the first report the service writes one line, the formats
//! that it reads; servers of earlier versions don't read it, and who sends no report is told nothing. A server that finds no service
//! goes on without.

use super::handle::{Message, ServiceHandle};
use crate::report::decoder::{DecodeError, NameTable, ReportDecoder};
use puffinladder_reports::compact::FormatOffer;
use puffinladder_transport::{write_line, LineReader, TransportError};
use serde_json::value::RawValue;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes of one report at the most: a few thousand classes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// A connection without a report for so long is closed: servers report several times a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The line of formats has left within this time, as on any connection that is alive.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections at once: as many as the servers that are remembered.
const MAX_CONNECTIONS: usize = 20_000;

/// Why a connection of reports was closed.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Transport(#[from] TransportError),
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// Takes reports until the service is stopped.
pub(super) async fn serve(listener: TcpListener, service: ServiceHandle, stopped: watch::Receiver<bool>) {
    let names = NameTable::default();
    let handle_connection = |stream: TcpStream, peer| {
        let (service, decoder) = (service.clone(), ReportDecoder::new(names.clone()));
        async move {
            if let Err(error) = read_reports(stream, &service, decoder).await {
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

async fn read_reports(
    stream: TcpStream,
    service: &ServiceHandle,
    mut decoder: ReportDecoder,
) -> Result<(), ReportError> {
    // Dropped before the socket is: whoever sees the connection end sees the count without it.
    let _connection = service.traffic.open_report_connection();
    let (reader, mut writer) = stream.into_split();
    let mut lines = LineReader::new(reader, MAX_REPORT_BYTES);
    let (mut bytes_counted, mut offer_sent) = (0, false);
    while let Some(line) = lines.read_within::<Box<RawValue>>(IDLE_TIMEOUT).await? {
        service.traffic.report_bytes.add(lines.bytes_read() - bytes_counted);
        bytes_counted = lines.bytes_read();
        let report = decoder.decode(line.get())?;
        if !offer_sent {
            write_line(&mut writer, &FormatOffer::supported(), OFFER_TIMEOUT).await?;
            offer_sent = true;
        }
        service.send(Message::Report(report)).await;
    }
    Ok(())
}
