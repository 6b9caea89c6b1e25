//! HTTP/1.1 client codec for store and registry.

use super::resp;
use thiserror::Error;

/// Maximum number of headers in a reply.
const MAX_HEADERS: usize = 32;

/// Encodes a request. `target` is method and path; `headers` holds additional header lines, each ending in CRLF.
pub fn write_request(target: &str, host: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("{target} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Reason why a reply cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReplyError {
    /// The head is not valid HTTP.
    #[error("malformed reply head: {0}")]
    MalformedHead(httparse::Error),
    /// The head exceeds the limit.
    #[error("reply head incomplete after {received} bytes, limit {limit}")]
    OversizedHead {
        /// Bytes received.
        received: usize,
        /// Maximum length of the head.
        limit: usize,
    },
    /// `Content-Length` is not a decimal number.
    #[error("Content-Length: expected a decimal number, got \"{0}\"")]
    MalformedLength(String),
    /// `Content-Length` occurs with different values.
    #[error("conflicting Content-Length values {first} and {second}")]
    ConflictingLengths {
        /// Value seen first.
        first: u64,
        /// Value that differs from it.
        second: u64,
    },
    /// The body uses a transfer coding.
    #[error("unsupported Transfer-Encoding \"{0}\"")]
    TransferCoding(String),
    /// The server switches to another protocol, so no reply follows.
    #[error("unsupported status 101, switching protocols")]
    ProtocolSwitch,
    /// The reply has no `Content-Length`.
    #[error("no Content-Length in reply with status {0}")]
    MissingLength(u16),
    /// The body exceeds the limit.
    #[error("reply body of {length} bytes exceeds the limit of {limit}")]
    OversizedBody {
        /// Length of the body by its `Content-Length`.
        length: u64,
        /// Maximum length of the body.
        limit: usize,
    },
}

/// A complete reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    pub status: u16,
    /// Whether the header `X-Not-Run: 1` is present.
    pub not_run: bool,
    pub body: &'a [u8],
}

/// Interim or final reply with its encoded size in bytes.
struct SizedReply<'a> {
    reply: Reply<'a>,
    size: usize,
}

/// Decodes the first final reply in `bytes`, skipping interim replies. Returns `None` if it is incomplete; bytes after it
/// are ignored.
///
/// # Errors
///
/// Fails if a reply is malformed, or its head or body exceeds `max_head` or `max_body` bytes.
pub fn read_reply(
    mut bytes: &[u8],
    max_head: usize,
    max_body: usize,
) -> Result<Option<Reply<'_>>, ReplyError> {
    loop {
        match read_single_reply(bytes, max_head, max_body)? {
            None => return Ok(None),
            Some(SizedReply { reply, .. }) if !(100..=199).contains(&reply.status) => return Ok(Some(reply)),
            Some(SizedReply { size, .. }) => bytes = &bytes[size..],
        }
    }
}

fn read_single_reply(
    bytes: &[u8],
    max_head: usize,
    max_body: usize,
) -> Result<Option<SizedReply<'_>>, ReplyError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_size = match head.parse(bytes).map_err(ReplyError::MalformedHead)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial if bytes.len() > max_head => {
            return Err(ReplyError::OversizedHead { received: bytes.len(), limit: max_head });
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or_default();
    let Headers { length, not_run } = read_headers(head.headers)?;
    let length = match length {
        _ if status == 101 => return Err(ReplyError::ProtocolSwitch),
        _ if matches!(status, 100..=199 | 204 | 304) => 0,
        Some(length) => length,
        None => return Err(ReplyError::MissingLength(status)),
    };
    let body_size = usize::try_from(length).ok().filter(|&size| size <= max_body);
    let body_size = body_size.ok_or(ReplyError::OversizedBody { length, limit: max_body })?;
    let Some(body) = bytes.get(head_size..head_size + body_size) else { return Ok(None) };
    Ok(Some(SizedReply { reply: Reply { status, not_run, body }, size: head_size + body_size }))
}

/// Headers relevant to decoding.
struct Headers {
    length: Option<u64>,
    not_run: bool,
}

fn read_headers(headers: &[httparse::Header]) -> Result<Headers, ReplyError> {
    let mut known = Headers { length: None, not_run: false };
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = resp::parse_decimal(header.value);
            let second = value.ok_or_else(|| ReplyError::MalformedLength(resp::excerpt(header.value)))?;
            if let Some(first) = known.length.replace(second).filter(|&first| first != second) {
                return Err(ReplyError::ConflictingLengths { first, second });
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ReplyError::TransferCoding(resp::excerpt(header.value)));
        } else if header.name.eq_ignore_ascii_case("x-not-run") {
            known.not_run = header.value == b"1";
        }
    }
    Ok(known)
}

#[cfg(test)]
mod tests;
