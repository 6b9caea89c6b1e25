use super::*;

#[tokio::test]
async fn reads_lines_and_reports_malformed_ones() {
    let mut lines = LineReader::new(&b"[1,2]\n\"x\"\n[3"[..], 16);
    assert_eq!(lines.read::<Vec<u8>>().await.unwrap(), Some(vec![1, 2]));
    assert!(matches!(lines.read::<Vec<u8>>().await, Err(TransportError::InvalidMessage(_))));
    assert_eq!(lines.read::<Vec<u8>>().await.unwrap(), None, "connection closed in the middle of a line");
    let long = [b'1'; 17];
    let read = LineReader::new(&long[..], 16).read::<u8>().await;
    assert!(matches!(read, Err(TransportError::LineTooLong(16))));
    let mut fits = vec![b' '; 15];
    fits.extend(b"7\n");
    assert_eq!(LineReader::new(&fits[..], 17).read::<u8>().await.unwrap(), Some(7));
}

#[tokio::test]
async fn cancelled_read_loses_no_bytes() {
    let (mut writer, reader) = tokio::io::duplex(64);
    let mut lines = LineReader::new(reader, 64);
    writer.write_all(b"[1,").await.unwrap();
    let dropped = lines.read_within::<Vec<u8>>(Duration::from_millis(1)).await;
    assert!(matches!(dropped, Err(TransportError::TimedOut)));
    writer.write_all(b"2]\n").await.unwrap();
    assert_eq!(lines.read::<Vec<u8>>().await.unwrap(), Some(vec![1, 2]));
}
