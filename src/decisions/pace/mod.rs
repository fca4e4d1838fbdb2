//! Finds from its answers how many requests an endpoint takes that has just started or recovered.
//!
//! See `docs/design/pace.md`.

mod draw;
mod usual_times;

use std::time::Duration;

use usual_times::UsualTimes;

pub use draw::wins_draw;

/// Number of requests at once with which an endpoint begins.
const FIRST_LIMIT: f64 = 4.0;
/// Fewest answers by which the limit is judged.
const MIN_ROUND_ANSWERS: u32 = 8;
/// Share of failed and shed requests from which the endpoint is taken to have too many.
const MAX_FAILED_SHARE: f64 = 0.25;
/// Ratio of run times to the usual ones above which an endpoint is slow.
const SLOW_RATIO: f64 = 1.5;
/// Consecutive slow rounds after which the limit falls back; a single one may be chance.
const MAX_SLOW_ROUNDS: u32 = 2;
/// Part of the earlier ratio below which a lower limit has made the answers faster.
const RELIEF_SHARE: f64 = 0.9;
/// Growth after a good round in which the limit was reached.
const FAST_GROWTH: f64 = 2.0;
/// Growth after a good round in which it wasn't, or once the limit has fallen back.
const SLOW_GROWTH: f64 = 1.25;
const FALLBACK_FACTOR: f64 = 0.5;

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceOutcome {
    Answered,
    /// The endpoint refused the request as it has too many.
    Shed,
    Failed,
}

/// One request that an endpoint has ended.
#[derive(Debug, Clone, Copy)]
pub struct PaceSample {
    /// Kind of the request; run times are only compared within a kind.
    pub kind: u32,
    pub run_time: Duration,
    pub outcome: PaceOutcome,
    /// Requests that ran at the endpoint, this one included.
    pub running: u32,
}

/// Answers since the limit was last judged.
#[derive(Debug, Default)]
struct PaceRound {
    ended: u32,
    failed: u32,
    /// Answers of kinds whose usual time is known, and the sum of their ratios to it.
    compared: u32,
    ratios: f64,
    limit_reached: bool,
}

/// Concurrency limit of an endpoint that has just started or recovered.
#[derive(Debug)]
pub struct PaceLimit {
    limit: f64,
    done: bool,
    round: PaceRound,
    usual: UsualTimes,
    /// Slowness that a lower limit did not mend, as a ratio to the usual times; it doesn't come from load.
    tolerated: f64,
    slow_rounds: u32,
    /// Ratio to the usual times before the limit fell back, until the next round tells whether that helped.
    ratio_before: Option<f64>,
    has_fallen_back: bool,
}

impl Default for PaceLimit {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            done: true,
            round: PaceRound::default(),
            usual: UsualTimes::default(),
            tolerated: 1.0,
            slow_rounds: 0,
            ratio_before: None,
            has_fallen_back: false,
        }
    }
}

impl PaceLimit {
    /// Begins anew with a low limit; the usual times of before stay known.
    pub fn begin(&mut self) {
        *self = Self {
            done: false,
            usual: std::mem::take(&mut self.usual),
            ..Self::default()
        };
    }

    /// Ends the limit, as no other endpoint could take the requests that it holds back.
    pub fn end(&mut self) {
        self.done = true;
    }

    /// Returns true unless the endpoint is limited.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the number of requests that the endpoint gets at once, of its `usable_slots`; the limit ends
    /// once it reaches them.
    pub fn limit(&mut self, usable_slots: u32) -> u32 {
        self.done |= self.limit >= f64::from(usable_slots);
        if self.done {
            usable_slots
        } else {
            self.limit as u32
        }
    }

    /// Records a request that has ended; returns true if the limit has changed.
    pub fn record(&mut self, sample: PaceSample) -> bool {
        let is_answered = sample.outcome == PaceOutcome::Answered;
        if self.done {
            if is_answered {
                self.usual.learn(sample.kind, sample.run_time);
            }
            return false;
        }
        let round = &mut self.round;
        round.ended += 1;
        round.failed += u32::from(!is_answered);
        round.limit_reached |= f64::from(sample.running) >= self.limit.floor();
        if is_answered {
            if let Some(ratio) = self.usual.compare(sample.kind, sample.run_time) {
                round.compared += 1;
                round.ratios += ratio;
            }
        }
        // A limit that is reached is judged by as many answers as it lets run at once, so that all of them
        // were sent under it.
        let needed = if round.limit_reached {
            (self.limit as u32).max(MIN_ROUND_ANSWERS)
        } else {
            MIN_ROUND_ANSWERS
        };
        if round.ended < needed {
            return false;
        }
        let round = std::mem::take(&mut self.round);
        let before = self.limit;
        self.judge(&round);
        self.limit != before
    }

    fn judge(&mut self, round: &PaceRound) {
        let failed_share = f64::from(round.failed) / f64::from(round.ended);
        if failed_share > MAX_FAILED_SHARE {
            self.fall_back();
            self.ratio_before = None;
            return;
        }
        let ratio = match round.compared {
            0 => 1.0,
            compared => round.ratios / f64::from(compared) / self.tolerated,
        };
        if ratio <= SLOW_RATIO {
            self.tolerated = (self.tolerated * ratio.min(1.0)).max(1.0);
            self.slow_rounds = 0;
            self.ratio_before = None;
            let is_probing = round.limit_reached && !self.has_fallen_back;
            self.limit *= if is_probing { FAST_GROWTH } else { SLOW_GROWTH };
            return;
        }
        match self.ratio_before.take() {
            Some(before) if ratio > before * RELIEF_SHARE => {
                self.tolerated *= ratio;
                self.slow_rounds = 0;
                self.has_fallen_back = false;
            }
            Some(_) => self.slow_rounds = 1,
            None => {
                self.slow_rounds += 1;
                if self.slow_rounds >= MAX_SLOW_ROUNDS {
                    self.fall_back();
                    self.ratio_before = Some(ratio);
                }
            }
        }
    }

    fn fall_back(&mut self) {
        let lowered = (self.limit * FALLBACK_FACTOR).max(FIRST_LIMIT);
        self.has_fallen_back |= lowered < self.limit;
        self.limit = lowered;
        self.slow_rounds = 0;
    }
}
