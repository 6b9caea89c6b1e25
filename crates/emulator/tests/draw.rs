//! What emulated servers report, by a seed.

use puffinladder_emulator::callers::backoff;
use puffinladder_emulator::decision_latency::PlanVersion;
use puffinladder_emulator::names::{customer, product, server, service, zone};
use puffinladder_emulator::staggered_starts;
use puffinladder_emulator::traffic::{Load, Traffic};
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn names_are_distinct_and_of_the_length_that_real_ones_have() {
    for (all, count) in [
        ((0..15_000).map(customer).collect::<BTreeSet<_>>(), 15_000),
        ((0..2_300).map(product).collect(), 2_300),
        ((0..9_100).map(|at| server(at).0).collect(), 9_100),
        ((0..9_100).map(|at| server(at).1.to_string()).collect(), 9_100),
        ((0..9_100).map(|at| service(at, 230)).collect(), 230),
        ((0..50).map(|at| zone(at, 6)).collect(), 6),
    ] {
        assert_eq!(all.len(), count, "{:?}", all.first());
        // Reports of longer ones than 128 are refused.
        assert!(all.iter().all(|name| (5..=40).contains(&name.len())));
    }
}

#[test]
fn the_same_seed_gives_the_same_load_at_the_rate_asked_for_and_only_pairs_that_saw_any() {
    let load = Load { products: 7, customers: 300, rate: 150.0, calm: false };
    for seed in 1..20 {
        let (mut one, mut two) = (Traffic::new(load.clone(), seed), Traffic::new(load.clone(), seed));
        let (mut asked, mut declined, mut settled) = (0.0, 0.0, 0.0);
        for _ in 0..400 {
            let state = one.state(0.25);
            assert_eq!(state, two.state(0.25), "seed {seed}");
            assert!(state.classes.iter().all(|c| c.offered > 0.0 && c.rejected <= c.offered), "seed {seed}");
            assert!(state.classes.iter().all(|c| c.product < 7 && c.customer < 300), "seed {seed}");
            assert!(state.in_flight as f64 <= state.concurrency_limit, "seed {seed}");
            let pairs: BTreeSet<_> = state.classes.iter().map(|c| (c.product, c.customer)).collect();
            assert_eq!(pairs.len(), state.classes.len(), "seed {seed}");
            asked += state.classes.iter().map(|c| c.offered).sum::<f64>() / 400.0;
            declined += state.classes.iter().map(|c| c.rejected).sum::<f64>() / 400.0;
            settled += state.goodput / 400.0;
        }
        // 37.5 requests a span: what is left over of one goes into the next.
        assert!(
            (asked - 150.0).abs() < 1e-6 && (asked - declined - settled).abs() < 1e-6,
            "seed {seed}: {asked}"
        );
        assert!(declined > 0.0 && declined < 15.0, "seed {seed}: {declined}");
    }
    let idle = Traffic::new(Load { products: 0, customers: 0, rate: 150.0, calm: false }, 1).state(0.25);
    assert!(idle.classes.is_empty() && idle.goodput == 0.0 && idle.service_time == 0.0);
}

#[test]
fn starts_are_spread_over_their_span_and_backoffs_grow_to_a_bound_with_chance() {
    let within = Duration::from_secs(10);
    let all = staggered_starts(100, within, 3);
    for (at, start) in all.iter().enumerate() {
        let piece = Duration::from_millis(100);
        assert!((piece * at as u32..=piece * (at as u32 + 1)).contains(start), "{at}: {start:?}");
    }
    assert_ne!(all, staggered_starts(100, within, 4));
    assert!(staggered_starts(5, Duration::ZERO, 1).iter().all(Duration::is_zero));
    let mut last = Duration::from_millis(50);
    for _ in 0..20 {
        let (least, most) = (backoff(last, 0.0), backoff(last, 1.0));
        assert!(least == Duration::from_millis(50) && most > least && most <= Duration::from_secs(5));
        last = most;
    }
    assert_eq!(last, Duration::from_secs(5));
}

#[test]
fn versions_are_read_as_services_write_them_and_nonsense_is_none() {
    assert_eq!(PlanVersion::parse("1764600000.17"), Some(PlanVersion { epoch: 1_764_600_000, number: 17 }));
    for wrong in ["", "7", "a.b", "1.", ".1", "1.2.3", "-1.2", "1.99999999999999999999"] {
        assert_eq!(PlanVersion::parse(wrong), None, "{wrong}");
    }
}

#[test]
fn a_calm_server_says_the_same_in_every_report_and_declines_nothing() {
    let load = Load { products: 7, customers: 300, rate: 150.0, calm: true };
    let mut calm = Traffic::new(load.clone(), 3);
    let first = calm.state(0.25);
    assert!(first.classes.len() > 10 && first.classes.iter().all(|class| class.rejected == 0.0));
    assert!((0..20).all(|_| calm.state(0.25) == first));
    let mut lively = Traffic::new(Load { calm: false, ..load }, 3);
    let first = lively.state(0.25);
    assert_ne!(lively.state(0.25), first);
}
