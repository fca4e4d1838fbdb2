//! One VM of the simulation: an endpoint that slows when crowded, and the gate beside it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use marigoldhatch::decisions::admission::AdaptiveThrottle;
use marigoldhatch::decisions::admission::AdmissionController;
use marigoldhatch::decisions::admission::AdmissionDecision;
use marigoldhatch::decisions::admission::CallTicket;
use marigoldhatch::decisions::admission::QueueActions;
use marigoldhatch::decisions::admission::QueuedCall;
use marigoldhatch::decisions::placement::EndpointStats;
use marigoldhatch::decisions::retries::RetryBudget;

use super::policy::ControlPolicy;

/// Waiting work that a fixed limit holds for each slot.
const FIXED_QUEUE_PER_SLOT: usize = 10;
const BUDGET_PERCENT: u32 = 10;

/// What admits work at a node.
enum NodeGate {
    Product(Box<AdmissionController>),
    Fixed { waiting: VecDeque<CallTicket> },
    Open,
}

/// What becomes of an arriving call.
#[derive(Debug, PartialEq, Eq)]
pub enum NodeVerdict {
    Run,
    Wait,
    Refuse,
}

/// A VM.
pub struct FleetNode {
    pub slots: u32,
    pub running: u32,
    pub alive: bool,
    gate: NodeGate,
    /// What this VM's daemon knows of the nodes that it calls.
    pub measures: HashMap<usize, EndpointStats>,
    pub throttle: AdaptiveThrottle,
    pub budget: RetryBudget,
}

impl FleetNode {
    pub fn from_policy(policy: ControlPolicy, slots: u32) -> Self {
        let gate = match policy {
            ControlPolicy::NoControl => NodeGate::Open,
            ControlPolicy::FixedLimit => NodeGate::Fixed {
                waiting: VecDeque::new(),
            },
            _ => NodeGate::Product(Box::new(AdmissionController::from_slots(
                slots,
                Duration::ZERO,
            ))),
        };
        Self {
            slots,
            running: 0,
            alive: true,
            gate,
            measures: HashMap::new(),
            throttle: AdaptiveThrottle::default(),
            budget: RetryBudget::from_percent(BUDGET_PERCENT),
        }
    }

    /// How many times longer work takes with this many running.
    pub fn crowding(&self) -> f64 {
        (f64::from(self.running) / f64::from(self.slots)).max(1.0)
    }

    pub fn arrive(&mut self, now: Duration, work: QueuedCall) -> (NodeVerdict, QueueActions) {
        let mut actions = QueueActions::default();
        let ticket = work.ticket;
        let verdict = match &mut self.gate {
            NodeGate::Product(gate) => match gate.admit(now, work, &mut actions) {
                AdmissionDecision::Run => NodeVerdict::Run,
                AdmissionDecision::Wait => NodeVerdict::Wait,
                AdmissionDecision::Refuse(_) => NodeVerdict::Refuse,
            },
            NodeGate::Fixed { .. } if self.running < self.slots => NodeVerdict::Run,
            NodeGate::Fixed { waiting } => {
                if waiting.len() >= self.slots as usize * FIXED_QUEUE_PER_SLOT {
                    NodeVerdict::Refuse
                } else {
                    waiting.push_back(ticket);
                    NodeVerdict::Wait
                }
            }
            NodeGate::Open => NodeVerdict::Run,
        };
        (verdict, actions)
    }

    pub fn finish(&mut self, now: Duration, elapsed: Duration, succeeded: bool) -> QueueActions {
        match &mut self.gate {
            NodeGate::Product(gate) => gate.finish(now, elapsed, succeeded),
            NodeGate::Fixed { waiting } => QueueActions {
                run: waiting.pop_front().into_iter().collect(),
                ..QueueActions::default()
            },
            NodeGate::Open => QueueActions::default(),
        }
    }

    pub fn tick(&mut self, now: Duration) -> QueueActions {
        match &mut self.gate {
            NodeGate::Product(gate) => gate.tick(now),
            _ => QueueActions::default(),
        }
    }

    pub fn cancel(&mut self, ticket: CallTicket) {
        match &mut self.gate {
            NodeGate::Product(gate) => {
                gate.cancel(ticket);
            }
            NodeGate::Fixed { waiting } => waiting.retain(|held| *held != ticket),
            NodeGate::Open => {}
        }
    }
}
