//! Frames and records of the wire: batches in, replies out.

use puffinladder::{AdmissionPolicy, Completion, Decisions, Gauges, Outcome, Reason, Request, RoundInput};
use puffinladder_charter::Meter;
use std::collections::HashMap;
use std::io::{ErrorKind, Read};

/// No batch of any deployment comes near this; a longer one is a broken stream.
const BODY_MOST: usize = 1 << 30;
const HEADER: usize = 16;
/// Bytes of the header that the length field counts: the clock behind it.
const CLOCK: usize = 8;

pub struct Header {
    pub records: u32,
    pub body_len: usize,
    pub now: f64,
}

/// Fills `buffer` or says how far it came; 0 bytes is the end of input.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, String> {
    let mut have = 0;
    while have < buffer.len() {
        match input.read(&mut buffer[have..]) {
            Ok(0) => break,
            Ok(n) => have += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("the input could not be read: {e}")),
        }
    }
    Ok(have)
}

/// The next header, or `None` at a clean end of input.
pub fn read_header(input: &mut impl Read) -> Result<Option<Header>, String> {
    let mut bytes = [0; HEADER];
    match fill(input, &mut bytes)? {
        0 => return Ok(None),
        HEADER => {}
        n => return Err(format!("the input ended inside a header, after {n} of {HEADER} bytes")),
    }
    let mut fields = Fields { bytes: &bytes, at: 0 };
    let (records, len) = (fields.u32()?, fields.u32()? as usize);
    let now = fields.f64()? / 1e3;
    if len < CLOCK {
        return Err(format!("a length of {len} leaves no room for the clock"));
    }
    if len - CLOCK > BODY_MOST {
        return Err(format!("an oversized frame of {len} bytes"));
    }
    if !now.is_finite() {
        return Err("the clock is not a number".into());
    }
    Ok(Some(Header { records, body_len: len - CLOCK, now }))
}

pub fn read_body(input: &mut impl Read, len: usize, body: &mut Vec<u8>) -> Result<(), String> {
    body.clear();
    let read =
        input.take(len as u64).read_to_end(body).map_err(|e| format!("the input could not be read: {e}"))?;
    if read < len {
        return Err(format!("the input ended inside a frame, after {read} of {len} bytes"));
    }
    Ok(())
}

/// Takes fields off a frame, one after another.
struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        let end = self.at.checked_add(n).filter(|&end| end <= self.bytes.len());
        let end = end.ok_or_else(|| format!("a field of {n} bytes at byte {} is cut off", self.at))?;
        let field = &self.bytes[self.at..end];
        self.at = end;
        Ok(field)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f64, String> {
        Ok(f32::from_le_bytes(self.array()?).into())
    }
    fn f64(&mut self) -> Result<f64, String> {
        Ok(f64::from_le_bytes(self.array()?))
    }
    fn span(&mut self) -> Result<f64, String> {
        Ok(self.f64()? / 1e3)
    }
    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.u8()? {
            10 => Outcome::Completed,
            20 => Outcome::Failed,
            30 => Outcome::Rejected,
            40 => Outcome::TimedOut,
            50 => Outcome::Unreachable,
            60 => Outcome::ConnectionLost,
            70 => Outcome::Cancelled,
            80 => Outcome::NotNeeded,
            other => return Err(format!("unknown outcome {other}")),
        })
    }
}

/// One instance: its brain and the news of the round at hand.
struct Instance {
    brain: AdmissionPolicy,
    meters: Vec<Meter>,
    /// How many products its charter names.
    products: usize,
    news: RoundInput,
    /// It has news in this batch.
    touched: bool,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u32, Instance>,
    /// Instances with news in this batch, in the order in which it came.
    order: Vec<u32>,
    reply: Reply,
}

impl Host {
    pub fn reply(&mut self) -> &[u8] {
        self.reply.finish()
    }

    /// Decodes one batch, lets each instance with news decide, and leaves the reply ready.
    pub fn batch(&mut self, header: Header, body: &[u8]) -> Result<(), String> {
        self.reply.clear();
        self.order.clear();
        let mut fields = Fields { bytes: body, at: 0 };
        let mut instance = None;
        for record in 1..=header.records {
            let start = fields.at;
            self.record(&mut fields, &mut instance)
                .map_err(|e| format!("record {record} at byte {start}: {e}"))?;
        }
        if fields.at < body.len() {
            let left = body.len() - fields.at;
            return Err(format!("{left} bytes are left over behind record {}", header.records));
        }
        for id in &self.order {
            let Some(instance) = self.instances.get_mut(id) else {
                continue;
            };
            if !std::mem::take(&mut instance.touched) {
                continue;
            }
            self.reply.context = Some(*id);
            instance.brain.decide(&instance.news.round(header.now), &mut self.reply);
            instance.news.clear();
        }
        Ok(())
    }

