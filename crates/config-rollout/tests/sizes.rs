//! What the plan's size takes in bytes: lines as they stand on a link, bodies, snapshots. `docs/config.md` has the figures; run with
//! `--nocapture` to see them.

use puffinladder_config_rollout::distributor::Rules;
use puffinladder_config_rollout::history::{Command, Entry, History, Limits, Origin, Put};
use puffinladder_config_rollout::words::{body_of_change, body_of_content, Ack, Piece, Tell, Way};
use puffinladder_config_rollout::{Change, Content, Field, Head, Key, Seal};
use puffinladder_leases::HolderId;
use std::collections::BTreeSet;

const TENANTS: u32 = 15_000;
const ROUTES: u32 = 2_300;
const A_DAY: u32 = 1_900;

fn plan() -> Content {
    let mut content = Content::default();
    let mut change = Change::default();
    for at in 0..TENANTS {
        change = change.set(Key::tenant(&format!("tenant-{at:05}")), f64::from(at) + 0.5);
    }
    for at in 0..ROUTES {
        let name = format!("service-{:03}/route-{at:04}", at % 230);
        for field in [Field::Promise, Field::GiveUp, Field::Importance, Field::LateShare] {
            change = change.set(Key::route(&name, field), 0.5);
        }
    }
    content = content.after(&change).expect("fit");
    content
}

fn line(from: Option<Head>, to: Head, body: Vec<u8>) -> usize {
    Tell::Piece(Piece { way: Way { from, to, total: body.len() as u32 }, at: 0, bytes: body }).bytes()
}

#[test]
fn a_change_is_small_wherever_it_goes_and_a_whole_content_is_not() {
    let seal = Seal::default();
    let content = plan();
    let head = seal.head(1_234_567, &content);
    let one = Change::default().set(Key::tenant("tenant-00042"), 120.0);
    let small = line(Some(head), Head { number: head.number + 1, ..head }, body_of_change(&one));
    let target = Tell::target(&seal, "server-0042", head, 0.125, 123_456).bytes();
    let owner = HolderId::new("server-0042", 17);
    let ack = Ack {
        owner,
        zone: "zone-3".into(),
        serial: 123_456,
        in_force: head,
        holds: head,
        healthy: true,
        ..Ack::default()
    };
    let ack = serde_json::to_vec(&ack).expect("a line").len() + 1;
    let whole = body_of_content(&content).len();
    println!(
        "a change of one key: {small} B; target: {target} B; ack: {ack} B; the whole content: {whole} B"
    );

    // A day of changes, each of one tenant's quota, as one body for a server that was away.
    let mut history = History::new(seal, Limits::default());
    for at in 0..A_DAY {
        let change =
            Change::default().set(Key::tenant(&format!("tenant-{:05}", at * 7 % TENANTS)), f64::from(at));
        let put = Put { base: history.head(), author: "ann".into(), epoch: 1, origin: Origin::Put, change };
        history.apply(&Entry { at: f64::from(at), command: Command::Put(put) }).expect("accepted");
        if at % 10 == 9 {
            let (epoch, number) = (1, history.head().number);
            let canaries = BTreeSet::from(["n1".to_string()]);
            history
                .apply(&Entry { at: 0.0, command: Command::Trial { epoch, number, canaries } })
                .expect("tried");
            history.apply(&Entry { at: 0.0, command: Command::Release { epoch, number } }).expect("released");
        }
    }
    let day = body_of_change(&history.between(0, u64::from(A_DAY)).expect("kept")).len();
    let rate = Rules::default().rate;
    let takes = |body: usize| body as f64 * 4.0 / 3.0 * 1.1 / rate;
    println!(
        "a day of changes: {day} B, {:.1} s at {rate} B a second; whole: {:.0} s; a snapshot with them: {} B",
        takes(day),
        takes(whole),
        history.snapshot().len()
    );
    assert!(small < 400 && target < 170 && ack < 400, "{small} {target} {ack}");
    assert!(whole < 800_000 && day < 60_000, "{whole} {day}");
    // What it costs a server that has everything: well under its 12,000 B a second, changes included.
    let steady = ack + target + A_DAY as usize * (small + 4 * ack) / 86_400;
    println!("a server in calm: {steady} B a second");
    assert!(steady < 600, "{steady}");
}
