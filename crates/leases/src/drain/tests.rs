//! Tests of the module `drain`.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn report(server: &str, report: u64, zone: &str, state: DrainState) -> DrainReport {
    DrainReport { server: server.into(), incarnation: 1, report_number: report, zone: zone.into(), state }
}

fn timing(max_wait: f64, killed_at: f64) -> DrainTiming {
    DrainTiming { max_wait, killed_at, drain_duration: 4.0 }
}

fn rules() -> DrainRules {
    DrainRules { max_unavailable: 3, max_zone_fraction: 0.25, slot_duration: 10.0, ..DrainRules::default() }
}

#[test]
fn no_more_than_the_fleet_and_a_zone_allow_drain_and_those_first_that_waited_longest() {
    let mut slots = DrainSlots::new(4, rules(), 0.0);
    for at in 0..16 {
        let state = if at < 12 { DrainState::Waiting } else { DrainState::Serving };
        slots.record_report(
            11.0 + at as f64 / 100.0,
            &report(&format!("n{at:02}"), 1, ["e", "w"][at % 2], state),
        );
    }
    let assigned: Vec<String> = slots.assign(12.0).into_iter().map(|one| one.server).collect();
    assert_eq!(assigned, ["n00", "n01", "n02"], "two of a zone of eight, three of all");
    // One is back as a new incarnation, and another is silent: that one counts as unavailable.
    slots.record_report(13.0, &DrainReport { incarnation: 2, ..report("n00", 1, "e", DrainState::Serving) });
    assert_eq!(slots.assign(13.1).len(), 1);
    assert!(slots.assign(30.0).is_empty(), "all are silent");
}

#[test]
fn a_new_holder_assigns_none_while_slots_of_the_former_may_last() {
    let mut slots = DrainSlots::new(5, rules(), 100.0);
    slots.record_report(105.0, &report("a", 1, "e", DrainState::Waiting));
    assert!(slots.assign(110.1).is_empty());
    slots.record_report(110.2, &report("a", 2, "e", DrainState::Waiting));
    assert_eq!(
        slots.assign(110.3),
        [ServerSlot {
            server: "a".into(),
            slot: DrainSlot { epoch: 5, report_number: 2, start_within: 2.0 }
        }]
    );
}

#[test]
fn a_server_waits_no_longer_than_it_may_and_never_into_its_drain() {
    for (max_wait, latest) in [(3.0, 103.0), (60.0, 106.0)] {
        let mut draining = DrainingServer::new(100.0, timing(max_wait, 110.0), 7);
        assert_eq!(
            (draining.next_report(100.0), draining.decide(latest - 0.1)),
            (StateReport { number: 8, state: DrainState::Waiting }, DrainDecision::Wait)
        );
        assert_eq!(
            (draining.decide(latest), draining.next_report(latest).state),
            (DrainDecision::WithoutSlot, DrainState::Draining)
        );
    }
    let mut late = DrainingServer::new(100.0, timing(60.0, 102.0), 0);
    assert_eq!(late.decide(100.0), DrainDecision::WithoutSlot, "its drain takes longer than it has");
}

#[test]
fn a_slot_that_comes_late_or_for_another_incarnation_is_void() {
    let mut draining = DrainingServer::new(100.0, timing(60.0, 200.0), 0);
    let report = draining.next_report(100.0).number;
    let slot = DrainSlot { epoch: 3, report_number: report, start_within: 2.0 };
    draining.accept(102.5, &slot);
    draining.accept(100.5, &DrainSlot { report_number: 9, ..slot.clone() });
    draining.accept(100.5, &DrainSlot { start_within: f64::NAN, ..slot.clone() });
    assert_eq!(draining.decide(103.0), DrainDecision::Wait);
    draining.accept(101.0, &slot);
    assert_eq!(draining.decide(103.0), DrainDecision::WithSlot(3));
}

