//! Indexes the configuration in force for lookups by host, path and API key.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use rand::Rng;

use super::config::MeshConfig;
use super::config::OrganisationRule;
use super::config::RouteRule;
use super::config::WeightedService;
use super::ranks::compact_ranks;

/// Hashes a name; all daemons of one build return the same hash.
pub fn hash_name(name: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}

/// One version of the configuration with its lookup indexes.
#[derive(Debug)]
pub struct RouteTable {
    config: MeshConfig,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes a configuration. Its ranks are replaced by their position in the order, if they are
    /// larger than the number of ranks that a call can carry.
    pub fn from_config(mut config: MeshConfig) -> Self {
        compact_ranks(&mut config);
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        let mut by_key = HashMap::new();
        for (index, organisation) in config.organisations.iter().enumerate() {
            for key in &organisation.keys {
                by_key.insert(key.clone(), index);
            }
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// Returns the indexed configuration.
    pub fn config(&self) -> &MeshConfig {
        &self.config
    }

    /// Returns the path of status checks of a service, if its endpoints answer any.
    pub fn status_path(&self, service: &str) -> Option<&str> {
        self.config.status_paths.get(service).map(String::as_str)
    }

    /// Returns the route of this host with the longest matching path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return Some(&self.config.routes[*index]);
            }
            end = slash;
        }
        None
    }

    /// Returns the organisation that an API key belongs to.
    pub fn find_organisation(&self, key: &str) -> Option<&OrganisationRule> {
        let index = self.by_key.get(key)?;
        Some(&self.config.organisations[*index])
    }
}

impl RouteRule {
    /// Picks one of the services at random, in proportion to their weights.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&WeightedService> {
        let total: f64 = self.services.iter().map(|service| service.weight).sum();
        if self.services.len() < 2 || total <= 0.0 {
            return self.services.first();
        }
        let mut drawn = rng.random::<f64>() * total;
        for service in &self.services {
            if drawn < service.weight {
                return Some(service);
            }
            drawn -= service.weight;
        }
        self.services.last()
    }
}
