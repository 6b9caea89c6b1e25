//! Encoding of numbers, strings and columns. Decoding checks every read against the remaining bytes, and checks sizes
//! before allocating for them.

use std::cell::RefCell;

/// Error of decoding malformed bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub &'static str);

/// Maximum number of rows in a block.
pub const MAX_BLOCK_ROWS: usize = 1 << 16;
/// Maximum values of a column; the spans of a block count as one column for each step code.
pub const MAX_COLUMN_VALUES: usize = MAX_BLOCK_ROWS * 16;
/// Maximum bytes of a head after decompression.
pub const MAX_HEAD_BYTES: usize = 8 << 20;

/// Reader of a byte slice.
#[derive(Clone, Copy)]
pub struct Cursor<'a>(pub &'a [u8]);

impl<'a> Cursor<'a> {
    /// Takes the next `len` bytes.
    pub fn take(&mut self, len: usize) -> Result<&'a [u8], DecodeError> {
        let (front, rest) = self.0.split_at_checked(len).ok_or(DecodeError("unexpected end of data"))?;
        self.0 = rest;
        Ok(front)
    }
    fn fixed<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        self.take(N)?.try_into().map_err(|_| DecodeError("unexpected end of data"))
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
    /// Reads a LEB128 number.
    pub fn varint(&mut self) -> Result<u64, DecodeError> {
        let mut value = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.u8()?;
            value |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return if shift == 63 && byte > 1 {
                    Err(DecodeError("varint exceeds 64 bits"))
                } else {
                    Ok(value)
                };
            }
        }
        Err(DecodeError("varint exceeds 64 bits"))
    }
    /// Reads a number that must not exceed `most`.
    pub fn count(&mut self, max: usize) -> Result<usize, DecodeError> {
        let value = self.varint()?;
        usize::try_from(value).ok().filter(|v| *v <= max).ok_or(DecodeError("count out of range"))
    }
    /// Reads bytes preceded by their length.
    pub fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let len = self.count(self.0.len())?;
        self.take(len)
    }
    /// Reads a UTF-8 string preceded by its length.
    pub fn text(&mut self) -> Result<&'a str, DecodeError> {
        std::str::from_utf8(self.bytes()?).map_err(|_| DecodeError("name is not valid UTF-8"))
    }
}

/// Writes a LEB128 number.
pub fn put_varint(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

/// Writes bytes preceded by their length.
pub fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    put_varint(out, bytes.len() as u64);
    out.extend_from_slice(bytes);
}

/// Significant bits kept of a measured span: exact below 256, relative error within 0.2% above.
pub const SPAN_BITS: u32 = 8;
/// Significant bits kept of estimates and of times in whole milliseconds: relative error within 0.8%.
pub const ESTIMATE_BITS: u32 = 6;

/// Quantises a value to `bits` significant bits. Codes keep the order of the values, and quantising a dequantised value
/// returns the same code.
pub fn quantize(value: u32, bits: u32) -> u16 {
    let shift = (u32::BITS - value.leading_zeros()).saturating_sub(bits);
    ((shift << (bits - 1)) + (value >> shift)) as u16
}

/// Returns the midpoint of the values that share a code.
pub fn dequantize(code: u16, bits: u32) -> u32 {
    let code = u32::from(code);
    if code < 1 << bits {
        return code;
    }
    let shift = ((code >> (bits - 1)) - 1).min(u32::BITS - bits);
    let top = (code - (shift << (bits - 1))).min((1 << bits) - 1);
    (top << shift) + (1 << shift >> 1)
}

/// Returns a value as it is after encoding and decoding.
pub fn round_to_bits(value: u32, bits: u32) -> u32 {
    dequantize(quantize(value, bits), bits)
}

thread_local! {
    static COMPRESSOR: RefCell<Option<zstd::bulk::Compressor<'static>>> = const { RefCell::new(None) };
    static DECOMPRESSOR: RefCell<Option<zstd::bulk::Decompressor<'static>>> = const { RefCell::new(None) };
}

/// Compression level of zstd: the columns are short, and higher levels gain nothing.
const ZSTD_LEVEL: i32 = 1;

