use super::*;
use crate::report::{ClassLoad, LoadReport};
use crate::test_support::report;
use std::collections::VecDeque;

const CHEAP: usize = 0;

/// One server that can serve `room` txns a second, the dearer product first; proxies send what is not dropped.
fn server(room: f64, sent: &[f64; 2]) -> LoadReport {
    let mut left = room;
    let mut classes = Vec::new();
    for (product, priority_weight, asked) in [("dear", 3.0, sent[1]), ("cheap", 1.0, sent[CHEAP])] {
        let served = asked.min(left);
        left -= served;
        let (product, customer) = (product.into(), "k1".into());
        classes.push(ClassLoad {
            product,
            customer,
            priority_weight,
            offered: asked,
            rejected: asked - served,
        });
    }
    let pressure = if left <= 0.0 { 0.8 } else { 0.0 };
    LoadReport { pressure, classes, ..report("n1", 1, 0.0) }
}

/// Shares of cheap and dear over time: asked for and room by the moment, reports and pushes a second late in all.
fn play(seconds: f64, load: impl Fn(f64) -> ([f64; 2], f64)) -> Vec<[f64; 2]> {
    let (mut shedder, mut on_the_way, mut shares) = (LoadShedder::default(), VecDeque::new(), Vec::new());
    let step = 0.25;
    let mut acting = [0.0; 2];
    for at in 0..(seconds / step) as usize {
        let (asked, room) = load(at as f64 * step);
        let sent = [asked[0] * (1.0 - acting[0]), asked[1] * (1.0 - acting[1])];
        let seen = server(room, &sent);
        let drops = shedder.update(
            step,
            &[ServerView { report: &seen, confidence: 1.0, age: 0.0, withdrawn_gradually: false }],
        );
        let share = |product: &str| drops.iter().find(|d| d.product == product).map_or(0.0, |d| d.fraction);
        on_the_way.push_back([share("cheap"), share("dear")]);
        if on_the_way.len() > 4 {
            acting = on_the_way.pop_front().unwrap();
        }
        shares.push(acting);
    }
    shares
}

#[test]
fn the_cheap_are_dropped_first_until_servers_decline_a_few_in_a_hundred_and_it_does_not_swing() {
    // 150 asked for, room for 100: of 90 cheap ones 50 are too many.
    let shares = play(120.0, |_| ([90.0, 60.0], 100.0));
    let end = &shares[shares.len() - 120..];
    let (low, high) = end.iter().fold((1.0f64, 0.0f64), |(l, h), s| (l.min(s[0]), h.max(s[0])));
    // Of what still arrives, TARGET_REJECTED is declined: (1 - share) * 90 * (1 - 0.05) = 40.
    let wanted = 1.0 - 40.0 / (90.0 * (1.0 - TARGET_REJECTED));
    assert!((low - wanted).abs() < 0.02 && high - low < 0.02, "{low} to {high}, {wanted} wanted");
    assert!(shares.iter().all(|s| s[1] == 0.0), "the dear were dropped");
}

#[test]
fn the_dear_are_never_dropped_more_than_the_cheap_and_all_comes_back() {
    let shares = play(240.0, |now| if now < 120.0 { ([60.0, 140.0], 80.0) } else { ([60.0, 20.0], 100.0) });
    assert!(shares.iter().all(|s| s[1] <= s[0] + 1e-12));
    let hard = shares[470];
    assert!(hard[0] > 0.9 && hard[1] > 0.3, "{hard:?}");
    let free = shares.iter().skip(480).position(|s| *s == [0.0, 0.0]);
    assert!(free.is_some_and(|steps| steps < 60), "{free:?}");
}

#[test]
fn without_reports_a_share_is_let_go_slowly() {
    let mut shedder = LoadShedder::default();
    let seen = server(10.0, &[90.0, 0.0]);
    for _ in 0..40 {
        shedder.update(
            0.25,
            &[ServerView { report: &seen, confidence: 1.0, age: 0.0, withdrawn_gradually: false }],
        );
    }
    let held = shedder.rules()[0].fraction;
    assert!(held > 0.5);
    let after = shedder.update(0.25, &[]);
    assert!(after[0].fraction <= held && after[0].fraction > held - 0.02);
}
