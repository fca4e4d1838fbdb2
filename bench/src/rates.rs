//! Three ways to keep an organisation's rate over a fleet, by refusals within rate and by what is
//! spent over it. See `docs/design/rates.md`.

use std::time::Duration;

use marigoldhatch::decisions::rates::shard_count;
use marigoldhatch::decisions::rates::TokenBucket;
use marigoldhatch::decisions::rates::TokenCache;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const ENTRIES: usize = 15;
const RATE: f64 = 300.0;
const BURST: f64 = 150.0;
const STEP: Duration = Duration::from_millis(1);
const RUN: Duration = Duration::from_secs(60);
/// How often shares that follow demand are set anew through the log.
const SHARE_INTERVAL: Duration = Duration::from_secs(5);
/// The entry that crashes in the second half and the time for which its home has no successor.
const CRASH: Duration = Duration::from_secs(30);
const SUCCESSION: Duration = Duration::from_millis(6_500);

/// How the rate is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RateKeeping {
    EqualShares,
    DemandShares,
    Homes,
}

/// Where callers come in.
#[derive(Debug, Clone, Copy)]
enum EntryMix {
    Even,
    /// Nine in ten calls come in at two entries, which change every ten seconds.
    Skewed,
}

struct RateOutcome {
    offered: u64,
    within: u64,
    refused_within: u64,
    worst_excess: f64,
}

/// Prints the table.
pub fn run(seed: u64) {
    println!(
        "{:<8} {:<6} {:<14} {:>9} {:>15} {:>16}",
        "entries", "load", "way", "offered", "refused within", "most over rate"
    );
    for mix in [EntryMix::Even, EntryMix::Skewed] {
        for load in [0.8, 3.0] {
            for keeping in [
                RateKeeping::EqualShares,
                RateKeeping::DemandShares,
                RateKeeping::Homes,
            ] {
                let outcome = simulate(keeping, mix, load, seed);
                println!(
                    "{:<8} {:<6} {:<14} {:>9} {:>14.3}% {:>16.1}",
                    format!("{mix:?}").to_lowercase(),
                    format!("{load}x"),
                    format!("{keeping:?}"),
                    outcome.offered,
                    100.0 * outcome.refused_within as f64 / outcome.within.max(1) as f64,
                    outcome.worst_excess
                );
            }
        }
    }
}

/// A plain bucket, for shares and for the ideal.
#[derive(Debug, Clone)]
struct PlainBucket {
    rate: f64,
    burst: f64,
    level: f64,
}

impl PlainBucket {
    fn from_terms(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.level = (self.level + self.rate * time.as_secs_f64()).min(self.burst);
    }

    fn take(&mut self) -> bool {
        let has = self.level >= 1.0;
        self.level -= f64::from(u8::from(has));
        has
    }
}

fn simulate(keeping: RateKeeping, mix: EntryMix, load: f64, seed: u64) -> RateOutcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ideal = PlainBucket::from_terms(RATE, BURST);
    let mut keeper = RateKeeper::from_keeping(keeping);
    let mut outcome = RateOutcome {
        offered: 0,
        within: 0,
        refused_within: 0,
        worst_excess: 0.0,
    };
    let mut spent = Vec::new();
    let mut now = Duration::ZERO;
    while now < RUN {
        now += STEP;
        ideal.pass(STEP);
        keeper.pass(now);
        if rng.random_range(0.0..1.0) >= RATE * load * STEP.as_secs_f64() {
            continue;
        }
        let entry = draw_entry(&mut rng, mix, now);
        let within = ideal.take();
        let taken = keeper.take(now, entry);
        outcome.offered += 1;
        outcome.within += u64::from(within);
        outcome.refused_within += u64::from(within && !taken);
        if taken {
            spent.push(now.as_secs_f64());
        }
    }
    outcome.worst_excess = worst_excess(&spent);
    outcome
}

fn draw_entry(rng: &mut SmallRng, mix: EntryMix, now: Duration) -> usize {
    let hot = (now.as_secs() / 10) as usize * 2;
    match mix {
        EntryMix::Skewed if rng.random_range(0..10) < 9 => (hot + rng.random_range(0..2)) % ENTRIES,
        _ => rng.random_range(0..ENTRIES),
    }
}

