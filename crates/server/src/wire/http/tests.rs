use super::*;

#[test]
fn reads_complete_replies_and_rejects_malformed_ones() {
    let complete = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nContent-Length: 3\r\n\r\nabc";
    for cut in 0..complete.len() {
        assert_eq!(read_reply(&complete[..cut], 4096, 64), Ok(None), "{cut}");
    }
    let read = read_reply(complete, 4096, 64).unwrap();
    assert_eq!(read, Some(Reply { status: 503, not_run: true, body: b"abc" }));
    // Interim replies before the final one and bytes after it are ignored.
    let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nContent-Length: 9\r\n\r\n";
    let more = [&interim[..], complete, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxnoise"].concat();
    assert_eq!(read_reply(&more, 4096, 64).unwrap(), read);
    assert_eq!(read_reply(interim, 4096, 64), Ok(None));
    let bad: [&[u8]; 7] = [
        b"HTTP/1.1 101 Away\r\n\r\n",
        b"RESP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ];
    for bad in bad {
        assert!(read_reply(bad, 4096, 64).is_err(), "{}", String::from_utf8_lossy(bad));
    }
    assert!(read_reply(&[b"HTTP/1.1 200 OK\r\nA: ".to_vec(), vec![b'a'; 99]].concat(), 64, 64).is_err());
}
