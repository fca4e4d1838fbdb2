//! Sums of the demand of a fleet, collected through the relays of its failure domains.
//!
//! Pattern: many daemons, each with few requests. A report from every daemon to every other one
//! costs more than the requests.

use std::time::Duration;

use marigoldhatch::decisions::demand::choose_relays;
use marigoldhatch::decisions::demand::ClassRate;
use marigoldhatch::decisions::demand::DemandReport;
use marigoldhatch::decisions::demand::DemandView;
use marigoldhatch::decisions::demand::OrganisationDemand;
use marigoldhatch::decisions::demand::RelayTable;
use marigoldhatch::decisions::demand::ServiceLoad;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::decisions::root_admission::ServiceUsage;
use marigoldhatch::mesh::entry::EntryAdmission;
use marigoldhatch::mesh::fleet::hash_name;
use rstest::rstest;
use smallvec::smallvec;

const DOMAINS: usize = 5;
const STEP: Duration = Duration::from_millis(250);
const ORGANISATION: u32 = 7;
/// Admitted requests of each daemon in one step.
const ADMITTED_PER_STEP: u64 = 2;

/// Daemons of several failure domains that exchange their demand in steps.
struct DemandFleet {
    now: Duration,
    /// Member numbers by domain; a lost daemon is removed.
    domains: Vec<Vec<u64>>,
    tables: Vec<RelayTable>,
    views: Vec<DemandView>,
    admitted: Vec<u64>,
    /// Encoded bytes that crossed between failure domains in the last step.
    crossed_bytes: usize,
    /// Messages that each daemon received in the last step.
    received: Vec<usize>,
}

impl DemandFleet {
    fn of(daemons: usize) -> Self {
        let members =
            |domain| (0..daemons as u64).filter(move |one| *one % DOMAINS as u64 == domain);
        Self {
            now: Duration::ZERO,
            domains: (0..DOMAINS as u64)
                .map(|one| members(one).collect())
                .collect(),
            tables: (0..daemons).map(|_| RelayTable::default()).collect(),
            views: (0..daemons).map(|_| DemandView::default()).collect(),
            admitted: vec![0; daemons],
            crossed_bytes: 0,
            received: vec![0; daemons],
        }
    }

    fn report(&self, daemon: u64) -> DemandReport {
        DemandReport {
            organisations: vec![OrganisationDemand {
                name_hash: ORGANISATION,
                requests_per_10s: 10,
                admitted: self.admitted[daemon as usize],
            }],
            classes: vec![ClassRate {
                class: ClassKey { rank: 1, route: 3 },
                requests_per_100s: 100,
                costs: smallvec![ServiceUsage {
                    service: 9,
                    slot_us: 40_000 + 100 * daemon as u32,
                }],
            }],
            services: vec![ServiceLoad {
                name_hash: 9,
                slots: 18,
                in_hand: 6,
            }],
        }
    }

    /// Every daemon admits requests and exchanges its demand once.
    fn step(&mut self) {
        self.now += STEP;
        let mut received = vec![0; self.tables.len()];
        self.crossed_bytes = 0;
        for members in &self.domains {
            let relays = choose_relays(members.iter().copied());
            for member in members {
                self.admitted[*member as usize] += ADMITTED_PER_STEP;
                let report = self.report(*member);
                for relay in &relays {
                    received[*relay as usize] += usize::from(relay != member);
                    let table = &mut self.tables[*relay as usize];
                    table.record_member(*member, report.clone(), self.now);
                }
            }
        }
        for (index, members) in self.domains.iter().enumerate() {
            for relay in choose_relays(members.iter().copied()) {
                self.tables[relay as usize].remove_expired(self.now);
                let report = self.tables[relay as usize].domain_report();
                let bytes = postcard::to_allocvec(&report)
                    .expect("encode a report")
                    .len();
                for (other, peers) in self.domains.iter().enumerate() {
                    if other == index {
                        continue;
                    }
                    for receiver in choose_relays(peers.iter().copied()) {
                        self.crossed_bytes += bytes;
                        received[receiver as usize] += 1;
                        let table = &mut self.tables[receiver as usize];
                        table.record_domain(index as u32, relay, report.clone(), self.now);
                    }
                }
            }
        }
        for members in &self.domains {
            for relay in choose_relays(members.iter().copied()) {
                let table = &self.tables[relay as usize];
                let sum = table.fleet_sum(self.now);
                for member in members {
                    received[*member as usize] += usize::from(relay != *member);
                    let others = table.others_report(*member, &sum);
                    self.views[*member as usize].record(relay, others, self.now);
                }
            }
        }
        self.received = received;
    }

    fn live(&self) -> impl Iterator<Item = u64> + '_ {
        self.domains.iter().flatten().copied()
    }
}

#[rstest]
#[case::thirty(30)]
#[case::hundred(100)]
#[case::three_hundred(300)]
#[case::five_thousand(5000)]
fn every_daemon_knows_the_demand_of_all_others(#[case] daemons: usize) {
    let mut fleet = DemandFleet::of(daemons);
    for _ in 0..3 {
        fleet.step();
    }
    for daemon in fleet.live().take(20) {
        let others = fleet.views[daemon as usize]
            .others(fleet.now)
            .expect("a sum of the others");
        assert_eq!(
            others.organisations[0].requests_per_10s,
            10 * (daemons as u32 - 1)
        );
        assert_eq!(
            others.classes[0].requests_per_100s,
            100 * (daemons as u32 - 1)
        );
        assert_eq!(others.services[0].slots, 18 * (daemons as u32 - 1));
        assert_eq!(others.services[0].in_hand, 6 * (daemons as u32 - 1));
    }
}

