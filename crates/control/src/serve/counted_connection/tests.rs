use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Guards against clients that open connections without end.
#[tokio::test]
async fn connections_past_the_limit_are_closed_until_one_ends() {
    let limit = ConnectionLimit::new(1);
    let open = |stream| limit.admit(Ok(stream));
    let first = open(tokio::io::duplex(64).0);
    assert!(first.is_some());
    assert!(open(tokio::io::duplex(64).0).is_none());
    drop(first);
    assert!(open(tokio::io::duplex(64).0).is_some());
}

/// Guards against clients that connect and never begin HTTP/2, or stop within its preface.
#[tokio::test(start_paused = true)]
async fn connection_without_a_whole_preface_ends_in_time() {
    let limit = ConnectionLimit::new(2);
    let mut buffer = [0; 64];
    for sent in [0, PREFACE_BYTES - 1] {
        let (mut peer, stream) = tokio::io::duplex(64);
        let mut connection = limit.admit(Ok(stream)).expect("below the limit").expect("accepted");
        peer.write_all(&vec![b'P'; sent]).await.expect("the connection is open");
        if sent > 0 {
            assert_eq!(connection.read(&mut buffer).await.expect("bytes were sent"), sent);
        }
        let error = connection.read(&mut buffer).await.expect_err("nothing follows");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    }
}

/// Guards against idle proxies that are disconnected.
#[tokio::test(start_paused = true)]
async fn connection_with_its_preface_may_be_idle() {
    let limit = ConnectionLimit::new(1);
    let (mut peer, stream) = tokio::io::duplex(64);
    let mut connection = limit.admit(Ok(stream)).expect("below the limit").expect("accepted");
    let mut buffer = [0; 64];
    peer.write_all(&[b'P'; PREFACE_BYTES]).await.expect("the connection is open");
    assert_eq!(connection.read(&mut buffer).await.expect("bytes were sent"), PREFACE_BYTES);
    let idle = tokio::time::timeout(10 * PREFACE_TIMEOUT, connection.read(&mut buffer)).await;
    assert!(idle.is_err(), "{idle:?}");
}
