//! Compares the endpoints of one service by their shares of failures.

use std::cmp::Reverse;

use smallvec::SmallVec;

/// Share of failures in percent from which an endpoint may be set aside: callers notice one failed
/// call in six.
const MIN_PERCENT: u8 = 16;
/// Difference in percent to the median of the service from which an endpoint may be set aside.
const MEDIAN_DISTANCE: u8 = 15;
/// Share in percent below which an endpoint that is set aside is taken back, if it is also less than
/// half of the distance above the median.
const RETURN_PERCENT: u8 = 10;
/// Share of a service's slots that may be set aside at once. Entries still use them when the others are
/// full.
const MAX_ASIDE_SHARE: f64 = 0.5;

/// Health of an endpoint, as the daemon beside it reports it.
#[derive(Debug, Clone, Copy)]
pub struct EndpointHealth {
    /// Share of recent calls that the endpoint failed, in percent.
    pub failure_percent: u8,
    pub slots: u32,
    /// True if the endpoint is set aside now.
    pub set_aside: bool,
}

/// Returns the median share of failures in percent; of an even number, the lower one in the middle.
pub fn median_failure(healths: &[EndpointHealth]) -> u8 {
    let shares = healths.iter().map(|health| health.failure_percent);
    let mut shares: SmallVec<[u8; 32]> = shares.collect();
    shares.sort_unstable();
    let middle = shares.len().saturating_sub(1) / 2;
    shares.get(middle).copied().unwrap_or(0)
}

/// Returns for each endpoint of a service whether it is set aside.
///
/// Endpoints that all fail alike have a fault below them in common, and another one is no better: none
/// is set aside. The worst ones come first, up to a share of the slots.
pub fn set_aside(healths: &[EndpointHealth]) -> SmallVec<[bool; 32]> {
    let median = median_failure(healths);
    let is_outlier = |health: &EndpointHealth| {
        let distance = health.failure_percent.saturating_sub(median);
        if health.set_aside {
            health.failure_percent >= RETURN_PERCENT && distance > MEDIAN_DISTANCE / 2
        } else {
            health.failure_percent >= MIN_PERCENT && distance >= MEDIAN_DISTANCE
        }
    };
    let mut outliers: SmallVec<[usize; 8]> = (0..healths.len())
        .filter(|index| is_outlier(&healths[*index]))
        .collect();
    outliers.sort_by_key(|index| Reverse(healths[*index].failure_percent));
    let slots: u32 = healths.iter().map(|health| health.slots).sum();
    let mut allowed = f64::from(slots) * MAX_ASIDE_SHARE;
    let mut mask: SmallVec<[bool; 32]> = healths.iter().map(|_| false).collect();
    for index in outliers {
        let slots = f64::from(healths[index].slots);
        if slots <= allowed {
            allowed -= slots;
            mask[index] = true;
        }
    }
    mask
}
