//! Tests of the module `quota`.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const QUOTA: f64 = 100.0;
const VALIDITY: f64 = 2.0;

fn settings(server_count: usize) -> AllocatorSettings {
    AllocatorSettings { quota: QUOTA, server_count, validity: VALIDITY, max_clock_drift: 0.02 }
}

fn report(server: &str, report: u64, demand: f64, current: Option<AllocationId>) -> DemandReport {
    DemandReport { server: server.into(), incarnation: 1, report_number: report, demand, current }
}

#[test]
fn expired_allocation_falls_back_to_lower_rate() {
    let mut share = QuotaShare::new(QUOTA, 10.0);
    assert_eq!(share.rate(0.0), 10.0);
    for (rate, after) in [(40.0, 10.0), (1.0, 1.0)] {
        let mut share = share.clone();
        let report = share.next_report(5.0).number;
        let allocation =
            QuotaAllocation { epoch: 3, number: 1, report_number: report, rate, validity: VALIDITY };
        assert!(share.accept(5.5, &allocation));
        assert_eq!((share.rate(6.9), share.rate(7.0), share.rate(11.0)), (rate, after, after));
        assert_eq!(share.rate(11.3), 10.0);
    }
    let report = share.next_report(5.0).number;
    let allocation = |epoch, number, report| QuotaAllocation {
        epoch,
        number,
        report_number: report,
        rate: 1.0,
        validity: VALIDITY,
    };
    assert!(!share.accept(6.9, &allocation(3, 1, report)), "too old");
    assert!(!share.accept(5.1, &allocation(3, 1, 99)), "answers an unknown report");
    assert!(share.accept(5.1, &allocation(3, 2, report)));
    assert!(
        !share.accept(5.2, &allocation(3, 2, report)) && !share.accept(5.2, &allocation(2, 9, report)),
        "a later allocation is applied"
    );
    assert!(!share.accept(5.2, &QuotaAllocation { rate: f64::NAN, ..allocation(4, 1, report) }));
}

#[test]
fn rate_increases_only_after_confirmed_decrease() {
    let mut allocator = QuotaAllocator::new(7, settings(2), 0.0);
    allocator.record_report(&report("a", 1, 72.0, None));
    allocator.record_report(&report("b", 1, 4.0, None));
    assert!(allocator.allocate(1.0).is_empty(), "allocations of the former holder may be in force");
    let rate = |allocations: &[ServerAllocation], name: &str| {
        allocations.iter().find(|allocation| allocation.server == name).unwrap().allocation.rate
    };
    let first = allocator.allocate(2.1);
    assert!(rate(&first, "a") == 50.0 && rate(&first, "b") < 10.0, "{first:?}");
    allocator.record_report(&report("a", 2, 72.0, Some(AllocationId { epoch: 7, number: 1 })));
    let second = allocator.allocate(2.5);
    assert_eq!(rate(&second, "a"), 50.0, "b has not confirmed its allocation");
    allocator.record_report(&report("b", 2, 4.0, Some(AllocationId { epoch: 7, number: 1 })));
    allocator.record_report(&report("a", 3, 72.0, Some(AllocationId { epoch: 7, number: 2 })));
    let third = allocator.allocate(3.0);
    assert!(rate(&third, "a") > 90.0, "{third:?}");
    // b stops reporting: once its allocation has expired, the equal share is reserved for it.
    for step in 1..8 {
        allocator.record_report(&report(
            "a",
            3 + step,
            72.0,
            Some(AllocationId { epoch: 7, number: 2 + step }),
        ));
        allocator.allocate(3.0 + step as f64 / 2.0);
        assert!(allocator.committed_rate(3.0 + step as f64 / 2.0) < QUOTA + 50.0);
    }
    allocator.record_report(&report("a", 11, 72.0, Some(AllocationId { epoch: 7, number: 10 })));
    assert_eq!(rate(&allocator.allocate(9.0), "a"), 50.0);
}

/// Simulates servers with drifting clocks, replaced holders, and late or lost reports and allocations.
#[test]
fn rates_sum_to_quota_under_faults() {
    let (mut met, mut met_by_equal_shares) = (0.0, 0.0);
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..12usize);
        let mut shares: Vec<QuotaShare> = (0..count).map(|_| QuotaShare::new(QUOTA, count as f64)).collect();
        // A tenth of the servers, at least one, has most of the demand.
        let hot = count.div_ceil(10);
        let demand =
            |server: usize| if server < hot { 70.0 / hot as f64 } else { 20.0 / (count - hot) as f64 };
        let clocks: Vec<(f64, f64)> =
            (0..count).map(|_| (rng.random_range(0.0..1e4), 1.0 + rng.random_range(-0.01..0.01))).collect();
        let mut cut_until = vec![0.0; count];
        let mut epoch = 1;
        let mut allocator = QuotaAllocator::new(epoch, settings(count), 0.0);
        let mut in_flight: Vec<(f64, usize, Result<DemandReport, QuotaAllocation>)> = Vec::new();
        let mut t = 0.0;
        for step in 0..6000 {
            t += 0.01;
            let delay = |rng: &mut ChaCha8Rng| {
                if rng.random_bool(0.02) {
                    rng.random_range(0.1..4.0)
                } else {
                    rng.random_range(0.001..0.02)
                }
            };
            if rng.random_bool(0.002) && t < 50.0 {
                cut_until[rng.random_range(0..count)] = t + rng.random_range(1.0..12.0);
            }
            if rng.random_bool(0.0007) {
                epoch += 1;
                allocator = QuotaAllocator::new(epoch, settings(count), t);
            }
            for server in 0..count {
                if (step + server * 7) % 40 == 0 && t >= cut_until[server] {
                    let now = clocks[server].0 + clocks[server].1 * t;
                    let ShareReport { number: report, current } = shares[server].next_report(now);
                    let demand = demand(server);
                    let report = DemandReport {
                        server: format!("n{server}"),
                        incarnation: 1,
                        report_number: report,
                        demand,
                        current,
                    };
                    in_flight.push((t + delay(&mut rng), server, Ok(report)));
                }
            }
            if step % 25 == 0 {
                for ServerAllocation { server, allocation } in allocator.allocate(t) {
                    let server: usize = server[1..].parse().unwrap();
                    in_flight.push((t + delay(&mut rng), server, Err(allocation)));
                }
            }
            let mut index = 0;
            while index < in_flight.len() {
                if in_flight[index].0 > t {
                    index += 1;
                    continue;
                }
                match in_flight.swap_remove(index) {
                    (_, server, _) if t < cut_until[server] => {}
                    (_, _, Ok(report)) => allocator.record_report(&report),
                    (_, server, Err(allocation)) => {
                        shares[server].accept(clocks[server].0 + clocks[server].1 * t, &allocation);
                    }
                }
            }
            let rates: Vec<f64> = (0..count)
                .map(|server| shares[server].rate(clocks[server].0 + clocks[server].1 * t))
                .collect();
            let sum: f64 = rates.iter().sum();
            assert!(sum <= QUOTA * 1.0001, "seed {seed}, {t:.2} s: {sum} of {QUOTA}: {rates:?}");
            met += (0..count).map(|server| rates[server].min(demand(server))).sum::<f64>();
            met_by_equal_shares +=
                (0..count).map(|server| (QUOTA / count as f64).min(demand(server))).sum::<f64>();
        }
    }
    println!("demand met: {:.3} times that of equal shares", met / met_by_equal_shares);
    assert!(met > 1.3 * met_by_equal_shares, "{met} {met_by_equal_shares}");
}
