//! How a cost grows along one dimension, and how well that is known.
//!
//! A series is what was measured at several sizes of one dimension while all others were held. Its largest size is
//! left out, each shape is fitted to the rest, and what it says of the left-out size is held against what was
//! measured there: that is the error which the page gives. A shape that only passes through its own points proves
//! nothing, since three points lie near many curves.
//!
//! **Which shape is taken.** A shape holds if its prediction is off by [`WRONG`] at the most, and not by more than twice
//! what the best shape is off by, where errors under the noise count as none. The simplest that holds is
//! taken: constant before linear before n·log n before n². By the first half alone a curve that bends would be called
//! linear as long as its bend stays under a quarter, and a slow rise constant; by the second alone noise would choose
//! between shapes. Where more than one holds the points can't tell them apart, and the span of a figure takes in what
//! each of them says. If none holds the shape is unknown, which is said and not papered over.
//!
//! **Errors are relative**, so that the smallest size counts as much as the largest. A value near nothing has no
//! relative error worth the name: under a thousandth of the series' largest value, or under what the measure can
//! resolve at all (a tick of a processor clock, one message), errors count against that floor instead.
//!
//! The figures come from a second fit, over all points. A cost that falls along a dimension is taken to fall no
//! further than was measured.

use crate::point::Point;
use std::collections::BTreeMap;

/// A prediction that is off by more than this is wrong.
pub const WRONG: f64 = 0.25;
/// Noise of a measure where nothing was measured twice, as a share.
const NOISE: f64 = 0.05;
/// And where repeats show less, nothing below this counts as noise-free.
const LEAST_NOISE: f64 = 0.01;
/// Sizes that a series needs.
pub const LEAST_SIZES: usize = 3;

/// How a cost grows with n.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shape {
    Constant,
    Linear,
    NLogN,
    Quadratic,
    Unknown,
}

/// The simplest first.
pub const SHAPES: [Shape; 4] = [Shape::Constant, Shape::Linear, Shape::NLogN, Shape::Quadratic];

impl Shape {
    /// What a step of the slope stands for.
    pub fn grow(self, n: f64) -> f64 {
        match self {
            Shape::Constant | Shape::Unknown => 0.0,
            Shape::Linear => n,
            Shape::NLogN => n * n.max(1.0).ln(),
            Shape::Quadratic => n * n,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Shape::Constant => "constant",
            Shape::Linear => "linear",
            Shape::NLogN => "n·log n",
            Shape::Quadratic => "n²",
            Shape::Unknown => "unknown",
        }
    }
}

/// A shape with its figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Law {
    pub shape: Shape,
    pub a: f64,
    pub b: f64,
    /// Largest size that was measured.
    pub top: f64,
}

impl Law {
    /// What it says at a size; never below nothing, and no further fall than was measured.
    pub fn at(&self, n: f64) -> f64 {
        let n = if self.b < 0.0 { n.min(self.top) } else { n };
        (self.a + self.b * self.shape.grow(n)).max(0.0)
    }
}

/// Points of one role along one dimension, all others held.
#[derive(Clone, Debug)]
pub struct Series<'p> {
    pub role: &'p str,
    pub varied: &'p str,
    pub held: BTreeMap<&'p str, f64>,
    pub points: Vec<&'p Point>,
}

/// All series there are, in a stable order.
pub fn series(points: &[Point]) -> Vec<Series<'_>> {
    type Key<'p> = (&'p str, &'p str, Vec<(&'p str, u64)>);
    let mut found: BTreeMap<Key, Vec<&Point>> = BTreeMap::new();
    for point in points {
        let held = point.sizes.iter().filter(|(key, _)| **key != point.varied);
        // 0.0 and -0.0 differ in their bits only.
        let held = held.map(|(key, value)| (key.as_str(), (value + 0.0).to_bits())).collect();
        found.entry((&point.role, &point.varied, held)).or_default().push(point);
    }
    let mut all = Vec::with_capacity(found.len());
    for ((role, varied, held), mut points) in found {
        points.sort_by(|a, b| a.rank(b));
        let held = held.into_iter().map(|(key, bits)| (key, f64::from_bits(bits))).collect();
        all.push(Series { role, varied, held, points });
    }
    all
}

/// What one measure of a series comes to at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub size: f64,
    pub value: f64,
}

