use super::*;

#[test]
fn preserves_bytes_across_wrap_around() {
    for start in 0..16 {
        let mut ring = RingBuffer::new(8, 16);
        ring.push(&[0; 16][..start]).unwrap();
        ring.consume(start);
        let mut expected = Vec::new();
        for byte in 0..64u8 {
            ring.push(&[byte, !byte]).unwrap();
            expected.extend([byte, !byte]);
            assert_eq!(ring.contiguous(), expected);
            if ring.len() > 9 {
                ring.consume(7);
                expected.drain(..7);
            }
        }
    }
}

#[test]
fn rejects_writes_over_its_maximum_size() {
    let mut ring = RingBuffer::new(4, 8);
    ring.push(b"abcdef").unwrap();
    assert_eq!(ring.push(b"ghi"), Err(BufferFull));
    assert_eq!(ring.contiguous(), b"abcdef");
    assert_eq!(ring.fill_from(&b"ghijk"[..]).unwrap(), ReadOutcome::Bytes(2));
    assert!(ring.is_full() && ring.fill_from(&b"k"[..]).is_err());
    let mut out = Vec::new();
    assert!(ring.drain_to(&mut out).unwrap() && ring.is_empty());
    assert_eq!(out, b"abcdefgh");
}
