use super::*;

const SHIPPED: &str = include_str!("../../../../deploy/capacity.scm");

#[test]
fn the_operators_plan_reads_with_all_of_its_figures() {
    let plan = read("capacity.scm", SHIPPED).unwrap();
    let fleet = Fleet {
        servers: 730.0,
        callers: 9100.0,
        services: 230.0,
        requests: 110_000.0,
        routes: 2300.0,
        tenants: 15_000.0,
        regions: 2.0,
        zones: 6.0,
        parts: 16.0,
    };
    assert_eq!(plan.fleet, fleet);
    assert_eq!((plan.changes.a_day, plan.changes.in_force), (1900.0, 6.0));
    assert!((plan.added_p99 - 0.0065).abs() < 1e-12);
    assert_eq!(plan.server, Budget { cpu: 0.038, memory: 134_217_728.0, bytes: 12_288.0 });
    assert_eq!((plan.events.failures_a_day, plan.events.restarts_a_day), (44.0, 2300.0));
    assert_eq!(plan.machines.len(), 4);
    assert!(plan.machines.iter().all(|m| m.cores == 8.0 && m.memory == (24u64 << 30) as f64));
    assert_eq!(plan.machines.iter().filter(|m| m.region == "a").count(), 2);
}

#[test]
fn a_process_has_its_share_and_more_of_it_when_others_are_lost() {
    let plan = read("capacity.scm", SHIPPED).unwrap();
    let size = |plan: &Plan, role: &str, key: &str| plan.sizes(role)[key];
    assert!((size(&plan, "server", "requests") - 110_000.0 / 730.0).abs() < 1e-9);
    assert_eq!((size(&plan, "control", "proxies"), size(&plan, "control", "servers")), (2275.0, 730.0));
    assert_eq!((size(&plan, "steward-quota", "customers"), plan.count("keeper")), (15_000.0, 3.0));
    let cut = plan.on(|machine| machine.region == "a");
    assert_eq!(
        (size(&cut, "control", "proxies"), cut.count("keeper"), cut.count("archive")),
        (4550.0, 2.0, 0.0)
    );
    let twice = plan.scaled(2.0);
    assert_eq!((size(&twice, "control", "proxies"), size(&twice, "control", "routes")), (4550.0, 4600.0));
    let doubled: Vec<f64> = ["servers", "callers", "customers", "routes", "requests", "changes"]
        .map(|key| size(&twice, "archive", key) / size(&plan, "archive", key))
        .into();
    assert_eq!(doubled, [2.0; 6]);
    assert_eq!((twice.events.failures_a_day, twice.events.restarts_a_day), (88.0, 4600.0));
    assert_eq!((size(&twice, "keeper", "parts"), twice.count("keeper"), twice.fleet.zones), (16.0, 3.0, 6.0));
    // Twice the servers and twice the requests: each has as many as before.
    assert_eq!(size(&twice, "server", "requests"), size(&plan, "server", "requests"));
    assert_eq!(twice.server, plan.server);
}

#[test]
fn what_is_wrong_is_named_with_file_line_column_and_key_all_at_once() {
    let wrong = SHIPPED
        .replace("(servers 730)", "(servers many)")
        .replace("(callers 9100)", "(calers 9100)")
        .replace("\"archive\"", "\"archives\"")
        .replace("\"b2\")", "\"b1\")")
        .replace("(cpu 0.038)", "")
        .replace("(shares \"proxies\")", "(shares \"cats\")")
        .replace("(in-force 6s)", "(in-force 6)");
    let said: Vec<String> = read("p.scm", &wrong).unwrap_err().iter().map(Diagnostic::to_string).collect();
    for key in [
        "p.scm:5:12: fleet.servers: should be a whole number from 1 to 1000000",
        "fleet.callers: should be given",
        "fleet.calers: is not known; callers may be meant",
        "machine.runs: \"archives\" should be one of",
        "server.cpu: should be given",
        "role.shares: \"cats\" should be one of",
        "p.scm:17:13: changes.in-force: should be from 0.001s to 24h",
    ] {
        assert!(said.iter().any(|one| one.contains(key)), "{key}: {said:#?}");
    }
    for (text, key) in [
        ("", "fleet: should be given"),
        ("(fleet", "')'"),
        (&SHIPPED.replace("\"b2\") (region", "\"b1\") (region"), "machine: \"b1\" stands here twice"),
        (
            &SHIPPED.replace("\"control\" \"config\"", "\"control\" \"control\""),
            "machine.runs: a role stands here twice",
        ),
        (&SHIPPED.replace("(zones 6)", "(zones 1)"), "fleet.zones: should be one for each region"),
        (&SHIPPED.replace("(name \"a1\")", "(name \"a|1\")"), "machine.name: should be 40 letters"),
    ] {
        let said: Vec<String> = read("p", text).unwrap_err().iter().map(Diagnostic::to_string).collect();
        assert!(said.iter().any(|one| one.contains(key)), "{key}: {said:#?}");
    }
}

#[test]
fn a_plan_that_was_cut_or_changed_anywhere_is_answered() {
    for at in (0..SHIPPED.len()).step_by(3) {
        let _ = read("p", &SHIPPED[..at]);
        let mut bytes = SHIPPED.as_bytes().to_vec();
        bytes[at] = bytes[at].wrapping_add(1) & 0x7f;
        let _ = read("p", &String::from_utf8(bytes).unwrap());
    }
    assert!(read("p", &"(".repeat(100_000)).is_err());
}
