//! What emulated servers, callers, customers and products are called, by their numbers. Names don't depend on the seed, since the
//! settings of workers and servers have them too.

use std::net::{Ipv4Addr, SocketAddr};

const ADJECTIVES: [&str; 16] = [
    "amber", "basalt", "cobalt", "delta", "ember", "fathom", "granite", "harbor", "indigo", "juniper",
    "kelp", "lantern", "meridian", "northern", "opal", "pelican",
];
const BUSINESSES: [&str; 12] = [
    "books",
    "clinics",
    "freight",
    "grocers",
    "hotels",
    "logistics",
    "markets",
    "payments",
    "rentals",
    "studios",
    "tickets",
    "utilities",
];
const OPERATIONS: [&str; 10] = [
    "authorize",
    "availability",
    "booking",
    "checkout",
    "invoice",
    "lookup",
    "pricing",
    "quote",
    "search",
    "settlement",
];

/// The port that servers say they listen on.
const SERVER_PORT: u16 = 4100;

/// Name of a customer.
pub fn customer(number: usize) -> String {
    let adjective = ADJECTIVES[number % ADJECTIVES.len()];
    let business = BUSINESSES[number / ADJECTIVES.len() % BUSINESSES.len()];
    format!("{adjective}-{business}-{number:05}")
}

/// Name of a product.
pub fn product(number: usize) -> String {
    let operation = OPERATIONS[number % OPERATIONS.len()];
    let business = BUSINESSES[number / OPERATIONS.len() % BUSINESSES.len()];
    let version = 1 + number / (OPERATIONS.len() * BUSINESSES.len());
    format!("{business}-{operation}-v{version}")
}

/// Name of a server, and the address that it reports; nothing listens there.
pub fn server(number: usize) -> (String, SocketAddr) {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    (format!("n{number:05}"), SocketAddr::from((Ipv4Addr::new(10, a, b, c), SERVER_PORT)))
}

/// Name of the zone of a server or caller, one of `zones`.
pub fn zone(number: usize, zones: usize) -> String {
    format!("zone-{}", 1 + number % zones.max(1))
}

/// Name of the service of a caller, one of `services`.
pub fn service(number: usize, services: usize) -> String {
    let number = number % services.max(1);
    let adjective = ADJECTIVES[number % ADJECTIVES.len()];
    let operation = OPERATIONS[number / ADJECTIVES.len() % OPERATIONS.len()];
    format!("{adjective}-{operation}-{number:03}")
}
