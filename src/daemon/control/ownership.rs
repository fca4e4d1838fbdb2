//! Renews this daemon's ownership with its witnesses and proposes epochs for scopes that need one.

use std::sync::Arc;
use std::time::Duration;

use tracing::info;
use tracing::warn;
use uuid::Uuid;

use super::peer_client::method;
use super::peer_server::acknowledge_here;
use super::peer_server::close_here;
use super::state::ControlContext;
use super::state::ControlState;
use crate::clock::wall_ms;
use crate::daemon::shared::AckRounds;
use crate::decisions::ownership::plan_epoch;
use crate::decisions::ownership::EpochPlan;
use crate::decisions::ownership::PlanInput;
use crate::decisions::ownership::ACK_INTERVAL_MS;
use crate::decisions::ownership::ACK_LEAD_MS;
use crate::decisions::ownership::RATE_SCOPE;
use crate::observe::LogEvent;
use crate::wire::AckAnswer;
use crate::wire::AckRequest;
use crate::wire::CloseAnswer;
use crate::wire::CloseRequest;
use crate::wire::LogRecord;
use crate::wire::MemberRecord;
use crate::wire::MemberState;
use crate::wire::OwnershipEpoch;

const ACK_TIMEOUT: Duration = Duration::from_millis(500);
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of a plan while neither the members nor the log change.
const MAX_IDLE_PLAN_AGE: Duration = Duration::from_secs(5);
/// Time that a scope must need an epoch before it is proposed, so that simultaneous joins share
/// one.
const EPOCH_NEED_DELAY: Duration = Duration::from_millis(400);
/// Additional delay per rank, in which a daemon of a lower rank may propose first.
const PROPOSAL_RANK_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum age of the latest read of the log for an epoch to be proposed: closing the current epoch
/// when no new one can be appended would stop its owners.
const MAX_LOG_AGE: Duration = Duration::from_millis(4_600);
/// Maximum number of daemons that are homes of rates.
const MAX_RATE_HOMES: usize = 8;
/// Maximum time that the epoch of the rates continues while the log is unavailable.
const RATE_OUTAGE_BRIDGE_MS: u64 = 3_600_000;
/// Time after an epoch's start in which requests with birth times of the earlier one may arrive.
const HANDOVER_SLACK_MS: u64 = 300;
/// Allowance for clock differences when an epoch ends by its own bound.
const EPOCH_END_SLACK_MS: u64 = 2_000;

/// Asks witnesses to acknowledge birth times in advance, for as long as the daemon runs.
pub async fn keep_renewing(context: &Arc<ControlContext>) {
    loop {
        renew_all(context).await;
        let pause = tokio::time::sleep(Duration::from_millis(ACK_INTERVAL_MS));
        tokio::select! {
            () = pause => {}
            () = context.renewal_requested.notified() => {}
        }
    }
}

/// Proposes epochs for scopes that need a new one, for as long as the daemon runs.
pub async fn keep_planning(context: &Arc<ControlContext>) {
    let mut ticks = tokio::time::interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let due = due_plans(context);
        for (scope, current, plan) in due {
            propose(context, &scope, current.as_ref(), &plan).await;
        }
    }
}

/// Returns true if this daemon is an owner or a witness of a current epoch, or a new epoch has only
/// just started, so that it can't stop yet. A daemon without others can't hand over and may stop.
fn is_handover_required(context: &ControlContext) -> bool {
    let state = context.state();
    let own = state.own_incarnation();
    let now_ms = wall_ms();
    let is_only_member = state.members.live().len() == 1;
    let mut handover_required = state.ownership.chains().any(|(_, chain)| {
        let newest = chain.newest();
        let in_newest = newest.owners.contains(&own) || newest.witnesses.contains(&own);
        in_newest || newest.start_ms + HANDOVER_SLACK_MS > now_ms
    });
    handover_required &= !is_only_member;
    handover_required
}

