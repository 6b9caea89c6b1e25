//! `trace view`: a time line of settled and declined txns, the txns of an interval, and the details of a txn.

use super::input::{open, Opened};
use super::query::{date, row_text, span};
use crate::terminal::{CommandError, CommandResult};
use puffinladder_trace::expr::{self, Expr};
use puffinladder_trace::row::{Names, Note, Row};
use puffinladder_trace::summary::Totals;
use puffinladder_trace::tools::{notes, scan, Selection};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Paragraph};
use ratatui::Frame;
use std::ops::ControlFlow;

/// Intervals of the time line.
const INTERVALS: i64 = 120;
/// Most txns shown of an interval.
const MAX_ROWS: usize = 20_000;

/// Levels of the view, from the whole trace to one txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Level {
    Timeline,
    Requests,
    Detail,
}

/// Effect of a key outside of [`ViewState`].
#[derive(Clone, Debug, PartialEq)]
enum Action {
    None,
    Quit,
    /// Reads the time line with this filter.
    ReadTimeline(Expr),
    /// Reads the txns of the selected interval.
    ReadRequests,
}

/// Position in the view, independent of terminal and file.
struct ViewState {
    level: Level,
    /// Selected line of each level.
    at: [usize; 3],
    /// Number of lines of each level.
    count: [usize; 3],
    page: usize,
    /// Active filter, as text.
    filter: String,
    /// Filter being typed.
    typing: Option<String>,
    error: String,
}

impl ViewState {
    fn new() -> ViewState {
        ViewState {
            level: Level::Timeline,
            at: [0; 3],
            count: [0; 3],
            page: 10,
            filter: String::new(),
            typing: None,
            error: String::new(),
        }
    }

    fn move_by(&mut self, by: isize) {
        let level = self.level as usize;
        let last = self.count[level].saturating_sub(1);
        self.at[level] = self.at[level].saturating_add_signed(by).min(last);
    }

    fn key(&mut self, key: KeyCode) -> Action {
        if let Some(mut text) = self.typing.take() {
            match key {
                KeyCode::Esc => self.error.clear(),
                KeyCode::Enter => match expr::parse(&text) {
                    Ok(parsed) => {
                        (self.filter, self.level) = (text, Level::Timeline);
                        self.error.clear();
                        return Action::ReadTimeline(parsed);
                    }
                    Err(error) => {
                        self.error = error.to_string();
                        self.typing = Some(text);
                    }
                },
                KeyCode::Backspace => {
                    text.pop();
                    self.typing = Some(text);
                }
                KeyCode::Char(c) => {
                    text.push(c);
                    self.typing = Some(text);
                }
                _ => self.typing = Some(text),
            }
            return Action::None;
        }
        let page = self.page.max(1) as isize;
        match key {
            KeyCode::Char('q') => return Action::Quit,
            KeyCode::Down | KeyCode::Char('j') => self.move_by(1),
            KeyCode::Up | KeyCode::Char('k') => self.move_by(-1),
            KeyCode::PageDown | KeyCode::Char(' ') => self.move_by(page),
            KeyCode::PageUp => self.move_by(-page),
            KeyCode::Home | KeyCode::Char('g') => self.move_by(isize::MIN / 2),
            KeyCode::End | KeyCode::Char('G') => self.move_by(isize::MAX / 2),
            KeyCode::Char('/') => self.typing = Some(self.filter.clone()),
            KeyCode::Enter | KeyCode::Right | KeyCode::Char('l') => match self.level {
                Level::Timeline if self.count[0] > 0 => {
                    (self.level, self.at[1]) = (Level::Requests, 0);
                    return Action::ReadRequests;
                }
                Level::Requests if self.count[1] > 0 => (self.level, self.at[2]) = (Level::Detail, 0),
                _ => {}
            },
            KeyCode::Esc | KeyCode::Left | KeyCode::Char('h') | KeyCode::Backspace => match self.level {
                Level::Timeline => {}
                Level::Requests => self.level = Level::Timeline,
                Level::Detail => self.level = Level::Requests,
            },
            _ => {}
        }
        Action::None
    }
}

struct App {
    trace: Opened,
    name: String,
    names: Names,
    state: ViewState,
    expr: Expr,
    begin: i64,
    interval: i64,
    /// Totals of each interval.
    intervals: Vec<Totals>,
    rows: Vec<Row>,
    notes: Vec<Note>,
}

