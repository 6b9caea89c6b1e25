//! Version 1: each row or note in a frame of its own. It stays readable and is written for tests and conversions only;
//! `docs/trace-format.md` specifies it.

use crate::codec::*;
use crate::file::{put_header, FileMetadata};
use crate::row::*;
use std::io::{self, Write};

pub const MAJOR: u16 = 1;
/// First byte of a frame.
pub const FRAME_MARK: u8 = 0xa7;
/// Bytes before a frame's payload: mark, length, checksum.
pub const FRAME_HEADER_BYTES: usize = 7;

/// Writer of a version 1 file.
pub struct Writer<W: Write>(W);

impl<W: Write> Writer<W> {
    /// Writes the file header and returns the writer.
    pub fn new(mut out: W, meta: &FileMetadata) -> io::Result<Writer<W>> {
        out.write_all(&put_header(MAJOR, 0, meta))?;
        Ok(Writer(out))
    }
    fn write_frame(&mut self, payload: &[u8]) -> io::Result<()> {
        let len = u16::try_from(payload.len())
            .map_err(|_| io::Error::other("encoded record exceeds 65535 bytes"))?;
        let mut head = vec![FRAME_MARK];
        head.extend(len.to_le_bytes());
        head.extend(crc32c::crc32c(payload).to_le_bytes());
        self.0.write_all(&head)?;
        self.0.write_all(payload)
    }
    /// Writes a row. Fails if its frame exceeds 65535 bytes.
    pub fn write_row(&mut self, names: &Names, row: &Row) -> io::Result<()> {
        let mut out = vec![1];
        out.extend(row.read.to_le_bytes());
        put_varint(&mut out, row.unread.into());
        put_bytes(&mut out, names.text(row.node).as_bytes());
        let terms = names.product(row.product);
        put_bytes(&mut out, terms.name.as_bytes());
        for term in [terms.value, terms.sla, terms.expiry] {
            out.extend(term.to_le_bytes());
        }
        out.push(terms.by_work.into());
        put_bytes(&mut out, names.text(row.customer).as_bytes());
        put_varint(&mut out, row.caller.into());
        out.push(row.rank);
        for size in [row.hint, row.memory] {
            put_varint(&mut out, size.into());
        }
        out.push(row.flags);
        out.extend(row.name.to_le_bytes());
        out.extend(row.key.to_le_bytes());
        put_varint(&mut out, row.keep_off.into());
        put_bytes(&mut out, &names.path(row.path).0);
        row.spans.iter().for_each(|span| put_varint(&mut out, (*span).into()));
        self.write_frame(&out)
    }
    /// Writes a note.
    pub fn write_note(&mut self, names: &Names, note: &Note) -> io::Result<()> {
        let mut out = vec![2];
        out.extend(note.at.to_le_bytes());
        put_bytes(&mut out, names.text(note.node).as_bytes());
        out.push(note.topic.0);
        out.extend(note.value.to_le_bytes());
        self.write_frame(&out)
    }
    /// Flushes and returns the inner writer.
    pub fn finish(mut self) -> io::Result<W> {
        self.0.flush()?;
        Ok(self.0)
    }
}

/// Content of a frame.
pub enum Frame {
    Row(Row),
    Note(Note),
    /// Frame kind of a later minor version.
    Other,
}

/// Returns the payload of the frame at the start of `bytes`, if there is a valid one.
pub fn parse_frame(bytes: &[u8]) -> Option<&[u8]> {
    let mut from = Cursor(bytes);
    if from.u8().ok()? != FRAME_MARK {
        return None;
    }
    let (len, crc) = (from.u16().ok()?, from.u32().ok()?);
    from.take(len.into()).ok().filter(|payload| crc32c::crc32c(payload) == crc)
}

/// Decodes a payload. Bytes after the known fields belong to a later minor version and are ignored.
pub fn decode(names: &mut Names, payload: &[u8]) -> Result<Frame, DecodeError> {
    let mut from = Cursor(payload);
    let narrow = |value: u64| u32::try_from(value).map_err(|_| DecodeError("value out of range"));
    match from.u8()? {
        1 => {
            let mut row = Row { read: from.i64()?, unread: narrow(from.varint()?)?, ..Row::default() };
            row.node = names.intern(from.text()?);
            let name = from.text()?.to_owned();
            let (value, sla, expiry) = (from.f64()?, from.f64()?, from.f64()?);
            if ![value, sla, expiry].iter().all(|term| term.is_finite()) {
                return Err(DecodeError("product terms are not finite numbers"));
            }
            row.product =
                names.intern_product(&Product { name, value, sla, expiry, by_work: from.u8()? != 0 });
            row.customer = names.intern(from.text()?);
            row.caller = narrow(from.varint()?)?;
            row.rank = from.u8()?;
            (row.hint, row.memory) = (narrow(from.varint()?)?, narrow(from.varint()?)?);
            (row.flags, row.name, row.key) = (from.u8()?, from.u32()?, from.u64()?);
            row.keep_off = narrow(from.varint()?)?;
            let steps = from.bytes()?;
            if steps.len() > MAX_STEPS + 2 {
                return Err(DecodeError("path has too many steps"));
            }
            row.path = names.intern_path(steps);
            for _ in steps {
                row.spans.push(narrow(from.varint()?)?);
            }
            Ok(Frame::Row(row))
        }
        2 => {
            let (at, node) = (from.i64()?, names.intern(from.text()?));
            let (topic, value) = (Topic(from.u8()?), f32::from_bits(from.u32()?));
            Ok(Frame::Note(Note { at, node, topic, value }))
        }
        _ => Ok(Frame::Other),
    }
}
