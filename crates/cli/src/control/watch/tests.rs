use super::*;
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use serde_json::json;

#[test]
fn draws_snapshot_and_errors_on_a_small_screen() {
    let screen = |snapshot: &Snapshot| -> String {
        let mut terminal = Terminal::new(TestBackend::new(80, 24)).unwrap();
        terminal.draw(|frame| draw(frame, "127.0.0.1:1", snapshot, 0)).unwrap();
        terminal.backend().buffer().content().iter().map(|cell| cell.symbol()).collect()
    };
    let share = json!({"instance": "n1", "zone": "a", "weight": 0.25, "why": {"target": 0.5, "held": "moves step by step"}});
    let snapshot = Snapshot {
        plan: Some(
            json!({"epoch": 7, "number": 3, "age": 0.1, "plan": {"panic": true, "drops": [], "shares": [share]}}),
        ),
        servers: Some(json!({"servers": [{"report": {"instance": "n1"}, "age": 0.5, "belief": 1.0}]})),
        proxies: Some(
            json!({"proxies": [{"node": "p1", "zone": "a", "acked": [7, 2], "settled": false, "open_for": 9.0}]}),
        ),
        error: None,
    };
    let text = screen(&snapshot);
    for wanted in ["plan 7.3", "PANIC", "25.00% of  50.00%", "moves step by step", "holds 7.2", "behind"] {
        assert!(text.contains(wanted), "{wanted}: {text}");
    }
    assert!(screen(&Snapshot { error: Some("/plan: refused".into()), ..Snapshot::default() })
        .contains("/plan: refused"));
}
