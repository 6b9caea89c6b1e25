//! Files of version 2: a header, blocks and, once sealed, an index and a trailer.

use crate::block;
use crate::codec::*;
use crate::row::*;
use std::io::{self, Write};

/// First bytes of a trace file.
pub const MAGIC: [u8; 8] = *b"PUFTRACE";
/// Last bytes of a sealed trace file.
pub const END_MAGIC: [u8; 8] = *b"ECARTFUP";
/// Version written: readers reject other major versions and skip what later minor versions add.
pub const MAJOR: u16 = 2;
pub const MINOR: u16 = 0;
/// Size of the file header without its text, in bytes.
pub const HEADER_BYTES: usize = 16;
/// Size of a block header, in bytes.
pub const BLOCK_HEADER_BYTES: usize = 36;
/// Size of the trailer, in bytes.
pub const TRAILER_BYTES: usize = 24;
/// Size of an index entry, in bytes.
pub const INDEX_ENTRY_BYTES: usize = 36;
/// First bytes of a block header.
pub const BLOCK_MAGIC: [u8; 4] = *b"\xf0BL2";
/// Maximum size of the header's text that readers accept, in bytes.
pub const MAX_HEADER_TEXT_BYTES: usize = 1 << 16;
/// Maximum size of a stored head or body that readers accept, in bytes.
pub const MAX_STORED_BYTES: usize = 64 << 20;

/// Kinds of blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    Rows,
    Notes,
    Index,
    /// Kind of a later minor version, which readers skip.
    Other(u8),
}

impl BlockKind {
    /// Returns the stored code.
    pub fn code(self) -> u8 {
        match self {
            BlockKind::Rows => 1,
            BlockKind::Notes => 2,
            BlockKind::Index => 3,
            BlockKind::Other(code) => code,
        }
    }
    /// Returns the kind of a stored code.
    pub fn from_code(code: u8) -> BlockKind {
        match code {
            1 => BlockKind::Rows,
            2 => BlockKind::Notes,
            3 => BlockKind::Index,
            other => BlockKind::Other(other),
        }
    }
}

/// Fields of a file's header beside the version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileMetadata {
    /// Name of the server that wrote the file, or `merged`.
    pub node: String,
    /// Unix time in us.
    pub created: i64,
}

/// Encodes a file header. Its layout is the same in all versions.
pub fn put_header(major: u16, minor: u16, meta: &FileMetadata) -> Vec<u8> {
    let mut text = vec![1];
    put_bytes(&mut text, meta.node.as_bytes());
    text.push(2);
    put_bytes(&mut text, &meta.created.to_le_bytes());
    let mut out = MAGIC.to_vec();
    out.extend(major.to_le_bytes());
    out.extend(minor.to_le_bytes());
    out.extend((text.len() as u32).to_le_bytes());
    out.extend(text);
    out.extend(crc32c::crc32c(&out).to_le_bytes());
    out
}

/// Decodes the text of a header. Unknown fields are skipped.
pub fn read_meta(text: &[u8]) -> Result<FileMetadata, DecodeError> {
    let (mut meta, mut from) = (FileMetadata::default(), Cursor(text));
    while !from.0.is_empty() {
        let (tag, bytes) = (from.u8()?, from.bytes()?);
        match tag {
            1 => meta.node = String::from_utf8_lossy(bytes).into_owned(),
            2 => meta.created = Cursor(bytes).i64()?,
            _ => {}
        }
    }
    Ok(meta)
}

/// Position and time range of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    pub offset: u64,
    /// Length of the block with its header, in bytes.
    pub len: u64,
    pub kind: BlockKind,
    pub rows: u32,
    pub from: i64,
    pub to: i64,
}

/// Header of a block: kind, record count, lengths and checksums.
#[derive(Clone, Copy, Debug)]
pub struct BlockHeader {
    pub kind: BlockKind,
    pub rows: u32,
    pub head: u32,
    pub body: u32,
    pub crc_head: u32,
    pub crc_body: u32,
}

impl BlockHeader {
    /// Encodes the header with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = BLOCK_MAGIC.to_vec();
        out.extend([self.kind.code(), 0, 0, 0]);
        for field in [self.rows, self.head, self.body, self.crc_head, self.crc_body] {
            out.extend(field.to_le_bytes());
        }
        out.extend([0; 4]);
        let crc = crc32c::crc32c(&out);
        out.extend(crc.to_le_bytes());
        out
    }
    /// Returns `None` if the bytes do not start with a valid block header.
    pub fn decode(bytes: &[u8]) -> Option<BlockHeader> {
        let bytes = bytes.get(..BLOCK_HEADER_BYTES)?;
        let (front, crc) = bytes.split_at(BLOCK_HEADER_BYTES - 4);
        if front[..4] != BLOCK_MAGIC || crc32c::crc32c(front).to_le_bytes() != crc {
            return None;
        }
        let mut from = Cursor(&front[4..]);
        let kind = BlockKind::from_code(from.u8().ok()?);
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
        (header.head as usize <= MAX_STORED_BYTES && header.body as usize <= MAX_STORED_BYTES)
            .then_some(header)
    }
    /// Returns the length of the block with its header, in bytes.
    pub fn block_len(&self) -> u64 {
        BLOCK_HEADER_BYTES as u64 + u64::from(self.head) + u64::from(self.body)
    }
}

