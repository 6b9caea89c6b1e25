//! Reports of one emulated server, as the serving process's thread sends them (`crates/server/src/lifecycle/publish.rs`): one line
//! after each pause, on a connection to each control service. One that takes a line too slowly is closed and opened anew for the
//! next line. Only the formats of reports that it offers are read from it.

use crate::connection_stats::{ConnectionStats, GaugeGuard, PeerConnection};
use puffinladder_reports::{max_report_bytes, LoadSample, ReportEncoder, ServerIdentity, IO_TIMEOUT};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes that are read at once of what a service says: its line is shorter.
const OFFER_CHUNK: usize = 256;

/// The connection to one control service.
#[derive(Default)]
struct ReportStream {
    open: Option<OpenStream>,
    connection: PeerConnection,
}

/// A connection that stands.
struct OpenStream {
    stream: TcpStream,
    encoder: ReportEncoder,
}

/// One report, before it is written in the format that a service reads.
struct Report<'a> {
    identity: &'a ServerIdentity,
    sample: &'a LoadSample,
    sequence: u64,
    created_at: f64,
    max_bytes: usize,
}

/// Sends reports until it is dropped; `state` is asked what happened in each span, in seconds.
pub async fn publish(
    identity: ServerIdentity,
    mut state: impl FnMut(f64) -> LoadSample,
    control: &[SocketAddr],
    interval: Duration,
    stats: &Arc<ConnectionStats>,
) {
    let started = Instant::now();
    let mut streams: Vec<ReportStream> = control.iter().map(|_| ReportStream::default()).collect();
    let mut connected = None;
    for sequence in 1u64.. {
        tokio::time::sleep(interval).await;
        let created_at = started.elapsed().as_secs_f64();
        let sample = state(interval.as_secs_f64());
        let max_bytes = max_report_bytes(control.len(), interval);
        let report = Report { identity: &identity, sample: &sample, sequence, created_at, max_bytes };
        for (address, stream) in control.iter().zip(&mut streams) {
            stream.send(*address, &report, stats).await;
        }
        if streams.iter().all(|stream| stream.open.is_none()) {
            connected = None;
        } else if connected.is_none() {
            connected = Some(GaugeGuard::new(stats, |stats| &stats.connected));
        }
    }
}

impl ReportStream {
    /// Sends a report, on a new connection if there is none. A line that left in part can't be taken back, so the connection ends
    /// with it.
    async fn send(&mut self, address: SocketAddr, report: &Report<'_>, stats: &Arc<ConnectionStats>) {
        if self.open.is_none() {
            let stream = connect(address).await;
            self.open =
                stream.map(|stream| OpenStream { stream, encoder: ReportEncoder::new(report.identity) });
            if self.open.is_some() {
                self.connection.opened(stats);
            }
        }
        let sent = match &mut self.open {
            Some(open) => open.send(report, stats).await.ok(),
            None => None,
        };
        if let Some(bytes) = sent {
            stats.sent.add(bytes);
            stats.messages_sent.add(1);
        } else {
            self.open = None;
            self.connection.closed();
        }
    }
}

impl OpenStream {
    /// Sends a report and returns its bytes.
    async fn send(&mut self, report: &Report<'_>, stats: &ConnectionStats) -> io::Result<u64> {
        self.read_offer(stats)?;
        let Report { identity, sample, sequence, created_at, max_bytes } = report;
        let line = self.encoder.line(identity, sample, *sequence, *created_at, *max_bytes);
        write_all(&mut self.stream, line.as_bytes()).await?;
        Ok(line.len() as u64)
    }

    /// Takes what the service has said by now; does not wait for it.
    fn read_offer(&mut self, stats: &ConnectionStats) -> io::Result<()> {
        if !self.encoder.awaits_offer() {
            return Ok(());
        }
        let mut chunk = [0; OFFER_CHUNK];
        match self.stream.try_read(&mut chunk) {
            Ok(count) => {
                stats.received.add(count as u64);
                self.encoder.receive(&chunk[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(IO_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Writes all, as long as something of it leaves within each [`IO_TIMEOUT`]: so does a blocking write with a timeout.
async fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(IO_TIMEOUT, stream.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