/// The most that any window got beyond rate × time + burst; at most zero when the bound holds.
fn worst_excess(spent: &[f64]) -> f64 {
    // With d(i) = i − rate × t(i), a window from i to j got d(j) − d(i) + 1 more than its rate.
    let mut lowest = f64::INFINITY;
    let mut worst = f64::NEG_INFINITY;
    for (index, time) in spent.iter().enumerate() {
        let drift = index as f64 - RATE * time;
        lowest = lowest.min(drift);
        worst = worst.max(drift - lowest + 1.0 - BURST);
    }
    worst
}

/// One of the three ways at work.
enum RateKeeper {
    Shares {
        buckets: Vec<PlainBucket>,
        demand: Vec<f64>,
        follow: bool,
        next: Duration,
    },
    Homes {
        homes: Vec<TokenBucket>,
        purses: Vec<Vec<TokenCache>>,
        turn: usize,
        now: Duration,
    },
}

impl RateKeeper {
    fn from_keeping(keeping: RateKeeping) -> Self {
        if keeping == RateKeeping::Homes {
            let parts = shard_count(BURST) as usize;
            let (rate, burst) = (RATE / parts as f64, BURST / parts as f64);
            return Self::Homes {
                homes: (0..parts)
                    .map(|_| TokenBucket::from_full(rate, burst, 0))
                    .collect(),
                purses: (0..ENTRIES)
                    .map(|_| (0..parts).map(|_| TokenCache::default()).collect())
                    .collect(),
                turn: 0,
                now: Duration::ZERO,
            };
        }
        let share = ENTRIES as f64;
        Self::Shares {
            buckets: vec![PlainBucket::from_terms(RATE / share, BURST / share); ENTRIES],
            demand: vec![1.0; ENTRIES],
            follow: keeping == RateKeeping::DemandShares,
            next: SHARE_INTERVAL,
        }
    }

    fn pass(&mut self, now: Duration) {
        match self {
            Self::Shares {
                buckets,
                demand,
                follow,
                next,
            } => {
                buckets.iter_mut().for_each(|bucket| bucket.pass(STEP));
                if *follow && now >= *next {
                    *next = now + SHARE_INTERVAL;
                    set_shares(buckets, demand);
                }
            }
            Self::Homes { now: at, .. } => *at = now,
        }
    }

    fn take(&mut self, now: Duration, entry: usize) -> bool {
        match self {
            Self::Shares {
                buckets, demand, ..
            } => {
                demand[entry] += 1.0;
                buckets[entry].take()
            }
            Self::Homes {
                homes,
                purses,
                turn,
                ..
            } => {
                *turn += 1;
                let parts = homes.len();
                purses[entry][*turn % parts].record_demand(now);
                (0..parts).any(|step| {
                    let part = (*turn + step) % parts;
                    take_from(&mut purses[entry][part], &mut homes[part], part, now)
                })
            }
        }
    }
}

/// Shares follow demand; a bucket never gains by it, so that the sum stays within the burst.
fn set_shares(buckets: &mut [PlainBucket], demand: &mut [f64]) {
    let total: f64 = demand.iter().sum();
    for (bucket, wanted) in buckets.iter_mut().zip(demand.iter_mut()) {
        let share = *wanted / total;
        bucket.rate = RATE * share;
        bucket.burst = BURST * share;
        bucket.level = bucket.level.min(bucket.burst);
        *wanted = 1.0;
    }
}

fn take_from(purse: &mut TokenCache, home: &mut TokenBucket, part: usize, now: Duration) -> bool {
    if purse.spend(now) {
        return true;
    }
    let gone = part == 0 && (CRASH..CRASH + SUCCESSION).contains(&now);
    if let Some(ask) = purse.begin_refill(now, 1) {
        if gone {
            purse.finish_refill(now, None);
        } else {
            for settlement in &ask.settlements {
                home.settle(now.as_millis() as u64, u64::MAX, settlement);
            }
            purse.finish_refill(now, home.grant(now.as_millis() as u64, u64::MAX, ask.want));
        }
    }
    purse.spend(now)
}
