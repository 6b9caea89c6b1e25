//! How the command line speaks: faults, progress, and output that somebody may stop reading.

use indicatif::{ProgressBar, ProgressStyle};
use puffinladder_trace::open::Damage;
use puffinladder_trace::TraceError;
use std::io;

/// Why a command ended early.
pub enum Wrong {
    /// Nobody reads what it prints any more: that is no fault.
    Quiet,
    /// It could not be done.
    Failed(String),
    /// What was asked is wrong.
    Asked(String),
}

impl From<io::Error> for Wrong {
    fn from(e: io::Error) -> Wrong {
        match e.kind() {
            io::ErrorKind::BrokenPipe => Wrong::Quiet,
            _ => Wrong::Failed(e.to_string()),
        }
    }
}

impl From<TraceError> for Wrong {
    fn from(fault: TraceError) -> Wrong {
        match fault {
            TraceError::Io(e) => e.into(),
            fault => Wrong::Failed(fault.to_string()),
        }
    }
}

impl Wrong {
    /// The same with what it is about before it.
    pub fn at(self, name: &str) -> Wrong {
        match self {
            Wrong::Failed(what) => Wrong::Failed(format!("{name}: {what}")),
            other => other,
        }
    }
}

pub type Done<T = ()> = Result<T, Wrong>;

/// A bar on the terminal, if standard error is one.
pub fn bar(what: &str) -> ProgressBar {
    let bar = ProgressBar::new(0);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {percent}% {eta}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(what.to_owned());
    bar
}

/// Moves a bar.
pub fn step(bar: &ProgressBar) -> impl FnMut(usize, usize) + '_ {
    |done, all| {
        bar.set_length(all as u64);
        bar.set_position(done as u64);
        if done == all {
            bar.finish_and_clear();
        }
    }
}

/// Names on standard error what could not be read.
pub fn damage(name: &str, all: &[Damage]) {
    for one in all {
        let rows = one.rows.map_or(String::new(), |rows| format!(", {rows} records with it"));
        eprintln!(
            "puffinladder: {name}: bytes {} to {}: {}{rows}",
            one.offset,
            one.offset + one.len,
            one.problem
        );
    }
}
