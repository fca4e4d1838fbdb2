//! Charges organisations' rates at the entry.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::state::TrafficState;
use crate::codes::ResultCode;
use crate::daemon::shared::lock;
use crate::daemon::shared::TokenErrand;
use crate::daemon::shared::TokenReply;
use crate::decisions::rates::shard_count;
use crate::decisions::rates::RefillRequest;
use crate::decisions::rates::TokenCache;

/// How long a call waits for a token while the organisation's homes answer.
const TOKEN_WAIT: Duration = Duration::from_millis(250);
/// How much of its time a call waits while no home answers: late is better than refused.
const HOMELESS_SHARE: f64 = 0.7;
/// Pause before a home that did not answer is asked again.
const HOMELESS_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a home that had no token is asked again.
const EMPTY_PAUSE: Duration = Duration::from_millis(20);
/// Calls of one organisation that may wait for tokens at one entry.
const MAX_WAITING: usize = 256;
const TICK: Duration = Duration::from_millis(100);

/// The tokens of one part of a rate.
#[derive(Debug, Default)]
struct ShardPurse {
    purse: TokenCache,
    homeless: bool,
}

#[derive(Debug, Default)]
struct OrganisationDesk {
    shards: SmallVec<[ShardPurse; 3]>,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Spreads demand evenly over the shards.
    turn: usize,
}

impl OrganisationDesk {
    fn resize(&mut self, shards: usize) {
        self.shards.resize_with(shards.max(1), ShardPurse::default);
    }

    fn note_demand(&mut self, now: Duration) {
        self.turn = (self.turn + 1) % self.shards.len();
        self.shards[self.turn].purse.record_demand(now);
    }

    /// Spends one token of any shard, beginning with the one whose turn it is.
    fn take(&mut self, now: Duration) -> Option<usize> {
        let count = self.shards.len();
        (0..count)
            .map(|step| (self.turn + step) % count)
            .find(|index| self.shards[*index].purse.spend(now))
    }

    fn refund(&mut self) {
        // A token whose chunk is gone is lost, which only errs on the safe side.
        let _ = self.shards.iter_mut().any(|shard| shard.purse.refund());
    }

    fn is_homeless(&self) -> bool {
        self.shards.iter().all(|shard| shard.homeless)
    }

    fn serve_waiting(&mut self, now: Duration) {
        while let Some(waiter) = self.waiting.pop_front() {
            if waiter.is_closed() {
                continue;
            }
            let Some(index) = self.take(now) else {
                self.waiting.push_front(waiter);
                return;
            };
            if waiter.send(()).is_err() {
                self.shards[index].purse.refund();
            }
        }
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.waiting.is_empty() && self.shards.iter().all(|shard| shard.purse.is_idle(now))
    }
}

/// The purses of all organisations that call here.
#[derive(Debug, Default)]
pub struct TokenDesk {
    desks: Mutex<HashMap<String, OrganisationDesk>>,
}

/// Charges one token.
///
/// # Errors
///
/// Says whether the organisation is over its rate or its rate can't be checked.
pub async fn charge(
    state: &Arc<TrafficState>,
    organisation: &str,
    patience: Duration,
) -> Result<(), ResultCode> {
    let Some(mut token) = take_or_wait(state, organisation)? else {
        refill(state, organisation);
        return Ok(());
    };
    refill(state, organisation);
    let wait = TOKEN_WAIT.min(patience);
    if got_token(tokio::time::timeout(wait, &mut token).await) {
        return Ok(());
    }
    if !is_homeless(state, organisation) {
        return last_look(&mut token, ResultCode::OverRate);
    }
    let longer = patience.mul_f64(HOMELESS_SHARE).saturating_sub(wait);
    if got_token(tokio::time::timeout(longer, &mut token).await) {
        return Ok(());
    }
    last_look(&mut token, ResultCode::RateUnknown)
}

/// Gives back the token of a request that was refused without being run: it received nothing.
pub fn refund(state: &TrafficState, organisation: &str) {
    let now = state.shared.now();
    let mut desks = lock(&state.tokens.desks);
    if let Some(desk) = desks.get_mut(organisation) {
        desk.refund();
        desk.serve_waiting(now);
    }
}

type TokenWait = oneshot::Receiver<()>;

fn got_token(
    outcome: Result<Result<(), oneshot::error::RecvError>, tokio::time::error::Elapsed>,
) -> bool {
    matches!(outcome, Ok(Ok(())))
}

