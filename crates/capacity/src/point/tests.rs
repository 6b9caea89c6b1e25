use super::*;

fn point(role: &str, varied: &str, sizes: &[(&str, f64)], measures: &[(&str, f64)]) -> Point {
    let map = |pairs: &[(&str, f64)]| pairs.iter().map(|(key, value)| (key.to_string(), *value)).collect();
    Point {
        role: role.into(),
        sizes: map(sizes),
        measures: map(measures),
        varied: varied.into(),
        seed: 7,
        date: "2026-01-02".into(),
        version: "0.1.0".into(),
        cores: 8,
        beside: "nothing".into(),
        span: 10.0,
    }
}

#[test]
fn points_read_as_they_are_printed_in_an_order_that_does_not_hang_on_when_they_were_taken() {
    let one = point("control", "servers", &[("servers", 10.0), ("proxies", 5.0)], &[("cpu", 0.1)]);
    let two = point("control", "servers", &[("servers", 100.0), ("proxies", 5.0)], &[("cpu", 0.7)]);
    let three = point("archive", "callers", &[("callers", 3.0)], &[("disk", 1e6)]);
    let printed = Points { points: vec![two.clone(), three.clone(), one.clone()] }.print();
    assert_eq!(printed, Points { points: vec![one.clone(), two.clone(), three.clone()] }.print());
    assert_eq!(Points::parse("p", &printed).unwrap().points, [three, one, two]);
    assert_eq!(Points::parse("p", &Points::default().print()).unwrap(), Points::default());
}

#[test]
fn a_fault_names_file_point_and_key() {
    let good = point("server", "requests", &[("requests", 150.0)], &[("cpu", 0.1)]);
    let said = |change: &dyn Fn(&mut Point)| {
        let mut bad = good.clone();
        change(&mut bad);
        let text = serde_json::to_string(&Points { points: vec![good.clone(), bad] }).unwrap();
        Points::parse("some.json", &text).unwrap_err().to_string()
    };
    type Change = (&'static str, Box<dyn Fn(&mut Point)>);
    let changes: [Change; 11] = [
        ("role", Box::new(|p| p.role = "servers".into())),
        (
            "sizes",
            Box::new(|p| {
                p.sizes.insert("cats".into(), 1.0);
            }),
        ),
        (
            "sizes.routes",
            Box::new(|p| {
                p.sizes.insert("routes".into(), -1.0);
            }),
        ),
        (
            "measures",
            Box::new(|p| {
                p.measures.insert("CPU".into(), 1.0);
            }),
        ),
        (
            "measures.memory",
            Box::new(|p| {
                p.measures.insert("memory".into(), 1e19);
            }),
        ),
        ("varied", Box::new(|p| p.varied = "routes".into())),
        ("span", Box::new(|p| p.span = 0.0)),
        ("cores", Box::new(|p| p.cores = 0)),
        ("beside", Box::new(|p| p.beside = "a | b".into())),
        ("date", Box::new(|p| p.date = "<!-- /capacity -->".into())),
        ("version", Box::new(|p| p.version = "1\n2".into())),
    ];
    for (key, change) in &changes {
        let said = said(change);
        assert!(said.starts_with(&format!("some.json: points[1].{key}: ")), "{key}: {said}");
    }
}

#[test]
fn hostile_files_are_refused_and_nothing_panics() {
    let good = Points { points: vec![point("server", "requests", &[("requests", 1.0)], &[("cpu", 0.1)])] };
    let text = good.print();
    for (wrong, said) in [
        ("", "not JSON"),
        ("[]", "object"),
        ("{}", "points: should be given"),
        ("{\"points\": 3}", "points: should be a list"),
        ("{\"points\": [], \"more\": 1}", "more: is not known"),
        ("{\"points\": [3]}", "points[0]"),
        ("{\"points\": [{\"role\": \"server\"}]}", "missing field"),
        (&text.replace("0.1,", "1e999,").replace("0.1\n", "1e999\n"), "out of range"),
        (&text.replace("\"seed\"", "\"extra\": 1, \"seed\""), "extra"),
        (&"[".repeat(100_000), "not JSON"),
    ] {
        let fault = Points::parse("f", wrong).unwrap_err().to_string();
        assert!(fault.starts_with("f: ") && fault.contains(said), "{said}: {fault}");
    }
    // Every cut and every changed byte gives an answer.
    for at in 0..text.len() {
        let _ = Points::parse("f", &text[..at]);
        let mut bytes = text.clone().into_bytes();
        bytes[at] = bytes[at].wrapping_add(1) & 0x7f;
        let _ = Points::parse("f", &String::from_utf8(bytes).unwrap());
    }
    let many = format!("{{\"points\": [{}]}}", vec!["0"; MOST_POINTS + 1].join(","));
    assert!(Points::parse("f", &many).unwrap_err().to_string().contains("at the most"));
}
