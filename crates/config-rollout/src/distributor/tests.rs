use super::*;
use crate::change::Change;
use crate::digest::Digester;
use crate::history::{Command, LogEntry, Origin, PutRequest, RetentionLimits};
use crate::key::Key;
use crate::messages::{encode_change, encode_content, Chunk, RejectedVersion, TransferId, TransferProgress};
use puffinladder_leases::HolderId;
use std::collections::BTreeSet;

fn apply(history: &mut History, command: Command) {
    history.apply(&LogEntry { at: 0.0, command }).unwrap();
}

fn put(history: &mut History, change: Change) {
    let base = history.head();
    apply(
        history,
        Command::Put(PutRequest { base, author: "ann".into(), epoch: 1, origin: Origin::Put, change }),
    );
}

fn release(history: &mut History) {
    let number = history.head().number;
    apply(history, Command::StartCanary { epoch: 1, number, canaries: BTreeSet::new() });
    apply(history, Command::Release { epoch: 1, number });
}

fn quota_changes(keys: usize, quota: f64) -> Change {
    (0..keys)
        .fold(Change::default(), |change, index| change.set(Key::tenant(&format!("tenant-{index}")), quota))
}

fn ack(name: &str, sequence: u64, staged: VersionId) -> Acknowledgement {
    Acknowledgement {
        server: HolderId::new(name, 1),
        sequence,
        active: staged,
        staged,
        healthy: true,
        ..Acknowledgement::default()
    }
}

/// Returns a history of one large and several small versions, and the head after each.
fn history() -> (History, Vec<VersionId>) {
    let mut history = History::new(Digester::default(), RetentionLimits::default());
    let mut heads = vec![history.head()];
    put(&mut history, quota_changes(400, 5.0));
    heads.push(history.head());
    for index in 0..4 {
        put(&mut history, quota_changes(2, f64::from(index)));
        heads.push(history.head());
    }
    release(&mut history);
    (history, heads)
}

fn chunk_of(outgoing: &OutgoingMessage) -> Option<&Chunk> {
    match &outgoing.message {
        DistributorMessage::Chunk(chunk) => Some(chunk),
        DistributorMessage::Target { .. } => None,
    }
}

/// Returns the chunks among the messages.
fn chunks(outgoing: &[OutgoingMessage]) -> Vec<&Chunk> {
    outgoing.iter().filter_map(chunk_of).collect()
}

fn is_chunk(outgoing: &OutgoingMessage) -> bool {
    chunk_of(outgoing).is_some()
}

#[test]
fn sends_the_shorter_of_change_and_whole_content() {
    let (mut history, heads) = history();
    let mut distributor = Distributor::new(DistributorSettings::default(), 1, 0.0);
    distributor.receive(0.0, &ack("recent", 1, heads[1]));
    let messages = distributor.poll(1.0, &history, 0.0);
    assert_eq!(chunks(&messages)[0].transfer.base, Some(heads[1]));
    assert!(chunks(&messages)[0].transfer.total_bytes < 100);
    // A server with an unknown version gets the whole content.
    distributor.receive(1.0, &ack("unknown", 1, VersionId { number: 2, ..heads[3] }));
    let messages: Vec<_> = distributor
        .poll(2.0, &history, 0.0)
        .into_iter()
        .filter(|outgoing| outgoing.server == "unknown")
        .collect();
    assert_eq!(chunks(&messages)[0].transfer.base, None);
    // After most keys are removed, the whole content is shorter than the change.
    let gone = (0..399)
        .fold(Change::default(), |change, index| change.remove(Key::tenant(&format!("tenant-{index}"))));
    put(&mut history, gone);
    release(&mut history);
    distributor.receive(2.0, &ack("old", 1, heads[2]));
    let messages = distributor.poll(3.0, &history, 0.0);
    let to_old: Vec<_> = messages.into_iter().filter(|outgoing| outgoing.server == "old").collect();
    assert_eq!(
        (chunks(&to_old)[0].transfer.base, chunks(&to_old)[0].transfer.target),
        (None, history.head())
    );
    assert!(chunks(&to_old)[0].transfer.total_bytes < 100);
}

