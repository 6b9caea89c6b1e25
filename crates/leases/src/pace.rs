//! How the leading keeper moves the table's time. Each entry of the log carries a time of the table, in seconds; between two entries the
//! table's time must never move further than true time did (within the drift that terms allow for), whoever leads, or a grant
//! would run out at the keepers while its owner still counts.

/// A look that comes so long after the last one tells of a pause: s.
pub const PAUSE: f64 = 0.5;

/// The leader's watch. A new one is made whenever a keeper begins to lead.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The highest time in the log when it began, and when that was by its own clock.
    base: f64,
    begun: f64,
    last: f64,
    looked: f64,
}

impl Pace {
    /// `highest` is the highest time of any entry that may be in the log, applied or not: those entries were stamped before
    /// now, so that counting on from the highest at this moment runs behind true time, never ahead.
    pub fn lead(highest: f64, now: f64) -> Pace {
        Pace { base: highest, begun: now, last: highest, looked: now }
    }

    /// The table's time for an entry made now. It never falls.
    pub fn stamp(&mut self, now: f64) -> f64 {
        self.last = self.last.max(self.base + (now - self.begun).max(0.0));
        self.last
    }

    /// Whether time alone may be moved now, by which grants run out. Not right after a pause of this process: renewals that came
    /// meanwhile lie unread, and their senders did nothing wrong. Time then stands until what waited was read.
    pub fn look(&mut self, now: f64, unread: bool) -> bool {
        let paused = now - self.looked > PAUSE;
        if !(paused && unread) {
            self.looked = now;
        }
        !paused
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_new_leader_goes_on_from_the_highest_time_and_never_faster_than_its_clock() {
        let mut first = Pace::lead(0.0, 100.0);
        assert_eq!(first.stamp(103.0), 3.0);
        // Two true seconds later another keeper leads, on a clock of its own.
        let mut second = Pace::lead(3.0, 7.0);
        assert_eq!(second.stamp(7.0), 3.0);
        assert_eq!(second.stamp(8.5), 4.5);
        assert_eq!(second.stamp(8.0), 4.5, "a clock that stepped back moves nothing back");
        // The first one never noticed: its stamps run ahead, but no majority takes them.
        assert_eq!(first.stamp(106.5), 6.5);
    }

    #[test]
    fn after_a_pause_time_stands_until_what_waited_was_read() {
        let mut pace = Pace::lead(0.0, 0.0);
        assert!(pace.look(0.1, false));
        assert!(!pace.look(9.0, true), "renewals wait");
        assert!(!pace.look(9.0, false), "they were read in this look");
        assert!(pace.look(9.1, false));
    }
}
