//! Errors in the simulator's stream.

use puffinladder_settings::ConfigError;
use std::io;
use thiserror::Error;

/// Error that ends the program.
#[derive(Debug, Error)]
#[error("batch {batch}: {source}")]
pub struct AdapterError {
    /// Number of the batch, from 1.
    pub batch: usize,
    /// Error in the batch.
    pub source: BatchError,
}

/// Error in a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// Reading standard input failed.
    #[error("cannot read standard input: {0}")]
    Read(io::Error),
    /// Writing standard output failed.
    #[error("cannot write the reply to standard output: {0}")]
    Write(io::Error),
    /// The input ended inside a header.
    #[error("input ended inside a header: got {read} of {length} bytes")]
    HeaderTruncated {
        /// Bytes received.
        read: usize,
        /// Bytes of a header.
        length: usize,
    },
    /// The input ended inside a frame.
    #[error("input ended inside a frame: got {read} of {length} bytes")]
    FrameTruncated {
        /// Bytes received.
        read: usize,
        /// Bytes announced by the header.
        length: usize,
    },
    /// The announced length is shorter than the clock that it includes.
    #[error("frame length {0} is shorter than the clock of 8 bytes")]
    LengthBelowClock(usize),
    /// The announced length exceeds the limit.
    #[error("frame of {length} bytes exceeds the limit of {limit} bytes")]
    FrameTooLong {
        /// Bytes announced by the header.
        length: usize,
        /// Maximum number of bytes in a frame.
        limit: usize,
    },
    /// The clock is infinite or not a number.
    #[error("clock is not a finite number: {0}")]
    InvalidClock(f64),
    /// A record cannot be decoded.
    #[error("record {record} at byte {offset}: {source}")]
    Record {
        /// Number of the record, from 1.
        record: u32,
        /// Offset of the record in the batch, in bytes.
        offset: usize,
        /// Error in the record.
        source: RecordError,
    },
    /// The batch is longer than its records.
    #[error("{remaining} bytes follow the last of {records} records")]
    TrailingBytes {
        /// Bytes after the last record.
        remaining: usize,
        /// Number of records in the batch.
        records: u32,
    },
}

/// Error in a record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The batch ends inside a field.
    #[error("truncated field at byte {offset}: got {remaining} of {size} bytes")]
    FieldTruncated {
        /// Bytes of the field.
        size: usize,
        /// Bytes left in the batch.
        remaining: usize,
        /// Offset of the field in the batch, in bytes.
        offset: usize,
    },
    /// No record has this code.
    #[error("unknown code {0} of a record")]
    UnknownCode(u8),
    /// No outcome has this code.
    #[error("unknown code {0} of an outcome")]
    UnknownOutcome(u8),
    /// The record precedes any record that names an instance.
    #[error("code {code} before any To record")]
    NoTarget {
        /// Code of the record.
        code: u8,
    },
    /// The record is for an instance that is not running.
    #[error("code {code} for instance {instance}, which is not running")]
    UnknownInstance {
        /// Code of the record.
        code: u8,
        /// Id of the instance.
        instance: u32,
    },
    /// The request has a class that the start text does not define.
    #[error("request {request} has class {class}, but the start text defines {classes} classes")]
    UnknownClass {
        /// Id of the request.
        request: u32,
        /// Index of the class.
        class: usize,
        /// Number of classes that the start text defines.
        classes: usize,
    },
    /// The start text holds no valid settings.
    #[error(transparent)]
    Settings(#[from] ConfigError),
}
