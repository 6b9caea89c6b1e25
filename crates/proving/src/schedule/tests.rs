use super::*;

#[test]
fn generated_schedules_are_deterministic_and_read_back() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..300 {
        let generated =
            Schedule::generate(seed, &Schedule { replicas: 5, workers: 12, ..Schedule::default() });
        assert_eq!(
            generated,
            Schedule::generate(seed, &Schedule { replicas: 5, workers: 12, ..Schedule::default() })
        );
        assert_eq!(Schedule::read("drawn", &generated.to_string()).unwrap(), generated, "{generated}");
        kinds.extend(generated.faults.iter().map(|fault| fault.kind.keyword()));
    }
    assert!(kinds.len() >= 12, "{kinds:?}");
}

#[test]
fn reports_invalid_settings_with_their_position() {
    let text = "(schedule (keepers 3)\n (fault (at 1s) (do pause) (who \"k9\"))\n (fault (do melt) (who \"s1\"))\n (fault (at 1s) (do sync) (who \"s1\") (to \"k1\")))";
    let messages: Vec<String> =
        Schedule::read("f", text).unwrap_err().iter().map(Diagnostic::to_string).collect();
    for wanted in [
        "f:2:28: schedule.fault.who: \"k9\"",
        "schedule.fault.at: should be given",
        "schedule.fault.do: should be one of pause",
        "schedule.fault.to: applies to links only",
        "schedule.fault.who: should be a keeper",
    ] {
        assert!(messages.iter().any(|line| line.contains(wanted)), "{wanted}: {messages:#?}");
    }
    assert!(Schedule::read("f", "").unwrap_err()[0].to_string().contains("schedule: should be given"));
}

#[test]
fn fault_direction_is_reversed_at_the_peer() {
    let fault = Fault {
        peer: Some(ProcessId::TraceStore),
        direction: Direction::Forward,
        ..Fault::new(0.0, FaultKind::Partition, ProcessId::Worker(1), 1.0)
    };
    assert_eq!(
        fault.direction_on_link(ProcessId::Worker(1), ProcessId::TraceStore),
        Some(Direction::Forward)
    );
    assert_eq!(fault.direction_on_link(ProcessId::Worker(2), ProcessId::TraceStore), None);
    let reversed = Fault {
        peer: Some(ProcessId::Worker(1)),
        direction: Direction::Forward,
        ..Fault::new(0.0, FaultKind::Partition, ProcessId::TraceStore, 1.0)
    };
    assert_eq!(
        reversed.direction_on_link(ProcessId::Worker(1), ProcessId::TraceStore),
        Some(Direction::Reverse)
    );
    let all = Fault::new(0.0, FaultKind::Partition, ProcessId::Replica(1), 1.0);
    assert_eq!(all.direction_on_link(ProcessId::Worker(4), ProcessId::Replica(1)), Some(Direction::Both));
}
