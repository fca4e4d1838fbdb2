//! Tests that lost messages, restarts and takeovers never let an organisation exceed its rate.

use std::time::Duration;

use marigoldhatch::decisions::rates::GrantedChunk;
use marigoldhatch::decisions::rates::TokenBucket;
use marigoldhatch::decisions::rates::TokenCache;
use marigoldhatch::wire::ChunkSettlement;
use proptest::prelude::*;

const RATE: f64 = 100.0;
const BURST: f64 = 40.0;
const ENTRIES: usize = 3;

#[derive(Debug, Clone)]
enum RateStep {
    /// A call arrives at an entry.
    Call { entry: usize, waiting_call: bool },
    /// An entry requests tokens for many waiting calls and does not spend them yet.
    Refill { entry: usize, waiting: usize },
    /// An entry spends all its tokens at once.
    Spend { entry: usize },
    /// Time passes.
    Advance { ms: u64 },
    /// A call that received a token does not run.
    Refund { entry: usize },
    /// An entry restarts with an empty cache.
    RestartEntry { entry: usize },
    /// The home is lost and another daemon takes over from a later time.
    ReplaceBucket { gap_ms: u64 },
}

fn step() -> impl Strategy<Value = RateStep> {
    prop_oneof![
        8 => (0..ENTRIES, any::<bool>())
            .prop_map(|(entry, waiting_call)| RateStep::Call { entry, waiting_call }),
        3 => (0..ENTRIES, 1_usize..50)
            .prop_map(|(entry, waiting)| RateStep::Refill { entry, waiting }),
        2 => (0..ENTRIES).prop_map(|entry| RateStep::Spend { entry }),
        3 => (1_u64..400).prop_map(|ms| RateStep::Advance { ms }),
        1 => (0..ENTRIES).prop_map(|entry| RateStep::Refund { entry }),
        1 => (0..ENTRIES).prop_map(|entry| RateStep::RestartEntry { entry }),
        1 => (0_u64..3_000).prop_map(|gap_ms| RateStep::ReplaceBucket { gap_ms }),
    ]
}

struct RateModel {
    now_ms: u64,
    bucket: TokenBucket,
    caches: Vec<TokenCache>,
    spent_at_ms: Vec<u64>,
}

impl RateModel {
    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn call(&mut self, entry: usize, loss: u8, waiting_call: bool) {
        let now = self.now();
        self.caches[entry].record_demand(now);
        self.exchange(entry, usize::from(waiting_call), loss);
        if self.caches[entry].spend(now) {
            self.spent_at_ms.push(self.now_ms);
        }
    }

    fn spend(&mut self, entry: usize) {
        let now = self.now();
        while self.caches[entry].spend(now) {
            self.spent_at_ms.push(self.now_ms);
        }
    }

    /// Sends a request and its response, either of which may be lost.
    fn exchange(&mut self, entry: usize, waiting: usize, loss: u8) {
        let now = self.now();
        let Some(request) = self.caches[entry].begin_refill(now, waiting) else {
            return;
        };
        let mut granted: Option<GrantedChunk> = None;
        if loss % 4 != 1 {
            for settlement in &request.settlements {
                self.bucket.settle(self.now_ms, u64::MAX, settlement);
            }
            granted = self.bucket.grant(self.now_ms, u64::MAX, request.want);
        }
        let answer = granted.filter(|_| loss % 4 != 2);
        self.caches[entry].finish_refill(now, answer);
    }

    fn refund(&mut self, entry: usize) {
        if self.caches[entry].refund() {
            // The call that received the last token is the one that did not run.
            self.spent_at_ms.pop();
        }
    }
}

/// Checks every window that starts and ends at a spent token against rate and burst.
fn assert_within_bound(spent_at_ms: &[u64]) -> Result<(), TestCaseError> {
    let mut lowest = f64::INFINITY;
    for (index, at) in spent_at_ms.iter().enumerate() {
        let drift = index as f64 - RATE * *at as f64 / 1000.0;
        lowest = lowest.min(drift);
        // A window from the lowest point contains one call more than the increase of the drift.
        let excess = drift - lowest + 1.0 - BURST;
        prop_assert!(
            excess <= 1e-6,
            "{excess:.2} tokens above rate and burst at {at} ms"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn no_window_exceeds_rate_and_burst(
        steps in prop::collection::vec((step(), any::<u8>()), 1..150),
    ) {
        let mut model = RateModel {
            now_ms: 1_000_000,
            bucket: TokenBucket::from_full(RATE, BURST, 1_000_000),
            caches: (0..ENTRIES).map(|_| TokenCache::default()).collect(),
            spent_at_ms: Vec::new(),
        };
        for (step, loss) in steps {
            match step {
                RateStep::Call { entry, waiting_call } => model.call(entry, loss, waiting_call),
                RateStep::Refill { entry, waiting } => model.exchange(entry, waiting, loss),
                RateStep::Spend { entry } => model.spend(entry),
                RateStep::Advance { ms } => model.now_ms += ms,
                RateStep::Refund { entry } => model.refund(entry),
                RateStep::RestartEntry { entry } => model.caches[entry] = TokenCache::default(),
                RateStep::ReplaceBucket { gap_ms } => {
                    let start_ms = model.now_ms + gap_ms;
                    model.bucket = TokenBucket::from_takeover(RATE, BURST, start_ms);
                }
            }
        }
        assert_within_bound(&model.spent_at_ms)?;
    }

    #[test]
    fn settlement_of_an_unknown_chunk_is_ignored(
        chunk in any::<u64>(), spent in 0.0..1e6_f64, returned in 0.0..1e6_f64,
    ) {
        let mut bucket = TokenBucket::from_takeover(RATE, BURST, 1_000);
        bucket.settle(1_000, u64::MAX, &ChunkSettlement { chunk, spent, returned });
        prop_assert_eq!(bucket.grant(1_000, u64::MAX, 1.0), None);
    }
}

#[test]
fn single_entry_receives_the_whole_rate() {
    let mut bucket = TokenBucket::from_full(RATE, BURST, 0);
    let mut cache = TokenCache::default();
    let mut served = 0;
    for ms in 0..20_000_u64 {
        let now = Duration::from_millis(ms);
        if ms % 10 == 0 {
            cache.record_demand(now);
            if let Some(request) = cache.begin_refill(now, 1) {
                for settlement in &request.settlements {
                    bucket.settle(ms, u64::MAX, settlement);
                }
                cache.finish_refill(now, bucket.grant(ms, u64::MAX, request.want));
            }
            served += u32::from(cache.spend(now));
        }
    }
    assert_eq!(
        served, 2_000,
        "100 calls a second are within the rate of 100"
    );
}
