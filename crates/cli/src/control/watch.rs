//! `control watch`: a terminal view of servers, proxies and ages, read from the debug view of a running service.

use crate::terminal::{CommandError, CommandResult};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Paragraph};
use ratatui::Frame;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Interval between two reads of the debug view.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest response that is read.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Requests a path and returns the JSON body; an error for any status but 200.
fn get(at: SocketAddr, path: &str) -> Result<Value, String> {
    let exchange = || -> std::io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect_timeout(&at, REQUEST_TIMEOUT)?;
        stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n")?;
        let mut response = Vec::new();
        stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
        Ok(response)
    };
    let response = exchange().map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&response);
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no HTTP response")?;
    match head.split_whitespace().nth(1) {
        Some("200") => serde_json::from_str(body).map_err(|e| e.to_string()),
        Some("503") => Err("no plan is active".into()),
        other => Err(format!("expected status 200, got {}", other.unwrap_or("none"))),
    }
}

/// Last contents of the debug view, with the error of the last path that failed.
#[derive(Default)]
struct Snapshot {
    plan: Option<Value>,
    servers: Option<Value>,
    proxies: Option<Value>,
    error: Option<String>,
}

fn fetch_snapshot(at: SocketAddr) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let mut fetch = |path| get(at, path).map_err(|e| snapshot.error = Some(format!("{path}: {e}"))).ok();
    let (plan, servers, proxies) = (fetch("/plan"), fetch("/servers"), fetch("/proxies"));
    (snapshot.plan, snapshot.servers, snapshot.proxies) = (plan, servers, proxies);
    snapshot
}

fn number(value: &Value, key: &str) -> f64 {
    value[key].as_f64().unwrap_or(0.0)
}
fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("?")
}
fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn server_lines(snapshot: &Snapshot) -> Vec<Line<'static>> {
    let (Some(plan), Some(servers)) = (&snapshot.plan, &snapshot.servers) else { return Vec::new() };
    let views = list(&servers["servers"]);
    let line = |share: &Value| {
        let name = text(share, "instance");
        let view = views.iter().find(|view| text(&view["report"], "instance") == name);
        let (age, belief) = view.map_or((0.0, 0.0), |view| (number(view, "age"), number(view, "belief")));
        let (weight, target) = (number(share, "weight"), number(&share["why"], "target"));
        let color = match (weight > 0.0, belief >= 1.0) {
            (false, _) => Color::Red,
            (_, false) => Color::Yellow,
            _ => Color::Reset,
        };
        let cells = format!(
            "{name:<12.12} {:<6.6} {:>6.2}% of {:>6.2}% {age:>5.2}s {belief:>4.2} {}",
            text(share, "zone"),
            weight * 100.0,
            target * 100.0,
            text(&share["why"], "held")
        );
        Line::from(Span::styled(cells, Style::new().fg(color)))
    };
    list(&plan["plan"]["shares"]).iter().map(line).collect()
}

fn proxy_lines(snapshot: &Snapshot) -> Vec<Line<'static>> {
    let Some(proxies) = &snapshot.proxies else { return Vec::new() };
    let line = |proxy: &Value| {
        let settled = proxy["settled"].as_bool().unwrap_or(false);
        let acked = proxy["acked"]
            .as_array()
            .map_or("nothing".to_owned(), |a| a.iter().map(Value::to_string).collect::<Vec<_>>().join("."));
        let cells = format!(
            "{:<16.16} {:<8.8} holds {acked:<16} {} for {:>6.0}s refused {} {}",
            text(proxy, "node"),
            text(proxy, "zone"),
            if settled { "latest" } else { "behind" },
            number(proxy, "open_for"),
            number(proxy, "refused"),
            proxy["complaint"].as_str().unwrap_or("")
        );
        Line::from(Span::styled(cells, Style::new().fg(if settled { Color::Reset } else { Color::Yellow })))
    };
    list(&proxies["proxies"]).iter().map(line).collect()
}

fn draw(frame: &mut Frame, at: &str, snapshot: &Snapshot, first: usize) {
    let parts = Layout::vertical([
        Constraint::Length(1),
        Constraint::Fill(1),
        Constraint::Fill(1),
        Constraint::Length(1),
    ]);
    let [top, upper, lower, bottom] = parts.areas(frame.area());
    let head = match &snapshot.plan {
        Some(plan) => {
            let panic = if plan["plan"]["panic"] == true { "  PANIC: most reports are missing" } else { "" };
            let drops = list(&plan["plan"]["drops"]).len();
            let (epoch, serial, age) = (&plan["epoch"], &plan["number"], number(plan, "age"));
            format!("{at}  plan {epoch}.{serial}, {age:.2} s old, {drops} drops{panic}")
        }
        None => format!("{at}  {}", snapshot.error.as_deref().unwrap_or("waiting for the first response")),
    };
    let bold = Style::new().add_modifier(Modifier::BOLD);
    frame.render_widget(Paragraph::new(head).style(bold), top);
    for (area, title, lines) in [
        (upper, "servers: share, target, age, belief", server_lines(snapshot)),
        (lower, "proxies", proxy_lines(snapshot)),
    ] {
        let title = format!(" {} {title} ", lines.len());
        let shown: Vec<Line> = lines.into_iter().skip(first).collect();
        frame.render_widget(Paragraph::new(shown).block(Block::bordered().title(title)), area);
    }
    let keys = "j k: scroll   q: quit";
    frame.render_widget(Paragraph::new(keys).style(Style::new().fg(Color::DarkGray)), bottom);
}

pub fn watch(at: SocketAddr) -> CommandResult {
    // Fetched before the terminal switches modes, so that a wrong address is reported as an error.
    let mut snapshot = fetch_snapshot(at);
    if let (None, None, Some(error)) = (&snapshot.servers, &snapshot.proxies, &snapshot.error) {
        return Err(CommandError::Failed(format!("{at}{error}")));
    }
    let mut terminal = ratatui::try_init().map_err(|e| CommandError::Failed(format!("no terminal: {e}")))?;
    let result = show(at, &mut snapshot, &mut terminal);
    ratatui::restore();
    result
}

fn show(at: SocketAddr, snapshot: &mut Snapshot, terminal: &mut ratatui::DefaultTerminal) -> CommandResult {
    let (name, mut first, mut refreshed_at) = (at.to_string(), 0usize, Instant::now());
    loop {
        terminal.draw(|frame| draw(frame, &name, snapshot, first))?;
        if event::poll(REFRESH_INTERVAL.saturating_sub(refreshed_at.elapsed()))? {
            let Event::Key(key) = event::read()? else { continue };
            if key.kind == KeyEventKind::Release {
                continue;
            }
            let interrupted = key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c');
            match key.code {
                _ if interrupted => return Ok(()),
                KeyCode::Char('q') | KeyCode::Esc => return Ok(()),
                KeyCode::Down | KeyCode::Char('j') => first += 1,
                KeyCode::Up | KeyCode::Char('k') => first = first.saturating_sub(1),
                _ => {}
            }
        }
        if refreshed_at.elapsed() >= REFRESH_INTERVAL {
            (*snapshot, refreshed_at) = (fetch_snapshot(at), Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
