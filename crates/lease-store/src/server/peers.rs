//! Connections to the other replicas. Messages that can't be sent are dropped, as raft retransmits them.

use super::connection::WRITE_TIMEOUT;
use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_leases::protocol::ReplicaRequest;
use puffinladder_transport::{connect, encode_line};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// Maximum number of queued messages per peer.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Delay before reconnecting to an unreachable peer; short, since an election may need it.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Handle of the task that sends to one peer.
struct PeerSender {
    messages: mpsc::Sender<Vec<u8>>,
    address: watch::Sender<Option<SocketAddr>>,
}

/// Senders to all other members.
pub(super) struct Peers {
    /// Addresses from the settings, which take precedence over those in the log.
    configured: BTreeMap<u64, SocketAddr>,
    senders: BTreeMap<u64, PeerSender>,
    stopped: watch::Receiver<bool>,
}

impl Peers {
    pub fn new(configured: BTreeMap<u64, SocketAddr>, stopped: watch::Receiver<bool>) -> Peers {
        Peers { configured, senders: BTreeMap::new(), stopped }
    }

    pub fn contains(&self, number: u64) -> bool {
        self.senders.contains_key(&number)
    }

    /// Updates the senders: `numbers` are all other replicas, `joined` the addresses from the log.
    pub fn update(&mut self, numbers: &[u64], joined: &BTreeMap<u64, String>) {
        for number in numbers {
            let replicated = joined.get(number).and_then(|text| text.parse().ok());
            let address = self.configured.get(number).copied().or(replicated);
            match self.senders.get(number) {
                Some(sender) if *sender.address.borrow() == address => {}
                Some(sender) => drop(sender.address.send(address)),
                None => self.add(*number, address),
            }
        }
        self.senders.retain(|number, _| numbers.contains(number));
    }

    fn add(&mut self, number: u64, address: Option<SocketAddr>) {
        let (messages, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (address, current_address) = watch::channel(address);
        tokio::spawn(send_messages(current_address, queue, self.stopped.clone()));
        self.senders.insert(number, PeerSender { messages, address });
    }

    /// Queues a message, and returns whether there was room for it.
    pub fn send(&self, number: u64, bytes: Vec<u8>) -> bool {
        self.senders.get(&number).is_some_and(|sender| sender.messages.try_send(bytes).is_ok())
    }
}

/// Sends messages to one peer until its sender is dropped or the process stops. Reconnects after a failure.
async fn send_messages(
    mut address: watch::Receiver<Option<SocketAddr>>,
    mut messages: mpsc::Receiver<Vec<u8>>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connection: Option<TcpStream> = None;
    loop {
        let message = tokio::select! {
            message = messages.recv() => message,
            _ = stopped.changed() => return,
        };
        let Some(message) = message else { return };
        if address.has_changed().unwrap_or(false) {
            connection = None;
        }
        let Some(target) = *address.borrow_and_update() else { continue };
        if connection.is_none() {
            connection = connect(target).await.ok();
        }
        let Some(open) = &mut connection else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            // Messages queued during the delay are outdated.
            while messages.try_recv().is_ok() {}
            continue;
        };
        if !send_message(open, &message).await {
            connection = None;
        }
    }
}

/// Sends one message, and returns whether the connection is still usable.
async fn send_message(connection: &mut TcpStream, message: &[u8]) -> bool {
    let request = ReplicaRequest::PeerMessage(BASE64_STANDARD.encode(message));
    let Ok(line) = encode_line(&request) else { return true };
    let written = tokio::time::timeout(WRITE_TIMEOUT, connection.write_all(&line)).await;
    matches!(written, Ok(Ok(())))
}
