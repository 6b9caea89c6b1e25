use super::partial_bodies::MAX_BODIES;
use super::*;
use crate::change::Change;
use crate::key::Key;
use crate::messages::{
    encode_change, encode_content, Chunk, DistributorMessage, TransferId, TransferProgress, MAX_BODY_BYTES,
    MAX_CHUNK_BYTES,
};
use crate::setting::ValidationError;
use crate::validation::BoundsValidator;

fn seal() -> Seal {
    Seal::keyed([3; 32])
}

fn change(name: &str, quota: f64) -> Change {
    Change::default().set(Key::tenant(name), quota)
}

fn fresh() -> Follower {
    Follower::start(HolderId::new("n1", 1), "east", seal(), None, &BoundsValidator).0
}

/// A line of versions, each of one change.
fn line(count: u32) -> Vec<(VersionId, Content, Change)> {
    let mut content = Content::default();
    let mut line = vec![(seal().version_id(0, &content), content.clone(), Change::default())];
    for at in 1..=count {
        let change = change(["a", "b", "c"][at as usize % 3], f64::from(at));
        content = content.after(&change).unwrap();
        line.push((seal().version_id(u64::from(at), &content), content.clone(), change));
    }
    line
}

fn chunks(transfer: TransferId, body: &[u8], size: usize) -> Vec<DistributorMessage> {
    let chunk = |(at, bytes): (usize, &[u8])| {
        DistributorMessage::Chunk(Chunk { transfer, offset: (at * size) as u32, bytes: bytes.to_vec() })
    };
    body.chunks(size).enumerate().map(chunk).collect()
}

fn step(line: &[(VersionId, Content, Change)], from: usize, to: usize) -> DistributorMessage {
    let mut change = Change::default();
    line[from + 1..=to].iter().for_each(|(.., one)| change.then(one));
    let body = encode_change(&change);
    let transfer =
        TransferId { base: Some(line[from].0), target: line[to].0, total_bytes: body.len() as u32 };
    chunks(transfer, &body, MAX_CHUNK_BYTES).remove(0)
}

fn whole(line: &[(VersionId, Content, Change)], to: usize, size: usize) -> Vec<DistributorMessage> {
    let body = encode_content(&line[to].1);
    chunks(TransferId { base: None, target: line[to].0, total_bytes: body.len() as u32 }, &body, size)
}

#[test]
fn a_version_is_acknowledged_once_it_is_active_and_not_before() {
    let (mut follower, line) = (fresh(), line(2));
    assert_eq!(follower.acknowledge(0.0).unwrap().active, line[0].0);
    assert_eq!(follower.receive(&step(&line, 0, 1), &BoundsValidator), Received::Staged(line[1].0));
    let ack = follower.acknowledge(1.1).unwrap();
    assert_eq!((ack.active, ack.staged), (line[0].0, line[1].0));
    let next = follower.staged().unwrap().clone();
    assert_eq!((next.version, &*next.content), (line[1].0, &line[1].1));
    assert!(!follower.activated(1.2, line[2].0), "another than was given out");
    assert!(follower.activated(1.2, next.version));
    assert!(!follower.activated(1.2, next.version), "twice");
    assert_eq!(follower.acknowledge(1.3).unwrap().active, line[1].0);
    assert_eq!(follower.staged(), None);
    // The next one may come before the last is active, and takes its place.
    follower.receive(&step(&line, 1, 2), &BoundsValidator);
    assert_eq!(follower.staged().unwrap().version, line[2].0);
}

#[test]
fn versions_never_go_back_and_a_wide_step_is_one() {
    let (mut follower, line) = (fresh(), line(12));
    assert_eq!(follower.receive(&step(&line, 0, 10), &BoundsValidator), Received::Staged(line[10].0));
    follower.activated(0.0, line[10].0);
    for old in 1..=10 {
        assert_eq!(follower.receive(&step(&line, 0, old), &BoundsValidator), Received::Outdated, "{old}");
        assert_eq!(
            follower.receive(&whole(&line, old, MAX_CHUNK_BYTES)[0], &BoundsValidator),
            Received::Outdated,
            "{old}"
        );
    }
    assert_eq!(
        follower.receive(&step(&line, 11, 12), &BoundsValidator),
        Received::Gap,
        "its base is missing"
    );
    assert_eq!(follower.active().version, line[10].0);
    assert_eq!(follower.staged(), None);
}

