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
