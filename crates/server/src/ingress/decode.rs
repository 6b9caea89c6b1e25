//! Decodes `CALL tag class fields body` and checks it against the configuration.

use crate::state::identifiers::{AttemptId, IdempotencyKey};
use crate::state::received_request::ReceivedRequest;
use crate::wire::resp::{self, Array};
use puffinladder::{Idempotency, Request};
use puffinladder_settings::{PolicyConfig, ServerConfig};
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use thiserror::Error;

/// KB under which a held request's memory stays, by the protocol.
const MAX_MEMORY_KB: f64 = 2000.0;
/// Ranks stay under this, by the protocol.
const MAX_RANK: f64 = 1.0;
/// Times of its class's timeout that a request may claim as its core time; more can't be meant.
const MAX_COST_HINT_TIMEOUTS: f64 = 10.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// The fields in the order in which they are decoded: attempt id, timestamp, caller, tenant, retry, cost hint, memory,
/// rank and idempotency key.
const FIELD_NAMES: &[u8; 9] = b"isftrhmpk";

/// Why a request can't be given to the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Its class is not in the settings.
    #[error("an unknown class")]
    UnknownClass,
    /// Its tenant is not in the settings.
    #[error("an unknown tenant")]
    UnknownTenant,
    /// A field has no `=`.
    #[error("a field without a value")]
    MissingValue,
    /// The field of this name can't be read.
    #[error("a wrong field {0}")]
    MalformedField(char),
    /// A figure that would spoil the policy's sums.
    #[error("a field h, m or p out of range")]
    OutOfRange,
}

/// Decodes requests by a configuration.
pub struct RequestDecoder {
    config: Arc<ServerConfig>,
    /// By which bodies are told apart.
    hasher: RandomState,
}

impl RequestDecoder {
    /// A decoder for the classes and tenants of this configuration.
    pub fn new(config: Arc<ServerConfig>) -> RequestDecoder {
        RequestDecoder { config, hasher: RandomState::new() }
    }

    /// Decodes a `CALL`.
    pub fn decode(&self, array: &Array) -> Result<ReceivedRequest, DecodeError> {
        let policy = &self.config.policy;
        let class = find_class(policy, array.element(2))?;
        let fields = resp::parse_fields(array.element(3), FIELD_NAMES).ok_or(DecodeError::MissingValue)?;
        let [attempt, timestamp, caller, tenant, retry, hint, memory, rank, key] = fields;
        let attempt: AttemptId = parse_hex(attempt).ok_or(DecodeError::MalformedField('i'))?;
        let settings = &policy.settings.classes[class];
        let key: Option<IdempotencyKey> = match settings.idempotency {
            Idempotency::Keyed => Some(parse_hex(key).ok_or(DecodeError::MalformedField('k'))?),
            _ => None,
        };
        let tenant = find_tenant(policy, tenant)?;
        let memory = parse_number(memory, 'm')?;
        let rank = parse_number(rank, 'p')?;
        let cost_hint = parse_number(hint, 'h')? / MILLISECONDS_PER_SECOND;
        let caller = parse_caller(caller)?;
        // The policy adds these up: one absurd figure would have all others rejected.
        let max_cost_hint = MAX_COST_HINT_TIMEOUTS * settings.timeout;
        if memory >= MAX_MEMORY_KB || rank >= MAX_RANK || cost_hint > max_cost_hint {
            return Err(DecodeError::OutOfRange);
        }
        let is_retry = retry == b"1";
        let request =
            Request { class, tenant, cost_hint, memory, rank, caller, is_retry, ..Request::default() };
        let milliseconds = resp::parse_decimal(timestamp).ok_or(DecodeError::MalformedField('s'))?;
        let timestamp = milliseconds as f64 / MILLISECONDS_PER_SECOND;
        let body = array.element(4).to_vec();
        let digest = key.map_or(0, |_| self.hasher.hash_one((class, &body)));
        Ok(ReceivedRequest { attempt, key, digest, timestamp, request, body })
    }
}

fn find_class(policy: &PolicyConfig, name: &[u8]) -> Result<usize, DecodeError> {
    let name = std::str::from_utf8(name).unwrap_or_default();
    policy.class_names.iter().position(|known| known == name).ok_or(DecodeError::UnknownClass)
}

/// Without tenants in the settings any name will do.
fn find_tenant(policy: &PolicyConfig, name: &[u8]) -> Result<usize, DecodeError> {
    match policy.tenant_names.iter().position(|known| known.as_bytes() == name) {
        Some(index) => Ok(index),
        None if policy.tenant_names.is_empty() => Ok(0),
        None => Err(DecodeError::UnknownTenant),
    }
}

/// Exactly `N` hex digits, as they came.
fn parse_hex<const N: usize>(text: &[u8]) -> Option<[u8; N]> {
    text.try_into().ok().filter(|digits: &[u8; N]| digits.iter().all(u8::is_ascii_hexdigit))
}

/// A number from 0 up; 0 where it is absent.
fn parse_number(text: &[u8], field: char) -> Result<f64, DecodeError> {
    match text {
        b"" => Ok(0.0),
        _ => resp::parse_fraction(text).ok_or(DecodeError::MalformedField(field)),
    }
}

/// A caller's number; 0 where it is absent.
fn parse_caller(text: &[u8]) -> Result<u32, DecodeError> {
    let number = if text.is_empty() { Some(0) } else { resp::parse_decimal(text) };
    number.and_then(|number| u32::try_from(number).ok()).ok_or(DecodeError::MalformedField('f'))
}
