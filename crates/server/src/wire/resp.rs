//! Codec for RESP arrays of bulk strings, with bounds on every size received.

use thiserror::Error;

/// Maximum number of elements in an array.
pub const MAX_ELEMENTS: usize = 8;
/// Maximum number of digits in a count or length.
const MAX_DIGITS: usize = 7;
/// Maximum number of digits in a decimal number, such that it fits into 64 bits.
const MAX_DECIMAL_DIGITS: usize = 19;

/// Maximum length of input quoted in an error.
const MAX_EXCERPT_BYTES: usize = 32;

/// Framing error in an array of bulk strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The array is empty or has too many elements.
    #[error("array of {0} elements, expected 1 to {max}", max = MAX_ELEMENTS)]
    ElementCount(usize),
    /// An element exceeds the limit.
    #[error("element of {length} bytes exceeds the limit of {limit}")]
    OversizedElement {
        /// Length of the element.
        length: usize,
        /// Maximum length of an element.
        limit: usize,
    },
    /// An element is not followed by CRLF.
    #[error("element of {0} bytes is not followed by CRLF")]
    UnterminatedElement(usize),
    /// The type byte is not the expected one.
    #[error("expected type byte {expected:?}, got {found:?}")]
    UnexpectedType {
        /// Type byte of an array or bulk string.
        expected: char,
        /// Byte received.
        found: char,
    },
    /// A count or length is not a decimal number followed by CRLF.
    #[error("count after {0:?} is not a decimal number of 1 to {max} digits with CRLF", max = MAX_DIGITS)]
    MalformedCount(char),
}

/// Decoded array with elements borrowed from the input.
#[derive(Debug, PartialEq, Eq)]
pub struct Array<'a> {
    elements: [&'a [u8]; MAX_ELEMENTS],
    count: usize,
    /// Encoded size in bytes, framing included.
    pub size: usize,
}

impl<'a> Array<'a> {
    /// Returns the element at `index`, empty if absent.
    pub fn element(&self, index: usize) -> &'a [u8] {
        self.elements[..self.count].get(index).copied().unwrap_or_default()
    }
}

/// Decodes the first array in `bytes`. Returns `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the framing is malformed or an element exceeds `max_element` bytes.
pub fn read_array(bytes: &[u8], max_element: usize) -> Result<Option<Array<'_>>, FramingError> {
    let Some(Count { value: count, end: mut position }) = read_count(bytes, 0, b'*')? else {
        return Ok(None);
    };
    if !(1..=MAX_ELEMENTS).contains(&count) {
        return Err(FramingError::ElementCount(count));
    }
    let mut elements = [&bytes[..0]; MAX_ELEMENTS];
    for element in &mut elements[..count] {
        let Some(Count { value: length, end: start }) = read_count(bytes, position, b'$')? else {
            return Ok(None);
        };
        if length > max_element {
            return Err(FramingError::OversizedElement { length, limit: max_element });
        }
        let end = start + length;
        match (bytes.get(end), bytes.get(end + 1)) {
            (Some(b'\r') | None, Some(b'\n') | None) => {}
            _ => return Err(FramingError::UnterminatedElement(length)),
        }
        if bytes.len() < end + 2 {
            return Ok(None);
        }
        (*element, position) = (&bytes[start..end], end + 2);
    }
    Ok(Some(Array { elements, count, size: position }))
}

/// Count or length, and the position after its line.
struct Count {
    value: usize,
    end: usize,
}

/// Decodes the count that follows the type byte at `from`. Returns `None` if it is incomplete.
fn read_count(bytes: &[u8], from: usize, type_byte: u8) -> Result<Option<Count>, FramingError> {
    let Some((&first, rest)) = bytes.get(from..).and_then(<[u8]>::split_first) else { return Ok(None) };
    if first != type_byte {
        let (expected, found) = (char::from(type_byte), char::from(first));
        return Err(FramingError::UnexpectedType { expected, found });
    }
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > MAX_DIGITS || (digits == 0 && !rest.is_empty()) {
        return Err(FramingError::MalformedCount(char::from(type_byte)));
    }
    let value = rest[..digits].iter().fold(0, |value, digit| value * 10 + usize::from(digit - b'0'));
    match (rest.get(digits), rest.get(digits + 1)) {
        (Some(b'\r'), Some(b'\n')) => Ok(Some(Count { value, end: from + digits + 3 })),
        (None, _) | (Some(b'\r'), None) => Ok(None),
        _ => Err(FramingError::MalformedCount(char::from(type_byte))),
    }
}

/// Returns at most [`MAX_EXCERPT_BYTES`] of the text, escaped for an error message.
pub fn excerpt(text: &[u8]) -> String {
    text[..text.len().min(MAX_EXCERPT_BYTES)].escape_ascii().to_string()
}

/// Parses an unsigned decimal number without sign or spaces.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    let plain = (1..=MAX_DECIMAL_DIGITS).contains(&text.len()) && text.iter().all(u8::is_ascii_digit);
    plain.then(|| text.iter().fold(0, |value, digit| value * 10 + u64::from(digit - b'0')))
}

/// Parses a finite number from 0, with or without a fraction.
pub fn parse_fraction(text: &[u8]) -> Option<f64> {
    let value: f64 = std::str::from_utf8(text).ok()?.parse().ok()?;
    (value >= 0.0 && value.is_finite()).then_some(value)
}

/// Parses fields such as `i=9b,s=17`. Returns the values in the order of the one-letter `names`, empty if absent, or
/// `None` if a field has no `=`.
pub fn parse_fields<'a, const N: usize>(text: &'a [u8], names: &[u8; N]) -> Option<[&'a [u8]; N]> {
    let mut values = [&text[..0]; N];
    for field in text.split(|&byte| byte == b',').filter(|field| !field.is_empty()) {
        let (name, value) = field.split_at(field.iter().position(|&byte| byte == b'=')?);
        if let Some(index) = names.iter().position(|known| name == [*known]) {
            values[index] = &value[1..];
        }
    }
    Some(values)
}

/// Appends an encoded array.
pub fn write_array(out: &mut Vec<u8>, elements: &[&[u8]]) {
    write_count(out, b'*', elements.len());
    for element in elements {
        write_count(out, b'$', element.len());
        out.extend_from_slice(element);
        out.extend_from_slice(b"\r\n");
    }
}

fn write_count(out: &mut Vec<u8>, type_byte: u8, value: usize) {
    out.push(type_byte);
    write_decimal(out, value as u64);
    out.extend_from_slice(b"\r\n");
}

/// Appends a decimal number. Avoids `std::fmt`, which needs a larger stack.
pub fn write_decimal(out: &mut Vec<u8>, value: u64) {
    let start = out.len();
    let mut rest = value;
    loop {
        out.push(b'0' + (rest % 10) as u8);
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    out[start..].reverse();
}

#[cfg(test)]
mod tests;
