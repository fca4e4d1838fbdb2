//! Compares three schemes of limiting an organisation's rate across a fleet, by refusals within the
//! rate and by tokens spent over it. See `docs/design/rates.md`.

use std::time::Duration;

use marigoldhatch::decisions::rates::shard_count;
use marigoldhatch::decisions::rates::TokenBucket;
use marigoldhatch::decisions::rates::TokenCache;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// Number of entries.
const ENTRY_COUNT: usize = 15;
/// Rate of the organisation, in calls per second.
const RATE: f64 = 300.0;
/// Burst of the organisation, in calls.
const BURST: f64 = 150.0;
const TIME_STEP: Duration = Duration::from_millis(1);
const RUN_DURATION: Duration = Duration::from_secs(60);
/// Interval at which shares that follow demand are updated through the log.
const SHARE_INTERVAL: Duration = Duration::from_secs(5);
/// Time at which the entry that holds the home of the first shard crashes, in the second half of
/// the run.
const CRASH_TIME: Duration = Duration::from_secs(30);
/// Time for which the crashed home has no successor.
const TAKEOVER_DELAY: Duration = Duration::from_millis(6_500);

/// Scheme that limits the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RateScheme {
    /// Each entry has an equal share.
    EqualShares,
    /// The share of each entry follows its demand.
    DemandShares,
    /// Homes hold token buckets, and entries cache tokens.
    Homes,
}

/// Distribution of calls over the entries.
#[derive(Debug, Clone, Copy)]
enum EntryMix {
    /// Calls are spread evenly over all entries.
    Even,
    /// Nine in ten calls arrive at two entries, which change every ten seconds.
    Skewed,
}

/// Counts of one run.
struct RateOutcome {
    offered: u64,
    /// Calls that the ideal bucket admits.
    within_rate: u64,
    /// Those of the calls within the rate that the scheme refused.
    refused_within_rate: u64,
    /// Largest number of tokens spent in any window beyond rate × time + burst.
    worst_excess: f64,
}

/// Simulates each scheme under each distribution and load, and prints a table.
pub fn run(seed: u64) {
    println!(
        "{:<8} {:<6} {:<14} {:>9} {:>15} {:>16}",
        "entries", "load", "scheme", "offered", "refused within", "most over rate"
    );
    for mix in [EntryMix::Even, EntryMix::Skewed] {
        for load in [0.8, 3.0] {
            for scheme in [
                RateScheme::EqualShares,
                RateScheme::DemandShares,
                RateScheme::Homes,
            ] {
                let outcome = simulate(scheme, mix, load, seed);
                println!(
                    "{:<8} {:<6} {:<14} {:>9} {:>14.3}% {:>16.1}",
                    format!("{mix:?}").to_lowercase(),
                    format!("{load}x"),
                    format!("{scheme:?}"),
                    outcome.offered,
                    100.0 * outcome.refused_within_rate as f64 / outcome.within_rate.max(1) as f64,
                    outcome.worst_excess
                );
            }
        }
    }
}

/// A token bucket without caches, for the shares and for the ideal of one bucket for the fleet.
#[derive(Debug, Clone)]
struct SimpleBucket {
    rate: f64,
    burst: f64,
    level: f64,
}

impl SimpleBucket {
    fn from_rate(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
        }
    }

    fn advance(&mut self, time: Duration) {
        self.level = (self.level + self.rate * time.as_secs_f64()).min(self.burst);
    }

    fn spend(&mut self) -> bool {
        let has_token = self.level >= 1.0;
        self.level -= f64::from(u8::from(has_token));
        has_token
    }
}

fn simulate(scheme: RateScheme, mix: EntryMix, load: f64, seed: u64) -> RateOutcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ideal_bucket = SimpleBucket::from_rate(RATE, BURST);
    let mut limiter = FleetLimiter::from_scheme(scheme);
    let mut outcome = RateOutcome {
        offered: 0,
        within_rate: 0,
        refused_within_rate: 0,
        worst_excess: 0.0,
    };
    let mut spend_times = Vec::new();
    let mut now = Duration::ZERO;
    while now < RUN_DURATION {
        now += TIME_STEP;
        ideal_bucket.advance(TIME_STEP);
        limiter.advance(now);
        if rng.random_range(0.0..1.0) >= RATE * load * TIME_STEP.as_secs_f64() {
            continue;
        }
        let entry = sample_entry(&mut rng, mix, now);
        let within_rate = ideal_bucket.spend();
        let admitted = limiter.spend(now, entry);
        outcome.offered += 1;
        outcome.within_rate += u64::from(within_rate);
        outcome.refused_within_rate += u64::from(within_rate && !admitted);
        if admitted {
            spend_times.push(now.as_secs_f64());
        }
    }
    outcome.worst_excess = worst_excess(&spend_times);
    outcome
}

