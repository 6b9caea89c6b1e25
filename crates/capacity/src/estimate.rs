//! What one process of a role costs at a size: from fits along each dimension to a figure with its span of error.
//!
//! **Several dimensions.** Where a cost grows along two or more, the points of all its series are fitted together: a sum
//! of the dimensions' own growths, a product of two of them with the rest as a sum, both, a product of all. The
//! largest size of each dimension and the points at which most dimensions are largest are left out and predicted, and the
//! simplest form that holds is taken by the rule of [`crate::fit`]; of several with as many terms the one that says most.
//! Series that only cross at one point can't tell a sum with a product in it from a plain sum: the span then reaches
//! from the sum up to what a product would say, and it is said. A few points off the cross end that.
//!
//! **The span of error.** The error of the prediction (at least the scatter of repeats and of the final fit) is one
//! stretch's: from the second largest size to the largest. A figure that lies several such stretches further out has
//! that error for each; one below the smallest size is off by as much as the figure there may be. What the other forms and shapes say that hold as well is within the span too.
//!
//! **What is not known stays open.** A dimension that the role depends on and that was held or never set leaves a figure open
//! above, if the plan has more of it than was measured, or below, if less. Costs are taken not to fall as sizes
//! rise. A figure that is open above can break a budget but never keep one.

use crate::fit::{self, against, floor_of, holds, least_squares, noise, Fit, Series, Shape, WRONG};
use crate::point::{Point, Points, MEASURES};
use std::cell::RefCell;
use std::collections::BTreeMap;

pub type Sizes = BTreeMap<String, f64>;

/// Extrapolation beyond so many times the largest measured size is marked.
pub const FAR: f64 = 4.0;
/// Sizes that differ by less than this share are the same.
const SAME: f64 = 0.1;
/// A size at which something was measured counts as the plan's own within this share.
const EXACT: f64 = 0.02;

/// The dimensions that a role's cost may grow along, by how it is built. Which were not varied is said.
pub const DEPENDS: [(&str, &[&str]); 10] = [
    ("config", &["servers", "changes"]),
    ("server", &["requests", "customers", "routes"]),
    ("control", &["servers", "proxies", "customers", "routes"]),
    ("proxy", &["servers", "routes"]),
    ("keeper", &["instances", "parts"]),
    ("steward-quota", &["servers", "customers"]),
    ("steward-turns", &["servers"]),
    ("steward-gather", &["servers", "requests"]),
    ("archive", &["requests"]),
    ("module", &["requests", "customers", "routes"]),
];

pub fn depends(role: &str) -> &'static [&'static str] {
    DEPENDS.iter().find(|(name, _)| *name == role).map_or(&[], |(_, on)| on)
}

/// A figure and how far it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    pub low: f64,
    pub value: f64,
    pub high: f64,
    /// Why it may be above its span; empty if it is not.
    pub above: Vec<String>,
    pub below: Vec<String>,
    /// The form that the points were fitted to, in words.
    pub form: String,
    /// Error of the prediction.
    pub error: Option<f64>,
    /// How many times the largest measured size the plan's is, along the dimension where that is most.
    pub reach: f64,
    /// False where nothing at all stands behind it.
    pub known: bool,
}

impl Estimate {
    /// Nothing is known but why.
    pub fn nothing(why: impl Into<String>) -> Estimate {
        Estimate {
            low: 0.0,
            value: 0.0,
            high: 0.0,
            above: vec![why.into()],
            below: Vec::new(),
            form: String::new(),
            error: None,
            reach: 0.0,
            known: false,
        }
    }

    pub fn none() -> Estimate {
        Estimate { above: Vec::new(), known: true, ..Estimate::nothing("") }
    }

    /// The sum of none yet: it becomes known by the first that is.
    pub fn sum() -> Estimate {
        Estimate { known: false, ..Estimate::none() }
    }

