//! A ring buffer with a bound, one for each direction of a connection.

use std::io::{self, Read, Write};

pub struct Ring {
    bytes: Box<[u8]>,
    head: usize,
    len: usize,
    /// Size to which it shrinks back when it runs empty, and the most it may hold.
    least: usize,
    most: usize,
}

/// There is no room for that many bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Full;

/// What one read brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Filled {
    Bytes(usize),
    /// Nothing now; the connection tells when there is more.
    NotYet,
    Ended,
}

impl Ring {
    pub fn new(least: usize, most: usize) -> Ring {
        Ring { bytes: Box::default(), head: 0, len: 0, least: least.clamp(1, most), most }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn is_full(&self) -> bool {
        self.len == self.most
    }

    /// Makes room for `more` bytes, or leaves all as it was.
    fn grow(&mut self, more: usize) -> Result<(), Full> {
        let wanted = self.len.checked_add(more).filter(|&size| size <= self.most).ok_or(Full)?;
        if wanted > self.bytes.len() {
            let size = wanted.next_power_of_two().max(self.least).min(self.most);
            let mut bytes = vec![0; size].into_boxed_slice();
            let (first, second) = self.parts();
            bytes[..first.len()].copy_from_slice(first);
            bytes[first.len()..self.len].copy_from_slice(second);
            (self.bytes, self.head) = (bytes, 0);
        }
        Ok(())
    }

    /// What it holds, oldest first, in the two pieces in which it lies.
    fn parts(&self) -> (&[u8], &[u8]) {
        let first = self.len.min(self.bytes.len() - self.head);
        (&self.bytes[self.head..self.head + first], &self.bytes[..self.len - first])
    }

    /// What it holds, in one piece.
    pub fn whole(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    pub fn put(&mut self, bytes: &[u8]) -> Result<(), Full> {
        self.grow(bytes.len())?;
        if bytes.is_empty() {
            return Ok(());
        }
        let size = self.bytes.len();
        let tail = (self.head + self.len) % size;
        let first = bytes.len().min(size - tail);
        self.bytes[tail..tail + first].copy_from_slice(&bytes[..first]);
        self.bytes[..bytes.len() - first].copy_from_slice(&bytes[first..]);
        self.len += bytes.len();
        Ok(())
    }

    /// Drops the oldest bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        if self.len > 0 {
            self.head = (self.head + count) % self.bytes.len();
        } else {
            self.head = 0;
            if self.bytes.len() > self.least {
                self.bytes = Box::default();
            }
        }
    }

    /// One read into the free room, of which there must be some.
    pub fn fill_from(&mut self, mut source: impl Read) -> io::Result<Filled> {
        if self.bytes.len() == self.len {
            let more = (self.most - self.len).clamp(1, self.least);
            self.grow(more).map_err(|Full| io::Error::from(io::ErrorKind::OutOfMemory))?;
        }
        let size = self.bytes.len();
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { size };
        loop {
            match source.read(&mut self.bytes[tail..end]) {
                Ok(0) => return Ok(Filled::Ended),
                Ok(count) => {
                    self.len += count;
                    return Ok(Filled::Bytes(count));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Filled::NotYet),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes as much as the other side takes without waiting; whether all of it went.
    pub fn drain_to(&mut self, mut sink: impl Write) -> io::Result<bool> {
        while self.len > 0 {
            match sink.write(self.parts().0) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.consume(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
