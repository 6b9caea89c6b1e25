//! What servers say of themselves, and how far it is still to be believed. No I/O, no clock: times come in, seconds of the
//! control service's own monotonic clock.
//!
//! A report carries the server's incarnation, a number that grows, and when it was made by the server's own monotonic
//! clock. The least of (received - made) over the last half minute is taken as the difference of the two clocks; what a
//! report exceeds it by is how long it was on its way. So a late report is known as late whatever the clocks say.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One product of one customer on one server, as the module sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    pub product: String,
    pub customer: String,
    /// Value for each unit of work, by which the module orders its hold.
    pub worth: f64,
    /// Txns a second that came, and those of them that were declined.
    pub asked: f64,
    pub declined: f64,
}

/// What one server decided of late.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub instance: String,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Grows with each report.
    pub sequence: u64,
    /// s by the server's monotonic clock.
    pub made: f64,
    pub zone: String,
    pub address: SocketAddr,
    pub cores: f64,
    /// Runs allowed, runs open, s that a run takes (0 where nothing ran).
    pub limit: f64,
    pub running: f64,
    pub takes: f64,
    /// From 0 to 1, as the free signal rises.
    pub pressure: f64,
    /// s that a decline tells its caller to keep off.
    pub retry_after: f64,
    pub healthy: bool,
    /// s until the kill, after a notice to leave.
    pub leaving: Option<f64>,
    /// From 0 to 1 while the process warms up.
    pub warmth: f64,
    /// Txns a second that were settled within their SLA time.
    pub settled: f64,
    pub classes: Vec<Class>,
}

/// Characters of a name, classes of a report.
const MOST_NAME: usize = 128;
const MOST_CLASSES: usize = 4096;

impl Report {
    /// One of a sound, idle server of four cores, for stand-ins and tests to change.
    pub fn sound(instance: &str, address: SocketAddr) -> Report {
        Report {
            instance: instance.into(),
            incarnation: 1,
            sequence: 0,
            made: 0.0,
            zone: "a".into(),
            address,
            cores: 4.0,
            limit: 4.0,
            running: 2.0,
            takes: 0.01,
            pressure: 0.0,
            retry_after: 0.25,
            healthy: true,
            leaving: None,
            warmth: 1.0,
            settled: 100.0,
            classes: Vec::new(),
        }
    }

    /// What makes it unusable, if anything.
    fn fault(&self) -> Option<&'static str> {
        let named =
            |name: &str| !name.is_empty() && name.len() <= MOST_NAME && !name.contains(char::is_control);
        let natural = |figure: f64| figure.is_finite() && figure >= 0.0;
        let figures = [self.made, self.limit, self.running, self.takes, self.retry_after, self.settled];
        let class = |class: &Class| {
            class.product.len() <= MOST_NAME
                && class.customer.len() <= MOST_NAME
                && [class.worth, class.asked, class.declined].into_iter().all(natural)
        };
        if !named(&self.instance) || !named(&self.zone) {
            Some("a name is missing or too long")
        } else if !figures.into_iter().all(natural) || self.cores <= 0.0 || !self.cores.is_finite() {
            Some("a figure is out of range")
        } else if !(0.0..=1.0).contains(&self.pressure) || !(0.0..=1.0).contains(&self.warmth) {
            Some("pressure or warmth is no share")
        } else if self.leaving.is_some_and(|left| !natural(left)) {
            Some("the time of the kill is out of range")
        } else if self.classes.len() > MOST_CLASSES || !self.classes.iter().all(class) {
            Some("a class is out of range")
        } else {
            None
        }
    }
}

/// What was made of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Taken,
    /// Known already.
    Doubled,
    /// One that was made later came before it.
    Overtaken,
    /// Of a process that has been followed by another.
    EarlierLife,
    /// Its own clock went back, or a figure can't be.
    Impossible(&'static str),
    /// There is no room for one more server.
    Full,
}

/// How long a server is believed, s.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// A view of this age counts in full; one of `gone` no longer, and between them ever less.
    pub fresh: f64,
    pub gone: f64,
    /// A silent server is remembered for so long, to tell how many are silent.
    pub forget: f64,
    /// Share of the servers that may be silent at once; more, and the reports are suspected, not the servers.
    pub panic: f64,
    pub most_servers: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { fresh: 1.0, gone: 4.0, forget: 60.0, panic: 0.5, most_servers: 20_000 }
    }
}

/// s over which the least difference of two clocks is taken, in two halves.
const HALF: f64 = 15.0;

/// The difference between our clock and another's.
#[derive(Clone, Debug)]
struct Offset {
    least: [f64; 2],
    since: f64,
}

impl Offset {
    fn new(now: f64, seen: f64) -> Offset {
        Offset { least: [seen, f64::MAX], since: now }
    }
    /// How long what was made at `made` was on its way.
    fn delay(&mut self, now: f64, made: f64) -> f64 {
        let seen = now - made;
        if now - self.since > HALF {
            (self.least, self.since) = ([seen, self.least[0]], now);
        }
        self.least[0] = self.least[0].min(seen);
        seen - self.least[0].min(self.least[1])
    }
}