    /// Several together: the spans add up, and what is open in one is open in the sum.
    pub fn plus(mut self, other: &Estimate) -> Estimate {
        self.low += other.low;
        self.value += other.value;
        self.high += other.high;
        for (mine, theirs) in [(&mut self.above, &other.above), (&mut self.below, &other.below)] {
            mine.extend(theirs.iter().filter(|why| !mine.contains(why)).cloned().collect::<Vec<_>>());
        }
        self.reach = self.reach.max(other.reach);
        self.known |= other.known;
        self
    }

    pub fn times(mut self, count: f64) -> Estimate {
        self.low *= count;
        self.value *= count;
        self.high *= count;
        self
    }

    pub fn far(&self) -> bool {
        self.reach > FAR
    }
}

/// One term of a form: a factor for each dimension in it.
type Term = Vec<(String, Shape)>;

fn worth(term: &Term, sizes: &BTreeMap<String, f64>) -> Option<f64> {
    term.iter().map(|(key, shape)| sizes.get(key).map(|n| shape.grow(*n))).product()
}

fn words(terms: &[Term]) -> String {
    let factor = |(key, shape): &(String, Shape)| match shape {
        Shape::NLogN => format!("{key}·log {key}"),
        Shape::Quadratic => format!("{key}²"),
        _ => key.clone(),
    };
    let term = |term: &Term| term.iter().map(factor).collect::<Vec<_>>().join("·");
    let letters = ["b", "c", "d", "e", "f", "g"];
    let told = terms.iter().enumerate().map(|(at, one)| format!(" + {}·{}", letters[at.min(5)], term(one)));
    format!("a{}", told.collect::<String>())
}

/// What a form says at a size.
fn says(terms: &[Term], found: &[f64], sizes: &BTreeMap<String, f64>) -> Option<f64> {
    let mut sum = found[0];
    for (term, b) in terms.iter().zip(&found[1..]) {
        sum += b * worth(term, sizes)?;
    }
    Some(sum)
}

fn solve(terms: &[Term], points: &[&Point], measure: &str, floor: f64) -> Option<Vec<f64>> {
    let mut rows = Vec::with_capacity(points.len());
    for point in points {
        let mut row = vec![1.0];
        for term in terms {
            row.push(worth(term, &point.sizes)?);
        }
        rows.push((row, *point.measures.get(measure)?));
    }
    least_squares(&rows, floor)
}

/// A form for several dimensions at once that holds.
struct Joint {
    terms: Vec<Term>,
    found: Vec<f64>,
    error: f64,
}

/// Forms of growth along several dimensions, each with its prediction's error; and whether the points lie off the lines
/// of the single series, so that a product beside a sum shows.
fn joints(growing: &[(String, Shape)], points: &[&Point], measure: &str) -> (Vec<Joint>, bool) {
    let single: Vec<Term> = growing.iter().map(|one| vec![one.clone()]).collect();
    let mut forms: Vec<Vec<Term>> = vec![vec![growing.to_vec()], single.clone()];
    let mut crossed = true;
    for i in 0..growing.len() {
        for j in i + 1..growing.len() {
            let product: Term = vec![growing[i].clone(), growing[j].clone()];
            let rest =
                single.iter().enumerate().filter(|(k, _)| *k != i && *k != j).map(|(_, term)| term.clone());
            let rest: Vec<Term> = std::iter::once(product.clone()).chain(rest).collect();
            // As a server that costs something by itself, and something for each customer.
            for one in [i, j] {
                forms.push(rest.iter().chain([&single[one]]).cloned().collect());
            }
            forms.push(rest);
            forms.push(single.iter().cloned().chain([product]).collect());
        }
    }
    forms.sort_by_key(Vec::len);
    forms.dedup();
    let size = |point: &Point, key: &str| point.sizes.get(key).copied().unwrap_or(0.0);
    let tops: Vec<f64> =
        growing.iter().map(|(key, _)| points.iter().map(|p| size(p, key)).fold(0.0, f64::max)).collect();
    let left_out =
        |point: &&&Point| growing.iter().zip(&tops).any(|((key, _), top)| size(point, key) >= *top);
    let held_out: Vec<&Point> = points.iter().filter(left_out).copied().collect();
    let rest: Vec<&Point> = points.iter().filter(|point| !left_out(point)).copied().collect();
    let values = points.iter().filter_map(|point| point.measures.get(measure).copied());
    let floor = floor_of(values, points.iter().map(|p| fit::resolution(measure, p.span)).fold(0.0, f64::max));
    let mut all = Vec::new();
    for terms in forms {
        // Over all points first: what they can't tell apart is no form to try.
        let Some(found) = solve(&terms, points, measure, floor) else {
            crossed &= terms.len() <= growing.len();
            continue;
        };
        let Some(tried) = solve(&terms, &rest, measure, floor) else { continue };
        let off = |point: &&Point| {
            let truly = point.measures.get(measure).copied().unwrap_or(0.0);
            let said = says(&terms, &tried, &point.sizes).unwrap_or(f64::INFINITY);
            (said - truly).abs() / against(truly, floor)
        };
        let error = held_out.iter().map(off).fold(0.0, f64::max);
        let round = |point: &&Point| {
            let truly = point.measures.get(measure).copied().unwrap_or(0.0);
            ((says(&terms, &found, &point.sizes).unwrap_or(f64::INFINITY) - truly) / against(truly, floor))
                .powi(2)
        };
        let residual = (points.iter().map(round).sum::<f64>() / points.len() as f64).sqrt();
        // A cost that falls along one of them is no growth, and a form that misses its own points is none of theirs.
        if found[1..].iter().all(|b| *b >= 0.0) && residual <= WRONG {
            all.push(Joint { terms, found, error });
        }
    }
    (all, crossed)
}

