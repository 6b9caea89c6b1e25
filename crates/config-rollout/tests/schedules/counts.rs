//! What came up in a schedule: runs in which some of it never did would prove nothing.

#[derive(Debug, Default)]
pub struct Counts {
    pub versions: u64,
    /// Puts on a head that was no longer the latest.
    pub missed: u64,
    /// Commands of lease holders that were replaced.
    pub stale_epochs: u64,
    /// Puts where no majority could be reached.
    pub no_quorum: u64,
    pub reverted: u64,
    pub activated: u64,
    pub whole_contents: u64,
    pub wrong_digests: u64,
    pub undecodable: u64,
    pub conflicts: u64,
    /// Starts from a last good version.
    pub last_good: u64,
    /// Starts from the base settings, since the disk was torn.
    pub base_settings: u64,
    /// Statuses that said that a version is everywhere.
    pub everywhere: u64,
    /// Distributors that were killed.
    pub kills: u64,
    /// Steps of ten versions or more.
    pub wide_steps: u64,
    /// Longest time from the end of all faults until all servers had the last version, s.
    pub convergence: f64,
    /// The oldest that a server on the side without a majority knew its content to be, s.
    pub oldest: f64,
}

impl Counts {
    pub fn merge(mut self, other: &Counts) -> Counts {
        self.versions += other.versions;
        self.missed += other.missed;
        self.stale_epochs += other.stale_epochs;
        self.no_quorum += other.no_quorum;
        self.reverted += other.reverted;
        self.activated += other.activated;
        self.whole_contents += other.whole_contents;
        self.wrong_digests += other.wrong_digests;
        self.undecodable += other.undecodable;
        self.conflicts += other.conflicts;
        self.last_good += other.last_good;
        self.base_settings += other.base_settings;
        self.everywhere += other.everywhere;
        self.kills += other.kills;
        self.wide_steps += other.wide_steps;
        self.convergence = self.convergence.max(other.convergence);
        self.oldest = self.oldest.max(other.oldest);
        self
    }
}
