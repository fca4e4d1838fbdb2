//! Properties of the decisions, under paused time and seeds.

mod admission;
mod configuration;
mod dedup;
mod documents;
mod keys;
mod membership;
mod ownership;
mod placement;
mod rates;
mod retries;
