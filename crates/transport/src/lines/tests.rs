use super::*;

#[tokio::test]
async fn lines_are_read_one_by_one_and_what_is_too_long_torn_or_no_json_says_so() {
    let mut lines = LineReader::new(&b"[1,2]\n\"x\"\n[3"[..], 16);
    assert_eq!(lines.read::<Vec<u8>>().await.unwrap(), Some(vec![1, 2]));
    assert!(matches!(lines.read::<Vec<u8>>().await, Err(TransportError::InvalidMessage(_))));
    assert_eq!(lines.read::<Vec<u8>>().await.unwrap(), None, "the other side ended in the middle");
    let long = [b'1'; 17];
    let read = LineReader::new(&long[..], 16).read::<u8>().await;
    assert!(matches!(read, Err(TransportError::LineTooLong(16))));
    let mut fits = vec![b' '; 15];
    fits.extend(b"7\n");
    assert_eq!(LineReader::new(&fits[..], 17).read::<u8>().await.unwrap(), Some(7));
}

#[tokio::test]
async fn a_read_that_was_dropped_half_way_loses_nothing() {
    let (mut to, from) = tokio::io::duplex(64);
    let mut lines = LineReader::new(from, 64);
    to.write_all(b"[1,").await.unwrap();
    let dropped = lines.read_within::<Vec<u8>>(Duration::from_millis(1)).await;
    assert!(matches!(dropped, Err(TransportError::TimedOut)));
    to.write_all(b"2]\n").await.unwrap();
    assert_eq!(lines.read::<Vec<u8>>().await.unwrap(), Some(vec![1, 2]));
}
