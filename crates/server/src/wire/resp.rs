//! RESP arrays of bulk strings: a pure codec that trusts no size.

use thiserror::Error;

/// Most elements of an array.
pub const MAX_ELEMENTS: usize = 8;
/// Most digits of a count or length.
const MAX_DIGITS: usize = 7;
/// Most digits of a number: any number of so many fits into 64 bits.
const MAX_DECIMAL_DIGITS: usize = 19;

/// What makes bytes no array of bulk strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// An array of no elements or of too many.
    #[error("wrong number of elements")]
    ElementCount,
    /// An element is longer than allowed.
    #[error("an oversized element")]
    OversizedElement,
    /// An element is not followed by a line end.
    #[error("an element without its end")]
    UnterminatedElement,
    /// Another type of message, or none.
    #[error("broken framing")]
    UnexpectedType,
    /// A count or length that is no number.
    #[error("a broken count")]
    MalformedCount,
}

/// One array, its elements still where they lay.
#[derive(Debug, PartialEq, Eq)]
pub struct Array<'a> {
    elements: [&'a [u8]; MAX_ELEMENTS],
    count: usize,
    /// Bytes that it took, framing included.
    pub size: usize,
}

impl<'a> Array<'a> {
    /// The element at this place; what is absent is empty.
    pub fn element(&self, index: usize) -> &'a [u8] {
        self.elements[..self.count].get(index).copied().unwrap_or_default()
    }
}

/// The first array in `bytes`, or `None` while it is not all there. An element longer than `max_element` is an error.
pub fn read_array(bytes: &[u8], max_element: usize) -> Result<Option<Array<'_>>, FramingError> {
    let Some(Count { value: count, end: mut position }) = read_count(bytes, 0, b'*')? else {
        return Ok(None);
    };
    if !(1..=MAX_ELEMENTS).contains(&count) {
        return Err(FramingError::ElementCount);
    }
    let mut elements = [&bytes[..0]; MAX_ELEMENTS];
    for element in &mut elements[..count] {
        let Some(Count { value: length, end: start }) = read_count(bytes, position, b'$')? else {
            return Ok(None);
        };
        if length > max_element {
            return Err(FramingError::OversizedElement);
        }
        let end = start + length;
        match (bytes.get(end), bytes.get(end + 1)) {
            (Some(b'\r') | None, Some(b'\n') | None) => {}
            _ => return Err(FramingError::UnterminatedElement),
        }
        if bytes.len() < end + 2 {
            return Ok(None);
        }
        (*element, position) = (&bytes[start..end], end + 2);
    }
    Ok(Some(Array { elements, count, size: position }))
}

/// A count or length, and the place behind its line.
struct Count {
    value: usize,
    end: usize,
}

/// The count behind the type byte at `from`.
fn read_count(bytes: &[u8], from: usize, type_byte: u8) -> Result<Option<Count>, FramingError> {
    let Some((&first, rest)) = bytes.get(from..).and_then(<[u8]>::split_first) else { return Ok(None) };
    if first != type_byte {
        return Err(FramingError::UnexpectedType);
    }
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > MAX_DIGITS || (digits == 0 && !rest.is_empty()) {
        return Err(FramingError::MalformedCount);
    }
    let value = rest[..digits].iter().fold(0, |value, digit| value * 10 + usize::from(digit - b'0'));
    match (rest.get(digits), rest.get(digits + 1)) {
        (Some(b'\r'), Some(b'\n')) => Ok(Some(Count { value, end: from + digits + 3 })),
        (None, _) | (Some(b'\r'), None) => Ok(None),
        _ => Err(FramingError::MalformedCount),
    }
}

/// A plain decimal number from 0 up.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    let plain = (1..=MAX_DECIMAL_DIGITS).contains(&text.len()) && text.iter().all(u8::is_ascii_digit);
    plain.then(|| text.iter().fold(0, |value, digit| value * 10 + u64::from(digit - b'0')))
}

/// A finite number from 0 up, with or without a fraction.
pub fn parse_fraction(text: &[u8]) -> Option<f64> {
    let value: f64 = std::str::from_utf8(text).ok()?.parse().ok()?;
    (value >= 0.0 && value.is_finite()).then_some(value)
}

/// Values of fields such as `i=9b,s=17`, in the order of the one-letter `names`; what is absent is empty. `None` for a
/// field without a value.
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

/// Appends an array.
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

/// Appends a number without the detour over formatting, which takes much stack.
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
