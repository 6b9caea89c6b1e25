use super::*;
use crate::check::Shape;
use crate::content::{Key, Wrong};
use crate::words::{body_of_change, body_of_content, PIECE};

fn seal() -> Seal {
    Seal::keyed([3; 32])
}

fn change(name: &str, quota: f64) -> Change {
    Change::default().set(Key::tenant(name), quota)
}

fn fresh() -> Follower {
    Follower::start(HolderId::new("n1", 1), "east", seal(), None, &Shape).0
}

/// A line of versions, each of one change.
fn line(count: u32) -> Vec<(Head, Content, Change)> {
    let mut content = Content::default();
    let mut line = vec![(seal().head(0, &content), content.clone(), Change::default())];
    for at in 1..=count {
        let change = change(["a", "b", "c"][at as usize % 3], f64::from(at));
        content = content.after(&change).unwrap();
        line.push((seal().head(u64::from(at), &content), content.clone(), change));
    }
    line
}

fn pieces(way: Way, body: &[u8], size: usize) -> Vec<Tell> {
    let piece = |(at, bytes): (usize, &[u8])| {
        Tell::Piece(Piece { way, at: (at * size) as u32, bytes: bytes.to_vec() })
    };
    body.chunks(size).enumerate().map(piece).collect()
}

fn step(line: &[(Head, Content, Change)], from: usize, to: usize) -> Tell {
    let mut change = Change::default();
    line[from + 1..=to].iter().for_each(|(.., one)| change.then(one));
    let body = body_of_change(&change);
    let way = Way { from: Some(line[from].0), to: line[to].0, total: body.len() as u32 };
    pieces(way, &body, PIECE).remove(0)
}

fn whole(line: &[(Head, Content, Change)], to: usize, size: usize) -> Vec<Tell> {
    let body = body_of_content(&line[to].1);
    pieces(Way { from: None, to: line[to].0, total: body.len() as u32 }, &body, size)
}

#[test]
fn a_version_is_acknowledged_once_it_is_in_force_and_not_before() {
    let (mut follower, line) = (fresh(), line(2));
    assert_eq!(follower.ack(0.0).unwrap().in_force, line[0].0);
    assert_eq!(follower.hear(&step(&line, 0, 1), &Shape), Heard::Ready(line[1].0));
    let ack = follower.ack(1.1).unwrap();
    assert_eq!((ack.in_force, ack.holds), (line[0].0, line[1].0));
    let next = follower.next().unwrap().clone();
    assert_eq!((next.head, &*next.content), (line[1].0, &line[1].1));
    assert!(!follower.in_force(1.2, line[2].0), "another than was given out");
    assert!(follower.in_force(1.2, next.head));
    assert!(!follower.in_force(1.2, next.head), "twice");
    assert_eq!(follower.ack(1.3).unwrap().in_force, line[1].0);
    assert_eq!(follower.next(), None);
    // The next one may come before the last is in force, and takes its place.
    follower.hear(&step(&line, 1, 2), &Shape);
    assert_eq!(follower.next().unwrap().head, line[2].0);
}

#[test]
fn versions_never_go_back_and_a_wide_step_is_one() {
    let (mut follower, line) = (fresh(), line(12));
    assert_eq!(follower.hear(&step(&line, 0, 10), &Shape), Heard::Ready(line[10].0));
    follower.in_force(0.0, line[10].0);
    for old in 1..=10 {
        assert_eq!(follower.hear(&step(&line, 0, old), &Shape), Heard::Old, "{old}");
        assert_eq!(follower.hear(&whole(&line, old, PIECE)[0], &Shape), Heard::Old, "{old}");
    }
    assert_eq!(follower.hear(&step(&line, 11, 12), &Shape), Heard::Gap, "its base is missing");
    assert_eq!(follower.works_by().head, line[10].0);
    assert_eq!(follower.next(), None);
}

