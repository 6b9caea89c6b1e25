use super::*;

#[test]
fn rounds_are_played_and_what_was_not_measured_is_absent() {
    let taken = play(3, 20, 150.0, 1, 20.0).unwrap();
    assert!(taken.measures["cpu"] > 0.0 && taken.measures["round_p99"] > 0.0, "{taken:?}");
    let names: Vec<&str> = taken.measures.keys().map(String::as_str).collect();
    assert_eq!(names, ["cpu", "round_p99"]);
}

#[test]
fn a_size_of_nothing_and_a_span_without_a_round_are_errors() {
    for (products, customers, rate) in [(0, 1, 1.0), (1, 0, 1.0), (1, 1, 0.0)] {
        assert!(play(products, customers, rate, 1, 1.0).is_err());
    }
    assert!(play(1, 1, 150.0, 1, 0.0).unwrap_err().contains("too few rounds"));
}
