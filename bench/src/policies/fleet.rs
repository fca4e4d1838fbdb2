//! The VMs of the simulation and the homes of rates.

use std::time::Duration;

use marigoldhatch::decisions::rates::shard_count;
use marigoldhatch::decisions::rates::TokenBucket;
use marigoldhatch::decisions::rates::TokenCache;

use super::case::OverloadCase;
use super::case::DEATH;
use super::demand;
use super::demand::SHARES;
use super::node::FleetNode;
use super::policy::ControlPolicy;

pub const ENTRIES: usize = 6;
pub const FRONTS: usize = 4;
pub const DEEPS: usize = 3;
pub const FRONT_SLOTS: u32 = 80;
pub const DEEP_SLOTS: u32 = 20;
/// Mean time of a front endpoint's own work.
pub const FRONT_WORK: Duration = Duration::from_millis(4);
/// Mean time of the deep service; with its slots it gives the capacity of [`demand::CAPACITY`].
pub const DEEP_WORK: Duration = Duration::from_millis(40);

/// The service that a call goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceTier {
    Front,
    Deep,
}

/// Every VM: the entries, then the front endpoints, then the deep ones.
pub struct SmallFleet {
    pub nodes: Vec<FleetNode>,
    policy: ControlPolicy,
    case: OverloadCase,
    homes: Vec<Vec<TokenBucket>>,
    purses: Vec<Vec<Vec<TokenCache>>>,
    turns: usize,
}

impl SmallFleet {
    pub fn from_policy(case: OverloadCase, policy: ControlPolicy) -> Self {
        let slots = |index: usize| match index {
            index if index < ENTRIES + FRONTS => FRONT_SLOTS,
            _ => DEEP_SLOTS,
        };
        let nodes = (0..ENTRIES + FRONTS + DEEPS)
            .map(|index| FleetNode::from_policy(policy, slots(index)))
            .collect();
        let mut fleet = Self {
            nodes,
            policy,
            case,
            homes: Vec::new(),
            purses: Vec::new(),
            turns: 0,
        };
        fleet.open_homes();
        fleet
    }

    /// Positions of the nodes of a service.
    pub fn members(tier: ServiceTier) -> std::ops::Range<usize> {
        match tier {
            ServiceTier::Front => ENTRIES..ENTRIES + FRONTS,
            ServiceTier::Deep => ENTRIES + FRONTS..ENTRIES + FRONTS + DEEPS,
        }
    }

    /// Charges one token of an organisation at an entry.
    pub fn charge(&mut self, now: Duration, entry: usize, organisation: usize) -> bool {
        if !self.policy.keeps_rates() {
            return true;
        }
        let purses = &mut self.purses[entry][organisation];
        let count = purses.len();
        self.turns += 1;
        let turn = self.turns % count;
        purses[turn].record_demand(now);
        for step in 0..count {
            let index = (turn + step) % count;
            if self.take(now, entry, organisation, index) {
                return true;
            }
        }
        false
    }

    /// Gives back the token of a request that was refused without being run.
    pub fn refund(&mut self, entry: usize, organisation: usize) {
        if self.policy.keeps_rates() {
            let purses = &mut self.purses[entry][organisation];
            // A token whose chunk is gone is lost.
            let _ = purses.iter_mut().any(TokenCache::refund);
        }
    }

    fn take(&mut self, now: Duration, entry: usize, organisation: usize, index: usize) -> bool {
        let purse = &mut self.purses[entry][organisation][index];
        if purse.spend(now) {
            self.settle(now, entry, organisation, index, 0);
            return true;
        }
        self.settle(now, entry, organisation, index, 1);
        self.purses[entry][organisation][index].spend(now)
    }

    /// Asks the home; its answer takes no time here, as a call would wait for it.
    fn settle(
        &mut self,
        now: Duration,
        entry: usize,
        organisation: usize,
        index: usize,
        waiting: usize,
    ) {
        let purse = &mut self.purses[entry][organisation][index];
        let Some(ask) = purse.begin_refill(now, waiting) else {
            return;
        };
        let now_ms = now.as_millis() as u64;
        let away = self.case == OverloadCase::HomeLost && index == 0 && now >= DEATH;
        if away && self.policy == ControlPolicy::Product {
            purse.finish_refill(now, None);
            return;
        }
        let home = match self.policy {
            ControlPolicy::EqualShares => &mut self.homes[organisation][entry],
            _ => &mut self.homes[organisation][index],
        };
        for settlement in &ask.settlements {
            home.settle(now_ms, u64::MAX, settlement);
        }
        purse.finish_refill(now, home.grant(now_ms, u64::MAX, ask.want));
    }

    /// Lets quiet purses report and return, as the daemons do by themselves.
    pub fn settle_all(&mut self, now: Duration) {
        if !self.policy.keeps_rates() {
            return;
        }
        for entry in 0..ENTRIES {
            for organisation in 0..SHARES.len() {
                for index in 0..self.purses[entry][organisation].len() {
                    self.settle(now, entry, organisation, index, 0);
                }
            }
        }
    }

    fn open_homes(&mut self) {
        let case = self.case;
        for organisation in 0..SHARES.len() {
            let (rate, burst) = (
                demand::rate(case, organisation),
                demand::burst(case, organisation),
            );
            let parts = match self.policy {
                ControlPolicy::EqualShares => ENTRIES,
                _ => shard_count(burst) as usize,
            };
            let part = parts as f64;
            let homes = (0..parts).map(|_| TokenBucket::from_full(rate / part, burst / part, 0));
            self.homes.push(homes.collect());
        }
        for _ in 0..ENTRIES {
            let purses = (0..SHARES.len()).map(|organisation| {
                let parts = match self.policy {
                    ControlPolicy::EqualShares => 1,
                    _ => self.homes[organisation].len(),
                };
                (0..parts).map(|_| TokenCache::default()).collect()
            });
            let purses = purses.collect();
            self.purses.push(purses);
        }
    }
}
