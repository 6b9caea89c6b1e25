//! Client side of the gateway protocol: one connection of a gateway to a server.

use crate::WAIT_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// A response to the request with the same tag, or a notice of the server with tag 0.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub tag: u64,
    /// `200`, `503`, `500`, a health or `goaway`.
    pub status: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// A connection to a server.
pub struct Gateway {
    pub stream: TcpStream,
    input: Vec<u8>,
    last_tag: u64,
}

/// Returns the Unix time in milliseconds, the unit of timestamps on the wire.
pub fn unix_time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970").as_millis()
}

static NEXT_ATTEMPT_ID: AtomicU64 = AtomicU64::new(1);

impl Gateway {
    /// Connects to a server. Reads fail after [`WAIT_TIMEOUT`].
    pub fn connect(server: SocketAddr) -> Gateway {
        let stream = TcpStream::connect(server).unwrap_or_else(|e| panic!("connecting to {server}: {e}"));
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout can be set");
        stream.set_nodelay(true).expect("TCP_NODELAY can be set");
        Gateway { stream, input: Vec::new(), last_tag: 0 }
    }

    /// Sends a request with a new attempt id. Returns its tag and the attempt id.
    pub fn call(&mut self, class: &str, extra_fields: &str, body: &[u8]) -> (u64, String) {
        let attempt_id = format!("{:016x}", NEXT_ATTEMPT_ID.fetch_add(1, Ordering::Relaxed));
        (self.call_with_id(&attempt_id, class, extra_fields, body), attempt_id)
    }

    /// Sends a request with the given attempt id and returns its tag. `extra_fields` is appended to the default fields
    /// and overrides them.
    pub fn call_with_id(&mut self, attempt_id: &str, class: &str, extra_fields: &str, body: &[u8]) -> u64 {
        let now = unix_time_ms();
        let fields = format!("i={attempt_id},s={now},f=1,t=acme,h=10.5,m=20.5,p=0.5{extra_fields}");
        self.last_tag += 1;
        let tag = self.last_tag.to_string();
        self.send(&[b"CALL", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), body]);
        self.last_tag
    }

    /// Reads until the server closes the connection. Fails if the connection is reset.
    pub fn read_to_end(&mut self) -> std::io::Result<()> {
        self.stream.read_to_end(&mut Vec::new()).map(drop)
    }

    /// Waits until bytes can be read, without reading them, or until the server closes the connection.
    pub fn wait_readable(&self) {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                result => {
                    result.expect("the server responds");
                    return;
                }
            }
        }
    }

    /// Cancels the request with this tag.
    pub fn cancel(&mut self, tag: u64) {
        self.send(&[b"CANCEL", tag.to_string().as_bytes()]);
    }

    /// Sends a health check and returns the next response.
    pub fn check_health(&mut self) -> Response {
        self.last_tag += 1;
        let tag = self.last_tag.to_string();
        self.send(&[b"CHECK", tag.as_bytes(), b""]);
        self.read_response().expect("the server answers a health check")
    }

    /// Sends one command.
    pub fn send(&mut self, elements: &[&[u8]]) {
        self.stream.write_all(&encode_command(elements)).expect("the server accepts a command");
    }

    /// Returns the next response, or `None` once the connection is closed or reset. A `goaway` notice has tag 0.
    pub fn read_response(&mut self) -> Option<Response> {
        loop {
            if let Some((elements, size)) = decode_array(&self.input) {
                self.input.drain(..size);
                let text = |index: usize| {
                    elements.get(index).map(|element| String::from_utf8_lossy(element).into_owned())
                };
                return Some(Response {
                    tag: text(0).and_then(|tag| tag.parse().ok()).expect("a response has a numeric tag"),
                    status: text(1).expect("a response has a status"),
                    fields: text(2).unwrap_or_default(),
                    body: elements.get(3).cloned().unwrap_or_default(),
                });
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => self.input.extend(&bytes[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                // A wait with a timeout ends when a child process of the test stops or exits.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => panic!("reading a response: {e}"),
            }
        }
    }
}

/// Encodes a command as a RESP array of bulk strings.
pub fn encode_command(elements: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", elements.len()).into_bytes();
    for element in elements {
        out.extend(format!("${}\r\n", element.len()).as_bytes());
        out.extend_from_slice(element);
        out.extend(b"\r\n");
    }
    out
}

/// Decodes the first RESP array. Returns its elements and its size in bytes, or `None` if it is incomplete.
fn decode_array(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let mut position = 0;
    let read_number = |position: &mut usize| -> Option<usize> {
        let end = bytes[*position..].windows(2).position(|pair| pair == b"\r\n")? + *position;
        let value = std::str::from_utf8(&bytes[*position + 1..end]).ok()?.parse().ok()?;
        *position = end + 2;
        Some(value)
    };
    let count = read_number(&mut position)?;
    let mut elements = Vec::new();
    for _ in 0..count {
        let length = read_number(&mut position)?;
        elements.push(bytes.get(position..position + length)?.to_vec());
        bytes.get(position + length..position + length + 2)?;
        position += length + 2;
    }
    Some((elements, position))
}
