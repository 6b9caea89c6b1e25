//! Decoding of the little-endian fields of a frame.

use crate::error::RecordError;
use puffinladder::{Completion, Outcome};

/// Conversion from times on the wire (milliseconds) to those of the policy (seconds).
pub const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Reader of the consecutive fields of a frame.
pub struct Fields<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Fields<'a> {
    /// Creates a reader at the start of a frame.
    pub fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields { bytes, offset: 0 }
    }

    /// Returns the offset of the next field, in bytes.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the number of unread bytes.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    /// Reads `size` bytes.
    pub fn take(&mut self, size: usize) -> Result<&'a [u8], RecordError> {
        let end = self.offset.checked_add(size).filter(|&end| end <= self.bytes.len());
        let end = end.ok_or(RecordError::FieldTruncated {
            size,
            remaining: self.remaining(),
            offset: self.offset,
        })?;
        let field = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], RecordError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    /// Reads an unsigned integer of one byte.
    pub fn u8(&mut self) -> Result<u8, RecordError> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads an unsigned integer of two bytes.
    pub fn u16(&mut self) -> Result<u16, RecordError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    /// Reads an unsigned integer of four bytes.
    pub fn u32(&mut self) -> Result<u32, RecordError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    /// Reads an unsigned integer of eight bytes.
    pub fn u64(&mut self) -> Result<u64, RecordError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// Reads a floating-point number of four bytes.
    pub fn f32(&mut self) -> Result<f64, RecordError> {
        Ok(f32::from_le_bytes(self.array()?).into())
    }

    /// Reads a floating-point number of eight bytes.
    pub fn f64(&mut self) -> Result<f64, RecordError> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    /// Reads a time or duration of the wire, in milliseconds, and returns it in seconds.
    pub fn seconds(&mut self) -> Result<f64, RecordError> {
        Ok(self.f64()? / MILLISECONDS_PER_SECOND)
    }

    fn outcome(&mut self) -> Result<Outcome, RecordError> {
        Ok(match self.u8()? {
            10 => Outcome::Completed,
            20 => Outcome::Failed,
            30 => Outcome::Rejected,
            40 => Outcome::TimedOut,
            50 => Outcome::Unreachable,
            60 => Outcome::ConnectionLost,
            70 => Outcome::Cancelled,
            80 => Outcome::NotNeeded,
            other => return Err(RecordError::UnknownOutcome(other)),
        })
    }

    /// Reads the end of a run or a call.
    pub fn completion(&mut self) -> Result<Completion, RecordError> {
        Ok(Completion { id: self.u32()?, outcome: self.outcome()?, duration: self.seconds()? })
    }
}
