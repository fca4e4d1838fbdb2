//! Grants tokens as the home of organisations' rates and fetches tokens for this daemon's entry.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use uuid::Uuid;

use super::peer_client::method;
use super::state::ControlContext;
use super::state::ControlState;
use crate::clock::wall_ms;
use crate::daemon::shared::TokenRefill;
use crate::daemon::shared::TokenReply;
use crate::decisions::ownership::slot_of;
use crate::decisions::ownership::OwnerClaim;
use crate::decisions::ownership::SlotOwner;
use crate::decisions::ownership::RATE_SCOPE;
use crate::decisions::ownership::SLOT_COUNT;
use crate::decisions::rates::shard_count;
use crate::decisions::rates::GrantedChunk;
use crate::decisions::rates::TokenBucket;
use crate::decisions::rates::CHUNK_LIFETIME;
use crate::wire::OrganisationTerms;
use crate::wire::TokenAnswer;
use crate::wire::TokenRequest;

/// Timeout of a token request to a home; the tokens of a later answer are lost.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait time in an answer which means that this daemon is not the home of the rate.
const NOT_HOME_WAIT_MS: u64 = u64::MAX;

/// Sends the entry's refill requests to the homes.
pub async fn serve_token_refills(
    context: &Arc<ControlContext>,
    mut token_refills: mpsc::Receiver<TokenRefill>,
) {
    while let Some(refill) = token_refills.recv().await {
        let context = context.clone();
        tokio::spawn(async move {
            let reply = fetch_tokens(&context, &refill).await;
            // The entry may have stopped waiting; the tokens are then lost, never granted twice.
            let _ = refill.reply.send(reply);
        });
    }
}

/// Grants tokens as the home of a rate.
pub fn grant_tokens(context: &ControlContext, request: &TokenRequest) -> TokenAnswer {
    let now_ms = wall_ms();
    let state = &mut *context.state();
    let Some(bucket) = state.bucket(&request.organisation, request.shard, now_ms) else {
        return not_home_answer();
    };
    let (bucket, bound_ms) = bucket;
    for settlement in &request.settlements {
        bucket.settle(now_ms, bound_ms, settlement);
    }
    if bucket.awaits_expiry(now_ms) {
        return not_home_answer();
    }
    let granted = bucket.grant(now_ms, bound_ms, request.want);
    TokenAnswer {
        chunk: granted.map_or(0, |chunk| chunk.number),
        tokens: granted.map_or(0.0, |chunk| chunk.tokens),
        expires_in_ms: CHUNK_LIFETIME.as_millis() as u64,
        wait_ms: bucket.wait_ms(),
    }
}

/// Builds the answer of a daemon that is not the home of a rate or may not grant tokens yet.
fn not_home_answer() -> TokenAnswer {
    TokenAnswer {
        chunk: 0,
        tokens: 0.0,
        expires_in_ms: 0,
        wait_ms: NOT_HOME_WAIT_MS,
    }
}

impl ControlState {
    /// Returns the token bucket of a shard, and the Unix milliseconds up to which it may mint, if
    /// this daemon is the home.
    fn bucket(
        &mut self,
        organisation: &str,
        shard: u32,
        now_ms: u64,
    ) -> Option<(&mut TokenBucket, u64)> {
        let terms = self.terms(organisation)?;
        let shards = shard_count(terms.burst);
        if shard >= shards {
            return None;
        }
        let slot = rate_slot(organisation, shard);
        let own = self.own_incarnation();
        let chain = self.ownership.chain(RATE_SCOPE)?;
        if self.ack_bounds.claim(own, chain, slot, now_ms) != OwnerClaim::Owned {
            return None;
        }
        let newest = chain.newest();
        let bound_ms = match chain.owner(slot, now_ms) {
            SlotOwner::Current { .. } => self.ack_bounds.bound(newest),
            _ => newest.start_ms,
        };
        let (since_ms, first) = owned_since(chain.epochs(), own, slot)?;
        let rate = terms.rate_per_s / f64::from(shards);
        let burst = terms.burst / f64::from(shards);
        let key = (organisation.to_string(), shard);
        let new_bucket = match self.token_buckets.remove(&key) {
            Some(bucket) if bucket.started_ms() >= since_ms => bucket,
            _ if first => TokenBucket::from_full(rate, burst, since_ms.max(now_ms)),
            _ => TokenBucket::from_takeover(rate, burst, since_ms),
        };
        let bucket = self.token_buckets.entry(key).or_insert(new_bucket);
        bucket.set_terms(rate, burst);
        Some((bucket, bound_ms))
    }

    fn terms(&self, organisation: &str) -> Option<OrganisationTerms> {
        self.config
            .teams()
            .flat_map(|(_, state)| &state.config.organisations)
            .find(|terms| terms.name == organisation)
            .cloned()
    }

    /// Returns the home of a shard of an organisation's rate, as far as this daemon knows.
    fn home(&self, organisation: &str, shard: u32) -> Option<Uuid> {
        let chain = self.ownership.chain(RATE_SCOPE)?;
        match chain.owner(rate_slot(organisation, shard), wall_ms()) {
            SlotOwner::Current { owner, .. } | SlotOwner::Settled { owner, .. } => Some(owner),
            SlotOwner::Expired | SlotOwner::Unassigned => None,
        }
    }
}

/// Returns the Unix milliseconds since which an incarnation has owned a slot without interruption,
/// and true if that was the first epoch, so that no other daemon owned the slot before.
fn owned_since(
    epochs: &[crate::wire::OwnershipEpoch],
    own: Uuid,
    slot: u32,
) -> Option<(u64, bool)> {
    let mut since = None;
    for epoch in epochs.iter().rev() {
        let index = *epoch.slots.get(slot as usize)? as usize;
        if epoch.owners.get(index) != Some(&own) {
            break;
        }
        since = Some((epoch.start_ms, epoch.number == 1));
    }
    since
}

/// Returns the slot of a shard. Shards of an organisation are in adjacent slots, which a balanced
/// epoch assigns to different owners.
fn rate_slot(organisation: &str, shard: u32) -> u32 {
    (slot_of(&[organisation.as_bytes()]) + shard) % SLOT_COUNT
}

async fn fetch_tokens(context: &Arc<ControlContext>, refill: &TokenRefill) -> TokenReply {
    let request = TokenRequest {
        organisation: refill.organisation.clone(),
        shard: refill.shard,
        want: refill.request.want,
        settlements: refill.request.settlements.to_vec(),
    };
    let Some(answer) = ask_home(context, &request).await else {
        return TokenReply::NoHome;
    };
    if answer.wait_ms == NOT_HOME_WAIT_MS {
        return TokenReply::NoHome;
    }
    let granted = (answer.tokens >= 1.0).then_some(GrantedChunk {
        number: answer.chunk,
        tokens: answer.tokens,
    });
    TokenReply::Answered(granted)
}

async fn ask_home(context: &Arc<ControlContext>, request: &TokenRequest) -> Option<TokenAnswer> {
    let address = {
        let state = context.state();
        let home = state.home(&request.organisation, request.shard)?;
        if home == state.own_incarnation() {
            None
        } else {
            Some(state.members.member(home)?.record.peer_address.clone())
        }
    };
    match address {
        None => Some(grant_tokens(context, request)),
        Some(address) => context
            .clients
            .call(&address, method::TOKENS, request, TOKEN_TIMEOUT)
            .await
            .ok(),
    }
}
