//! Runs the admission policy on the wire protocol of the bench simulator: batches of events on standard
//! input, replies with decisions on standard output, one [`AdmissionPolicy`](puffinladder::AdmissionPolicy)
//! per instance.
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

/// Size of the input and output buffers, in bytes; a batch of an ordinary round fits.
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
