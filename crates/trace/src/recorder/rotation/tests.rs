use super::*;

fn small_rotation() -> Rotation {
    let limits = RotationLimits {
        block_rows: 4,
        max_block_age: 5.0,
        max_file_bytes: 1000,
        max_file_age: 60.0,
        max_total_bytes: 2500,
        max_files: 3,
    };
    Rotation::new(limits, Vec::new())
}
fn stored_file(name: &str, bytes: u64) -> StoredFile {
    StoredFile { name: name.into(), bytes }
}

#[test]
fn writes_block_when_full_or_old() {
    let mut rotation = small_rotation();
    assert!(rotation.admit(1.0));
    assert_eq!(rotation.next_action(5.9), None);
    assert_eq!(rotation.next_action(6.0), Some(Action::OpenFile));
    rotation.opened(6.0, Some(40));
    assert_eq!(rotation.next_action(6.0), Some(Action::WriteBlock));
    rotation.wrote(6.0, Some(140));
    assert_eq!(rotation.next_action(6.0), None);
    (0..4).for_each(|_| assert!(rotation.admit(7.0)));
    assert_eq!(rotation.next_action(7.0), Some(Action::WriteBlock));
}

#[test]
fn seals_by_size_and_age_and_deletes_oldest() {
    let mut rotation = small_rotation();
    for (name, bytes) in [("a", 1200), ("b", 1200)] {
        rotation.admit(1.0);
        rotation.opened(1.0, Some(40));
        rotation.wrote(1.0, Some(bytes));
        assert_eq!(rotation.next_action(1.0), Some(Action::SealFile));
        rotation.closed(1.0, stored_file(name, bytes), true);
    }
    rotation.admit(1.0);
    rotation.opened(1.0, Some(200));
    rotation.wrote(2.0, Some(300));
    assert_eq!(rotation.next_action(2.0), Some(Action::RemoveFile("a".into())));
    rotation.removed();
    assert_eq!((rotation.next_action(2.0), rotation.next_action(61.0)), (None, Some(Action::SealFile)));
}

#[test]
fn failed_disk_drops_block_and_backs_off() {
    let mut rotation = small_rotation();
    (0..4).for_each(|_| assert!(rotation.admit(0.0)));
    rotation.opened(0.0, Some(40));
    rotation.wrote(0.0, None);
    assert_eq!(rotation.next_action(0.0), Some(Action::AbandonFile));
    rotation.closed(0.0, stored_file("torn", 90), false);
    (0..8).for_each(|_| assert!(rotation.admit(0.0)));
    assert!(!rotation.admit(0.0));
    assert_eq!((rotation.next_action(1.9), rotation.next_action(2.0)), (None, Some(Action::OpenFile)));
    rotation.opened(2.0, None);
    assert_eq!((rotation.next_action(5.9), rotation.next_action(6.0)), (None, Some(Action::OpenFile)));
    rotation.opened(6.0, Some(40));
    assert_eq!(
        (rotation.next_action(6.0), rotation.take_unreported(), rotation.take_unreported(), rotation.dropped),
        (Some(Action::WriteBlock), 5, 0, 5)
    );
    rotation.wrote(6.0, Some(100));
    assert_eq!(rotation.failures(), 0);
}

#[test]
fn shutdown_writes_everything_and_skips_failed_disk() {
    let mut rotation = small_rotation();
    rotation.admit(1.0);
    rotation.begin_shutdown();
    assert_eq!(rotation.next_action(1.0), Some(Action::OpenFile));
    rotation.opened(1.0, Some(40));
    rotation.wrote(1.0, Some(60));
    assert_eq!((rotation.next_action(1.0), rotation.is_finished(1.0)), (Some(Action::SealFile), false));
    rotation.closed(1.0, stored_file("a", 80), true);
    assert!(rotation.is_finished(1.0));
    let mut rotation = small_rotation();
    rotation.admit(1.0);
    rotation.begin_shutdown();
    rotation.opened(1.0, None);
    assert!(rotation.is_finished(100.0));
}

#[test]
fn filter_rejects_small_and_frequent_changes() {
    let mut filter = ChangeFilter::default();
    assert!(
        filter.accept(0.0, 1, 4.0, 0.1)
            && !filter.accept(1.0, 1, 4.1, 0.1)
            && filter.accept(1.0, 1, 5.0, 0.1)
    );
    assert!(!filter.accept(1.05, 1, 9.0, 0.1) && filter.accept(1.2, 1, 9.0, 0.1));
}