#[test]
fn two_contents_under_one_number_are_refused_remembered_and_told() {
    let (mut follower, line) = (fresh(), line(2));
    follower.hear(&step(&line, 0, 1), &Shape);
    follower.in_force(0.0, line[1].0);
    let other = Content::default().after(&change("mine", 7.0)).unwrap();
    let body = body_of_content(&other);
    let way = Way { from: None, to: seal().head(1, &other), total: body.len() as u32 };
    for _ in 0..20 {
        let heard = follower.hear(&pieces(way, &body, PIECE)[0], &Shape);
        assert!(matches!(heard, Heard::Wrong(Fault::Conflict(_))), "{heard:?}");
    }
    let told = Tell::target(&seal(), "n1", way.to, 0.0, 1);
    assert!(matches!(follower.hear(&told, &Shape), Heard::Wrong(Fault::Conflict(_))));
    assert_eq!(follower.conflicts().count(), 1, "the same one is kept once");
    assert_eq!(follower.ack(1.0).unwrap().conflicts, 21);
    assert_eq!(follower.works_by().head, line[1].0);
}

#[test]
fn what_is_torn_changed_or_made_up_is_never_applicable() {
    let line = line(6);
    let body = body_of_content(&line[6].1);
    let way = Way { from: None, to: line[6].0, total: body.len() as u32 };
    for at in 0..body.len() {
        for bit in [1, 0x40] {
            let mut other = body.clone();
            other[at] ^= bit;
            let mut follower = fresh();
            let heard = follower.hear(&pieces(way, &other, PIECE)[0], &Shape);
            assert!(matches!(heard, Heard::Wrong(Fault::Torn(6) | Fault::Digest(6))), "byte {at}: {heard:?}");
            assert_eq!(follower.next(), None);
            // And the right one is taken after it.
            assert_eq!(follower.hear(&pieces(way, &body, PIECE)[0], &Shape), Heard::Ready(line[6].0));
        }
        let mut follower = fresh();
        let short = Way { total: at as u32, ..way };
        assert!(!matches!(
            follower.hear(&Tell::Piece(Piece { way: short, at: 0, bytes: body[..at].to_vec() }), &Shape),
            Heard::Ready(_)
        ));
    }
    // A content under a number that is not its own, though both are right by themselves.
    let way = Way { to: Head { number: 9, digest: line[6].0.digest }, ..way };
    let heard = fresh().hear(&pieces(way, &body, PIECE)[0], &Shape);
    assert_eq!(heard, Heard::Wrong(Fault::Digest(9)));
}

#[test]
fn no_claimed_size_is_trusted() {
    let line = line(1);
    let to = line[1].0;
    let piece = |total: u32, at: u32, length: usize| {
        Tell::Piece(Piece { way: Way { from: None, to, total }, at, bytes: vec![0; length] })
    };
    let mut follower = fresh();
    for tell in
        [piece(0, 0, 0), piece(u32::MAX, 0, 9), piece(9, 0, 10), piece(9, u32::MAX, 1), piece(9, 0, 0)]
    {
        let heard = follower.hear(&tell, &Shape);
        assert!(matches!(heard, Heard::Wrong(Fault::Unfit(_))), "{heard:?}");
    }
    let back = Way { from: Some(to), to: line[0].0, total: 1 };
    let heard = follower.hear(&Tell::Piece(Piece { way: back, at: 0, bytes: vec![0] }), &Shape);
    assert!(matches!(heard, Heard::Wrong(Fault::Unfit(_))), "{heard:?}");
    for age in [f64::NAN, -1.0, f64::INFINITY] {
        let heard = follower.hear(&Tell::target(&seal(), "n1", to, age, 1), &Shape);
        assert!(matches!(heard, Heard::Wrong(Fault::Unfit(_))), "{heard:?}");
    }
    // Bodies that never end: only so many are kept.
    for number in 1..200 {
        let way = Way { from: None, to: Head { number, ..to }, total: BODY as u32 };
        follower.hear(&Tell::Piece(Piece { way, at: 0, bytes: vec![0; PIECE] }), &Shape);
    }
    assert_eq!(follower.bodies.len(), BODIES);
    assert!(follower.bodies.iter().all(|body| body.bytes.capacity() <= 2 * PIECE));
}

