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

fn digester() -> Digester {
    Digester::keyed([3; 32])
}

fn change(name: &str, quota: f64) -> Change {
    Change::default().set(Key::tenant(name), quota)
}

fn new_follower() -> Follower {
    Follower::start(HolderId::new("n1", 1), "east", digester(), None, &BoundsValidator).0
}

/// Returns `count` versions after version 0, each with its content and its change.
fn versions(count: u32) -> Vec<(VersionId, Content, Change)> {
    let mut content = Content::default();
    let mut versions = vec![(digester().version_id(0, &content), content.clone(), Change::default())];
    for index in 1..=count {
        let change = change(["a", "b", "c"][index as usize % 3], f64::from(index));
        content = content.with_change(&change).unwrap();
        versions.push((digester().version_id(u64::from(index), &content), content.clone(), change));
    }
    versions
}

fn chunks(transfer: TransferId, body: &[u8], size: usize) -> Vec<DistributorMessage> {
    let chunk = |(index, bytes): (usize, &[u8])| {
        DistributorMessage::Chunk(Chunk { transfer, offset: (index * size) as u32, bytes: bytes.to_vec() })
    };
    body.chunks(size).enumerate().map(chunk).collect()
}

fn change_message(versions: &[(VersionId, Content, Change)], from: usize, to: usize) -> DistributorMessage {
    let mut change = Change::default();
    versions[from + 1..=to].iter().for_each(|(.., later)| change.append(later));
    let body = encode_change(&change);
    let transfer =
        TransferId { base: Some(versions[from].0), target: versions[to].0, total_bytes: body.len() as u32 };
    chunks(transfer, &body, MAX_CHUNK_BYTES).remove(0)
}

fn content_messages(
    versions: &[(VersionId, Content, Change)],
    to: usize,
    size: usize,
) -> Vec<DistributorMessage> {
    let body = encode_content(&versions[to].1);
    chunks(TransferId { base: None, target: versions[to].0, total_bytes: body.len() as u32 }, &body, size)
}

#[test]
fn acknowledges_a_version_only_after_activation() {
    let (mut follower, versions) = (new_follower(), versions(2));
    assert_eq!(follower.acknowledge(0.0).unwrap().active, versions[0].0);
    assert_eq!(
        follower.receive(&change_message(&versions, 0, 1), &BoundsValidator),
        Received::Staged(versions[1].0)
    );
    let ack = follower.acknowledge(1.1).unwrap();
    assert_eq!((ack.active, ack.staged), (versions[0].0, versions[1].0));
    let next = follower.staged().unwrap().clone();
    assert_eq!((next.version, &*next.content), (versions[1].0, &versions[1].1));
    assert!(!follower.activated(1.2, versions[2].0), "not the staged version");
    assert!(follower.activated(1.2, next.version));
    assert!(!follower.activated(1.2, next.version), "already activated");
    assert_eq!(follower.acknowledge(1.3).unwrap().active, versions[1].0);
    assert_eq!(follower.staged(), None);
    // A newer version replaces the staged one.
    follower.receive(&change_message(&versions, 1, 2), &BoundsValidator);
    assert_eq!(follower.staged().unwrap().version, versions[2].0);
}

#[test]
fn never_activates_an_older_version() {
    let (mut follower, versions) = (new_follower(), versions(12));
    assert_eq!(
        follower.receive(&change_message(&versions, 0, 10), &BoundsValidator),
        Received::Staged(versions[10].0)
    );
    follower.activated(0.0, versions[10].0);
    for old in 1..=10 {
        assert_eq!(
            follower.receive(&change_message(&versions, 0, old), &BoundsValidator),
            Received::Outdated,
            "{old}"
        );
        assert_eq!(
            follower.receive(&content_messages(&versions, old, MAX_CHUNK_BYTES)[0], &BoundsValidator),
            Received::Outdated,
            "{old}"
        );
    }
    assert_eq!(
        follower.receive(&change_message(&versions, 11, 12), &BoundsValidator),
        Received::Gap,
        "the base version is missing"
    );
    assert_eq!(follower.active().version, versions[10].0);
    assert_eq!(follower.staged(), None);
}

