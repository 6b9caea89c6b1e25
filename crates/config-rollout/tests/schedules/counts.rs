//! Event counts of schedules, which show that each case was exercised.

#[derive(Debug, Default)]
pub struct Counts {
    pub versions: u64,
    /// Puts rejected because of an outdated base.
    pub missed: u64,
    /// Commands rejected because of a stale epoch.
    pub stale_epochs: u64,
    /// Puts without a reachable majority.
    pub no_quorum: u64,
    pub reverted: u64,
    pub activated: u64,
    pub whole_contents: u64,
    pub wrong_digests: u64,
    pub undecodable: u64,
    pub conflicts: u64,
    /// Server starts from the last good version.
    pub last_good: u64,
    /// Server starts from the base settings because the disk was corrupted.
    pub base_settings: u64,
    /// Statuses that reported all servers up to date.
    pub everywhere: u64,
    /// Killed distributors.
    pub kills: u64,
    /// Activations that skipped at least nine versions.
    pub wide_steps: u64,
    /// Maximum time from the last fault until all servers had the latest version, s.
    pub convergence: f64,
    /// Maximum age that a partitioned server computed for its content, s.
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
