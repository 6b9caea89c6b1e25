use super::*;

fn keeper() -> Keeper {
    let bounds = Bounds {
        block_rows: 4,
        block_span: 5.0,
        file_bytes: 1000,
        file_span: 60.0,
        most_bytes: 2500,
        most_files: 3,
    };
    Keeper::new(bounds, Vec::new())
}
fn lying(name: &str, bytes: u64) -> Lying {
    Lying { name: name.into(), bytes }
}

#[test]
fn a_block_is_written_when_it_is_full_or_old_and_a_file_is_begun_for_it() {
    let mut k = keeper();
    assert!(k.take(1.0));
    assert_eq!(k.next(5.9), None);
    assert_eq!(k.next(6.0), Some(Act::Open));
    k.opened(6.0, Some(40));
    assert_eq!(k.next(6.0), Some(Act::Write));
    k.wrote(6.0, Some(140));
    assert_eq!(k.next(6.0), None);
    (0..4).for_each(|_| assert!(k.take(7.0)));
    assert_eq!(k.next(7.0), Some(Act::Write));
}

#[test]
fn files_are_sealed_by_size_and_by_age_and_the_oldest_go_first() {
    let mut k = keeper();
    for (name, bytes) in [("a", 1200), ("b", 1200)] {
        k.take(1.0);
        k.opened(1.0, Some(40));
        k.wrote(1.0, Some(bytes));
        assert_eq!(k.next(1.0), Some(Act::Seal));
        k.closed(1.0, lying(name, bytes), true);
    }
    k.take(1.0);
    k.opened(1.0, Some(200));
    k.wrote(2.0, Some(300));
    assert_eq!(k.next(2.0), Some(Act::Remove("a".into())));
    k.removed();
    assert_eq!((k.next(2.0), k.next(61.0)), (None, Some(Act::Seal)));
}

#[test]
fn a_failing_disk_costs_the_block_is_tried_ever_more_rarely_and_the_loss_is_told_once() {
    let mut k = keeper();
    (0..4).for_each(|_| assert!(k.take(0.0)));
    k.opened(0.0, Some(40));
    k.wrote(0.0, None);
    assert_eq!(k.next(0.0), Some(Act::Abandon));
    k.closed(0.0, lying("torn", 90), false);
    (0..8).for_each(|_| assert!(k.take(0.0)));
    assert!(!k.take(0.0));
    assert_eq!((k.next(1.9), k.next(2.0)), (None, Some(Act::Open)));
    k.opened(2.0, None);
    assert_eq!((k.next(5.9), k.next(6.0)), (None, Some(Act::Open)));
    k.opened(6.0, Some(40));
    assert_eq!((k.next(6.0), k.tell(), k.tell(), k.dropped), (Some(Act::Write), 5, 0, 5));
    k.wrote(6.0, Some(100));
    assert_eq!(k.failures(), 0);
}

#[test]
fn at_the_end_all_is_written_and_sealed_and_a_dead_disk_holds_up_nothing() {
    let mut k = keeper();
    k.take(1.0);
    k.end();
    assert_eq!(k.next(1.0), Some(Act::Open));
    k.opened(1.0, Some(40));
    k.wrote(1.0, Some(60));
    assert_eq!((k.next(1.0), k.done(1.0)), (Some(Act::Seal), false));
    k.closed(1.0, lying("a", 80), true);
    assert!(k.done(1.0));
    let mut k = keeper();
    k.take(1.0);
    k.end();
    k.opened(1.0, None);
    assert!(k.done(100.0));
}

#[test]
fn what_hardly_moves_is_no_news() {
    let mut c = Changes::default();
    assert!(c.news(0.0, 1, 4.0, 0.1) && !c.news(1.0, 1, 4.1, 0.1) && c.news(1.0, 1, 5.0, 0.1));
    assert!(!c.news(1.05, 1, 9.0, 0.1) && c.news(1.2, 1, 9.0, 0.1));
}
