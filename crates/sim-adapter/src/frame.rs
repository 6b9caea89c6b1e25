//! Frames of the input: a header with the number of records, the length and the clock, followed by the
//! records.

use crate::error::BatchError;
use crate::fields::MILLISECONDS_PER_SECOND;
use std::io::{ErrorKind, Read};

/// Largest body of a frame, in bytes.
const MAX_BODY_BYTES: usize = 1 << 30;
/// Bytes of a header.
const HEADER_BYTES: usize = 16;
/// Bytes of the clock, which the length in the header includes.
const CLOCK_BYTES: usize = 8;

/// Header of a batch.
pub struct Header {
    /// Number of records in the batch.
    pub records: u32,
    /// Length of the records, in bytes.
    pub body_length: usize,
    /// The simulator's clock, in seconds.
    pub now: f64,
}

/// Reads until `buffer` is full or the input ends, and returns the number of bytes read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, BatchError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(BatchError::Read(error)),
        }
    }
    Ok(filled)
}

/// Reads the next header; `None` if the input ends between two batches.
pub fn read_header(input: &mut impl Read) -> Result<Option<Header>, BatchError> {
    let mut bytes = [0; HEADER_BYTES];
    match fill(input, &mut bytes)? {
        0 => Ok(None),
        HEADER_BYTES => decode_header(&bytes).map(Some),
        read => Err(BatchError::HeaderTruncated { read, length: HEADER_BYTES }),
    }
}

fn decode_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, BatchError> {
    let [r0, r1, r2, r3, l0, l1, l2, l3, clock @ ..] = *bytes;
    let records = u32::from_le_bytes([r0, r1, r2, r3]);
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    let now = f64::from_le_bytes(clock) / MILLISECONDS_PER_SECOND;
    let Some(body_length) = length.checked_sub(CLOCK_BYTES) else {
        return Err(BatchError::LengthBelowClock(length));
    };
    if body_length > MAX_BODY_BYTES {
        return Err(BatchError::FrameTooLong { length, limit: MAX_BODY_BYTES + CLOCK_BYTES });
    }
    if !now.is_finite() {
        return Err(BatchError::InvalidClock(now));
    }
    Ok(Header { records, body_length, now })
}

/// Reads the records of a batch into `body` and reuses its allocation.
pub fn read_body(input: &mut impl Read, length: usize, body: &mut Vec<u8>) -> Result<(), BatchError> {
    body.clear();
    let read = input.take(length as u64).read_to_end(body).map_err(BatchError::Read)?;
    if read < length {
        return Err(BatchError::FrameTruncated { read, length });
    }
    Ok(())
}
