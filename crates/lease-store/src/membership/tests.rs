use super::*;

fn member(number: u64, votes: bool, active: bool) -> MemberProgress {
    MemberProgress { number, votes, active, matched: 100 }
}

fn three(third: bool) -> Vec<MemberProgress> {
    vec![member(1, true, true), member(2, true, true), member(3, true, third)]
}

fn add(number: u64) -> MembershipChange {
    MembershipChange::Add { number, address: "127.0.0.4:18201".into() }
}

#[test]
fn a_number_is_used_once_and_a_new_one_learns_before_it_votes() {
    let mut members = Members::default();
    assert_eq!(members.check(&add(4), &three(false), 1), Ok(()));
    assert_eq!(members.check(&add(3), &three(false), 1), Err(MembershipError::AlreadyMember(3)));
    assert_eq!(members.check(&add(0), &three(false), 1), Err(MembershipError::InvalidAddress));
    members.apply(&add(4));
    let mut progress = three(false);
    progress.push(MemberProgress { matched: 0, ..member(4, false, true) });
    assert_eq!(members.next_promotion(&progress, 100), None, "it knows nothing yet");
    progress[3].matched = 80;
    assert_eq!(members.next_promotion(&progress, 100), Some(MembershipChange::Promote(4)));
    assert_eq!(members.next_promotion(&progress, 900), None, "it is far behind");
    assert_eq!(
        members.check(&MembershipChange::Promote(2), &progress, 1),
        Err(MembershipError::NotMember(2)),
        "it votes already"
    );
    members.apply(&MembershipChange::Remove(3));
    assert_eq!(members.check(&add(3), &progress[..2], 1), Err(MembershipError::Retired(3)));
    assert!(members.joined.contains_key(&4));
}

#[test]
fn nobody_is_removed_whom_a_majority_of_the_rest_needs() {
    let members = Members::default();
    assert_eq!(members.check(&MembershipChange::Remove(3), &three(false), 1), Ok(()), "the dead one may go");
    let well = Err(MembershipError::NoMajority { number: 2, healthy: 1, voters: 2 });
    assert_eq!(members.check(&MembershipChange::Remove(2), &three(false), 1), well, "the well one may not");
    assert_eq!(
        members.check(&MembershipChange::Remove(1), &three(true), 1),
        Err(MembershipError::IsLeader(1))
    );
    assert_eq!(
        members.check(&MembershipChange::Remove(9), &three(true), 1),
        Err(MembershipError::NotMember(9))
    );
    let mut progress = three(false);
    progress.push(member(4, false, false));
    assert_eq!(members.check(&MembershipChange::Remove(4), &progress, 1), Ok(()), "a learner may always go");
    let many: Vec<MemberProgress> =
        (1..=MAX_REPLICAS as u64).map(|number| member(number, true, true)).collect();
    assert_eq!(members.check(&add(99), &many, 1), Err(MembershipError::TooMany(MAX_REPLICAS)));
}
