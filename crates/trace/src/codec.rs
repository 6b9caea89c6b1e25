//! Numbers, strings and columns as bytes. Every read is checked against what is left, and no size that stands
//! in the bytes is allocated before it is known to fit them.

use std::cell::RefCell;

/// What a decoder says of bytes that no writer makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub &'static str);

/// Rows that a block may hold.
pub const MAX_BLOCK_ROWS: usize = 1 << 16;
/// Values that one column may hold: steps are at most so many a row.
pub const MAX_COLUMN_VALUES: usize = MAX_BLOCK_ROWS * 16;
/// Bytes of a head, unpacked.
pub const MAX_HEAD_BYTES: usize = 8 << 20;

/// Reads from a slice, front to back.
#[derive(Clone, Copy)]
pub struct Cursor<'a>(pub &'a [u8]);

impl<'a> Cursor<'a> {
    pub fn take(&mut self, len: usize) -> Result<&'a [u8], DecodeError> {
        let (front, rest) = self.0.split_at_checked(len).ok_or(DecodeError("it ends too early"))?;
        self.0 = rest;
        Ok(front)
    }
    fn fixed<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        self.take(N)?.try_into().map_err(|_| DecodeError("it ends too early"))
    }
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.fixed::<1>()?[0])
    }
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.fixed().map(u16::from_le_bytes)
    }
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.fixed().map(u32::from_le_bytes)
    }
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.fixed().map(u64::from_le_bytes)
    }
    pub fn i64(&mut self) -> Result<i64, DecodeError> {
        self.fixed().map(i64::from_le_bytes)
    }
    pub fn f64(&mut self) -> Result<f64, DecodeError> {
        self.fixed().map(f64::from_le_bytes)
    }
    /// Seven bits a byte, lowest first.
    pub fn varint(&mut self) -> Result<u64, DecodeError> {
        let mut value = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.u8()?;
            value |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return if shift == 63 && byte > 1 {
                    Err(DecodeError("a number is too long"))
                } else {
                    Ok(value)
                };
            }
        }
        Err(DecodeError("a number is too long"))
    }
    /// A number that is to stay within `most`.
    pub fn count(&mut self, most: usize) -> Result<usize, DecodeError> {
        let value = self.varint()?;
        usize::try_from(value).ok().filter(|v| *v <= most).ok_or(DecodeError("a count is out of range"))
    }
    pub fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let len = self.count(self.0.len())?;
        self.take(len)
    }
    pub fn text(&mut self) -> Result<&'a str, DecodeError> {
        std::str::from_utf8(self.bytes()?).map_err(|_| DecodeError("a name is not UTF-8"))
    }
}

pub fn put_varint(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

pub fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    put_varint(out, bytes.len() as u64);
    out.extend_from_slice(bytes);
}

/// Significant bits that are kept of a measured span: exact below 256, within 0.2% above.
pub const SPAN_BITS: u32 = 8;
/// The same of what is rough by itself, hints and stamps of whole milliseconds: within 0.8%.
pub const ESTIMATE_BITS: u32 = 6;

/// A size as a code of `bits` significant bits. Codes are in the order of the sizes, and a size that was rounded once
/// stays as it is.
pub fn quantize(value: u32, bits: u32) -> u16 {
    let shift = (u32::BITS - value.leading_zeros()).saturating_sub(bits);
    ((shift << (bits - 1)) + (value >> shift)) as u16
}

/// The middle of the sizes that share a code.
pub fn dequantize(code: u16, bits: u32) -> u32 {
    let code = u32::from(code);
    if code < 1 << bits {
        return code;
    }
    let shift = ((code >> (bits - 1)) - 1).min(u32::BITS - bits);
    let top = (code - (shift << (bits - 1))).min((1 << bits) - 1);
    (top << shift) + (1 << shift >> 1)
}

/// A size as it will come back.
pub fn round_to_bits(value: u32, bits: u32) -> u32 {
    dequantize(quantize(value, bits), bits)
}

thread_local! {
    static PACK: RefCell<Option<zstd::bulk::Compressor<'static>>> = const { RefCell::new(None) };
    static UNPACK: RefCell<Option<zstd::bulk::Decompressor<'static>>> = const { RefCell::new(None) };
}

