//! What proxies drop before it reaches a server: the servers' own refusals seen from the fleet. Each product of each customer
//! has a share that proxies drop, led by the share of it that servers still decline: a few in a hundred are to go on being
//! declined there, so that the servers, not this service, say when it is over. Never more of the dearer than of the cheaper.

use crate::view::Believed;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

// ---- constants, each with its unit and the reason for its size ----

/// Share of what arrives that servers are left to decline: enough to be seen in a report of a few dozen txns.
const LEFT: f64 = 0.05;
/// By how much of the surplus a share rises in a second: with a second's delay a loop of this gain does not swing.
const GAIN: f64 = 0.5;
/// Share a second by which it falls while servers decline less than that: of the same slope around `LEFT`.
const FALL: f64 = GAIN * LEFT;
/// The same while they decline nothing and have cores to spare: the cause is over.
const OVER: f64 = 0.15;
/// Pressure of the fleet under which it has cores to spare.
const EASY: f64 = 0.1;
/// The most that is dropped: something must arrive to show that it could be served again.
const MOST: f64 = 0.95;
/// Time constant of the declined share, s: a report has few txns.
const SPAN: f64 = 0.5;
/// Shares under this are not worth a rule.
const LEAST: f64 = 0.01;

/// A share of one product of one customer that proxies drop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drop {
    pub product: String,
    pub customer: String,
    pub share: f64,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Of what arrives, the share that is declined; smoothed.
    declined: f64,
    share: f64,
    worth: f64,
    asked: f64,
}

/// What is dropped of each product and customer, from one plan to the next.
#[derive(Debug, Default)]
pub struct Shed {
    classes: BTreeMap<(String, String), State>,
}

impl Shed {
    /// As it was last decided.
    pub fn held(&self) -> Vec<Drop> {
        // From the cheapest up: what is dearer is not dropped more.
        let mut order: Vec<_> = self.classes.iter().collect();
        order.sort_by(|a, b| a.1.worth.total_cmp(&b.1.worth).then(a.0.cmp(b.0)));
        let mut most = MOST;
        let mut last = f64::NEG_INFINITY;
        let mut group_least = MOST;
        let mut out = Vec::new();
        for ((product, customer), state) in order {
            if state.worth > last {
                // All that is as cheap as the last or cheaper bounds what follows.
                most = most.min(group_least);
                last = state.worth;
                group_least = MOST;
            }
            let share = state.share.min(most);
            // What nobody asks for bounds nothing.
            group_least = if state.asked > 0.0 { group_least.min(share) } else { group_least };
            if share >= LEAST {
                out.push(Drop { product: product.clone(), customer: customer.clone(), share });
            }
        }
        out.sort_by(|a, b| (&a.product, &a.customer).cmp(&(&b.product, &b.customer)));
        out
    }

