//! Settings beyond the platform's configuration. Each section is optional; without its section a feature is off.

mod control;
mod fields;
mod format;
mod lease_store;
mod log;
mod publish;
mod trace;
mod trace_store;
mod worker;

pub use control::{ControlSettings, TlsFiles};
pub use lease_store::{LeaseStoreSettings, TaskSettings};
pub use log::{LogFormat, LogSettings};
pub use publish::PublishSettings;
pub use trace::TraceSettings;
pub use trace_store::TraceStoreSettings;
pub use worker::{DrainSlotSettings, QuotaSettings, TraceCollectionSettings, WorkerSettings};

use crate::sexpr::{Diagnostic, Reader};
use std::fmt;
use thiserror::Error;

/// All sections of a settings file. The displayed text includes defaults and parses to an equal value.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Settings {
    /// Format and filter of the log. Section `log`.
    pub log: LogSettings,
    /// The recorder of request traces. Section `trace`.
    pub trace: Option<TraceSettings>,
    /// The server's reports to the control services. Section `publish`.
    pub publish: Option<PublishSettings>,
    /// The control service. Section `control`.
    pub control: Option<ControlSettings>,
    /// A replica of the lease store. Section `keeper`.
    pub lease_store: Option<LeaseStoreSettings>,
    /// A worker, which runs leased tasks. Section `steward`.
    pub worker: Option<WorkerSettings>,
    /// The store of collected traces. Section `archive`.
    pub trace_store: Option<TraceStoreSettings>,
}

/// All problems of a settings file. It displays as one line for each problem.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_lines(.diagnostics))]
pub struct SettingsError {
    diagnostics: Vec<Diagnostic>,
}

impl SettingsError {
    /// Returns the problems in the order of the file; there is at least one.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }
}

fn join_lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Parses a settings file; `file` is its name in diagnostics.
///
/// # Errors
///
/// Returns all problems of the file, not only the first.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let reader = Reader::new(file, text);
    let forms = reader.parse();
    let top = reader.top_level(&forms);
    let settings = Settings {
        log: top.block("log").as_ref().map(LogSettings::read).unwrap_or_default(),
        trace: top.block("trace").as_ref().map(TraceSettings::read),
        publish: top.block("publish").as_ref().map(PublishSettings::read),
        control: top.block("control").as_ref().map(ControlSettings::read),
        lease_store: top.block("keeper").as_ref().map(LeaseStoreSettings::read),
        worker: top.block("steward").as_ref().map(WorkerSettings::read),
        trace_store: top.block("archive").as_ref().map(TraceStoreSettings::read),
    };
    top.finish();
    let diagnostics = reader.into_diagnostics();
    if diagnostics.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError { diagnostics })
    }
}

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{}", self.log)?;
        match &self.trace {
            None => f.write_str("; trace: off\n")?,
            Some(trace) => writeln!(f, "{trace}")?,
        }
        match &self.publish {
            None => f.write_str("; publish: off\n")?,
            Some(publish) => writeln!(f, "{publish}")?,
        }
        match &self.control {
            None => f.write_str("; control: off\n")?,
            Some(control) => writeln!(f, "{control}")?,
        }
        // Sections of other processes are displayed only if present.
        if let Some(lease_store) = &self.lease_store {
            writeln!(f, "{lease_store}")?;
        }
        if let Some(worker) = &self.worker {
            writeln!(f, "{worker}")?;
        }
        if let Some(trace_store) = &self.trace_store {
            writeln!(f, "{trace_store}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