#[test]
fn rejects_and_reports_a_second_content_under_the_same_number() {
    let (mut follower, versions) = (new_follower(), versions(2));
    follower.receive(&change_message(&versions, 0, 1), &BoundsValidator);
    follower.activated(0.0, versions[1].0);
    let other = Content::default().with_change(&change("mine", 7.0)).unwrap();
    let body = encode_content(&other);
    let transfer =
        TransferId { base: None, target: digester().version_id(1, &other), total_bytes: body.len() as u32 };
    for _ in 0..20 {
        let received = follower.receive(&chunks(transfer, &body, MAX_CHUNK_BYTES)[0], &BoundsValidator);
        assert!(matches!(received, Received::Invalid(MessageError::Conflict(_))), "{received:?}");
    }
    let target = DistributorMessage::target(&digester(), "n1", transfer.target, 0.0, 1);
    assert!(matches!(
        follower.receive(&target, &BoundsValidator),
        Received::Invalid(MessageError::Conflict(_))
    ));
    assert_eq!(follower.conflicts().count(), 1, "equal conflicts are stored once");
    assert_eq!(follower.acknowledge(1.0).unwrap().conflicts, 21);
    assert_eq!(follower.active().version, versions[1].0);
}

#[test]
fn never_stages_corrupted_truncated_or_forged_bodies() {
    let versions = versions(6);
    let body = encode_content(&versions[6].1);
    let transfer = TransferId { base: None, target: versions[6].0, total_bytes: body.len() as u32 };
    for index in 0..body.len() {
        for bit in [1, 0x40] {
            let mut other = body.clone();
            other[index] ^= bit;
            let mut follower = new_follower();
            let received = follower.receive(&chunks(transfer, &other, MAX_CHUNK_BYTES)[0], &BoundsValidator);
            assert!(
                matches!(
                    received,
                    Received::Invalid(
                        MessageError::Undecodable { number: 6, .. }
                            | MessageError::WrongDigest { received: VersionId { number: 6, .. }, .. }
                    )
                ),
                "byte {index}: {received:?}"
            );
            assert_eq!(follower.staged(), None);
            // The valid body is accepted afterwards.
            assert_eq!(
                follower.receive(&chunks(transfer, &body, MAX_CHUNK_BYTES)[0], &BoundsValidator),
                Received::Staged(versions[6].0)
            );
        }
        let mut follower = new_follower();
        let short = TransferId { total_bytes: index as u32, ..transfer };
        assert!(!matches!(
            follower.receive(
                &DistributorMessage::Chunk(Chunk {
                    transfer: short,
                    offset: 0,
                    bytes: body[..index].to_vec()
                }),
                &BoundsValidator
            ),
            Received::Staged(_)
        ));
    }
    // A valid content with the number of another version.
    let transfer = TransferId { target: VersionId { number: 9, digest: versions[6].0.digest }, ..transfer };
    let received = new_follower().receive(&chunks(transfer, &body, MAX_CHUNK_BYTES)[0], &BoundsValidator);
    let expected = digester().digest(9, &versions[6].1);
    assert_eq!(
        received,
        Received::Invalid(MessageError::WrongDigest { received: transfer.target, expected })
    );
}

