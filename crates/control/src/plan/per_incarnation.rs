//! Memory of each server that ends with its process.

use crate::report::LoadReport;
use std::collections::{HashMap, HashSet};

/// A value for each server, forgotten when another process takes over the server's name.
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
    /// The value of the process that sent the report.
    pub(super) fn get(&self, report: &LoadReport) -> Option<T> {
        let entry = self.0.get(&report.instance)?;
        (entry.incarnation == report.incarnation).then_some(entry.value)
    }

    /// Remembers a value for the process that sent the report.
    pub(super) fn insert(&mut self, report: &LoadReport, value: T) {
        let entry = Entry { incarnation: report.incarnation, value };
        self.0.insert(report.instance.clone(), entry);
    }

    /// Forgets all servers but those named.
    pub(super) fn retain(&mut self, instances: &HashSet<&str>) {
        self.0.retain(|instance, _| instances.contains(instance.as_str()));
    }
}
