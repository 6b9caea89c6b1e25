use super::*;

#[tokio::test]
async fn answers_are_read_whole_and_what_is_none_is_refused() {
    let whole = encode_command(&[b"7", b"200", b"w=1", b"two\r\nlines"]);
    let read = answer(&mut BufReader::new(&whole[..])).await.unwrap();
    assert_eq!(read, [&b"7"[..], b"200", b"w=1", b"two\r\nlines"]);
    for bad in [&b"*1\r\n$99999999999\r\n"[..], b"$1\r\nx\r\n", b"*1\r\n$3\r\nab", b"*-1\r\n", b"*x\r\n", b""]
    {
        assert!(answer(&mut BufReader::new(bad)).await.is_err(), "{bad:?}");
    }
}
