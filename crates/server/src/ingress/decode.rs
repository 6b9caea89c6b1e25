//! Decoder of `CALL tag class fields body`, with validation against the configuration.

use crate::state::identifiers::{AttemptId, IdempotencyKey};
use crate::state::received_request::ReceivedRequest;
use crate::wire::resp::{self, Array};
use puffinladder::{Idempotency, Request};
use puffinladder_settings::{PolicyConfig, ServerConfig};
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use thiserror::Error;

/// Exclusive upper bound of field `m`, KB.
const MAX_MEMORY_KB: f64 = 2000.0;
/// Exclusive upper bound of field `p`.
const MAX_RANK: f64 = 1.0;
/// Maximum cost hint, in multiples of the class's timeout.
const MAX_COST_HINT_TIMEOUTS: f64 = 10.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Field names in decoding order: attempt id, timestamp, caller, tenant, retry, cost hint, memory, rank, idempotency key.
const FIELD_NAMES: &[u8; 9] = b"isftrhmpk";

/// Reason why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The class is not in the settings.
    #[error("unknown class \"{0}\"")]
    UnknownClass(String),
    /// The tenant is not in the settings.
    #[error("field t: unknown tenant \"{0}\"")]
    UnknownTenant(String),
    /// A field has no `=`.
    #[error("field without '=' in \"{0}\"")]
    MissingValue(String),
    /// A field's value is malformed or out of range.
    #[error("field {field}: expected {expected}, got \"{got}\"")]
    InvalidField {
        /// Name of the field.
        field: char,
        /// Accepted values.
        expected: String,
        /// Value received, shortened.
        got: String,
    },
}

impl DecodeError {
    fn invalid_field(field: char, expected: impl Into<String>, got: &[u8]) -> DecodeError {
        DecodeError::InvalidField { field, expected: expected.into(), got: resp::excerpt(got) }
    }
}

/// Decoder for the classes and tenants of a configuration.
pub struct RequestDecoder {
    config: Arc<ServerConfig>,
    /// Computes content digests.
    hasher: RandomState,
}

impl RequestDecoder {
    /// Creates a decoder for a configuration.
    pub fn new(config: Arc<ServerConfig>) -> RequestDecoder {
        RequestDecoder { config, hasher: RandomState::new() }
    }

    /// Decodes and validates a `CALL`.
    ///
    /// # Errors
    ///
    /// Fails if the class or tenant is unknown, or a field is malformed or out of range.
    pub fn decode(&self, array: &Array) -> Result<ReceivedRequest, DecodeError> {
        let policy = &self.config.policy;
        let class = find_class(policy, array.element(2))?;
        let fields = resp::parse_fields(array.element(3), FIELD_NAMES)
            .ok_or_else(|| DecodeError::MissingValue(resp::excerpt(array.element(3))))?;
        let [attempt, timestamp, caller, tenant, retry, hint, memory, rank, key] = fields;
        let attempt: AttemptId = parse_hex(attempt, 'i')?;
        let settings = &policy.settings.classes[class];
        let key: Option<IdempotencyKey> = match settings.idempotency {
            Idempotency::Keyed => Some(parse_hex(key, 'k')?),
            _ => None,
        };
        let tenant = find_tenant(policy, tenant)?;
        let (memory_kb, rank_value) = (parse_number(memory, 'm')?, parse_number(rank, 'p')?);
        let cost_hint = parse_number(hint, 'h')? / MILLISECONDS_PER_SECOND;
        let caller = parse_caller(caller)?;
        // The policy adds these values up: an excessive one would make it reject other requests.
        let max_cost_hint = MAX_COST_HINT_TIMEOUTS * settings.timeout;
        if memory_kb >= MAX_MEMORY_KB {
            let expected = format!("less than {MAX_MEMORY_KB} KB");
            return Err(DecodeError::invalid_field('m', expected, memory));
        }
        if rank_value >= MAX_RANK {
            return Err(DecodeError::invalid_field('p', format!("less than {MAX_RANK}"), rank));
        }
        if cost_hint > max_cost_hint {
            let expected = format!("at most {} ms", max_cost_hint * MILLISECONDS_PER_SECOND);
            return Err(DecodeError::invalid_field('h', expected, hint));
        }
        let is_retry = retry == b"1";
        let request = Request {
            class,
            tenant,
            cost_hint,
            memory: memory_kb,
            rank: rank_value,
            caller,
            is_retry,
            ..Request::default()
        };
        let milliseconds = resp::parse_decimal(timestamp)
            .ok_or_else(|| DecodeError::invalid_field('s', "a decimal number of milliseconds", timestamp))?;
        let timestamp = milliseconds as f64 / MILLISECONDS_PER_SECOND;
        let body = array.element(4).to_vec();
        let digest = key.map_or(0, |_| self.hasher.hash_one((class, &body)));
        let may_repeat_attempt = settings.idempotency != Idempotency::NonIdempotent;
        Ok(ReceivedRequest { attempt, key, digest, may_repeat_attempt, timestamp, request, body })
    }
}

fn find_class(policy: &PolicyConfig, name: &[u8]) -> Result<usize, DecodeError> {
    let text = std::str::from_utf8(name).unwrap_or_default();
    let index = policy.class_names.iter().position(|known| known == text);
    index.ok_or_else(|| DecodeError::UnknownClass(resp::excerpt(name)))
}

/// Returns the tenant's index. Any name is accepted if the settings list no tenants.
fn find_tenant(policy: &PolicyConfig, name: &[u8]) -> Result<usize, DecodeError> {
    match policy.tenant_names.iter().position(|known| known.as_bytes() == name) {
        Some(index) => Ok(index),
        None if policy.tenant_names.is_empty() => Ok(0),
        None => Err(DecodeError::UnknownTenant(resp::excerpt(name))),
    }
}

/// Returns `N` hex digits as received.
fn parse_hex<const N: usize>(text: &[u8], field: char) -> Result<[u8; N], DecodeError> {
    let digits = text.try_into().ok().filter(|digits: &[u8; N]| digits.iter().all(u8::is_ascii_hexdigit));
    digits.ok_or_else(|| DecodeError::invalid_field(field, format!("{N} hex digits"), text))
}

/// Parses a non-negative number; an absent one is 0.
fn parse_number(text: &[u8], field: char) -> Result<f64, DecodeError> {
    match text {
        b"" => Ok(0.0),
        _ => resp::parse_fraction(text)
            .ok_or_else(|| DecodeError::invalid_field(field, "a finite number from 0", text)),
    }
}

/// Parses a caller's number; an absent one is 0.
fn parse_caller(text: &[u8]) -> Result<u32, DecodeError> {
    let number = if text.is_empty() { Some(0) } else { resp::parse_decimal(text) };
    let number = number.and_then(|number| u32::try_from(number).ok());
    number.ok_or_else(|| DecodeError::invalid_field('f', "a decimal number of 32 bits", text))
}
