use super::*;
use crate::schedule::ProcessId;

#[test]
fn reads_back_history_and_skips_truncated_last_line() {
    let mut history = History::default();
    history.record(
        0.5,
        ProcessId::TraceStore,
        1,
        HistoryEvent::Reported(Event::Ready { listen: "127.0.0.1:1".into() }),
    );
    history.record(1.5, ProcessId::Worker(2), 1, HistoryEvent::Exited { status: "killed".into() });
    let mut bytes = Vec::new();
    history.write(&mut bytes).unwrap();
    assert!(String::from_utf8_lossy(&bytes)
        .trim_end()
        .ends_with(r#"{"at":1.5,"who":"s2","life":1,"what":{"ended":{"how":"killed"}}}"#));
    assert_eq!(History::read(&bytes[..]).unwrap(), history);
    let torn = History::read(&bytes[..bytes.len() - 9]).unwrap();
    assert_eq!(torn.entries, history.entries[..1]);
    assert!(History::read(&b"{}\n{}\n"[..]).unwrap_err().starts_with("line 1: "));
}
