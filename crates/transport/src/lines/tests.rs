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

/// Guards against connections whose unfinished lines take a full line's memory each, and keep sound peers out.
#[tokio::test]
async fn unfinished_lines_stay_within_the_budget_and_let_sound_peers_through() {
    const MAX_LINE_BYTES: usize = 1 << 20;
    let limits = LineLimits {
        max_line_bytes: MAX_LINE_BYTES,
        line_timeout: Duration::MAX,
        decoded_bytes_per_byte: 1,
        memory: MemoryBudget::new(4 * MAX_LINE_BYTES),
    };
    let unfinished = [b'1'; 600_000];
    let mut stopped_peers = Vec::new();
    for _ in 0..40 {
        let (mut writer, reader) = tokio::io::duplex(1024);
        let mut lines = LineReader::with_limits(reader, limits.clone());
        let (written, receipt) = tokio::sync::oneshot::channel();
        let reading = tokio::spawn(async move { lines.read::<u64>().await.map(drop) });
        let peer = tokio::spawn(async move {
            let _ = writer.write_all(&unfinished).await;
            let _ = written.send(());
            std::future::pending::<()>().await;
        });
        receipt.await.unwrap();
        assert!(limits.memory.used() <= 4 * MAX_LINE_BYTES);
        stopped_peers.push((reading, peer));
    }
    let mut sound = vec![b' '; MAX_LINE_BYTES - 2];
    sound.extend(b"7\n");
    let mut lines = LineReader::with_limits(&sound[..], limits.clone());
    assert_eq!(lines.read::<u8>().await.unwrap(), Some(7));
    let still_open = stopped_peers.iter().filter(|(reading, _)| !reading.is_finished()).count();
    assert!(still_open <= 4, "{still_open} unfinished lines are still held");
    stopped_peers.iter().for_each(|(_, peer)| peer.abort());
}

/// Guards against a connection that keeps the memory of its longest line while it is idle.
#[tokio::test]
async fn memory_of_a_line_is_released_once_its_message_is_handled() {
    let memory = MemoryBudget::new(1 << 20);
    let limits = LineLimits {
        max_line_bytes: 1 << 16,
        line_timeout: Duration::MAX,
        decoded_bytes_per_byte: 2,
        memory: memory.clone(),
    };
    let mut input = vec![b' '; 50_000];
    input.extend(b"7\n");
    let (mut writer, reader) = tokio::io::duplex(1 << 17);
    writer.write_all(&input).await.unwrap();
    let mut lines = LineReader::with_limits(reader, limits);
    assert_eq!(lines.read::<u8>().await.unwrap(), Some(7));
    let reservation = lines.take_reservation();
    assert_eq!(memory.used(), 3 * input.len());
    assert!(lines.line.capacity() <= SMALL_MESSAGE_BYTES);
    drop(reservation);
    assert_eq!(memory.used(), 0);
}

/// Guards against a peer that never ends its line.
#[tokio::test]
async fn line_that_is_not_finished_in_time_ends_the_connection() {
    let line_timeout = Duration::from_millis(20);
    let limits = LineLimits {
        max_line_bytes: 64,
        line_timeout,
        decoded_bytes_per_byte: 0,
        memory: MemoryBudget::new(1 << 20),
    };
    let (mut writer, reader) = tokio::io::duplex(64);
    writer.write_all(b"[1").await.unwrap();
    let read = LineReader::with_limits(reader, limits).read::<Vec<u8>>().await;
    assert!(matches!(read, Err(TransportError::LineTooSlow(timeout)) if timeout == line_timeout));
}
