//! Simulates a call at its node: admission, work, the downstream call, the reply and cancellation.

use std::time::Duration;

use marigoldhatch::decisions::admission::CallTicket;
use marigoldhatch::decisions::admission::QueueActions;
use marigoldhatch::decisions::admission::QueuedCall;
use marigoldhatch::wire::Importance;
use rand::Rng;

use super::case::OverloadCase;
use super::case::SLOW_FACTOR;
use super::case::TRIGGER_START;
use super::demand;
use super::fleet::ServiceTier;
use super::fleet::SimFleet;
use super::fleet::DEEP_SERVICE_TIME;
use super::fleet::FRONT_SERVICE_TIME;
use super::model::CallOutcome;
use super::model::CallState;
use super::model::SimEvent;
use super::model::SimRequest;
use super::model::Simulation;
use super::model::FINISH_GRACE;
use super::model::MAX_PLAIN_RETRIES;
use super::model::NETWORK_DELAY;
use super::model::TICK_INTERVAL;
use super::node::NodeDecision;

impl Simulation {
    pub fn on_call_arrival(&mut self, call: usize) {
        if self.calls[call].state != CallState::InTransit {
            return;
        }
        let node = self.calls[call].node;
        if !self.fleet.nodes[node].alive {
            self.send_reply(call, CallOutcome::ConnectionLost);
            return;
        }
        let hop = &self.hops[self.calls[call].hop];
        let request = &self.requests[hop.request];
        let rank = request.importance as usize;
        let queued_call = QueuedCall {
            ticket: CallTicket(call as u64),
            organisation: request.organisation.to_string(),
            weight: demand::WEIGHT,
            importance: request.importance,
            deadline: hop.deadline,
        };
        let importance = request.importance;
        let (decision, actions) = self.fleet.nodes[node].admit(self.now, queued_call);
        match decision {
            NodeDecision::Run => self.start_call(call),
            NodeDecision::Wait => {
                self.calls[call].state = CallState::Waiting;
                self.waiting_counts[node][rank] += 1;
            }
            NodeDecision::Refuse => {
                let less_important_waiting = self.waiting_counts[node][rank + 1..]
                    .iter()
                    .any(|count| *count > 0);
                self.stats
                    .record_critical_refusal(importance, less_important_waiting);
                self.send_reply(call, CallOutcome::Refused);
            }
        }
        self.apply_queue_actions(node, &actions);
    }

    /// Starts and refuses the queued calls that a node's admission control names.
    pub fn apply_queue_actions(&mut self, node: usize, actions: &QueueActions) {
        for ticket in &actions.run {
            let call = ticket.0 as usize;
            self.record_dequeue(node, call);
            self.start_call(call);
        }
        for (ticket, _) in &actions.refuse {
            let call = ticket.0 as usize;
            self.record_dequeue(node, call);
            self.send_reply(call, CallOutcome::Refused);
        }
    }

    /// Removes a call from the count of waiting calls.
    pub fn record_dequeue(&mut self, node: usize, call: usize) {
        let request = &self.requests[self.hops[self.calls[call].hop].request];
        let rank = request.importance as usize;
        self.waiting_counts[node][rank] = self.waiting_counts[node][rank].saturating_sub(1);
    }

    /// Starts the work of an admitted call.
    pub fn start_call(&mut self, call: usize) {
        let node = self.calls[call].node;
        let tier = self.hops[self.calls[call].hop].tier;
        self.calls[call].state = CallState::Running;
        self.calls[call].started_at = self.now;
        self.fleet.nodes[node].running += 1;
        if tier == ServiceTier::Front && !self.record_run(call) {
            self.calls[call].is_duplicate = true;
            self.schedule(Duration::ZERO, SimEvent::WorkDone { call });
            return;
        }
        if tier == ServiceTier::Deep {
            self.stats.executions += 1;
        }
        let jitter = self.rng.random_range(0.5..1.5);
        let service_time = self.mean_service_time(tier).mul_f64(jitter);
        let service_time = service_time.mul_f64(self.fleet.nodes[node].slowdown());
        self.schedule(service_time, SimEvent::WorkDone { call });
    }

    /// Records that a request runs. Returns false if it is a duplicate that must not run.
    pub fn record_run(&mut self, call: usize) -> bool {
        let request = &mut self.requests[self.hops[self.calls[call].hop].request];
        let non_idempotent = request.importance == Importance::Critical;
        if non_idempotent && request.executed {
            if self.policy.prevents_duplicate_runs() {
                return false;
            }
            self.stats.duplicate_runs += 1;
        }
        request.executed = true;
        request.running = true;
        true
    }

