//! Collects the statistics of a run and derives the reported figures.

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

/// Length of the time buckets in which requests are counted.
const BUCKET_LENGTH: Duration = Duration::from_millis(250);
/// Share of first attempts that must succeed for a bucket to count as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Time at the start of the trigger in which queues fill; excluded from the steady state.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
const IMPORTANCE_COUNT: usize = 4;

/// Counts of one time bucket.
#[derive(Debug, Clone, Default)]
struct StatsBucket {
    /// First attempts that arrived, by organisation and importance.
    arrivals: [[u32; IMPORTANCE_COUNT]; DEMAND_SHARES.len()],
    /// Requests that succeeded, by organisation.
    successes: [u32; DEMAND_SHARES.len()],
    /// First attempts of organisations whose demand is within their rates.
    first_attempts: u32,
    /// Those of `first_attempts` that succeeded.
    first_successes: u32,
}

/// Statistics of one run.
#[derive(Debug, Default)]
pub struct RunStats {
    buckets: Vec<StatsBucket>,
    /// Attempts of organisations that were within their rates.
    pub attempts_within_rate: u64,
    /// Those of `attempts_within_rate` that were refused by the rate limit.
    pub refusals_within_rate: u64,
    /// Runs of non-idempotent requests that had already run.
    pub duplicate_runs: u64,
    /// Critical requests refused while less important calls waited at the same node.
    pub critical_refusals: u64,
    /// Calls that the deep service started.
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

    /// Records the first attempt of a request.
    pub fn record_arrival(&mut self, now: Duration, organisation: usize, importance: Importance) {
        let bucket = &mut self.buckets[bucket_index(now)];
        bucket.arrivals[organisation][importance as usize] += 1;
    }

    /// Records the first attempt of an organisation whose demand is within its rate.
    pub fn record_first_attempt_within_rate(&mut self, now: Duration) {
        self.buckets[bucket_index(now)].first_attempts += 1;
    }

    /// Records a request's first successful response. `arrived_at` is the arrival of its first
    /// attempt, if that attempt succeeded and the organisation's demand is within its rate.
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

    /// Records a refusal if it is of a critical request while less important calls wait.
    pub fn record_critical_refusal(
        &mut self,
        importance: Importance,
        less_important_waiting: bool,
    ) {
        self.critical_refusals +=
            u64::from(less_important_waiting && importance == Importance::Critical);
    }

    /// Calls that the deep service started for each successful request.
    pub fn runs_per_success(&self) -> f64 {
        let successes: u32 = self
            .buckets
            .iter()
            .flat_map(|bucket| &bucket.successes)
            .sum();
        self.executions as f64 / f64::from(successes.max(1))
    }

    /// Goodput in the steady state of the trigger, as a share of what can be served then.
    pub fn goodput(&self, case: OverloadCase) -> f64 {
        let success_rate: f64 = self.success_rates(case).iter().sum();
        let fair_share: f64 = self.fair_shares(case).iter().sum();
        success_rate / fair_share
    }

    /// Goodput of the worst-served organisation, as a share of its fair share.
    pub fn worst_served(&self, case: OverloadCase) -> f64 {
        self.success_rates(case)
            .iter()
            .zip(self.fair_shares(case))
            .map(|(success_rate, fair_share)| success_rate / fair_share)
            .fold(f64::INFINITY, f64::min)
    }

    /// Time from the end of the trigger until first attempts succeed and continue to.
    pub fn recovery_time(&self, case: OverloadCase) -> Duration {
        let first = bucket_index(case.trigger_end());
        let last = bucket_index(case.run_end() - Duration::from_secs(2));
        let is_recovered = |index: usize| {
            let bucket = &self.buckets[index];
            f64::from(bucket.first_successes) >= RECOVERED_SHARE * f64::from(bucket.first_attempts)
        };
        let last_unrecovered = (first..last).rev().find(|index| !is_recovered(*index));
        last_unrecovered.map_or(Duration::ZERO, |index| {
            BUCKET_LENGTH * (index + 1 - first) as u32
        })
    }

    /// Successful requests per second of each organisation in the steady state.
    fn success_rates(&self, case: OverloadCase) -> Vec<f64> {
        let (steady_buckets, seconds) = steady_buckets(case);
        (0..DEMAND_SHARES.len())
            .map(|organisation| {
                let count: u32 = self.buckets[steady_buckets.clone()]
                    .iter()
                    .map(|bucket| bucket.successes[organisation])
                    .sum();
                f64::from(count) / seconds
            })
            .collect()
    }

    /// Fair share of each organisation, in requests per second: strict priority by importance, and
    /// within an importance max-min fair over the arrivals within the rates.
    fn fair_shares(&self, case: OverloadCase) -> Vec<f64> {
        let (steady_buckets, seconds) = steady_buckets(case);
        let mut remaining = capacity(case);
        let mut total = vec![0.0; DEMAND_SHARES.len()];
        let arrival_rate = |organisation: usize, importance: usize| {
            let buckets = self.buckets[steady_buckets.clone()].iter();
            let count: u32 = buckets
                .map(|bucket| bucket.arrivals[organisation][importance])
                .sum();
            f64::from(count) / seconds
        };
        let within_rate_share = |organisation: usize| {
            let total_rate: f64 = (0..IMPORTANCE_COUNT)
                .map(|importance| arrival_rate(organisation, importance))
                .sum();
            (demand::rate(case, organisation) / total_rate.max(1e-9)).min(1.0)
        };
        for importance in 0..IMPORTANCE_COUNT {
            let offered: Vec<f64> = (0..DEMAND_SHARES.len())
                .map(|organisation| {
                    arrival_rate(organisation, importance) * within_rate_share(organisation)
                })
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

/// Range of the buckets in the steady state of the trigger, and its length in seconds.
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

/// Requests per second that the deep service can complete during the trigger.
fn capacity(case: OverloadCase) -> f64 {
    match case {
        OverloadCase::SlowService => CAPACITY / SLOW_FACTOR,
        OverloadCase::ExecutorCrash => CAPACITY * (DEEP_COUNT - 1) as f64 / DEEP_COUNT as f64,
        _ => CAPACITY,
    }
}
