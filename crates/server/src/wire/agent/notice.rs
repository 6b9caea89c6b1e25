//! Notices of the agent, one JSON object per line.

use super::link::REPLAY_MARK;
use base64::prelude::{Engine, BASE64_STANDARD};
use puffinladder::Outcome;
use serde_json::Value;
use thiserror::Error;

const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Error: field `body` is not valid base64.
#[derive(Debug, Error)]
#[error("field body: expected base64: {0}")]
pub struct MalformedBody(base64::DecodeError);

/// Notice of the agent.
pub enum Notice<'a> {
    /// The agent is up, in this state.
    Greeting { state: &'a str },
    /// All notices from before the connection have been replayed.
    ReplayEnd,
    /// Answer to a gauge poll, in the order of the meters in the settings.
    Gauges { tag: &'a str, values: &'a [Value] },
    /// A run waits at a downstream call.
    AtCall { sequence: u64, body: Vec<u8> },
    /// A run has ended.
    Ended { outcome: Outcome, duration: f64, body: Vec<u8> },
    /// The agent refuses a command.
    Refusal { command: &'a str },
    /// Notice of an unknown type.
    Unknown,
}

/// Returns the string under a key, empty if absent.
pub fn string_field<'a>(line: &'a Value, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Returns the notice's sequence number, if it has one.
pub fn sequence_number(line: &Value) -> Option<u64> {
    line.get("seq").and_then(Value::as_u64)
}

impl Notice<'_> {
    /// Parses a notice.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid base64.
    pub fn parse(line: &Value) -> Result<Notice<'_>, MalformedBody> {
        let notice = match string_field(line, "op") {
            "greeting" => Notice::Greeting { state: string_field(line, "end") },
            "sampled" if string_field(line, "tag") == REPLAY_MARK => Notice::ReplayEnd,
            "sampled" => {
                let values = line.get("values").and_then(Value::as_array);
                Notice::Gauges {
                    tag: string_field(line, "tag"),
                    values: values.map(Vec::as_slice).unwrap_or_default(),
                }
            }
            "request" => Notice::AtCall {
                sequence: sequence_number(line).unwrap_or_default(),
                body: parse_body(line)?,
            },
            "outcome" => {
                let milliseconds = line.get("ms").and_then(Value::as_f64).unwrap_or_default();
                let duration = milliseconds / MILLISECONDS_PER_SECOND;
                Notice::Ended {
                    outcome: parse_outcome(string_field(line, "end")),
                    duration,
                    body: parse_body(line)?,
                }
            }
            "refusal" => Notice::Refusal { command: string_field(line, "end") },
            _ => Notice::Unknown,
        };
        Ok(notice)
    }
}

fn parse_outcome(end: &str) -> Outcome {
    match end {
        "fine" => Outcome::Completed,
        "broken_off" => Outcome::Cancelled,
        "late" => Outcome::NotNeeded,
        _ => Outcome::Failed,
    }
}

fn parse_body(line: &Value) -> Result<Vec<u8>, MalformedBody> {
    BASE64_STANDARD.decode(string_field(line, "body")).map_err(MalformedBody)
}
