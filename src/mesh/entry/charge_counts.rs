//! Counts of what organisations are charged for at an entry.

/// Counts since the daemon's start, for metrics.
#[derive(Debug, Default, Clone, Copy)]
pub struct ChargeCounts {
    /// Tokens that requests took.
    pub taken: u64,
    /// Tokens that came back, since their requests did not run.
    pub returned: u64,
    /// Requests that a quota refused although the known demand was within its rate.
    pub refused_within_rate: u64,
    /// Requests that were refused since their organisation exceeds its part of a full class.
    pub refused_in_full_class: u64,
}
