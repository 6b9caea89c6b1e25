use super::*;
use ratatui::backend::TestBackend;
use ratatui::Terminal;

fn press(app: &mut App, keys: &[KeyCode]) {
    for key in keys {
        let action = app.state.key(*key);
        assert!(app.apply(action).is_ok_and(|running| running));
    }
}

fn screen(app: &mut App) -> String {
    let mut terminal = Terminal::new(TestBackend::new(80, 24)).unwrap();
    terminal.draw(|frame| app.draw(frame)).unwrap();
    let cells = terminal.backend().buffer().content();
    cells.chunks(80).map(|line| line.iter().map(|cell| cell.symbol()).collect::<String>() + "\n").collect()
}

#[test]
fn navigates_from_time_line_to_details_and_applies_filter() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.trace").display().to_string();
    let config = puffinladder_trace::synth::SynthConfig { span: 400.0, rate: 20.0, ..Default::default() };
    assert!(super::super::make::synth(&config, 2, &path).is_ok());
    let mut app = App::new(&path).unwrap_or_else(|_| panic!("a trace that opens"));
    let all = screen(&mut app);
    assert!(all.contains("value kept by") && all.contains("asked"), "{all}");
    press(&mut app, &[KeyCode::Down, KeyCode::Enter]);
    assert!(screen(&mut app).contains("wait"));
    press(&mut app, &[KeyCode::Enter]);
    let details = screen(&mut app);
    assert!(
        details.contains("details of one txn") && details.contains("unread before the server read it"),
        "{details}"
    );
    press(&mut app, &[KeyCode::Esc, KeyCode::Esc, KeyCode::Char('/')]);
    press(&mut app, &"declined und".chars().map(KeyCode::Char).collect::<Vec<_>>());
    press(&mut app, &[KeyCode::Enter]);
    assert!(screen(&mut app).contains("column 10"), "{}", screen(&mut app));
    press(&mut app, &[KeyCode::Backspace; 4]);
    press(&mut app, &[KeyCode::Enter]);
    let declined = screen(&mut app);
    assert!(declined.contains("filter: declined"), "{declined}");
    press(&mut app, &[KeyCode::End, KeyCode::Enter]);
    assert!(app.rows.iter().all(|row| app.names.path(row.path).disposition().label() == "declined"));
}
