//! Nonces of updates, `UPDATE.REQUESTS`: the number of the update on its stream, and how many requests of the stream the service
//! had seen when it was sent. A proxy counts an update's lease from when it sent the last of those requests.

/// Writes a nonce.
pub(super) fn format(update: u64, requests_seen: u64) -> String {
    format!("{update}.{requests_seen}")
}

/// The number of the update that a nonce identifies; none where the service can't have written it.
pub(super) fn update_number(nonce: &str) -> Option<u64> {
    nonce.split_once('.')?.0.parse().ok()
}

/// How many requests of its stream an update had seen, by its nonce.
pub fn requests_seen(nonce: &str) -> Option<u64> {
    nonce.split_once('.')?.1.parse().ok()
}
