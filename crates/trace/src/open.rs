//! Opens trace files of every version, sealed or torn, and reads their blocks.

use crate::block::{self, BlockHead};
use crate::codec::{Cursor, DecodeError};
use crate::file::{
    self, BlockHeader, BlockKind, FileMetadata, IndexEntry, BLOCK_HEADER_BYTES, HEADER_BYTES, MAGIC,
    TRAILER_BYTES,
};
use crate::row::{Names, Note, Row};
use crate::v1;
use std::io::{self, Read, Seek, SeekFrom};

/// Errors of opening a trace or reading a block.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("not a trace: {0}")]
    NotATrace(&'static str),
    #[error("trace version {0} is not supported, expected 1 or 2")]
    UnsupportedVersion(u16),
    #[error("block at byte {offset}: {problem}")]
    DamagedBlock { offset: u64, problem: &'static str },
}

/// A byte range of a file that could not be read. The rest of the file stays readable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub offset: u64,
    pub len: u64,
    /// Rows or notes lost with the range, if known.
    pub rows: Option<u32>,
    pub problem: &'static str,
}

/// Frames of version 1 that are grouped into one block.
const FRAMES_PER_BLOCK: u32 = 4096;
/// Bytes read at a time while scanning a file without a usable index.
const SCAN_CHUNK_BYTES: usize = 1 << 20;

/// An open trace file.
pub struct Trace<R> {
    source: R,
    pub len: u64,
    pub major: u16,
    pub minor: u16,
    pub meta: FileMetadata,
    /// Whether the file ends with a valid index. Without one, the blocks were found by scanning.
    pub sealed: bool,
    pub entries: Vec<IndexEntry>,
    pub damage: Vec<Damage>,
}

impl<R: Read + Seek> Trace<R> {
    /// Opens a trace: reads header and index, or finds the blocks by scanning. Damage is listed in `damage`.
    ///
    /// # Errors
    ///
    /// [`TraceError`] if the source cannot be read, is not a trace or has an unsupported version.
    pub fn open(mut source: R) -> Result<Trace<R>, TraceError> {
        let len = source.seek(SeekFrom::End(0))?;
        let mut trace = Trace {
            source,
            len,
            major: file::MAJOR,
            minor: 0,
            meta: FileMetadata::default(),
            sealed: false,
            entries: Vec::new(),
            damage: Vec::new(),
        };
        let front = trace.read_at(0, len.min(HEADER_BYTES as u64) as usize)?;
        if front.len() < HEADER_BYTES {
            return Err(TraceError::NotATrace(if front.is_empty() {
                "file is empty"
            } else {
                "file ends within its header"
            }));
        }
        let first_block = match trace.read_header(&front)? {
            Some(first_block) => first_block,
            None => {
                // A damaged header loses the node's name only, as long as blocks can be read.
                let len = len.min(HEADER_BYTES as u64);
                trace.damage.push(Damage { offset: 0, len, rows: None, problem: "file header is invalid" });
                8
            }
        };
        let header_valid = trace.damage.is_empty();
        if trace.major == v1::MAJOR {
            trace.scan_frames(first_block)?;
        } else if !trace.read_index()? {
            trace.scan_blocks(first_block)?;
            if !header_valid && trace.entries.is_empty() {
                (trace.major, trace.damage) = (v1::MAJOR, trace.damage.drain(..1).collect());
                trace.scan_frames(first_block)?;
            }
        }
        // The bytes between a damaged header and the first block belong to the same damage.
        if !header_valid
            && trace.damage.get(1).is_some_and(|next| next.offset == first_block && next.rows.is_none())
        {
            let rest = trace.damage.remove(1);
            trace.damage[0].len = rest.offset + rest.len;
        }
        if !header_valid && trace.entries.is_empty() {
            return Err(TraceError::NotATrace("no valid header or block found"));
        }
        Ok(trace)
    }