#[test]
fn rejects_invalid_sizes_and_ages() {
    let versions = versions(1);
    let to = versions[1].0;
    let chunk = |total_bytes: u32, offset: u32, length: usize| {
        DistributorMessage::Chunk(Chunk {
            transfer: TransferId { base: None, target: to, total_bytes },
            offset,
            bytes: vec![0; length],
        })
    };
    let mut follower = new_follower();
    for message in
        [chunk(0, 0, 0), chunk(u32::MAX, 0, 9), chunk(9, 0, 10), chunk(9, u32::MAX, 1), chunk(9, 0, 0)]
    {
        let received = follower.receive(&message, &BoundsValidator);
        assert!(matches!(received, Received::Invalid(MessageError::InvalidField(_))), "{received:?}");
    }
    let back = TransferId { base: Some(to), target: versions[0].0, total_bytes: 1 };
    let received = follower.receive(
        &DistributorMessage::Chunk(Chunk { transfer: back, offset: 0, bytes: vec![0] }),
        &BoundsValidator,
    );
    assert!(matches!(received, Received::Invalid(MessageError::InvalidField(_))), "{received:?}");
    for age in [f64::NAN, -1.0, f64::INFINITY] {
        let received =
            follower.receive(&DistributorMessage::target(&digester(), "n1", to, age, 1), &BoundsValidator);
        assert!(matches!(received, Received::Invalid(MessageError::InvalidField(_))), "{received:?}");
    }
    // The number of incomplete bodies is limited.
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
fn assembles_a_body_from_duplicated_and_interrupted_chunks() {
    let (mut follower, versions) = (new_follower(), versions(9));
    let chunks = content_messages(&versions, 9, 7);
    assert!(chunks.len() > 4);
    assert_eq!(follower.receive(&chunks[1], &BoundsValidator), Received::Gap, "the first chunk is missing");
    assert_eq!(follower.receive(&chunks[0], &BoundsValidator), Received::Incomplete);
    assert_eq!(follower.receive(&chunks[0], &BoundsValidator), Received::Incomplete, "a duplicate");
    assert_eq!(follower.receive(&chunks[3], &BoundsValidator), Received::Gap);
    follower.connected();
    let TransferProgress { transfer, received_bytes } = follower.acknowledge(0.0).unwrap().progress.unwrap();
    assert_eq!((transfer.target, received_bytes), (versions[9].0, 7));
    for chunk in &chunks[1..chunks.len() - 1] {
        assert_eq!(follower.receive(chunk, &BoundsValidator), Received::Incomplete);
    }
    assert_eq!(follower.receive(chunks.last().unwrap(), &BoundsValidator), Received::Staged(versions[9].0));
    assert!(follower.partial_bodies.bodies.is_empty());
}

#[test]
fn reports_the_cause_of_a_rejection_and_keeps_the_active_version() {
    let (mut follower, versions) = (new_follower(), versions(2));
    let validator = |content: &Content| match content.get(&Key::tenant("b")) {
        Some(1.0) => Err(ValidationError::at(&Key::tenant("b"), "not here")),
        _ => Ok(()),
    };
    let received = follower.receive(&change_message(&versions, 0, 1), &validator);
    assert!(matches!(received, Received::Invalid(MessageError::Rejected { number: 1, .. })), "{received:?}");
    let rejected = follower.acknowledge(1.0).unwrap().rejected.unwrap();
    assert_eq!((rejected.version, rejected.cause.as_str()), (versions[1].0, "tenant \"b\" quota: not here"));
    assert_eq!((follower.active().version, follower.staged()), (versions[0].0, None));
    // The rejected version is not validated again; later versions are accepted.
    assert!(matches!(
        follower.receive(&change_message(&versions, 0, 1), &BoundsValidator),
        Received::Invalid(MessageError::Rejected { .. })
    ));
    assert_eq!(
        follower.receive(&change_message(&versions, 0, 2), &BoundsValidator),
        Received::Staged(versions[2].0)
    );
    follower.reject(versions[2].0, "module rejected the settings");
    assert_eq!(follower.staged(), None);
    assert_eq!(follower.acknowledge(2.0).unwrap().rejected.unwrap().version, versions[2].0);
}

#[test]
fn saves_a_version_as_last_good_only_after_probation() {
    let (mut follower, versions) = (new_follower(), versions(9));
    let activate_version = |follower: &mut Follower, now: f64, from: usize, to: usize| {
        follower.receive(&change_message(&versions, from, to), &BoundsValidator);
        assert!(follower.activated(now, versions[to].0));
    };
    assert_eq!(follower.save(0.0), None, "the base settings are not saved");
    activate_version(&mut follower, 0.0, 0, 1);
    assert_eq!(follower.save(PROBATION - 0.1), None);
    // Versions in quick succession do not prevent the save of an earlier one.
    activate_version(&mut follower, 0.5, 1, 2);
    let disk = follower.save(PROBATION).unwrap();
    assert_eq!(follower.save(PROBATION + 9.0), None, "a write is in progress");
    follower.save_finished(PROBATION, Ok(()));
    assert_eq!(follower.stored(), Some(versions[1].0));
    let (again, start_source) =
        Follower::start(HolderId::new("n1", 2), "east", digester(), Some(&disk), &BoundsValidator);
    assert_eq!((start_source, again.active().version), (StartSource::LastGood(versions[1].0), versions[1].0));
    // A failed write is reported and repeated.
    assert!(follower.save(2.5).is_some());
    follower.save_finished(2.5, Err(io::Error::other("no space left")));
    assert_eq!(follower.acknowledge(2.6).unwrap().save_error.as_deref(), Some("no space left"));
    assert_eq!(follower.save(2.6), None);
    assert!(follower.save(2.5 + PROBATION).is_some());
    follower.save_finished(4.0, Ok(()));
    assert_eq!(
        (follower.stored(), follower.acknowledge(4.0).unwrap().save_error),
        (Some(versions[2].0), None)
    );
    // A version is not saved while the server is unhealthy.
    activate_version(&mut follower, 5.0, 2, 3);
    follower.set_healthy(5.1, false);
    assert_eq!(follower.save(9.0), None);
    follower.set_healthy(9.0, true);
    assert_eq!(follower.save(9.5), None);
    assert!(follower.save(9.0 + PROBATION).is_some());
}

#[test]
fn starts_with_base_settings_when_the_last_good_file_is_corrupted() {
    let (mut follower, versions) = (new_follower(), versions(5));
    follower.receive(&change_message(&versions, 0, 5), &BoundsValidator);
    follower.activated(0.0, versions[5].0);
    let disk = follower.save(PROBATION).unwrap();
    let start = |disk: &[u8]| {
        Follower::start(HolderId::new("n1", 2), "east", digester(), Some(disk), &BoundsValidator)
    };
    for index in 0..disk.len() {
        let mut corrupted = disk.clone();
        corrupted[index] ^= 1;
        for corrupted in [&corrupted[..], &disk[..index]] {
            let (again, start_source) = start(corrupted);
            assert!(
                matches!(start_source, StartSource::BaseSettings(Some(_))),
                "byte {index}: {start_source:?}"
            );
            assert_eq!(again.active().version, versions[0].0);
        }
    }
    let validator = |_: &Content| Err(ValidationError::whole("unsupported content"));
    let (again, start_source) =
        Follower::start(HolderId::new("n1", 2), "east", digester(), Some(&disk), &validator);
    assert!(matches!(start_source, StartSource::BaseSettings(Some(error)) if error.to_string()
            == "last good version: rejected by the server: unsupported content"));
    assert_eq!(again.active().version.number, 0);
}

#[test]
fn age_counts_from_the_acknowledgement_that_a_target_answers() {
    let (mut follower, versions) = (new_follower(), versions(1));
    let target = |index: usize, age: f64, sequence: u64| {
        DistributorMessage::target(&digester(), "n1", versions[index].0, age, sequence)
    };
    assert_eq!(follower.age(5.0), None);
    let first = follower.acknowledge(5.0).unwrap().sequence;
    // The age counts from the acknowledgement at 5 s, regardless of the time of arrival.
    follower.receive(&target(0, 0.5, first), &BoundsValidator);
    assert_eq!(follower.age(5.0), Some(0.5));
    assert_eq!(follower.age(9.0), Some(4.5));
    let second = follower.acknowledge(9.0).unwrap().sequence;
    follower.receive(&target(0, 0.0, second + 1), &BoundsValidator);
    assert_eq!(follower.age(9.0), Some(4.5), "answers an unknown acknowledgement");
    // Messages with another key, to another server or with a wrong tag do not reduce the age.
    let invalid = [
        DistributorMessage::target(&Digester::keyed([9; 32]), "n1", versions[0].0, 0.0, second),
        DistributorMessage::target(&digester(), "n2", versions[0].0, 0.0, second),
        DistributorMessage::Target { target: versions[0].0, age: 0.0, acknowledged: second, tag: 7 },
    ];
    for message in invalid {
        let DistributorMessage::Target { tag, .. } = message else { panic!("{message:?}") };
        assert_eq!(
            follower.receive(&message, &BoundsValidator),
            Received::Invalid(MessageError::InvalidField(InvalidField::Tag(tag)))
        );
        assert_eq!(follower.age(9.0), Some(4.5));
    }
    // A distributor with an outdated replica does not reduce the age.
    follower.receive(&target(0, 7.0, second), &BoundsValidator);
    assert_eq!(follower.age(9.0), Some(4.5));
    // A target newer than the active version does not reduce the age.
    assert_eq!(follower.receive(&target(1, 0.0, second), &BoundsValidator), Received::Gap);
    assert_eq!(follower.age(9.0), Some(4.5));
}

#[test]
fn limits_the_rate_of_acknowledgements() {
    let (mut follower, versions) = (new_follower(), versions(1));
    follower.receive(&change_message(&versions, 0, 1), &BoundsValidator);
    follower.activated(0.0, versions[1].0);
    let mut acks = 0;
    for index in 0..1000 {
        let now = 5.0 + f64::from(index) / 1000.0;
        follower.receive(&change_message(&versions, 0, 1), &BoundsValidator);
        acks += u32::from(follower.acknowledge(now).is_some());
    }
    assert!(acks <= 51, "{acks}");
}