    /// Returns true if a call continues after its caller's deadline, as a non-idempotent request
    /// does.
    pub fn outlives_caller(&self, call: usize) -> bool {
        let hop = &self.hops[self.calls[call].hop];
        let non_idempotent = self.requests[hop.request].importance == Importance::Critical;
        non_idempotent && hop.tier == ServiceTier::Front && self.policy.prevents_duplicate_runs()
    }

    pub fn mean_service_time(&self, tier: ServiceTier) -> Duration {
        let slow = self.case == OverloadCase::SlowService
            && (TRIGGER_START..self.case.trigger_end()).contains(&self.now);
        match tier {
            ServiceTier::Front => FRONT_SERVICE_TIME,
            ServiceTier::Deep if slow => DEEP_SERVICE_TIME.mul_f64(SLOW_FACTOR),
            ServiceTier::Deep => DEEP_SERVICE_TIME,
        }
    }

    pub fn on_work_done(&mut self, call: usize) {
        if self.calls[call].state != CallState::Running {
            return;
        }
        let hop = self.calls[call].hop;
        let request = self.hops[hop].request;
        if self.hops[hop].tier == ServiceTier::Deep {
            self.complete_call(call, CallOutcome::Succeeded);
            return;
        }
        if self.calls[call].is_duplicate {
            // A duplicate runs nothing: it waits for the run in progress, or gets the stored
            // response.
            match self.requests[request] {
                SimRequest { finished: true, .. } => {
                    self.complete_call(call, CallOutcome::Succeeded)
                }
                SimRequest { running: true, .. } => {
                    self.schedule(TICK_INTERVAL, SimEvent::WorkDone { call })
                }
                _ => self.complete_call(call, CallOutcome::DownstreamFailure),
            }
            return;
        }
        let node = self.calls[call].node;
        let mut deadline = self.hops[hop].deadline;
        if self.outlives_caller(call) {
            deadline += FINISH_GRACE;
        }
        let child_allowance = self.hops[hop].retry_allowance / 2;
        self.hops[hop].retry_allowance -= child_allowance;
        let child_hop = self.start_hop(
            request,
            ServiceTier::Deep,
            node,
            Some(call),
            deadline,
            child_allowance,
        );
        self.calls[call].child_hop = Some(child_hop);
    }

    /// Completes a running call and frees its slot.
    pub fn complete_call(&mut self, call: usize, outcome: CallOutcome) {
        let hop = &self.hops[self.calls[call].hop];
        if hop.tier == ServiceTier::Front && !self.calls[call].is_duplicate {
            let request = &mut self.requests[hop.request];
            request.running = false;
            request.finished |= outcome == CallOutcome::Succeeded;
        }
        self.calls[call].state = CallState::Completed;
        let node = self.calls[call].node;
        let elapsed = self.now - self.calls[call].started_at;
        let succeeded = outcome == CallOutcome::Succeeded;
        self.fleet.nodes[node].running -= 1;
        let actions = self.fleet.nodes[node].finish(self.now, elapsed, succeeded);
        self.apply_queue_actions(node, &actions);
        self.send_reply(call, outcome);
    }

    /// Completes a call and sends its reply.
    pub fn send_reply(&mut self, call: usize, outcome: CallOutcome) {
        self.calls[call].state = CallState::Completed;
        self.schedule(NETWORK_DELAY, SimEvent::Reply { call, outcome });
    }

    pub fn on_reply(&mut self, call: usize, outcome: CallOutcome) {
        let hop = self.calls[call].hop;
        self.record_endpoint_stats(call, outcome);
        if self.hops[hop].completed || self.hops[hop].active_call != Some(call) {
            return;
        }
        let retryable = matches!(outcome, CallOutcome::Refused | CallOutcome::ConnectionLost);
        if retryable && self.spend_retry(hop) {
            self.send_call(hop);
        } else {
            self.complete_hop(hop, outcome, true);
        }
    }

    /// Records the outcome of a call in the statistics of the node that sent it.
    pub fn record_endpoint_stats(&mut self, call: usize, outcome: CallOutcome) {
        let (hop, node) = (&self.hops[self.calls[call].hop], self.calls[call].node);
        let elapsed = self.now - self.calls[call].sent_at;
        let stats = self.fleet.nodes[hop.source]
            .endpoint_stats
            .entry(node)
            .or_default();
        match outcome {
            CallOutcome::Succeeded => stats.record_success(elapsed),
            CallOutcome::ConnectionLost => stats.record_failure(self.now, elapsed),
            CallOutcome::Refused | CallOutcome::RefusedLocally | CallOutcome::DownstreamFailure => {
                stats.record_abandoned();
            }
        }
    }