async fn renew_all(context: &Arc<ControlContext>) {
    let handover_required = is_handover_required(context);
    context
        .shared
        .handover_required
        .send_replace(handover_required);
    let round = begin_round(context);
    let owned: Vec<OwnershipEpoch> = {
        let state = context.state();
        let own = state.own_incarnation();
        state
            .ownership
            .chains()
            .map(|(_, chain)| chain.newest())
            .filter(|epoch| epoch.owners.contains(&own))
            .cloned()
            .collect()
    };
    let tasks: Vec<_> = owned
        .into_iter()
        .map(|epoch| {
            let context = context.clone();
            tokio::spawn(async move {
                if renew_scope(&context, &epoch).await {
                    let confirm = |rounds: &mut AckRounds| {
                        rounds.confirm(&epoch.scope, epoch.number, round);
                    };
                    context.shared.ack_rounds.send_modify(confirm);
                }
            })
        })
        .collect();
    for task in tasks {
        // A task that panicked has not confirmed anything.
        let _ = task.await;
    }
}

fn begin_round(context: &ControlContext) -> u64 {
    let mut round = 0;
    context
        .shared
        .ack_rounds
        .send_modify(|rounds: &mut AckRounds| {
            rounds.begun += 1;
            round = rounds.begun;
        });
    round
}

/// Asks the witnesses of one scope; returns true if a majority acknowledged in this round.
async fn renew_scope(context: &Arc<ControlContext>, epoch: &OwnershipEpoch) -> bool {
    let request = AckRequest {
        scope: epoch.scope.clone(),
        number: epoch.number,
        bound_ms: wall_ms() + ACK_LEAD_MS,
    };
    let majority = epoch.witnesses.len() / 2 + 1;
    let mut missing = majority;
    let mut unasked = ordered_witnesses(context, epoch);
    // A majority suffices; the other witnesses are asked only to replace those without an answer.
    while missing > 0 && !unasked.is_empty() {
        let asked: Vec<Uuid> = unasked.drain(..missing.min(unasked.len())).collect();
        missing -= ask_witnesses(context, &asked, &request).await;
    }
    missing == 0
}

/// Orders the witnesses of an epoch: live ones first, rotated differently for each owner.
fn ordered_witnesses(context: &ControlContext, epoch: &OwnershipEpoch) -> Vec<Uuid> {
    let state = context.state();
    let own = state.own_incarnation();
    let live = |id: &Uuid| {
        *id == own
            || state
                .members
                .member(*id)
                .is_some_and(|view| view.state == MemberState::Alive)
    };
    let first = own.as_u128() as usize % epoch.witnesses.len().max(1);
    let mut order = epoch.witnesses.clone();
    order.rotate_left(first);
    order.sort_by_key(|id| (!live(id), *id != own));
    order
}

/// Asks several witnesses at once; returns the number of acknowledgements.
async fn ask_witnesses(
    context: &Arc<ControlContext>,
    witnesses: &[Uuid],
    request: &AckRequest,
) -> usize {
    let tasks: Vec<_> = witnesses
        .iter()
        .map(|witness| {
            let context = context.clone();
            let request = request.clone();
            let witness = *witness;
            tokio::spawn(async move {
                let acknowledged = ask_witness(&context, witness, &request).await;
                if acknowledged {
                    record_acknowledgement(&context, &request, witness);
                }
                acknowledged
            })
        })
        .collect();
    let mut count = 0;
    for task in tasks {
        count += usize::from(task.await.unwrap_or(false));
    }
    count
}

async fn ask_witness(context: &Arc<ControlContext>, witness: Uuid, request: &AckRequest) -> bool {
    if witness == context.shared.incarnation {
        return acknowledge_here(context, request);
    }
    let Some(address) = peer_address(context, witness) else {
        return false;
    };
    let answer: Result<AckAnswer, _> = context
        .clients
        .call(&address, method::ACKNOWLEDGE, request, ACK_TIMEOUT)
        .await;
    answer.is_ok_and(|answer| answer.acknowledged)
}

fn record_acknowledgement(context: &ControlContext, request: &AckRequest, witness: Uuid) {
    let mut state = context.state();
    state.ack_bounds.record_acknowledgement(
        &request.scope,
        request.number,
        witness,
        request.bound_ms,
    );
    context
        .shared
        .ack_bounds
        .store(Arc::new(state.ack_bounds.clone()));
}

