//! Per-server state that is discarded when the server's process restarts.

use crate::report::LoadReport;
use std::collections::{HashMap, HashSet};

/// Map from server name to a value that is valid for one incarnation.
#[derive(Debug)]
pub(super) struct PerIncarnation<T>(HashMap<String, Entry<T>>);

#[derive(Debug)]
struct Entry<T> {
    incarnation: u64,
    value: T,
}

impl<T> Default for PerIncarnation<T> {
    fn default() -> PerIncarnation<T> {
        PerIncarnation(HashMap::new())
    }
}

impl<T: Copy> PerIncarnation<T> {
    /// Returns the value stored for the process that sent the report.
    pub(super) fn get(&self, report: &LoadReport) -> Option<T> {
        let entry = self.0.get(&report.instance)?;
        (entry.incarnation == report.incarnation).then_some(entry.value)
    }

    /// Stores a value for the process that sent the report.
    pub(super) fn insert(&mut self, report: &LoadReport, value: T) {
        let entry = Entry { incarnation: report.incarnation, value };
        self.0.insert(report.instance.clone(), entry);
    }

    /// Removes the values of all other servers.
    pub(super) fn retain(&mut self, instances: &HashSet<&str>) {
        self.0.retain(|instance, _| instances.contains(instance.as_str()));
    }
}
