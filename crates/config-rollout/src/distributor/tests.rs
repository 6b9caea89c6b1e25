use super::*;
use crate::content::{Change, Key};
use crate::history::{Command, Entry, Limits, Origin, Put};
use crate::seal::Seal;
use puffinladder_leases::HolderId;
use std::collections::BTreeSet;

fn apply(history: &mut History, command: Command) {
    history.apply(&Entry { at: 0.0, command }).unwrap();
}

fn put(history: &mut History, change: Change) {
    let base = history.head();
    apply(history, Command::Put(Put { base, author: "ann".into(), epoch: 1, origin: Origin::Put, change }));
}

fn release(history: &mut History) {
    let number = history.head().number;
    apply(history, Command::Trial { epoch: 1, number, canaries: BTreeSet::new() });
    apply(history, Command::Release { epoch: 1, number });
}

fn many(keys: usize, quota: f64) -> Change {
    (0..keys).fold(Change::default(), |change, at| change.set(Key::tenant(&format!("tenant-{at}")), quota))
}

fn ack(name: &str, serial: u64, holds: Head) -> Ack {
    Ack { owner: HolderId::new(name, 1), serial, in_force: holds, holds, healthy: true, ..Ack::default() }
}

/// A history of one large version and a few small ones.
fn history() -> (History, Vec<Head>) {
    let mut history = History::new(Seal::default(), Limits::default());
    let mut heads = vec![history.head()];
    put(&mut history, many(400, 5.0));
    heads.push(history.head());
    for at in 0..4 {
        put(&mut history, many(2, f64::from(at)));
        heads.push(history.head());
    }
    release(&mut history);
    (history, heads)
}

fn pieces(lines: &[(String, Tell)]) -> Vec<&Piece> {
    lines
        .iter()
        .filter_map(|(_, tell)| if let Tell::Piece(piece) = tell { Some(piece) } else { None })
        .collect()
}

#[test]
fn a_change_or_a_whole_whichever_is_shorter() {
    let (mut history, heads) = history();
    let mut distributor = Distributor::new(Rules::default(), 1, 0.0);
    distributor.heard(0.0, &ack("near", 1, heads[1]));
    let lines = distributor.pump(1.0, &history, 0.0);
    assert_eq!(pieces(&lines)[0].way.from, Some(heads[1]));
    assert!(pieces(&lines)[0].way.total < 100);
    // One whose version nobody knows gets all of it.
    distributor.heard(1.0, &ack("odd", 1, Head { number: 2, ..heads[3] }));
    let lines: Vec<_> =
        distributor.pump(2.0, &history, 0.0).into_iter().filter(|(name, _)| name == "odd").collect();
    assert_eq!(pieces(&lines)[0].way.from, None);
    // Everything is taken away again: the whole is shorter than what led there.
    let gone =
        (0..399).fold(Change::default(), |change, at| change.remove(Key::tenant(&format!("tenant-{at}"))));
    put(&mut history, gone);
    release(&mut history);
    distributor.heard(2.0, &ack("far", 1, heads[2]));
    let lines = distributor.pump(3.0, &history, 0.0);
    let far: Vec<_> = lines.into_iter().filter(|(name, _)| name == "far").collect();
    assert_eq!((pieces(&far)[0].way.from, pieces(&far)[0].way.to), (None, history.head()));
    assert!(pieces(&far)[0].way.total < 100);
}

#[test]
fn no_server_is_sent_more_than_its_bytes_in_any_second_also_when_it_goes_from_one_to_another() {
    let (history, heads) = history();
    let mut sent: Vec<(f64, f64)> = Vec::new();
    let mut distributor = Distributor::new(Rules::default(), 1, 0.0);
    let mut serial = 0;
    for step in 0..2000 {
        let now = f64::from(step) * 0.01;
        // It never gets anything whole, and looks for another distributor now and then.
        if step % 137 == 0 {
            distributor = Distributor::new(Rules::default(), 1, now);
        }
        if step % 7 == 0 {
            serial += 1;
            distributor.heard(now, &ack("n1", serial, heads[0]));
        }
        let lines = distributor.pump(now, &history, 0.0);
        sent.extend(lines.iter().map(|(_, tell)| (now, tell.bytes() as f64)));
    }
    assert!(sent.len() > 20);
    for (at, _) in &sent {
        let sum: f64 = sent.iter().filter(|(t, _)| t >= at && *t < at + 1.0).map(|(_, bytes)| bytes).sum();
        assert!(sum <= 12_000.0, "{sum} B in the second after {at}");
    }
}