#[test]
fn two_contents_under_one_number_are_rejected_remembered_and_reported() {
    let (mut follower, line) = (fresh(), line(2));
    follower.receive(&step(&line, 0, 1), &BoundsValidator);
    follower.activated(0.0, line[1].0);
    let other = Content::default().after(&change("mine", 7.0)).unwrap();
    let body = encode_content(&other);
    let transfer =
        TransferId { base: None, target: seal().version_id(1, &other), total_bytes: body.len() as u32 };
    for _ in 0..20 {
        let received = follower.receive(&chunks(transfer, &body, MAX_CHUNK_BYTES)[0], &BoundsValidator);
        assert!(matches!(received, Received::Invalid(MessageError::Conflict(_))), "{received:?}");
    }
    let target = DistributorMessage::target(&seal(), "n1", transfer.target, 0.0, 1);
    assert!(matches!(
        follower.receive(&target, &BoundsValidator),
        Received::Invalid(MessageError::Conflict(_))
    ));
    assert_eq!(follower.conflicts().count(), 1, "the same one is kept once");
    assert_eq!(follower.acknowledge(1.0).unwrap().conflicts, 21);
    assert_eq!(follower.active().version, line[1].0);
}

#[test]
fn what_is_torn_changed_or_made_up_is_never_applicable() {
    let line = line(6);
    let body = encode_content(&line[6].1);
    let transfer = TransferId { base: None, target: line[6].0, total_bytes: body.len() as u32 };
    for at in 0..body.len() {
        for bit in [1, 0x40] {
            let mut other = body.clone();
            other[at] ^= bit;
            let mut follower = fresh();
            let received = follower.receive(&chunks(transfer, &other, MAX_CHUNK_BYTES)[0], &BoundsValidator);
            assert!(
                matches!(
                    received,
                    Received::Invalid(MessageError::Undecodable(6) | MessageError::WrongDigest(6))
                ),
                "byte {at}: {received:?}"
            );
            assert_eq!(follower.staged(), None);
            // And the right one is taken after it.
            assert_eq!(
                follower.receive(&chunks(transfer, &body, MAX_CHUNK_BYTES)[0], &BoundsValidator),
                Received::Staged(line[6].0)
            );
        }
        let mut follower = fresh();
        let short = TransferId { total_bytes: at as u32, ..transfer };
        assert!(!matches!(
            follower.receive(
                &DistributorMessage::Chunk(Chunk { transfer: short, offset: 0, bytes: body[..at].to_vec() }),
                &BoundsValidator
            ),
            Received::Staged(_)
        ));
    }
    // A content under a number that is not its own, though both are right by themselves.
    let transfer = TransferId { target: VersionId { number: 9, digest: line[6].0.digest }, ..transfer };
    let received = fresh().receive(&chunks(transfer, &body, MAX_CHUNK_BYTES)[0], &BoundsValidator);
    assert_eq!(received, Received::Invalid(MessageError::WrongDigest(9)));
}

#[test]
fn no_claimed_size_is_trusted() {
    let line = line(1);
    let to = line[1].0;
    let chunk = |total: u32, at: u32, length: usize| {
        DistributorMessage::Chunk(Chunk {
            transfer: TransferId { base: None, target: to, total_bytes: total },
            offset: at,
            bytes: vec![0; length],
        })
    };
    let mut follower = fresh();
    for message in
        [chunk(0, 0, 0), chunk(u32::MAX, 0, 9), chunk(9, 0, 10), chunk(9, u32::MAX, 1), chunk(9, 0, 0)]
    {
        let received = follower.receive(&message, &BoundsValidator);
        assert!(matches!(received, Received::Invalid(MessageError::InvalidField(_))), "{received:?}");
    }
    let back = TransferId { base: Some(to), target: line[0].0, total_bytes: 1 };
    let received = follower.receive(
        &DistributorMessage::Chunk(Chunk { transfer: back, offset: 0, bytes: vec![0] }),
        &BoundsValidator,
    );
    assert!(matches!(received, Received::Invalid(MessageError::InvalidField(_))), "{received:?}");
    for age in [f64::NAN, -1.0, f64::INFINITY] {
        let received =
            follower.receive(&DistributorMessage::target(&seal(), "n1", to, age, 1), &BoundsValidator);
        assert!(matches!(received, Received::Invalid(MessageError::InvalidField(_))), "{received:?}");
    }
    // Bodies that never end: only so many are kept.
    for number in 1..200 {
        let transfer =
            TransferId { base: None, target: VersionId { number, ..to }, total_bytes: MAX_BODY_BYTES as u32 };
        follower.receive(
            &DistributorMessage::Chunk(Chunk { transfer, offset: 0, bytes: vec![0; MAX_CHUNK_BYTES] }),
            &BoundsValidator,
        );
    }
    assert_eq!(follower.partial_bodies.bodies.len(), MAX_BODIES);
    assert!(follower.partial_bodies.bodies.iter().all(|body| body.bytes.capacity() <= 2 * MAX_CHUNK_BYTES));
}

