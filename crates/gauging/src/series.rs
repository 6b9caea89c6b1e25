//! Which sizes are measured. In a series one dimension varies and the others are held; a series that is repeated with another dimension held
//! elsewhere is there to tell a sum from a product. The largest size of each is kept out of the fit by whoever fits, and predicted.

use crate::Sizes;

/// What is run for a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    Module,
    Server,
    Control,
    Keeper,
    Quota,
    Turns,
    Gather,
}

impl Run {
    /// The roles that one run tells of.
    pub fn roles(self) -> &'static [&'static str] {
        match self {
            Run::Module => &["module"],
            Run::Server => &["server"],
            Run::Control => &["control", "proxy"],
            Run::Keeper => &["keeper"],
            Run::Quota => &["steward-quota"],
            Run::Turns => &["steward-turns"],
            Run::Gather => &["steward-gather", "archive"],
        }
    }
}

/// Points along one dimension.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    pub run: Run,
    pub varied: &'static str,
    pub sizes: Vec<Sizes>,
}

impl Series {
    fn new(run: Run, varied: &'static str, held: &[(&str, f64)], along: &[f64]) -> Series {
        let at = |size: &f64| {
            let mut sizes: Sizes = held.iter().map(|(name, value)| (name.to_string(), *value)).collect();
            sizes.insert(varied.into(), *size);
            sizes
        };
        Series { run, varied, sizes: along.iter().map(at).collect() }
    }

    /// As the command line knows it: `server/customers`.
    pub fn name(&self) -> String {
        format!("{}/{}", self.run.roles()[0], self.varied)
    }
}

/// All that is measured: at the sizes that the page needs, or at tiny ones that a test can bear.
pub fn all(small: bool) -> Vec<Series> {
    let one = Series::new;
    if small {
        return vec![
            one(Run::Module, "customers", &[("routes", 5.0), ("requests", 100.0)], &[5.0, 20.0, 80.0]),
            one(Run::Server, "customers", &[("routes", 2.0), ("requests", 60.0)], &[1.0, 4.0, 30.0]),
            one(
                Run::Control,
                "servers",
                &[("proxies", 2.0), ("customers", 3.0), ("routes", 2.0)],
                &[2.0, 4.0, 8.0],
            ),
            one(Run::Keeper, "instances", &[("parts", 12.0)], &[2.0, 4.0, 8.0]),
            one(Run::Quota, "customers", &[("servers", 2.0)], &[5.0, 20.0, 80.0]),
            one(Run::Turns, "servers", &[], &[2.0, 4.0, 8.0]),
            one(Run::Gather, "requests", &[("servers", 2.0)], &[20.0, 80.0, 320.0]),
        ];
    }
    let mut all = Vec::new();
    let rate = ("requests", 150.0);
    all.push(one(Run::Module, "customers", &[("routes", 100.0), rate], &[100.0, 1000.0, 5000.0, 15_000.0]));
    all.push(one(Run::Module, "routes", &[("customers", 1000.0), rate], &[10.0, 100.0, 500.0, 2300.0]));
    all.push(one(Run::Module, "customers", &[("routes", 2300.0), rate], &[100.0, 5000.0, 15_000.0]));
    all.push(one(
        Run::Module,
        "requests",
        &[("customers", 1000.0), ("routes", 100.0)],
        &[30.0, 75.0, 150.0, 300.0],
    ));
    let few = [("customers", 6.0), ("routes", 6.0)];
    all.push(one(Run::Server, "requests", &few, &[10.0, 30.0, 75.0, 150.0, 300.0]));
    all.push(one(Run::Server, "customers", &[("routes", 10.0), rate], &[100.0, 1000.0, 5000.0, 15_000.0]));
    all.push(one(Run::Server, "routes", &[("customers", 100.0), rate], &[10.0, 100.0, 500.0, 2300.0]));
    // Both grow: what is kept for each customer of each product shows here alone.
    all.push(one(Run::Server, "customers", &[("routes", 2300.0), rate], &[1000.0, 15_000.0]));
    let small_town = [("customers", 20.0), ("routes", 10.0)];
    let with = |more: (&'static str, f64)| [small_town[0], small_town[1], more];
    all.push(one(Run::Control, "servers", &with(("proxies", 100.0)), &[50.0, 100.0, 200.0, 400.0, 730.0]));
    all.push(one(Run::Control, "proxies", &with(("servers", 100.0)), &[250.0, 500.0, 1000.0, 2000.0]));
    all.push(one(Run::Control, "proxies", &with(("servers", 400.0)), &[250.0, 1000.0]));
    let town = [("servers", 50.0), ("proxies", 50.0)];
    let with = |more: (&'static str, f64)| [town[0], town[1], more];
    all.push(one(Run::Control, "customers", &with(("routes", 10.0)), &[20.0, 1000.0, 15_000.0]));
    all.push(one(Run::Control, "routes", &with(("customers", 20.0)), &[10.0, 50.0, 230.0]));
    all.push(one(Run::Keeper, "instances", &[("parts", 1000.0)], &[10.0, 30.0, 100.0, 300.0]));
    all.push(one(Run::Keeper, "parts", &[("instances", 30.0)], &[100.0, 1000.0, 10_000.0]));
    all.push(one(Run::Quota, "customers", &[("servers", 4.0)], &[100.0, 1000.0, 4000.0, 10_000.0]));
    all.push(one(Run::Quota, "servers", &[("customers", 20.0)], &[50.0, 150.0, 450.0]));
    // Off the cross of the two before: what is kept for each customer of each server shows here alone.
    all.push(one(Run::Quota, "customers", &[("servers", 150.0)], &[100.0, 400.0]));
    all.push(one(Run::Turns, "servers", &[], &[50.0, 150.0, 450.0]));
    all.push(one(Run::Gather, "requests", &[("servers", 20.0)], &[1000.0, 3000.0, 6000.0, 12_000.0]));
    all.push(one(Run::Gather, "servers", &[("requests", 3000.0)], &[20.0, 80.0, 250.0]));
    all.push(one(Run::Gather, "requests", &[("servers", 80.0)], &[1000.0, 6000.0]));
    all
}

#[cfg(test)]
mod tests;
