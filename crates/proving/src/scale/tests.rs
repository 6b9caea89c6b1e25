use super::world::Look;
use super::*;

fn row(must: Must, seen: f64) -> Row {
    Row { story: Story::Dead, what: "connections".into(), must, seen }
}

#[test]
fn a_count_that_is_off_or_missing_holds_nowhere_and_a_story_that_asserted_nothing_does_not_hold() {
    for (must, fits, off) in
        [(Must::Be(3.0), 3.0, 4.0), (Must::Most(3.0), 3.0, 3.5), (Must::Least(3.0), 3.0, 2.0)]
    {
        assert!(row(must, fits).holds() && !row(must, off).holds() && !row(must, f64::NAN).holds());
    }
    let told = |rows: Vec<Row>, fault: Option<&str>| Told {
        story: Story::Dead,
        rows,
        fault: fault.map(String::from),
        kept: Vec::new(),
    };
    assert!(told(vec![row(Must::Be(1.0), 1.0)], None).holds());
    assert!(!told(vec![row(Must::Be(1.0), 1.0)], Some("waited in vain")).holds());
    assert!(!told(Vec::new(), None).holds());
    let mixed = told(vec![row(Must::Be(1.0), 1.0), row(Must::Most(1.05), 2.117)], Some("waited in vain"));
    assert!(!mixed.holds());
    let text = mixed.to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].ends_with("holds") && lines[1].contains("2.12  <= 1.05"), "{text}");
    assert!(lines[1].ends_with("FAILS") && lines[2].ends_with("FAILS: waited in vain"), "{text}");
}

#[test]
fn stories_are_read_by_their_names() {
    for story in Story::ALL {
        assert_eq!(story.name().parse(), Ok(story));
    }
    assert!("calm".parse::<Story>().unwrap_err().contains("steady, budget, change"));
}

#[test]
fn counts_are_read_with_their_labels_and_one_that_is_not_there_is_no_number() {
    let kinds = ["cluster", "endpoints", "listener", "routes"];
    let bytes = kinds.map(|kind| {
        format!("puffinladder_control_response_bytes_total{{type=\"{kind}\",what=\"content\"}} 25\n")
    });
    let text = format!(
        "# HELP puffinladder_control_proxies x\npuffinladder_control_proxies 4.0\n{}# EOF\n",
        bytes.concat()
    );
    let look = Look::read(&text);
    assert_eq!((look.get("proxies"), look.response_bytes("content")), (4.0, 100.0));
    assert!(look.get("servers").is_nan() && look.response_bytes("renewal").is_nan());
    assert_eq!((look.nothing().get("proxies"), look.nothing().response_bytes("content")), (0.0, 0.0));
}