#[test]
fn byte_budget_holds_when_a_server_switches_distributors() {
    let (history, heads) = history();
    let mut sent: Vec<(f64, f64)> = Vec::new();
    let mut distributor = Distributor::new(DistributorSettings::default(), 1, 0.0);
    let mut sequence = 0;
    for step in 0..2000 {
        let now = f64::from(step) * 0.01;
        // The server never acknowledges progress and reconnects to a new distributor regularly.
        if step % 137 == 0 {
            distributor = Distributor::new(DistributorSettings::default(), 1, now);
        }
        if step % 7 == 0 {
            sequence += 1;
            distributor.receive(now, &ack("n1", sequence, heads[0]));
        }
        let messages = distributor.poll(now, &history, 0.0);
        sent.extend(messages.iter().map(|outgoing| (now, outgoing.message.line_bytes() as f64)));
    }
    assert!(sent.len() > 20);
    for (second_start, _) in &sent {
        let sum: f64 = sent
            .iter()
            .filter(|(sent_at, _)| sent_at >= second_start && *sent_at < second_start + 1.0)
            .map(|(_, bytes)| bytes)
            .sum();
        assert!(sum <= 12_000.0, "{sum} B in the second after {second_start}");
    }
}

#[test]
fn resumes_a_transfer_from_the_acknowledged_offset() {
    let (history, heads) = history();
    let mut distributor = Distributor::new(DistributorSettings::default(), 1, 0.0);
    distributor.receive(0.0, &ack("n1", 1, heads[0]));
    let first = distributor.poll(0.5, &history, 0.0);
    let first = chunks(&first)[0].clone();
    assert_eq!(first.offset, 0);
    // The second chunk is lost.
    let second = distributor.poll(1.0, &history, 0.0);
    assert_eq!(chunks(&second)[0].offset as usize, MAX_CHUNK_BYTES);
    let ack_of_first = Acknowledgement {
        progress: Some(TransferProgress { transfer: first.transfer, received_bytes: MAX_CHUNK_BYTES as u32 }),
        ..ack("n1", 2, heads[0])
    };
    distributor.receive(1.1, &ack_of_first);
    let rest = distributor.poll(2.0, &history, 0.0);
    assert_eq!(chunks(&rest)[0].offset as usize, MAX_CHUNK_BYTES, "the second chunk is sent again");
    // Another distributor resumes at the same offset.
    let mut other = Distributor::new(DistributorSettings::default(), 9, 2.0);
    other.receive(2.0, &ack_of_first);
    let rest = other.poll(3.0, &history, 0.0);
    assert_eq!(
        (chunks(&rest)[0].offset as usize, chunks(&rest)[0].transfer),
        (MAX_CHUNK_BYTES, first.transfer)
    );
    // The server discarded the body, so the transfer restarts at offset 0.
    distributor.receive(2.1, &ack("n1", 3, heads[0]));
    let rest = distributor.poll(4.0, &history, 0.0);
    assert_eq!(chunks(&rest)[0].offset, 0);
}

#[test]
fn mass_restart_respects_catch_up_slots_without_starvation() {
    let (history, heads) = history();
    let settings = DistributorSettings { catch_up_slots: 3, ..DistributorSettings::default() };
    let mut distributor = Distributor::new(settings, 1, 0.0);
    let names: Vec<String> = (0..30).map(|index| format!("n{index:02}")).collect();
    let mut received: BTreeMap<String, usize> = BTreeMap::new();
    let mut order = Vec::new();
    let mut sequence = 0;
    let total = encode_content(history.content()).len();
    for step in 0..3000 {
        let now = f64::from(step) * 0.05;
        sequence += 1;
        for name in &names {
            let have = received.get(name).copied().unwrap_or(0);
            let staged = if have >= total { history.head() } else { heads[0] };
            // One server makes no progress and must not hold its slot.
            let is_stalled = name == "n07";
            let transfer = TransferId { base: None, target: history.head(), total_bytes: total as u32 };
            let incomplete = have > 0 && have < total && !is_stalled;
            let progress = incomplete.then_some(TransferProgress { transfer, received_bytes: have as u32 });
            let ack = ack(name, sequence, if is_stalled { heads[0] } else { staged });
            distributor.receive(now, &Acknowledgement { progress, ..ack });
        }
        let messages = distributor.poll(now, &history, 0.0);
        assert!(distributor.catching_up() <= 3);
        for OutgoingMessage { server: name, message } in messages {
            if let DistributorMessage::Chunk(chunk) = message {
                let have = received.entry(name.clone()).or_default();
                if *have == chunk.offset as usize {
                    *have += chunk.bytes.len();
                }
                if *have >= total && !order.contains(&name) {
                    order.push(name);
                }
            }
        }
        if order.len() == names.len() {
            break;
        }
    }
    assert_eq!(order.len(), names.len(), "{order:?}");
    assert_ne!(order, names, "the order is random");
}

