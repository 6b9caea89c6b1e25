//! Main loop over the batches of the input.

use crate::batch::Instances;
use crate::error::{AdapterError, BatchError};
use crate::frame::{read_body, read_header};
use std::io::{Read, Write};

/// Processes batches until the input ends.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut body = Vec::new();
    for batch in 1.. {
        let served = serve_batch(&mut input, &mut output, &mut instances, &mut body);
        if !served.map_err(|source| AdapterError { batch, source })? {
            break;
        }
    }
    Ok(())
}

/// Processes the next batch; returns false at the end of the input.
fn serve_batch(
    input: &mut impl Read,
    output: &mut impl Write,
    instances: &mut Instances,
    body: &mut Vec<u8>,
) -> Result<bool, BatchError> {
    let Some(header) = read_header(input)? else { return Ok(false) };
    read_body(input, header.body_length, body)?;
    instances.run_batch(&header, body)?;
    output.write_all(instances.reply()).map_err(BatchError::Write)?;
    output.flush().map_err(BatchError::Write)?;
    Ok(true)
}

#[cfg(test)]
mod tests;
