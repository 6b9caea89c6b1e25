use super::*;
use crate::content::Key;
use crate::seal::Seal;

#[test]
fn what_is_said_reads_back_as_it_was_meant() {
    let to = Seal::default().head(3, &Content::default());
    let way = Way { from: Some(Head::default()), to, total: 7 };
    let tells = [
        Tell::Piece(Piece { way, at: 2, bytes: vec![0, 255, 7] }),
        Tell::target(&Seal::default(), "n1", to, 0.25, 9),
    ];
    for tell in tells {
        let line = serde_json::to_string(&tell).unwrap();
        assert_eq!(serde_json::from_str::<Tell>(&line).unwrap(), tell, "{line}");
        assert_eq!(tell.bytes(), line.len() + 1);
        let kept = postcard::to_allocvec(&tell).unwrap();
        assert_eq!(postcard::from_bytes::<Tell>(&kept).unwrap(), tell);
    }
    let ack = Ack {
        got: Some((way, 4)),
        refused: Some(Refused { head: to, cause: "no".into() }),
        ..Ack::default()
    };
    let line = serde_json::to_string(&ack).unwrap();
    assert_eq!(serde_json::from_str::<Ack>(&line).unwrap(), ack, "{line}");
}

#[test]
fn a_line_that_was_changed_on_its_way_never_panics() {
    let tell = Tell::Piece(Piece {
        way: Way { from: None, to: Head::default(), total: 3 },
        at: 0,
        bytes: vec![1, 2, 3],
    });
    let line = serde_json::to_vec(&tell).unwrap();
    for at in 0..line.len() {
        let _ = serde_json::from_slice::<Tell>(&line[..at]);
        for byte in [b'"', b'9', b'-', 0xff] {
            let mut other = line.clone();
            other[at] = byte;
            let _ = serde_json::from_slice::<Tell>(&other);
        }
    }
}

#[test]
fn a_piece_fits_into_the_least_burst() {
    // The longest of all: full, far into the largest body, numbers of 20 digits.
    let head = Head { number: u64::MAX, digest: Digest([255; 32]) };
    let way = Way { from: Some(head), to: head, total: u32::MAX };
    let tell = Tell::Piece(Piece { way, at: u32::MAX, bytes: vec![255; PIECE] });
    assert!(tell.bytes() <= PIECE * 4 / 3 + 512, "{}", tell.bytes());
}

#[test]
fn a_small_change_is_a_small_body() {
    let change = Change::default().set(Key::tenant("tenant-4711"), 120.0);
    assert!(body_of_change(&change).len() < 40, "{}", body_of_change(&change).len());
}