/// All of a fleet want to drain; holders are replaced, reports and slots late or lost.
#[test]
fn in_a_rollout_no_more_are_unavailable_than_may_be_and_all_get_their_slots() {
    let (mut with_slot, mut without_slot, mut holders) = (0, 0, 0);
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(4..24usize);
        let rules = DrainRules {
            max_unavailable: rng.random_range(1..5),
            max_zone_fraction: 0.3,
            slot_duration: 6.0,
            report_timeout: 3.0,
            max_clock_drift: 0.02,
        };
        let zone = |at: usize| ["e", "w", "s"][at % 3];
        let clocks: Vec<(f64, f64)> =
            (0..count).map(|_| (rng.random_range(0.0..1e4), 1.0 + rng.random_range(-0.01..0.01))).collect();
        let (mut incarnations, mut reports) = (vec![1u64; count], vec![0u64; count]);
        let mut draining_servers: Vec<Option<DrainingServer>> = vec![None; count];
        // Unavailable until then, and whether with a slot; which has been replaced.
        let mut unavailable_until: Vec<(f64, bool)> = vec![(0.0, false); count];
        let mut done = vec![false; count];
        let mut slots = DrainSlots::new(1, rules.clone(), -10.0);
        let mut epoch = 1;
        let mut mail: Vec<(f64, usize, u64, Result<DrainReport, DrainSlot>)> = Vec::new();
        let mut t = 0.0;
        for step in 0..20_000 {
            t += 0.02;
            if rng.random_bool(0.0003) && t < 200.0 {
                (epoch, holders) = (epoch + 1, holders + 1);
                slots = DrainSlots::new(epoch, rules.clone(), t);
            }
            for at in 0..count {
                let now = clocks[at].0 + clocks[at].1 * t;
                if t < unavailable_until[at].0 {
                    continue;
                }
                if draining_servers[at].is_none() && !done[at] && rng.random_bool(0.005) {
                    draining_servers[at] =
                        Some(DrainingServer::new(now, timing(300.0, now + 400.0), reports[at]));
                }
                if (step + at * 3) % 25 == 0 {
                    let StateReport { number, state } = match &mut draining_servers[at] {
                        Some(draining) => draining.next_report(now),
                        None => StateReport { number: reports[at] + 1, state: DrainState::Serving },
                    };
                    reports[at] = number;
                    let report = DrainReport {
                        incarnation: incarnations[at],
                        report_number: number,
                        ..report(&format!("n{at}"), 0, zone(at), state)
                    };
                    let delay = if rng.random_bool(0.05) { rng.random_range(0.1..3.0) } else { 0.01 };
                    mail.push((t + delay, at, incarnations[at], Ok(report)));
                }
                let decision = draining_servers[at].as_mut().map(|draining| draining.decide(now));
                if matches!(decision, Some(DrainDecision::WithSlot(_) | DrainDecision::WithoutSlot)) {
                    // A drain and a restart take half a slot, so that it is back before its slot ends.
                    unavailable_until[at] = (t + 3.0, decision != Some(DrainDecision::WithoutSlot));
                    (draining_servers[at], done[at], reports[at]) = (None, true, 0);
                    incarnations[at] += 1;
                    if decision == Some(DrainDecision::WithoutSlot) {
                        without_slot += 1
                    } else {
                        with_slot += 1
                    }
                }
            }
            if step % 10 == 0 {
                for ServerSlot { server, slot } in slots.assign(t) {
                    let at: usize = server[1..].parse().unwrap();
                    let delay = if rng.random_bool(0.05) { rng.random_range(0.1..3.0) } else { 0.01 };
                    mail.push((t + delay, at, incarnations[at], Err(slot)));
                }
            }
            let mut place = 0;
            while place < mail.len() {
                if mail[place].0 > t {
                    place += 1;
                    continue;
                }
                let (_, at, incarnation, what) = mail.swap_remove(place);
                match what {
                    Ok(report) => slots.record_report(t, &report),
                    Err(slot) if incarnation == incarnations[at] => {
                        let now = clocks[at].0 + clocks[at].1 * t;
                        if let Some(draining) = &mut draining_servers[at] {
                            draining.accept(now, &slot);
                        }
                    }
                    Err(_) => {}
                }
            }
            let unavailable = |zone_of: Option<&str>| {
                let here = |at: &usize| zone_of.is_none_or(|name| zone(*at) == name);
                (0..count)
                    .filter(here)
                    .filter(|at| t < unavailable_until[*at].0 && unavailable_until[*at].1)
                    .count()
            };
            assert!(
                unavailable(None) <= rules.max_unavailable,
                "seed {seed}, {t:.2} s: {} of {}",
                unavailable(None),
                rules.max_unavailable
            );
            for name in ["e", "w", "s"] {
                let of_zone = (0..count).filter(|at| zone(*at) == name).count();
                let most = ((rules.max_zone_fraction * of_zone as f64).floor() as usize).max(1);
                assert!(
                    unavailable(Some(name)) <= most,
                    "seed {seed}, {t:.2} s: {} of {name}",
                    unavailable(Some(name))
                );
            }
        }
        assert!(done.iter().all(|done| *done), "seed {seed}: a server never drained");
    }
    println!("{with_slot} drained with a slot, {without_slot} without, under {holders} new holders");
    assert!(with_slot > 20 * without_slot && holders > 200, "{with_slot} {without_slot} {holders}");
}
