//! Units of the page's figures, and how these are written.

/// What a figure is measured in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Processors kept busy.
    Cores,
    /// Bytes held.
    Bytes,
    /// Bytes a second.
    BytesASecond,
    /// Seconds.
    Seconds,
    /// A number of things.
    Count,
}

/// Three digits that count, thousands apart.
pub fn number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return if value == 0.0 { "0".into() } else { "beyond all numbers".into() };
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits <= 0 {
        let step = 10f64.powi(-digits);
        let whole = ((value / step).round() * step).to_string();
        let mut told = String::new();
        for (at, c) in whole.chars().enumerate() {
            if at > 0 && (whole.len() - at).is_multiple_of(3) {
                told.push(',');
            }
            told.push(c);
        }
        return told;
    }
    let told = format!("{value:.*}", digits.clamp(0, 300) as usize);
    told.trim_end_matches('0').trim_end_matches('.').to_owned()
}

fn bytes(value: f64) -> String {
    let units = [("GB", (1u64 << 30) as f64), ("MB", 1_048_576.0), ("KB", 1024.0)];
    match units.iter().find(|(_, size)| value >= *size) {
        Some((name, size)) => format!("{} {name}", number(value / size)),
        None => format!("{} B", number(value)),
    }
}

/// A figure with its unit, as the page has it.
pub fn show(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Cores => format!("{} cores", number(value)),
        Unit::Bytes => bytes(value),
        Unit::BytesASecond => format!("{}/s", bytes(value)),
        Unit::Seconds if value >= 1e8 => "never".into(),
        Unit::Seconds if value >= 1.0 || value == 0.0 => format!("{} s", number(value)),
        Unit::Seconds if value >= 1e-3 => format!("{} ms", number(value * 1e3)),
        Unit::Seconds => format!("{} µs", number(value * 1e6)),
        Unit::Count => number(value),
    }
}
