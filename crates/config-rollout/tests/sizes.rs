//! Sizes of lines, bodies and snapshots for a large configuration. `--nocapture` prints them.

use puffinladder_config_rollout::distributor::DistributorSettings;
use puffinladder_config_rollout::history::{Command, History, LogEntry, Origin, PutRequest, RetentionLimits};
use puffinladder_config_rollout::messages::{
    encode_change, encode_content, Acknowledgement, Chunk, DistributorMessage, TransferId,
};
use puffinladder_config_rollout::{Change, Content, Digester, Field, Key, VersionId};
use puffinladder_leases::HolderId;
use std::collections::BTreeSet;

const TENANTS: u32 = 15_000;
const ROUTES: u32 = 2_300;
const CHANGES_PER_DAY: u32 = 1_900;

fn full_content() -> Content {
    let mut content = Content::default();
    let mut change = Change::default();
    for index in 0..TENANTS {
        change = change.set(Key::tenant(&format!("tenant-{index:05}")), f64::from(index) + 0.5);
    }
    for index in 0..ROUTES {
        let name = format!("service-{:03}/route-{index:04}", index % 230);
        for field in
            [Field::LatencyObjective, Field::Timeout, Field::PriorityWeight, Field::LateWeightFraction]
        {
            change = change.set(Key::route(&name, field), 0.5);
        }
    }
    content = content.with_change(&change).expect("within the limits");
    content
}

fn line(from: Option<VersionId>, to: VersionId, body: Vec<u8>) -> usize {
    DistributorMessage::Chunk(Chunk {
        transfer: TransferId { base: from, target: to, total_bytes: body.len() as u32 },
        offset: 0,
        bytes: body,
    })
    .line_bytes()
}

#[test]
fn messages_and_bodies_stay_within_size_limits() {
    let digester = Digester::default();
    let content = full_content();
    let head = digester.version_id(1_234_567, &content);
    let single_change = Change::default().set(Key::tenant("tenant-00042"), 120.0);
    let change_line =
        line(Some(head), VersionId { number: head.number + 1, ..head }, encode_change(&single_change));
    let target = DistributorMessage::target(&digester, "server-0042", head, 0.125, 123_456).line_bytes();
    let ack = Acknowledgement {
        server: HolderId::new("server-0042", 17),
        zone: "zone-3".into(),
        sequence: 123_456,
        active: head,
        staged: head,
        healthy: true,
        ..Acknowledgement::default()
    };
    let ack = serde_json::to_vec(&ack).expect("a line").len() + 1;
    let whole = encode_content(&content).len();
    println!(
        "a change of one key: {change_line} B; target: {target} B; ack: {ack} B; the whole content: {whole} B"
    );

    // The changes of one day, each of one tenant's quota, combined into one body.
    let mut history = History::new(digester, RetentionLimits::default());
    for index in 0..CHANGES_PER_DAY {
        let change = Change::default()
            .set(Key::tenant(&format!("tenant-{:05}", index * 7 % TENANTS)), f64::from(index));
        let put =
            PutRequest { base: history.head(), author: "ann".into(), epoch: 1, origin: Origin::Put, change };
        history.apply(&LogEntry { at: f64::from(index), command: Command::Put(put) }).expect("accepted");
        if index % 10 == 9 {
            let (epoch, number) = (1, history.head().number);
            let canaries = BTreeSet::from(["n1".to_string()]);
            history
                .apply(&LogEntry { at: 0.0, command: Command::StartCanary { epoch, number, canaries } })
                .expect("canaries started");
            history
                .apply(&LogEntry { at: 0.0, command: Command::Release { epoch, number } })
                .expect("released");
        }
    }
    let day = encode_change(&history.combined_change(0, u64::from(CHANGES_PER_DAY)).expect("retained")).len();
    let rate = DistributorSettings::default().rate;
    let transfer_time = |body: usize| body as f64 * 4.0 / 3.0 * 1.1 / rate;
    println!(
        "the changes of a day: {day} B, {:.1} s at {rate} B per second; whole content: {:.0} s; snapshot: {} B",
        transfer_time(day),
        transfer_time(whole),
        history.snapshot().len()
    );
    assert!(change_line < 400 && target < 170 && ack < 400, "{change_line} {target} {ack}");
    assert!(whole < 800_000 && day < 60_000, "{whole} {day}");
    // The traffic of an up-to-date server stays well below its byte budget, changes included.
    let steady = ack + target + CHANGES_PER_DAY as usize * (change_line + 4 * ack) / 86_400;
    println!("steady traffic of a server: {steady} B per second");
    assert!(steady < 600, "{steady}");
}
