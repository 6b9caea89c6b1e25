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
async fn a_link_that_is_shut_one_way_holds_that_way_and_lets_all_of_it_go_later() {
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
async fn bytes_that_are_held_outlive_both_ends_and_reach_the_next_life() {
    let (relay, mut near, far) = pair().await;
    relay.impair(Direction::Forward, |impairment| impairment.blocked = true);
    near.write_all(b"late").await.unwrap();
    // The relay has read it once the far end's end has come back.
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
async fn a_break_ends_both_sides_and_a_new_connection_comes_about() {
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
