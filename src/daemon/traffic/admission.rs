//! Wakes the calls that wait in the queue of the executor's admission controller.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::daemon::shared::lock;
use crate::decisions::admission::AdmissionController;
use crate::decisions::admission::AdmissionDecision;
use crate::decisions::admission::CallTicket;
use crate::decisions::admission::QueueActions;
use crate::decisions::admission::QueuedCall;
use crate::decisions::admission::RefusalReason;
use crate::wire::Importance;
use crate::wire::LoadReport;

/// Call that asks for admission.
#[derive(Debug)]
pub struct AdmissionRequest<'a> {
    pub organisation: &'a str,
    pub weight: u32,
    pub importance: Importance,
    /// Measured from the start of the process.
    pub deadline: Duration,
}

/// Way in which a call was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Without waiting.
    Immediate,
    /// After waiting in the queue.
    Queued,
}

type WaitOutcome = Result<(), RefusalReason>;

#[derive(Debug, Default)]
struct ControllerState {
    controller: Option<AdmissionController>,
    slots: u32,
    waiting: HashMap<CallTicket, oneshot::Sender<WaitOutcome>>,
    next_ticket: u64,
}

/// Admission controller of the local endpoint, shared by the traffic threads.
#[derive(Debug, Default)]
pub struct SharedController {
    state: Mutex<ControllerState>,
}

/// Queued call, which leaves the queue when its caller disconnects.
struct WaitingCall<'a> {
    controller: &'a SharedController,
    ticket: CallTicket,
    queued_at: Duration,
    outcome: oneshot::Receiver<WaitOutcome>,
    resolved: bool,
}

impl WaitingCall<'_> {
    async fn wait(mut self) -> WaitOutcome {
        let outcome = (&mut self.outcome).await;
        self.resolved = true;
        outcome.unwrap_or(Err(RefusalReason::Evicted))
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if !self.resolved {
            self.controller.abandon(self);
        }
    }
}

impl SharedController {
    /// Waits until the call is admitted or refused.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call is refused.
    pub async fn enter(
        &self,
        now: Duration,
        slots: u32,
        request: AdmissionRequest<'_>,
    ) -> Result<Admission, RefusalReason> {
        let waiting = {
            let mut state = lock(&self.state);
            let ticket = state.take_ticket();
            let queued_call = QueuedCall {
                ticket,
                organisation: request.organisation.to_string(),
                weight: request.weight,
                importance: request.importance,
                deadline: request.deadline,
            };
            let mut actions = QueueActions::default();
            let decision = state
                .controller(slots, now)
                .admit(now, queued_call, &mut actions);
            let (sender, outcome) = oneshot::channel();
            if decision == AdmissionDecision::Wait {
                state.waiting.insert(ticket, sender);
            }
            state.apply_actions(now, &actions);
            match decision {
                AdmissionDecision::Run => return Ok(Admission::Immediate),
                AdmissionDecision::Refuse(reason) => return Err(reason),
                AdmissionDecision::Wait => WaitingCall {
                    controller: self,
                    ticket,
                    queued_at: now,
                    outcome,
                    resolved: false,
                },
            }
        };
        waiting.wait().await?;
        Ok(Admission::Queued)
    }

    /// Records the end of a running call.
    pub fn finish(&self, now: Duration, elapsed: Duration, succeeded: bool) {
        self.update(now, |controller| controller.finish(now, elapsed, succeeded));
    }

    /// Records that the endpoint itself refused a call.
    pub fn endpoint_shed(&self, now: Duration) {
        self.update(now, |controller| controller.endpoint_shed(now));
    }

    /// Refuses queued calls that can no longer meet their deadline.
    pub fn tick(&self, now: Duration) {
        self.update(now, |controller| controller.tick(now));
    }

    /// Returns the load report for entries, or `None` before the first call.
    pub fn report(&self, now: Duration) -> Option<LoadReport> {
        lock(&self.state)
            .controller
            .as_ref()
            .map(|controller| controller.report(now))
    }

    fn update(&self, now: Duration, update: impl FnOnce(&mut AdmissionController) -> QueueActions) {
        let mut state = lock(&self.state);
        if let Some(controller) = &mut state.controller {
            let actions = update(controller);
            state.apply_actions(now, &actions);
        }
    }

    /// Removes a call whose caller disconnected; if it was admitted at the same moment, its slot is
    /// released.
    fn abandon(&self, call: &mut WaitingCall<'_>) {
        let mut state = lock(&self.state);
        state.waiting.remove(&call.ticket);
        let admitted = matches!(call.outcome.try_recv(), Ok(Ok(())));
        let Some(controller) = &mut state.controller else {
            return;
        };
        controller.cancel(call.ticket);
        if admitted {
            let actions = controller.release(call.queued_at);
            state.apply_actions(call.queued_at, &actions);
        }
    }
}

impl ControllerState {
    fn take_ticket(&mut self) -> CallTicket {
        self.next_ticket += 1;
        CallTicket(self.next_ticket)
    }

    fn controller(&mut self, slots: u32, now: Duration) -> &mut AdmissionController {
        let announced = self.slots;
        self.slots = slots;
        let controller = self
            .controller
            .get_or_insert_with(|| AdmissionController::from_slots(slots, now));
        if announced != slots {
            controller.set_announced_slots(slots);
        }
        controller
    }

    fn apply_actions(&mut self, now: Duration, actions: &QueueActions) {
        let mut forfeited = 0;
        for ticket in &actions.run {
            let sender = self.waiting.remove(ticket);
            let delivered = sender.is_some_and(|sender| sender.send(Ok(())).is_ok());
            forfeited += u32::from(!delivered);
        }
        for (ticket, reason) in &actions.refuse {
            if let Some(sender) = self.waiting.remove(ticket) {
                // A caller that has disconnected needs no refusal.
                let _ = sender.send(Err(*reason));
            }
        }
        for _ in 0..forfeited {
            if let Some(controller) = &mut self.controller {
                let next_actions = controller.release(now);
                self.apply_actions(now, &next_actions);
            }
        }
    }
}
