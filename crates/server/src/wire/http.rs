//! HTTP/1.1 as spoken with store and registry.

use super::resp;
use thiserror::Error;

/// Most headers of a reply.
const MAX_HEADERS: usize = 32;

/// A request; `headers` holds further headers, each with its line end.
pub fn write_request(target: &str, host: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("{target} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// What makes a reply unreadable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReplyError {
    /// Its head is no HTTP.
    #[error("an unreadable head")]
    MalformedHead,
    /// Its head is longer than allowed.
    #[error("an oversized head")]
    OversizedHead,
    /// Its length is no number.
    #[error("a wrong length")]
    MalformedLength,
    /// It has lengths that differ.
    #[error("two lengths")]
    ConflictingLengths,
    /// Its body is not sent as it is.
    #[error("a transfer coding")]
    TransferCoding,
    /// The other side goes on in another protocol: nothing behind it is a reply.
    #[error("a change of protocol")]
    ProtocolSwitch,
    /// Its body's end can't be told.
    #[error("no length")]
    MissingLength,
    /// Its body is longer than allowed.
    #[error("an oversized body")]
    OversizedBody,
}

/// A complete reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    /// The status code.
    pub status: u16,
    /// It says `X-Not-Run: 1`.
    pub not_run: bool,
    /// The body.
    pub body: &'a [u8],
}

/// A reply of any kind, and how many bytes it took.
struct SizedReply<'a> {
    reply: Reply<'a>,
    size: usize,
}

/// The first final reply in `bytes`, or `None` while it is not all there. Interim ones before it say nothing, and what
/// stands behind it is not its own.
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
    let head_size = match head.parse(bytes).map_err(|_| ReplyError::MalformedHead)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial if bytes.len() > max_head => return Err(ReplyError::OversizedHead),
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or_default();
    let Headers { length, not_run } = read_headers(head.headers)?;
    let length = match length {
        _ if status == 101 => return Err(ReplyError::ProtocolSwitch),
        _ if matches!(status, 100..=199 | 204 | 304) => 0,
        Some(length) => length,
        None => return Err(ReplyError::MissingLength),
    };
    let length = usize::try_from(length).ok().filter(|&length| length <= max_body);
    let length = length.ok_or(ReplyError::OversizedBody)?;
    let Some(body) = bytes.get(head_size..head_size + length) else { return Ok(None) };
    Ok(Some(SizedReply { reply: Reply { status, not_run, body }, size: head_size + length }))
}

/// The headers that count.
struct Headers {
    length: Option<u64>,
    not_run: bool,
}

fn read_headers(headers: &[httparse::Header]) -> Result<Headers, ReplyError> {
    let mut known = Headers { length: None, not_run: false };
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = resp::parse_decimal(header.value).ok_or(ReplyError::MalformedLength)?;
            if known.length.replace(value).is_some_and(|other| other != value) {
                return Err(ReplyError::ConflictingLengths);
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ReplyError::TransferCoding);
        } else if header.name.eq_ignore_ascii_case("x-not-run") {
            known.not_run = header.value == b"1";
        }
    }
    Ok(known)
}

#[cfg(test)]
mod tests;
