use super::*;
use crate::digest::Digest;
use crate::digest::Digester;
use crate::key::Key;

#[test]
fn messages_round_trip_through_json_and_postcard() {
    let to = Digester::default().version_id(3, &Content::default());
    let transfer = TransferId { base: Some(VersionId::default()), target: to, total_bytes: 7 };
    let messages = [
        DistributorMessage::Chunk(Chunk { transfer, offset: 2, bytes: vec![0, 255, 7] }),
        DistributorMessage::target(&Digester::default(), "n1", to, 0.25, 9),
    ];
    for message in messages {
        let line = serde_json::to_string(&message).unwrap();
        assert_eq!(serde_json::from_str::<DistributorMessage>(&line).unwrap(), message, "{line}");
        assert_eq!(message.line_bytes(), line.len() + 1);
        let encoded = postcard::to_allocvec(&message).unwrap();
        assert_eq!(postcard::from_bytes::<DistributorMessage>(&encoded).unwrap(), message);
    }
    let ack = Acknowledgement {
        progress: Some(TransferProgress { transfer, received_bytes: 4 }),
        rejected: Some(RejectedVersion { version: to, cause: "no".into() }),
        ..Acknowledgement::default()
    };
    let line = serde_json::to_string(&ack).unwrap();
    assert_eq!(serde_json::from_str::<Acknowledgement>(&line).unwrap(), ack, "{line}");
}

#[test]
fn decoding_a_corrupted_line_never_panics() {
    let message = DistributorMessage::Chunk(Chunk {
        transfer: TransferId { base: None, target: VersionId::default(), total_bytes: 3 },
        offset: 0,
        bytes: vec![1, 2, 3],
    });
    let line = serde_json::to_vec(&message).unwrap();
    for index in 0..line.len() {
        let _ = serde_json::from_slice::<DistributorMessage>(&line[..index]);
        for byte in [b'"', b'9', b'-', 0xff] {
            let mut other = line.clone();
            other[index] = byte;
            let _ = serde_json::from_slice::<DistributorMessage>(&other);
        }
    }
}

#[test]
fn longest_chunk_line_fits_the_line_limit() {
    // The longest possible line: a full chunk with maximum numbers.
    let head = VersionId { number: u64::MAX, digest: Digest([255; 32]) };
    let transfer = TransferId { base: Some(head), target: head, total_bytes: u32::MAX };
    let message =
        DistributorMessage::Chunk(Chunk { transfer, offset: u32::MAX, bytes: vec![255; MAX_CHUNK_BYTES] });
    assert!(message.line_bytes() <= MAX_CHUNK_BYTES * 4 / 3 + 512, "{}", message.line_bytes());
}

#[test]
fn small_change_encodes_to_a_small_body() {
    let change = Change::default().set(Key::tenant("tenant-4711"), 120.0);
    assert!(encode_change(&change).len() < 40, "{}", encode_change(&change).len());
}
