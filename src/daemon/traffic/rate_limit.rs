//! Enforces the organisations' rates at the entry.

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
use crate::daemon::shared::TokenRefill;
use crate::daemon::shared::TokenReply;
use crate::decisions::rates::shard_count;
use crate::decisions::rates::RefillRequest;
use crate::decisions::rates::TokenCache;

/// Maximum time that a call waits for a token while the organisation's homes can be reached.
const TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Share of its timeout that a call waits while no home can be reached: late is better than
/// refused.
const HOME_UNREACHABLE_WAIT_SHARE: f64 = 0.7;
/// Pause before a home that did not answer is asked again.
const HOME_UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pause before a home that had no token is asked again.
const NO_TOKEN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Calls of one organisation that may wait for tokens at one entry.
const MAX_WAITING_CALLS: usize = 256;
/// Interval at which spent and unused tokens are reported to the homes.
const SETTLEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Tokens of one shard of an organisation's rate.
#[derive(Debug, Default)]
struct ShardCache {
    cache: TokenCache,
    home_unreachable: bool,
}

/// Tokens of one organisation and the calls that wait for them.
#[derive(Debug, Default)]
struct OrganisationCache {
    shards: SmallVec<[ShardCache; 3]>,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Shard that the latest call was counted for; demand rotates over the shards.
    current_shard: usize,
}

impl OrganisationCache {
    fn resize(&mut self, shards: usize) {
        self.shards.resize_with(shards.max(1), ShardCache::default);
    }

    fn record_demand(&mut self, now: Duration) {
        self.current_shard = (self.current_shard + 1) % self.shards.len();
        self.shards[self.current_shard].cache.record_demand(now);
    }

    /// Spends a token of any shard, starting with the current one; returns the shard's index.
    fn spend(&mut self, now: Duration) -> Option<usize> {
        let count = self.shards.len();
        (0..count)
            .map(|step| (self.current_shard + step) % count)
            .find(|index| self.shards[*index].cache.spend(now))
    }

    fn refund(&mut self) {
        // If its chunk has expired, the token is lost: the organisation gets less than its rate.
        let _ = self.shards.iter_mut().any(|shard| shard.cache.refund());
    }

    fn is_home_unreachable(&self) -> bool {
        self.shards.iter().all(|shard| shard.home_unreachable)
    }

    fn serve_waiting(&mut self, now: Duration) {
        while let Some(waiter) = self.waiting.pop_front() {
            if waiter.is_closed() {
                continue;
            }
            let Some(index) = self.spend(now) else {
                self.waiting.push_front(waiter);
                return;
            };
            if waiter.send(()).is_err() {
                self.shards[index].cache.refund();
            }
        }
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.waiting.is_empty() && self.shards.iter().all(|shard| shard.cache.is_idle(now))
    }
}

/// Token caches of all organisations that call this entry.
#[derive(Debug, Default)]
pub struct RateLimiter {
    organisations: Mutex<HashMap<String, OrganisationCache>>,
}

/// Charges one token to an organisation and waits for it if necessary.
///
/// # Errors
///
/// Returns [`ResultCode::OverRate`] if the organisation exceeds its rate and
/// [`ResultCode::RateUnknown`] if no home can be reached.
pub async fn charge(
    state: &Arc<TrafficState>,
    organisation: &str,
    timeout: Duration,
) -> Result<(), ResultCode> {
    let Some(mut token) = spend_or_wait(state, organisation)? else {
        request_refills(state, organisation);
        return Ok(());
    };
    request_refills(state, organisation);
    let wait = TOKEN_WAIT.min(timeout);
    if is_token_received(tokio::time::timeout(wait, &mut token).await) {
        return Ok(());
    }
    if !is_home_unreachable(state, organisation) {
        return take_late_token(&mut token, ResultCode::OverRate);
    }
    let remaining_wait = timeout
        .mul_f64(HOME_UNREACHABLE_WAIT_SHARE)
        .saturating_sub(wait);
    if is_token_received(tokio::time::timeout(remaining_wait, &mut token).await) {
        return Ok(());
    }
    take_late_token(&mut token, ResultCode::RateUnknown)
}

/// Refunds the token of a request that was refused without being run.
pub fn refund(state: &TrafficState, organisation: &str) {
    let now = state.shared.now();
    let mut organisations = lock(&state.rate_limiter.organisations);
    if let Some(cache) = organisations.get_mut(organisation) {
        cache.refund();
        cache.serve_waiting(now);
    }
}

type TokenReceiver = oneshot::Receiver<()>;

fn is_token_received(
    outcome: Result<Result<(), oneshot::error::RecvError>, tokio::time::error::Elapsed>,
) -> bool {
    matches!(outcome, Ok(Ok(())))
}

