//! A call at its node: admission, work, the call further down, the answer, cancellation.

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
use super::fleet::SmallFleet;
use super::fleet::DEEP_WORK;
use super::fleet::FRONT_WORK;
use super::model::CallOutcome;
use super::model::CallState;
use super::model::SimEvent;
use super::model::SimRequest;
use super::model::Simulation;
use super::model::FINISH_GRACE;
use super::model::NETWORK;
use super::model::PLAIN_RETRIES;
use super::model::TICK;
use super::node::NodeVerdict;

impl Simulation {
    pub fn on_reach(&mut self, call: usize) {
        if self.calls[call].state != CallState::Travelling {
            return;
        }
        let node = self.calls[call].node;
        if !self.fleet.nodes[node].alive {
            self.reply(call, CallOutcome::Lost);
            return;
        }
        let hop = &self.hops[self.calls[call].hop];
        let request = &self.requests[hop.request];
        let rank = request.importance as usize;
        let work = QueuedCall {
            ticket: CallTicket(call as u64),
            organisation: request.organisation.to_string(),
            weight: demand::WEIGHT,
            importance: request.importance,
            deadline: hop.deadline,
        };
        let importance = request.importance;
        let (verdict, actions) = self.fleet.nodes[node].arrive(self.now, work);
        match verdict {
            NodeVerdict::Run => self.begin(call),
            NodeVerdict::Wait => {
                self.calls[call].state = CallState::Waiting;
                self.waiting[node][rank] += 1;
            }
            NodeVerdict::Refuse => {
                let below = self.waiting[node][rank + 1..]
                    .iter()
                    .any(|count| *count > 0);
                self.measure.note_critical(importance, below);
                self.reply(call, CallOutcome::Refused);
            }
        }
        self.carry_out(node, &actions);
    }

    pub fn carry_out(&mut self, node: usize, actions: &QueueActions) {
        for ticket in &actions.run {
            let call = ticket.0 as usize;
            self.leave_queue(node, call);
            self.begin(call);
        }
        for (ticket, _) in &actions.refuse {
            let call = ticket.0 as usize;
            self.leave_queue(node, call);
            self.reply(call, CallOutcome::Refused);
        }
    }

    pub fn leave_queue(&mut self, node: usize, call: usize) {
        let request = &self.requests[self.hops[self.calls[call].hop].request];
        let rank = request.importance as usize;
        self.waiting[node][rank] = self.waiting[node][rank].saturating_sub(1);
    }

    pub fn begin(&mut self, call: usize) {
        let node = self.calls[call].node;
        let tier = self.hops[self.calls[call].hop].tier;
        self.calls[call].state = CallState::Running;
        self.calls[call].began = self.now;
        self.fleet.nodes[node].running += 1;
        if tier == ServiceTier::Front && !self.note_run(call) {
            self.calls[call].repeats = true;
            self.after(Duration::ZERO, SimEvent::WorkDone { call });
            return;
        }
        if tier == ServiceTier::Deep {
            self.measure.executions += 1;
        }
        let spread = self.rng.random_range(0.5..1.5);
        let work = self.mean_work(tier).mul_f64(spread);
        let work = work.mul_f64(self.fleet.nodes[node].crowding());
        self.after(work, SimEvent::WorkDone { call });
    }

    /// Notes that a request runs; false when it has run and its answer is held.
    pub fn note_run(&mut self, call: usize) -> bool {
        let request = &mut self.requests[self.hops[self.calls[call].hop].request];
        let once = request.importance == Importance::Critical;
        if once && request.ran {
            if self.policy.runs_once() {
                return false;
            }
            self.measure.doubled += 1;
        }
        request.ran = true;
        request.running = true;
        true
    }

    /// A request that must run once goes on when its caller has given up.
    pub fn outlives_caller(&self, call: usize) -> bool {
        let hop = &self.hops[self.calls[call].hop];
        let once = self.requests[hop.request].importance == Importance::Critical;
        once && hop.tier == ServiceTier::Front && self.policy.runs_once()
    }

