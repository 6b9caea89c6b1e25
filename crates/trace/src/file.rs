//! Files of version 2: a header, blocks, and behind them an index and a trailer once the file is sealed.

use crate::block;
use crate::codec::*;
use crate::row::*;
use std::io::{self, Write};

pub const MAGIC: [u8; 8] = *b"PUFTRACE";
pub const END: [u8; 8] = *b"ECARTFUP";
pub const MAJOR: u16 = 2;
pub const MINOR: u16 = 0;
/// Bytes of a header before its text, of a block's own header, of the trailer.
pub const HEADER: usize = 16;
pub const BLOCK: usize = 36;
pub const TRAILER: usize = 24;
pub const ENTRY: usize = 36;
pub const MARK: [u8; 4] = *b"\xf0BL2";
/// Bytes of a header's text, and of a head or a body as stored: far over what a writer makes.
pub const MOST_TEXT: usize = 1 << 16;
pub const MOST_STORED: usize = 64 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Rows,
    Notes,
    Index,
    /// Of a later minor version: passed over.
    Other(u8),
}

impl Kind {
    pub fn code(self) -> u8 {
        match self {
            Kind::Rows => 1,
            Kind::Notes => 2,
            Kind::Index => 3,
            Kind::Other(code) => code,
        }
    }
    pub fn from_code(code: u8) -> Kind {
        match code {
            1 => Kind::Rows,
            2 => Kind::Notes,
            3 => Kind::Index,
            other => Kind::Other(other),
        }
    }
}

/// What stands in the header beside the version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Meta {
    /// Which server wrote it, or `merged`.
    pub node: String,
    /// us, by the Unix clock.
    pub made: i64,
}

/// A header of any version: this much of it never changes.
pub fn put_header(major: u16, minor: u16, meta: &Meta) -> Vec<u8> {
    let mut text = vec![1];
    put_bytes(&mut text, meta.node.as_bytes());
    text.push(2);
    put_bytes(&mut text, &meta.made.to_le_bytes());
    let mut out = MAGIC.to_vec();
    out.extend(major.to_le_bytes());
    out.extend(minor.to_le_bytes());
    out.extend((text.len() as u32).to_le_bytes());
    out.extend(text);
    out.extend(crc32c::crc32c(&out).to_le_bytes());
    out
}

/// Reads the text of a header; what is unknown is passed over.
pub fn take_meta(text: &[u8]) -> Result<Meta, Bad> {
    let (mut meta, mut from) = (Meta::default(), Cursor(text));
    while !from.0.is_empty() {
        let (tag, bytes) = (from.u8()?, from.bytes()?);
        match tag {
            1 => meta.node = String::from_utf8_lossy(bytes).into_owned(),
            2 => meta.made = Cursor(bytes).i64()?,
            _ => {}
        }
    }
    Ok(meta)
}

/// Where a block lies and which span it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub offset: u64,
    /// Of the whole block with its header.
    pub len: u64,
    pub kind: Kind,
    pub rows: u32,
    pub from: i64,
    pub to: i64,
}

/// The header of a block: its kind, what it holds, and the checksums of it and of what follows.
#[derive(Clone, Copy, Debug)]
pub struct BlockHeader {
    pub kind: Kind,
    pub rows: u32,
    pub head: u32,
    pub body: u32,
    pub crc_head: u32,
    pub crc_body: u32,
}

impl BlockHeader {
    pub fn put(&self) -> Vec<u8> {
        let mut out = MARK.to_vec();
        out.extend([self.kind.code(), 0, 0, 0]);
        for field in [self.rows, self.head, self.body, self.crc_head, self.crc_body] {
            out.extend(field.to_le_bytes());
        }
        out.extend([0; 4]);
        let crc = crc32c::crc32c(&out);
        out.extend(crc.to_le_bytes());
        out
    }
    /// None where the bytes are no such header.
    pub fn take(bytes: &[u8]) -> Option<BlockHeader> {
        let bytes = bytes.get(..BLOCK)?;
        let (front, crc) = bytes.split_at(BLOCK - 4);
        if front[..4] != MARK || crc32c::crc32c(front).to_le_bytes() != crc {
            return None;
        }
        let mut from = Cursor(&front[4..]);
        let kind = Kind::from_code(from.u8().ok()?);
        from.take(3).ok()?;
        let mut next = || from.u32().ok();
        let header = BlockHeader {
            kind,
            rows: next()?,
            head: next()?,
            body: next()?,
            crc_head: next()?,
            crc_body: next()?,
        };
        (header.head as usize <= MOST_STORED && header.body as usize <= MOST_STORED).then_some(header)
    }
    /// Bytes of the block from its mark to its end.
    pub fn whole(&self) -> u64 {
        BLOCK as u64 + u64::from(self.head) + u64::from(self.body)
    }
}

