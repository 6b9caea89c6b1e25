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
mod tests {
    use super::*;

    fn encoded(elements: &[&[u8]]) -> Vec<u8> {
        let mut out = Vec::new();
        write(&mut out, elements);
        out
    }

    #[test]
    fn an_array_is_read_once_it_is_whole_and_not_a_byte_sooner() {
        let call = [&b"CALL"[..], b"7", b"checkout", b"i=9b,s=17,h=12.50", b"\r\n*1\0\xff$"];
        let mut bytes = encoded(&call);
        let size = bytes.len();
        bytes.extend(encoded(&[b"CHECK", b"8", b""]));
        for cut in 0..size {
            assert_eq!(array(&bytes[..cut], 2048), Ok(None), "{cut}");
        }
        let read = array(&bytes, 2048).unwrap().unwrap();
        assert_eq!((read.size, read.count), (size, 5));
        for (place, element) in call.iter().enumerate() {
            assert_eq!(read.at(place), *element);
        }
        let next = array(&bytes[size..], 2048).unwrap().unwrap();
        assert_eq!(
            (next.at(0), next.at(1), next.at(2), next.at(3)),
            (&b"CHECK"[..], &b"8"[..], &b""[..], &b""[..])
        );
    }

    #[test]
    fn broken_framing_is_told_from_what_is_not_yet_there() {
        let cases = [
            "x",
            "*x\r\n",
            "*0\r\n",
            "*9\r\n",
            "*12345678",
            "*-1\r\n",
            "*1\n",
            "*1\r\n+OK\r\n",
            "*1\r\n$-1\r\n",
            "*1\r\n$2049\r\n",
            "*1\r\n$1\r\nabc",
            "*1\r\n$99999999999\r\n",
            "$1\r\na\r\n",
            "*1\r\n$1\r\na\rb",
        ];
        for case in cases {
            assert!(array(case.as_bytes(), 2048).is_err(), "{case:?}");
        }
    }

    #[test]
    fn fields_come_in_any_order_and_unknown_ones_are_passed_over() {
        let [i, s, k] = fields(b"s=17,zz=1,i=9b,q=,k=a=b", b"isk").unwrap();
        assert_eq!((i, s, k), (&b"9b"[..], &b"17"[..], &b"a=b"[..]));
        assert_eq!(fields(b"", b"i"), Some([&b""[..]]));
        assert_eq!(fields(b"i", b"i"), None);
        assert_eq!(
            (decimal(b"18"), decimal(b""), decimal(b"+1"), decimal(b"1e3")),
            (Some(18), None, None, None)
        );
        assert_eq!(
            (fraction(b"0.625"), fraction(b"nan"), fraction(b"-1"), fraction(b"inf")),
            (Some(0.625), None, None, None)
        );
        let mut out = Vec::new();
        [0, 7, 1764576000123].iter().for_each(|&n| put_decimal(&mut out, n));
        assert_eq!(out, b"071764576000123");
    }
}
