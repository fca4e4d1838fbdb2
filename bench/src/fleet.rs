//! Publishes the configuration and creates the API keys that the measurements use.

use marigoldhatch::operator::grant_key;
use marigoldhatch::operator::publish_config;
use marigoldhatch::operator::FleetLog;
use marigoldhatch::wire::Importance;
use marigoldhatch::wire::OrganisationTerms;
use marigoldhatch::wire::ServiceConfig;
use marigoldhatch::wire::ServiceRoute;
use marigoldhatch::wire::TeamConfig;

/// Returns the configuration of a team with an idempotent GET route and a non-idempotent POST route
/// for each service.
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

/// Publishes a configuration based on the version in force and returns its version.
pub async fn publish(log_url: &str, config: TeamConfig) -> u64 {
    let mut fleet = FleetLog::open(log_url)
        .await
        .expect("failed to read the log");
    let based_on = fleet
        .config
        .team(&config.team)
        .map_or(0, |state| state.version);
    let published = publish_config(&mut fleet, config, based_on, "bench").await;
    published
        .expect("failed to publish the configuration")
        .version
}

/// Creates an API key for the organisation of the measurements.
pub async fn create_key(log_url: &str) -> String {
    let mut fleet = FleetLog::open(log_url)
        .await
        .expect("failed to read the log");
    let granted = grant_key(&mut fleet, "bench", "bench").await;
    granted.expect("failed to create the key").key
}
