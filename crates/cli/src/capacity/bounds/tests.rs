use super::*;

#[test]
fn finds_all_limits_with_known_roles_and_sizes() {
    let limits = code_limits();
    // Default settings that fail to parse would silently drop two of them.
    assert_eq!(limits.len(), 4, "{limits:?}");
    for bound in limits {
        assert!(puffinladder_capacity::point::ROLES.contains(&bound.role.as_str()), "{bound:?}");
        assert!(puffinladder_capacity::point::SIZES.contains(&bound.size.as_str()), "{bound:?}");
        assert!(bound.most >= 1.0);
    }
}
