use super::*;
use crate::schedule::ProcessId;

#[test]
fn a_history_reads_back_and_a_torn_one_up_to_its_last_whole_line() {
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
    assert_eq!(History::read(&bytes[..]).unwrap(), history);
    let torn = History::read(&bytes[..bytes.len() - 9]).unwrap();
    assert_eq!(torn.entries, history.entries[..1]);
    assert!(History::read(&b"{}\n{}\n"[..]).unwrap_err().starts_with("line 1: "));
}
