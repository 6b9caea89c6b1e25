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

/// One that holds part 0 under epoch 5 by a request that was sent at 100.
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
fn the_term_counts_from_when_the_request_was_sent() {
    let mut holder = active_holder();
    assert_eq!(holder.begin_step(100.5, &task(0)), Some(StepPermit { epoch: 5, valid_until: 102.0 }));
    assert_eq!(holder.stage(101.6, &task(0)), LeaseStage::Expiring);
    assert_eq!(holder.stage(102.0, &task(0)), LeaseStage::Ended);
    // It was stopped in the middle of a step, and finds out at its first check.
    assert_eq!(holder.expire(500.0), [HolderAction::Stop(task(0), 5, EndReason::TermExpired)]);
    assert_eq!(holder.begin_step(500.0, &task(0)), None);
}

#[test]
fn a_step_that_runs_when_a_lease_ends_is_released_only_once_it_has_ended() {
    let mut holder = active_holder();
    holder.begin_step(100.5, &task(0)).unwrap();
    holder.expire(103.0);
    assert!(holder.next_request(103.0).unwrap().released.is_empty(), "an effect is on its way");
    // The lease store still lists it: it is not started again under the old epoch.
    assert!(holder.handle_response(103.1, &response(2, 4, &[(0, 5, false)])).is_empty());
    holder.finish_step(103.2, &task(0), 5, true, true);
    assert_eq!(holder.next_request(103.2).unwrap().released, [LeaseId::new(task(0), 5)]);
}

#[test]
fn a_revoked_lease_ends_with_the_term_before_the_response_whatever_is_renewed() {
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
    assert_eq!(holder.release(&task(0), 5), None, "its step is still running");
    holder.finish_step(101.5, &task(0), 5, true, false);
    assert_eq!(holder.release(&task(0), 5), Some(HolderAction::Stop(task(0), 5, EndReason::Released)));
    assert_eq!(holder.next_request(101.5).unwrap().released, [LeaseId::new(task(0), 5)], "at once");
}

#[test]
fn old_responses_foreign_ones_and_those_to_requests_never_sent_change_nothing() {
    let mut holder = active_holder();
    holder.next_request(101.0).unwrap();
    holder.handle_response(101.1, &response(2, 6, &[(0, 5, false)]));
    let foreign = LeaseResponse { holder: HolderId::new("n1", 6), ..response(2, 9, &[]) };
    for response in [response(1, 5, &[]), response(2, 5, &[]), response(9, 9, &[]), foreign] {
        assert!(holder.handle_response(101.2, &response).is_empty(), "{response:?}");
    }
    assert_eq!(holder.stage(102.6, &task(0)), LeaseStage::Expiring, "by the request that was sent at 101");
}

#[test]
fn a_response_without_the_list_renews_only_what_is_known() {
    let mut holder = active_holder();
    assert_eq!(holder.next_request(101.0).unwrap().known_version, 3);
    let short = |version| LeaseResponse { leases: None, ..response(2, version, &[]) };
    assert!(holder.handle_response(101.1, &short(8)).is_empty());
    assert_eq!(
        holder.stage(102.0, &task(0)),
        LeaseStage::Ended,
        "what changed is not known, so nothing is renewed"
    );
    assert!(holder.handle_response(101.1, &short(3)).is_empty());
    assert_eq!(holder.stage(102.0, &task(0)), LeaseStage::Active);
}

#[test]
fn progress_is_reported_until_it_is_acknowledged() {
    let mut holder = active_holder();
    holder.begin_step(100.5, &task(0)).unwrap();
    holder.finish_step(100.6, &task(0), 5, true, true);
    let progress = Progress { task: task(0), epoch: 5, steps_done: 1, has_work: true };
    assert_eq!(holder.next_request(101.0).unwrap().progress, std::slice::from_ref(&progress));
    assert_eq!(holder.next_request(101.5).unwrap().progress, [progress], "the first request may be lost");
    holder.handle_response(101.6, &response(2, 3, &[(0, 5, false)]));
    assert!(holder.next_request(102.0).unwrap().progress.is_empty());
}

#[test]
fn a_fence_that_knows_better_ends_it_and_a_later_incarnation_ends_all() {
    let mut holder = active_holder();
    holder.begin_step(100.5, &task(0)).unwrap();
    assert_eq!(holder.handle_fenced(&task(0), 4), None, "that was another lease");
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
