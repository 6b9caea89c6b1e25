//! Parsing and formatting of numbers with units.

/// A unit of a quantity.
#[derive(Clone, Copy)]
pub(super) struct Unit {
    /// Suffix of the number.
    name: &'static str,
    /// Size in the base unit, which is the first of its list.
    size: f64,
}

const fn unit(name: &'static str, size: f64) -> Unit {
    Unit { name, size }
}

/// A number without a unit.
pub(super) const UNITLESS: &[Unit] = &[unit("", 1.0)];
/// Units of time, in seconds.
pub(super) const DURATION: &[Unit] =
    &[unit("s", 1.0), unit("ms", 1e-3), unit("us", 1e-6), unit("m", 60.0), unit("h", 3600.0)];
/// Units of size, in bytes.
pub(super) const BYTES: &[Unit] =
    &[unit("B", 1.0), unit("KB", 1024.0), unit("MB", 1_048_576.0), unit("GB", 1_073_741_824.0)];

/// Parses a number with its unit and returns its value in the base unit.
pub(super) fn parse_quantity(word: &str, units: &[Unit]) -> Option<f64> {
    let end = word.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(word.len());
    let (number, name) = word.split_at(end);
    let unit = units.iter().find(|unit| unit.name == name)?;
    let value = number.parse::<f64>().ok()? * unit.size;
    value.is_finite().then_some(value)
}

/// Formats a value in the largest unit that does not exceed it, or else in the base unit.
pub(super) fn format_quantity(value: f64, units: &[Unit]) -> String {
    let base = units[0];
    let fits = |unit: &&Unit| value >= unit.size || unit.size == base.size;
    let largest = units.iter().filter(fits).max_by(|a, b| a.size.total_cmp(&b.size)).unwrap_or(&base);
    format!("{}{}", value / largest.size, largest.name)
}
