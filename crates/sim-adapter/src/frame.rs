//! Frames of the input: a header with the number of records, a length and the clock, then the records.

use crate::error::BatchError;
use crate::fields::MILLISECONDS_PER_SECOND;
use std::io::{ErrorKind, Read};

/// No batch of any deployment comes near this; a longer one is a broken stream.
const MAX_BODY_BYTES: usize = 1 << 30;
/// Bytes of a header.
const HEADER_BYTES: usize = 16;
/// Bytes of the clock, which the length in the header counts with the records.
const CLOCK_BYTES: usize = 8;

/// What stands before the records of a batch.
pub struct Header {
    /// Records that follow.
    pub records: u32,
    /// Bytes that they take.
    pub body_length: usize,
    /// The simulator's clock, in seconds.
    pub now: f64,
}

/// Fills `buffer` as far as the input goes, and returns how far that is; 0 bytes is the end of input.
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

/// The next header, or `None` where the input ends between two batches.
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
        return Err(BatchError::FrameTooLong(length));
    }
    if !now.is_finite() {
        return Err(BatchError::InvalidClock);
    }
    Ok(Header { records, body_length, now })
}

/// Reads the records of a batch into `body`, whose allocation is reused.
pub fn read_body(input: &mut impl Read, length: usize, body: &mut Vec<u8>) -> Result<(), BatchError> {
    body.clear();
    let read = input.take(length as u64).read_to_end(body).map_err(BatchError::Read)?;
    if read < length {
        return Err(BatchError::FrameTruncated { read, length });
    }
    Ok(())
}
