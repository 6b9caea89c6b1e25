//! Processing of one batch: its records are dispatched to the policy instances, which then decide.

use crate::error::{BatchError, RecordError};
use crate::events::{read_event, RecordCode, Schema};
use crate::fields::Fields;
use crate::frame::Header;
use crate::reply::Reply;
use puffinladder::{AdmissionPolicy, RoundInput};
use std::collections::HashMap;

/// A policy instance and the input of its next round.
struct Instance {
    policy: AdmissionPolicy,
    schema: Schema,
    input: RoundInput,
    /// Whether the present batch holds records for it.
    has_input: bool,
}

impl Instance {
    /// Reads the seed and the start text of an instance.
    fn read(fields: &mut Fields) -> Result<Instance, RecordError> {
        let seed = fields.u64()?;
        let length = fields.u32()? as usize;
        let text = fields.take(length)?;
        let config = puffinladder_settings::parse_policy_config(text)?;
        let schema = Schema { gauges: config.gauges, classes: config.settings.classes.len() };
        Ok(Instance {
            policy: AdmissionPolicy::new(&config.settings, seed),
            schema,
            input: RoundInput::default(),
            has_input: true,
        })
    }
}

/// All policy instances of this process.
#[derive(Default)]
pub struct Instances {
    by_id: HashMap<u32, Instance>,
    /// Instances with input in this batch, in order of arrival.
    pending: Vec<u32>,
    reply: Reply,
}

impl Instances {
    /// Returns the reply to the last batch.
    pub fn reply(&mut self) -> &[u8] {
        self.reply.finish()
    }

    /// Decodes one batch, lets each instance with input decide, and encodes the reply.
    pub fn run_batch(&mut self, header: &Header, body: &[u8]) -> Result<(), BatchError> {
        self.reply.clear();
        self.pending.clear();
        let mut fields = Fields::new(body);
        let mut instance = None;
        for record in 1..=header.records {
            let offset = fields.offset();
            let read = self.read_record(&mut fields, &mut instance);
            read.map_err(|source| BatchError::Record { record, offset, source })?;
        }
        if fields.remaining() > 0 {
            return Err(BatchError::TrailingBytes { remaining: fields.remaining(), records: header.records });
        }
        self.decide(header.now);
        Ok(())
    }

    /// Lets each instance with input decide, in the order of arrival.
    fn decide(&mut self, now: f64) {
        for id in &self.pending {
            // The instance may have stopped, or have decided already after a restart.
            let Some(instance) = self.by_id.get_mut(id) else { continue };
            if !std::mem::take(&mut instance.has_input) {
                continue;
            }
            self.reply.begin_instance(*id);
            instance.policy.decide(&instance.input.round(now), &mut self.reply);
            instance.input.clear();
        }
    }

    /// Reads one record; `target` is the instance that the following records are for.
    fn read_record(&mut self, fields: &mut Fields, target: &mut Option<u32>) -> Result<(), RecordError> {
        let code = RecordCode::read(fields)?;
        if code == RecordCode::To {
            *target = Some(fields.u32()?);
            return Ok(());
        }
        let id = target.ok_or(RecordError::NoTarget { code: code as u8 })?;
        if code == RecordCode::Start {
            self.by_id.insert(id, Instance::read(fields)?);
            self.pending.push(id);
            return Ok(());
        }
        let unknown = RecordError::UnknownInstance { code: code as u8, instance: id };
        let instance = self.by_id.get_mut(&id).ok_or(unknown)?;
        if code == RecordCode::Stop {
            self.by_id.remove(&id);
            return Ok(());
        }
        if !std::mem::replace(&mut instance.has_input, true) {
            self.pending.push(id);
        }
        read_event(code, fields, &instance.schema, &mut instance.input)
    }
}
