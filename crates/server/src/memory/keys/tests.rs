use super::*;

fn keys() -> Keys {
    Keys::new(4, 10, 0.002, 2.0)
}
fn heard(slip: &Slip) -> Option<Vec<u8>> {
    match slip.wait() {
        Word::Result(result) => result.map(|body| body.to_vec()),
        other => panic!("heard {}", other.verb()),
    }
}
fn result(bytes: &[u8]) -> Option<Arc<Vec<u8>>> {
    Some(Arc::new(bytes.to_vec()))
}
const KEY: Key = [b'a'; 32];

#[test]
fn whoever_came_to_the_machine_within_the_window_is_a_repeat_however_late_it_is_read() {
    let mut keys = keys();
    assert_eq!(keys.read(KEY, 5, 1, 100.0), Holder::Nobody);
    keys.remember(&KEY, 1, 150.0);
    keys.ran(&KEY, 1, result(b"one"));
    keys.expire(151.9);
    assert_eq!(keys.read(KEY, 5, 2, 150.001), Holder::Same(1));
    assert_eq!(keys.read(KEY, 6, 2, 150.001), Holder::Other);
    assert_eq!(keys.read(KEY, 5, 3, 150.01), Holder::Nobody, "this one came behind it");
    assert_eq!(keys.kept, 0, "and the first one's result is no longer kept");
    assert_eq!(keys.read(KEY, 5, 4, 150.02), Holder::Same(3));
}

#[test]
fn an_open_run_holds_its_key_past_the_window() {
    let mut keys = keys();
    keys.read(KEY, 5, 1, 100.0);
    keys.remember(&KEY, 1, 101.0);
    keys.expire(200.0);
    assert_eq!(keys.read(KEY, 5, 2, 200.0), Holder::Same(1));
}

#[test]
fn those_who_wait_hear_the_result_and_only_those_of_the_same_content() {
    let (mut keys, slips) = (keys(), [(); 4].map(|()| Arc::new(Slip::default())));
    keys.read(KEY, 5, 2, 100.0);
    assert_eq!(keys.read(KEY, 6, 3, 100.0), Holder::Doubtful);
    keys.replay(&KEY, 5, &slips[0]);
    keys.contend(&KEY, 6, &slips[1], 101.0);
    keys.ran(&KEY, 2, result(b"two"));
    keys.replay(&KEY, 5, &slips[2]);
    keys.replay(&KEY, 6, &slips[3]);
    let two = Some(b"two".to_vec());
    assert_eq!([0, 1, 2, 3].map(|at: usize| heard(&slips[at])), [two.clone(), None, two, None]);
}

#[test]
fn behind_a_try_that_never_ran_the_key_is_free_for_whoever_waited() {
    let (mut keys, slips) = (keys(), [(); 2].map(|()| Arc::new(Slip::default())));
    keys.read(KEY, 5, 1, 100.0);
    keys.replay(&KEY, 5, &slips[0]);
    keys.contend(&KEY, 6, &slips[1], 101.0);
    keys.never_ran(&KEY, 1);
    assert!(slips.iter().all(|slip| matches!(slip.wait(), Word::Free)));
    assert_eq!(keys.read(KEY, 6, 2, 100.0), Holder::Nobody, "what never ran leaves no forerunner");
}

#[test]
fn beyond_their_number_no_key_is_taken_and_those_known_still_are() {
    let mut keys = keys();
    let taken = |keys: &mut Keys, key: u8| keys.read([key; 32], 5, u32::from(key), 100.0);
    assert!((1..=4).all(|key| taken(&mut keys, key) == Holder::Nobody));
    assert_eq!((taken(&mut keys, 5), taken(&mut keys, 4)), (Holder::Full, Holder::Same(4)));
    keys.never_ran(&[1; 32], 1);
    assert_eq!(taken(&mut keys, 5), Holder::Nobody);
}

#[test]
fn nobody_waits_long_for_a_key_that_one_of_other_content_holds() {
    let (mut keys, slip) = (keys(), Arc::new(Slip::default()));
    keys.read(KEY, 5, 1, 100.0);
    keys.contend(&KEY, 6, &slip, 101.0);
    keys.expire(101.1);
    assert!(matches!(slip.wait(), Word::Decline { .. }));
}

#[test]
fn results_beyond_the_budget_are_dropped_oldest_first_and_their_keys_stay_known() {
    let (mut keys, slip) = (keys(), Arc::new(Slip::default()));
    for id in 1..=3 {
        let key = [id as u8; 32];
        keys.read(key, 5, id, 100.0);
        keys.remember(&key, id, 150.0);
        keys.ran(&key, id, result(b"four"));
    }
    assert_eq!(keys.read([1; 32], 5, 9, 100.0), Holder::Same(1));
    keys.replay(&[1; 32], 5, &slip);
    keys.replay(&[2; 32], 5, &slip);
    assert_eq!((heard(&slip), heard(&slip)), (None, Some(b"four".to_vec())));
    keys.expire(153.0);
    assert_eq!((keys.entries.len(), keys.results.len(), keys.kept), (0, 0, 0));
}

#[test]
fn a_try_that_broke_off_before_it_was_remembered_holds_up_no_other_key() {
    let (mut keys, slip) = (keys(), Arc::new(Slip::default()));
    keys.read(KEY, 5, 1, 100.0);
    keys.replay(&KEY, 5, &slip);
    keys.ran(&KEY, 1, None);
    assert_eq!(heard(&slip), None);
    keys.read([2; 32], 5, 2, 100.0);
    keys.remember(&[2; 32], 2, 150.0);
    keys.ran(&[2; 32], 2, result(b"two"));
    keys.expire(153.0);
    assert_eq!((keys.entries.len(), keys.ends.len(), keys.kept), (0, 0, 0));
    assert_eq!(keys.read(KEY, 5, 3, 153.0), Holder::Nobody, "it never ran");
}
