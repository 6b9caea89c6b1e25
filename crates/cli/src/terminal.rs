//! Errors of commands, progress bars, and reports of damage on standard error.

use indicatif::{ProgressBar, ProgressStyle};
use puffinladder_trace::open::Damage;
use puffinladder_trace::TraceError;
use std::io;

/// Reason for which a command ended early.
pub enum CommandError {
    /// The reader of standard output closed its end; the command exits with success.
    OutputClosed,
    /// Failure at run time; exit status 1.
    Failed(String),
    /// Invalid command line, settings or expression; exit status 2.
    Usage(String),
}

impl From<io::Error> for CommandError {
    fn from(e: io::Error) -> CommandError {
        match e.kind() {
            io::ErrorKind::BrokenPipe => CommandError::OutputClosed,
            _ => CommandError::Failed(e.to_string()),
        }
    }
}

impl From<TraceError> for CommandError {
    fn from(error: TraceError) -> CommandError {
        match error {
            TraceError::Io(e) => e.into(),
            error => CommandError::Failed(error.to_string()),
        }
    }
}

impl CommandError {
    /// Puts the name of the affected file or object before the message of a failure.
    pub fn with_context(self, name: &str) -> CommandError {
        match self {
            CommandError::Failed(message) => CommandError::Failed(format!("{name}: {message}")),
            other => other,
        }
    }
}

/// Result of a command.
pub type CommandResult<T = ()> = Result<T, CommandError>;

/// Returns a progress bar, hidden if standard error is no terminal.
pub fn progress_bar(label: &str) -> ProgressBar {
    let bar = ProgressBar::new(0);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {percent}% {eta}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(label.to_owned());
    bar
}

/// Returns a callback that takes the completed and total steps, and clears the bar on completion.
pub fn progress_callback(bar: &ProgressBar) -> impl FnMut(usize, usize) + '_ {
    |completed, total| {
        bar.set_length(total as u64);
        bar.set_position(completed as u64);
        if completed == total {
            bar.finish_and_clear();
        }
    }
}

/// Prints the unreadable byte ranges of a trace to standard error.
pub fn print_damage(name: &str, ranges: &[Damage]) {
    for range in ranges {
        let rows = range.rows.map_or(String::new(), |rows| format!(", {rows} records lost"));
        eprintln!(
            "puffinladder: {name}: bytes {} to {}: {}{rows}",
            range.offset,
            range.offset + range.len,
            range.problem
        );
    }
}
