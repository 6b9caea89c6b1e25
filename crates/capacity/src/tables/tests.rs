use super::*;
use crate::plan::read;
use crate::planted::{but, points, sound};

const SHIPPED: &str = include_str!("../../../../deploy/capacity.scm");

fn text(tables: &[Table], name: &str) -> String {
    tables.iter().find(|table| table.name == name).unwrap().text.clone()
}

fn shipped() -> Plan {
    read("capacity.scm", SHIPPED).unwrap()
}

#[test]
fn numbers_have_three_digits_that_count() {
    for (value, wanted) in [
        (0.0, "0"),
        (0.038, "0.038"),
        (0.000_123_456, "0.000123"),
        (6.5, "6.5"),
        (999.6, "1,000"),
        (2275.0, "2,280"),
        (110_000.0, "110,000"),
        (1_234_567.0, "1,230,000"),
        (99.96, "100"),
        (12.0, "12"),
    ] {
        assert_eq!(number(value), wanted);
    }
    assert_eq!(show(128.0 * 1_048_576.0, Unit::Bytes), "128 MB");
    assert_eq!(show(12_288.0, Unit::BytesASecond), "12 KB/s");
    assert_eq!(show(0.0065, Unit::Seconds), "6.5 ms");
    assert_eq!(show(0.000_012, Unit::Seconds), "12 µs");
}

#[test]
fn without_points_every_table_says_so_and_nothing_is_held_but_what_the_code_bounds() {
    let none = Points::default();
    let all = tables(&shipped(), &none, &[]);
    assert_eq!(all.iter().map(|table| table.name).collect::<Vec<_>>(), NAMES);
    assert!(text(&all, "not-carried").contains("**Nothing was measured yet**"));
    assert!(text(&all, "not-carried")
        .contains("1. **a change in force at every server: no way at all**; wanted within 6 s"));
    assert!(!text(&all, "budgets").contains("| held |"), "{}", text(&all, "budgets"));
    assert!(!text(&all, "events").contains("| held |"), "{}", text(&all, "events"));
    assert_eq!(text(&all, "roles").matches("| not measured |").count(), ROLES.len());
    assert!(text(&all, "fits").contains("there is no point"));
    // The placement is the plan's and needs no point.
    let cuts = text(&all, "cuts");
    assert!(cuts.contains("| region a, cut from the others | 2 | decided here |"), "{cuts}");
    assert!(cuts.contains("| region b, cut from the others | 1 | **nothing new is decided** |"), "{cuts}");
    assert_eq!(cuts.matches("**nothing new is decided**").count(), 1, "{cuts}");
}

#[test]
fn another_plan_gives_other_figures_and_the_same_the_same() {
    let points = points(&sound());
    let all = tables(&shipped(), &points, &[]);
    assert_eq!(all, tables(&shipped(), &points, &[]));
    let other = read("p", &SHIPPED.replace("(servers 730)", "(servers 365)")).unwrap();
    let others = tables(&other, &points, &[]);
    for name in ["plan", "budgets", "doubled", "roles", "events"] {
        assert_ne!(text(&all, name), text(&others, name), "{name}");
    }
    assert_eq!(text(&all, "fits"), text(&others, "fits"));
    let mut shuffled = points.clone();
    shuffled.points.reverse();
    assert_eq!(all, tables(&shipped(), &shuffled, &[]), "the order of the points counts for nothing");
}

#[test]
fn what_is_not_carried_stands_on_top_and_far_extrapolation_is_marked() {
    let points = points(&but("server", "sent", |at| 280.0 * at["customers"]));
    // 15,000 tenants are not twice what was measured; 60,000 are over seven times that.
    let far = read("p", &SHIPPED.replace("(tenants 15000)", "(tenants 60000)")).unwrap();
    let all = tables(&far, &points, &[]);
    let top = text(&all, "not-carried");
    assert!(
        top.contains("1. **a server's bytes for control: 5,470 times** (needed 64.1 MB/s, carried 12 KB/s); control services 64.1 MB/s, quota stewards 800 B/s"),
        "{top}"
    );
    assert!(top.contains("extrapolated 7.5 times"), "{top}");
    let roles = text(&all, "roles");
    let sent = roles.lines().find(|line| line.starts_with("| server ") && line.contains("| sent |")).unwrap();
    assert!(sent.contains("| **7.5** |") && sent.contains("a + b·customers"), "{sent}");
    let near = text(&tables(&shipped(), &points, &[]), "roles");
    let sent = near.lines().find(|line| line.starts_with("| server ") && line.contains("| sent |")).unwrap();
    assert!(sent.contains("| 1.88 |"), "{sent}");
}