fn peer_address(context: &ControlContext, incarnation: Uuid) -> Option<String> {
    let state = context.state();
    let view = state.members.member(incarnation)?;
    view.is_live().then(|| view.record.peer_address.clone())
}

type DuePlan = (String, Option<OwnershipEpoch>, EpochPlan);

/// Returns the scopes for which this daemon proposes an epoch now.
fn due_plans(context: &ControlContext) -> Vec<DuePlan> {
    let now = context.now();
    let state = &mut *context.state();
    if !state.caught_up || !state.has_read_log_within(now, MAX_LOG_AGE) {
        return Vec::new();
    }
    let basis = (state.members.changes(), state.next_offset);
    let quiet = state.epoch_needed_since.is_empty() && state.last_plan.0 == basis;
    if quiet && now.saturating_sub(state.last_plan.1) < MAX_IDLE_PLAN_AGE {
        return Vec::new();
    }
    state.last_plan = (basis, now);
    let scopes = state.scopes();
    let mut due = Vec::new();
    for (scope, max_log_outage_ms) in scopes {
        let Some(plan) = state.plan(&scope, max_log_outage_ms) else {
            state.epoch_needed_since.remove(&scope);
            continue;
        };
        let rank = state.rank(&scope);
        let since = *state.epoch_needed_since.entry(scope.clone()).or_insert(now);
        if now.saturating_sub(since) >= EPOCH_NEED_DELAY + PROPOSAL_RANK_DELAY * rank {
            state.epoch_needed_since.insert(scope.clone(), now);
            let current = state
                .ownership
                .chain(&scope)
                .map(|chain| chain.newest().clone());
            due.push((scope, current, plan));
        }
    }
    due
}

impl ControlState {
    /// Scopes that this daemon may own, with the time in milliseconds that each may continue
    /// without the log.
    ///
    /// Only owners propose: planning every scope of the fleet would cost each daemon the product of
    /// services and members.
    fn scopes(&self) -> Vec<(String, u64)> {
        let services = self
            .config
            .teams()
            .flat_map(|(_, state)| &state.config.services)
            .filter(|service| service.name == self.members.own().service)
            .filter(|service| service.routes.iter().any(|route| !route.idempotent))
            .map(|service| (service.name.clone(), service.outage_bridge_s * 1000));
        let rates = std::iter::once((RATE_SCOPE.to_string(), RATE_OUTAGE_BRIDGE_MS));
        rates.chain(services).collect()
    }

    fn plan(&self, scope: &str, max_log_outage_ms: u64) -> Option<EpochPlan> {
        let mut fleet = self.members.live();
        if fleet.iter().any(|record| !record.stopping) {
            fleet.retain(|record| !record.stopping);
        }
        let owners = self.eligible_owners(scope);
        let input = PlanInput {
            scope,
            current: self.ownership.chain(scope).map(|chain| chain.newest()),
            owners: &owners,
            fleet: &fleet,
            now_ms: wall_ms(),
            max_log_outage_ms,
        };
        let known = input.current.is_some() || self.ownership.is_complete();
        if known {
            plan_epoch(&input)
        } else {
            None
        }
    }

    fn eligible_owners(&self, scope: &str) -> Vec<&MemberRecord> {
        if scope != RATE_SCOPE {
            return self.endpoints_of(scope);
        }
        let current_owners = self
            .ownership
            .chain(RATE_SCOPE)
            .map(|chain| chain.newest().owners.clone())
            .unwrap_or_default();
        let mut live = self.members.live();
        // A stopping daemon hands over its rates while it still answers.
        if live.iter().any(|record| !record.stopping) {
            live.retain(|record| !record.stopping);
        }
        live.sort_by_key(|record| {
            (
                !current_owners.contains(&record.incarnation),
                record.incarnation,
            )
        });
        live.truncate(MAX_RATE_HOMES);
        live
    }

