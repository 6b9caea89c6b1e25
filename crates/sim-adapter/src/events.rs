//! Decoding of the input records.

use crate::error::RecordError;
use crate::fields::Fields;
use puffinladder::{Gauges, Request, RoundInput};
use puffinladder_settings::GaugeKind;

/// Code of an input record.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RecordCode {
    /// An instance starts, with a seed and its start text.
    Start = 10,
    /// A request was read.
    Submit = 20,
    /// A run ended.
    RunFinished = 30,
    /// A run reached its downstream call.
    CallReached = 40,
    /// A downstream call ended.
    CallFinished = 50,
    /// Notice to drain.
    Drain = 60,
    /// A caller abandoned its request.
    Abandoned = 70,
    /// A scheduled tick is due.
    Tick = 80,
    /// An instance stops.
    Stop = 90,
    /// The following records are for this instance.
    To = 100,
}

impl RecordCode {
    /// Reads the code of a record.
    pub fn read(fields: &mut Fields) -> Result<RecordCode, RecordError> {
        Ok(match fields.u8()? {
            10 => RecordCode::Start,
            20 => RecordCode::Submit,
            30 => RecordCode::RunFinished,
            40 => RecordCode::CallReached,
            50 => RecordCode::CallFinished,
            60 => RecordCode::Drain,
            70 => RecordCode::Abandoned,
            80 => RecordCode::Tick,
            90 => RecordCode::Stop,
            100 => RecordCode::To,
            other => return Err(RecordError::UnknownCode(other)),
        })
    }
}

/// Properties of an instance that are needed to decode its records.
pub struct Schema {
    /// Gauges of a tick, in the order of their values.
    pub gauges: Vec<GaugeKind>,
    /// Number of request classes.
    pub classes: usize,
}

/// Reads the fields of an event and adds it to the next round of its instance.
pub fn read_event(
    code: RecordCode,
    fields: &mut Fields,
    schema: &Schema,
    input: &mut RoundInput,
) -> Result<(), RecordError> {
    match code {
        RecordCode::Submit => input.arrivals.push(read_request(fields, schema)?),
        RecordCode::RunFinished => input.finished_runs.push(fields.completion()?),
        RecordCode::CallReached => input.awaiting_call.push(fields.u32()?),
        RecordCode::CallFinished => input.finished_calls.push(fields.completion()?),
        RecordCode::Drain => input.drain_deadline = Some(fields.seconds()?),
        RecordCode::Abandoned => input.abandoned.push(fields.u32()?),
        RecordCode::Tick => input.tick = Some(read_gauges(fields, schema)?),
        // Handled by `Instances::read_record`.
        RecordCode::Start | RecordCode::Stop | RecordCode::To => {}
    }
    Ok(())
}

/// Bit of the request options: the cost hint is set.
const HAS_HINT: u8 = 1;
/// Bit of the request options: the request is a retry or a hedged request.
const IS_RETRY: u8 = 2;

fn read_request(fields: &mut Fields, schema: &Schema) -> Result<Request, RecordError> {
    let id = fields.u32()?;
    let class = fields.u16()?.into();
    let tenant = fields.u16()?.into();
    let _subject = fields.u64()?;
    let deadline = fields.seconds()?;
    let cost_hint = fields.seconds()?;
    let memory = fields.f32()?;
    let rank = fields.f32()?;
    let options = fields.u8()?;
    let request = Request {
        id,
        class,
        tenant,
        deadline,
        cost_hint: if options & HAS_HINT == 0 { 0.0 } else { cost_hint },
        memory,
        rank,
        is_retry: options & IS_RETRY != 0,
        caller: fields.u32()?,
        time_unread: fields.seconds()?,
        earlier_attempt: fields.u32()?,
    };
    if class >= schema.classes {
        return Err(RecordError::UnknownClass { request: id, class, classes: schema.classes });
    }
    Ok(request)
}

fn read_gauges(fields: &mut Fields, schema: &Schema) -> Result<Gauges, RecordError> {
    let _label = fields.u32()?;
    let mut measured = Gauges::default();
    for position in 0..fields.u8()?.into() {
        let value = fields.f32()?;
        if let Some(gauge) = schema.gauges.get(position) {
            gauge.record(value, &mut measured);
        }
    }
    Ok(measured)
}
