//! Exchanges pings, rumours and state with peers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::info;
use uuid::Uuid;

use super::apply::apply_records;
use super::peer_client::method;
use super::state::ControlContext;
use super::state::ControlState;
use crate::decisions::configuration::StateItem;
use crate::decisions::membership::ProbeTarget;
use crate::decisions::membership::INDIRECT_PROBES;
use crate::decisions::membership::PING_INTERVAL;
use crate::decisions::membership::PING_TIMEOUT;
use crate::observe::LogEvent;
use crate::wire::LogRecord;
use crate::wire::MemberState;
use crate::wire::PingMessage;
use crate::wire::ProbeAnswer;
use crate::wire::ProbeRequest;
use crate::wire::PullAnswer;
use crate::wire::PullRequest;
use crate::wire::StateIndex;
use crate::wire::StoredRecord;

const PULL_TIMEOUT: Duration = Duration::from_millis(3_000);
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// State is pulled from a peer only if this daemon has not read the log for this long.
const MAX_LOG_AGE: Duration = Duration::from_millis(4_600);

/// Pings the members one after the other, for as long as the daemon runs.
pub async fn keep_pinging(context: &Arc<ControlContext>) {
    let mut ticks = tokio::time::interval(PING_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        expire_suspects(context);
        let target = {
            let state = &mut *context.state();
            state.members.next_probe(&mut state.rng)
        };
        if let Some(target) = target {
            let context = context.clone();
            tokio::spawn(async move { ping_member(&context, &target).await });
        }
    }
}

/// Pings daemons that a call could not reach at once, outside the regular order.
pub async fn serve_ping_requests(
    context: &Arc<ControlContext>,
    mut ping_requests: mpsc::Receiver<Uuid>,
) {
    while let Some(incarnation) = ping_requests.recv().await {
        let target = {
            let state = context.state();
            let view = state.members.member(incarnation);
            view.filter(|view| view.state == MemberState::Alive)
                .map(|view| ProbeTarget {
                    incarnation,
                    peer_address: view.record.peer_address.clone(),
                })
        };
        if let Some(target) = target {
            ping_member(context, &target).await;
        }
    }
}

/// Joins the fleet at the start: pulls members and state from the first peer that answers.
pub async fn join_fleet(context: &Arc<ControlContext>) {
    let mut addresses: Vec<String> = {
        let state = context.state();
        let from_log = state.bootstrap_members.iter().rev();
        let settings = context.shared.options.bootstrap_peers.iter();
        from_log
            .map(|record| record.peer_address.clone())
            .chain(settings.map(ToString::to_string))
            .collect()
    };
    let own = context.shared.options.advertised_peer_address.to_string();
    addresses.retain(|address| *address != own);
    for address in addresses {
        if pull_from(context, &address, true).await {
            return;
        }
    }
}

/// Builds a ping with this daemon's record and recent rumours.
pub fn build_ping(context: &ControlContext) -> PingMessage {
    let now = context.now();
    let state = &mut *context.state();
    PingMessage {
        member: state.members.own().clone(),
        rumours: state.members.rumours(),
        next_offset: state.next_offset,
        log_age_ms: state.log_age(now).as_millis() as u64,
    }
}

/// Handles a ping from a peer or the answer to a ping.
pub fn handle_ping(context: &Arc<ControlContext>, ping: &PingMessage) {
    let now = context.now();
    let (changed, behind, needs_members) = {
        let mut state = context.state();
        state.record_log_read(now, Duration::from_millis(ping.log_age_ms));
        let mut changed = state.members.confirm_alive(now, &ping.member);
        for rumour in &ping.rumours {
            changed |= state.members.apply_rumour(now, rumour);
        }
        let behind =
            ping.next_offset > state.next_offset && !state.has_read_log_within(now, MAX_LOG_AGE);
        let needs_members = !std::mem::replace(&mut state.joined, true);
        (changed, behind, needs_members)
    };
    if changed {
        context.mark_changed();
    }
    if behind || needs_members {
        let context = context.clone();
        let address = ping.member.peer_address.clone();
        tokio::spawn(async move {
            if !pull_from(&context, &address, needs_members).await && needs_members {
                context.state().joined = false;
            }
        });
    }
}

/// Builds the answer to a pull: records that restate the state from the requested offset on.
pub fn build_pull_answer(context: &ControlContext, request: &PullRequest) -> PullAnswer {
    let state = context.state();
    let records = state
        .retention
        .since(request.from)
        .filter_map(|(item, position)| {
            Some(StoredRecord {
                offset: position.offset,
                appended_ms: position.appended_ms,
                record: state.build_record(item, state.next_offset)?,
            })
        })
        .collect();
    let rumours = match request.members {
        true => state.members.all_rumours(),
        false => Vec::new(),
    };
    PullAnswer {
        next_offset: state.next_offset,
        complete: state.is_complete(),
        records,
        rumours,
    }
}

impl ControlState {
    /// Returns true if no state that was ever recorded is missing here.
    pub fn is_complete(&self) -> bool {
        self.config.is_complete() && self.ownership.is_complete()
    }

