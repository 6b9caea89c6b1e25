//! HTTP/1.1 as spoken with store and roster.

/// A request; `more` holds further headers, each with its line end.
pub fn request(target: &str, host: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!("{target} HTTP/1.1\r\nHost: {host}\r\n{more}Content-Length: {len}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// A whole reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    pub status: u16,
    /// `X-Not-Run: 1`
    pub not_run: bool,
    pub body: &'a [u8],
}

const HEADERS: usize = 32;

/// The first final reply in `bytes`, or `None` while it is not all there. Interim ones before it say nothing,
/// and what stands behind it is not its own.
pub fn reply(
    mut bytes: &[u8],
    head_most: usize,
    body_most: usize,
) -> Result<Option<Reply<'_>>, &'static str> {
    loop {
        match next(bytes, head_most, body_most)? {
            None => return Ok(None),
            Some((reply, _)) if !(100..=199).contains(&reply.status) => return Ok(Some(reply)),
            Some((_, size)) => bytes = &bytes[size..],
        }
    }
}

/// The first reply of any kind, and its size.
fn next(
    bytes: &[u8],
    head_most: usize,
    body_most: usize,
) -> Result<Option<(Reply<'_>, usize)>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let at = match head.parse(bytes).map_err(|_| "an unreadable head")? {
        httparse::Status::Complete(at) => at,
        httparse::Status::Partial if bytes.len() > head_most => return Err("an oversized head"),
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or_default();
    let (mut len, mut not_run) = (None, false);
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = super::resp::decimal(header.value).ok_or("a wrong length")?;
            if len.replace(value).is_some_and(|other| other != value) {
                return Err("two lengths");
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err("a transfer coding");
        } else if header.name.eq_ignore_ascii_case("x-not-run") {
            not_run = header.value == b"1";
        }
    }
    let len = match len {
        // The other side goes on in another protocol: nothing behind it is a reply.
        _ if status == 101 => return Err("a change of protocol"),
        _ if matches!(status, 100..=199 | 204 | 304) => 0,
        Some(len) => len,
        None => return Err("no length"),
    };
    let len = usize::try_from(len).ok().filter(|&len| len <= body_most).ok_or("an oversized body")?;
    let Some(body) = bytes.get(at..at + len) else { return Ok(None) };
    Ok(Some((Reply { status, not_run, body }, at + len)))
}

#[cfg(test)]
mod tests;
