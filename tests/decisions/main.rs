//! Property and unit tests of the control policies, with simulated time and fixed seeds.

mod admission;
mod cold;
mod configuration;
mod dedup;
mod documents;
mod evacuation;
mod keys;
mod membership;
mod outliers;
mod ownership;
mod pace;
mod placement;
mod rates;
mod retries;