impl App {
    fn new(name: &str) -> CommandResult<App> {
        let mut trace = open(name)?;
        let (begin, end) = trace.time_range().unwrap_or((0, 0));
        let mut names = Names::default();
        let mut damage = Vec::new();
        let notes = notes(&mut trace, &mut names, &Selection::default(), &mut damage)?;
        let mut app = App {
            trace,
            name: name.to_owned(),
            names,
            state: ViewState::new(),
            expr: Expr::All,
            begin,
            interval: ((end - begin) / INTERVALS + 1).max(1_000),
            intervals: Vec::new(),
            rows: Vec::new(),
            notes,
        };
        app.read_timeline()?;
        Ok(app)
    }

    fn choice(&self, from: i64, to: i64) -> Selection {
        Selection { from, to, expr: self.expr.clone() }
    }

    fn read_timeline(&mut self) -> CommandResult {
        let choice = self.choice(i64::MIN, i64::MAX);
        let mut intervals = vec![Totals::default(); INTERVALS as usize];
        let (begin, interval) = (self.begin, self.interval);
        scan(&mut self.trace, &mut self.names, &choice, &mut |_, _| {}, |row, names| {
            let at = ((row.read - begin) / interval).clamp(0, INTERVALS - 1) as usize;
            let (step, value) =
                (names.path(row.path).disposition().step(), row.value(names.product(row.product)));
            intervals[at].add(step, 1, value);
            ControlFlow::Continue(())
        })?;
        while intervals.last().is_some_and(|sums| sums.requests == 0) {
            intervals.pop();
        }
        self.state.count[0] = intervals.len();
        self.state.at[0] = self.state.at[0].min(intervals.len().saturating_sub(1));
        self.intervals = intervals;
        Ok(())
    }

    fn read_requests(&mut self) -> CommandResult {
        let from = self.begin + self.state.at[0] as i64 * self.interval;
        let choice = self.choice(from, from + self.interval);
        let mut rows = Vec::new();
        scan(&mut self.trace, &mut self.names, &choice, &mut |_, _| {}, |row, _| {
            rows.push(row.clone());
            if rows.len() < MAX_ROWS {
                ControlFlow::Continue(())
            } else {
                ControlFlow::Break(())
            }
        })?;
        rows.sort_by_key(|row| row.read);
        self.state.count[1] = rows.len();
        self.rows = rows;
        Ok(())
    }

    fn apply(&mut self, action: Action) -> CommandResult<bool> {
        match action {
            Action::None => {}
            Action::Quit => return Ok(false),
            Action::ReadTimeline(expr) => {
                self.expr = expr;
                self.read_timeline()?;
            }
            Action::ReadRequests => self.read_requests()?,
        }
        Ok(true)
    }