    pub fn mean_work(&self, tier: ServiceTier) -> Duration {
        let slow = self.case == OverloadCase::SlowService
            && (TRIGGER_START..self.case.trigger_end()).contains(&self.now);
        match tier {
            ServiceTier::Front => FRONT_WORK,
            ServiceTier::Deep if slow => DEEP_WORK.mul_f64(SLOW_FACTOR),
            ServiceTier::Deep => DEEP_WORK,
        }
    }

    pub fn on_work_done(&mut self, call: usize) {
        if self.calls[call].state != CallState::Running {
            return;
        }
        let hop = self.calls[call].hop;
        let request = self.hops[hop].request;
        if self.hops[hop].tier == ServiceTier::Deep {
            self.complete(call, CallOutcome::Done);
            return;
        }
        if self.calls[call].repeats {
            // A repeat runs nothing: it joins the run under way, or gets the answer that is held.
            match self.requests[request] {
                SimRequest { finished: true, .. } => self.complete(call, CallOutcome::Done),
                SimRequest { running: true, .. } => self.after(TICK, SimEvent::WorkDone { call }),
                _ => self.complete(call, CallOutcome::RefusedBelow),
            }
            return;
        }
        let node = self.calls[call].node;
        let mut deadline = self.hops[hop].deadline;
        if self.outlives_caller(call) {
            deadline += FINISH_GRACE;
        }
        let moved = self.hops[hop].allowance / 2;
        self.hops[hop].allowance -= moved;
        let child = self.start_hop(
            request,
            ServiceTier::Deep,
            node,
            Some(call),
            deadline,
            moved,
        );
        self.calls[call].child = Some(child);
    }

    /// Ends a running call and frees its place.
    pub fn complete(&mut self, call: usize, outcome: CallOutcome) {
        let hop = &self.hops[self.calls[call].hop];
        if hop.tier == ServiceTier::Front && !self.calls[call].repeats {
            let request = &mut self.requests[hop.request];
            request.running = false;
            request.finished |= outcome == CallOutcome::Done;
        }
        self.calls[call].state = CallState::Over;
        let node = self.calls[call].node;
        let elapsed = self.now - self.calls[call].began;
        let succeeded = outcome == CallOutcome::Done;
        self.fleet.nodes[node].running -= 1;
        let actions = self.fleet.nodes[node].finish(self.now, elapsed, succeeded);
        self.carry_out(node, &actions);
        self.reply(call, outcome);
    }

    pub fn reply(&mut self, call: usize, outcome: CallOutcome) {
        self.calls[call].state = CallState::Over;
        self.after(NETWORK, SimEvent::Reply { call, outcome });
    }

    pub fn on_reply(&mut self, call: usize, outcome: CallOutcome) {
        let hop = self.calls[call].hop;
        self.note_measure(call, outcome);
        if self.hops[hop].over || self.hops[hop].active != Some(call) {
            return;
        }
        let retryable = matches!(outcome, CallOutcome::Refused | CallOutcome::Lost);
        if retryable && self.may_retry(hop) {
            self.try_hop(hop);
        } else {
            self.end_hop(hop, outcome, true);
        }
    }

    pub fn note_measure(&mut self, call: usize, outcome: CallOutcome) {
        let (hop, node) = (&self.hops[self.calls[call].hop], self.calls[call].node);
        let elapsed = self.now - self.calls[call].sent;
        let measure = self.fleet.nodes[hop.from].measures.entry(node).or_default();
        match outcome {
            CallOutcome::Done => measure.record_success(elapsed),
            CallOutcome::Lost => measure.record_failure(self.now, elapsed),
            CallOutcome::Refused | CallOutcome::NotSent | CallOutcome::RefusedBelow => {
                measure.record_abandoned();
            }
        }
    }