/// The least step that a measure can show.
pub fn resolution(measure: &str, span: f64) -> f64 {
    match measure {
        // The kernel counts processor time in ticks of 10 ms.
        "cpu" => 0.01 / span,
        "messages_sent" | "messages_received" | "syncs" => 1.0 / span,
        "descriptors" | "connections" => 1.0,
        "memory" => 4096.0,
        _ => 0.0,
    }
}

/// How a measure grows along a series.
#[derive(Clone, Debug)]
pub struct Fit {
    pub law: Law,
    /// How far the chosen shape was off at the left-out size, as a share of what was measured there; for an unknown
    /// shape how far the best was.
    pub error: f64,
    /// Relative scatter of repeats at one size; none if nothing was measured twice.
    pub scatter: Option<f64>,
    /// Relative scatter of the points round the final fit.
    pub residual: f64,
    /// All laws that hold, the chosen one among them.
    pub holding: Vec<Law>,
    /// What each shape was off by at the left-out size.
    pub tried: Vec<(Shape, f64)>,
    /// Distinct, rising.
    pub sizes: Vec<f64>,
}

impl Fit {
    /// The share by which a figure may be off where its prediction was tried.
    pub fn doubt(&self) -> f64 {
        self.error.max(self.scatter.unwrap_or(0.0)).max(self.residual)
    }
    pub fn top(&self) -> f64 {
        self.sizes.last().copied().unwrap_or(0.0)
    }
    /// How many times the next size the largest was: the stretch over which predicting was tried.
    pub fn stretch(&self) -> f64 {
        match self.sizes[..] {
            [.., next, top] if next > 0.0 => (top / next).max(1.0 + 1e-9),
            _ => f64::INFINITY,
        }
    }
}

/// The value that errors are counted against.
pub fn against(value: f64, floor: f64) -> f64 {
    value.abs().max(floor).max(f64::MIN_POSITIVE)
}

pub fn floor_of(values: impl Iterator<Item = f64>, resolution: f64) -> f64 {
    let floor = (values.fold(0.0, f64::max) * 1e-3).max(resolution);
    // Where all is nothing, any floor does that is not nothing itself.
    if floor > 0.0 {
        floor
    } else {
        1.0
    }
}

/// Least squares on the relative error; none where the rows can't tell the columns apart.
pub fn least_squares(rows: &[(Vec<f64>, f64)], floor: f64) -> Option<Vec<f64>> {
    let width = rows.first()?.0.len();
    // Columns of one size, else a square next to a constant can't be told from rounding.
    let mut scale = vec![0.0f64; width];
    for (row, _) in rows {
        for (scale, x) in scale.iter_mut().zip(row) {
            *scale = scale.max(x.abs());
        }
    }
    if scale.iter().any(|&scale| !(scale.is_finite() && scale > 0.0)) {
        return None;
    }
    let mut matrix = vec![vec![0.0; width + 1]; width];
    for (row, y) in rows {
        let weight = 1.0 / against(*y, floor);
        let row: Vec<f64> = row.iter().zip(&scale).map(|(x, scale)| x / scale * weight).collect();
        for (i, x) in row.iter().enumerate() {
            for (j, z) in row.iter().enumerate() {
                matrix[i][j] += x * z;
            }
            matrix[i][width] += x * y * weight;
        }
    }
    let size: Vec<f64> = (0..width).map(|i| matrix[i][i]).collect();
    for column in 0..width {
        let pivot =
            (column..width).max_by(|&i, &j| matrix[i][column].abs().total_cmp(&matrix[j][column].abs()))?;
        if !matrix[pivot][column].is_finite() || matrix[pivot][column].abs() <= 1e-10 * size[column] {
            return None;
        }
        matrix.swap(column, pivot);
        let top = matrix[column].clone();
        for row in matrix.iter_mut().skip(column + 1) {
            let factor = row[column] / top[column];
            row.iter_mut().zip(&top).for_each(|(x, y)| *x -= factor * y);
        }
    }
    let mut found = vec![0.0; width];
    for column in (0..width).rev() {
        let known: f64 = (column + 1..width).map(|j| matrix[column][j] * found[j]).sum();
        found[column] = (matrix[column][width] - known) / matrix[column][column];
    }
    found.iter_mut().zip(&scale).for_each(|(x, scale)| *x /= scale);
    found.iter().all(|x| x.is_finite()).then_some(found)
}

fn law(shape: Shape, samples: &[Sample], floor: f64) -> Option<Law> {
    let rows: Vec<(Vec<f64>, f64)> = samples
        .iter()
        .map(|sample| match shape {
            Shape::Constant => (vec![1.0], sample.value),
            _ => (vec![1.0, shape.grow(sample.size)], sample.value),
        })
        .collect();
    let found = least_squares(&rows, floor)?;
    let top = samples.iter().map(|sample| sample.size).fold(0.0, f64::max);
    Some(Law { shape, a: found[0], b: found.get(1).copied().unwrap_or(0.0), top })
}

