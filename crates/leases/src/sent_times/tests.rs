//! Tests of the module `sent_times`.

use super::*;

#[test]
fn keeps_latest_times_only() {
    let mut sent = SentTimes::new(7, 2);
    assert_eq!((sent.sent_at(7), sent.sent_at(u64::MAX)), (None, None));
    assert_eq!([1.0, 2.0, 3.0].map(|now| sent.record(now)), [8, 9, 10]);
    assert_eq!(
        [7, 8, 9, 10, 11].map(|number| sent.sent_at(number)),
        [None, None, Some(2.0), Some(3.0), None]
    );
    assert_eq!(sent.sent_at(0), None);
}
