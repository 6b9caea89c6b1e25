//! What a server sends on one connection to a control service, from the first report to the end of the connection.

use crate::compact::{
    CompactClassLoad, CompactReport, FormatOffer, NamedCustomer, NamedProduct, Rates, COMPACT_FORMAT,
};
use crate::{ClassLoad, LoadSample, ServerIdentity};
use serde::Serialize;
use std::time::Duration;

/// Bytes a second of all reports of one server to all control services: of the 12,000 that the operators give a server for
/// control, the rest is for leases and configuration.
const REPORT_BYTES_PER_SECOND: f64 = 10_000.0;
/// Longest offer of formats, in bytes.
const MAX_OFFER_BYTES: usize = 256;
/// Bytes of the names of a compact report's lists and of its `rest`, beside what is in them.
const LIST_OVERHEAD_BYTES: usize = 96;

/// Bytes of one report at the most, if a server reports to so many control services after each `interval`.
pub fn max_report_bytes(services: usize, interval: Duration) -> usize {
    (REPORT_BYTES_PER_SECOND * interval.as_secs_f64() / services.max(1) as f64) as usize
}

/// What the service at the other end has said that it reads.
#[derive(Debug)]
enum Offer {
    /// Its line has not ended; the bytes so far.
    Awaited(Vec<u8>),
    /// It reads compact reports.
    Compact,
    /// It reads full reports only.
    Full,
}

/// Writes the reports of one connection. The first is full; those after it are compact if the service has offered to read that.
/// Once a line could not be sent whole, the connection ends and the encoder with it.
#[derive(Debug)]
pub struct ReportEncoder {
    offer: Offer,
    /// A full report was written.
    full_report_sent: bool,
    /// Which products and customers the service was told the names of.
    sent_products: Vec<bool>,
    sent_customers: Vec<bool>,
}

impl ReportEncoder {
    /// An encoder for a new connection.
    pub fn new(identity: &ServerIdentity) -> ReportEncoder {
        ReportEncoder {
            offer: Offer::Awaited(Vec::new()),
            full_report_sent: false,
            sent_products: vec![false; identity.products.len()],
            sent_customers: vec![false; identity.customers.len()],
        }
    }

    /// Takes bytes that the service sent.
    pub fn receive(&mut self, bytes: &[u8]) {
        let Offer::Awaited(line) = &mut self.offer else { return };
        let capacity = (MAX_OFFER_BYTES + 1).saturating_sub(line.len());
        line.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
        let end = line.iter().position(|byte| *byte == b'\n');
        if let Some(end) = end {
            self.offer = read_offer(&line[..end]);
        } else if line.len() > MAX_OFFER_BYTES {
            self.offer = Offer::Full;
        }
    }

    /// Whether bytes of the service still matter.
    pub fn awaits_offer(&self) -> bool {
        matches!(self.offer, Offer::Awaited(_))
    }

    /// The next report as a line, with its end. A compact one takes `max_bytes` at the most, or what its figures alone take if that is
    /// more; it names what was rejected most, then what was offered most, and tells in sum what has no room.
    pub fn line(
        &mut self,
        identity: &ServerIdentity,
        sample: &LoadSample,
        sequence: u64,
        created_at: f64,
        max_bytes: usize,
    ) -> String {
        if !self.full_report_sent || !matches!(self.offer, Offer::Compact) {
            self.full_report_sent = true;
            return identity.report_line(sample, sequence, created_at);
        }
        let mut report = report_without_classes(identity, sample, sequence, created_at);
        let remaining_bytes = max_bytes.saturating_sub(encoded_length(&report) + LIST_OVERHEAD_BYTES);
        self.add_classes(identity, sample, remaining_bytes, &mut report);
        let mut line = encoded(&report);
        line.push('\n');
        line
    }

    fn add_classes(
        &mut self,
        identity: &ServerIdentity,
        sample: &LoadSample,
        mut remaining_bytes: usize,
        report: &mut CompactReport,
    ) {
        for index in sample.indices_by_load() {
            let class = &sample.classes[index];
            let entry = self.class_entry(identity, class);
            match entry.filter(|entry| entry.bytes <= remaining_bytes) {
                Some(entry) => {
                    remaining_bytes -= entry.bytes;
                    self.mark_names_sent(&entry);
                    report.load.push(entry.load);
                    report.products.extend(entry.product);
                    report.customers.extend(entry.customer);
                }
                None => {
                    report.rest.offered += class.offered;
                    report.rest.rejected += class.rejected;
                }
            }
        }
    }

    /// A class with the names that the service does not know yet; none where an index is out of range.
    fn class_entry(&self, identity: &ServerIdentity, class: &ClassLoad) -> Option<ClassEntry> {
        let (product, customer) = (u32::try_from(class.product).ok()?, u32::try_from(class.customer).ok()?);
        let (known_product, name) =
            (*self.sent_products.get(class.product)?, identity.products.get(class.product)?);
        let (known_customer, customer_name) =
            (*self.sent_customers.get(class.customer)?, identity.customers.get(class.customer)?);
        let rates = Rates { offered: class.offered, rejected: class.rejected };
        let mut entry = ClassEntry {
            load: CompactClassLoad { product, customer, rates },
            product: (!known_product).then(|| NamedProduct(product, name.name.clone(), name.priority_weight)),
            customer: (!known_customer).then(|| NamedCustomer(customer, customer_name.clone())),
            bytes: 0,
        };
        let name_bytes = entry.product.as_ref().map_or(0, element_length)
            + entry.customer.as_ref().map_or(0, element_length);
        entry.bytes = element_length(&entry.load) + name_bytes;
        Some(entry)
    }

    fn mark_names_sent(&mut self, entry: &ClassEntry) {
        self.sent_products[entry.load.product as usize] = true;
        self.sent_customers[entry.load.customer as usize] = true;
    }
}

/// A class on its way into a report.
struct ClassEntry {
    load: CompactClassLoad,
    product: Option<NamedProduct>,
    customer: Option<NamedCustomer>,
    /// What it takes in the report.
    bytes: usize,
}

fn read_offer(line: &[u8]) -> Offer {
    match serde_json::from_slice::<FormatOffer>(line) {
        Ok(offer) if offer.report_formats.contains(&COMPACT_FORMAT) => Offer::Compact,
        _ => Offer::Full,
    }
}

/// A report without its classes.
fn report_without_classes(
    identity: &ServerIdentity,
    sample: &LoadSample,
    sequence: u64,
    created_at: f64,
) -> CompactReport {
    CompactReport {
        format: COMPACT_FORMAT,
        sequence,
        created_at,
        concurrency_limit: sample.reported_limit(),
        in_flight: sample.in_flight as f64,
        service_time: sample.service_time,
        pressure: sample.pressure,
        retry_after: sample.retry_after,
        healthy: sample.healthy,
        terminates_in: sample.terminates_in,
        warm_up_progress: identity.warm_up_progress(created_at),
        goodput: sample.goodput,
        products: Vec::new(),
        customers: Vec::new(),
        load: Vec::new(),
        rest: Rates::default(),
    }
}

/// The JSON of a value. Values of this crate always have one: their figures are numbers, and their keys are strings.
fn encoded(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn encoded_length(value: &impl Serialize) -> usize {
    encoded(value).len()
}

/// Bytes of an element of a list, with the comma behind it.
fn element_length(element: &impl Serialize) -> usize {
    encoded_length(element) + 1
}
