use super::*;

#[test]
fn plan_serves_at_least_the_value_of_equal_shares() {
    assert!(simulate(40, Scenario::SlowTenth, true, 1) > simulate(40, Scenario::SlowTenth, false, 1) + 0.02);
    for scenario in [Scenario::SlowTenth, Scenario::LoadSpike] {
        for attempts in [1, 2] {
            let (without, with) =
                (simulate(40, scenario, false, attempts), simulate(40, scenario, true, attempts));
            assert!(with > without - 0.01, "{attempts} attempts: {without} without, {with} with");
        }
    }
}
