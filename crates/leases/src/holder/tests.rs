//! Tests of the module `holder`.

use super::*;

const TERM: f64 = 2.0;

fn task(part: u32) -> Task {
    Task::new("gather", part)
}

fn holder() -> LeaseHolder {
    LeaseHolder::new(HolderId::new("n1", 7), "east", ["gather".to_string()], TERM)
}

fn response(serial: u64, version: u64, leases: &[(u32, Epoch, bool)]) -> LeaseResponse {
    let lease = |(part, epoch, revoked): &(u32, Epoch, bool)| Lease {
        task: task(*part),
        epoch: *epoch,
        revoked: *revoked,
    };
    LeaseResponse {
        holder: HolderId::new("n1", 7),
        serial,
        term: TERM,
        version,
        leases: Some(leases.iter().map(lease).collect()),
        rejection: None,
    }
}

/// Returns a holder of part 0 under epoch 5, by a request sent at 100 s.
fn active_holder() -> LeaseHolder {
    let mut holder = holder();
    assert_eq!(holder.next_request(100.0).unwrap().serial, 1);
    assert_eq!(
        holder.handle_response(100.4, &response(1, 3, &[(0, 5, false)])),
        [HolderAction::Start(task(0), 5)]
    );
    holder
}

#[test]
fn term_counts_from_sent_time() {
    let mut holder = active_holder();
    assert_eq!(holder.begin_step(100.5, &task(0)), Some(StepPermit { epoch: 5, valid_until: 102.0 }));
    assert_eq!(holder.stage(101.6, &task(0)), LeaseStage::Expiring);
    assert_eq!(holder.stage(102.0, &task(0)), LeaseStage::Ended);
    // A process that was paused during a step notices at its first check.
    assert_eq!(holder.expire(500.0), [HolderAction::Stop(task(0), 5, EndReason::TermExpired)]);
    assert_eq!(holder.begin_step(500.0, &task(0)), None);
}

#[test]
fn releases_lost_lease_after_its_step() {
    let mut holder = active_holder();
    holder.begin_step(100.5, &task(0)).unwrap();
    holder.expire(103.0);
    assert!(holder.next_request(103.0).unwrap().released.is_empty(), "an effect is in flight");
    // The lease store still lists the lease, which must not start again under its epoch.
    assert!(holder.handle_response(103.1, &response(2, 4, &[(0, 5, false)])).is_empty());
    holder.finish_step(103.2, &task(0), 5, true, true);
    assert_eq!(holder.next_request(103.2).unwrap().released, [LeaseId::new(task(0), 5)]);
}

#[test]
fn revoked_lease_is_not_renewed() {
    let mut holder = active_holder();
    holder.begin_step(100.5, &task(0)).unwrap();
    holder.next_request(101.0).unwrap();
    let actions = holder.handle_response(101.1, &response(2, 4, &[(0, 5, true), (1, 6, false)]));
    assert_eq!(actions, [HolderAction::Release(task(0), 5), HolderAction::Start(task(1), 6)]);
    assert_eq!(holder.begin_step(101.2, &task(0)), None, "no new step");
    assert_eq!(
        (holder.stage(101.9, &task(0)), holder.stage(102.0, &task(0))),
        (LeaseStage::Releasing, LeaseStage::Ended)
    );
    assert_eq!(holder.stage(102.0, &task(1)), LeaseStage::Active);
    assert_eq!(holder.release(&task(0), 5), None, "a step is running");
    holder.finish_step(101.5, &task(0), 5, true, false);
    assert_eq!(holder.release(&task(0), 5), Some(HolderAction::Stop(task(0), 5, EndReason::Released)));
    assert_eq!(holder.next_request(101.5).unwrap().released, [LeaseId::new(task(0), 5)], "due at once");
}

#[test]
fn ignores_old_foreign_and_unsolicited_responses() {
    let mut holder = active_holder();
    holder.next_request(101.0).unwrap();
    holder.handle_response(101.1, &response(2, 6, &[(0, 5, false)]));
    let foreign = LeaseResponse { holder: HolderId::new("n1", 6), ..response(2, 9, &[]) };
    for response in [response(1, 5, &[]), response(2, 5, &[]), response(9, 9, &[]), foreign] {
        assert!(holder.handle_response(101.2, &response).is_empty(), "{response:?}");
    }
    assert_eq!(
        holder.stage(102.6, &task(0)),
        LeaseStage::Expiring,
        "the term counts from the request sent at 101 s"
    );
}

#[test]
fn response_without_list_renews_known_version_only() {
    let mut holder = active_holder();
    assert_eq!(holder.next_request(101.0).unwrap().known_version, 3);
    let without_list = |version| LeaseResponse { leases: None, ..response(2, version, &[]) };
    assert!(holder.handle_response(101.1, &without_list(8)).is_empty());
    assert_eq!(
        holder.stage(102.0, &task(0)),
        LeaseStage::Ended,
        "the changed list is unknown, so nothing is renewed"
    );
    assert!(holder.handle_response(101.1, &without_list(3)).is_empty());
    assert_eq!(holder.stage(102.0, &task(0)), LeaseStage::Active);
}

#[test]
fn reports_progress_until_acknowledged() {
    let mut holder = active_holder();
    holder.begin_step(100.5, &task(0)).unwrap();
    holder.finish_step(100.6, &task(0), 5, true, true);
    let progress = Progress { task: task(0), epoch: 5, steps_done: 1, has_work: true };
    assert_eq!(holder.next_request(101.0).unwrap().progress, std::slice::from_ref(&progress));
    assert_eq!(
        holder.next_request(101.5).unwrap().progress,
        [progress],
        "the first request may have been lost"
    );
    holder.handle_response(101.6, &response(2, 3, &[(0, 5, false)]));
    assert!(holder.next_request(102.0).unwrap().progress.is_empty());
}

#[test]
fn fence_or_later_incarnation_ends_lease() {
    let mut holder = active_holder();
    holder.begin_step(100.5, &task(0)).unwrap();
    assert_eq!(holder.handle_fenced(&task(0), 4), None, "the rejected epoch is of another lease");
    assert_eq!(holder.handle_fenced(&task(0), 5), Some(HolderAction::Stop(task(0), 5, EndReason::Fenced)));
    let mut holder = active_holder();
    let rejected =
        LeaseResponse { rejection: Some(Rejection::Superseded), leases: None, ..response(2, 0, &[]) };
    assert_eq!(
        holder.handle_response(100.6, &rejected),
        [HolderAction::Stop(task(0), 5, EndReason::Superseded)]
    );
    assert_eq!(holder.next_request(109.0), None);
}
