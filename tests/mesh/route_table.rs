//! Lookup of routes by host and longest path prefix, and weighted choice of a service.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marigoldhatch::mesh::fleet::CallerLimits;
use marigoldhatch::mesh::fleet::MeshConfig;
use marigoldhatch::mesh::fleet::OrganisationRule;
use marigoldhatch::mesh::fleet::RouteRule;
use marigoldhatch::mesh::fleet::RouteTable;
use marigoldhatch::mesh::fleet::WeightedService;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use rstest::rstest;
use smallvec::SmallVec;

fn route(name: &str, host: &str, prefix: &str, weights: &[u32]) -> RouteRule {
    let services: SmallVec<[WeightedService; 2]> = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| WeightedService {
            service: Rc::from(format!("service-{index}")),
            weight: f64::from(*weight),
        })
        .collect();
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        rank: 0,
        services,
        max_attempts: 2,
        allows_anonymous: true,
    }
}

fn table_from(routes: Vec<RouteRule>, organisations: Vec<OrganisationRule>) -> RouteTable {
    RouteTable::from_config(MeshConfig {
        warnings: Vec::new(),
        version: 1,
        routes,
        organisations,
        status_paths: HashMap::new(),
        cold_limits: HashMap::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1024,
            idle_timeout: Duration::from_secs(15),
        },
    })
}

fn table() -> RouteTable {
    let routes = vec![
        route("short", "one.example", "/a/", &[1]),
        route("long", "one.example", "/a/b/", &[1]),
        route("other", "two.example", "/a/", &[1]),
        route("root", "three.example", "/", &[1]),
    ];
    table_from(routes, Vec::new())
}

#[rstest]
#[case("one.example", "/a/x", Some("short"))]
#[case("one.example", "/a/b/x/y", Some("long"))]
#[case("one.example", "/a/bx", Some("short"))]
#[case("ONE.example:80", "/a/", Some("short"))]
#[case("two.example", "/a/b/", Some("other"))]
#[case("three.example", "/any", Some("root"))]
#[case("one.example", "/ab/", None)]
#[case("four.example", "/a/", None)]
#[case("one.example", "", None)]
fn route_with_the_longest_prefix_of_the_host_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table
        .find_route(host, path)
        .map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn split_route_picks_services_by_weight() {
    let split = route("split", "one.example", "/s/", &[90, 10]);
    let mut rng = SmallRng::seed_from_u64(1);
    let picked = (0..3000).filter(|_| {
        let service = split.pick_service(&mut rng);
        service.is_some_and(|weighted| &*weighted.service == "service-1")
    });
    let share = picked.count() as f64 / 3000.0;
    assert!((share - 0.1).abs() < 0.02, "{share}");
}

fn ranked(route_ranks: &[u32], organisation_ranks: &[Option<u32>]) -> RouteTable {
    let routes = route_ranks.iter().enumerate().map(|(index, rank)| {
        let prefix = format!("/{index}/");
        RouteRule {
            rank: *rank,
            ..route("ranked", "one.example", &prefix, &[1])
        }
    });
    let organisations = organisation_ranks.iter().map(|rank| OrganisationRule {
        name: "first".to_owned(),
        keys: Vec::new(),
        rank: *rank,
        quota: None,
    });
    table_from(routes.collect(), organisations.collect())
}

/// Guards against ranks of 16 and more that are served as if they were equal.
#[rstest]
#[case::small_ranks_are_kept(&[0, 2, 15], &[Some(9), None], &[0, 2, 15], &[Some(9), None])]
#[case::large_ranks_keep_their_order(&[0, 300, 40], &[Some(41), None], &[0, 3, 1], &[Some(2), None])]
#[case::equal_ranks_stay_equal(&[300, 300, 7], &[Some(7)], &[1, 1, 0], &[Some(0)])]
#[case::largest_rank(&[u32::MAX, 1], &[], &[1, 0], &[])]
fn ranks_keep_their_order(
    #[case] route_ranks: &[u32],
    #[case] organisation_ranks: &[Option<u32>],
    #[case] expected_routes: &[u32],
    #[case] expected_organisations: &[Option<u32>],
) {
    let table = ranked(route_ranks, organisation_ranks);
    let config = table.config();
    let routes: Vec<u32> = config.routes.iter().map(|route| route.rank).collect();
    let organisations: Vec<_> = config.organisations.iter().map(|rule| rule.rank).collect();
    assert_eq!(routes, expected_routes);
    assert_eq!(organisations, expected_organisations);
}

#[test]
fn more_ranks_than_positions_share_the_last_one() {
    let route_ranks: Vec<u32> = (0..40).map(|index| index * 10).collect();
    let table = ranked(&route_ranks, &[]);
    let ranks: Vec<u32> = table.config().routes.iter().map(|one| one.rank).collect();
    assert_eq!(ranks[..16], (0..16).collect::<Vec<u32>>());
    assert!(ranks[16..].iter().all(|rank| *rank == 15), "{ranks:?}");
}