    fn record(&mut self, fields: &mut Fields, to: &mut Option<u32>) -> Result<(), String> {
        let code = fields.u8()?;
        if code == 100 {
            *to = Some(fields.u32()?);
            return Ok(());
        }
        if !matches!(code, 10 | 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90) {
            return Err(format!("unknown code {code}"));
        }
        let id = to.ok_or("an event before any To")?;
        if code == 10 {
            let seed = fields.u64()?;
            let len = fields.u32()? as usize;
            let terms = puffinladder_charter::read_terms(fields.take(len)?)?;
            let brain = AdmissionPolicy::new(&terms.charter, seed);
            let products = terms.charter.classes.len();
            let news = RoundInput::default();
            self.instances
                .insert(id, Instance { brain, meters: terms.meters, products, news, touched: true });
            self.order.push(id);
            return Ok(());
        }
        let instance = self.instances.get_mut(&id);
        let instance =
            instance.ok_or_else(|| format!("code {code} for instance {id}, which was never launched"))?;
        if code == 90 {
            self.instances.remove(&id);
            return Ok(());
        }
        let news = &mut instance.news;
        if !std::mem::replace(&mut instance.touched, true) {
            self.order.push(id);
        }
        match code {
            20 => {
                let txn = submit(fields)?;
                if txn.class >= instance.products {
                    return Err(format!(
                        "txn {} names product {}, which the start text lacks",
                        txn.id, txn.class
                    ));
                }
                news.arrivals.push(txn);
            }
            30 => news.finished_runs.push(Completion {
                id: fields.u32()?,
                outcome: fields.outcome()?,
                duration: fields.span()?,
            }),
            40 => news.awaiting_call.push(fields.u32()?),
            50 => news.finished_calls.push(Completion {
                id: fields.u32()?,
                outcome: fields.outcome()?,
                duration: fields.span()?,
            }),
            60 => news.drain_deadline = Some(fields.span()?),
            70 => news.abandoned.push(fields.u32()?),
            _ => news.tick = Some(wake(fields, &instance.meters)?),
        }
        Ok(())
    }
}

fn submit(fields: &mut Fields) -> Result<Request, String> {
    let (id, product, customer) = (fields.u32()?, fields.u16()?.into(), fields.u16()?.into());
    let _subject = fields.u64()?;
    let mut txn =
        Request { id, class: product, tenant: customer, deadline: fields.span()?, ..Request::default() };
    txn.cost_hint = fields.span()?;
    txn.memory = fields.f32()?;
    txn.rank = fields.f32()?;
    let options = fields.u8()?;
    txn.is_retry = options & 2 != 0;
    if options & 1 == 0 {
        txn.cost_hint = 0.0;
    }
    txn.caller = fields.u32()?;
    txn.time_unread = fields.span()?;
    txn.earlier_attempt = fields.u32()?;
    Ok(txn)
}

fn wake(fields: &mut Fields, meters: &[Meter]) -> Result<Gauges, String> {
    let _label = fields.u32()?;
    let mut gauges = Gauges::default();
    for at in 0..fields.u8()?.into() {
        let value = fields.f32()?;
        if let Some(meter) = meters.get(at) {
            meter.show(value, &mut gauges);
        }
    }
    Ok(gauges)
}

/// The reply as it grows: actions of one instance stand behind its context record.
#[derive(Default)]
struct Reply {
    bytes: Vec<u8>,
    records: u32,
    /// The instance that decides now, until it has said its first word.
    context: Option<u32>,
}

impl Reply {
    fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.extend([0; 8]);
        self.records = 0;
        self.context = None;
    }
    fn finish(&mut self) -> &[u8] {
        let len = self.bytes.len() as u32 - 4;
        self.bytes[0..4].copy_from_slice(&len.to_le_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_le_bytes());
        &self.bytes
    }
    fn put(&mut self, code: u8) -> &mut Vec<u8> {
        if let Some(instance) = self.context.take() {
            self.bytes.push(160);
            self.bytes.extend(instance.to_le_bytes());
            self.records += 1;
        }
        self.records += 1;
        self.bytes.push(code);
        &mut self.bytes
    }
    fn put_id(&mut self, code: u8, id: u32) -> &mut Vec<u8> {
        let bytes = self.put(code);
        bytes.extend(id.to_le_bytes());
        bytes
    }
}

/// Seconds to the wire's milliseconds.
fn ms(span: f64) -> [u8; 8] {
    (span * 1e3).to_le_bytes()
}

impl Decisions for Reply {
    fn run(&mut self, id: u32) {
        self.put_id(10, id);
    }
    fn reject(&mut self, id: u32, retry_after: f64, last: bool, _reason: Reason) {
        let bytes = self.put_id(20, id);
        bytes.extend(ms(retry_after));
        bytes.push(last.into());
    }
    fn fail(&mut self, id: u32, _reason: Reason) {
        self.put_id(30, id);
    }
    fn preempt(&mut self, id: u32) {
        self.put_id(40, id);
    }
    fn allow_call(&mut self, id: u32, limit: f64) {
        self.put_id(50, id).extend(ms(limit));
    }
    fn skip_call(&mut self, id: u32) {
        self.put_id(60, id);
    }
    fn remember_key(&mut self, id: u32, span: f64) {
        self.put_id(70, id).extend(ms(span));
    }
    fn forget_key(&mut self, id: u32) {
        self.put_id(80, id);
    }
    fn replay_result(&mut self, id: u32) {
        self.put_id(90, id);
    }
    fn set_health(&mut self, good: bool, stored: bool) {
        self.put(100).extend([u8::from(good), u8::from(stored)]);
    }
    fn set_load_signal(&mut self, amount: f64) {
        self.put(110).extend((amount as f32).to_le_bytes());
    }
    fn set_keepalive(&mut self, span: f64) {
        self.put(120).extend(ms(span));
    }
    fn schedule_tick(&mut self, after: f64) {
        let bytes = self.put(130);
        bytes.extend(ms(after));
        bytes.extend(0u32.to_le_bytes());
    }
    fn log(&mut self, text: &str) {
        let mut end = text.len().min(u16::MAX.into());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let bytes = self.put(140);
        bytes.extend((end as u16).to_le_bytes());
        bytes.extend(&text.as_bytes()[..end]);
    }
}
