//! A node's attempt to have something done by a service: early refusal, choice, retries.

use std::time::Duration;

use marigoldhatch::decisions::admission::ThrottleClass;
use marigoldhatch::decisions::placement::choose_endpoint;
use marigoldhatch::decisions::placement::EndpointCandidate;
use rand::Rng;

use super::case::OverloadCase;
use super::case::DEATH;
use super::fleet::ServiceTier;
use super::fleet::SmallFleet;
use super::model::CallOutcome;
use super::model::CallState;
use super::model::SimCall;
use super::model::SimEvent;
use super::model::SimHop;
use super::model::Simulation;
use super::model::DEATH_KNOWN;
use super::model::DYING;
use super::model::NETWORK;

impl Simulation {
    pub fn start_hop(
        &mut self,
        request: usize,
        tier: ServiceTier,
        from: usize,
        parent: Option<usize>,
        deadline: Duration,
        allowance: u32,
    ) -> usize {
        let hop = self.hops.len();
        self.hops.push(SimHop {
            request,
            tier,
            from,
            parent,
            deadline,
            allowance,
            tried: Vec::new(),
            over: false,
            active: None,
        });
        self.fleet.nodes[from].budget.record_first_attempt();
        self.after(
            deadline.saturating_sub(self.now),
            SimEvent::Deadline { hop },
        );
        if self.policy.has_gate() {
            let class = self.class(hop);
            let lot = self.rng.random_range(0.0..1.0);
            let throttle = &mut self.fleet.nodes[from].throttle;
            if !throttle.admit(self.now, &class, lot) {
                throttle.record_local_refusal(self.now, &class);
                self.end_hop(hop, CallOutcome::NotSent, false);
                return hop;
            }
        }
        self.try_hop(hop);
        hop
    }

    pub fn class(&self, hop: usize) -> ThrottleClass {
        let request = &self.requests[self.hops[hop].request];
        ThrottleClass {
            service: format!("{:?}", self.hops[hop].tier),
            importance: request.importance,
            organisation: request.organisation.to_string(),
        }
    }

    pub fn try_hop(&mut self, hop: usize) {
        let Some(node) = self.choose(hop) else {
            self.end_hop(hop, CallOutcome::Refused, true);
            return;
        };
        let call = self.calls.len();
        let from = self.hops[hop].from;
        self.fleet.nodes[from]
            .measures
            .entry(node)
            .or_default()
            .record_start();
        self.hops[hop].tried.push(node);
        self.hops[hop].active = Some(call);
        self.calls.push(SimCall {
            hop,
            node,
            sent: self.now,
            began: self.now,
            child: None,
            repeats: false,
            state: CallState::Travelling,
        });
        self.after(NETWORK, SimEvent::Reach { call });
    }

    pub fn choose(&mut self, hop: usize) -> Option<usize> {
        let known_dead = self.case == OverloadCase::ExecutorDeath && self.now > DEATH + DEATH_KNOWN;
        let hop = &self.hops[hop];
        let measures = &self.fleet.nodes[hop.from].measures;
        let candidates: Vec<EndpointCandidate> = SmallFleet::members(hop.tier)
            .filter(|node| !hop.tried.contains(node))
            .filter(|node| !(known_dead && *node == DYING))
            .map(|node| {
                let measure = measures.get(&node);
                let slots = self.fleet.nodes[node].slots;
                EndpointCandidate {
                    index: node,
                    same_domain: true,
                    unhealthy: measure.is_some_and(|one| one.is_avoided(self.now)),
                    utilisation: measure.map_or(0.0, |one| one.utilisation(self.now, slots)),
                    cost: measure.map_or(0.0, |one| one.cost(self.now, slots)),
                }
            })
            .collect();
        choose_endpoint(&candidates, &mut self.rng).map(|choice| choice.index)
    }
}