    /// Returns true if a hop may retry, and takes the retry from its allowance and budget.
    pub fn spend_retry(&mut self, hop: usize) -> bool {
        let hop = &mut self.hops[hop];
        if !self.policy.bounds_retries() {
            let has_retries_left = hop.tried_nodes.len() <= MAX_PLAIN_RETRIES as usize;
            let member_count = SimFleet::members(hop.tier).len();
            if has_retries_left && hop.tried_nodes.len() >= member_count {
                hop.tried_nodes.clear();
            }
            return has_retries_left;
        }
        if hop.retry_allowance == 0 || !self.fleet.nodes[hop.source].retry_budget.spend() {
            return false;
        }
        hop.retry_allowance -= 1;
        true
    }

    /// Completes a hop and passes its outcome to the parent call or the caller.
    ///
    /// `records_outcome` is false if the local throttle refused the hop.
    pub fn complete_hop(&mut self, hop: usize, outcome: CallOutcome, records_outcome: bool) {
        self.hops[hop].completed = true;
        let source = self.hops[hop].source;
        if records_outcome && self.policy.uses_admission_control() {
            let throttle_class = self.throttle_class(hop);
            let throttle = &mut self.fleet.nodes[source].throttle;
            match outcome {
                CallOutcome::Succeeded => throttle.record_accept(self.now, &throttle_class),
                _ => throttle.record_refusal(self.now, &throttle_class),
            }
        }
        match self.hops[hop].parent_call {
            Some(parent_call) if self.calls[parent_call].state == CallState::Running => {
                let outcome = match outcome {
                    CallOutcome::Succeeded => CallOutcome::Succeeded,
                    _ => CallOutcome::DownstreamFailure,
                };
                self.complete_call(parent_call, outcome);
            }
            Some(_) => {}
            None => self.complete_request(self.hops[hop].request, outcome),
        }
    }

    /// Completes one attempt of a caller.
    pub fn complete_request(&mut self, index: usize, outcome: CallOutcome) {
        if outcome != CallOutcome::Succeeded {
            let refunded = matches!(outcome, CallOutcome::Refused | CallOutcome::RefusedLocally);
            if refunded {
                let request = &self.requests[index];
                self.fleet.refund(request.entry, request.organisation);
            }
            self.retry_caller(index);
            return;
        }
        let request = &mut self.requests[index];
        request.finished = true;
        if !std::mem::replace(&mut request.succeeded, true) {
            let counted = request.attempts == 1 && request.demand_within_rate;
            let arrived_at = counted.then_some(request.arrived_at);
            self.stats
                .record_success(self.now, request.organisation, arrived_at);
        }
    }

    pub fn on_deadline(&mut self, hop: usize) {
        if self.hops[hop].completed {
            return;
        }
        self.hops[hop].completed = true;
        if let Some(call) = self.hops[hop].active_call {
            let keeps_running = self.outlives_caller(call)
                && self.calls[call].state == CallState::Running
                && !self.calls[call].is_duplicate;
            if self.policy.uses_admission_control() && !keeps_running {
                self.cancel(call);
            }
        }
        if self.policy.uses_admission_control() {
            let throttle_class = self.throttle_class(hop);
            let source = self.hops[hop].source;
            self.fleet.nodes[source]
                .throttle
                .record_refusal(self.now, &throttle_class);
        }
        if self.hops[hop].parent_call.is_none() {
            self.retry_caller(self.hops[hop].request);
        }
    }

    /// Cancels a call and its downstream call.
    pub fn cancel(&mut self, call: usize) {
        let node = self.calls[call].node;
        let state = std::mem::replace(&mut self.calls[call].state, CallState::Completed);
        match state {
            CallState::Waiting => {
                self.fleet.nodes[node].cancel(CallTicket(call as u64));
                self.record_dequeue(node, call);
            }
            CallState::Running => {
                let elapsed = self.now - self.calls[call].started_at;
                self.fleet.nodes[node].running -= 1;
                let actions = self.fleet.nodes[node].finish(self.now, elapsed, false);
                self.apply_queue_actions(node, &actions);
                if let Some(child_hop) = self.calls[call].child_hop {
                    self.hops[child_hop].completed = true;
                    if let Some(downstream_call) = self.hops[child_hop].active_call {
                        self.cancel(downstream_call);
                    }
                }
            }
            CallState::InTransit | CallState::Completed => {}
        }
        let source = self.hops[self.calls[call].hop].source;
        self.fleet.nodes[source]
            .endpoint_stats
            .entry(node)
            .or_default()
            .record_abandoned();
    }
}
