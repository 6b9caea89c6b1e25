use super::*;

fn encoded(elements: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::new();
    write_array(&mut out, elements);
    out
}

#[test]
fn reads_array_only_when_complete() {
    let call = [&b"CALL"[..], b"7", b"checkout", b"i=9b,s=17,h=12.50", b"\r\n*1\0\xff$"];
    let mut bytes = encoded(&call);
    let size = bytes.len();
    bytes.extend(encoded(&[b"CHECK", b"8", b""]));
    for cut in 0..size {
        assert_eq!(read_array(&bytes[..cut], 2048), Ok(None), "{cut}");
    }
    let read = read_array(&bytes, 2048).unwrap().unwrap();
    assert_eq!((read.size, read.count), (size, 5));
    for (index, element) in call.iter().enumerate() {
        assert_eq!(read.element(index), *element);
    }
    let next = read_array(&bytes[size..], 2048).unwrap().unwrap();
    assert_eq!(
        (next.element(0), next.element(1), next.element(2), next.element(3)),
        (&b"CHECK"[..], &b"8"[..], &b""[..], &b""[..])
    );
}

#[test]
fn rejects_malformed_framing() {
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
        assert!(read_array(case.as_bytes(), 2048).is_err(), "{case:?}");
    }
}

#[test]
fn parses_fields_in_any_order_and_ignores_unknown_ones() {
    let [i, s, k] = parse_fields(b"s=17,zz=1,i=9b,q=,k=a=b", b"isk").unwrap();
    assert_eq!((i, s, k), (&b"9b"[..], &b"17"[..], &b"a=b"[..]));
    assert_eq!(parse_fields(b"", b"i"), Some([&b""[..]]));
    assert_eq!(parse_fields(b"i", b"i"), None);
    assert_eq!(
        (parse_decimal(b"18"), parse_decimal(b""), parse_decimal(b"+1"), parse_decimal(b"1e3")),
        (Some(18), None, None, None)
    );
    assert_eq!(
        (parse_fraction(b"0.625"), parse_fraction(b"nan"), parse_fraction(b"-1"), parse_fraction(b"inf")),
        (Some(0.625), None, None, None)
    );
    let mut out = Vec::new();
    [0, 7, 1764576000123].iter().for_each(|&n| write_decimal(&mut out, n));
    assert_eq!(out, b"071764576000123");
}
