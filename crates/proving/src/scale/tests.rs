use super::fleet::Metrics;
use super::*;

fn row(expected: Expectation, observed: f64) -> Assertion {
    Assertion { scenario: Scenario::Dead, description: "connections".into(), expected, observed }
}

#[test]
fn out_of_bound_or_missing_values_and_empty_reports_fail() {
    for (must, fits, off) in [
        (Expectation::Equal(3.0), 3.0, 4.0),
        (Expectation::AtMost(3.0), 3.0, 3.5),
        (Expectation::AtLeast(3.0), 3.0, 2.0),
    ] {
        assert!(row(must, fits).passed() && !row(must, off).passed() && !row(must, f64::NAN).passed());
    }
    let report = |assertions: Vec<Assertion>, error: Option<&str>| ScenarioReport {
        scenario: Scenario::Dead,
        assertions,
        error: error.map(String::from),
        kept_folders: Vec::new(),
    };
    assert!(report(vec![row(Expectation::Equal(1.0), 1.0)], None).passed());
    assert!(!report(vec![row(Expectation::Equal(1.0), 1.0)], Some("waited in vain")).passed());
    assert!(!report(Vec::new(), None).passed());
    let mixed = report(
        vec![row(Expectation::Equal(1.0), 1.0), row(Expectation::AtMost(1.05), 2.117)],
        Some("waited in vain"),
    );
    assert!(!mixed.passed());
    let text = mixed.to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].ends_with("holds") && lines[1].contains("2.12  <= 1.05"), "{text}");
    assert!(lines[1].ends_with("FAILS") && lines[2].ends_with("FAILS: waited in vain"), "{text}");
}

#[test]
fn parses_scenario_names() {
    for scenario in Scenario::ALL {
        assert_eq!(scenario.name().parse(), Ok(scenario));
    }
    assert!("calm".parse::<Scenario>().unwrap_err().contains("steady, budget, change"));
}

#[test]
fn reads_metrics_with_labels_and_nan_if_missing() {
    let kinds = ["cluster", "endpoints", "listener", "routes"];
    let bytes = kinds.map(|kind| {
        format!("puffinladder_control_response_bytes_total{{type=\"{kind}\",what=\"content\"}} 25\n")
    });
    let text = format!(
        "# HELP puffinladder_control_proxies x\npuffinladder_control_proxies 4.0\n{}# EOF\n",
        bytes.concat()
    );
    let metrics = Metrics::read(&text);
    assert_eq!((metrics.get("proxies"), metrics.response_bytes("content")), (4.0, 100.0));
    assert!(metrics.get("servers").is_nan() && metrics.response_bytes("renewal").is_nan());
    assert_eq!((metrics.zeroed().get("proxies"), metrics.zeroed().response_bytes("content")), (0.0, 0.0));
}