/// How far two sizes lie apart, over what both name.
fn apart(held: &BTreeMap<&str, f64>, at: &Sizes) -> f64 {
    let off = |(key, n): (&&str, &f64)| at.get(*key).map(|m| ((n + 1.0) / (m + 1.0)).ln().abs());
    held.iter().filter_map(off).sum()
}

/// What was measured of a role, ready to be asked.
pub struct Costs<'p> {
    roles: BTreeMap<&'p str, (Vec<Fitted<'p>>, Vec<&'p Point>)>,
    /// What was asked before: machines alike ask alike, and a growing plan asks often.
    asked: RefCell<BTreeMap<Asked, Estimate>>,
}

/// A role, a measure, and sizes by their bits.
type Asked = (String, String, Vec<(String, u64)>);

/// A series and each of its measures that could be fitted.
pub struct Fitted<'p> {
    pub series: Series<'p>,
    pub fits: BTreeMap<&'static str, Fit>,
}

/// One fitted dimension.
struct Along<'s, 'p> {
    series: &'s Series<'p>,
    fit: &'s Fit,
}

impl<'p> Costs<'p> {
    pub fn of(points: &'p Points) -> Costs<'p> {
        let mut roles: BTreeMap<&str, (Vec<Fitted>, Vec<&Point>)> = BTreeMap::new();
        for series in fit::series(&points.points) {
            let fits = MEASURES.iter().filter_map(|(name, _)| Some((*name, series.fit(name)?))).collect();
            roles.entry(series.role).or_default().0.push(Fitted { series, fits });
        }
        for point in &points.points {
            roles.entry(&point.role).or_default().1.push(point);
        }
        for (_, points) in roles.values_mut() {
            points.sort_by(|a, b| a.rank(b));
        }
        Costs { roles, asked: RefCell::default() }
    }

    pub fn has(&self, role: &str) -> bool {
        self.roles.contains_key(role)
    }

    /// Whether any point of a role says how much of a dimension there was.
    pub fn names(&self, role: &str, size: &str) -> bool {
        self.roles
            .get(role)
            .is_some_and(|(_, points)| points.iter().any(|point| point.sizes.contains_key(size)))
    }

    pub fn series(&self, role: &str) -> &[Fitted<'p>] {
        self.roles.get(role).map_or(&[], |(series, _)| series)
    }

    /// What was measured at the very size, where no fit says more.
    fn exactly(points: &[&Point], role: &str, measure: &str, at: &Sizes) -> Option<Estimate> {
        let near = |a: f64, b: f64| (a - b).abs() <= EXACT * a.abs().max(b.abs());
        let same = |point: &&&Point| {
            let keys = point.sizes.keys().map(String::as_str).chain(depends(role).iter().copied());
            let like = |key: &str| match (point.sizes.get(key), at.get(key)) {
                (Some(a), Some(b)) => near(*a, *b),
                (None, Some(b)) => *b == 0.0,
                (_, None) => true,
            };
            keys.into_iter().all(like)
        };
        let values: Vec<f64> =
            points.iter().filter(same).filter_map(|point| point.measures.get(measure).copied()).collect();
        let (low, high) =
            values.iter().fold((f64::INFINITY, 0.0f64), |(low, high), v| (low.min(*v), high.max(*v)));
        let value = values.iter().sum::<f64>() / values.len() as f64;
        // A cost does not fall as sizes rise: where more was seen at no larger a size, both scatter by so much at the least.
        let inside = |point: &&&Point| {
            point.sizes.iter().all(|(key, n)| at.get(key).is_none_or(|m| *n <= m * (1.0 + EXACT)))
        };
        let seen = points.iter().filter(inside).filter_map(|point| point.measures.get(measure).copied());
        let high = seen.fold(high, f64::max);
        let form = "measured at this size".into();
        let known = Estimate { low, value, high, form, reach: 1.0, ..Estimate::none() };
        (!values.is_empty()).then_some(known)
    }

    /// Where no form holds: as much as was measured at the largest size that the plan contains, and nobody knows how much
    /// more. Not the most that was ever measured: where values scatter that is the worst of the scatter.
    fn at_least(points: &[&Point], measure: &str, at: &Sizes, why: String) -> Estimate {
        let inside = |point: &&&Point| point.sizes.iter().all(|(key, n)| at.get(key).is_none_or(|m| n <= m));
        let large = |point: &Point| point.sizes.values().map(|n| n.ln_1p()).sum::<f64>();
        let inside: Vec<&Point> = points.iter().filter(inside).copied().collect();
        let Some(largest) = inside.iter().copied().reduce(|a, b| if large(b) > large(a) { b } else { a })
        else {
            return Estimate::nothing(why);
        };
        let alike = inside.iter().filter(|point| point.sizes == largest.sizes);
        let values: Vec<f64> = alike.filter_map(|point| point.measures.get(measure).copied()).collect();
        let seen = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let form = "unknown; as much was measured".into();
        Estimate { low: seen, value: seen, high: seen, form, known: true, ..Estimate::nothing(why) }
    }

    /// What one process of the role costs at a size.
    pub fn at(&self, role: &str, measure: &str, at: &Sizes) -> Estimate {
        let sizes = at.iter().map(|(key, n)| (key.clone(), n.to_bits())).collect();
        let asked = (role.to_owned(), measure.to_owned(), sizes);
        let known = self.asked.borrow().get(&asked).cloned();
        known.unwrap_or_else(|| {
            let told = self.work_out(role, measure, at);
            self.asked.borrow_mut().insert(asked, told.clone());
            told
        })
    }

    fn work_out(&self, role: &str, measure: &str, at: &Sizes) -> Estimate {
        let Some((series, points)) = self.roles.get(role) else {
            return Estimate::nothing(format!("{role}: not measured"));
        };
        let points: Vec<&Point> =
            points.iter().filter(|p| p.measures.contains_key(measure)).copied().collect();
        if points.is_empty() {
            return Estimate::nothing(format!("{role}: {measure} not taken"));
        }
        let along = self.dimensions(series, measure, at);
        if along.is_empty() {
            let why = format!("{role}: {measure} at fewer than three sizes, not fitted");
            return Self::exactly(&points, role, measure, at)
                .unwrap_or_else(|| Self::at_least(&points, measure, at, why));
        }
        if let Some((key, one)) = along.iter().find(|(_, one)| one.fit.law.shape == Shape::Unknown) {
            let off = one.fit.error * 100.0;
            let why = format!(
                "{role}: {measure} grows with {key} in no known shape (the best is off by {off:.0}%)"
            );
            return Self::exactly(&points, role, measure, at)
                .unwrap_or_else(|| Self::at_least(&points, measure, at, why));
        }
        let growing: Vec<&str> =
            along.iter().filter(|(_, one)| one.fit.law.b > 0.0).map(|(key, _)| *key).collect();
        if let Some(key) = along.keys().find(|key| !at.contains_key(**key)) {
            return Estimate::nothing(format!("{role}: the plan says nothing of {key}"));
        }
        let first = growing.first().or(along.keys().next().as_ref().copied()).copied().unwrap_or_default();
        // Below the smallest size a figure is no better known than there.
        let mut least = at.clone();
        for key in &growing {
            let smallest = along[key].fit.sizes.first().copied().unwrap_or(0.0);
            least.entry((*key).to_owned()).and_modify(|n| *n = n.max(smallest));
        }
        let (mut told, base) = match growing.len() {
            0 | 1 => {
                let Along { fit, .. } = &along[first];
                let value = fit.law.at(at[first]);
                let form = match fit.law.shape {
                    Shape::Constant => "constant".into(),
                    shape if fit.law.b < 0.0 => {
                        format!("falls with {first} ({}), as far as measured", shape.name())
                    }
                    shape => words(&[vec![(first.to_owned(), shape)]]),
                };
                let doubt = along.values().map(|one| one.fit.doubt()).fold(0.0, f64::max);
                let told =
                    Estimate { low: value, value, high: value, form, error: Some(doubt), ..Estimate::none() };
                (told, fit.law.at(least[first]))
            }
            _ => match self.together(&along, &growing, &points, (role, measure), at, &least) {
                Ok(told) => told,
                Err(why) => {
                    return Self::exactly(&points, role, measure, at)
                        .unwrap_or_else(|| Self::at_least(&points, measure, at, why))
                }
            },
        };
        // Shapes that hold as well as the chosen one, along each dimension.
        let (mut down, mut up) = (1.0f64, 1.0f64);
        for (key, Along { fit, .. }) in &along {
            let here = fit.law.at(at[*key]);
            if here <= 0.0 {
                continue;
            }
            let others = fit.holding.iter().map(|law| law.at(at[*key]) / here);
            let (least, most) = others.fold((1.0f64, 1.0f64), |(least, most), x| (least.min(x), most.max(x)));
            down *= least;
            up *= most;
        }
        let stretches: f64 = growing
            .iter()
            .map(|key| {
                let fit = &along[key].fit;
                ((at[*key] / fit.top()).ln() / fit.stretch().ln()).max(0.0)
            })
            .sum();
        let off = (1.0 + told.error.unwrap_or(0.0)).powf(stretches.max(1.0));
        let base = base.max(told.value);
        told.low = (told.low * down - (1.0 - 1.0 / off) * base).clamp(0.0, told.value);
        told.high = (told.high * up).max(told.value) + (off - 1.0) * base.max(told.high * up);
        told.reach = along.iter().map(|(key, one)| at[*key] / one.fit.top()).fold(0.0, f64::max);
        // What was held or never set.
        let mut others: Vec<&str> = depends(role).to_vec();
        others.extend(points.iter().flat_map(|p| p.sizes.keys()).map(String::as_str));
        others.sort_unstable();
        others.dedup();
        let held = &along[first].series.held;
        for key in others.into_iter().filter(|key| !along.contains_key(key)) {
            let Some(wanted) = at.get(key).copied() else { continue };
            match held.get(key).copied() {
                Some(held) if (held - wanted).abs() <= SAME * held.max(wanted) => {}
                Some(held) if held < wanted => {
                    told.above.push(format!("{role}: not varied along {key}, held at {held}"));
                }
                Some(held) => told.below.push(format!("{role}: not varied along {key}, held at {held}")),
                None if wanted > 0.0 => told.above.push(format!("{role}: not measured along {key}")),
                None => {}
            }
        }
        if !(told.high.is_finite() && told.value.is_finite()) {
            return Estimate::nothing(format!("{role}: {measure} past all numbers at this size"));
        }
        told
    }

    /// Of each dimension that was fitted the series nearest to the plan, and of those the one with most sizes.
    fn dimensions<'s>(
        &self,
        series: &'s [Fitted<'p>],
        measure: &str,
        at: &Sizes,
    ) -> BTreeMap<&'p str, Along<'s, 'p>> {
        let mut along: BTreeMap<&str, Along> = BTreeMap::new();
        for one in series {
            let Some(fit) = one.fits.get(measure) else { continue };
            let rank = |one: &Along| (apart(&one.series.held, at), usize::MAX - one.fit.sizes.len());
            let new = Along { series: &one.series, fit };
            let nearer = along.get(one.series.varied).is_none_or(|old| {
                let ((a, m), (b, n)) = (rank(&new), rank(old));
                a.total_cmp(&b).then(m.cmp(&n)).is_lt()
            });
            if nearer {
                along.insert(one.series.varied, new);
            }
        }
        along
    }

    /// Growth along several dimensions at once.
    fn together(
        &self,
        along: &BTreeMap<&str, Along>,
        growing: &[&str],
        points: &[&Point],
        (role, measure): (&str, &str),
        at: &Sizes,
        least: &Sizes,
    ) -> Result<(Estimate, f64), String> {
        // What is neither fitted nor grows must be as in the first series, or it would pass for noise.
        let held = &along[growing[0]].series.held;
        let fits = |point: &&&Point| {
            let known = growing.iter().all(|key| point.sizes.contains_key(*key));
            let others = point.sizes.iter().filter(|(key, _)| !along.contains_key(key.as_str()));
            known && others.into_iter().all(|(key, n)| held.get(key.as_str()) == Some(n))
        };
        let points: Vec<&Point> = points.iter().filter(fits).copied().collect();
        let shapes: Vec<(String, Shape)> =
            growing.iter().map(|key| (key.to_string(), along[key].fit.law.shape)).collect();
        let (all, crossed) = joints(&shapes, &points, measure);
        let best = all.iter().map(|joint| joint.error).fold(f64::INFINITY, f64::min);
        let scatter = along.values().filter_map(|one| one.fit.scatter).reduce(f64::max);
        let keep = |joint: &&Joint| holds(joint.error, best, noise(scatter));
        let holding: Vec<&Joint> = all.iter().filter(keep).collect();
        let names = growing.join(" and ");
        let said = |joint: &Joint| says(&joint.terms, &joint.found, at).unwrap_or(0.0);
        let simplest = holding.iter().map(|joint| joint.terms.len()).min();
        let alike = holding.iter().copied().filter(|joint| Some(joint.terms.len()) == simplest);
        let Some(chosen) = alike.reduce(|a, b| if said(b) > said(a) { b } else { a }) else {
            let off = if best.is_finite() {
                format!(" (the best form is off by {:.0}%)", best * 100.0)
            } else {
                String::new()
            };
            return Err(format!("{role}: {measure} grows with {names} together in no known form{off}"));
        };
        let value = said(chosen).max(0.0);
        let others: Vec<f64> =
            holding.iter().filter_map(|joint| says(&joint.terms, &joint.found, at)).collect();
        let mut form = words(&chosen.terms);
        let low = others.iter().copied().fold(value, f64::min).max(0.0);
        let mut high = others.iter().copied().fold(value, f64::max);
        if !crossed {
            // As if each dimension multiplied what the others cost.
            let mut product = along[growing[0]].fit.law.at(at[growing[0]]);
            for key in &growing[1..] {
                let law = &along[key].fit.law;
                let base = held.get(key).map_or(0.0, |n| law.at(*n));
                product = if base > 0.0 { product * (law.at(at[*key]) / base) } else { f64::INFINITY };
            }
            if !product.is_finite() {
                return Err(format!(
                    "{role}: {measure} grows with {names}, and no series shows how together"
                ));
            }
            high = high.max(product);
            form += "; not measured together, a sum would be less";
        }
        let error = along.values().map(|one| one.fit.doubt()).fold(chosen.error, f64::max);
        let base = says(&chosen.terms, &chosen.found, least).unwrap_or(value);
        Ok((Estimate { low, value, high, form, error: Some(error), ..Estimate::none() }, base))
    }
}

#[cfg(test)]
mod tests;
