//! Nonces of updates, `UPDATE.REQUESTS`: the number of the update on its stream, and the number of requests received on
//! the stream when it was sent. A lease starts when the proxy sent the last of those requests.

/// Formats a nonce.
pub(super) fn format(update: u64, requests_seen: u64) -> String {
    format!("{update}.{requests_seen}")
}

/// Returns the update number of a nonce; none if the nonce is malformed.
pub(super) fn update_number(nonce: &str) -> Option<u64> {
    nonce.split_once('.')?.0.parse().ok()
}

/// Returns the number of requests that the service had received when it sent the update; none if the nonce is malformed.
pub fn requests_seen(nonce: &str) -> Option<u64> {
    nonce.split_once('.')?.1.parse().ok()
}
