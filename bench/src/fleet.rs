//! Configuration and keys for measurements.

use marigoldhatch::operator::grant_key;
use marigoldhatch::operator::publish_config;
use marigoldhatch::operator::FleetLog;
use marigoldhatch::wire::Importance;
use marigoldhatch::wire::OrganisationTerms;
use marigoldhatch::wire::ServiceConfig;
use marigoldhatch::wire::ServiceRoute;
use marigoldhatch::wire::TeamConfig;

/// A team with one lookup and one filing route for each service.
pub fn team_config(name: &str, services: &[String]) -> TeamConfig {
    let route = |path: String, method: &str, idempotent: bool| ServiceRoute {
        path,
        methods: vec![method.to_string()],
        idempotent,
        importance: Importance::Normal,
        open: false,
        deadline_ms: 10_000,
        allowed: vec!["bench".to_string()],
    };
    TeamConfig {
        team: name.to_string(),
        organisations: vec![OrganisationTerms {
            name: "bench".to_string(),
            rate_per_s: 1_000_000.0,
            burst: 1_000_000.0,
            weight: 1,
        }],
        services: services
            .iter()
            .map(|service| ServiceConfig {
                name: service.clone(),
                routes: vec![
                    route(format!("/{service}/get"), "GET", true),
                    route(format!("/{service}/file"), "POST", false),
                ],
                retry_allowance: 2,
                retry_budget_percent: 10,
                outage_bridge_s: 3_600,
            })
            .collect(),
    }
}

/// Publishes a configuration on top of what is in force.
pub async fn publish(log_url: &str, config: TeamConfig) -> u64 {
    let mut fleet = FleetLog::open(log_url).await.expect("the log is read");
    let based_on = fleet
        .config
        .team(&config.team)
        .map_or(0, |state| state.version);
    let published = publish_config(&mut fleet, config, based_on, "bench").await;
    published.expect("the configuration is taken").version
}

/// Grants a key.
pub async fn create_key(log_url: &str) -> String {
    let mut fleet = FleetLog::open(log_url).await.expect("the log is read");
    let granted = grant_key(&mut fleet, "bench", "bench").await;
    granted.expect("the grant is taken").key
}
