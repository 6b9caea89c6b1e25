use super::*;

const KILOBYTE: usize = 1024;

/// Guards against a budget that one sender of an unfinished message holds for good.
#[tokio::test]
async fn message_without_progress_makes_room_for_others() {
    let budget = MemoryBudget::new(64 * KILOBYTE);
    let (mut slow, mut fast, mut next) =
        (budget.begin_message(), budget.begin_message(), budget.begin_message());
    slow.grow_to(32 * KILOBYTE).await.unwrap();
    slow.record_received(5 * KILOBYTE);
    fast.grow_to(32 * KILOBYTE).await.unwrap();
    fast.record_received(32 * KILOBYTE);
    // A few bytes more are no progress.
    slow.record_received(6 * KILOBYTE);
    let granted = tokio::join!(next.grow_to(16 * KILOBYTE), async move {
        slow.reclaimed().await;
        drop(slow);
    });
    assert_eq!(granted.0, Ok(()));
    assert_eq!(budget.used(), 48 * KILOBYTE);
    assert_eq!(fast.grow_to(40 * KILOBYTE).await, Ok(()));
}

/// Guards against complete messages that lose their memory, and against senders that are told to wait forever.
#[tokio::test]
async fn complete_messages_keep_their_memory_until_they_are_handled() {
    let budget = MemoryBudget::new(64 * KILOBYTE);
    let (mut first, mut next) = (budget.begin_message(), budget.begin_message());
    first.grow_to(60 * KILOBYTE).await.unwrap();
    let reservation = first.complete();
    tokio::select! {
        biased;
        granted = next.grow_to(8 * KILOBYTE) => panic!("granted before the release: {granted:?}"),
        () = async {} => {}
    }
    drop(reservation);
    assert_eq!(next.grow_to(8 * KILOBYTE).await, Ok(()));
    drop(next);
    assert_eq!(budget.used(), 0);
}

/// Guards against senders that wait for each other's memory: the one that came first is completed.
#[tokio::test]
async fn of_messages_that_all_wait_the_last_one_is_given_up() {
    let budget = MemoryBudget::new(64 * KILOBYTE);
    let (mut first, mut last) = (budget.begin_message(), budget.begin_message());
    first.grow_to(32 * KILOBYTE).await.unwrap();
    last.grow_to(32 * KILOBYTE).await.unwrap();
    let (first_grant, last_grant) = tokio::join!(first.grow_to(64 * KILOBYTE), async move {
        let grant = last.grow_to(64 * KILOBYTE).await;
        drop(last);
        grant
    });
    assert_eq!((first_grant, last_grant), (Ok(()), Err(MemoryReclaimed)));
}