fn sample_entry(rng: &mut SmallRng, mix: EntryMix, now: Duration) -> usize {
    let first_busy_entry = (now.as_secs() / 10) as usize * 2;
    match mix {
        EntryMix::Skewed if rng.random_range(0..10) < 9 => {
            (first_busy_entry + rng.random_range(0..2)) % ENTRY_COUNT
        }
        _ => rng.random_range(0..ENTRY_COUNT),
    }
}

/// Returns the largest number of tokens spent in any window beyond rate × time + burst; at most
/// zero if the bound holds.
fn worst_excess(spend_times: &[f64]) -> f64 {
    // With d(i) = i − rate × t(i), a window from i to j spent d(j) − d(i) + 1 more than its rate.
    let mut lowest_drift = f64::INFINITY;
    let mut worst_excess = f64::NEG_INFINITY;
    for (index, time) in spend_times.iter().enumerate() {
        let drift = index as f64 - RATE * time;
        lowest_drift = lowest_drift.min(drift);
        worst_excess = worst_excess.max(drift - lowest_drift + 1.0 - BURST);
    }
    worst_excess
}

/// Rate limiter of the whole fleet under one scheme.
enum FleetLimiter {
    Shares {
        buckets: Vec<SimpleBucket>,
        demand: Vec<f64>,
        follows_demand: bool,
        next_update: Duration,
    },
    Homes {
        buckets: Vec<TokenBucket>,
        caches: Vec<Vec<TokenCache>>,
        spend_count: usize,
        now: Duration,
    },
}

impl FleetLimiter {
    fn from_scheme(scheme: RateScheme) -> Self {
        if scheme == RateScheme::Homes {
            let bucket_count = shard_count(BURST) as usize;
            let (rate, burst) = (RATE / bucket_count as f64, BURST / bucket_count as f64);
            return Self::Homes {
                buckets: (0..bucket_count)
                    .map(|_| TokenBucket::from_full(rate, burst, 0))
                    .collect(),
                caches: (0..ENTRY_COUNT)
                    .map(|_| (0..bucket_count).map(|_| TokenCache::default()).collect())
                    .collect(),
                spend_count: 0,
                now: Duration::ZERO,
            };
        }
        let share = ENTRY_COUNT as f64;
        Self::Shares {
            buckets: vec![SimpleBucket::from_rate(RATE / share, BURST / share); ENTRY_COUNT],
            demand: vec![1.0; ENTRY_COUNT],
            follows_demand: scheme == RateScheme::DemandShares,
            next_update: SHARE_INTERVAL,
        }
    }

    fn advance(&mut self, now: Duration) {
        match self {
            Self::Shares {
                buckets,
                demand,
                follows_demand,
                next_update,
            } => {
                buckets
                    .iter_mut()
                    .for_each(|bucket| bucket.advance(TIME_STEP));
                if *follows_demand && now >= *next_update {
                    *next_update = now + SHARE_INTERVAL;
                    update_shares(buckets, demand);
                }
            }
            Self::Homes {
                now: limiter_now, ..
            } => *limiter_now = now,
        }
    }

    fn spend(&mut self, now: Duration, entry: usize) -> bool {
        match self {
            Self::Shares {
                buckets, demand, ..
            } => {
                demand[entry] += 1.0;
                buckets[entry].spend()
            }
            Self::Homes {
                buckets,
                caches,
                spend_count,
                ..
            } => {
                *spend_count += 1;
                let bucket_count = buckets.len();
                caches[entry][*spend_count % bucket_count].record_demand(now);
                (0..bucket_count).any(|step| {
                    let shard = (*spend_count + step) % bucket_count;
                    spend_from(&mut caches[entry][shard], &mut buckets[shard], shard, now)
                })
            }
        }
    }
}

/// Sets the shares by demand. The level of a bucket never grows by it, so that the sum stays within
/// the burst.
fn update_shares(buckets: &mut [SimpleBucket], demand: &mut [f64]) {
    let total: f64 = demand.iter().sum();
    for (bucket, entry_demand) in buckets.iter_mut().zip(demand.iter_mut()) {
        let share = *entry_demand / total;
        bucket.rate = RATE * share;
        bucket.burst = BURST * share;
        bucket.level = bucket.level.min(bucket.burst);
        *entry_demand = 1.0;
    }
}

fn spend_from(
    cache: &mut TokenCache,
    bucket: &mut TokenBucket,
    shard: usize,
    now: Duration,
) -> bool {
    if cache.spend(now) {
        return true;
    }
    let home_unavailable = shard == 0 && (CRASH_TIME..CRASH_TIME + TAKEOVER_DELAY).contains(&now);
    if let Some(request) = cache.begin_refill(now, 1) {
        if home_unavailable {
            cache.finish_refill(now, None);
        } else {
            for settlement in &request.settlements {
                bucket.settle(now.as_millis() as u64, u64::MAX, settlement);
            }
            cache.finish_refill(
                now,
                bucket.grant(now.as_millis() as u64, u64::MAX, request.want),
            );
        }
    }
    cache.spend(now)
}
