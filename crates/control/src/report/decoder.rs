//! Decoder for the reports of one connection: full reports, and compact reports that refer to the last full report.

use super::{ClassLoad, LoadReport, MAX_NAME_BYTES};
use puffinladder_reports::compact::{
    CompactClassLoad, CompactReport, NamedCustomer, NamedProduct, Rates, COMPACT_FORMAT, FULL_FORMAT,
};
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of a product or customer on one connection: bounds memory.
const MAX_NAME_NUMBER: u32 = 65_535;
/// Maximum number of names stored for all connections; classes with further names are counted as unnamed.
const MAX_NAMES: usize = 1 << 20;

/// Error of decoding a line.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The line is not a valid report.
    #[error("cannot parse load report: {0}")]
    Json(#[from] serde_json::Error),
    /// The report is in a format that was not offered.
    #[error("load report has format {0}, expected {FULL_FORMAT} or {COMPACT_FORMAT}")]
    UnknownFormat(u32),
    /// A compact report was received before any full report.
    #[error("compact load report received before a full report")]
    NoFullReport,
    /// A product or customer has a number that is out of range or a name that is too long.
    #[error("product or customer of a compact report has a number over {MAX_NAME_NUMBER} or a name over {MAX_NAME_BYTES} bytes")]
    Name,
}

/// Table of interned names, shared by all connections.
#[derive(Clone, Debug, Default)]
pub struct NameTable(Arc<Mutex<Names>>);

#[derive(Debug, Default)]
struct Names {
    ids: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl NameTable {
    fn lock(&self) -> MutexGuard<'_, Names> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Names {
    /// Returns the id of a name; none if the table is full.
    fn intern(&mut self, name: &str) -> Option<u32> {
        if let Some(id) = self.ids.get(name) {
            return Some(*id);
        }
        if self.names.len() >= MAX_NAMES {
            return None;
        }
        let (id, name) = (self.names.len() as u32, Arc::<str>::from(name));
        self.names.push(name.clone());
        self.ids.insert(name, id);
        Some(id)
    }

    fn get(&self, id: u32) -> &str {
        &self.names[id as usize]
    }
}

/// A product named on a connection.
#[derive(Clone, Copy, Debug)]
struct KnownProduct {
    name: u32,
    priority_weight: f64,
}

/// Decoder for the reports of one connection.
#[derive(Debug)]
pub struct ReportDecoder {
    names: NameTable,
    /// Last full report, without its classes.
    last_full_report: Option<LoadReport>,
    /// Products by their numbers on the connection.
    products: Vec<Option<KnownProduct>>,
    /// Interned names of customers by their numbers on the connection.
    customers: Vec<Option<u32>>,
}

/// The field of a report that identifies its format.
#[derive(Deserialize)]
struct FormatProbe {
    #[serde(default = "full_format")]
    format: u32,
}

fn full_format() -> u32 {
    FULL_FORMAT
}

impl ReportDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(names: NameTable) -> ReportDecoder {
        ReportDecoder { names, last_full_report: None, products: Vec::new(), customers: Vec::new() }
    }

    /// Decodes the report in a line.
    pub fn decode(&mut self, line: &str) -> Result<LoadReport, DecodeError> {
        let FormatProbe { format } = serde_json::from_str(line)?;
        match format {
            FULL_FORMAT => self.decode_full(line),
            COMPACT_FORMAT => self.decode_compact(serde_json::from_str(line)?),
            other => Err(DecodeError::UnknownFormat(other)),
        }
    }

    fn decode_full(&mut self, line: &str) -> Result<LoadReport, DecodeError> {
        let report: LoadReport = serde_json::from_str(line)?;
        self.last_full_report = Some(LoadReport { classes: Vec::new(), ..report.clone() });
        Ok(report)
    }

    fn decode_compact(&mut self, compact: CompactReport) -> Result<LoadReport, DecodeError> {
        let last_full_report = self.last_full_report.clone().ok_or(DecodeError::NoFullReport)?;
        self.add_names(&compact.products, &compact.customers)?;
        Ok(LoadReport {
            sequence: compact.sequence,
            created_at: compact.created_at,
            concurrency_limit: compact.concurrency_limit,
            in_flight: compact.in_flight,
            service_time: compact.service_time,
            pressure: compact.pressure,
            retry_after: compact.retry_after,
            healthy: compact.healthy,
            terminates_in: compact.terminates_in,
            warm_up_progress: compact.warm_up_progress,
            goodput: compact.goodput,
            classes: self.classes(&compact.load, compact.rest),
            ..last_full_report
        })
    }

    fn add_names(
        &mut self,
        products: &[NamedProduct],
        customers: &[NamedCustomer],
    ) -> Result<(), DecodeError> {
        let mut names = self.names.lock();
        for NamedProduct(number, name, priority_weight) in products {
            let interned = intern_checked(&mut names, *number, name)?;
            let interned = interned.map(|name| KnownProduct { name, priority_weight: *priority_weight });
            set_at(&mut self.products, *number, interned);
        }
        for NamedCustomer(number, name) in customers {
            let interned = intern_checked(&mut names, *number, name)?;
            set_at(&mut self.customers, *number, interned);
        }
        Ok(())
    }

    /// Returns the load by class. Load with unknown names and the report's remainder form one unnamed class, so that
    /// totals are exact.
    fn classes(&self, load: &[CompactClassLoad], mut unnamed: Rates) -> Vec<ClassLoad> {
        let names = self.names.lock();
        let mut classes = Vec::with_capacity(load.len() + 1);
        for class in load {
            let product = self.products.get(class.product as usize).copied().flatten();
            let customer = self.customers.get(class.customer as usize).copied().flatten();
            match (product, customer) {
                (Some(product), Some(customer)) => classes.push(ClassLoad {
                    product: names.get(product.name).to_owned(),
                    customer: names.get(customer).to_owned(),
                    priority_weight: product.priority_weight,
                    offered: class.rates.offered,
                    rejected: class.rates.rejected,
                }),
                _ => {
                    unnamed.offered += class.rates.offered;
                    unnamed.rejected += class.rates.rejected;
                }
            }
        }
        if unnamed != Rates::default() {
            classes.push(ClassLoad::unnamed(unnamed.offered, unnamed.rejected));
        }
        classes
    }
}

fn intern_checked(names: &mut Names, number: u32, name: &str) -> Result<Option<u32>, DecodeError> {
    if number > MAX_NAME_NUMBER || name.len() > MAX_NAME_BYTES {
        return Err(DecodeError::Name);
    }
    Ok(names.intern(name))
}

fn set_at<T: Clone>(list: &mut Vec<Option<T>>, number: u32, value: Option<T>) {
    let index = number as usize;
    if list.len() <= index {
        list.resize(index + 1, None);
    }
    list[index] = value;
}