#[test]
fn a_body_comes_in_pieces_doubled_and_broken_off_and_goes_on_where_it_was() {
    let (mut follower, line) = (fresh(), line(9));
    let pieces = whole(&line, 9, 7);
    assert!(pieces.len() > 4);
    assert_eq!(follower.hear(&pieces[1], &Shape), Heard::Gap, "its beginning is missing");
    assert_eq!(follower.hear(&pieces[0], &Shape), Heard::More);
    assert_eq!(follower.hear(&pieces[0], &Shape), Heard::More, "a double");
    assert_eq!(follower.hear(&pieces[3], &Shape), Heard::Gap);
    follower.attached();
    let (way, got) = follower.ack(0.0).unwrap().got.unwrap();
    assert_eq!((way.to, got), (line[9].0, 7));
    for piece in &pieces[1..pieces.len() - 1] {
        assert_eq!(follower.hear(piece, &Shape), Heard::More);
    }
    assert_eq!(follower.hear(pieces.last().unwrap(), &Shape), Heard::Ready(line[9].0));
    assert!(follower.bodies.is_empty());
}

#[test]
fn what_the_own_check_refuses_is_told_with_its_cause_and_what_was_in_force_stays() {
    let (mut follower, line) = (fresh(), line(2));
    let never = |content: &Content| match content.get(&Key::tenant("b")) {
        Some(1.0) => Err(Wrong::at(&Key::tenant("b"), "not here")),
        _ => Ok(()),
    };
    let heard = follower.hear(&step(&line, 0, 1), &never);
    assert!(matches!(heard, Heard::Wrong(Fault::Refused { number: 1, .. })), "{heard:?}");
    let refused = follower.ack(1.0).unwrap().refused.unwrap();
    assert_eq!((refused.head, refused.cause.as_str()), (line[1].0, "tenant \"b\" quota: not here"));
    assert_eq!((follower.works_by().head, follower.next()), (line[0].0, None));
    // The same again costs no second look; what comes after it may be taken.
    assert!(matches!(follower.hear(&step(&line, 0, 1), &Shape), Heard::Wrong(Fault::Refused { .. })));
    assert_eq!(follower.hear(&step(&line, 0, 2), &Shape), Heard::Ready(line[2].0));
    follower.refuse(line[2].0, "the module would not have it");
    assert_eq!(follower.next(), None);
    assert_eq!(follower.ack(2.0).unwrap().refused.unwrap().head, line[2].0);
}

#[test]
fn only_what_it_lived_under_for_a_while_becomes_its_last_good() {
    let (mut follower, line) = (fresh(), line(9));
    let go = |follower: &mut Follower, now: f64, from: usize, to: usize| {
        follower.hear(&step(&line, from, to), &Shape);
        assert!(follower.in_force(now, line[to].0));
    };
    assert_eq!(follower.save(0.0), None, "the start file needs no saving");
    go(&mut follower, 0.0, 0, 1);
    assert_eq!(follower.save(GOOD - 0.1), None);
    // Versions that follow fast keep none of them off the disk for good.
    go(&mut follower, 0.5, 1, 2);
    let disk = follower.save(GOOD).unwrap();
    assert_eq!(follower.save(GOOD + 9.0), None, "one write at a time");
    follower.saved(GOOD, Ok(()));
    assert_eq!(follower.kept(), Some(line[1].0));
    let (again, began) = Follower::start(HolderId::new("n1", 2), "east", seal(), Some(&disk), &Shape);
    assert_eq!((began, again.works_by().head), (Began::LastGood(line[1].0), line[1].0));
    // A full disk is told of and tried again.
    assert!(follower.save(2.5).is_some());
    follower.saved(2.5, Err("no space left".into()));
    assert_eq!(follower.ack(2.6).unwrap().unsaved.as_deref(), Some("no space left"));
    assert_eq!(follower.save(2.6), None);
    assert!(follower.save(2.5 + GOOD).is_some());
    follower.saved(4.0, Ok(()));
    assert_eq!((follower.kept(), follower.ack(4.0).unwrap().unsaved), (Some(line[2].0), None));
    // Nor what it is not well under.
    go(&mut follower, 5.0, 2, 3);
    follower.fares(5.1, false);
    assert_eq!(follower.save(9.0), None);
    follower.fares(9.0, true);
    assert_eq!(follower.save(9.5), None);
    assert!(follower.save(9.0 + GOOD).is_some());
}

