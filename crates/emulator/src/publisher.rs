//! Reports of one emulated server, as the serving process's thread sends them (`crates/server/src/lifecycle/publish.rs`): one line
//! after each pause, on a connection to each control service. One that takes a line too slowly is closed and opened anew for the
//! next line. Nothing is read from it.

use crate::connection_stats::{ConnectionStats, GaugeGuard, PeerConnection};
use puffinladder_reports::{LoadSample, ServerIdentity, IO_TIMEOUT};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The connection to one control service.
#[derive(Default)]
struct ReportStream {
    stream: Option<TcpStream>,
    connection: PeerConnection,
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
        let line = identity.report_line(&state(interval.as_secs_f64()), sequence, created_at);
        for (address, stream) in control.iter().zip(&mut streams) {
            stream.send(*address, line.as_bytes(), stats).await;
        }
        if streams.iter().all(|stream| stream.stream.is_none()) {
            connected = None;
        } else if connected.is_none() {
            connected = Some(GaugeGuard::new(stats, |stats| &stats.connected));
        }
    }
}

impl ReportStream {
    /// Sends a line, on a new connection if there is none. A line that left in part can't be taken back, so the connection ends
    /// with it.
    async fn send(&mut self, address: SocketAddr, line: &[u8], stats: &Arc<ConnectionStats>) {
        if self.stream.is_none() {
            self.stream = connect(address).await;
            if self.stream.is_some() {
                self.connection.opened(stats);
            }
        }
        let sent = match &mut self.stream {
            Some(stream) => write_all(stream, line).await.is_ok(),
            None => false,
        };
        if sent {
            stats.sent.add(line.len() as u64);
            stats.messages_sent.add(1);
        } else {
            self.stream = None;
            self.connection.closed();
        }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(IO_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Writes all, as long as something of it leaves within each [`IO_TIMEOUT`]: so does a blocking write with a timeout.
async fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(IO_TIMEOUT, stream.write(bytes)).await??;
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
