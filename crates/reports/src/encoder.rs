//! Encoder for the reports that a server sends on one connection to a control service.

use crate::compact::{
    CompactClassLoad, CompactReport, FormatOffer, NamedCustomer, NamedProduct, Rates, COMPACT_FORMAT,
};
use crate::{ClassLoad, LoadSample, ServerIdentity};
use serde::Serialize;
use std::time::Duration;

/// Bytes per second of a server's reports to all control services. Leases and configuration use the rest of the control budget.
const REPORT_BYTES_PER_SECOND: f64 = 10_000.0;
/// Maximum length of a format offer, bytes.
const MAX_OFFER_BYTES: usize = 256;
/// Bytes of the field names of a compact report's lists and of its `rest`, without their content.
const LIST_OVERHEAD_BYTES: usize = 96;

/// Returns the maximum size in bytes of a report, for a server that reports to `services` control services every `interval`.
pub fn max_report_bytes(services: usize, interval: Duration) -> usize {
    (REPORT_BYTES_PER_SECOND * interval.as_secs_f64() / services.max(1) as f64) as usize
}

/// State of the service's format offer.
#[derive(Debug)]
enum Offer {
    /// The line is incomplete; holds the bytes received so far.
    Awaited(Vec<u8>),
    /// The service reads compact reports.
    Compact,
    /// The service reads full reports only.
    Full,
}

/// Encoder for the reports of one connection. The first report is full; later ones are compact if the service offers to
/// read them. If a line is not sent completely, the connection must be closed and the encoder discarded.
#[derive(Debug)]
pub struct ReportEncoder {
    offer: Offer,
    /// Whether a full report was encoded.
    full_report_sent: bool,
    /// By index of the product: whether its name was sent.
    sent_products: Vec<bool>,
    /// By index of the customer: whether its name was sent.
    sent_customers: Vec<bool>,
}

impl ReportEncoder {
    /// Creates an encoder for a new connection.
    pub fn new(identity: &ServerIdentity) -> ReportEncoder {
        ReportEncoder {
            offer: Offer::Awaited(Vec::new()),
            full_report_sent: false,
            sent_products: vec![false; identity.products.len()],
            sent_customers: vec![false; identity.customers.len()],
        }
    }

    /// Processes bytes received from the service.
    pub fn receive(&mut self, bytes: &[u8]) {
        let Offer::Awaited(line) = &mut self.offer else { return };
        let remaining = (MAX_OFFER_BYTES + 1).saturating_sub(line.len());
        line.extend_from_slice(&bytes[..bytes.len().min(remaining)]);
        let end = line.iter().position(|byte| *byte == b'\n');
        if let Some(end) = end {
            self.offer = read_offer(&line[..end]);
        } else if line.len() > MAX_OFFER_BYTES {
            self.offer = Offer::Full;
        }
    }

    /// Returns whether the service's format offer is still incomplete.
    pub fn awaits_offer(&self) -> bool {
        matches!(self.offer, Offer::Awaited(_))
    }

    /// Encodes the next report as a line with its line end. A compact report takes at most `max_bytes`, or the size of
    /// its fields without classes if that is more. Classes are listed by most rejected, then most offered; the others
    /// are sent as a total.
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

    /// Returns a class's entry with the names not sent yet; none if an index is out of range.
    fn class_entry(&self, identity: &ServerIdentity, class: &ClassLoad) -> Option<ClassEntry> {
        let (product, customer) = (u32::try_from(class.product).ok()?, u32::try_from(class.customer).ok()?);
        let (product_sent, named_product) =
            (*self.sent_products.get(class.product)?, identity.products.get(class.product)?);
        let (customer_sent, customer_name) =
            (*self.sent_customers.get(class.customer)?, identity.customers.get(class.customer)?);
        let rates = Rates { offered: class.offered, rejected: class.rejected };
        let mut entry = ClassEntry {
            load: CompactClassLoad { product, customer, rates },
            product: (!product_sent)
                .then(|| NamedProduct(product, named_product.name.clone(), named_product.priority_weight)),
            customer: (!customer_sent).then(|| NamedCustomer(customer, customer_name.clone())),
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

/// A class to add to a report, with its new names.
struct ClassEntry {
    load: CompactClassLoad,
    product: Option<NamedProduct>,
    customer: Option<NamedCustomer>,
    /// Encoded size in bytes.
    bytes: usize,
}

fn read_offer(line: &[u8]) -> Offer {
    match serde_json::from_slice::<FormatOffer>(line) {
        Ok(offer) if offer.report_formats.contains(&COMPACT_FORMAT) => Offer::Compact,
        _ => Offer::Full,
    }
}

/// Builds a compact report without classes.
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

/// Encodes a value as JSON. The values of this crate have string keys only, so encoding does not fail.
fn encoded(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn encoded_length(value: &impl Serialize) -> usize {
    encoded(value).len()
}

/// Returns the encoded size of a list element in bytes, including a comma.
fn element_length(element: &impl Serialize) -> usize {
    encoded_length(element) + 1
}
