use super::*;
use puffinladder_capacity::point::{ROLES, SIZES};
use std::collections::BTreeSet;

#[test]
fn every_role_has_series_and_each_of_three_sizes_or_more_with_names_that_points_know() {
    for small in [false, true] {
        let all = all(small);
        let roles: BTreeSet<&str> = all.iter().flat_map(|series| series.run.roles()).copied().collect();
        let mut missing: Vec<&str> = ROLES.iter().copied().filter(|role| !roles.contains(role)).collect();
        // What this crate does not run is measured elsewhere.
        missing.retain(|role| *role != "config");
        assert!(missing.is_empty(), "{missing:?}");
        for series in &all {
            assert!(series.sizes.len() >= 2, "{}", series.name());
            for sizes in &series.sizes {
                assert!(sizes.keys().all(|name| SIZES.contains(&name.as_str())), "{sizes:?}");
            }
            let along: Vec<f64> = series.sizes.iter().map(|sizes| sizes[series.varied]).collect();
            assert!(along.is_sorted_by(|a, b| a < b), "{} {along:?}", series.name());
        }
        // Along each dimension of a role at least one series has three sizes: two can't show a shape.
        for series in &all {
            let alike = all.iter().filter(|other| (other.run, other.varied) == (series.run, series.varied));
            assert!(alike.map(|other| other.sizes.len()).max() >= Some(3), "{}", series.name());
        }
    }
}
