//! Simulates a VM: an endpoint that slows down under load, and the admission control beside it.

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

/// Capacity of the queue under a fixed limit, in calls per slot.
const FIXED_QUEUE_PER_SLOT: usize = 10;
const RETRY_BUDGET_PERCENT: u32 = 10;

/// Admission control of a node under each policy.
enum NodeAdmission {
    Product(Box<AdmissionController>),
    Fixed { waiting: VecDeque<CallTicket> },
    Unlimited,
}

/// Decision on an arriving call.
#[derive(Debug, PartialEq, Eq)]
pub enum NodeDecision {
    Run,
    Wait,
    Refuse,
}

/// A simulated VM with its endpoint and its daemon.
pub struct FleetNode {
    pub slots: u32,
    pub running: u32,
    pub alive: bool,
    admission: NodeAdmission,
    /// Statistics of this VM's daemon about the nodes that it calls, by node index.
    pub endpoint_stats: HashMap<usize, EndpointStats>,
    pub throttle: AdaptiveThrottle,
    pub retry_budget: RetryBudget,
}

impl FleetNode {
    pub fn from_policy(policy: ControlPolicy, slots: u32) -> Self {
        let admission = match policy {
            ControlPolicy::NoControl => NodeAdmission::Unlimited,
            ControlPolicy::FixedLimit => NodeAdmission::Fixed {
                waiting: VecDeque::new(),
            },
            _ => NodeAdmission::Product(Box::new(AdmissionController::from_slots(
                slots,
                Duration::ZERO,
            ))),
        };
        Self {
            slots,
            running: 0,
            alive: true,
            admission,
            endpoint_stats: HashMap::new(),
            throttle: AdaptiveThrottle::default(),
            retry_budget: RetryBudget::from_percent(RETRY_BUDGET_PERCENT),
        }
    }

    /// Factor by which work takes longer at the current number of running calls.
    pub fn slowdown(&self) -> f64 {
        (f64::from(self.running) / f64::from(self.slots)).max(1.0)
    }

    /// Decides on an arriving call and returns the queued calls to start or refuse.
    pub fn admit(&mut self, now: Duration, call: QueuedCall) -> (NodeDecision, QueueActions) {
        let mut actions = QueueActions::default();
        let ticket = call.ticket;
        let decision = match &mut self.admission {
            NodeAdmission::Product(controller) => match controller.admit(now, call, &mut actions) {
                AdmissionDecision::Run => NodeDecision::Run,
                AdmissionDecision::Wait => NodeDecision::Wait,
                AdmissionDecision::Refuse(_) => NodeDecision::Refuse,
            },
            NodeAdmission::Fixed { .. } if self.running < self.slots => NodeDecision::Run,
            NodeAdmission::Fixed { waiting } => {
                if waiting.len() >= self.slots as usize * FIXED_QUEUE_PER_SLOT {
                    NodeDecision::Refuse
                } else {
                    waiting.push_back(ticket);
                    NodeDecision::Wait
                }
            }
            NodeAdmission::Unlimited => NodeDecision::Run,
        };
        (decision, actions)
    }

    /// Records that a call has finished and returns the queued calls to start or refuse.
    pub fn finish(&mut self, now: Duration, elapsed: Duration, succeeded: bool) -> QueueActions {
        match &mut self.admission {
            NodeAdmission::Product(controller) => controller.finish(now, elapsed, succeeded),
            NodeAdmission::Fixed { waiting } => QueueActions {
                run: waiting.pop_front().into_iter().collect(),
                ..QueueActions::default()
            },
            NodeAdmission::Unlimited => QueueActions::default(),
        }
    }

    /// Runs the periodic work and returns the queued calls to start or refuse.
    pub fn tick(&mut self, now: Duration) -> QueueActions {
        match &mut self.admission {
            NodeAdmission::Product(controller) => controller.tick(now),
            _ => QueueActions::default(),
        }
    }

    /// Removes a call from the queue.
    pub fn cancel(&mut self, ticket: CallTicket) {
        match &mut self.admission {
            NodeAdmission::Product(controller) => {
                controller.cancel(ticket);
            }
            NodeAdmission::Fixed { waiting } => {
                waiting.retain(|waiting_ticket| *waiting_ticket != ticket)
            }
            NodeAdmission::Unlimited => {}
        }
    }
}
