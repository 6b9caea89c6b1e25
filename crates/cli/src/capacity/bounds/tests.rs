use super::*;

#[test]
fn all_bounds_are_found_and_name_roles_and_sizes_that_there_are() {
    let all = of_the_code();
    // Settings that can't be read any more would leave two of them out without a word.
    assert_eq!(all.len(), 4, "{all:?}");
    for bound in all {
        assert!(puffinladder_capacity::point::ROLES.contains(&bound.role.as_str()), "{bound:?}");
        assert!(puffinladder_capacity::point::SIZES.contains(&bound.size.as_str()), "{bound:?}");
        assert!(bound.most >= 1.0);
    }
}
