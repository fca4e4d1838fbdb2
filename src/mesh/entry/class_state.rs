//! Demand and admitted share of one request class at an entry.

/// Weight of the newest sample in the smoothed rates, one sample per allocation. The memory of
/// about a second follows a burst closely enough.
const RATE_SMOOTHING: f64 = 0.25;
/// Maximum of the accumulated shares, so that a pause saves up no burst.
const MAX_CREDIT: f64 = 2.0;
/// Minimum share by which a returned request is converted into arrivals. At smaller shares the
/// conversion would swing with single requests.
const MIN_RETURN_SHARE: f64 = 0.1;

/// Demand and admitted share of one request class.
#[derive(Debug)]
pub struct ClassState {
    /// Requests since the last update, without those that the quotas refuse.
    offered: f64,
    /// Smoothed requests per second.
    offered_rate: f64,
    /// Share of the requests that are admitted.
    share: f64,
    /// Accumulated shares; a request is admitted for each whole one.
    credit: f64,
}

impl Default for ClassState {
    fn default() -> Self {
        Self {
            offered: 0.0,
            offered_rate: 0.0,
            share: 1.0,
            credit: 0.5,
        }
    }
}

impl ClassState {
    /// Counts a request and returns true if the class's share admits it.
    pub fn admit(&mut self) -> bool {
        self.offered += 1.0;
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Takes back a request that the share admitted and its organisation's quota refused.
    ///
    /// It stands for as many arrivals as the share lets one of through, and all of those are beyond
    /// the quota. So the demand that is left is the part that the quota lets in, and the next share
    /// allocates the capacity to it. The place itself isn't returned: the arrivals that are
    /// taken back have accumulated it.
    pub fn return_admission(&mut self) {
        self.offered -= 1.0 / self.share.max(MIN_RETURN_SHARE);
    }

    /// Adds the requests since the last update, `seconds` ago, to the smoothed rate.
    pub fn update_rate(&mut self, seconds: f64) {
        let rate = self.offered / seconds;
        self.offered_rate += RATE_SMOOTHING * (rate - self.offered_rate);
        self.offered = 0.0;
    }

    /// Returns the smoothed requests per second that the quotas let in.
    pub fn offered_rate(&self) -> f64 {
        self.offered_rate
    }

    /// Returns the share of the requests that are admitted.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Sets the share of the requests that are admitted.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }
}