    pub fn may_retry(&mut self, hop: usize) -> bool {
        let held = &mut self.hops[hop];
        if !self.policy.bounds_retries() {
            let again = held.tried.len() <= PLAIN_RETRIES as usize;
            let all = SmallFleet::members(held.tier).len();
            if again && held.tried.len() >= all {
                held.tried.clear();
            }
            return again;
        }
        if held.allowance == 0 || !self.fleet.nodes[held.from].budget.spend() {
            return false;
        }
        held.allowance -= 1;
        true
    }

    pub fn end_hop(&mut self, hop: usize, outcome: CallOutcome, note: bool) {
        self.hops[hop].over = true;
        let from = self.hops[hop].from;
        if note && self.policy.has_gate() {
            let class = self.class(hop);
            let throttle = &mut self.fleet.nodes[from].throttle;
            match outcome {
                CallOutcome::Done => throttle.record_accept(self.now, &class),
                _ => throttle.record_refusal(self.now, &class),
            }
        }
        match self.hops[hop].parent {
            Some(parent) if self.calls[parent].state == CallState::Running => {
                let outcome = match outcome {
                    CallOutcome::Done => CallOutcome::Done,
                    _ => CallOutcome::RefusedBelow,
                };
                self.complete(parent, outcome);
            }
            Some(_) => {}
            None => self.end_request(self.hops[hop].request, outcome),
        }
    }

    pub fn end_request(&mut self, index: usize, outcome: CallOutcome) {
        if outcome != CallOutcome::Done {
            let refunded = matches!(outcome, CallOutcome::Refused | CallOutcome::NotSent);
            if refunded {
                let request = &self.requests[index];
                self.fleet.refund(request.entry, request.organisation);
            }
            self.caller_repeats(index);
            return;
        }
        let request = &mut self.requests[index];
        request.finished = true;
        if !std::mem::replace(&mut request.answered, true) {
            let counts = request.tries == 1 && request.counts;
            let first = counts.then_some(request.came);
            self.measure
                .note_answered(self.now, request.organisation, first);
        }
    }

    pub fn on_deadline(&mut self, hop: usize) {
        if self.hops[hop].over {
            return;
        }
        self.hops[hop].over = true;
        if let Some(call) = self.hops[hop].active {
            let goes_on = self.outlives_caller(call)
                && self.calls[call].state == CallState::Running
                && !self.calls[call].repeats;
            if self.policy.has_gate() && !goes_on {
                self.cancel(call);
            }
        }
        if self.policy.has_gate() {
            let class = self.class(hop);
            let from = self.hops[hop].from;
            self.fleet.nodes[from]
                .throttle
                .record_refusal(self.now, &class);
        }
        if self.hops[hop].parent.is_none() {
            self.caller_repeats(self.hops[hop].request);
        }
    }

    /// Cancels a call and what it has under way further down.
    pub fn cancel(&mut self, call: usize) {
        let node = self.calls[call].node;
        let state = std::mem::replace(&mut self.calls[call].state, CallState::Over);
        match state {
            CallState::Waiting => {
                self.fleet.nodes[node].cancel(CallTicket(call as u64));
                self.leave_queue(node, call);
            }
            CallState::Running => {
                let elapsed = self.now - self.calls[call].began;
                self.fleet.nodes[node].running -= 1;
                let actions = self.fleet.nodes[node].finish(self.now, elapsed, false);
                self.carry_out(node, &actions);
                if let Some(child) = self.calls[call].child {
                    self.hops[child].over = true;
                    if let Some(below) = self.hops[child].active {
                        self.cancel(below);
                    }
                }
            }
            CallState::Travelling | CallState::Over => {}
        }
        let from = self.hops[self.calls[call].hop].from;
        self.fleet.nodes[from]
            .measures
            .entry(node)
            .or_default()
            .record_abandoned();
    }
}