    /// Returns the offset of the first block, or `None` if the header is damaged.
    fn read_header(&mut self, front: &[u8]) -> Result<Option<u64>, TraceError> {
        let mut at = Cursor(&front[8..]);
        let (Ok(major), Ok(minor), Ok(text)) = (at.u16(), at.u16(), at.u32()) else { return Ok(None) };
        if front[..8] != MAGIC || text as usize > file::MAX_HEADER_TEXT_BYTES {
            return Ok(None);
        }
        let whole = self.read_at(0, HEADER_BYTES + text as usize + 4)?;
        let Some((bytes, crc)) = whole.split_last_chunk::<4>() else { return Ok(None) };
        if whole.len() < HEADER_BYTES + text as usize + 4 || crc32c::crc32c(bytes).to_le_bytes() != *crc {
            return Ok(None);
        }
        if major != v1::MAJOR && major != file::MAJOR {
            return Err(TraceError::UnsupportedVersion(major));
        }
        (self.major, self.minor) = (major, minor);
        self.meta = file::read_meta(&bytes[HEADER_BYTES..]).unwrap_or_default();
        Ok(Some(whole.len() as u64))
    }

    /// Reads up to `len` bytes, fewer at the end of the file.
    fn read_at(&mut self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let len = len.min(usize::try_from(self.len.saturating_sub(offset)).unwrap_or(usize::MAX));
        self.source.seek(SeekFrom::Start(offset))?;
        let mut bytes = vec![0; len];
        let mut filled = 0;
        while filled < len {
            match self.source.read(&mut bytes[filled..]) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        bytes.truncate(filled);
        Ok(bytes)
    }

    /// Reads trailer and index. Returns whether both are valid.
    fn read_index(&mut self) -> io::Result<bool> {
        let Some(at) = self.len.checked_sub(TRAILER_BYTES as u64) else { return Ok(false) };
        let trailer = self.read_at(at, TRAILER_BYTES)?;
        let mut from = Cursor(&trailer);
        let (Ok(offset), Ok(len), Ok(crc)) = (from.u64(), from.u32(), from.u32()) else { return Ok(false) };
        let valid = from.0 == file::END_MAGIC && crc32c::crc32c(&trailer[..12]) == crc;
        if !valid || offset.checked_add(BLOCK_HEADER_BYTES as u64 + u64::from(len)) != Some(at) {
            return Ok(false);
        }
        let block = self.read_at(offset, BLOCK_HEADER_BYTES + len as usize)?;
        let Some(header) = BlockHeader::decode(&block) else { return Ok(false) };
        let body = &block[BLOCK_HEADER_BYTES..];
        if header.kind != BlockKind::Index || crc32c::crc32c(body) != header.crc_body {
            return Ok(false);
        }
        let Ok(entries) = file::read_index(body) else { return Ok(false) };
        if entries.iter().any(|e| e.offset.checked_add(e.len).is_none_or(|end| end > offset)) {
            return Ok(false);
        }
        (self.entries, self.sealed) = (entries, true);
        Ok(true)
    }

    /// Finds the blocks of a file without an index.
    fn scan_blocks(&mut self, start: u64) -> io::Result<()> {
        let (mut at, mut after_index) = (start, false);
        while at < self.len {
            // The trailer follows the index and holds no records.
            if std::mem::take(&mut after_index) && self.len - at <= TRAILER_BYTES as u64 {
                return Ok(());
            }
            let bytes = self.read_at(at, BLOCK_HEADER_BYTES)?;
            let Some(header) = BlockHeader::decode(&bytes) else {
                let next = self.find_block(at + 1)?;
                let end = next.unwrap_or(self.len);
                let problem = if next.is_some() { "block header is invalid" } else { "torn end" };
                self.damage.push(Damage { offset: at, len: end - at, rows: None, problem });
                at = end;
                continue;
            };
            let whole = header.block_len();
            if at + whole > self.len {
                // Either the file is torn here, or the length is wrong and more blocks follow.
                let next = self.find_block(at + 1)?;
                let end = next.unwrap_or(self.len);
                let rows = Some(header.rows);
                self.damage.push(Damage { offset: at, len: end - at, rows, problem: "torn end" });
                at = end;
                continue;
            }
            if matches!(header.kind, BlockKind::Rows | BlockKind::Notes) {
                let head = self.read_at(at + BLOCK_HEADER_BYTES as u64, header.head as usize)?;
                let read = (crc32c::crc32c(&head) == header.crc_head)
                    .then(|| block::read_head(&mut Names::default(), &head).ok());
                match read.flatten() {
                    Some(head) => self.entries.push(IndexEntry {
                        offset: at,
                        len: whole,
                        kind: header.kind,
                        rows: header.rows,
                        from: head.from,
                        to: head.to,
                    }),
                    None => self.damage.push(Damage {
                        offset: at,
                        len: whole,
                        rows: Some(header.rows),
                        problem: "block head is invalid",
                    }),
                }
            }
            after_index = header.kind == BlockKind::Index;
            at += whole;
        }
        Ok(())
    }

    /// Returns the offset of the first block header at or after `at`.
    fn find_block(&mut self, mut at: u64) -> io::Result<Option<u64>> {
        while at < self.len {
            let bytes = self.read_at(at, SCAN_CHUNK_BYTES + BLOCK_HEADER_BYTES)?;
            let found = (0..bytes.len().min(SCAN_CHUNK_BYTES)).find(|position| {
                bytes[*position] == file::BLOCK_MAGIC[0] && BlockHeader::decode(&bytes[*position..]).is_some()
            });
            if let Some(position) = found {
                return Ok(Some(at + position as u64));
            }
            at += SCAN_CHUNK_BYTES as u64;
        }
        Ok(None)
    }

    /// Finds the frames of a version 1 file.
    fn scan_frames(&mut self, start: u64) -> io::Result<()> {
        let new = |offset, kind| IndexEntry { offset, len: 0, kind, rows: 0, from: i64::MAX, to: i64::MIN };
        let (mut rows, mut notes) = (new(start, BlockKind::Rows), new(start, BlockKind::Notes));
        let (mut at, mut damage_start) = (start, None);
        let (mut bytes, mut base) = (Vec::new(), start);
        // The read-ahead covers the longest frame, so that no frame is split between reads.
        let max_frame_bytes = v1::FRAME_HEADER_BYTES + usize::from(u16::MAX);
        while at < self.len {
            let behind = (at - base) as usize;
            if bytes.len().saturating_sub(behind) < max_frame_bytes && base + (bytes.len() as u64) < self.len
                || bytes.is_empty()
            {
                (bytes, base) = (self.read_at(at, SCAN_CHUNK_BYTES + max_frame_bytes)?, at);
                continue;
            }
            let remaining = &bytes[behind..];
            let Some(payload) = v1::parse_frame(remaining) else {
                damage_start.get_or_insert(at);
                // Continue at the next byte that may start a frame.
                let skip = remaining[1..]
                    .iter()
                    .position(|b| *b == v1::FRAME_MARK)
                    .map_or(remaining.len(), |p| p + 1);
                at += skip as u64;
                continue;
            };
            if let Some(from) = damage_start.take() {
                self.damage.push(Damage {
                    offset: from,
                    len: at - from,
                    rows: None,
                    problem: "unreadable frames",
                });
            }
            let end = at + (v1::FRAME_HEADER_BYTES + payload.len()) as u64;
            let time = payload.get(1..9).and_then(|b| Cursor(b).i64().ok());
            for (entry, kind) in [(&mut rows, 1), (&mut notes, 2)] {
                if let (Some(time), true) = (time, payload.first() == Some(&kind)) {
                    entry.rows += 1;
                    (entry.from, entry.to) = (entry.from.min(time), entry.to.max(time));
                }
                entry.len = end - entry.offset;
            }
            if rows.rows >= FRAMES_PER_BLOCK || notes.rows >= FRAMES_PER_BLOCK {
                self.entries.extend([rows, notes].into_iter().filter(|entry| entry.rows > 0));
                (rows, notes) = (new(end, BlockKind::Rows), new(end, BlockKind::Notes));
            }
            at = end;
        }
        self.entries.extend([rows, notes].into_iter().filter(|entry| entry.rows > 0));
        if let Some(from) = damage_start {
            self.damage.push(Damage { offset: from, len: self.len - from, rows: None, problem: "torn end" });
        }
        // Version 1 has no trailer: a file that ends with a complete frame counts as sealed.
        self.sealed = damage_start.is_none();
        Ok(())
    }

    /// Returns the error for a block that cannot be decoded.
    fn damaged_block(entry: &IndexEntry, error: DecodeError) -> TraceError {
        TraceError::DamagedBlock { offset: entry.offset, problem: error.0 }
    }

    /// Reads a version 2 block, verifies its checksums and returns its bytes with the length of its head. Without
    /// `with_body`, the bytes end after the head.
    fn read_block(&mut self, entry: &IndexEntry, with_body: bool) -> Result<(Vec<u8>, usize), TraceError> {
        let damaged = |problem| Self::damaged_block(entry, DecodeError(problem));
        // The index is not trusted beyond the largest size of a block.
        let whole = usize::try_from(entry.len)
            .unwrap_or(usize::MAX)
            .min(BLOCK_HEADER_BYTES + 2 * file::MAX_STORED_BYTES);
        let mut bytes = self.read_at(entry.offset, if with_body { whole } else { BLOCK_HEADER_BYTES })?;
        let header = BlockHeader::decode(&bytes).ok_or(damaged("block header is invalid"))?;
        if header.block_len() != entry.len || header.kind != entry.kind || header.rows != entry.rows {
            return Err(damaged("block header differs from the index"));
        }
        let head = header.head as usize;
        if !with_body {
            bytes.extend(self.read_at(entry.offset + BLOCK_HEADER_BYTES as u64, head)?);
        }
        if bytes.len() < BLOCK_HEADER_BYTES + head || with_body && bytes.len() < whole {
            return Err(damaged("block is truncated"));
        }
        if crc32c::crc32c(&bytes[BLOCK_HEADER_BYTES..BLOCK_HEADER_BYTES + head]) != header.crc_head {
            return Err(damaged("block head checksum mismatch"));
        }
        if with_body && crc32c::crc32c(&bytes[BLOCK_HEADER_BYTES + head..]) != header.crc_body {
            return Err(damaged("block checksum mismatch"));
        }
        Ok((bytes, head))
    }

    /// Reads a block and decodes its head. Returns the head, the bytes and the offset of the body in them.
    fn read_block_with_head(
        &mut self,
        entry: &IndexEntry,
        names: &mut Names,
    ) -> Result<(BlockHead, Vec<u8>, usize), TraceError> {
        let (bytes, head) = self.read_block(entry, true)?;
        let body = BLOCK_HEADER_BYTES + head;
        let head = block::read_head(names, &bytes[BLOCK_HEADER_BYTES..body])
            .map_err(|error| Self::damaged_block(entry, error))?;
        Ok((head, bytes, body))
    }

    /// Returns a whole block in its encoded form.
    pub fn encoded_block(&mut self, entry: &IndexEntry) -> Result<file::EncodedBlock, TraceError> {
        let (bytes, _) = self.read_block(entry, true)?;
        Ok(file::EncodedBlock { kind: entry.kind, rows: entry.rows, from: entry.from, to: entry.to, bytes })
    }

    /// Reads the head of a block.
    pub fn head(&mut self, entry: &IndexEntry, names: &mut Names) -> Result<BlockHead, TraceError> {
        if self.major == v1::MAJOR {
            if entry.kind == BlockKind::Notes {
                let (from, to) = (entry.from, entry.to);
                return Ok(BlockHead { from, to, rows: entry.rows as usize, ..BlockHead::default() });
            }
            let mut rows = Vec::new();
            self.rows(entry, names, &mut rows)?;
            return Ok(block::encode_rows(names, &mut rows).0);
        }
        let (bytes, _) = self.read_block(entry, false)?;
        block::read_head(names, &bytes[BLOCK_HEADER_BYTES..])
            .map_err(|error| Self::damaged_block(entry, error))
    }

    /// Appends the rows of a block to `into`, sorted by read time.
    pub fn rows(
        &mut self,
        entry: &IndexEntry,
        names: &mut Names,
        into: &mut Vec<Row>,
    ) -> Result<(), TraceError> {
        if entry.kind != BlockKind::Rows {
            return Ok(());
        }
        let had = into.len();
        if self.major == v1::MAJOR {
            self.each_frame(entry, names, |frame| {
                if let v1::Frame::Row(row) = frame {
                    into.push(row);
                }
            })?;
            into[had..].sort_by_key(|row| row.read);
            return Ok(());
        }
        let (head, bytes, body) = self.read_block_with_head(entry, names)?;
        block::read_rows(names, &head, &bytes[body..], into).map_err(|error| {
            into.truncate(had);
            Self::damaged_block(entry, error)
        })
    }

    /// Appends the notes of a block to `into`, in order of time.
    pub fn notes(
        &mut self,
        entry: &IndexEntry,
        names: &mut Names,
        into: &mut Vec<Note>,
    ) -> Result<(), TraceError> {
        if entry.kind != BlockKind::Notes {
            return Ok(());
        }
        let had = into.len();
        if self.major == v1::MAJOR {
            return self.each_frame(entry, names, |frame| {
                if let v1::Frame::Note(note) = frame {
                    into.push(note);
                }
            });
        }
        let (head, bytes, body) = self.read_block_with_head(entry, names)?;
        block::read_notes(&head, &bytes[body..], into).map_err(|error| {
            into.truncate(had);
            Self::damaged_block(entry, error)
        })
    }

    fn each_frame(
        &mut self,
        entry: &IndexEntry,
        names: &mut Names,
        mut each: impl FnMut(v1::Frame),
    ) -> Result<(), TraceError> {
        let bytes = self.read_at(entry.offset, entry.len as usize)?;
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            match v1::parse_frame(rest) {
                Some(payload) => {
                    if let Ok(frame) = v1::decode(names, payload) {
                        each(frame);
                    }
                    rest = &rest[v1::FRAME_HEADER_BYTES + payload.len()..];
                }
                // The damage was recorded when the file was opened.
                None => rest = &rest[1..],
            }
        }
        Ok(())
    }

