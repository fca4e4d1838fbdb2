//! What a run is measured by.

use std::time::Duration;

use marigoldhatch::wire::Importance;

use super::case::OverloadCase;
use super::case::CRASH_TIME;
use super::case::SLOW_FACTOR;
use super::case::TRIGGER_START;
use super::demand;
use super::demand::CAPACITY;
use super::demand::DEMAND_SHARES;
use super::fleet::DEEP_COUNT;

/// Length of the buckets in which goodput is looked at.
const BUCKET_LENGTH: Duration = Duration::from_millis(250);
/// A bucket in which this share of requests was answered at the first try counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// The trigger's first part, in which queues fill, is not part of the steady measure.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
const IMPORTANCE_COUNT: usize = 4;

/// Counts of one bucket, by organisation and importance.
#[derive(Debug, Clone, Default)]
struct StatsBucket {
    /// First tries that came.
    arrivals: [[u32; IMPORTANCE_COUNT]; DEMAND_SHARES.len()],
    successes: [u32; DEMAND_SHARES.len()],
    /// First tries of organisations whose demand is within their rates, and those of them that were answered.
    first_attempts: u32,
    first_successes: u32,
}

/// Counts of one run.
#[derive(Debug, Default)]
pub struct RunStats {
    buckets: Vec<StatsBucket>,
    /// Tries of organisations that were within their rates, and those refused of them.
    pub attempts_within_rate: u64,
    pub refusals_within_rate: u64,
    pub duplicate_runs: u64,
    /// Critical requests refused while less important work waited.
    pub critical_refusals: u64,
    pub executions: u64,
}

impl RunStats {
    pub fn from_case(case: OverloadCase) -> Self {
        let buckets = case.run_end().as_millis() / BUCKET_LENGTH.as_millis() + 2;
        Self {
            buckets: vec![StatsBucket::default(); buckets as usize],
            ..Self::default()
        }
    }

    pub fn record_arrival(&mut self, now: Duration, organisation: usize, importance: Importance) {
        let bucket = &mut self.buckets[bucket_index(now)];
        bucket.arrivals[organisation][importance as usize] += 1;
    }

    /// Notes the first try of an organisation whose demand is within its rate.
    pub fn record_first_attempt_within_rate(&mut self, now: Duration) {
        self.buckets[bucket_index(now)].first_attempts += 1;
    }

    /// Notes a request's first whole answer; `arrivals` is when its first try came, if that was
    /// answered and its organisation's demand is within its rate.
    pub fn record_success(
        &mut self,
        now: Duration,
        organisation: usize,
        arrived_at: Option<Duration>,
    ) {
        self.buckets[bucket_index(now)].successes[organisation] += 1;
        if let Some(arrived_at) = arrived_at {
            self.buckets[bucket_index(arrived_at)].first_successes += 1;
        }
    }

    pub fn record_critical_refusal(&mut self, importance: Importance, shed: bool) {
        self.critical_refusals += u64::from(shed && importance == Importance::Critical);
    }

    /// Runs of the deep service for each whole answer.
    pub fn runs_per_success(&self) -> f64 {
        let successes: u32 = self
            .buckets
            .iter()
            .flat_map(|bucket| &bucket.successes)
            .sum();
        self.executions as f64 / f64::from(successes.max(1))
    }

    /// Goodput in the steady part of the trigger, as a share of what can be served then.
    pub fn goodput(&self, case: OverloadCase) -> f64 {
        let success_rate: f64 = self.success_rates(case).iter().sum();
        let fair_share: f64 = self.fair_shares(case).iter().sum();
        success_rate / fair_share
    }

    /// The worst-served organisation's part of what it was due.
    pub fn worst_served(&self, case: OverloadCase) -> f64 {
        self.success_rates(case)
            .iter()
            .zip(self.fair_shares(case))
            .map(|(success_rate, fair_share)| success_rate / fair_share)
            .fold(f64::INFINITY, f64::min)
    }

    /// Time from the trigger's end until first tries are answered, and stay so.
    pub fn recovery_time(&self, case: OverloadCase) -> Duration {
        let first = bucket_index(case.trigger_end());
        let last = bucket_index(case.run_end() - Duration::from_secs(2));
        let is_recovered = |at: usize| {
            let bucket = &self.buckets[at];
            f64::from(bucket.first_successes) >= RECOVERED_SHARE * f64::from(bucket.first_attempts)
        };
        let last_unrecovered = (first..last).rev().find(|at| !is_recovered(*at));
        last_unrecovered.map_or(Duration::ZERO, |at| BUCKET_LENGTH * (at + 1 - first) as u32)
    }

    /// Requests a second that each organisation got answered in the steady part.
    fn success_rates(&self, case: OverloadCase) -> Vec<f64> {
        let (steady_buckets, seconds) = steady_buckets(case);
        (0..DEMAND_SHARES.len())
            .map(|org| {
                let count: u32 = self.buckets[steady_buckets.clone()]
                    .iter()
                    .map(|bucket| bucket.successes[org])
                    .sum();
                f64::from(count) / seconds
            })
            .collect()
    }

    /// What each organisation is due: the important first, and within an importance max-min fair
    /// over what came within the rates.
    fn fair_shares(&self, case: OverloadCase) -> Vec<f64> {
        let (steady_buckets, seconds) = steady_buckets(case);
        let mut remaining = capacity(case);
        let mut total = vec![0.0; DEMAND_SHARES.len()];
        let arrival_rate = |org: usize, importance: usize| {
            let buckets = self.buckets[steady_buckets.clone()].iter();
            let count: u32 = buckets.map(|bucket| bucket.arrivals[org][importance]).sum();
            f64::from(count) / seconds
        };
        let within_rate_share = |org: usize| {
            let total_rate: f64 = (0..IMPORTANCE_COUNT)
                .map(|importance| arrival_rate(org, importance))
                .sum();
            (demand::rate(case, org) / total_rate.max(1e-9)).min(1.0)
        };
        for importance in 0..IMPORTANCE_COUNT {
            let offered: Vec<f64> = (0..DEMAND_SHARES.len())
                .map(|org| arrival_rate(org, importance) * within_rate_share(org))
                .collect();
            let fair_shares = demand::max_min_shares(&offered, remaining);
            remaining -= fair_shares.iter().sum::<f64>();
            for (sum, share) in total.iter_mut().zip(fair_shares) {
                *sum += share;
            }
        }
        total
    }
}

fn bucket_index(time: Duration) -> usize {
    (time.as_millis() / BUCKET_LENGTH.as_millis()) as usize
}

/// The steady part of the trigger, in buckets, and its length in seconds.
fn steady_buckets(case: OverloadCase) -> (std::ops::Range<usize>, f64) {
    let start = match case {
        OverloadCase::ExecutorCrash | OverloadCase::HomeCrash => CRASH_TIME,
        _ => TRIGGER_START,
    };
    let start = start + SETTLE_TIME;
    let seconds = (case.trigger_end() - start).as_secs_f64();
    (
        bucket_index(start)..bucket_index(case.trigger_end()),
        seconds,
    )
}

fn capacity(case: OverloadCase) -> f64 {
    match case {
        OverloadCase::SlowService => CAPACITY / SLOW_FACTOR,
        OverloadCase::ExecutorCrash => CAPACITY * (DEEP_COUNT - 1) as f64 / DEEP_COUNT as f64,
        _ => CAPACITY,
    }
}
