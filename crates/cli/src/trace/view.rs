//! `trace view`: a time line of what was settled and declined; from an interval to its txns, from a txn to its life.

use super::ask::{date, row_text, span};
use super::input::{open, Opened};
use crate::say::{Done, Wrong};
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

/// Intervals of the time line, and txns of one that are shown.
const INTERVALS: i64 = 120;
const MOST_ROWS: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Level {
    Times,
    Txns,
    Life,
}

/// What a key asks for that needs the file.
#[derive(Clone, Debug, PartialEq)]
enum Wish {
    Nothing,
    End,
    /// Read the time line anew, with this filter.
    Times(Expr),
    /// Read the txns of the chosen interval.
    Txns,
}

/// Where the one who looks stands. Knows no terminal and no file.
struct State {
    level: Level,
    /// Chosen places: of the interval, of the txn, first line shown of a life.
    at: [usize; 3],
    /// How many there are to choose from.
    count: [usize; 3],
    page: usize,
    /// The filter as text, and what is being typed.
    filter: String,
    typing: Option<String>,
    fault: String,
}

impl State {
    fn new() -> State {
        State {
            level: Level::Times,
            at: [0; 3],
            count: [0; 3],
            page: 10,
            filter: String::new(),
            typing: None,
            fault: String::new(),
        }
    }

    fn go(&mut self, by: isize) {
        let level = self.level as usize;
        let most = self.count[level].saturating_sub(1);
        self.at[level] = self.at[level].saturating_add_signed(by).min(most);
    }

