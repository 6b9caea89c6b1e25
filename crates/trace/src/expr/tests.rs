use super::*;
use proptest::prelude::*;

#[test]
fn parses_precedence_and_units() {
    let declined = || Expr::Flag(Flag::Declined);
    assert_eq!(parse(" ").unwrap(), Expr::All);
    assert_eq!(
        parse("declined and product = bid-submit and wait > 200ms").unwrap(),
        Expr::And(vec![
            declined(),
            Expr::Text(TextField::Product, TextMatch::Equal, "bid-submit".into()),
            Expr::Number(NumberField::Wait, Comparison::Greater, 200_000.0),
        ])
    );
    let either = parse("not (declined or late) or customer~\"k 1*\"").unwrap();
    let Expr::Or(parts) = either else { panic!("{either:?}") };
    assert!(matches!(&parts[0], Expr::Not(inner) if matches!(**inner, Expr::Or(_))));
    assert_eq!(parts[1], Expr::Text(TextField::Customer, TextMatch::Like, "k 1*".into()));
}

#[test]
fn syntax_error_names_its_column() {
    for (text, column, hint) in [
        ("declined and", 13, "a test"),
        ("declined und late", 10, "'und'"),
        ("wait > soon", 8, "a number"),
        ("wait > 5 weeks", 10, "'weeks'"),
        ("wait > 5weeks", 9, "a number with a unit"),
        ("product bid", 9, "=, !="),
        ("(declined or late", 18, "')'"),
        ("shoe = 5", 1, "a test"),
    ] {
        let error = parse(text).unwrap_err();
        assert_eq!(error.column, column, "{text}: {error}");
        assert!(error.message.contains(hint), "{text}: {error}");
    }
    assert!(parse(&"(".repeat(100_000)).is_err() && parse(&"not ".repeat(5_000)).is_err());
}

#[test]
fn matches_patterns_and_parses_durations() {
    assert!(
        glob_matches("k*1?", "kab12")
            && glob_matches("*", "")
            && !glob_matches("k*1", "k2")
            && glob_matches("**a", "a")
    );
    assert_eq!(parse_span("1h30m"), Some(5_400_000_000));
    assert_eq!(
        (parse_span("90"), parse_span("250ms"), parse_span("soon")),
        (Some(90_000_000), Some(250_000), None)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]
    #[test]
    fn arbitrary_text_does_not_panic(text in "[a-z()=<>~!\"0-9 .µ*-]{0,60}|\\PC{0,40}") {
        let _ = parse(&text);
        let _ = parse_span(&text);
    }
}
