use super::*;

fn member(number: u64, is_voter: bool, is_active: bool) -> MemberProgress {
    MemberProgress { number, is_voter, is_active, matched_index: 100 }
}

fn three_voters(third_is_active: bool) -> Vec<MemberProgress> {
    vec![member(1, true, true), member(2, true, true), member(3, true, third_is_active)]
}

fn add_replica(number: u64) -> MembershipChange {
    MembershipChange::Add { number, address: "127.0.0.4:18201".into() }
}

#[test]
fn numbers_are_not_reused_and_learners_catch_up_before_promotion() {
    let mut members = Members::default();
    assert_eq!(members.check(&add_replica(4), &three_voters(false), 1), Ok(()));
    assert_eq!(
        members.check(&add_replica(3), &three_voters(false), 1),
        Err(MembershipError::AlreadyMember(3))
    );
    assert_eq!(members.check(&add_replica(0), &three_voters(false), 1), Err(MembershipError::InvalidAddress));
    members.apply(&add_replica(4));
    let mut progress = three_voters(false);
    progress.push(MemberProgress { matched_index: 0, ..member(4, false, true) });
    assert_eq!(members.next_promotion(&progress, 100), None, "learner has no log yet");
    progress[3].matched_index = 80;
    assert_eq!(members.next_promotion(&progress, 100), Some(MembershipChange::Promote(4)));
    assert_eq!(members.next_promotion(&progress, 900), None, "learner lags too far behind");
    assert_eq!(
        members.check(&MembershipChange::Promote(2), &progress, 1),
        Err(MembershipError::NotMember(2)),
        "replica 2 is a voter already"
    );
    members.apply(&MembershipChange::Remove(3));
    assert_eq!(members.check(&add_replica(3), &progress[..2], 1), Err(MembershipError::Retired(3)));
    assert!(members.joined.contains_key(&4));
}

#[test]
fn removal_keeps_a_healthy_majority() {
    let members = Members::default();
    assert_eq!(
        members.check(&MembershipChange::Remove(3), &three_voters(false), 1),
        Ok(()),
        "inactive replica can be removed"
    );
    let no_majority = Err(MembershipError::NoMajority { number: 2, healthy: 1, voters: 2 });
    assert_eq!(
        members.check(&MembershipChange::Remove(2), &three_voters(false), 1),
        no_majority,
        "active replica is needed for a majority"
    );
    assert_eq!(
        members.check(&MembershipChange::Remove(1), &three_voters(true), 1),
        Err(MembershipError::IsLeader(1))
    );
    assert_eq!(
        members.check(&MembershipChange::Remove(9), &three_voters(true), 1),
        Err(MembershipError::NotMember(9))
    );
    let mut progress = three_voters(false);
    progress.push(member(4, false, false));
    assert_eq!(
        members.check(&MembershipChange::Remove(4), &progress, 1),
        Ok(()),
        "learners can always be removed"
    );
    let full_cluster: Vec<MemberProgress> =
        (1..=MAX_REPLICAS as u64).map(|number| member(number, true, true)).collect();
    assert_eq!(
        members.check(&add_replica(99), &full_cluster, 1),
        Err(MembershipError::TooManyReplicas(MAX_REPLICAS))
    );
}