    fn key(&mut self, key: KeyCode) -> Wish {
        if let Some(mut text) = self.typing.take() {
            match key {
                KeyCode::Esc => self.fault.clear(),
                KeyCode::Enter => match expr::parse(&text) {
                    Ok(parsed) => {
                        (self.filter, self.level) = (text, Level::Times);
                        self.fault.clear();
                        return Wish::Times(parsed);
                    }
                    Err(wrong) => {
                        self.fault = wrong.to_string();
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
            return Wish::Nothing;
        }
        let page = self.page.max(1) as isize;
        match key {
            KeyCode::Char('q') => return Wish::End,
            KeyCode::Down | KeyCode::Char('j') => self.go(1),
            KeyCode::Up | KeyCode::Char('k') => self.go(-1),
            KeyCode::PageDown | KeyCode::Char(' ') => self.go(page),
            KeyCode::PageUp => self.go(-page),
            KeyCode::Home | KeyCode::Char('g') => self.go(isize::MIN / 2),
            KeyCode::End | KeyCode::Char('G') => self.go(isize::MAX / 2),
            KeyCode::Char('/') => self.typing = Some(self.filter.clone()),
            KeyCode::Enter | KeyCode::Right | KeyCode::Char('l') => match self.level {
                Level::Times if self.count[0] > 0 => {
                    (self.level, self.at[1]) = (Level::Txns, 0);
                    return Wish::Txns;
                }
                Level::Txns if self.count[1] > 0 => (self.level, self.at[2]) = (Level::Life, 0),
                _ => {}
            },
            KeyCode::Esc | KeyCode::Left | KeyCode::Char('h') | KeyCode::Backspace => match self.level {
                Level::Times => {}
                Level::Txns => self.level = Level::Times,
                Level::Life => self.level = Level::Txns,
            },
            _ => {}
        }
        Wish::Nothing
    }
}

struct App {
    trace: Opened,
    name: String,
    names: Names,
    state: State,
    expr: Expr,
    begin: i64,
    interval: i64,
    /// Of each interval: its sums, whether anything is in it or not.
    times: Vec<Totals>,
    rows: Vec<Row>,
    notes: Vec<Note>,
}

impl App {
    fn new(name: &str) -> Done<App> {
        let mut trace = open(name)?;
        let (begin, end) = trace.time_range().unwrap_or((0, 0));
        let mut names = Names::default();
        let mut lost = Vec::new();
        let notes = notes(&mut trace, &mut names, &Selection::default(), &mut lost)?;
        let mut app = App {
            trace,
            name: name.to_owned(),
            names,
            state: State::new(),
            expr: Expr::All,
            begin,
            interval: ((end - begin) / INTERVALS + 1).max(1_000),
            times: Vec::new(),
            rows: Vec::new(),
            notes,
        };
        app.read_times()?;
        Ok(app)
    }

    fn choice(&self, from: i64, to: i64) -> Selection {
        Selection { from, to, expr: self.expr.clone() }
    }

    fn read_times(&mut self) -> Done {
        let choice = self.choice(i64::MIN, i64::MAX);
        let mut times = vec![Totals::default(); INTERVALS as usize];
        let (begin, interval) = (self.begin, self.interval);
        scan(&mut self.trace, &mut self.names, &choice, &mut |_, _| {}, |row, names| {
            let at = ((row.read - begin) / interval).clamp(0, INTERVALS - 1) as usize;
            let (step, value) =
                (names.path(row.path).disposition().step(), row.value(names.product(row.product)));
            times[at].add(step, 1, value);
            ControlFlow::Continue(())
        })?;
        while times.last().is_some_and(|sums| sums.requests == 0) {
            times.pop();
        }
        self.state.count[0] = times.len();
        self.state.at[0] = self.state.at[0].min(times.len().saturating_sub(1));
        self.times = times;
        Ok(())
    }

    fn read_txns(&mut self) -> Done {
        let from = self.begin + self.state.at[0] as i64 * self.interval;
        let choice = self.choice(from, from + self.interval);
        let mut rows = Vec::new();
        scan(&mut self.trace, &mut self.names, &choice, &mut |_, _| {}, |row, _| {
            rows.push(row.clone());
            if rows.len() < MOST_ROWS {
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

    fn wish(&mut self, wish: Wish) -> Done<bool> {
        match wish {
            Wish::Nothing => {}
            Wish::End => return Ok(false),
            Wish::Times(expr) => {
                self.expr = expr;
                self.read_times()?;
            }
            Wish::Txns => self.read_txns()?,
        }
        Ok(true)
    }

    fn draw(&mut self, frame: &mut Frame) {
        let parts = Layout::vertical([Constraint::Length(1), Constraint::Min(3), Constraint::Length(1)]);
        let [top, middle, bottom] = parts.areas(frame.area());
        let height = usize::from(middle.height.saturating_sub(2));
        self.state.page = height;
        let total = self.times.iter().map(|sums| sums.requests).sum::<u64>();
        let filter = if self.state.filter.is_empty() { "all" } else { &self.state.filter };
        let sealed = if self.trace.sealed { "" } else { " (not sealed)" };
        let head = format!("{}{sealed}  {total} txns  filter: {filter}", self.name);
        frame.render_widget(Paragraph::new(head).style(Style::new().add_modifier(Modifier::BOLD)), top);
        let (title, lines, chosen) = match self.state.level {
            Level::Times => self.time_lines(usize::from(middle.width)),
            Level::Txns => self.txn_lines(),
            Level::Life => self.life_lines(),
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
            Some(text) if self.state.fault.is_empty() => {
                format!("filter: {text}_   enter takes it, esc leaves it")
            }
            Some(text) => format!("filter: {text}_   {}", self.state.fault),
            None => "arrows or j k: move   enter: in   esc: out   /: filter   q: end".into(),
        };
        frame.render_widget(Paragraph::new(below).style(Style::new().fg(Color::DarkGray)), bottom);
    }

    fn time_lines(&self, width: usize) -> (String, Vec<Line<'static>>, usize) {
        let most = self.times.iter().map(|sums| sums.requests).max().unwrap_or(1).max(1);
        let room = width.saturating_sub(44).max(8);
        let lines = self.times.iter().enumerate().map(|(at, sums)| {
            let cells = |count: u64| (count as usize * room).div_ceil(most as usize);
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

    fn txn_lines(&self) -> (String, Vec<Line<'static>>, usize) {
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
        let more = if self.rows.len() >= MOST_ROWS { " and more" } else { "" };
        (format!(" {}{more} txns ", self.rows.len()), lines.collect(), self.state.at[1])
    }

    fn life_lines(&mut self) -> (String, Vec<Line<'static>>, usize) {
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
            Line::from(format!("{:>12}  lay unread before it was read", span(row.unread.into()))),
        ];
        let mut at = 0u64;
        for (step, took) in path.steps().zip(&row.spans) {
            at += u64::from(*took);
            lines.push(Line::from(format!("{:>12}  {}", span(at), step.text())));
        }
        if row.keep_off > 0 {
            lines.push(Line::from(format!("{:>12}  told to keep off for {} ms", "", row.keep_off)));
        }
        lines.push(Line::from(""));
        let state = self.notes.iter().rfind(|note| note.at <= row.read && note.topic.text() == "limit");
        if let Some(note) = state {
            lines.push(Line::from(format!("limit then {}", note.value)));
        }
        lines.push(Line::from(row_text(row, &self.names)));
        self.state.count[2] = lines.len();
        (" one txn's life ".into(), lines, self.state.at[2])
    }
}

pub fn view(file: &str) -> Done {
    let mut app = App::new(file)?;
    // Sets a hook that gives the terminal back on a panic, too.
    let mut terminal = ratatui::try_init().map_err(|e| Wrong::Failed(format!("no terminal: {e}")))?;
    let looked = look(&mut app, &mut terminal);
    ratatui::restore();
    looked
}

fn look(app: &mut App, terminal: &mut ratatui::DefaultTerminal) -> Done {
    loop {
        terminal.draw(|frame| app.draw(frame))?;
        let Event::Key(key) = event::read()? else { continue };
        if key.kind == KeyEventKind::Release {
            continue;
        }
        let ends = key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c');
        let wish = if ends { Wish::End } else { app.state.key(key.code) };
        if !app.wish(wish)? {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
