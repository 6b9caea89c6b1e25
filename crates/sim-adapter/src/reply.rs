//! Encoding of the reply to a batch: the decisions of the policies.

use crate::fields::MILLISECONDS_PER_SECOND;
use puffinladder::{Decisions, Reason};

/// Codes of the actions in a reply.
mod code {
    /// Run a request.
    pub const RUN: u8 = 10;
    /// Reject a request, with a Retry-After.
    pub const REJECT: u8 = 20;
    /// Fail a request.
    pub const FAIL: u8 = 30;
    /// Preempt a run.
    pub const PREEMPT: u8 = 40;
    /// Permit a request to make its downstream call.
    pub const ALLOW_CALL: u8 = 50;
    /// Resume a request without its call.
    pub const SKIP_CALL: u8 = 60;
    /// Remember the idempotency key of a request.
    pub const REMEMBER_KEY: u8 = 70;
    /// Forget the idempotency key of a request.
    pub const FORGET_KEY: u8 = 80;
    /// Settle a retry with an earlier result.
    pub const REPLAY_RESULT: u8 = 90;
    /// Set the health-check answer.
    pub const HEALTH: u8 = 100;
    /// Set the load signal on answers.
    pub const LOAD_SIGNAL: u8 = 110;
    /// Set the keepalive timeout of unused connections.
    pub const KEEPALIVE: u8 = 120;
    /// Schedule a round with gauges.
    pub const TICK: u8 = 130;
    /// Log a line for operators.
    pub const LOG: u8 = 140;
    /// The following actions are for this instance.
    pub const INSTANCE: u8 = 160;
}

/// Bytes of the length field, which the length does not include.
const LENGTH_BYTES: usize = 4;
/// Bytes before the first action: the length and the number of records.
const HEADER_BYTES: usize = 8;

/// Buffer of the reply. The actions of an instance follow its instance record.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
    /// Instance that decides now, until its first action is written.
    instance: Option<u32>,
}

impl Reply {
    /// Clears the buffer for the next reply and keeps its allocation.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.extend([0; HEADER_BYTES]);
        self.records = 0;
        self.instance = None;
    }

    /// Sets the instance of the following actions.
    pub fn begin_instance(&mut self, id: u32) {
        self.instance = Some(id);
    }

    /// Fills in the header and returns the whole reply.
    pub fn finish(&mut self) -> &[u8] {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        self.bytes[LENGTH_BYTES..HEADER_BYTES].copy_from_slice(&self.records.to_le_bytes());
        &self.bytes
    }

    /// Starts an action and returns the buffer for its fields.
    fn put(&mut self, code: u8) -> &mut Vec<u8> {
        if let Some(instance) = self.instance.take() {
            self.bytes.push(code::INSTANCE);
            self.bytes.extend(instance.to_le_bytes());
            self.records += 1;
        }
        self.records += 1;
        self.bytes.push(code);
        &mut self.bytes
    }

    fn put_request(&mut self, code: u8, id: u32) -> &mut Vec<u8> {
        let bytes = self.put(code);
        bytes.extend(id.to_le_bytes());
        bytes
    }
}

/// Encodes seconds as milliseconds of the wire.
fn milliseconds(seconds: f64) -> [u8; 8] {
    (seconds * MILLISECONDS_PER_SECOND).to_le_bytes()
}

/// Truncates a text at a character boundary to a length that fits in two bytes.
fn truncate_to_u16_length(text: &str) -> &str {
    let mut end = text.len().min(u16::MAX.into());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

impl Decisions for Reply {
    fn run(&mut self, id: u32) {
        self.put_request(code::RUN, id);
    }

    fn reject(&mut self, id: u32, retry_after: f64, do_not_forward: bool, _reason: Reason) {
        let bytes = self.put_request(code::REJECT, id);
        bytes.extend(milliseconds(retry_after));
        bytes.push(do_not_forward.into());
    }

    fn fail(&mut self, id: u32, _reason: Reason) {
        self.put_request(code::FAIL, id);
    }

    fn preempt(&mut self, id: u32) {
        self.put_request(code::PREEMPT, id);
    }

    fn allow_call(&mut self, id: u32, timeout: f64) {
        self.put_request(code::ALLOW_CALL, id).extend(milliseconds(timeout));
    }

    fn skip_call(&mut self, id: u32) {
        self.put_request(code::SKIP_CALL, id);
    }

    fn remember_key(&mut self, id: u32, duration: f64) {
        self.put_request(code::REMEMBER_KEY, id).extend(milliseconds(duration));
    }

    fn forget_key(&mut self, id: u32) {
        self.put_request(code::FORGET_KEY, id);
    }

    fn replay_result(&mut self, id: u32) {
        self.put_request(code::REPLAY_RESULT, id);
    }

    fn set_health(&mut self, is_healthy: bool, is_cacheable: bool) {
        self.put(code::HEALTH).extend([u8::from(is_healthy), u8::from(is_cacheable)]);
    }

    fn set_load_signal(&mut self, signal: f64) {
        self.put(code::LOAD_SIGNAL).extend((signal as f32).to_le_bytes());
    }

    fn set_keepalive(&mut self, timeout: f64) {
        self.put(code::KEEPALIVE).extend(milliseconds(timeout));
    }

    fn schedule_tick(&mut self, delay: f64) {
        let label = 0u32; // the policy uses a single timer
        let bytes = self.put(code::TICK);
        bytes.extend(milliseconds(delay));
        bytes.extend(label.to_le_bytes());
    }

    fn log(&mut self, text: &str) {
        let text = truncate_to_u16_length(text);
        let bytes = self.put(code::LOG);
        bytes.extend((text.len() as u16).to_le_bytes());
        bytes.extend(text.as_bytes());
    }
}