/// Compresses bytes. Returns `None` if the result is not smaller.
fn compress(bytes: &[u8]) -> Option<Vec<u8>> {
    COMPRESSOR.with_borrow_mut(|compressor| {
        if compressor.is_none() {
            *compressor = zstd::bulk::Compressor::new(ZSTD_LEVEL).ok();
            if let Some(compressor) = compressor {
                // Blocks carry their own checksums and lengths.
                let _ = compressor.include_checksum(false);
                let _ = compressor.include_contentsize(false);
            }
        }
        compressor.as_mut()?.compress(bytes).ok().filter(|compressed| compressed.len() < bytes.len())
    })
}

fn decompress(bytes: &[u8], len: usize) -> Result<Vec<u8>, DecodeError> {
    let corrupt = DecodeError("compressed data is corrupt");
    DECOMPRESSOR.with_borrow_mut(|decompressor| {
        if decompressor.is_none() {
            *decompressor = zstd::bulk::Decompressor::new().ok();
        }
        let decompressed =
            decompressor.as_mut().ok_or(corrupt)?.decompress(bytes, len).map_err(|_| corrupt)?;
        if decompressed.len() == len {
            Ok(decompressed)
        } else {
            Err(corrupt)
        }
    })
}

/// Writes bytes with their length, compressed if that is smaller.
pub fn put_compressed(out: &mut Vec<u8>, bytes: &[u8]) {
    put_varint(out, bytes.len() as u64);
    match compress(bytes) {
        Some(compressed) => {
            out.push(1);
            put_bytes(out, &compressed);
        }
        None => {
            out.push(0);
            put_bytes(out, bytes);
        }
    }
}

/// Reads bytes written by [`put_compressed`], of which there may be `max` at most.
pub fn read_compressed(from: &mut Cursor, max: usize) -> Result<Vec<u8>, DecodeError> {
    let len = from.count(max)?;
    let mode = from.u8()?;
    let bytes = from.bytes()?;
    match mode {
        0 if bytes.len() == len => Ok(bytes.to_vec()),
        1 => decompress(bytes, len),
        _ => Err(DecodeError("unknown compression mode")),
    }
}

/// Storage modes of a plane.
const RAW: u8 = 0;
const ZSTD: u8 = 1;
const CONSTANT: u8 = 2;

/// Writes a column as planes, lowest byte first. Each plane is compressed separately, since low bytes are close to
/// random and high bytes are mostly equal.
pub fn put_column(out: &mut Vec<u8>, values: &[u64]) {
    put_varint(out, values.len() as u64);
    let used_bits = values.iter().copied().fold(0, |bits, value| bits | value);
    let width = (u64::BITS - used_bits.leading_zeros()).div_ceil(8) as u8;
    out.push(width);
    let mut plane = Vec::with_capacity(values.len());
    for byte in 0..width {
        plane.clear();
        plane.extend(values.iter().map(|value| (value >> (8 * byte)) as u8));
        if plane.iter().all(|b| *b == plane[0]) {
            out.push(CONSTANT);
            out.push(plane[0]);
        } else if let Some(compressed) = compress(&plane) {
            out.push(ZSTD);
            put_bytes(out, &compressed);
        } else {
            out.push(RAW);
            out.extend_from_slice(&plane);
        }
    }
}

/// Reads a column of `wanted` values, or of at most [`MAX_COLUMN_VALUES`].
pub fn read_column(from: &mut Cursor, wanted: Option<usize>) -> Result<Vec<u64>, DecodeError> {
    let count = from.count(wanted.unwrap_or(MAX_COLUMN_VALUES))?;
    if wanted.is_some_and(|wanted| wanted != count) {
        return Err(DecodeError("column has too few values"));
    }
    let width = from.u8()?;
    if width > 8 {
        return Err(DecodeError("column is wider than 8 bytes"));
    }
    let mut values = vec![0u64; count];
    for byte in 0..width {
        let mut add_plane = |plane: &[u8]| {
            values.iter_mut().zip(plane).for_each(|(value, b)| *value |= u64::from(*b) << (8 * byte));
        };
        match from.u8()? {
            RAW => add_plane(from.take(count)?),
            ZSTD => add_plane(&decompress(from.bytes()?, count)?),
            CONSTANT => {
                let constant = u64::from(from.u8()?) << (8 * byte);
                values.iter_mut().for_each(|value| *value |= constant);
            }
            _ => return Err(DecodeError("unknown compression mode")),
        }
    }
    Ok(values)
}

#[cfg(test)]
mod tests;
