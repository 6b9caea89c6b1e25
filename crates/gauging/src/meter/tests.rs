use super::*;
use puffinladder_transport::{write_line, LineReader, CONNECT_TIMEOUT};

#[tokio::test]
async fn bytes_and_lines_of_each_direction_are_counted_and_arrive_as_they_were() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let meter = Meter::open().await.unwrap();
    meter.lead_to(listener.local_addr().unwrap());
    let near = connect(meter.at).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    let ((near_in, mut near_out), (far_in, mut far_out)) = (near.into_split(), far.into_split());
    let (mut near_in, mut far_in) = (LineReader::new(near_in, 1 << 20), LineReader::new(far_in, 1 << 20));
    let long = "x".repeat(40_000);
    let mut sent = 0;
    for text in ["a", &long, "b"] {
        sent += write_line(&mut near_out, &text, CONNECT_TIMEOUT).await.unwrap();
        assert_eq!(far_in.read::<String>().await.unwrap().as_deref(), Some(text));
    }
    let back = write_line(&mut far_out, &7, CONNECT_TIMEOUT).await.unwrap();
    assert_eq!(near_in.read::<u8>().await.unwrap(), Some(7));
    // Counted just behind what was written.
    let wanted = Passed { there: sent, lines_there: 3, back, lines_back: 1 };
    while meter.passed() != wanted {
        tokio::task::yield_now().await;
    }
}
