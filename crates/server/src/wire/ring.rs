//! Bounded ring buffer, used for each direction of a connection.

use std::io::{self, Read, Write};

/// Byte queue that grows up to a maximum size and shrinks when empty.
pub struct RingBuffer {
    bytes: Box<[u8]>,
    head: usize,
    length: usize,
    /// Largest allocation kept when the buffer is empty.
    min_size: usize,
    max_size: usize,
}

/// Error: the bytes would exceed the maximum size.
#[derive(Debug, PartialEq, Eq)]
pub struct BufferFull;

/// Outcome of a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No bytes are available yet.
    WouldBlock,
    /// The peer closed the stream.
    Closed,
}

impl RingBuffer {
    /// Creates an empty buffer with sizes in bytes.
    pub fn new(min_size: usize, max_size: usize) -> RingBuffer {
        RingBuffer {
            bytes: Box::default(),
            head: 0,
            length: 0,
            min_size: min_size.clamp(1, max_size),
            max_size,
        }
    }

    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    pub fn is_full(&self) -> bool {
        self.length == self.max_size
    }

    /// Ensures room for `additional` bytes; on error the buffer is unchanged.
    fn grow(&mut self, additional: usize) -> Result<(), BufferFull> {
        let required =
            self.length.checked_add(additional).filter(|&size| size <= self.max_size).ok_or(BufferFull)?;
        if required > self.bytes.len() {
            let size = required.next_power_of_two().max(self.min_size).min(self.max_size);
            let mut bytes = vec![0; size].into_boxed_slice();
            let (first, second) = self.slices();
            bytes[..first.len()].copy_from_slice(first);
            bytes[first.len()..self.length].copy_from_slice(second);
            (self.bytes, self.head) = (bytes, 0);
        }
        Ok(())
    }

    /// Returns the content, oldest first, as two slices.
    fn slices(&self) -> (&[u8], &[u8]) {
        let first = self.length.min(self.bytes.len() - self.head);
        (&self.bytes[self.head..self.head + first], &self.bytes[..self.length - first])
    }

    /// Returns the content, oldest first, as one slice. Moves bytes if they wrap around.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.head + self.length > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.length]
    }

    /// Appends all of `bytes`, or nothing if they do not fit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BufferFull> {
        self.grow(bytes.len())?;
        if bytes.is_empty() {
            return Ok(());
        }
        let size = self.bytes.len();
        let tail = (self.head + self.length) % size;
        let first = bytes.len().min(size - tail);
        self.bytes[tail..tail + first].copy_from_slice(&bytes[..first]);
        self.bytes[..bytes.len() - first].copy_from_slice(&bytes[first..]);
        self.length += bytes.len();
        Ok(())
    }

    /// Drops the oldest `count` bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.length);
        self.length -= count;
        if self.length > 0 {
            self.head = (self.head + count) % self.bytes.len();
        } else {
            self.head = 0;
            if self.bytes.len() > self.min_size {
                self.bytes = Box::default();
            }
        }
    }

    /// Reads once into the free space.
    ///
    /// # Errors
    ///
    /// Returns `OutOfMemory` if the buffer is full, and errors of the source.
    pub fn fill_from(&mut self, mut source: impl Read) -> io::Result<ReadOutcome> {
        if self.bytes.len() == self.length {
            let additional = (self.max_size - self.length).clamp(1, self.min_size);
            self.grow(additional).map_err(|BufferFull| io::Error::from(io::ErrorKind::OutOfMemory))?;
        }
        let size = self.bytes.len();
        let tail = (self.head + self.length) % size;
        let end = if tail < self.head { self.head } else { size };
        loop {
            match source.read(&mut self.bytes[tail..end]) {
                Ok(0) => return Ok(ReadOutcome::Closed),
                Ok(count) => {
                    self.length += count;
                    return Ok(ReadOutcome::Bytes(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(ReadOutcome::WouldBlock)
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes until the sink would block. Returns whether the buffer is empty.
    pub fn drain_to(&mut self, mut sink: impl Write) -> io::Result<bool> {
        while self.length > 0 {
            match sink.write(self.slices().0) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.consume(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
