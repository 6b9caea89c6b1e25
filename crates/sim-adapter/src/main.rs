//! Runs the admission policy on the wire of the bench's simulator: batches of events on standard input,
//! replies with decisions on standard output, one [`AdmissionPolicy`](puffinladder::AdmissionPolicy) for each
//! instance.
//!
//! The program frames, decodes and encodes; it decides nothing.
#![deny(missing_docs)]

mod batch;
mod error;
mod events;
mod fields;
mod frame;
mod reply;
mod serve;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Bytes of buffer at each end: a batch of an ordinary round fits.
const BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match serve::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("puffinladder-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