    /// Moves the shares by what the servers say; `passed` seconds after the last time.
    pub fn decide(&mut self, passed: f64, believed: &[Believed]) -> Vec<Drop> {
        let mut seen: BTreeMap<(&str, &str), (f64, f64, f64)> = BTreeMap::new();
        let (mut pressure, mut cores) = (0.0, 0.0);
        for view in believed.iter().filter(|view| view.belief > 0.0) {
            pressure += view.report.pressure * view.report.cores;
            cores += view.report.cores;
            for class in &view.report.classes {
                let all = seen.entry((&class.product, &class.customer)).or_default();
                *all = (all.0 + class.asked, all.1 + class.declined, all.2.max(class.worth));
            }
        }
        let easy = cores > 0.0 && pressure / cores < EASY;
        let fresh = 1.0 - (-passed / SPAN).exp();
        for ((product, customer), (asked, declined, worth)) in &seen {
            let known = self.classes.contains_key(&((*product).to_owned(), (*customer).to_owned()));
            if !known && *declined <= 0.0 && *asked <= 0.0 {
                continue;
            }
            let state = self.classes.entry(((*product).to_owned(), (*customer).to_owned())).or_default();
            (state.worth, state.asked) = (*worth, *asked);
            let now = if *asked > 0.0 { (declined / asked).min(1.0) } else { 0.0 };
            state.declined += fresh * (now - state.declined);
        }
        for (key, state) in &mut self.classes {
            if !seen.contains_key(&(key.0.as_str(), key.1.as_str())) {
                state.declined -= fresh * state.declined;
                state.asked = 0.0;
            }
            let surplus = state.declined - LEFT;
            // What is left after the drop shrinks as the share grows, and so does each step.
            let step = match surplus {
                over if over > 0.0 => GAIN * over * (1.0 - state.share),
                _ if easy && state.declined < LEFT / 10.0 => -OVER,
                under => FALL * under / LEFT,
            };
            state.share = (state.share + step * passed).clamp(0.0, MOST);
        }
        self.classes
            .retain(|key, state| state.share > 0.0 || seen.contains_key(&(key.0.as_str(), key.1.as_str())));
        self.held()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::tests::report;
    use crate::view::{Class, Report};
    use std::collections::VecDeque;

    const CHEAP: usize = 0;

    /// One server that can serve `room` txns a second, the dearer product first; proxies send what is not dropped.
    fn server(room: f64, sent: &[f64; 2]) -> Report {
        let mut left = room;
        let mut classes = Vec::new();
        for (product, worth, asked) in [("dear", 3.0, sent[1]), ("cheap", 1.0, sent[CHEAP])] {
            let served = asked.min(left);
            left -= served;
            let (product, customer) = (product.into(), "k1".into());
            classes.push(Class { product, customer, worth, asked, declined: asked - served });
        }
        let pressure = if left <= 0.0 { 0.8 } else { 0.0 };
        Report { pressure, classes, ..report("n1", 1, 0.0) }
    }

    /// Shares of cheap and dear over time: asked for and room by the moment, reports and pushes a second late in all.
    fn play(seconds: f64, load: impl Fn(f64) -> ([f64; 2], f64)) -> Vec<[f64; 2]> {
        let (mut shed, mut on_the_way, mut told) = (Shed::default(), VecDeque::new(), Vec::new());
        let step = 0.25;
        let mut acting = [0.0; 2];
        for at in 0..(seconds / step) as usize {
            let (asked, room) = load(at as f64 * step);
            let sent = [asked[0] * (1.0 - acting[0]), asked[1] * (1.0 - acting[1])];
            let seen = server(room, &sent);
            let drops = shed.decide(step, &[Believed { report: &seen, belief: 1.0, age: 0.0 }]);
            let share = |product: &str| drops.iter().find(|d| d.product == product).map_or(0.0, |d| d.share);
            on_the_way.push_back([share("cheap"), share("dear")]);
            if on_the_way.len() > 4 {
                acting = on_the_way.pop_front().unwrap();
            }
            told.push(acting);
        }
        told
    }

    #[test]
    fn the_cheap_are_dropped_first_until_servers_decline_a_few_in_a_hundred_and_it_does_not_swing() {
        // 150 asked for, room for 100: of 90 cheap ones 50 are too many.
        let told = play(120.0, |_| ([90.0, 60.0], 100.0));
        let end = &told[told.len() - 120..];
        let (low, high) = end.iter().fold((1.0f64, 0.0f64), |(l, h), s| (l.min(s[0]), h.max(s[0])));
        // Of what still arrives, LEFT is declined: (1 - share) * 90 * (1 - 0.05) = 40.
        let wanted = 1.0 - 40.0 / (90.0 * (1.0 - LEFT));
        assert!((low - wanted).abs() < 0.02 && high - low < 0.02, "{low} to {high}, {wanted} wanted");
        assert!(told.iter().all(|s| s[1] == 0.0), "the dear were dropped");
    }

    #[test]
    fn the_dear_are_never_dropped_more_than_the_cheap_and_all_comes_back() {
        let told = play(240.0, |now| if now < 120.0 { ([60.0, 140.0], 80.0) } else { ([60.0, 20.0], 100.0) });
        assert!(told.iter().all(|s| s[1] <= s[0] + 1e-12));
        let hard = told[470];
        assert!(hard[0] > 0.9 && hard[1] > 0.3, "{hard:?}");
        let free = told.iter().skip(480).position(|s| *s == [0.0, 0.0]);
        assert!(free.is_some_and(|steps| steps < 60), "{free:?}");
    }

    #[test]
    fn without_reports_a_share_is_let_go_slowly() {
        let mut shed = Shed::default();
        let seen = server(10.0, &[90.0, 0.0]);
        for _ in 0..40 {
            shed.decide(0.25, &[Believed { report: &seen, belief: 1.0, age: 0.0 }]);
        }
        let held = shed.held()[0].share;
        assert!(held > 0.5);
        let after = shed.decide(0.25, &[]);
        assert!(after[0].share <= held && after[0].share > held - 0.02);
    }
}