    fn draw(&mut self, frame: &mut Frame) {
        let parts = Layout::vertical([Constraint::Length(1), Constraint::Min(3), Constraint::Length(1)]);
        let [top, middle, bottom] = parts.areas(frame.area());
        let height = usize::from(middle.height.saturating_sub(2));
        self.state.page = height;
        let total = self.intervals.iter().map(|sums| sums.requests).sum::<u64>();
        let filter = if self.state.filter.is_empty() { "all" } else { &self.state.filter };
        let sealed = if self.trace.sealed { "" } else { " (not sealed)" };
        let head = format!("{}{sealed}  {total} txns  filter: {filter}", self.name);
        frame.render_widget(Paragraph::new(head).style(Style::new().add_modifier(Modifier::BOLD)), top);
        let (title, lines, chosen) = match self.state.level {
            Level::Timeline => self.timeline_lines(usize::from(middle.width)),
            Level::Requests => self.request_lines(),
            Level::Detail => self.detail_lines(),
        };
        let first = chosen.saturating_sub(height.saturating_sub(1));
        let mark = Style::new().add_modifier(Modifier::REVERSED);
        let lines: Vec<Line> = lines
            .into_iter()
            .enumerate()
            .skip(first)
            .take(height)
            .map(|(at, line)| if at == chosen { line.style(mark) } else { line })
            .collect();
        frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(title)), middle);
        let below = match &self.state.typing {
            Some(text) if self.state.error.is_empty() => {
                format!("filter: {text}_   enter: apply   esc: cancel")
            }
            Some(text) => format!("filter: {text}_   {}", self.state.error),
            None => "arrows or j k: move   enter: open   esc: back   /: filter   q: quit".into(),
        };
        frame.render_widget(Paragraph::new(below).style(Style::new().fg(Color::DarkGray)), bottom);
    }

    fn timeline_lines(&self, width: usize) -> (String, Vec<Line<'static>>, usize) {
        let max = self.intervals.iter().map(|sums| sums.requests).max().unwrap_or(1).max(1);
        let room = width.saturating_sub(44).max(8);
        let lines = self.intervals.iter().enumerate().map(|(at, sums)| {
            let cells = |count: u64| (count as usize * room).div_ceil(max as usize);
            let (settled, declined) = (cells(sums.in_sla), cells(sums.declined));
            let rest = cells(sums.requests).saturating_sub(settled + declined);
            Line::from(vec![
                Span::raw(format!(
                    "{:>8} {:>8} asked {:>7} declined {:>5.3} ",
                    span((at as i64 * self.interval) as u64),
                    sums.requests,
                    sums.declined,
                    sums.value_share()
                )),
                Span::styled("█".repeat(settled), Style::new().fg(Color::Blue)),
                Span::styled("▒".repeat(rest), Style::new().fg(Color::DarkGray)),
                Span::styled("█".repeat(declined), Style::new().fg(Color::Red)),
            ])
        });
        let title = format!(" value kept by {} from {} ", span(self.interval as u64), date(self.begin));
        (title, lines.collect(), self.state.at[0])
    }

    fn request_lines(&self) -> (String, Vec<Line<'static>>, usize) {
        let lines = self.rows.iter().map(|row| {
            let path = self.names.path(row.path);
            let disposition = path.disposition().step();
            let color = match disposition {
                step if step.is_settled() => Color::Blue,
                step if step.is_declined() => Color::Red,
                _ => Color::Yellow,
            };
            Line::from(vec![
                Span::raw(format!(
                    "{:>10.3}s {:<12.12} {:<8.8} wait {:>7} run {:>7} ",
                    (row.read - self.begin) as f64 / 1e6,
                    self.names.product(row.product).name,
                    self.names.text(row.customer),
                    span(row.wait(path)),
                    row.run_time(path).map_or("-".into(), span),
                )),
                Span::styled(disposition.text(), Style::new().fg(color)),
            ])
        });
        let more = if self.rows.len() >= MAX_ROWS { " and more" } else { "" };
        (format!(" {}{more} txns ", self.rows.len()), lines.collect(), self.state.at[1])
    }

    fn detail_lines(&mut self) -> (String, Vec<Line<'static>>, usize) {
        let Some(row) = self.rows.get(self.state.at[1]) else { return (String::new(), Vec::new(), 0) };
        let path = self.names.path(row.path);
        let terms = self.names.product(row.product);
        let mut lines = vec![
            Line::from(format!("read       {}", date(row.read))),
            Line::from(format!("node       {}", self.names.text(row.node))),
            Line::from(format!(
                "product    {} (worth {}, SLA {} s, expiry {} s)",
                terms.name, terms.value, terms.sla, terms.expiry
            )),
            Line::from(format!("customer   {}, caller {}", self.names.text(row.customer), row.caller)),
            Line::from(format!(
                "try        {:08x}{}{}",
                row.name,
                if row.repeat() { ", a repeat" } else { "" },
                if row.key != 0 { format!(", key {:012x}", row.key) } else { String::new() }
            )),
            Line::from(format!(
                "hint       {}, {} bytes, rank {:.2}",
                span(row.hint.into()),
                row.memory,
                f64::from(row.rank) / 64.0
            )),
            Line::from(""),
            Line::from(format!("{:>12}  unread before the server read it", span(row.unread.into()))),
        ];
        let mut at = 0u64;
        for (step, took) in path.steps().zip(&row.spans) {
            at += u64::from(*took);
            lines.push(Line::from(format!("{:>12}  {}", span(at), step.text())));
        }
        if row.keep_off > 0 {
            lines.push(Line::from(format!("{:>12}  Retry-After of {} ms", "", row.keep_off)));
        }
        lines.push(Line::from(""));
        let limit = self.notes.iter().rfind(|note| note.at <= row.read && note.topic.text() == "limit");
        if let Some(note) = limit {
            lines.push(Line::from(format!("limit at that time {}", note.value)));
        }
        lines.push(Line::from(row_text(row, &self.names)));
        self.state.count[2] = lines.len();
        (" details of one txn ".into(), lines, self.state.at[2])
    }
}

pub fn view(file: &str) -> CommandResult {
    let mut app = App::new(file)?;
    // Also installs a panic hook that restores the terminal.
    let mut terminal = ratatui::try_init().map_err(|e| CommandError::Failed(format!("no terminal: {e}")))?;
    let result = run_event_loop(&mut app, &mut terminal);
    ratatui::restore();
    result
}

fn run_event_loop(app: &mut App, terminal: &mut ratatui::DefaultTerminal) -> CommandResult {
    loop {
        terminal.draw(|frame| app.draw(frame))?;
        let Event::Key(key) = event::read()? else { continue };
        if key.kind == KeyEventKind::Release {
            continue;
        }
        let interrupted = key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c');
        let action = if interrupted { Action::Quit } else { app.state.key(key.code) };
        if !app.apply(action)? {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