#[test]
fn a_square_is_named_as_one_and_a_step_as_unknown() {
    let points = points(&but("steward-turns", "cpu", |at| 1e-5 * at["servers"] * at["servers"]));
    let fits = text(&tables(&shipped(), &points, &[]), "fits");
    let line =
        fits.lines().find(|line| line.starts_with("| steward-turns |") && line.contains("| cpu |")).unwrap();
    assert!(line.contains("| n² |"), "{line}");
    let points =
        self::points(&but("steward-turns", "cpu", |at| if at["servers"] > 300.0 { 9.0 } else { 0.1 }));
    let all = tables(&shipped(), &points, &[]);
    let fits = text(&all, "fits");
    let line =
        fits.lines().find(|line| line.starts_with("| steward-turns |") && line.contains("| cpu |")).unwrap();
    assert!(line.contains("| **unknown** |"), "{line}");
    let roles = text(&all, "roles");
    let line =
        roles.lines().find(|line| line.starts_with("| steward-turns |") && line.contains("| cpu |")).unwrap();
    assert!(line.contains("| at least 9 cores |") && line.contains("in no known shape"), "{line}");
}

#[test]
fn wild_points_give_tables_that_a_page_can_hold_and_never_panic() {
    use crate::page;
    use crate::point::{Point, SIZES};
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    let mut chance = ChaCha8Rng::seed_from_u64(36);
    let wild = [0.0, 1e-300, 1e-9, 1.0, 3.0, 700.0, 1e9, 1e18];
    let markers: String =
        NAMES.map(|name| format!("<!-- capacity: {name} -->\n<!-- /capacity -->\n")).concat();
    for round in 0..60 {
        let mut points = Vec::new();
        for _ in 0..chance.random_range(1..80) {
            let mut any = |all: usize| chance.random_range(0..all);
            let (role, varied) = (ROLES[any(ROLES.len())], SIZES[any(4)]);
            let sizes = [varied, SIZES[any(SIZES.len())]].map(|key| (key.to_string(), wild[any(wild.len())]));
            let measures = MEASURES.iter().map(|(name, _)| (name.to_string(), wild[any(wild.len())]));
            points.push(Point {
                role: role.into(),
                sizes: sizes.into(),
                measures: measures.collect(),
                varied: varied.into(),
                seed: round,
                date: "/capacity --".into(),
                version: "0.1.0".into(),
                cores: 1,
                beside: "!-- capacity: plan --".into(),
                span: 1e-3,
            });
        }
        // What stands in a file has to pass its own reader first.
        let points = Points::parse("p", &Points { points }.print()).unwrap();
        let all = tables(&shipped(), &points, &[]);
        let page = page::write(&markers, &all).unwrap();
        assert_eq!(page::check(&page, &all), Ok(()), "round {round}");
        for told in &all {
            assert!(
                !told.text.contains("NaN") && !told.text.contains("inf "),
                "round {round}: {}",
                told.text
            );
        }
    }
}

#[test]
fn as_many_points_as_a_file_may_hold_are_worked_out_in_the_end() {
    use crate::point::{Point, MOST_POINTS};
    let few = points(&sound()).points;
    let again = |at: usize| {
        let point: &Point = &few[at % few.len()];
        Point { seed: at as u64, ..point.clone() }
    };
    let many = Points { points: (0..MOST_POINTS).map(again).collect() };
    let all = tables(&shipped(), &many, &[]);
    assert!(text(&all, "fits").contains(&format!("{MOST_POINTS} points")));
}
