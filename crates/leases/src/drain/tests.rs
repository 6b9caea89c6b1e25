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
fn slots_respect_limits_and_waiting_order() {
    let mut slots = DrainSlots::new(4, rules(), 0.0);
    for index in 0..16 {
        let state = if index < 12 { DrainState::Waiting } else { DrainState::Serving };
        slots.record_report(
            11.0 + index as f64 / 100.0,
            &report(&format!("n{index:02}"), 1, ["e", "w"][index % 2], state),
        );
    }
    let assigned: Vec<String> = slots.assign(12.0).into_iter().map(|assigned| assigned.server).collect();
    assert_eq!(assigned, ["n00", "n01", "n02"], "two of a zone with eight servers, three of the fleet");
    // n00 has restarted and frees its slot.
    slots.record_report(13.0, &DrainReport { incarnation: 2, ..report("n00", 1, "e", DrainState::Serving) });
    assert_eq!(slots.assign(13.1).len(), 1);
    assert!(slots.assign(30.0).is_empty(), "all servers are silent");
}

#[test]
fn new_holder_waits_for_former_slots_to_end() {
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
fn wait_is_bounded_by_limit_and_kill() {
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
    assert_eq!(
        late.decide(100.0),
        DrainDecision::WithoutSlot,
        "the drain takes longer than the time until the kill"
    );
}

#[test]
fn ignores_late_and_foreign_slots() {
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

/// Simulates a rollout over the fleet with replaced holders, and late or lost reports and slots.
#[test]
fn rollout_respects_limits_under_faults() {
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
        let zone = |server: usize| ["e", "w", "s"][server % 3];
        let clocks: Vec<(f64, f64)> =
            (0..count).map(|_| (rng.random_range(0.0..1e4), 1.0 + rng.random_range(-0.01..0.01))).collect();
        let (mut incarnations, mut reports) = (vec![1u64; count], vec![0u64; count]);
        let mut draining_servers: Vec<Option<DrainingServer>> = vec![None; count];
        // Time until which each server is unavailable, and whether it drains with a slot.
        let mut unavailable_until: Vec<(f64, bool)> = vec![(0.0, false); count];
        let mut done = vec![false; count];
        let mut slots = DrainSlots::new(1, rules.clone(), -10.0);
        let mut epoch = 1;
        let mut in_flight: Vec<(f64, usize, u64, Result<DrainReport, DrainSlot>)> = Vec::new();
        let mut t = 0.0;
        for step in 0..20_000 {
            t += 0.02;
            if rng.random_bool(0.0003) && t < 200.0 {
                (epoch, holders) = (epoch + 1, holders + 1);
                slots = DrainSlots::new(epoch, rules.clone(), t);
            }
            for server in 0..count {
                let now = clocks[server].0 + clocks[server].1 * t;
                if t < unavailable_until[server].0 {
                    continue;
                }
                if draining_servers[server].is_none() && !done[server] && rng.random_bool(0.005) {
                    draining_servers[server] =
                        Some(DrainingServer::new(now, timing(300.0, now + 400.0), reports[server]));
                }
                if (step + server * 3) % 25 == 0 {
                    let StateReport { number, state } = match &mut draining_servers[server] {
                        Some(draining) => draining.next_report(now),
                        None => StateReport { number: reports[server] + 1, state: DrainState::Serving },
                    };
                    reports[server] = number;
                    let report = DrainReport {
                        incarnation: incarnations[server],
                        report_number: number,
                        ..report(&format!("n{server}"), 0, zone(server), state)
                    };
                    let delay = if rng.random_bool(0.05) { rng.random_range(0.1..3.0) } else { 0.01 };
                    in_flight.push((t + delay, server, incarnations[server], Ok(report)));
                }
                let decision = draining_servers[server].as_mut().map(|draining| draining.decide(now));
                if matches!(decision, Some(DrainDecision::WithSlot(_) | DrainDecision::WithoutSlot)) {
                    // Drain and restart take half a slot.
                    unavailable_until[server] = (t + 3.0, decision != Some(DrainDecision::WithoutSlot));
                    (draining_servers[server], done[server], reports[server]) = (None, true, 0);
                    incarnations[server] += 1;
                    if decision == Some(DrainDecision::WithoutSlot) {
                        without_slot += 1
                    } else {
                        with_slot += 1
                    }
                }
            }
            if step % 10 == 0 {
                for ServerSlot { server, slot } in slots.assign(t) {
                    let server: usize = server[1..].parse().unwrap();
                    let delay = if rng.random_bool(0.05) { rng.random_range(0.1..3.0) } else { 0.01 };
                    in_flight.push((t + delay, server, incarnations[server], Err(slot)));
                }
            }
            let mut index = 0;
            while index < in_flight.len() {
                if in_flight[index].0 > t {
                    index += 1;
                    continue;
                }
                let (_, server, incarnation, message) = in_flight.swap_remove(index);
                match message {
                    Ok(report) => slots.record_report(t, &report),
                    Err(slot) if incarnation == incarnations[server] => {
                        let now = clocks[server].0 + clocks[server].1 * t;
                        if let Some(draining) = &mut draining_servers[server] {
                            draining.accept(now, &slot);
                        }
                    }
                    Err(_) => {}
                }
            }
            let unavailable = |zone_of: Option<&str>| {
                let in_zone = |server: &usize| zone_of.is_none_or(|name| zone(*server) == name);
                (0..count)
                    .filter(in_zone)
                    .filter(|server| t < unavailable_until[*server].0 && unavailable_until[*server].1)
                    .count()
            };
            assert!(
                unavailable(None) <= rules.max_unavailable,
                "seed {seed}, {t:.2} s: {} of {}",
                unavailable(None),
                rules.max_unavailable
            );
            for name in ["e", "w", "s"] {
                let zone_size = (0..count).filter(|server| zone(*server) == name).count();
                let limit = ((rules.max_zone_fraction * zone_size as f64).floor() as usize).max(1);
                assert!(
                    unavailable(Some(name)) <= limit,
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