#[test]
fn ends_transfers_to_silent_servers_and_removes_them() {
    let (history, heads) = history();
    let settings = DistributorSettings { max_servers: 5, ..DistributorSettings::default() };
    let mut distributor = Distributor::new(settings, 1, 0.0);
    for index in 0..5 {
        assert!(distributor.receive(0.0, &ack(&format!("n{index}"), 1, heads[0])));
    }
    assert!(!distributor.receive(0.0, &ack("over the limit", 1, heads[0])));
    distributor.poll(1.0, &history, 0.0);
    assert!(distributor.is_sending_to("n1") && distributor.catching_up() == 5);
    assert_eq!(distributor.poll(9.0, &history, 0.0), []);
    assert!(!distributor.is_sending_to("n1") && distributor.catching_up() == 0);
    // The change and the whole content are cached once for all servers.
    let change = encode_change(&history.combined_change(0, history.head().number).unwrap());
    let whole = encode_content(history.content());
    assert_eq!(distributor.cached_bytes(), change.len() + whole.len());
    distributor.poll(99.0, &history, 0.0);
    assert_eq!(distributor.servers(), 0);
}

#[test]
fn sends_to_canaries_first_and_stops_sending_reverted_versions() {
    let (mut history, heads) = history();
    let last = *heads.last().unwrap();
    put(&mut history, quota_changes(1, 99.0));
    let (epoch, number) = (1, history.head().number);
    apply(&mut history, Command::StartCanary { epoch, number, canaries: BTreeSet::from(["n1".to_string()]) });
    let mut distributor = Distributor::new(DistributorSettings::default(), 1, 0.0);
    let names = ["n1", "n2"];
    assert!(names.iter().all(|name| distributor.receive(0.0, &ack(name, 1, last))));
    let messages = distributor.poll(1.0, &history, 0.0);
    let to: Vec<_> =
        messages.iter().filter(|outgoing| is_chunk(outgoing)).map(|outgoing| &outgoing.server).collect();
    assert_eq!(to, ["n1"]);
    apply(
        &mut history,
        Command::Revert { epoch, author: "o".into(), number, cause: "canary unhealthy".into() },
    );
    // The reverted version is not sent again, even to the canary that has not acknowledged it.
    assert!(names.iter().all(|name| distributor.receive(1.5, &ack(name, 2, last))));
    let messages = distributor.poll(2.0, &history, 0.0);
    let next_messages = distributor.poll(2.1, &history, 0.0);
    let heads: Vec<_> = chunks(&messages)
        .into_iter()
        .chain(chunks(&next_messages))
        .map(|chunk| chunk.transfer.target.number)
        .collect();
    assert_eq!(heads, [number + 1, number + 1]);
    // A rejected version is not sent again to the server that rejected it.
    let rejected = Some(RejectedVersion { version: history.head(), cause: "no".into() });
    distributor.receive(2.2, &Acknowledgement { rejected, ..ack("n2", 3, last) });
    assert!(!distributor.is_sending_to("n2"));
    let later = distributor.poll(4.0, &history, 0.0);
    assert!(
        chunks(&later).is_empty()
            || later.iter().all(|outgoing| outgoing.server == "n1" || !is_chunk(outgoing))
    );
}

#[test]
fn ignores_stale_replicas_and_stale_acknowledgements() {
    let (mut history, heads) = history();
    let old = history.clone();
    apply(&mut history, Command::Announce { epoch: 4 });
    let mut distributor = Distributor::new(DistributorSettings::default(), 1, 0.0);
    distributor.receive(0.0, &ack("n1", 5, heads[1]));
    assert!(!distributor.poll(1.0, &history, 0.0).is_empty());
    assert_eq!(distributor.poll(3.0, &old, 0.0), []);
    assert_eq!(distributor.counters().stale_replicas, 1);
    distributor.receive(3.0, &ack("n1", 6, history.head()));
    assert!(!distributor.is_sending_to("n1"));
    distributor.receive(3.1, &ack("n1", 4, heads[1]));
    assert!(chunks(&distributor.poll(4.0, &history, 0.0)).is_empty());
}

#[test]
fn rejects_invalid_settings() {
    assert_eq!(DistributorSettings::default().check(), Ok(()));
    let invalid = [
        DistributorSettings { burst: 100.0, ..DistributorSettings::default() },
        DistributorSettings { rate: 0.0, ..DistributorSettings::default() },
        DistributorSettings { retry_timeout: f64::NAN, ..DistributorSettings::default() },
        DistributorSettings { catch_up_slots: 0, ..DistributorSettings::default() },
    ];
    assert!(invalid.iter().all(|settings| settings.check().is_err()));
}