    /// Number of eligible owners that propose for a scope before this daemon.
    fn rank(&self, scope: &str) -> u32 {
        let own = self.own_incarnation();
        let owners = self.eligible_owners(scope);
        let mut order: Vec<Uuid> = owners.iter().map(|record| record.incarnation).collect();
        order.sort_unstable();
        let position = order.iter().position(|id| *id == own);
        position.unwrap_or(order.len()) as u32
    }
}

async fn propose(
    context: &Arc<ControlContext>,
    scope: &str,
    current: Option<&OwnershipEpoch>,
    plan: &EpochPlan,
) {
    let start_ms = match current {
        None => 0,
        Some(current) => {
            // The log must answer just before the close: otherwise no new epoch could follow.
            if context.log.read(u64::MAX, Duration::ZERO).await.is_err() {
                return;
            }
            let Some(start_ms) = close_epoch(context, current).await else {
                return;
            };
            start_ms
        }
    };
    let epoch = OwnershipEpoch {
        change_id: Uuid::now_v7(),
        scope: scope.to_string(),
        number: plan.number,
        start_ms,
        until_ms: plan.until_ms,
        witnesses: plan.witnesses.clone(),
        witness_vms: plan.witness_vms.clone(),
        owners: plan.owners.clone(),
        slots: plan.slots.clone(),
        restated: false,
    };
    info!(event = LogEvent::EpochProposed.number(), scope, number = epoch.number, start_ms,
        owners = ?epoch.owners, witnesses = ?epoch.witnesses, "epoch proposed");
    context
        .shared
        .metrics
        .record_control_message("log-append", 512);
    // The result is read back from the log, where another proposal may have come first.
    let _ = context.log.append(&LogRecord::Epoch(epoch)).await;
}

/// Closes an epoch at a majority of its witnesses; returns a bound in Unix milliseconds that
/// exceeds all birth times its owners may run.
async fn close_epoch(context: &Arc<ControlContext>, current: &OwnershipEpoch) -> Option<u64> {
    let tasks: Vec<_> = current
        .witnesses
        .iter()
        .zip(&current.witness_vms)
        .filter_map(|(witness, vm)| {
            let context = context.clone();
            let address = peer_address_of_vm(&context, vm)?;
            let request = CloseRequest {
                scope: current.scope.clone(),
                number: current.number,
                witness: *witness,
                witness_vm: vm.clone(),
            };
            Some(tokio::spawn(async move {
                request_close(&context, &request, &address).await
            }))
        })
        .collect();
    let mut bounds = Vec::with_capacity(tasks.len());
    for task in tasks {
        bounds.extend(task.await.ok().flatten());
    }
    if bounds.len() > current.witnesses.len() / 2 {
        let highest = bounds.into_iter().max().unwrap_or(0);
        return Some(highest.max(current.start_ms + 1));
    }
    if wall_ms() > current.until_ms + EPOCH_END_SLACK_MS {
        return Some(current.until_ms.max(current.start_ms + 1));
    }
    warn!(event = LogEvent::EpochBlocked.number(), scope = %current.scope,
        number = current.number, answered = bounds.len(), witnesses = current.witnesses.len(),
        until_ms = current.until_ms, "epoch can't be closed: too few witnesses answered");
    None
}

/// Returns the peer address of the live daemon on a VM: the witness or its successor, which closes
/// epochs on its behalf.
fn peer_address_of_vm(context: &ControlContext, vm: &str) -> Option<String> {
    let state = context.state();
    let live = state.members.live();
    let record = live.into_iter().find(|record| record.vm == vm)?;
    Some(record.peer_address.clone())
}

async fn request_close(
    context: &Arc<ControlContext>,
    request: &CloseRequest,
    address: &str,
) -> Option<u64> {
    if address == context.shared.options.advertised_peer_address.to_string() {
        return close_here(context, request);
    }
    let answer: Result<CloseAnswer, _> = context
        .clients
        .call(address, method::CLOSE_EPOCH, request, CLOSE_TIMEOUT)
        .await;
    let answer = answer.ok().filter(|answer| answer.closed)?;
    Some(answer.highest_ms)
}
