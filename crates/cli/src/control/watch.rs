//! `control watch`: servers, proxies and ages on the terminal, from the debug view of a running service.

use crate::say::{Done, Wrong};
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

/// From one look to the next, and how long an answer may take and be.
const EVERY: Duration = Duration::from_millis(500);
const WAIT: Duration = Duration::from_secs(2);
const MOST: u64 = 64 << 20;

/// The body of an answer; what is no 200 is a fault.
fn get(at: SocketAddr, path: &str) -> Result<Value, String> {
    let ask = || -> std::io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect_timeout(&at, WAIT)?;
        stream.set_read_timeout(Some(WAIT))?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n")?;
        let mut all = Vec::new();
        stream.take(MOST).read_to_end(&mut all)?;
        Ok(all)
    };
    let all = ask().map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&all);
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no answer")?;
    match head.split_whitespace().nth(1) {
        Some("200") => serde_json::from_str(body).map_err(|e| e.to_string()),
        Some("503") => Err("no plan holds".into()),
        other => Err(format!("answered {}", other.unwrap_or("nothing"))),
    }
}

/// What was seen last; a part that could not be had is a fault.
#[derive(Default)]
struct Seen {
    plan: Option<Value>,
    servers: Option<Value>,
    proxies: Option<Value>,
    fault: Option<String>,
}

fn look(at: SocketAddr) -> Seen {
    let mut seen = Seen::default();
    let mut one = |path| get(at, path).map_err(|e| seen.fault = Some(format!("{path}: {e}"))).ok();
    let (plan, servers, proxies) = (one("/plan"), one("/servers"), one("/proxies"));
    (seen.plan, seen.servers, seen.proxies) = (plan, servers, proxies);
    seen
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

fn server_lines(seen: &Seen) -> Vec<Line<'static>> {
    let (Some(plan), Some(servers)) = (&seen.plan, &seen.servers) else { return Vec::new() };
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
        let told = format!(
            "{name:<12.12} {:<6.6} {:>6.2}% of {:>6.2}% {age:>5.2}s {belief:>4.2} {}",
            text(share, "zone"),
            weight * 100.0,
            target * 100.0,
            text(&share["why"], "held")
        );
        Line::from(Span::styled(told, Style::new().fg(color)))
    };
    list(&plan["plan"]["shares"]).iter().map(line).collect()
}

fn proxy_lines(seen: &Seen) -> Vec<Line<'static>> {
    let Some(proxies) = &seen.proxies else { return Vec::new() };
    let line = |proxy: &Value| {
        let settled = proxy["settled"].as_bool().unwrap_or(false);
        let acked = proxy["acked"]
            .as_array()
            .map_or("nothing".to_owned(), |a| a.iter().map(Value::to_string).collect::<Vec<_>>().join("."));
        let told = format!(
            "{:<16.16} {:<8.8} holds {acked:<16} {} for {:>6.0}s refused {} {}",
            text(proxy, "node"),
            text(proxy, "zone"),
            if settled { "latest" } else { "behind" },
            number(proxy, "open_for"),
            number(proxy, "refused"),
            proxy["complaint"].as_str().unwrap_or("")
        );
        Line::from(Span::styled(told, Style::new().fg(if settled { Color::Reset } else { Color::Yellow })))
    };
    list(&proxies["proxies"]).iter().map(line).collect()
}

fn draw(frame: &mut Frame, at: &str, seen: &Seen, first: usize) {
    let parts = Layout::vertical([
        Constraint::Length(1),
        Constraint::Fill(1),
        Constraint::Fill(1),
        Constraint::Length(1),
    ]);
    let [top, upper, lower, bottom] = parts.areas(frame.area());
    let head = match &seen.plan {
        Some(plan) => {
            let panic = if plan["plan"]["panic"] == true { "  PANIC: most reports are missing" } else { "" };
            let drops = list(&plan["plan"]["drops"]).len();
            let (epoch, serial, age) = (&plan["epoch"], &plan["number"], number(plan, "age"));
            format!("{at}  plan {epoch}.{serial}, {age:.2} s old, {drops} drops{panic}")
        }
        None => format!("{at}  {}", seen.fault.as_deref().unwrap_or("nothing seen yet")),
    };
    let bold = Style::new().add_modifier(Modifier::BOLD);
    frame.render_widget(Paragraph::new(head).style(bold), top);
    for (area, title, lines) in [
        (upper, "servers: share, target, age, belief", server_lines(seen)),
        (lower, "proxies", proxy_lines(seen)),
    ] {
        let title = format!(" {} {title} ", lines.len());
        let shown: Vec<Line> = lines.into_iter().skip(first).collect();
        frame.render_widget(Paragraph::new(shown).block(Block::bordered().title(title)), area);
    }
    let keys = "j k: move   q: end";
    frame.render_widget(Paragraph::new(keys).style(Style::new().fg(Color::DarkGray)), bottom);
}

pub fn watch(at: SocketAddr) -> Done {
    // Once before the terminal is taken, so that a wrong address is told as one.
    let mut seen = look(at);
    if let (None, None, Some(fault)) = (&seen.servers, &seen.proxies, &seen.fault) {
        return Err(Wrong::Failed(format!("{at}{fault}")));
    }
    let mut terminal = ratatui::try_init().map_err(|e| Wrong::Failed(format!("no terminal: {e}")))?;
    let ended = show(at, &mut seen, &mut terminal);
    ratatui::restore();
    ended
}

fn show(at: SocketAddr, seen: &mut Seen, terminal: &mut ratatui::DefaultTerminal) -> Done {
    let (name, mut first, mut looked) = (at.to_string(), 0usize, Instant::now());
    loop {
        terminal.draw(|frame| draw(frame, &name, seen, first))?;
        if event::poll(EVERY.saturating_sub(looked.elapsed()))? {
            let Event::Key(key) = event::read()? else { continue };
            if key.kind == KeyEventKind::Release {
                continue;
            }
            let ends = key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c');
            match key.code {
                _ if ends => return Ok(()),
                KeyCode::Char('q') | KeyCode::Esc => return Ok(()),
                KeyCode::Down | KeyCode::Char('j') => first += 1,
                KeyCode::Up | KeyCode::Char('k') => first = first.saturating_sub(1),
                _ => {}
            }
        }
        if looked.elapsed() >= EVERY {
            (*seen, looked) = (look(at), Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