#[test]
fn a_body_comes_in_chunks_doubled_and_broken_off_and_resumes_where_it_was() {
    let (mut follower, line) = (fresh(), line(9));
    let chunks = whole(&line, 9, 7);
    assert!(chunks.len() > 4);
    assert_eq!(follower.receive(&chunks[1], &BoundsValidator), Received::Gap, "its beginning is missing");
    assert_eq!(follower.receive(&chunks[0], &BoundsValidator), Received::Incomplete);
    assert_eq!(follower.receive(&chunks[0], &BoundsValidator), Received::Incomplete, "a double");
    assert_eq!(follower.receive(&chunks[3], &BoundsValidator), Received::Gap);
    follower.connected();
    let TransferProgress { transfer, received_bytes } = follower.acknowledge(0.0).unwrap().progress.unwrap();
    assert_eq!((transfer.target, received_bytes), (line[9].0, 7));
    for chunk in &chunks[1..chunks.len() - 1] {
        assert_eq!(follower.receive(chunk, &BoundsValidator), Received::Incomplete);
    }
    assert_eq!(follower.receive(chunks.last().unwrap(), &BoundsValidator), Received::Staged(line[9].0));
    assert!(follower.partial_bodies.bodies.is_empty());
}

#[test]
fn what_the_own_check_rejects_is_reported_with_its_cause_and_what_was_active_stays() {
    let (mut follower, line) = (fresh(), line(2));
    let never = |content: &Content| match content.get(&Key::tenant("b")) {
        Some(1.0) => Err(ValidationError::at(&Key::tenant("b"), "not here")),
        _ => Ok(()),
    };
    let received = follower.receive(&step(&line, 0, 1), &never);
    assert!(matches!(received, Received::Invalid(MessageError::Rejected { number: 1, .. })), "{received:?}");
    let rejected = follower.acknowledge(1.0).unwrap().rejected.unwrap();
    assert_eq!((rejected.version, rejected.cause.as_str()), (line[1].0, "tenant \"b\" quota: not here"));
    assert_eq!((follower.active().version, follower.staged()), (line[0].0, None));
    // The same again costs no second look; what comes after it may be taken.
    assert!(matches!(
        follower.receive(&step(&line, 0, 1), &BoundsValidator),
        Received::Invalid(MessageError::Rejected { .. })
    ));
    assert_eq!(follower.receive(&step(&line, 0, 2), &BoundsValidator), Received::Staged(line[2].0));
    follower.reject(line[2].0, "the module would not have it");
    assert_eq!(follower.staged(), None);
    assert_eq!(follower.acknowledge(2.0).unwrap().rejected.unwrap().version, line[2].0);
}

#[test]
fn only_what_it_lived_under_for_a_while_becomes_its_last_good() {
    let (mut follower, line) = (fresh(), line(9));
    let go = |follower: &mut Follower, now: f64, from: usize, to: usize| {
        follower.receive(&step(&line, from, to), &BoundsValidator);
        assert!(follower.activated(now, line[to].0));
    };
    assert_eq!(follower.save(0.0), None, "the start file needs no saving");
    go(&mut follower, 0.0, 0, 1);
    assert_eq!(follower.save(PROBATION - 0.1), None);
    // Versions that follow fast keep none of them off the disk for good.
    go(&mut follower, 0.5, 1, 2);
    let disk = follower.save(PROBATION).unwrap();
    assert_eq!(follower.save(PROBATION + 9.0), None, "one write at a time");
    follower.save_finished(PROBATION, Ok(()));
    assert_eq!(follower.stored(), Some(line[1].0));
    let (again, started_with) =
        Follower::start(HolderId::new("n1", 2), "east", seal(), Some(&disk), &BoundsValidator);
    assert_eq!((started_with, again.active().version), (StartedWith::LastGood(line[1].0), line[1].0));
    // A full disk is reported and tried again.
    assert!(follower.save(2.5).is_some());
    follower.save_finished(2.5, Err(io::Error::other("no space left")));
    assert_eq!(follower.acknowledge(2.6).unwrap().save_error.as_deref(), Some("no space left"));
    assert_eq!(follower.save(2.6), None);
    assert!(follower.save(2.5 + PROBATION).is_some());
    follower.save_finished(4.0, Ok(()));
    assert_eq!((follower.stored(), follower.acknowledge(4.0).unwrap().save_error), (Some(line[2].0), None));
    // Nor what it is not well under.
    go(&mut follower, 5.0, 2, 3);
    follower.set_healthy(5.1, false);
    assert_eq!(follower.save(9.0), None);
    follower.set_healthy(9.0, true);
    assert_eq!(follower.save(9.5), None);
    assert!(follower.save(9.0 + PROBATION).is_some());
}