/// Uses a token that arrived at the moment of the timeout: it is already spent on this call.
fn take_late_token(token: &mut TokenReceiver, refusal: ResultCode) -> Result<(), ResultCode> {
    token.close();
    token.try_recv().map_err(|_| refusal)
}

/// Takes a token, or queues for one and returns its receiver.
fn spend_or_wait(
    state: &TrafficState,
    organisation: &str,
) -> Result<Option<TokenReceiver>, ResultCode> {
    let now = state.shared.now();
    let shards = shard_count_of(state, organisation);
    let mut organisations = lock(&state.rate_limiter.organisations);
    let cache = organisations.entry(organisation.to_string()).or_default();
    cache.resize(shards);
    cache.record_demand(now);
    if cache.waiting.is_empty() && cache.spend(now).is_some() {
        return Ok(None);
    }
    if cache.waiting.len() >= MAX_WAITING_CALLS {
        return Err(ResultCode::OverRate);
    }
    let (sender, receiver) = oneshot::channel();
    cache.waiting.push_back(sender);
    Ok(Some(receiver))
}

/// Settles the tokens of all organisations at an interval, also without calls, and forgets idle
/// ones.
pub async fn keep_settling(state: &Arc<TrafficState>) {
    let mut ticks = tokio::time::interval(SETTLEMENT_INTERVAL);
    loop {
        ticks.tick().await;
        let now = state.shared.now();
        let names: Vec<String> = {
            let mut organisations = lock(&state.rate_limiter.organisations);
            organisations.retain(|_, cache| !cache.is_idle(now));
            organisations.keys().cloned().collect()
        };
        for name in &names {
            request_refills(state, name);
        }
    }
}

fn shard_count_of(state: &TrafficState, organisation: &str) -> usize {
    let view = state.shared.view();
    let terms = view.organisations.get(organisation);
    terms.map_or(1, |terms| shard_count(terms.burst)) as usize
}

fn is_home_unreachable(state: &TrafficState, organisation: &str) -> bool {
    lock(&state.rate_limiter.organisations)
        .get(organisation)
        .is_some_and(OrganisationCache::is_home_unreachable)
}

/// Sends a refill request to the home of each shard that needs one.
fn request_refills(state: &Arc<TrafficState>, organisation: &str) {
    let now = state.shared.now();
    let requests: SmallVec<[(usize, RefillRequest); 3]> = {
        let mut organisations = lock(&state.rate_limiter.organisations);
        let Some(cache) = organisations.get_mut(organisation) else {
            return;
        };
        cache.waiting.retain(|waiter| !waiter.is_closed());
        let waiting_per_shard = cache.waiting.len().div_ceil(cache.shards.len().max(1));
        cache
            .shards
            .iter_mut()
            .enumerate()
            .filter_map(|(index, shard)| {
                Some((index, shard.cache.begin_refill(now, waiting_per_shard)?))
            })
            .collect()
    };
    for (shard, request) in requests {
        let state = state.clone();
        let organisation = organisation.to_string();
        tokio::spawn(async move { fetch_tokens(&state, organisation, shard, request).await });
    }
}

async fn fetch_tokens(
    state: &Arc<TrafficState>,
    organisation: String,
    shard: usize,
    request: RefillRequest,
) {
    let (reply, answered) = oneshot::channel();
    let token_refill = TokenRefill {
        organisation: organisation.clone(),
        shard: shard as u32,
        request,
        reply,
    };
    let sent = state.shared.token_refills.try_send(token_refill).is_ok();
    let reply = match sent {
        true => answered.await.unwrap_or(TokenReply::NoHome),
        false => TokenReply::NoHome,
    };
    if let Some(delay) = deliver_tokens(state, &organisation, shard, reply) {
        tokio::time::sleep(delay).await;
        request_refills(state, &organisation);
    }
}

/// Adds granted tokens to the cache and serves waiting calls; returns the delay before the next
/// request if calls still wait.
fn deliver_tokens(
    state: &TrafficState,
    organisation: &str,
    shard: usize,
    reply: TokenReply,
) -> Option<Duration> {
    let now = state.shared.now();
    let mut organisations = lock(&state.rate_limiter.organisations);
    let cache = organisations.get_mut(organisation)?;
    let shard_cache = cache.shards.get_mut(shard)?;
    let granted = match reply {
        TokenReply::Answered(granted) => granted,
        TokenReply::NoHome => None,
    };
    shard_cache.home_unreachable = reply == TokenReply::NoHome;
    shard_cache.cache.finish_refill(now, granted);
    let home_unreachable = shard_cache.home_unreachable;
    cache.serve_waiting(now);
    if cache.waiting.is_empty() {
        return None;
    }
    Some(match (home_unreachable, granted) {
        (true, _) => HOME_UNREACHABLE_RETRY_DELAY,
        (false, None) => NO_TOKEN_RETRY_DELAY,
        (false, Some(_)) => Duration::ZERO,
    })
}
