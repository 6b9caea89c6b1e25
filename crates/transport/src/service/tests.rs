use super::*;
use crate::{connect, write_line, LineReader, CONNECT_TIMEOUT};

#[tokio::test]
async fn closes_connections_past_the_limit() {
    let (listener, address) = bind("test", "127.0.0.1:0".parse().unwrap()).await.unwrap();
    let (stop, stopped) = watch::channel(false);
    let handle = |mut stream: TcpStream, _| async move {
        write_line(&mut stream, &"in", CONNECT_TIMEOUT).await?;
        LineReader::new(stream, 64).read::<u8>().await.map(drop)
    };
    let served = tokio::spawn(serve_connections(listener, "test", 2, stopped, handle));
    let mut open = Vec::new();
    for expected in [Some("in"), Some("in"), None] {
        let mut lines = LineReader::new(connect(address).await.unwrap(), 64);
        let first: Option<String> = lines.read().await.unwrap_or(None);
        assert_eq!(first.as_deref(), expected);
        open.push(lines);
    }
    stop.send(true).unwrap();
    served.await.unwrap();
}