#[test]
fn cost_of_a_class_is_the_mean_over_its_requests() {
    let mut fleet = DemandFleet::of(100);
    for _ in 0..3 {
        fleet.step();
    }
    let others = fleet.views[0].others(fleet.now).expect("a sum");
    let mean_us = 40_000 + 100 * (1..100).sum::<u32>() / 99;
    let slot_us = others.classes[0].costs[0].slot_us;
    assert!(slot_us.abs_diff(mean_us) <= 10, "{slot_us}, not {mean_us}");
}

#[rstest]
#[case::hundred(100)]
#[case::five_thousand(5000)]
fn only_sums_cross_between_failure_domains(#[case] daemons: usize) {
    let mut small = DemandFleet::of(30);
    let mut large = DemandFleet::of(daemons);
    for _ in 0..2 {
        small.step();
        large.step();
    }
    // Larger numbers take a few more bytes; the number of messages stays the same.
    assert!(
        large.crossed_bytes <= 2 * small.crossed_bytes,
        "{} bytes of {daemons} daemons, {} of 30",
        large.crossed_bytes,
        small.crossed_bytes
    );
    // Only relays receive more than the sums of their two relays.
    let busy = large.received.iter().filter(|messages| **messages > 2);
    assert_eq!(busy.count(), 2 * DOMAINS);
}

#[test]
fn admitted_requests_are_counted_once_while_relays_are_lost_and_return() {
    let mut fleet = DemandFleet::of(100);
    for _ in 0..4 {
        fleet.step();
    }
    let start = fleet.views[0].admitted(ORGANISATION);
    let steps = 40;
    let mut lost = Vec::new();
    for step in 0..steps {
        if step == 10 {
            // The preferred relay of one domain is lost, and the other one of a second domain.
            lost = vec![fleet.domains[0].pop(), fleet.domains[1].pop()];
        }
        if step == 25 {
            // They return without their state.
            for (domain, daemon) in lost.iter().enumerate() {
                let daemon = daemon.expect("a lost daemon");
                fleet.admitted[daemon as usize] = 0;
                fleet.tables[daemon as usize] = RelayTable::default();
                fleet.domains[domain].push(daemon);
            }
        }
        fleet.step();
    }
    let counted = fleet.views[0].admitted(ORGANISATION) - start;
    let admitted = 99 * steps * ADMITTED_PER_STEP;
    assert!(counted <= admitted, "{counted} of {admitted} requests");
    // Requests go uncounted for the expiry of a lost relay and the first report of a new one.
    assert!(
        counted * 100 >= admitted * 70,
        "{counted} of {admitted} requests"
    );
}

#[test]
fn sum_is_kept_for_a_while_without_a_relay() {
    let mut view = DemandView::default();
    let report = DemandReport {
        services: vec![ServiceLoad {
            name_hash: 9,
            slots: 18,
            in_hand: 6,
        }],
        ..DemandReport::default()
    };
    view.record(3, report, Duration::from_secs(1));
    assert!(view.others(Duration::from_secs(6)).is_some());
    assert!(view.others(Duration::from_secs(60)).is_none());
}

#[test]
fn relays_are_the_same_for_every_order_of_members() {
    assert_eq!(choose_relays([3, 9, 4, 7].into_iter())[..], [9, 7]);
    assert_eq!(choose_relays([7, 4, 9, 3].into_iter())[..], [9, 7]);
    assert_eq!(choose_relays([5].into_iter())[..], [5]);
    assert!(choose_relays(std::iter::empty()).is_empty());
}

#[test]
fn view_leaves_a_relay_that_falls_silent_within_a_second() {
    // Pattern: machines are stopped in turn, and each failure domain has its relays replaced.
    let report = |in_hand| DemandReport {
        services: vec![ServiceLoad {
            name_hash: 9,
            slots: 18,
            in_hand,
        }],
        ..DemandReport::default()
    };
    let in_hand = |view: &DemandView, now| {
        let others = view.others(now).expect("a sum");
        others.services[0].in_hand
    };
    let mut view = DemandView::default();
    let (first, second) = (9, 7);
    let start = Duration::from_secs(1);
    view.record(first, report(30), start);
    view.record(second, report(20), start);
    assert_eq!(in_hand(&view, start), 30, "the first relay is preferred");
    let later = start + Duration::from_millis(700);
    view.record(second, report(4), later);
    assert_eq!(in_hand(&view, later), 4, "the first relay is silent");
    view.record(first, report(5), later);
    assert_eq!(in_hand(&view, later), 5, "the first relay is back");
}

#[test]
fn load_of_an_old_sum_does_not_move_the_planned_capacity() {
    let load = |in_hand| DemandReport {
        services: vec![ServiceLoad {
            name_hash: hash_name("prices"),
            slots: 100,
            in_hand,
        }],
        ..DemandReport::default()
    };
    let own = DemandReport::default();
    let mut admission = EntryAdmission::default();
    for _ in 0..20 {
        admission.update_class_shares(Some(&load(100)), &own, true);
    }
    let current = admission.planned_capacity("prices").expect("a capacity");
    for _ in 0..8 {
        admission.update_class_shares(Some(&load(300)), &own, false);
    }
    let stale = admission.planned_capacity("prices").expect("a capacity");
    assert!((stale - current).abs() < 1e-9, "{current}, then {stale}");
    admission.update_class_shares(Some(&load(300)), &own, true);
    let overloaded = admission.planned_capacity("prices").expect("a capacity");
    assert!(overloaded < current, "{current}, then {overloaded}");
}
