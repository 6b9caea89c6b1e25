//! The connection to a keeper: a task that dials, one that reads, one that writes. What happens on it comes to the steward as news, each with the
//! number of the connection, so that what an old one still says is told from the new.

use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, MAX_LINE_BYTES};
use puffinladder_transport::{connect, write_line, LineReader};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Lines that wait for a keeper that does not read; the next line tells all that this one told.
const WAITING: usize = 4;
const UNREAD: Duration = Duration::from_secs(2);

/// What happened on a connection.
#[derive(Debug)]
pub enum News {
    Open,
    Answer(ReplicaReply),
    Over(String),
}

/// A connection, or the try of one. It ends when this is dropped.
pub struct Link {
    pub number: u64,
    lines: mpsc::Sender<ReplicaRequest>,
    task: JoinHandle<()>,
}

impl Link {
    pub fn open(number: u64, to: SocketAddr, news: mpsc::Sender<(u64, News)>) -> Link {
        let (lines, queue) = mpsc::channel(WAITING);
        let task = tokio::spawn(async move {
            let over = run(number, to, queue, &news).await;
            let _ = news.send((number, News::Over(over))).await;
        });
        Link { number, lines, task }
    }

    /// Hands over a line to be sent at once. Whether it was taken.
    pub fn say(&self, ask: ReplicaRequest) -> bool {
        self.lines.try_send(ask).is_ok()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    number: u64,
    to: SocketAddr,
    mut queue: mpsc::Receiver<ReplicaRequest>,
    news: &mpsc::Sender<(u64, News)>,
) -> String {
    let stream = match connect(to).await {
        Ok(stream) => stream,
        Err(e) => return e.to_string(),
    };
    if news.send((number, News::Open)).await.is_err() {
        return String::new();
    }
    let (from, mut out) = stream.into_split();
    let mut lines = LineReader::new(from, MAX_LINE_BYTES);
    loop {
        tokio::select! {
            read = lines.read() => match read {
                Ok(Some(answer)) => if news.send((number, News::Answer(answer))).await.is_err() {
                    return String::new();
                },
                Ok(None) => return "closed by the keeper".into(),
                Err(fault) => return fault.to_string(),
            },
            ask = queue.recv() => match ask {
                Some(ask) => if let Err(fault) = write_line(&mut out, &ask, UNREAD).await {
                    return fault.to_string();
                },
                None => return String::new(),
            },
        }
    }
}
