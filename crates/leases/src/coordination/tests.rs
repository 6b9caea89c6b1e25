//! Tests of the module `coordination`.

use super::*;
use crate::drain::{DrainDecision, DrainRules, DrainTiming};
use crate::quota::{AllocationId, QuotaAllocation};
use crate::table::MAX_NAME_BYTES;
use crate::Task;
use std::collections::BTreeMap;

fn settings() -> CoordinatorSettings {
    CoordinatorSettings {
        tenant_quotas: BTreeMap::from([("a".to_string(), 100.0), ("b".to_string(), 10.0)]),
        server_count: 4,
        quota_parts: 1,
        quota_validity: 2.0,
        max_clock_drift: 0.02,
        drain_rules: DrainRules {
            max_unavailable: 1,
            max_zone_fraction: 1.0,
            slot_duration: 10.0,
            ..DrainRules::default()
        },
    }
}

fn clients() -> Vec<QuotaClient> {
    (0..4).map(|index| QuotaClient::new(&format!("n{index}"), 7, "z", &settings().tenant_quotas, 4)).collect()
}

/// Exchanges reports and replies of both tasks four times a second, and calls `inspect` after each exchange.
fn run(
    coordinator: &mut QuotaCoordinator,
    clients: &mut [QuotaClient],
    from: f64,
    to: f64,
    mut inspect: impl FnMut(f64, &mut [QuotaClient]),
) {
    let mut now = from;
    while now < to {
        for (index, client) in clients.iter_mut().enumerate() {
            let report =
                client.next_report(now, |tenant| if tenant == "a" && index == 0 { 70.0 } else { 2.0 });
            coordinator.handle_report(now, &report).unwrap();
        }
        let replies = [Task::new(QUOTA_TASK, 0), Task::new(DRAIN_TASK, 0)]
            .iter()
            .flat_map(|task| coordinator.plan_replies(now, task))
            .collect::<Vec<_>>();
        for reply in replies {
            for client in clients.iter_mut() {
                client.handle_reply(now, &reply);
            }
        }
        inspect(now, clients);
        now += 0.25;
    }
}

#[test]
fn allocations_follow_demand_across_holders() {
    let (mut coordinator, mut clients) = (QuotaCoordinator::new(settings()), clients());
    coordinator.start_lease(0.0, &Task::new(QUOTA_TASK, 0), 5);
    let sum = |now: f64, clients: &[QuotaClient], name: &str| {
        clients.iter().filter_map(|client| client.rate(now, name)).sum::<f64>()
    };
    let check_sum = |now: f64, clients: &mut [QuotaClient]| {
        for (name, quota) in settings().tenant_quotas {
            let sum = sum(now, clients, &name);
            assert!(sum <= quota * 1.0001, "{now}: {name} {sum}");
        }
    };
    run(&mut coordinator, &mut clients, 0.0, 10.0, check_sum);
    assert!(clients[0].rate(10.0, "a").unwrap() > 80.0 && clients[1].rate(10.0, "a").unwrap() < 10.0);
    assert!(coordinator.committed_rate(10.0, "a").unwrap() <= 100.001);
    assert_eq!(clients[0].rate(10.0, "x"), None);
    // A new holder under a later epoch allocates by demand again once it has received reports.
    coordinator.end_lease(&Task::new(QUOTA_TASK, 0), 4);
    assert!(coordinator.committed_rate(10.0, "a").is_some(), "the ended lease has another epoch");
    coordinator.end_lease(&Task::new(QUOTA_TASK, 0), 5);
    let mut next = QuotaCoordinator::new(settings());
    next.start_lease(10.0, &Task::new(QUOTA_TASK, 0), 6);
    run(&mut next, &mut clients, 10.0, 25.0, check_sum);
    assert!(clients[0].rate(25.0, "a").unwrap() > 80.0);
}

#[test]
fn drains_one_by_one_or_without_slot_after_timeout() {
    let (mut coordinator, mut clients) = (QuotaCoordinator::new(settings()), clients());
    coordinator.start_lease(-20.0, &Task::new(DRAIN_TASK, 0), 5);
    run(&mut coordinator, &mut clients, 0.0, 1.0, |_, _| {});
    let timing = DrainTiming { max_wait: 60.0, killed_at: 100.0, drain_duration: 2.0 };
    clients.iter_mut().take(2).for_each(|client| client.start_draining(1.0, timing));
    let mut draining = Vec::new();
    run(&mut coordinator, &mut clients, 1.0, 4.0, |now, clients| {
        for (index, client) in clients.iter_mut().enumerate() {
            let with_slot = matches!(client.drain_decision(now), Some(DrainDecision::WithSlot(5)));
            if with_slot && !draining.contains(&index) {
                draining.push(index);
            }
        }
    });
    assert_eq!(draining, [0], "one at a time");
    // No coordinator replies any more.
    assert_eq!(clients[1].drain_decision(60.0), Some(DrainDecision::Wait));
    assert_eq!(clients[1].drain_decision(61.0), Some(DrainDecision::WithoutSlot));
    assert_eq!(clients[2].drain_decision(61.0), None);
}

#[test]
fn rejects_invalid_reports_and_foreign_replies() {
    let mut coordinator = QuotaCoordinator::new(settings());
    coordinator.start_lease(0.0, &Task::new(QUOTA_TASK, 0), 5);
    let report = |server: &str, incarnation| ServerReport {
        server: server.into(),
        incarnation,
        number: 1,
        ..ServerReport::default()
    };
    assert!(
        coordinator.handle_report(1.0, &report("n0", 7)).is_ok()
            && coordinator.handle_report(1.0, &report("n0", 6)).is_err()
    );
    assert!(coordinator.handle_report(1.0, &report("", 7)).is_err());
    assert!(coordinator.handle_report(1.0, &report(&"x".repeat(MAX_NAME_BYTES + 1), 7)).is_err());
    let many = ServerReport { demands: vec![TenantDemand::default(); MAX_TENANTS + 1], ..report("n1", 1) };
    assert!(coordinator.handle_report(1.0, &many).is_err());
    let out_of_range = TenantDemand {
        tenant: "a".into(),
        demand: f64::INFINITY,
        current: Some(AllocationId { epoch: 5, number: u64::MAX }),
    };
    assert!(coordinator
        .handle_report(1.0, &ServerReport { demands: vec![out_of_range], ..report("n2", 1) })
        .is_ok());
    assert!(coordinator.committed_rate(9.0, "a").unwrap() <= 100.001);
    let mut client = clients().remove(0);
    client.next_report(1.0, |_| 1.0);
    let allocation = QuotaAllocation { epoch: 5, number: 1, report_number: 1, rate: 50.0, validity: 2.0 };
    let reply = |incarnation| CoordinatorReply {
        server: "n0".into(),
        incarnation,
        allocations: vec![TenantAllocation { tenant: "a".into(), allocation: allocation.clone() }],
        drain_slot: None,
    };
    assert!(!client.handle_reply(1.1, &reply(6)) && client.handle_reply(1.1, &reply(7)));
    assert_eq!(client.rate(1.2, "a"), Some(50.0));
}