/// A block as it stands in a file.
pub struct Packed {
    pub kind: Kind,
    pub rows: u32,
    pub from: i64,
    pub to: i64,
    pub bytes: Vec<u8>,
}

fn packed(kind: Kind, (head, head_bytes, body): (block::Head, Vec<u8>, Vec<u8>)) -> Packed {
    let header = BlockHeader {
        kind,
        rows: head.rows as u32,
        head: head_bytes.len() as u32,
        body: body.len() as u32,
        crc_head: crc32c::crc32c(&head_bytes),
        crc_body: crc32c::crc32c(&body),
    };
    let bytes = [header.put(), head_bytes, body].concat();
    Packed { kind, rows: head.rows as u32, from: head.from, to: head.to, bytes }
}

pub fn pack_rows(names: &Names, rows: &mut [Row]) -> Packed {
    packed(Kind::Rows, block::pack_rows(names, rows))
}

pub fn pack_notes(names: &Names, notes: &mut [Note]) -> Packed {
    packed(Kind::Notes, block::pack_notes(names, notes))
}

/// A block as it came from elsewhere: it is one, whole, and its checksums fit.
pub fn unpack(bytes: Vec<u8>) -> Result<Packed, Bad> {
    let header = BlockHeader::take(&bytes).ok_or(Bad("its header can't be read"))?;
    if header.whole() != bytes.len() as u64 {
        return Err(Bad("it is cut off or too long"));
    }
    let (head, body) = bytes[BLOCK..].split_at(header.head as usize);
    if crc32c::crc32c(head) != header.crc_head || crc32c::crc32c(body) != header.crc_body {
        return Err(Bad("its checksum is wrong"));
    }
    let read = block::take_head(&mut Names::default(), head)?;
    Ok(Packed { kind: header.kind, rows: header.rows, from: read.from, to: read.to, bytes })
}

/// Writes a file, block by block. Dropped before [`Writer::seal`], it leaves one that opens as torn.
pub struct Writer<W: Write> {
    out: W,
    at: u64,
    index: Vec<Entry>,
}

impl<W: Write> Writer<W> {
    pub fn new(mut out: W, meta: &Meta) -> io::Result<Writer<W>> {
        let header = put_header(MAJOR, MINOR, meta);
        out.write_all(&header)?;
        Ok(Writer { out, at: header.len() as u64, index: Vec::new() })
    }

    /// Bytes written so far.
    pub fn len(&self) -> u64 {
        self.at
    }
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    pub fn block(&mut self, block: &Packed) -> io::Result<()> {
        self.out.write_all(&block.bytes)?;
        self.index.push(Entry {
            offset: self.at,
            len: block.bytes.len() as u64,
            kind: block.kind,
            rows: block.rows,
            from: block.from,
            to: block.to,
        });
        self.at += block.bytes.len() as u64;
        Ok(())
    }

    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    /// Writes index and trailer, and gives back what was written to.
    pub fn seal(mut self) -> io::Result<W> {
        let mut body = Vec::with_capacity(self.index.len() * ENTRY);
        for entry in &self.index {
            body.extend(entry.offset.to_le_bytes());
            body.extend((entry.len as u32).to_le_bytes());
            body.extend([entry.kind.code(), 0, 0, 0]);
            body.extend(entry.rows.to_le_bytes());
            body.extend(entry.from.to_le_bytes());
            body.extend(entry.to.to_le_bytes());
        }
        let header = BlockHeader {
            kind: Kind::Index,
            rows: self.index.len() as u32,
            head: 0,
            body: body.len() as u32,
            crc_head: 0,
            crc_body: crc32c::crc32c(&body),
        };
        self.out.write_all(&header.put())?;
        self.out.write_all(&body)?;
        let mut trailer = self.at.to_le_bytes().to_vec();
        trailer.extend(header.body.to_le_bytes());
        trailer.extend(crc32c::crc32c(&trailer).to_le_bytes());
        trailer.extend(END);
        self.out.write_all(&trailer)?;
        self.out.flush()?;
        Ok(self.out)
    }
}

/// The entries of an index's body.
pub fn take_index(body: &[u8]) -> Result<Vec<Entry>, Bad> {
    let mut from = Cursor(body);
    let mut all = Vec::with_capacity(body.len() / ENTRY);
    while !from.0.is_empty() {
        let (offset, len, kind) = (from.u64()?, from.u32()?, Kind::from_code(from.u8()?));
        from.take(3)?;
        let (rows, start, end) = (from.u32()?, from.i64()?, from.i64()?);
        all.push(Entry { offset, len: len.into(), kind, rows, from: start, to: end });
    }
    Ok(all)
}
