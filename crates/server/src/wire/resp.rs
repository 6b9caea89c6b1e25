//! RESP arrays of bulk strings: a pure codec that trusts no size.

/// Most elements of an array, and most digits of a count or length.
pub const ELEMENTS: usize = 8;
const DIGITS: usize = 7;

/// One array, its elements still where they lay.
#[derive(Debug, PartialEq, Eq)]
pub struct Array<'a> {
    elements: [&'a [u8]; ELEMENTS],
    count: usize,
    /// Bytes that it took, framing included.
    pub size: usize,
}

impl<'a> Array<'a> {
    /// An element; what is absent is empty.
    pub fn at(&self, place: usize) -> &'a [u8] {
        self.elements[..self.count].get(place).copied().unwrap_or_default()
    }
}

/// The first array in `bytes`, or `None` while it is not all there. An element longer than `most` is broken.
pub fn array(bytes: &[u8], most: usize) -> Result<Option<Array<'_>>, &'static str> {
    let Some((count, mut at)) = number(bytes, 0, b'*')? else { return Ok(None) };
    if !(1..=ELEMENTS).contains(&count) {
        return Err("wrong number of elements");
    }
    let mut elements = [&bytes[..0]; ELEMENTS];
    for element in &mut elements[..count] {
        let Some((len, start)) = number(bytes, at, b'$')? else { return Ok(None) };
        if len > most {
            return Err("an oversized element");
        }
        let end = start + len;
        match (bytes.get(end), bytes.get(end + 1)) {
            (Some(b'\r') | None, Some(b'\n') | None) => {}
            _ => return Err("an element without its end"),
        }
        if bytes.len() < end + 2 {
            return Ok(None);
        }
        (*element, at) = (&bytes[start..end], end + 2);
    }
    Ok(Some(Array { elements, count, size: at }))
}

/// The number behind `mark` and the place behind its line.
fn number(bytes: &[u8], from: usize, mark: u8) -> Result<Option<(usize, usize)>, &'static str> {
    let Some((&first, rest)) = bytes.get(from..).and_then(<[u8]>::split_first) else { return Ok(None) };
    if first != mark {
        return Err("broken framing");
    }
    let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
    if digits > DIGITS || (digits == 0 && !rest.is_empty()) {
        return Err("a broken count");
    }
    let value = rest[..digits].iter().fold(0, |value, digit| value * 10 + usize::from(digit - b'0'));
    match (rest.get(digits), rest.get(digits + 1)) {
        (Some(b'\r'), Some(b'\n')) => Ok(Some((value, from + digits + 3))),
        (None, _) | (Some(b'\r'), None) => Ok(None),
        _ => Err("a broken count"),
    }
}

/// A plain decimal number from 0 up.
pub fn decimal(text: &[u8]) -> Option<u64> {
    let plain = (1..=19).contains(&text.len()) && text.iter().all(u8::is_ascii_digit);
    plain.then(|| text.iter().fold(0, |value, digit| value * 10 + u64::from(digit - b'0')))
}

/// A finite number from 0 up, with or without a fraction.
pub fn fraction(text: &[u8]) -> Option<f64> {
    let value: f64 = std::str::from_utf8(text).ok()?.parse().ok()?;
    (value >= 0.0 && value.is_finite()).then_some(value)
}

/// Values of fields such as `i=9b,s=17`, in the order of the one-letter `names`; what is absent is empty.
pub fn fields<'a, const N: usize>(text: &'a [u8], names: &[u8; N]) -> Option<[&'a [u8]; N]> {
    let mut values = [&text[..0]; N];
    for field in text.split(|&b| b == b',').filter(|field| !field.is_empty()) {
        let (name, value) = field.split_at(field.iter().position(|&b| b == b'=')?);
        if let Some(place) = names.iter().position(|known| name == [*known]) {
            values[place] = &value[1..];
        }
    }
    Some(values)
}

/// Appends an array.
pub fn write(out: &mut Vec<u8>, elements: &[&[u8]]) {
    count(out, b'*', elements.len());
    for element in elements {
        count(out, b'$', element.len());
        out.extend_from_slice(element);
        out.extend_from_slice(b"\r\n");
    }
}

fn count(out: &mut Vec<u8>, mark: u8, value: usize) {
    out.push(mark);
    put_decimal(out, value as u64);
    out.extend_from_slice(b"\r\n");
}

/// Appends a number without the detour over formatting, which goes deep.
pub fn put_decimal(out: &mut Vec<u8>, value: u64) {
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