#[derive(Clone, Debug)]
struct Known {
    report: Report,
    offset: Offset,
    /// When the last report was made, by our clock, and when it came.
    made: f64,
    came: f64,
}

/// A server as far as it is believed.
#[derive(Clone, Copy, Debug)]
pub struct Believed<'a> {
    pub report: &'a Report,
    /// From 0, not at all, to 1.
    pub belief: f64,
    /// s
    pub age: f64,
}

/// All servers that were heard of.
#[derive(Debug, Default)]
pub struct Views {
    bounds: Bounds,
    servers: BTreeMap<String, Known>,
    /// Reports by what was made of them.
    pub taken: u64,
    pub refused: u64,
    pub refusals: Refusals,
}

/// Refused reports by why they were.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    pub doubled: u64,
    pub overtaken: u64,
    pub earlier_life: u64,
    pub impossible: u64,
    pub full: u64,
}

impl Refusals {
    fn count(&mut self, verdict: Verdict) {
        *match verdict {
            Verdict::Taken => return,
            Verdict::Doubled => &mut self.doubled,
            Verdict::Overtaken => &mut self.overtaken,
            Verdict::EarlierLife => &mut self.earlier_life,
            Verdict::Impossible(_) => &mut self.impossible,
            Verdict::Full => &mut self.full,
        } += 1;
    }

    /// What each reason is called, with how often it was one.
    pub fn told(&self) -> [(&'static str, u64); 5] {
        [
            ("doubled", self.doubled),
            ("overtaken", self.overtaken),
            ("earlier-life", self.earlier_life),
            ("impossible", self.impossible),
            ("full", self.full),
        ]
    }
}

impl Views {
    pub fn new(bounds: Bounds) -> Views {
        Views { bounds, ..Views::default() }
    }

    /// Takes a report in, or says why not.
    pub fn take(&mut self, now: f64, report: Report) -> Verdict {
        let verdict = self.judge(now, report);
        *if verdict == Verdict::Taken { &mut self.taken } else { &mut self.refused } += 1;
        self.refusals.count(verdict);
        verdict
    }

    fn judge(&mut self, now: f64, report: Report) -> Verdict {
        if let Some(fault) = report.fault() {
            return Verdict::Impossible(fault);
        }
        let Some(known) = self.servers.get_mut(&report.instance) else {
            if self.servers.len() >= self.bounds.most_servers {
                return Verdict::Full;
            }
            let offset = Offset::new(now, now - report.made);
            let known = Known { offset, made: now, came: now, report };
            self.servers.insert(known.report.instance.clone(), known);
            return Verdict::Taken;
        };
        let last = &known.report;
        if report.incarnation != last.incarnation {
            // A machine whose clock was set back starts with a lower incarnation: believed once the other is silent.
            if report.incarnation < last.incarnation && now - known.came < self.bounds.gone {
                return Verdict::EarlierLife;
            }
            let offset = Offset::new(now, now - report.made);
            *known = Known { offset, made: now, came: now, report };
            return Verdict::Taken;
        }
        if report.sequence == last.sequence {
            return Verdict::Doubled;
        }
        if report.sequence < last.sequence {
            return Verdict::Overtaken;
        }
        if report.made < last.made {
            return Verdict::Impossible("its clock went back");
        }
        let delay = known.offset.delay(now, report.made);
        (known.made, known.came, known.report) = (now - delay, now, report);
        Verdict::Taken
    }

    /// Forgets who has been silent for long, or has left.
    pub fn tidy(&mut self, now: f64) {
        let Bounds { forget, gone, .. } = self.bounds;
        self.servers.retain(|_, known| {
            let silent = now - known.made;
            let left = known.report.leaving.is_some_and(|left| silent > left + gone);
            silent <= forget && !left
        });
    }

    /// Whether so many went silent at once that it must be the reports, not the servers. Who said that it leaves does not
    /// count.
    pub fn panic(&self, now: f64) -> bool {
        let staying = self.servers.values().filter(|known| known.report.leaving.is_none());
        let (mut all, mut silent) = (0usize, 0usize);
        for known in staying {
            all += 1;
            silent += usize::from(now - known.made > self.bounds.fresh);
        }
        silent as f64 > self.bounds.panic * all as f64
    }