#[test]
fn what_is_lost_is_sent_again_from_where_the_server_is() {
    let (history, heads) = history();
    let mut distributor = Distributor::new(Rules::default(), 1, 0.0);
    distributor.heard(0.0, &ack("n1", 1, heads[0]));
    let first = distributor.pump(0.5, &history, 0.0);
    let first = pieces(&first)[0].clone();
    assert_eq!(first.at, 0);
    // The second piece is lost: the server has the first.
    let second = distributor.pump(1.0, &history, 0.0);
    assert_eq!(pieces(&second)[0].at as usize, PIECE);
    let got = Ack { got: Some((first.way, PIECE as u32)), ..ack("n1", 2, heads[0]) };
    distributor.heard(1.1, &got);
    let rest = distributor.pump(2.0, &history, 0.0);
    assert_eq!(pieces(&rest)[0].at as usize, PIECE, "it goes back to the second");
    // Another distributor goes on from there as well.
    let mut other = Distributor::new(Rules::default(), 9, 2.0);
    other.heard(2.0, &got);
    let rest = other.pump(3.0, &history, 0.0);
    assert_eq!((pieces(&rest)[0].at as usize, pieces(&rest)[0].way), (PIECE, first.way));
    // The body was poisoned and dropped there: from the beginning.
    distributor.heard(2.1, &ack("n1", 3, heads[0]));
    let rest = distributor.pump(4.0, &history, 0.0);
    assert_eq!(pieces(&rest)[0].at, 0);
}

