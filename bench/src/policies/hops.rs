//! Simulates the sending side of a call: throttling, choice of the node and retries.

use std::time::Duration;

use marigoldhatch::decisions::admission::ThrottleClass;
use marigoldhatch::decisions::placement::choose_endpoint;
use marigoldhatch::decisions::placement::EndpointCandidate;
use rand::Rng;

use super::case::OverloadCase;
use super::case::CRASH_TIME;
use super::fleet::ServiceTier;
use super::fleet::SimFleet;
use super::model::CallOutcome;
use super::model::CallState;
use super::model::SimCall;
use super::model::SimEvent;
use super::model::SimHop;
use super::model::Simulation;
use super::model::CRASHING_NODE;
use super::model::CRASH_DETECTION_DELAY;
use super::model::NETWORK_DELAY;

impl Simulation {
    /// Starts a hop and returns its index; the throttle may complete it at once.
    pub fn start_hop(
        &mut self,
        request: usize,
        tier: ServiceTier,
        source: usize,
        parent_call: Option<usize>,
        deadline: Duration,
        retry_allowance: u32,
    ) -> usize {
        let hop = self.hops.len();
        self.hops.push(SimHop {
            request,
            tier,
            source,
            parent_call,
            deadline,
            retry_allowance,
            tried_nodes: Vec::new(),
            completed: false,
            active_call: None,
        });
        self.fleet.nodes[source].retry_budget.record_first_attempt();
        self.schedule(
            deadline.saturating_sub(self.now),
            SimEvent::Deadline { hop },
        );
        if self.policy.uses_admission_control() {
            let throttle_class = self.throttle_class(hop);
            let sample = self.rng.random_range(0.0..1.0);
            let throttle = &mut self.fleet.nodes[source].throttle;
            if !throttle.admit(self.now, &throttle_class, sample) {
                throttle.record_local_refusal(self.now, &throttle_class);
                self.complete_hop(hop, CallOutcome::RefusedLocally, false);
                return hop;
            }
        }
        self.send_call(hop);
        hop
    }

    /// Returns the class by which the throttle counts a hop.
    pub fn throttle_class(&self, hop: usize) -> ThrottleClass {
        let request = &self.requests[self.hops[hop].request];
        ThrottleClass {
            service: format!("{:?}", self.hops[hop].tier),
            importance: request.importance,
            organisation: request.organisation.to_string(),
        }
    }

    /// Sends the hop's next call, or completes the hop if no node is left.
    pub fn send_call(&mut self, hop: usize) {
        let Some(node) = self.choose_node(hop) else {
            self.complete_hop(hop, CallOutcome::Refused, true);
            return;
        };
        let call = self.calls.len();
        let source = self.hops[hop].source;
        self.fleet.nodes[source]
            .endpoint_stats
            .entry(node)
            .or_default()
            .record_start();
        self.hops[hop].tried_nodes.push(node);
        self.hops[hop].active_call = Some(call);
        self.calls.push(SimCall {
            hop,
            node,
            sent_at: self.now,
            started_at: self.now,
            child_hop: None,
            is_duplicate: false,
            state: CallState::InTransit,
        });
        self.schedule(NETWORK_DELAY, SimEvent::CallArrival { call });
    }

    /// Chooses a node that the hop has not tried yet.
    pub fn choose_node(&mut self, hop: usize) -> Option<usize> {
        let crash_detected = self.case == OverloadCase::ExecutorCrash
            && self.now > CRASH_TIME + CRASH_DETECTION_DELAY;
        let hop = &self.hops[hop];
        let endpoint_stats = &self.fleet.nodes[hop.source].endpoint_stats;
        let candidates: Vec<EndpointCandidate> = SimFleet::members(hop.tier)
            .filter(|node| !hop.tried_nodes.contains(node))
            .filter(|node| !(crash_detected && *node == CRASHING_NODE))
            .map(|node| {
                let stats = endpoint_stats.get(&node);
                let slots = self.fleet.nodes[node].slots;
                EndpointCandidate {
                    index: node,
                    same_domain: true,
                    unhealthy: stats.is_some_and(|stats| stats.is_avoided(self.now)),
                    utilisation: stats.map_or(0.0, |stats| stats.utilisation(self.now, slots)),
                    cost: stats.map_or(0.0, |stats| stats.cost(self.now, slots)),
                }
            })
            .collect();
        choose_endpoint(&candidates, &mut self.rng).map(|choice| choice.index)
    }
}
