use super::*;

#[test]
fn commands_are_single_json_lines_with_ordered_fields() {
    let link = AgentLink::new(64, 4096);
    let attempt = b"00000000000000aa";
    assert_eq!(link.freeze(attempt), NOT_SENT, "commands are held back until the link is open");
    assert!(link.accept_commands() && !link.accept_commands());
    link.launch(attempt, "a \"quote\"", b"body");
    link.freeze(attempt);
    link.thaw(attempt);
    link.deliver(attempt, b"");
    link.poll_gauges(7);
    assert_eq!(link.forgo(attempt, 12), 7);
    let mut sent = Vec::new();
    assert!(link.flush(&mut sent).unwrap().unwrap());
    let lines = [
        r#"{"op":"launch","id":"00000000000000aa","class":"a \"quote\"","body":"Ym9keQ=="}"#,
        r#"{"op":"freeze","id":"00000000000000aa"}"#,
        r#"{"op":"thaw","id":"00000000000000aa"}"#,
        r#"{"op":"deliver","id":"00000000000000aa","body":""}"#,
        r#"{"op":"sample","tag":"7"}"#,
        r#"{"op":"forgo","id":"00000000000000aa","seq":12}"#,
    ];
    assert_eq!(String::from_utf8(sent).unwrap(), lines.join("\n") + "\n");
}

/// Guards against a command lost with its connection that a poll of the next connection confirmed.
#[test]
fn answer_on_a_new_connection_confirms_no_command_of_an_earlier_one() {
    let link = AgentLink::new(64, 4096);
    let attempt = b"00000000000000aa";
    link.accept_commands();
    link.poll_gauges(1);
    let confirmed = link.launch(attempt, "quote", b"");
    link.poll_gauges(2);
    link.confirm(2);
    let lost = link.launch(attempt, "quote", b"");
    link.close();
    link.accept_commands();
    link.poll_gauges(3);
    link.confirm(3);
    assert!(link.is_confirmed(confirmed));
    assert!(!link.is_confirmed(lost));
    let resent = link.launch(attempt, "quote", b"");
    link.poll_gauges(4);
    link.confirm(4);
    assert!(link.is_confirmed(resent));
}