#[test]
fn a_mass_restart_is_spread_bounded_and_nobody_waits_forever() {
    let (history, heads) = history();
    let rules = Rules { catch_ups: 3, ..Rules::default() };
    let mut distributor = Distributor::new(rules, 1, 0.0);
    let names: Vec<String> = (0..30).map(|at| format!("n{at:02}")).collect();
    let mut got: BTreeMap<String, usize> = BTreeMap::new();
    let mut order = Vec::new();
    let mut serial = 0;
    let total = crate::words::body_of_content(history.content()).len();
    for step in 0..3000 {
        let now = f64::from(step) * 0.05;
        serial += 1;
        for name in &names {
            let have = got.get(name).copied().unwrap_or(0);
            let holds = if have >= total { history.head() } else { heads[0] };
            // One of them takes nothing in, and must not keep its place from the others.
            let dead = name == "n07";
            let way = Way { from: None, to: history.head(), total: total as u32 };
            let got = (have > 0 && have < total && !dead).then_some((way, have as u32));
            distributor.heard(now, &Ack { got, ..ack(name, serial, if dead { heads[0] } else { holds }) });
        }
        let lines = distributor.pump(now, &history, 0.0);
        assert!(distributor.catching_up() <= 3);
        for (name, tell) in lines {
            if let Tell::Piece(piece) = tell {
                let have = got.entry(name.clone()).or_default();
                if *have == piece.at as usize {
                    *have += piece.bytes.len();
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
    assert_ne!(order, names, "not by name: drawn");
}

#[test]
fn a_dead_peer_holds_no_body_and_is_forgotten() {
    let (history, heads) = history();
    let rules = Rules { servers: 5, ..Rules::default() };
    let mut distributor = Distributor::new(rules, 1, 0.0);
    for at in 0..5 {
        assert!(distributor.heard(0.0, &ack(&format!("n{at}"), 1, heads[0])));
    }
    assert!(!distributor.heard(0.0, &ack("one too many", 1, heads[0])));
    distributor.pump(1.0, &history, 0.0);
    assert!(distributor.sends_to("n1") && distributor.catching_up() == 5);
    assert_eq!(distributor.pump(9.0, &history, 0.0), []);
    assert!(!distributor.sends_to("n1") && distributor.catching_up() == 0);
    // The change and the whole content, once for all of them.
    let change = crate::words::body_of_change(&history.between(0, history.head().number).unwrap());
    let whole = crate::words::body_of_content(history.content());
    assert_eq!(distributor.bodies_bytes(), change.len() + whole.len());
    distributor.pump(99.0, &history, 0.0);
    assert_eq!(distributor.servers(), 0);
}

#[test]
fn canaries_come_first_and_what_is_taken_back_goes_no_further() {
    let (mut history, heads) = history();
    let last = *heads.last().unwrap();
    put(&mut history, many(1, 99.0));
    let (epoch, number) = (1, history.head().number);
    apply(&mut history, Command::Trial { epoch, number, canaries: BTreeSet::from(["n1".to_string()]) });
    let mut distributor = Distributor::new(Rules::default(), 1, 0.0);
    let names = ["n1", "n2"];
    assert!(names.iter().all(|name| distributor.heard(0.0, &ack(name, 1, last))));
    let lines = distributor.pump(1.0, &history, 0.0);
    let to: Vec<_> =
        lines.iter().filter(|(_, tell)| matches!(tell, Tell::Piece(_))).map(|(name, _)| name).collect();
    assert_eq!(to, ["n1"]);
    apply(&mut history, Command::TakeBack { epoch, author: "o".into(), number, cause: "it fell".into() });
    // n1 has not said that it got it: it is not sent again.
    assert!(names.iter().all(|name| distributor.heard(1.5, &ack(name, 2, last))));
    let lines = distributor.pump(2.0, &history, 0.0);
    let lines2 = distributor.pump(2.1, &history, 0.0);
    let heads: Vec<_> =
        pieces(&lines).into_iter().chain(pieces(&lines2)).map(|piece| piece.way.to.number).collect();
    assert_eq!(heads, [number + 1, number + 1]);
    // Nor does anybody get again what he refused.
    let refused = Some(crate::words::Refused { head: history.head(), cause: "no".into() });
    distributor.heard(2.2, &Ack { refused, ..ack("n2", 3, last) });
    assert!(!distributor.sends_to("n2"));
    let later = distributor.pump(4.0, &history, 0.0);
    assert!(
        pieces(&later).is_empty()
            || later.iter().all(|(name, tell)| name == "n1" || !matches!(tell, Tell::Piece(_)))
    );
}

#[test]
fn a_replica_that_is_behind_says_nothing_and_old_words_of_a_server_count_for_nothing() {
    let (mut history, heads) = history();
    let old = history.clone();
    apply(&mut history, Command::Announce { epoch: 4 });
    let mut distributor = Distributor::new(Rules::default(), 1, 0.0);
    distributor.heard(0.0, &ack("n1", 5, heads[1]));
    assert!(!distributor.pump(1.0, &history, 0.0).is_empty());
    assert_eq!(distributor.pump(3.0, &old, 0.0), []);
    assert_eq!(distributor.counts().late_views, 1);
    distributor.heard(3.0, &ack("n1", 6, history.head()));
    assert!(!distributor.sends_to("n1"));
    distributor.heard(3.1, &ack("n1", 4, heads[1]));
    assert!(pieces(&distributor.pump(4.0, &history, 0.0)).is_empty());
}

#[test]
fn rules_that_could_not_be_kept_are_refused() {
    assert_eq!(Rules::default().check(), Ok(()));
    let wrong = [
        Rules { burst: 100.0, ..Rules::default() },
        Rules { rate: 0.0, ..Rules::default() },
        Rules { retry: f64::NAN, ..Rules::default() },
        Rules { catch_ups: 0, ..Rules::default() },
    ];
    assert!(wrong.iter().all(|rules| rules.check().is_err()));
}