    /// Builds the record that restates an item in force.
    pub fn build_record(&self, item: &StateItem, as_of: u64) -> Option<LogRecord> {
        let record = match item {
            StateItem::Team(team) => LogRecord::Snapshot(self.config.snapshot(team, as_of)?),
            StateItem::Grant(hash) => {
                let grant = self.keys.grants().find(|grant| grant.key_hash == *hash)?;
                LogRecord::Grant(grant.clone())
            }
            StateItem::Withdrawal(hash) => {
                let found = self
                    .keys
                    .withdrawals()
                    .find(|withdrawal| withdrawal.key_hash == *hash)?;
                LogRecord::Withdrawal(found.clone())
            }
            StateItem::Drain(vm) => LogRecord::Drain(self.drains.get(vm)?.clone()),
            StateItem::Epoch(scope) => {
                let mut epoch = self.ownership.chain(scope)?.newest().clone();
                epoch.restated = true;
                LogRecord::Epoch(epoch)
            }
            StateItem::Index => LogRecord::Index(self.index(as_of)?),
        };
        Some(record)
    }

    /// Lists all teams and scopes in force; returns `None` if this daemon's state is incomplete.
    pub fn index(&self, as_of: u64) -> Option<StateIndex> {
        self.is_complete().then(|| StateIndex {
            as_of,
            teams: self.config.teams().map(|(team, _)| team.clone()).collect(),
            scopes: self
                .ownership
                .chains()
                .map(|(scope, _)| scope.clone())
                .collect(),
        })
    }
}

fn expire_suspects(context: &ControlContext) {
    let now = context.now();
    let dead = context.state().members.tick(now);
    for incarnation in &dead {
        info!(event = LogEvent::MemberChanged.number(), member = %incarnation, state = "dead",
            cause = "suspicion not refuted in time", "member state changed");
    }
    if !dead.is_empty() {
        context.mark_changed();
    }
}

async fn ping_member(context: &Arc<ControlContext>, target: &ProbeTarget) {
    let ping = build_ping(context);
    let direct: Result<PingMessage, _> = context
        .clients
        .call(&target.peer_address, method::PING, &ping, PING_TIMEOUT)
        .await;
    if let Ok(answer) = direct {
        handle_ping(context, &answer);
        record_reachability(context, target, true);
        return;
    }
    info!(event = LogEvent::PeerUnreachable.number(), member = %target.incarnation,
        address = %target.peer_address, "ping not answered; probing through other members");
    let reached = probe_indirectly(context, target).await;
    record_reachability(context, target, reached);
    if !reached
        && context
            .state()
            .members
            .suspect(context.now(), target.incarnation)
    {
        info!(event = LogEvent::MemberChanged.number(), member = %target.incarnation,
            state = "suspect", cause = "neither ping nor indirect probes answered", "member state changed");
        context.mark_changed();
    }
}

async fn probe_indirectly(context: &Arc<ControlContext>, target: &ProbeTarget) -> bool {
    let probers = {
        let state = &mut *context.state();
        state
            .members
            .indirect_probers(target.incarnation, INDIRECT_PROBES, &mut state.rng)
    };
    let probes = probers.into_iter().map(|prober| {
        let context = context.clone();
        let request = ProbeRequest {
            peer_address: target.peer_address.clone(),
        };
        tokio::spawn(async move {
            let answer: Result<ProbeAnswer, _> = context
                .clients
                .call(&prober.peer_address, method::PROBE, &request, PROBE_TIMEOUT)
                .await;
            answer.is_ok_and(|answer| answer.reached)
        })
    });
    let probes: Vec<_> = probes.collect();
    let mut reached = false;
    for probe in probes {
        reached |= probe.await.unwrap_or(false);
    }
    reached
}

fn record_reachability(context: &ControlContext, target: &ProbeTarget, answered: bool) {
    let mut state = context.state();
    let dead = state
        .members
        .member(target.incarnation)
        .is_none_or(|view| matches!(view.state, MemberState::Dead | MemberState::Left));
    if answered || !dead {
        state.reachability.record(answered);
    }
}

/// Pulls missing state from a peer, and all members if `members` is true; returns false if the peer
/// did not answer.
async fn pull_from(context: &Arc<ControlContext>, address: &str, members: bool) -> bool {
    let from = match members {
        true => 0,
        false => context.state().next_offset,
    };
    let request = PullRequest { from, members };
    let answer: Result<PullAnswer, _> = context
        .clients
        .call(address, method::PULL, &request, PULL_TIMEOUT)
        .await;
    let Ok(answer) = answer else {
        return false;
    };
    info!(
        event = LogEvent::StatePulled.number(),
        peer = address,
        from,
        to = answer.next_offset,
        records = answer.records.len(),
        "state pulled from a peer"
    );
    apply_pulled(context, &answer);
    true
}

fn apply_pulled(context: &ControlContext, answer: &PullAnswer) {
    let mut records = answer.records.clone();
    records.sort_by_key(|stored| stored.offset);
    apply_records(context, &records);
    let now = context.now();
    let mut state = context.state();
    if answer.complete && !state.is_complete() {
        let index = StateIndex {
            as_of: answer.next_offset,
            teams: state.config.teams().map(|(team, _)| team.clone()).collect(),
            scopes: state
                .ownership
                .chains()
                .map(|(scope, _)| scope.clone())
                .collect(),
        };
        state.config.apply_index(&index);
        state.ownership.apply_index(0, &index.scopes);
    }
    for rumour in &answer.rumours {
        state.members.apply_rumour(now, rumour);
    }
    state.joined |= !answer.rumours.is_empty();
    state.next_offset = state.next_offset.max(answer.next_offset);
    state.caught_up = true;
    drop(state);
    context.mark_changed();
}
