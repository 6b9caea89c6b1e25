//! One connection of a gateway.

use crate::WAIT_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The answer to a tag.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub tag: u64,
    pub status: String,
    pub fields: String,
    pub body: Vec<u8>,
}

pub struct Gateway {
    pub stream: TcpStream,
    input: Vec<u8>,
    tag: u64,
}

/// The Unix clock in milliseconds, as stamps have it.
pub fn unix_time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock past 1970").as_millis()
}

/// Names are new with every try.
static NEXT_ATTEMPT_ID: AtomicU64 = AtomicU64::new(1);

impl Gateway {
    pub fn connect(server: SocketAddr) -> Gateway {
        let stream = TcpStream::connect(server).expect("a server that accepts");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Gateway { stream, input: Vec::new(), tag: 0 }
    }

    /// Sends a txn under a new name, which it returns with the tag.
    pub fn call(&mut self, class: &str, more: &str, body: &[u8]) -> (u64, String) {
        let name = format!("{:016x}", NEXT_ATTEMPT_ID.fetch_add(1, Ordering::Relaxed));
        (self.call_with_id(&name, class, more, body), name)
    }

    /// Sends a txn under this name, and returns its tag.
    pub fn call_with_id(&mut self, attempt_id: &str, class: &str, more: &str, body: &[u8]) -> u64 {
        let now = unix_time_ms();
        let fields = format!("i={attempt_id},s={now},f=1,t=acme,h=10.5,m=20.5,p=0.5{more}");
        self.tag += 1;
        let tag = self.tag.to_string();
        self.send(&[b"CALL", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), body]);
        self.tag
    }

    /// Reads to the end of the connection; an error if it was reset.
    pub fn read_to_end(&mut self) -> std::io::Result<()> {
        self.stream.read_to_end(&mut Vec::new()).map(drop)
    }

    pub fn cancel(&mut self, tag: u64) {
        self.send(&[b"CANCEL", tag.to_string().as_bytes()]);
    }

    /// The answer to a health check.
    pub fn check_health(&mut self) -> Response {
        self.tag += 1;
        let tag = self.tag.to_string();
        self.send(&[b"CHECK", tag.as_bytes(), b""]);
        self.read_response().expect("an answer to a check")
    }

    pub fn send(&mut self, elements: &[&[u8]]) {
        self.stream.write_all(&encode_command(elements)).expect("a connection that takes bytes");
    }

    /// The next answer, or `None` at the end of the connection. A notice to leave has tag 0.
    pub fn read_response(&mut self) -> Option<Response> {
        loop {
            if let Some((elements, size)) = decode_array(&self.input) {
                self.input.drain(..size);
                let text = |at: usize| elements.get(at).map(|e| String::from_utf8_lossy(e).into_owned());
                return Some(Response {
                    tag: text(0).and_then(|tag| tag.parse().ok()).expect("a tag"),
                    status: text(1).expect("a word"),
                    fields: text(2).unwrap_or_default(),
                    body: elements.get(3).cloned().unwrap_or_default(),
                });
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => self.input.extend(&bytes[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no answer: {e}"),
            }
        }
    }
}

/// An array of bulk strings, as bytes.
pub fn encode_command(elements: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", elements.len()).into_bytes();
    for element in elements {
        out.extend(format!("${}\r\n", element.len()).as_bytes());
        out.extend_from_slice(element);
        out.extend(b"\r\n");
    }
    out
}

/// The first array, if it is whole, and its size.
fn decode_array(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let mut at = 0;
    let number = |from: &mut usize| -> Option<usize> {
        let end = bytes[*from..].windows(2).position(|pair| pair == b"\r\n")? + *from;
        let value = std::str::from_utf8(&bytes[*from + 1..end]).ok()?.parse().ok()?;
        *from = end + 2;
        Some(value)
    };
    let count = number(&mut at)?;
    let mut elements = Vec::new();
    for _ in 0..count {
        let len = number(&mut at)?;
        elements.push(bytes.get(at..at + len)?.to_vec());
        bytes.get(at + len..at + len + 2)?;
        at += len + 2;
    }
    Some((elements, at))
}