/// Mean at one size.
fn mean(samples: &[Sample], size: f64) -> f64 {
    let here: Vec<f64> = samples.iter().filter(|s| s.size == size).map(|s| s.value).collect();
    here.iter().sum::<f64>() / here.len().max(1) as f64
}

/// Pooled relative scatter of what was measured more than once at one size.
fn scatter(samples: &[Sample], floor: f64) -> Option<f64> {
    let (mut sum, mut degrees) = (0.0, 0.0);
    let mut at: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for sample in samples {
        // Sizes are not negative, so that their bits stand for them.
        at.entry((sample.size + 0.0).to_bits()).or_default().push(sample.value);
    }
    for here in at.values() {
        let mean = here.iter().sum::<f64>() / here.len() as f64;
        sum += here.iter().map(|value| ((value - mean) / against(mean, floor)).powi(2)).sum::<f64>();
        degrees += here.len() as f64 - 1.0;
    }
    (degrees > 0.0).then(|| (sum / degrees).sqrt())
}

/// Errors of a prediction up to this much count as none: three standard deviations, where repeats show one.
pub fn noise(scatter: Option<f64>) -> f64 {
    scatter.map_or(NOISE, |scatter| (3.0 * scatter).max(LEAST_NOISE))
}

/// Of errors, by the rule at the top of this page, those that hold.
pub fn holds(error: f64, best: f64, noise: f64) -> bool {
    error <= WRONG && error <= (2.0 * best).max(noise)
}

/// Fits one measure of a series; none if it was taken at fewer than [`LEAST_SIZES`] sizes.
pub fn fit(samples: &[Sample], resolution: f64) -> Option<Fit> {
    let mut sizes: Vec<f64> = samples.iter().map(|sample| sample.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < LEAST_SIZES {
        return None;
    }
    let top = sizes[sizes.len() - 1];
    let floor = floor_of(samples.iter().map(|sample| sample.value), resolution);
    let rest: Vec<Sample> = samples.iter().filter(|sample| sample.size < top).cloned().collect();
    let measured = mean(samples, top);
    let mut tried = Vec::new();
    for shape in SHAPES {
        if let Some(law) = law(shape, &rest, floor) {
            // Not by `Law::at`: it would excuse a fall below nothing.
            let said = law.a + law.b * shape.grow(top);
            tried.push((shape, (said - measured).abs() / against(measured, floor)));
        }
    }
    let best = tried.iter().map(|(_, error)| *error).fold(f64::INFINITY, f64::min);
    let scatter = scatter(samples, floor);
    let noise = noise(scatter);
    let residual = |law: &Law| {
        let off = |s: &Sample| ((law.at(s.size) - s.value) / against(s.value, floor)).powi(2);
        (samples.iter().map(off).sum::<f64>() / samples.len() as f64).sqrt()
    };
    let keep = |(shape, error): &(Shape, f64)| {
        let law = law(*shape, samples, floor).filter(|law| residual(law) <= WRONG);
        law.filter(|_| holds(*error, best, noise))
    };
    let holding: Vec<Law> = tried.iter().filter_map(keep).collect();
    let unknown = Law { shape: Shape::Unknown, a: 0.0, b: 0.0, top };
    let chosen = holding.first().copied().unwrap_or(unknown);
    let error = tried.iter().find(|(shape, _)| *shape == chosen.shape).map_or(best, |(_, error)| *error);
    let residual = holding.first().map_or(0.0, residual);
    Some(Fit { law: chosen, error, scatter, residual, holding, tried, sizes })
}

impl Series<'_> {
    /// What was taken of a measure, and the coarsest step that it could show.
    pub fn samples(&self, measure: &str) -> (Vec<Sample>, f64) {
        let mut resolved = 0.0f64;
        let taken = self.points.iter().filter_map(|point| {
            let value = *point.measures.get(measure)?;
            resolved = resolved.max(resolution(measure, point.span));
            Some(Sample { size: *point.sizes.get(self.varied)?, value })
        });
        (taken.collect(), resolved)
    }

    pub fn fit(&self, measure: &str) -> Option<Fit> {
        let (samples, resolved) = self.samples(measure);
        fit(&samples, resolved)
    }
}

#[cfg(test)]
mod tests;
