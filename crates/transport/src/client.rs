//! Client side: connecting with a timeout, and single requests on a new connection.

use crate::lines::{write_line, LineReader, TransportError};
use serde::{de::DeserializeOwned, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time limit of opening a connection. It is short because clients can fall back to another server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection within [`CONNECT_TIMEOUT`] and disables Nagle's algorithm.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a new connection and reads the response, of at most `max_response_bytes`. `timeout` applies to writing
/// the request and to reading the response, each. Returns `None` if the server closes the connection without a response.
pub async fn request<Request: Serialize, Response: DeserializeOwned>(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
    max_response_bytes: usize,
) -> Result<Option<Response>, TransportError> {
    let mut stream = connect(address).await.map_err(TransportError::NotConnected)?;
    write_line(&mut stream, request, timeout).await?;
    LineReader::new(stream, max_response_bytes).read_within(timeout).await
}