/// A token that came in this very moment is spent on the call that it was handed to.
fn last_look(token: &mut TokenWait, refusal: ResultCode) -> Result<(), ResultCode> {
    token.close();
    token.try_recv().map_err(|_| refusal)
}

/// Takes a token, or a place in the line for one.
fn take_or_wait(state: &TrafficState, organisation: &str) -> Result<Option<TokenWait>, ResultCode> {
    let now = state.shared.now();
    let shards = shards_of(state, organisation);
    let mut desks = lock(&state.tokens.desks);
    let desk = desks.entry(organisation.to_string()).or_default();
    desk.resize(shards);
    desk.note_demand(now);
    if desk.waiting.is_empty() && desk.take(now).is_some() {
        return Ok(None);
    }
    if desk.waiting.len() >= MAX_WAITING {
        return Err(ResultCode::OverRate);
    }
    let (sender, receiver) = oneshot::channel();
    desk.waiting.push_back(sender);
    Ok(Some(receiver))
}

/// Reports and returns tokens of organisations that have gone quiet, for as long as the daemon runs.
pub async fn keep_settling(state: &Arc<TrafficState>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let now = state.shared.now();
        let names: Vec<String> = {
            let mut desks = lock(&state.tokens.desks);
            desks.retain(|_, desk| !desk.is_idle(now));
            desks.keys().cloned().collect()
        };
        for name in &names {
            refill(state, name);
        }
    }
}

fn shards_of(state: &TrafficState, organisation: &str) -> usize {
    let view = state.shared.view();
    let terms = view.organisations.get(organisation);
    terms.map_or(1, |terms| shard_count(terms.burst)) as usize
}

fn is_homeless(state: &TrafficState, organisation: &str) -> bool {
    lock(&state.tokens.desks)
        .get(organisation)
        .is_some_and(OrganisationDesk::is_homeless)
}

/// Sends the purses' asks to the homes, as far as they have any to make.
fn refill(state: &Arc<TrafficState>, organisation: &str) {
    let now = state.shared.now();
    let asks: SmallVec<[(usize, RefillRequest); 3]> = {
        let mut desks = lock(&state.tokens.desks);
        let Some(desk) = desks.get_mut(organisation) else {
            return;
        };
        desk.waiting.retain(|waiter| !waiter.is_closed());
        let each = desk.waiting.len().div_ceil(desk.shards.len().max(1));
        desk.shards
            .iter_mut()
            .enumerate()
            .filter_map(|(index, shard)| Some((index, shard.purse.begin_refill(now, each)?)))
            .collect()
    };
    for (shard, ask) in asks {
        let state = state.clone();
        let organisation = organisation.to_string();
        tokio::spawn(async move { run_errand(&state, organisation, shard, ask).await });
    }
}

async fn run_errand(
    state: &Arc<TrafficState>,
    organisation: String,
    shard: usize,
    ask: RefillRequest,
) {
    let (reply, answered) = oneshot::channel();
    let errand = TokenErrand {
        organisation: organisation.clone(),
        shard: shard as u32,
        ask,
        reply,
    };
    let sent = state.shared.errands.try_send(errand).is_ok();
    let reply = match sent {
        true => answered.await.unwrap_or(TokenReply::NoHome),
        false => TokenReply::NoHome,
    };
    if let Some(pause) = deliver(state, &organisation, shard, reply) {
        tokio::time::sleep(pause).await;
        refill(state, &organisation);
    }
}

/// Puts the tokens into the purse, serves who waits, and says whether to ask again and when.
fn deliver(
    state: &TrafficState,
    organisation: &str,
    shard: usize,
    reply: TokenReply,
) -> Option<Duration> {
    let now = state.shared.now();
    let mut desks = lock(&state.tokens.desks);
    let desk = desks.get_mut(organisation)?;
    let held = desk.shards.get_mut(shard)?;
    let granted = match reply {
        TokenReply::Answered(granted) => granted,
        TokenReply::NoHome => None,
    };
    held.homeless = reply == TokenReply::NoHome;
    held.purse.finish_refill(now, granted);
    let homeless = held.homeless;
    desk.serve_waiting(now);
    if desk.waiting.is_empty() {
        return None;
    }
    Some(match (homeless, granted) {
        (true, _) => HOMELESS_PAUSE,
        (false, None) => EMPTY_PAUSE,
        (false, Some(_)) => Duration::ZERO,
    })
}