    /// All servers, in the order of their names. In panic the silent ones are believed as they last were.
    pub fn believed(&self, now: f64) -> Vec<Believed<'_>> {
        let panic = self.panic(now);
        let Bounds { fresh, gone, .. } = self.bounds;
        let believe = |known: &Known| {
            let age = now - known.made;
            if panic {
                1.0
            } else {
                ((gone - age) / (gone - fresh)).clamp(0.0, 1.0)
            }
        };
        self.servers
            .values()
            .map(|known| Believed { report: &known.report, belief: believe(known), age: now - known.made })
            .collect()
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
    /// How many were heard of within `fresh`.
    pub fn fresh(&self, now: f64) -> usize {
        self.servers.values().filter(|known| now - known.made <= self.bounds.fresh).count()
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    /// A sound server as it reports.
    pub fn report(instance: &str, sequence: u64, made: f64) -> Report {
        let address = "127.0.0.1:4100".parse().unwrap();
        Report { incarnation: 10, sequence, made, ..Report::sound(instance, address) }
    }

    #[test]
    fn doubled_overtaken_and_earlier_reports_are_told_from_fresh_ones() {
        let mut views = Views::new(Bounds::default());
        assert_eq!(views.take(100.0, report("n1", 5, 1.0)), Verdict::Taken);
        assert_eq!(views.take(100.1, report("n1", 5, 1.0)), Verdict::Doubled);
        assert_eq!(views.take(100.2, report("n1", 7, 1.2)), Verdict::Taken);
        assert_eq!(views.take(100.3, report("n1", 6, 1.1)), Verdict::Overtaken);
        let earlier = Report { incarnation: 9, ..report("n1", 900, 50.0) };
        assert_eq!(views.take(100.4, earlier.clone()), Verdict::EarlierLife);
        assert_eq!(views.take(100.5, Report { incarnation: 11, ..report("n1", 1, 0.1) }), Verdict::Taken);
        // Its machine's clock was set back: the later life was silent for long enough.
        assert_eq!(views.take(105.0, earlier), Verdict::Taken);
        assert_eq!((views.taken, views.refused), (4, 3));
    }

    #[test]
    fn a_report_that_was_long_on_its_way_counts_from_when_it_was_made() {
        let mut views = Views::new(Bounds::default());
        for at in 0..10u32 {
            let made = f64::from(at) * 0.25;
            views.take(100.0 + made, report("n1", u64::from(at), made));
        }
        // Made at 2.5 by its clock, that is at 102.5, and here at 105.
        assert_eq!(views.take(105.0, report("n1", 10, 2.5)), Verdict::Taken);
        let age = views.believed(105.0)[0].age;
        assert!((age - 2.5).abs() < 1e-9, "{age}");
    }

    #[test]
    fn clocks_that_run_at_other_speeds_or_stand_elsewhere_change_little() {
        for (offset, speed) in [(1e6, 1.0), (0.0, 1.001), (5.0, 0.999)] {
            let mut views = Views::new(Bounds::default());
            for at in 0..2000u32 {
                let now = f64::from(at) * 0.25;
                let verdict = views.take(now, report("n1", u64::from(at), offset + now * speed));
                assert_eq!(verdict, Verdict::Taken);
                assert!(views.believed(now)[0].age < 0.05, "{speed}: {}", views.believed(now)[0].age);
            }
        }
        let mut views = Views::new(Bounds::default());
        views.take(0.0, report("n1", 1, 5.0));
        assert_eq!(views.take(1.0, report("n1", 2, 4.0)), Verdict::Impossible("its clock went back"));
    }

    #[test]
    fn a_silent_server_fades_and_ends_but_not_all_at_once() {
        let mut views = Views::new(Bounds::default());
        for name in ["n1", "n2", "n3"] {
            views.take(0.0, report(name, 1, 0.0));
        }
        let belief = |views: &Views, now| views.believed(now).iter().map(|b| b.belief).collect::<Vec<_>>();
        for at in 1..20u32 {
            let now = f64::from(at) * 0.25;
            views.take(now, report("n1", 1 + u64::from(at), now));
            views.take(now, report("n2", 1 + u64::from(at), now));
        }
        assert_eq!(belief(&views, 1.0), [1.0, 1.0, 1.0]);
        assert_eq!(belief(&views, 4.75), [1.0, 1.0, 0.0]);
        assert!(!views.panic(4.75));
        // All silent: the reports are suspected.
        assert!(views.panic(8.0));
        assert_eq!(belief(&views, 8.0), [1.0, 1.0, 1.0]);
        views.tidy(100.0);
        assert!(views.is_empty());
    }

    #[test]
    fn what_cannot_be_is_refused_and_room_is_bounded() {
        let mut views = Views::new(Bounds { most_servers: 1, ..Bounds::default() });
        for wrong in [
            Report { limit: f64::NAN, ..report("n1", 1, 0.0) },
            Report { pressure: 1.5, ..report("n1", 1, 0.0) },
            Report { instance: "x".repeat(500), ..report("n1", 1, 0.0) },
            Report { leaving: Some(-1.0), ..report("n1", 1, 0.0) },
        ] {
            assert!(matches!(views.take(0.0, wrong), Verdict::Impossible(_)));
        }
        assert_eq!(views.take(0.0, report("n1", 1, 0.0)), Verdict::Taken);
        assert_eq!(views.take(0.0, report("n2", 1, 0.0)), Verdict::Full);
    }
}
