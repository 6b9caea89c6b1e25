use super::*;

#[test]
fn keeps_ids_for_their_time_and_drops_the_oldest_at_capacity() {
    let mut ended = EndedAttempts::new(2, 10.0);
    ended.insert([b'a'; 16], 0.0);
    ended.insert([b'b'; 16], 1.0);
    ended.insert([b'b'; 16], 2.0);
    assert!(ended.contains(&[b'a'; 16]) && ended.contains(&[b'b'; 16]));
    ended.insert([b'c'; 16], 3.0);
    assert!(!ended.contains(&[b'a'; 16]));
    ended.expire(11.5);
    assert!(!ended.contains(&[b'b'; 16]) && ended.contains(&[b'c'; 16]));
}