#[test]
fn a_disk_that_is_torn_is_found_and_the_base_settings_hold() {
    let (mut follower, line) = (fresh(), line(5));
    follower.receive(&step(&line, 0, 5), &BoundsValidator);
    follower.activated(0.0, line[5].0);
    let disk = follower.save(PROBATION).unwrap();
    let start =
        |disk: &[u8]| Follower::start(HolderId::new("n1", 2), "east", seal(), Some(disk), &BoundsValidator);
    for at in 0..disk.len() {
        let mut torn = disk.clone();
        torn[at] ^= 1;
        for torn in [&torn[..], &disk[..at]] {
            let (again, started_with) = start(torn);
            assert!(
                matches!(started_with, StartedWith::BaseSettings(Some(_))),
                "byte {at}: {started_with:?}"
            );
            assert_eq!(again.active().version, line[0].0);
        }
    }
    let never = |_: &Content| Err(ValidationError::whole("no longer fit"));
    let (again, started_with) = Follower::start(HolderId::new("n1", 2), "east", seal(), Some(&disk), &never);
    assert!(
        matches!(started_with, StartedWith::BaseSettings(Some(error)) if error.to_string().contains("no longer fit"))
    );
    assert_eq!(again.active().version.number, 0);
}

#[test]
fn it_knows_how_old_its_knowledge_is_also_where_a_line_lay_for_long() {
    let (mut follower, line) = (fresh(), line(1));
    let target = |at: usize, age: f64, sequence: u64| {
        DistributorMessage::target(&seal(), "n1", line[at].0, age, sequence)
    };
    assert_eq!(follower.age(5.0), None);
    let first = follower.acknowledge(5.0).unwrap().sequence;
    // Whenever it is read, it answers what was acknowledged at 5.
    follower.receive(&target(0, 0.5, first), &BoundsValidator);
    assert_eq!(follower.age(5.0), Some(0.5));
    assert_eq!(follower.age(9.0), Some(4.5));
    let second = follower.acknowledge(9.0).unwrap().sequence;
    follower.receive(&target(0, 0.0, second + 1), &BoundsValidator);
    assert_eq!(follower.age(9.0), Some(4.5), "an answer to what was never said");
    // Nor does a stranger, a faulty line or what was meant for another server make it younger.
    let strange = [
        DistributorMessage::target(&Seal::keyed([9; 32]), "n1", line[0].0, 0.0, second),
        DistributorMessage::target(&seal(), "n2", line[0].0, 0.0, second),
        DistributorMessage::Target { target: line[0].0, age: 0.0, acknowledged: second, tag: 7 },
    ];
    for message in strange {
        assert_eq!(
            follower.receive(&message, &BoundsValidator),
            Received::Invalid(MessageError::InvalidField(InvalidField::Tag))
        );
        assert_eq!(follower.age(9.0), Some(4.5));
    }
    // A distributor that is cut off makes nothing younger.
    follower.receive(&target(0, 7.0, second), &BoundsValidator);
    assert_eq!(follower.age(9.0), Some(4.5));
    // A target newer than what is active makes it no younger either.
    assert_eq!(follower.receive(&target(1, 0.0, second), &BoundsValidator), Received::Gap);
    assert_eq!(follower.age(9.0), Some(4.5));
}

#[test]
fn nonsense_is_not_answered_line_by_line() {
    let (mut follower, line) = (fresh(), line(1));
    follower.receive(&step(&line, 0, 1), &BoundsValidator);
    follower.activated(0.0, line[1].0);
    let mut acks = 0;
    for at in 0..1000 {
        let now = 5.0 + f64::from(at) / 1000.0;
        follower.receive(&step(&line, 0, 1), &BoundsValidator);
        acks += u32::from(follower.acknowledge(now).is_some());
    }
    assert!(acks <= 51, "{acks}");
}
