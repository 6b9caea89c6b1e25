//! SVG timeline of a run: lease holders of each task, and faults of each process.

use crate::history::{History, HistoryEvent};
use plotters::prelude::*;
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::Event;
use puffinladder_leases::table::ChangeKind;
use std::collections::BTreeMap;

const HOLDER_COLOURS: [RGBColor; 10] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(188, 189, 34),
    RGBColor(23, 190, 207),
    RGBColor(96, 125, 139),
    RGBColor(214, 160, 40),
];
const LINE_HEIGHT_PX: u32 = 16;

/// Start and end, s, and label.
type Interval = (f64, f64, String);

/// Returns the lease intervals of each task as the replicas reported them, in the cluster's time.
fn lease_intervals(history: &History, end: f64) -> BTreeMap<String, Vec<Interval>> {
    let mut open: BTreeMap<u64, (String, f64, String)> = BTreeMap::new();
    let mut seen: BTreeMap<(u64, u8), ()> = BTreeMap::new();
    let mut lines: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    for (entry, event) in history.events() {
        let Event::Change(change) = event else { continue };
        if seen.insert((change.epoch, change.kind as u8), ()).is_some() {
            continue;
        }
        match change.kind {
            ChangeKind::Granted => {
                let holder = change.holder.instance.clone();
                open.insert(change.epoch, (change.task.to_string(), entry.at, holder));
            }
            ChangeKind::Ended => {
                if let Some((task, from, holder)) = open.remove(&change.epoch) {
                    lines.entry(task).or_default().push((from, entry.at, holder));
                }
            }
            ChangeKind::Revoked => {}
        }
    }
    for (_, (task, from, holder)) in open {
        lines.entry(task).or_default().push((from, end, holder));
    }
    lines
}

/// Returns the faults of each process. Clock faults are left out.
fn fault_intervals(history: &History, end: f64) -> BTreeMap<String, Vec<Interval>> {
    let mut lines: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::FaultStarted { fault } => {
                let what = fault.split(' ').next().unwrap_or_default().to_string();
                if !["rate", "wall"].contains(&what.as_str()) {
                    lines.entry(entry.process.clone()).or_default().push((entry.at, end, what));
                }
            }
            HistoryEvent::FaultEnded { fault } => {
                let line = lines.entry(entry.process.clone()).or_default();
                let what = fault.split(' ').next().unwrap_or_default();
                if let Some(open) = line.iter_mut().find(|(_, until, of)| *until == end && of == what) {
                    open.1 = entry.at;
                }
            }
            _ => {}
        }
    }
    lines
}

/// Renders the timeline as SVG.
///
/// # Errors
///
/// Errors of the drawing library.
pub fn render_svg(title: &str, history: &History) -> Result<String, Box<dyn std::error::Error>> {
    let end = history.entries.last().map_or(1.0, |entry| entry.at).max(0.1);
    let (lease_intervals, fault_intervals) = (lease_intervals(history, end), fault_intervals(history, end));
    let mut names: Vec<String> =
        lease_intervals.values().flatten().map(|(.., holder)| holder.clone()).collect();
    names.sort();
    names.dedup();
    let colour = |holder: &str| {
        let place = names.iter().position(|name| name == holder).unwrap_or(0);
        HOLDER_COLOURS[place % HOLDER_COLOURS.len()]
    };
    let rows = lease_intervals.len() + fault_intervals.len();
    let height = rows as u32 * LINE_HEIGHT_PX + 110;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (1100, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let (left, right, top) = (110, 1080, 40);
        let x = |at: f64| left + ((at / end).clamp(0.0, 1.0) * f64::from(right - left)) as i32;
        let y = |row: usize| top + (row as u32 * LINE_HEIGHT_PX) as i32;
        let small = ("sans-serif", 11).into_font();
        area.draw(&Text::new(title.to_string(), (left, 14), ("sans-serif", 15).into_font()))?;
        let tick_s = [0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0];
        let tick_s = tick_s.into_iter().find(|step| end / step <= 20.0).unwrap_or(600.0);
        for tick in 0..=(end / tick_s) as u32 {
            let at = f64::from(tick) * tick_s;
            let line = vec![(x(at), top - 4), (x(at), y(rows) + 4)];
            area.draw(&PathElement::new(line, BLACK.mix(0.12)))?;
            area.draw(&Text::new(format!("{at} s"), (x(at) - 8, y(rows) + 8), small.clone()))?;
        }
        let mut row = 0;
        for (task, intervals) in &lease_intervals {
            area.draw(&Text::new(task.clone(), (8, y(row) + 2), small.clone()))?;
            for (from, until, holder) in intervals {
                let bar = [
                    (x(*from), y(row) + 2),
                    (x(*until).max(x(*from) + 1), y(row) + LINE_HEIGHT_PX as i32 - 2),
                ];
                area.draw(&Rectangle::new(bar, colour(holder).filled()))?;
            }
            row += 1;
        }
        for (process, intervals) in &fault_intervals {
            area.draw(&Text::new(process.clone(), (8, y(row) + 2), small.clone()))?;
            let mut free = left;
            for (from, until, what) in intervals {
                let bar = [
                    (x(*from), y(row) + 2),
                    (x(*until).max(x(*from) + 2), y(row) + LINE_HEIGHT_PX as i32 - 2),
                ];
                area.draw(&Rectangle::new(bar, RED.mix(0.3).filled()))?;
                // Place labels of overlapping faults side by side.
                let word = (x(*from) + 2).max(free);
                free = word + 6 * what.len() as i32 + 6;
                area.draw(&Text::new(what.clone(), (word, y(row) + 2), small.clone()))?;
            }
            row += 1;
        }
        // Mark stale effects that were refused.
        for (entry, event) in history.events() {
            let Event::EffectChecked { task, verdict: Verdict::Stale { .. }, block: Some(_), .. } = event
            else {
                continue;
            };
            if let Some(row) = lease_intervals.keys().position(|name| *name == task.to_string()) {
                area.draw(&Circle::new(
                    (x(entry.at), y(row) + LINE_HEIGHT_PX as i32 / 2),
                    4,
                    BLACK.filled(),
                ))?;
            }
        }
        let mut at = left;
        for name in &names {
            area.draw(&Rectangle::new([(at, y(rows) + 32), (at + 12, y(rows) + 44)], colour(name).filled()))?;
            area.draw(&Text::new(name.clone(), (at + 16, y(rows) + 32), small.clone()))?;
            at += 50;
            if at > right - 260 {
                break;
            }
        }
        let legend = "red: a fault; black dot: an effect that came late and was refused";
        area.draw(&Text::new(legend, (left, y(rows) + 50), small))?;
        area.present()?;
    }
    Ok(svg)
}
