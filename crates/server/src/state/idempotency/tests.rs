use super::*;

fn keys() -> IdempotencyKeys {
    let bounds = KeyBounds { max_keys: 4, max_result_bytes: 10, clock_tolerance: 0.002, retention: 2.0 };
    IdempotencyKeys::new(bounds)
}
fn received(mailbox: &Mailbox) -> Option<Vec<u8>> {
    match mailbox.receive() {
        Event::Result(result) => result.map(|body| body.to_vec()),
        other => panic!("received {}", other.label()),
    }
}
fn result(bytes: &[u8]) -> Option<Arc<Vec<u8>>> {
    Some(Arc::new(bytes.to_vec()))
}
const KEY: IdempotencyKey = [b'a'; 32];

#[test]
fn attempt_that_arrived_within_window_is_retry_when_read_late() {
    let mut keys = keys();
    assert_eq!(keys.acquire(KEY, 5, 1, 100.0), KeyLookup::Acquired);
    keys.extend(&KEY, 1, 150.0);
    keys.finish(&KEY, 1, result(b"one"));
    keys.expire(151.9);
    assert_eq!(keys.acquire(KEY, 5, 2, 150.001), KeyLookup::SameRequest(1));
    assert_eq!(keys.acquire(KEY, 6, 2, 150.001), KeyLookup::Conflict);
    assert_eq!(keys.acquire(KEY, 5, 3, 150.01), KeyLookup::Acquired, "arrived after the window");
    assert_eq!(keys.result_bytes, 0, "the first result was evicted");
    assert_eq!(keys.acquire(KEY, 5, 4, 150.02), KeyLookup::SameRequest(3));
}

#[test]
fn open_run_holds_its_key_past_the_window() {
    let mut keys = keys();
    keys.acquire(KEY, 5, 1, 100.0);
    keys.extend(&KEY, 1, 101.0);
    keys.expire(200.0);
    assert_eq!(keys.acquire(KEY, 5, 2, 200.0), KeyLookup::SameRequest(1));
}

#[test]
fn result_is_sent_only_to_waiters_with_same_content() {
    let (mut keys, mailboxes) = (keys(), [(); 4].map(|()| Arc::new(Mailbox::default())));
    keys.acquire(KEY, 5, 2, 100.0);
    assert_eq!(keys.acquire(KEY, 6, 3, 100.0), KeyLookup::Contended);
    keys.await_result(&KEY, 5, &mailboxes[0]);
    keys.await_key(&KEY, 6, &mailboxes[1], 101.0);
    keys.finish(&KEY, 2, result(b"two"));
    keys.await_result(&KEY, 5, &mailboxes[2]);
    keys.await_result(&KEY, 6, &mailboxes[3]);
    let two = Some(b"two".to_vec());
    assert_eq!([0, 1, 2, 3].map(|at: usize| received(&mailboxes[at])), [two.clone(), None, two, None]);
}

#[test]
fn key_of_unrun_attempt_is_released_to_waiters() {
    let (mut keys, mailboxes) = (keys(), [(); 2].map(|()| Arc::new(Mailbox::default())));
    keys.acquire(KEY, 5, 1, 100.0);
    keys.await_result(&KEY, 5, &mailboxes[0]);
    keys.await_key(&KEY, 6, &mailboxes[1], 101.0);
    keys.release(&KEY, 1);
    assert!(mailboxes.iter().all(|mailbox| matches!(mailbox.receive(), Event::KeyReleased)));
    assert_eq!(
        keys.acquire(KEY, 6, 2, 100.0),
        KeyLookup::Acquired,
        "an unrun attempt leaves no earlier attempt"
    );
}

#[test]
fn rejects_new_keys_at_capacity_and_finds_known_keys() {
    let mut keys = keys();
    let acquire = |keys: &mut IdempotencyKeys, key: u8| keys.acquire([key; 32], 5, u32::from(key), 100.0);
    assert!((1..=4).all(|key| acquire(&mut keys, key) == KeyLookup::Acquired));
    assert_eq!((acquire(&mut keys, 5), acquire(&mut keys, 4)), (KeyLookup::Full, KeyLookup::SameRequest(4)));
    keys.release(&[1; 32], 1);
    assert_eq!(acquire(&mut keys, 5), KeyLookup::Acquired);
}

#[test]
fn rejects_contender_past_its_deadline() {
    let (mut keys, mailbox) = (keys(), Arc::new(Mailbox::default()));
    keys.acquire(KEY, 5, 1, 100.0);
    keys.await_key(&KEY, 6, &mailbox, 101.0);
    keys.expire(101.1);
    assert!(matches!(mailbox.receive(), Event::Reject { .. }));
}

#[test]
fn evicts_oldest_results_over_budget_and_keeps_their_keys() {
    let (mut keys, mailbox) = (keys(), Arc::new(Mailbox::default()));
    for id in 1..=3 {
        let key = [id as u8; 32];
        keys.acquire(key, 5, id, 100.0);
        keys.extend(&key, id, 150.0);
        keys.finish(&key, id, result(b"four"));
    }
    assert_eq!(keys.acquire([1; 32], 5, 9, 100.0), KeyLookup::SameRequest(1));
    keys.await_result(&[1; 32], 5, &mailbox);
    keys.await_result(&[2; 32], 5, &mailbox);
    assert_eq!((received(&mailbox), received(&mailbox)), (None, Some(b"four".to_vec())));
    keys.expire(153.0);
    assert_eq!((keys.entries.len(), keys.results.len(), keys.result_bytes), (0, 0, 0));
}

#[test]
fn attempt_aborted_before_extension_does_not_block_expiry() {
    let (mut keys, mailbox) = (keys(), Arc::new(Mailbox::default()));
    keys.acquire(KEY, 5, 1, 100.0);
    keys.await_result(&KEY, 5, &mailbox);
    keys.finish(&KEY, 1, None);
    assert_eq!(received(&mailbox), None);
    keys.acquire([2; 32], 5, 2, 100.0);
    keys.extend(&[2; 32], 2, 150.0);
    keys.finish(&[2; 32], 2, result(b"two"));
    keys.expire(153.0);
    assert_eq!((keys.entries.len(), keys.expiries.len(), keys.result_bytes), (0, 0, 0));
    assert_eq!(keys.acquire(KEY, 5, 3, 153.0), KeyLookup::Acquired, "the aborted attempt never ran");
}
