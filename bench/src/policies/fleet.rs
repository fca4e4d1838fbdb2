//! Simulates the VMs and the rate limits of the fleet.

use std::time::Duration;

use marigoldhatch::decisions::rates::shard_count;
use marigoldhatch::decisions::rates::TokenBucket;
use marigoldhatch::decisions::rates::TokenCache;

use super::case::OverloadCase;
use super::case::CRASH_TIME;
use super::demand;
use super::demand::DEMAND_SHARES;
use super::node::FleetNode;
use super::policy::ControlPolicy;

/// Number of entries.
pub const ENTRY_COUNT: usize = 6;
/// Number of endpoints of the front service.
pub const FRONT_COUNT: usize = 4;
/// Number of endpoints of the deep service.
pub const DEEP_COUNT: usize = 3;
pub const FRONT_SLOTS: u32 = 80;
pub const DEEP_SLOTS: u32 = 20;
/// Mean service time of a front endpoint, without its call to the deep service.
pub const FRONT_SERVICE_TIME: Duration = Duration::from_millis(4);
/// Mean service time of a deep endpoint; with its slots it gives [`demand::CAPACITY`].
pub const DEEP_SERVICE_TIME: Duration = Duration::from_millis(40);

/// The service that a call goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceTier {
    Front,
    Deep,
}

/// The simulated fleet. The nodes are the entries, then the front endpoints, then the deep ones.
pub struct SimFleet {
    pub nodes: Vec<FleetNode>,
    policy: ControlPolicy,
    case: OverloadCase,
    /// Token buckets by organisation and shard, or by organisation and entry for equal shares.
    token_buckets: Vec<Vec<TokenBucket>>,
    /// Token caches by entry, organisation and shard.
    token_caches: Vec<Vec<Vec<TokenCache>>>,
    /// Number of charges so far; rotates the shard that is tried first.
    charge_count: usize,
}

impl SimFleet {
    pub fn from_policy(case: OverloadCase, policy: ControlPolicy) -> Self {
        let slots = |index: usize| match index {
            index if index < ENTRY_COUNT + FRONT_COUNT => FRONT_SLOTS,
            _ => DEEP_SLOTS,
        };
        let nodes = (0..ENTRY_COUNT + FRONT_COUNT + DEEP_COUNT)
            .map(|index| FleetNode::from_policy(policy, slots(index)))
            .collect();
        let mut fleet = Self {
            nodes,
            policy,
            case,
            token_buckets: Vec::new(),
            token_caches: Vec::new(),
            charge_count: 0,
        };
        fleet.create_token_buckets();
        fleet
    }

    /// Indices of the nodes of a service.
    pub fn members(tier: ServiceTier) -> std::ops::Range<usize> {
        match tier {
            ServiceTier::Front => ENTRY_COUNT..ENTRY_COUNT + FRONT_COUNT,
            ServiceTier::Deep => ENTRY_COUNT + FRONT_COUNT..ENTRY_COUNT + FRONT_COUNT + DEEP_COUNT,
        }
    }

    /// Spends one token of an organisation at an entry; returns false if it has none.
    pub fn charge(&mut self, now: Duration, entry: usize, organisation: usize) -> bool {
        if !self.policy.enforces_rates() {
            return true;
        }
        let token_caches = &mut self.token_caches[entry][organisation];
        let count = token_caches.len();
        self.charge_count += 1;
        let first_index = self.charge_count % count;
        token_caches[first_index].record_demand(now);
        for step in 0..count {
            let index = (first_index + step) % count;
            if self.spend(now, entry, organisation, index) {
                return true;
            }
        }
        false
    }

    /// Refunds the token of a request that was refused without being run.
    pub fn refund(&mut self, entry: usize, organisation: usize) {
        if self.policy.enforces_rates() {
            let token_caches = &mut self.token_caches[entry][organisation];
            // A token whose chunk has expired is lost.
            let _ = token_caches.iter_mut().any(TokenCache::refund);
        }
    }

    fn spend(&mut self, now: Duration, entry: usize, organisation: usize, index: usize) -> bool {
        let cache = &mut self.token_caches[entry][organisation][index];
        if cache.spend(now) {
            self.refill(now, entry, organisation, index, 0);
            return true;
        }
        self.refill(now, entry, organisation, index, 1);
        self.token_caches[entry][organisation][index].spend(now)
    }

    /// Exchanges tokens with the home. The response takes no simulated time, because a call would
    /// wait for it.
    fn refill(
        &mut self,
        now: Duration,
        entry: usize,
        organisation: usize,
        index: usize,
        waiting: usize,
    ) {
        let cache = &mut self.token_caches[entry][organisation][index];
        let Some(request) = cache.begin_refill(now, waiting) else {
            return;
        };
        let now_ms = now.as_millis() as u64;
        let home_crashed = self.case == OverloadCase::HomeCrash && index == 0 && now >= CRASH_TIME;
        if home_crashed && self.policy == ControlPolicy::Product {
            cache.finish_refill(now, None);
            return;
        }
        let bucket = match self.policy {
            ControlPolicy::EqualShares => &mut self.token_buckets[organisation][entry],
            _ => &mut self.token_buckets[organisation][index],
        };
        for settlement in &request.settlements {
            bucket.settle(now_ms, u64::MAX, settlement);
        }
        cache.finish_refill(now, bucket.grant(now_ms, u64::MAX, request.want));
    }

    /// Settles and returns the tokens of idle caches, as the daemons do periodically.
    pub fn refill_all(&mut self, now: Duration) {
        if !self.policy.enforces_rates() {
            return;
        }
        for entry in 0..ENTRY_COUNT {
            for organisation in 0..DEMAND_SHARES.len() {
                for index in 0..self.token_caches[entry][organisation].len() {
                    self.refill(now, entry, organisation, index, 0);
                }
            }
        }
    }

    fn create_token_buckets(&mut self) {
        let case = self.case;
        for organisation in 0..DEMAND_SHARES.len() {
            let (rate, burst) = (
                demand::rate(case, organisation),
                demand::burst(case, organisation),
            );
            let bucket_count = match self.policy {
                ControlPolicy::EqualShares => ENTRY_COUNT,
                _ => shard_count(burst) as usize,
            };
            let divisor = bucket_count as f64;
            let token_buckets = (0..bucket_count)
                .map(|_| TokenBucket::from_full(rate / divisor, burst / divisor, 0));
            self.token_buckets.push(token_buckets.collect());
        }
        for _ in 0..ENTRY_COUNT {
            let token_caches = (0..DEMAND_SHARES.len()).map(|organisation| {
                let bucket_count = match self.policy {
                    ControlPolicy::EqualShares => 1,
                    _ => self.token_buckets[organisation].len(),
                };
                (0..bucket_count).map(|_| TokenCache::default()).collect()
            });
            let token_caches = token_caches.collect();
            self.token_caches.push(token_caches);
        }
    }
}