#[test]
fn a_disk_that_is_torn_is_found_and_the_start_file_holds() {
    let (mut follower, line) = (fresh(), line(5));
    follower.hear(&step(&line, 0, 5), &Shape);
    follower.in_force(0.0, line[5].0);
    let disk = follower.save(GOOD).unwrap();
    let start = |disk: &[u8]| Follower::start(HolderId::new("n1", 2), "east", seal(), Some(disk), &Shape);
    for at in 0..disk.len() {
        let mut torn = disk.clone();
        torn[at] ^= 1;
        for torn in [&torn[..], &disk[..at]] {
            let (again, began) = start(torn);
            assert!(matches!(began, Began::StartFile(Some(_))), "byte {at}: {began:?}");
            assert_eq!(again.works_by().head, line[0].0);
        }
    }
    let never = |_: &Content| Err(Wrong::whole("no longer fit"));
    let (again, began) = Follower::start(HolderId::new("n1", 2), "east", seal(), Some(&disk), &never);
    assert!(matches!(began, Began::StartFile(Some(why)) if why.contains("no longer fit")));
    assert_eq!(again.works_by().head.number, 0);
}

#[test]
fn it_knows_how_old_its_knowledge_is_also_where_a_line_lay_for_long() {
    let (mut follower, line) = (fresh(), line(1));
    let target = |at: usize, age: f64, serial: u64| Tell::target(&seal(), "n1", line[at].0, age, serial);
    assert_eq!(follower.age(5.0), None);
    let first = follower.ack(5.0).unwrap().serial;
    // Whenever it is read, it answers what was said at 5.
    follower.hear(&target(0, 0.5, first), &Shape);
    assert_eq!(follower.age(5.0), Some(0.5));
    assert_eq!(follower.age(9.0), Some(4.5));
    let second = follower.ack(9.0).unwrap().serial;
    follower.hear(&target(0, 0.0, second + 1), &Shape);
    assert_eq!(follower.age(9.0), Some(4.5), "an answer to what was never said");
    // Nor does a stranger, a faulty line or what was meant for another server make it younger.
    let strange = [
        Tell::target(&Seal::keyed([9; 32]), "n1", line[0].0, 0.0, second),
        Tell::target(&seal(), "n2", line[0].0, 0.0, second),
        Tell::Target { head: line[0].0, age: 0.0, serial: second, tag: 7 },
    ];
    for tell in strange {
        assert_eq!(follower.hear(&tell, &Shape), Heard::Wrong(Fault::Unfit("its tag")));
        assert_eq!(follower.age(9.0), Some(4.5));
    }
    // A distributor that is cut off makes nothing younger.
    follower.hear(&target(0, 7.0, second), &Shape);
    assert_eq!(follower.age(9.0), Some(4.5));
    // What is told to be newer than what is in force makes it no younger either.
    assert_eq!(follower.hear(&target(1, 0.0, second), &Shape), Heard::Gap);
    assert_eq!(follower.age(9.0), Some(4.5));
}

#[test]
fn nonsense_is_not_answered_line_by_line() {
    let (mut follower, line) = (fresh(), line(1));
    follower.hear(&step(&line, 0, 1), &Shape);
    follower.in_force(0.0, line[1].0);
    let mut acks = 0;
    for at in 0..1000 {
        let now = 5.0 + f64::from(at) / 1000.0;
        follower.hear(&step(&line, 0, 1), &Shape);
        acks += u32::from(follower.ack(now).is_some());
    }
    assert!(acks <= 51, "{acks}");
}
