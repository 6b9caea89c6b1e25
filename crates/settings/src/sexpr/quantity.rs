//! Numbers with units.

/// A unit and its size in the first unit of its list.
pub(super) type Unit = (&'static str, f64);

/// A number without a unit.
pub(super) const PLAIN: &[Unit] = &[("", 1.0)];
/// Units of time, in seconds.
pub(super) const DURATION: &[Unit] = &[("s", 1.0), ("ms", 1e-3), ("us", 1e-6), ("m", 60.0), ("h", 3600.0)];
/// Units of size, in bytes.
pub(super) const BYTES: &[Unit] = &[("B", 1.0), ("KB", 1024.0), ("MB", 1_048_576.0), ("GB", 1_073_741_824.0)];

/// A number and its unit, in the first of the units.
pub(super) fn parse_quantity(word: &str, units: &[Unit]) -> Option<f64> {
    let end = word.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(word.len());
    let (number, unit) = word.split_at(end);
    let size = units.iter().find(|(name, _)| *name == unit)?.1;
    let value = number.parse::<f64>().ok()? * size;
    value.is_finite().then_some(value)
}

/// A value in the largest unit that it fills at least once, or in the first of the units where it fills none that is larger.
pub(super) fn format_quantity(value: f64, units: &[Unit]) -> String {
    let base = units[0];
    let fits = |unit: &&Unit| value >= unit.1 || unit.1 == base.1;
    let largest = units.iter().filter(fits).max_by(|a, b| a.1.total_cmp(&b.1));
    let (name, size) = largest.unwrap_or(&base);
    format!("{}{name}", value / size)
}
