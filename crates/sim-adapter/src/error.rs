//! What can be wrong with the simulator's stream.

use puffinladder_settings::ConfigError;
use std::io;
use thiserror::Error;

/// Why the program ends early.
#[derive(Debug, Error)]
#[error("batch {batch}: {source}")]
pub struct AdapterError {
    /// The batch, counted from 1.
    pub batch: usize,
    /// What is wrong with it.
    pub source: BatchError,
}

/// What is wrong with a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// Standard input failed.
    #[error("the input could not be read: {0}")]
    Read(io::Error),
    /// Standard output failed.
    #[error("the reply could not be written: {0}")]
    Write(io::Error),
    /// The input ended before a header was whole.
    #[error("the input ended inside a header, after {read} of {length} bytes")]
    HeaderTruncated {
        /// Bytes that came.
        read: usize,
        /// Bytes of a header.
        length: usize,
    },
    /// The input ended before a frame was whole.
    #[error("the input ended inside a frame, after {read} of {length} bytes")]
    FrameTruncated {
        /// Bytes that came.
        read: usize,
        /// Bytes that were announced.
        length: usize,
    },
    /// The announced length is shorter than the clock that it counts.
    #[error("a length of {0} leaves no room for the clock")]
    LengthBelowClock(usize),
    /// The announced length is longer than any batch.
    #[error("an oversized frame of {0} bytes")]
    FrameTooLong(usize),
    /// The clock is infinite or no number.
    #[error("the clock is not a number")]
    InvalidClock,
    /// A record can't be decoded.
    #[error("record {record} at byte {offset}: {source}")]
    Record {
        /// The record, counted from 1.
        record: u32,
        /// Where in the batch it begins.
        offset: usize,
        /// What is wrong with it.
        source: RecordError,
    },
    /// The batch is longer than its records.
    #[error("{remaining} bytes are left over behind record {records}")]
    TrailingBytes {
        /// Bytes behind the last record.
        remaining: usize,
        /// Records of the batch.
        records: u32,
    },
}

/// What is wrong with a record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The batch ends before a field does.
    #[error("a field of {size} bytes at byte {offset} is cut off")]
    FieldTruncated {
        /// Bytes of the field.
        size: usize,
        /// Where in the batch it begins.
        offset: usize,
    },
    /// No event has this code.
    #[error("unknown code {0}")]
    UnknownCode(u8),
    /// No outcome has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// No instance was named yet.
    #[error("an event before any To")]
    NoTarget,
    /// The event is for an instance that does not run.
    #[error("code {code} for instance {instance}, which was never launched")]
    UnknownInstance {
        /// The event's code.
        code: u8,
        /// The instance's id.
        instance: u32,
    },
    /// The request names a class that its instance's start text lacks.
    #[error("request {request} names class {class}, which the start text lacks")]
    UnknownClass {
        /// The request's id.
        request: u32,
        /// Index of the class.
        class: usize,
    },
    /// The start text is no usable settings.
    #[error(transparent)]
    Settings(#[from] ConfigError),
}