/// A block in its stored form.
pub struct EncodedBlock {
    pub kind: BlockKind,
    pub rows: u32,
    pub from: i64,
    pub to: i64,
    pub bytes: Vec<u8>,
}

fn encoded_block(
    kind: BlockKind,
    (head, head_bytes, body): (block::BlockHead, Vec<u8>, Vec<u8>),
) -> EncodedBlock {
    let header = BlockHeader {
        kind,
        rows: head.rows as u32,
        head: head_bytes.len() as u32,
        body: body.len() as u32,
        crc_head: crc32c::crc32c(&head_bytes),
        crc_body: crc32c::crc32c(&body),
    };
    let bytes = [header.encode(), head_bytes, body].concat();
    EncodedBlock { kind, rows: head.rows as u32, from: head.from, to: head.to, bytes }
}

/// Encodes rows as a block, sorted by read time.
pub fn encode_rows(names: &Names, rows: &mut [Row]) -> EncodedBlock {
    encoded_block(BlockKind::Rows, block::encode_rows(names, rows))
}

/// Encodes notes as a block, sorted by time.
pub fn encode_notes(names: &Names, notes: &mut [Note]) -> EncodedBlock {
    encoded_block(BlockKind::Notes, block::encode_notes(names, notes))
}

/// Verifies the length and the checksums of a block that came from elsewhere.
pub fn verify_block(bytes: Vec<u8>) -> Result<EncodedBlock, DecodeError> {
    let header = BlockHeader::decode(&bytes).ok_or(DecodeError("block header is invalid"))?;
    if header.block_len() != bytes.len() as u64 {
        return Err(DecodeError("block length differs from its header"));
    }
    let (head, body) = bytes[BLOCK_HEADER_BYTES..].split_at(header.head as usize);
    if crc32c::crc32c(head) != header.crc_head || crc32c::crc32c(body) != header.crc_body {
        return Err(DecodeError("block checksum mismatch"));
    }
    let read = block::read_head(&mut Names::default(), head)?;
    Ok(EncodedBlock { kind: header.kind, rows: header.rows, from: read.from, to: read.to, bytes })
}

/// Writer of a trace file. A file that is dropped before [`Writer::seal`] is read as torn.
pub struct Writer<W: Write> {
    out: W,
    at: u64,
    index: Vec<IndexEntry>,
}

impl<W: Write> Writer<W> {
    /// Writes the file header and returns the writer.
    pub fn new(mut out: W, meta: &FileMetadata) -> io::Result<Writer<W>> {
        let header = put_header(MAJOR, MINOR, meta);
        out.write_all(&header)?;
        Ok(Writer { out, at: header.len() as u64, index: Vec::new() })
    }

    /// Returns the bytes written so far.
    pub fn len(&self) -> u64 {
        self.at
    }
    /// Returns whether no block was written.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Appends a block and its index entry.
    pub fn write_block(&mut self, block: &EncodedBlock) -> io::Result<()> {
        self.out.write_all(&block.bytes)?;
        self.index.push(IndexEntry {
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

    /// Flushes the inner writer.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    /// Writes index and trailer and returns the inner writer.
    pub fn seal(mut self) -> io::Result<W> {
        let mut body = Vec::with_capacity(self.index.len() * INDEX_ENTRY_BYTES);
        for entry in &self.index {
            body.extend(entry.offset.to_le_bytes());
            body.extend((entry.len as u32).to_le_bytes());
            body.extend([entry.kind.code(), 0, 0, 0]);
            body.extend(entry.rows.to_le_bytes());
            body.extend(entry.from.to_le_bytes());
            body.extend(entry.to.to_le_bytes());
        }
        let header = BlockHeader {
            kind: BlockKind::Index,
            rows: self.index.len() as u32,
            head: 0,
            body: body.len() as u32,
            crc_head: 0,
            crc_body: crc32c::crc32c(&body),
        };
        self.out.write_all(&header.encode())?;
        self.out.write_all(&body)?;
        let mut trailer = self.at.to_le_bytes().to_vec();
        trailer.extend(header.body.to_le_bytes());
        trailer.extend(crc32c::crc32c(&trailer).to_le_bytes());
        trailer.extend(END_MAGIC);
        self.out.write_all(&trailer)?;
        self.out.flush()?;
        Ok(self.out)
    }
}

/// Decodes the body of an index.
pub fn read_index(body: &[u8]) -> Result<Vec<IndexEntry>, DecodeError> {
    let mut from = Cursor(body);
    let mut entries = Vec::with_capacity(body.len() / INDEX_ENTRY_BYTES);
    while !from.0.is_empty() {
        let (offset, len, kind) = (from.u64()?, from.u32()?, BlockKind::from_code(from.u8()?));
        from.take(3)?;
        let (rows, start, end) = (from.u32()?, from.i64()?, from.i64()?);
        entries.push(IndexEntry { offset, len: len.into(), kind, rows, from: start, to: end });
    }
    Ok(entries)
}
