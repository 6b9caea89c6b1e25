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
    let mut reservations = Vec::new();
    for _ in 0..2 {
        let mut message = budget.begin_message();
        message.grow_to(30 * KILOBYTE).await.unwrap();
        reservations.push(message.complete());
    }
    let mut next = budget.begin_message();
    tokio::select! {
        biased;
        granted = next.grow_to(8 * KILOBYTE) => panic!("granted before the release: {granted:?}"),
        () = async {} => {}
    }
    drop(reservations);
    assert_eq!(next.grow_to(8 * KILOBYTE).await, Ok(()));
    drop(next);
    assert_eq!(budget.used(), 0);
}

/// Guards against a message of the maximum size that waits for good, since small ones are always in use.
#[tokio::test]
async fn largest_message_is_received_beside_small_ones() {
    let budget = MemoryBudget::new(64 * KILOBYTE);
    let (mut small, mut largest) = (budget.begin_message(), budget.begin_message());
    small.grow_to(SMALL_MESSAGE_BYTES).await.unwrap();
    assert_eq!(largest.grow_to(64 * KILOBYTE).await, Ok(()));
}

/// Marks all messages as waiting and asks for a byte. Returns which are given up, in the order in which they began.
fn reclaim_while_all_wait(budget: &MemoryBudget) -> Vec<bool> {
    let mut usage = budget.usage();
    usage.incomplete.values_mut().for_each(|message| message.is_waiting = true);
    usage.reclaim(1);
    usage.incomplete.values().map(|message| message.is_reclaimed).collect()
}

/// Guards against senders that wait for each other's memory: the one that came first is completed.
#[tokio::test]
async fn of_messages_that_all_wait_the_last_one_is_given_up() {
    let budget = MemoryBudget::new(64 * KILOBYTE);
    let mut messages = Vec::new();
    for _ in 0..3 {
        let mut message = budget.begin_message();
        message.grow_to(20 * KILOBYTE).await.unwrap();
        messages.push(message);
    }
    assert_eq!(reclaim_while_all_wait(&budget), [false, false, true]);
    assert_eq!(messages[2].grow_to(21 * KILOBYTE).await, Err(MemoryReclaimed));
}
