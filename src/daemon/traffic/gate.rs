//! The admission gate with the calls that wait at it.

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

/// What a call asks of the gate.
#[derive(Debug)]
pub struct GateRequest<'a> {
    pub organisation: &'a str,
    pub weight: u32,
    pub importance: Importance,
    /// In time since the process started.
    pub deadline: Duration,
}

/// How a call got through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    AtOnce,
    AfterWait,
}

type WaitOutcome = Result<(), RefusalReason>;

#[derive(Debug, Default)]
struct GateState {
    gate: Option<AdmissionController>,
    slots: u32,
    waiting: HashMap<CallTicket, oneshot::Sender<WaitOutcome>>,
    next_ticket: u64,
}

/// The gate, shared by the traffic threads.
#[derive(Debug, Default)]
pub struct GateShell {
    state: Mutex<GateState>,
}

/// A call that waits; when its caller goes away, its place is given back.
struct WaitingCall<'a> {
    shell: &'a GateShell,
    ticket: CallTicket,
    since: Duration,
    outcome: oneshot::Receiver<WaitOutcome>,
    ended: bool,
}

impl WaitingCall<'_> {
    async fn wait(mut self) -> WaitOutcome {
        let outcome = (&mut self.outcome).await;
        self.ended = true;
        outcome.unwrap_or(Err(RefusalReason::Evicted))
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.shell.abandon(self);
        }
    }
}

impl GateShell {
    /// Waits until the call may run or is refused.
    ///
    /// # Errors
    ///
    /// Names the reason of the refusal.
    pub async fn enter(
        &self,
        now: Duration,
        slots: u32,
        request: GateRequest<'_>,
    ) -> Result<Admission, RefusalReason> {
        let waiting = {
            let mut state = lock(&self.state);
            let ticket = state.take_ticket();
            let work = QueuedCall {
                ticket,
                organisation: request.organisation.to_string(),
                weight: request.weight,
                importance: request.importance,
                deadline: request.deadline,
            };
            let mut actions = QueueActions::default();
            let verdict = state.gate(slots, now).admit(now, work, &mut actions);
            let (sender, outcome) = oneshot::channel();
            if verdict == AdmissionDecision::Wait {
                state.waiting.insert(ticket, sender);
            }
            state.carry_out(now, &actions);
            match verdict {
                AdmissionDecision::Run => return Ok(Admission::AtOnce),
                AdmissionDecision::Refuse(reason) => return Err(reason),
                AdmissionDecision::Wait => WaitingCall {
                    shell: self,
                    ticket,
                    since: now,
                    outcome,
                    ended: false,
                },
            }
        };
        waiting.wait().await?;
        Ok(Admission::AfterWait)
    }

    /// Notes the end of a running call.
    pub fn finish(&self, now: Duration, elapsed: Duration, succeeded: bool) {
        self.change(now, |gate| gate.finish(now, elapsed, succeeded));
    }

    /// Notes that the endpoint itself refused a call.
    pub fn endpoint_shed(&self, now: Duration) {
        self.change(now, |gate| gate.endpoint_shed(now));
    }

    /// Refuses what can't be answered in time any more.
    pub fn tick(&self, now: Duration) {
        self.change(now, |gate| gate.tick(now));
    }

    /// The load that entries are told of.
    pub fn report(&self, now: Duration) -> Option<LoadReport> {
        lock(&self.state).gate.as_ref().map(|gate| gate.report(now))
    }

    fn change(&self, now: Duration, change: impl FnOnce(&mut AdmissionController) -> QueueActions) {
        let mut state = lock(&self.state);
        if let Some(gate) = &mut state.gate {
            let actions = change(gate);
            state.carry_out(now, &actions);
        }
    }

    /// A call that was let through at the moment its caller went gives its place back.
    fn abandon(&self, call: &mut WaitingCall<'_>) {
        let mut state = lock(&self.state);
        state.waiting.remove(&call.ticket);
        let let_through = matches!(call.outcome.try_recv(), Ok(Ok(())));
        let Some(gate) = &mut state.gate else {
            return;
        };
        gate.cancel(call.ticket);
        if let_through {
            let actions = gate.release(call.since);
            state.carry_out(call.since, &actions);
        }
    }
}

impl GateState {
    fn take_ticket(&mut self) -> CallTicket {
        self.next_ticket += 1;
        CallTicket(self.next_ticket)
    }

    fn gate(&mut self, slots: u32, now: Duration) -> &mut AdmissionController {
        let announced = self.slots;
        self.slots = slots;
        let gate = self
            .gate
            .get_or_insert_with(|| AdmissionController::from_slots(slots, now));
        if announced != slots {
            gate.set_announced_slots(slots);
        }
        gate
    }

    fn carry_out(&mut self, now: Duration, actions: &QueueActions) {
        let mut forfeited = 0;
        for ticket in &actions.run {
            let sender = self.waiting.remove(ticket);
            let told = sender.is_some_and(|sender| sender.send(Ok(())).is_ok());
            forfeited += u32::from(!told);
        }
        for (ticket, reason) in &actions.refuse {
            if let Some(sender) = self.waiting.remove(ticket) {
                // A caller that has gone needs no refusal.
                let _ = sender.send(Err(*reason));
            }
        }
        for _ in 0..forfeited {
            if let Some(gate) = &mut self.gate {
                let more = gate.release(now);
                self.carry_out(now, &more);
            }
        }
    }
}
