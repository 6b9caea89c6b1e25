use super::*;

async fn pair() -> (Relay, TcpStream, TcpStream) {
    let relay = Relay::open(1).await.unwrap();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    relay.set_target(listener.local_addr().ok());
    let near = TcpStream::connect(relay.address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (relay, near, far)
}

async fn reads(from: &mut TcpStream, count: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; count];
    let read = from.read_exact(&mut bytes).await;
    read.is_ok().then_some(bytes)
}

#[tokio::test]
async fn holds_bytes_of_blocked_direction_until_unblocked() {
    let (relay, mut near, mut far) = pair().await;
    near.write_all(b"one").await.unwrap();
    assert_eq!(reads(&mut far, 3).await.unwrap(), b"one");
    relay.impair(Direction::Forward, |impairment| impairment.blocked = true);
    near.write_all(b"two").await.unwrap();
    far.write_all(b"back").await.unwrap();
    assert_eq!(reads(&mut near, 4).await.unwrap(), b"back", "the other way is open");
    let held = tokio::time::timeout(Duration::from_millis(20), reads(&mut far, 3)).await;
    assert!(held.is_err());
    relay.impair(Direction::Forward, |impairment| impairment.blocked = false);
    assert_eq!(reads(&mut far, 3).await.unwrap(), b"two");
}

#[tokio::test]
async fn delivers_held_bytes_to_next_incarnation() {
    let (relay, mut near, far) = pair().await;
    relay.impair(Direction::Forward, |impairment| impairment.blocked = true);
    near.write_all(b"late").await.unwrap();
    // Give the relay time to read the bytes before the far end closes.
    tokio::time::sleep(Duration::from_millis(20)).await;
    drop(far);
    assert_eq!(near.read(&mut [0; 8]).await.unwrap(), 0);
    drop(near);
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    relay.set_target(listener.local_addr().ok());
    relay.impair(Direction::Forward, |impairment| impairment.blocked = false);
    let (mut next, _) = listener.accept().await.unwrap();
    assert_eq!(reads(&mut next, 4).await.unwrap(), b"late");
}

#[tokio::test]
async fn reset_closes_both_sides_and_allows_new_connections() {
    let (relay, mut near, mut far) = pair().await;
    near.write_all(b"one").await.unwrap();
    assert!(reads(&mut far, 3).await.is_some());
    relay.impair(Direction::Both, |impairment| impairment.blocked = true);
    near.write_all(b"lost").await.unwrap();
    relay.reset();
    assert!(reads(&mut far, 1).await.is_none() && reads(&mut near, 1).await.is_none());
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    relay.set_target(listener.local_addr().ok());
    relay.impair(Direction::Both, |impairment| impairment.blocked = false);
    let mut near = TcpStream::connect(relay.address).await.unwrap();
    near.write_all(b"new").await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    assert_eq!(reads(&mut far, 3).await.unwrap(), b"new");
}
