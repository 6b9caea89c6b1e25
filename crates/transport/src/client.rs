//! The client's side: connections that open within a bound, and requests on a connection of their own.

use crate::lines::{write_line, LineReader, TransportError};
use serde::{de::DeserializeOwned, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long a connection may take to open: processes of one fleet reach each other well within it, and a client has another server to turn to.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection without Nagle's delay, within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a connection of its own and reads the response, which is at most `max_response_bytes` long. Writing the request and waiting for the
/// response may take `timeout` each. None is returned where the server closed the connection without a response.
pub async fn request<Request: Serialize, Response: DeserializeOwned>(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
    max_response_bytes: usize,
) -> Result<Option<Response>, TransportError> {
    let mut stream = connect(address).await?;
    write_line(&mut stream, request, timeout).await?;
    LineReader::new(stream, max_response_bytes).read_within(timeout).await
}