    /// Returns the bytes of each column over all row blocks, with `(0, bytes)` for heads.
    pub fn column_sizes(&mut self) -> Result<Vec<(u8, u64)>, TraceError> {
        let mut sizes = [0u64; 32];
        if self.major == file::MAJOR {
            for entry in self.entries.clone().iter().filter(|entry| entry.kind == BlockKind::Rows) {
                let (bytes, head) = self.read_block(entry, true)?;
                sizes[0] += (head + BLOCK_HEADER_BYTES) as u64;
                let sections = block::Sections::new(&bytes[BLOCK_HEADER_BYTES + head..])
                    .map_err(|error| Self::damaged_block(entry, error))?;
                sections.sizes().for_each(|(id, len)| sizes[usize::from(id) % 32] += len as u64);
            }
        }
        Ok((0u8..).zip(sizes).filter(|(_, size)| *size > 0).collect())
    }

    /// Returns the times of the first and the last record, in us.
    pub fn time_range(&self) -> Option<(i64, i64)> {
        let from = self.entries.iter().map(|entry| entry.from).min()?;
        Some((from, self.entries.iter().map(|entry| entry.to).max()?))
    }
    /// Returns the rows or notes in all blocks of a kind.
    pub fn record_count(&self, kind: BlockKind) -> u64 {
        self.entries.iter().filter(|entry| entry.kind == kind).map(|entry| u64::from(entry.rows)).sum()
    }
}