/// zstd's level: what comes here is short and mostly noise; level 3 was slower and a little larger.
const LEVEL: i32 = 1;

/// EncodedBlock bytes, if they are fewer.
fn packed(bytes: &[u8]) -> Option<Vec<u8>> {
    PACK.with_borrow_mut(|pack| {
        if pack.is_none() {
            *pack = zstd::bulk::Compressor::new(LEVEL).ok();
            if let Some(pack) = pack {
                // The block has a checksum, and knows its sizes.
                let _ = pack.include_checksum(false);
                let _ = pack.include_contentsize(false);
            }
        }
        pack.as_mut()?.compress(bytes).ok().filter(|small| small.len() < bytes.len())
    })
}

fn unpacked(bytes: &[u8], len: usize) -> Result<Vec<u8>, DecodeError> {
    let wrong = DecodeError("packed bytes can't be unpacked");
    UNPACK.with_borrow_mut(|unpack| {
        if unpack.is_none() {
            *unpack = zstd::bulk::Decompressor::new().ok();
        }
        let all = unpack.as_mut().ok_or(wrong)?.decompress(bytes, len).map_err(|_| wrong)?;
        if all.len() == len {
            Ok(all)
        } else {
            Err(wrong)
        }
    })
}

/// Bytes with their length, packed where that helps.
pub fn put_compressed(out: &mut Vec<u8>, bytes: &[u8]) {
    put_varint(out, bytes.len() as u64);
    match packed(bytes) {
        Some(small) => {
            out.push(1);
            put_bytes(out, &small);
        }
        None => {
            out.push(0);
            put_bytes(out, bytes);
        }
    }
}

pub fn read_compressed(from: &mut Cursor, most: usize) -> Result<Vec<u8>, DecodeError> {
    let len = from.count(most)?;
    let mode = from.u8()?;
    let bytes = from.bytes()?;
    match mode {
        0 if bytes.len() == len => Ok(bytes.to_vec()),
        1 => unpacked(bytes, len),
        _ => Err(DecodeError("unknown packing")),
    }
}

const RAW: u8 = 0;
const ZSTD: u8 = 1;
const SAME: u8 = 2;

/// A column: its lowest bytes, then the next, each plane packed by itself, since the lowest are mostly noise and
/// the upper ones mostly alike.
pub fn put_column(out: &mut Vec<u8>, values: &[u64]) {
    put_varint(out, values.len() as u64);
    let most = values.iter().copied().fold(0, |all, value| all | value);
    let width = (u64::BITS - most.leading_zeros()).div_ceil(8) as u8;
    out.push(width);
    let mut plane = Vec::with_capacity(values.len());
    for byte in 0..width {
        plane.clear();
        plane.extend(values.iter().map(|value| (value >> (8 * byte)) as u8));
        if plane.iter().all(|b| *b == plane[0]) {
            out.push(SAME);
            out.push(plane[0]);
        } else if let Some(small) = packed(&plane) {
            out.push(ZSTD);
            put_bytes(out, &small);
        } else {
            out.push(RAW);
            out.extend_from_slice(&plane);
        }
    }
}

/// The values of a column, of which there should be `wanted`, or at most [`MAX_COLUMN_VALUES`].
pub fn read_column(from: &mut Cursor, wanted: Option<usize>) -> Result<Vec<u64>, DecodeError> {
    let count = from.count(wanted.unwrap_or(MAX_COLUMN_VALUES))?;
    if wanted.is_some_and(|wanted| wanted != count) {
        return Err(DecodeError("a column lacks values"));
    }
    let width = from.u8()?;
    if width > 8 {
        return Err(DecodeError("a column is too wide"));
    }
    let mut values = vec![0u64; count];
    for byte in 0..width {
        let mut enter = |plane: &[u8]| {
            values.iter_mut().zip(plane).for_each(|(value, b)| *value |= u64::from(*b) << (8 * byte));
        };
        match from.u8()? {
            RAW => enter(from.take(count)?),
            ZSTD => enter(&unpacked(from.bytes()?, count)?),
            SAME => {
                let same = u64::from(from.u8()?) << (8 * byte);
                values.iter_mut().for_each(|value| *value |= same);
            }
            _ => return Err(DecodeError("unknown packing")),
        }
    }
    Ok(values)
}

#[cfg(test)]
mod tests;
