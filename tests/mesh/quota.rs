//! An organisation's rate and burst over many daemons that hear of each other late.

use std::collections::VecDeque;
use std::time::Duration;

use marigoldhatch::decisions::quota::PeerDemand;
use marigoldhatch::decisions::quota::QuotaRule;
use marigoldhatch::decisions::quota::QuotaShare;
use marigoldhatch::decisions::quota::QuotaTolerance;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
/// Steps between two deals.
const DEAL_STEPS: usize = 25;
/// Deals by which reports are late in fleets of today, and in grown ones, whose pings are rarer.
const LATE_DEALS: usize = 1;
const GROWN_LATE_DEALS: usize = 3;
/// Deals that links take to come up after a restart of the whole fleet.
const UNLINKED_DEALS: usize = 3;
/// From this size on a fleet counts as grown.
const GROWN: usize = 50;
/// Bounds of the platform: window, overage and slack.
const WINDOW_S: usize = 5;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window: Duration::from_secs(WINDOW_S as u64),
    overage: OVERAGE,
    slack: SLACK,
};

fn start_share(daemons: usize) -> QuotaShare {
    let mut share = QuotaShare::start();
    share.set_daemons(daemons);
    share
}

struct QuotaFleet {
    shares: Vec<QuotaShare>,
    /// Demand and admitted requests of each daemon, the oldest report first.
    reports: VecDeque<Vec<(f64, u64)>>,
    late_deals: usize,
    /// Deals until daemons that have just started hear of each other.
    unlinked_deals: usize,
    taken: Vec<Vec<u64>>,
}

impl QuotaFleet {
    fn of(daemons: usize) -> Self {
        let late_deals = if daemons < GROWN {
            LATE_DEALS
        } else {
            GROWN_LATE_DEALS
        };
        Self {
            shares: (0..daemons).map(|_| start_share(daemons)).collect(),
            reports: VecDeque::from(vec![vec![(0.0, 0); daemons]; late_deals]),
            late_deals,
            unlinked_deals: 0,
            taken: vec![vec![0; daemons]; daemons],
        }
    }

    /// Each daemon learns what the others reported some deals ago.
    fn deal(&mut self) {
        let elapsed = STEP * DEAL_STEPS as u32;
        if self.unlinked_deals > 0 {
            self.unlinked_deals -= 1;
            let unheard = PeerDemand {
                report_age: elapsed * self.late_deals as u32,
                ..PeerDemand::default()
            };
            let shares = self.shares.iter_mut();
            shares.for_each(|share| share.learn(unheard, elapsed));
            return;
        }
        let late = self.reports.pop_front().expect("a report");
        let total_rate: f64 = late.iter().map(|one| one.0).sum();
        for (index, share) in self.shares.iter_mut().enumerate() {
            let mut admitted = 0;
            for (other, report) in late.iter().enumerate().filter(|one| one.0 != index) {
                // A daemon that restarted counts from nothing again.
                admitted += report.1.saturating_sub(self.taken[index][other]);
                self.taken[index][other] = report.1;
            }
            let peers = PeerDemand {
                rate: total_rate - late[index].0,
                admitted: admitted as f64,
                report_age: elapsed * self.late_deals as u32,
            };
            share.learn(peers, elapsed);
        }
        let reports = self.shares.iter();
        let reports = reports.map(|share| (share.demand(), share.admitted()));
        self.reports.push_back(reports.collect());
        // One that surges reports at once.
        for (index, share) in self.shares.iter_mut().enumerate() {
            if share.is_surging() {
                share.note_reported();
                let report = (share.demand(), share.admitted());
                self.reports
                    .iter_mut()
                    .for_each(|late| late[index] = report);
            }
        }
    }

    /// All daemons are killed and start with nothing; they know of each other and have no links yet.
    fn restart(&mut self) {
        *self = Self::of(self.shares.len());
        self.unlinked_deals = UNLINKED_DEALS;
    }
}

/// Plays a demand by second and returns asked and admitted by step.
fn play(
    daemons: usize,
    rule: QuotaRule,
    demand: impl Fn(usize) -> f64,
    seconds: usize,
) -> Vec<(u32, u32)> {
    play_with_restart(daemons, rule, demand, seconds, None)
}

/// Plays a demand with all daemons down for the second `restart`.
fn play_with_restart(
    daemons: usize,
    rule: QuotaRule,
    demand: impl Fn(usize) -> f64,
    seconds: usize,
    restart: Option<usize>,
) -> Vec<(u32, u32)> {
    let mut begun = Duration::ZERO;
    let mut fleet = QuotaFleet::of(daemons);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut played = Vec::new();
    for step in 0..seconds * 100 {
        if restart == Some(step / 100) {
            fleet.restart();
            begun = STEP * step as u32;
            played.push((0, 0));
            continue;
        }
        let lead = if begun.is_zero() { 8 } else { 0 };
        let now = Duration::from_secs(lead) + STEP * step as u32 - begun;
        if step % DEAL_STEPS == DEAL_STEPS - 1 {
            fleet.deal();
        }
        let mean = demand(step / 100) * STEP.as_secs_f64();
        let mut counts = (0, 0);
        // Ten draws a step make the arrivals close to a Poisson process.
        for _ in 0..10 {
            if rng.random_bool((mean / 10.0).min(1.0)) {
                counts.0 += 1;
                let index = rng.random_range(0..daemons);

                counts.1 += u32::from(fleet.shares[index].admit(&rule, &TOLERANCE, now));
            }
        }
        played.push(counts);
    }
    played
}

#[rstest]
#[case::lakeshore(13, 63.0, 40.0)]
#[case::small_organisation(13, 20.0, 12.5)]
#[case::grown(90, 63.0, 40.0)]
fn within_rate_hardly_anything_is_refused(
    #[case] daemons: usize,
    #[case] rate: f64,
    #[case] demand: f64,
) {
    let rule = QuotaRule { rate, burst: rate };
    let played = play(daemons, rule, |_| demand, 40);
    let asked: u32 = played.iter().map(|one| one.0).sum();
    let admitted: u32 = played.iter().map(|one| one.1).sum();
    let refused = f64::from(asked - admitted) / f64::from(asked);
    assert!(refused < 0.005, "{refused} of {asked} refused within rate");
}

#[rstest]
#[case::lakeshore(13, 63.0, 8.0)]
#[case::small_organisation(13, 20.0, 8.0)]
#[case::large_organisation(15, 268.0, 8.0)]
#[case::grown(90, 63.0, 8.0)]
#[case::grown_large(73, 444.0, 4.4)]
fn one_organisation_far_over_stays_within_the_bound(
    #[case] daemons: usize,
    #[case] rate: f64,
    #[case] times: f64,
) {
    let rule = QuotaRule { rate, burst: rate };
    let demand = |second| {
        if (10..25).contains(&second) {
            rate * times
        } else {
            rate * 0.6
        }
    };
    let played = play(daemons, rule, demand, 35);
    check_bound(&rule, &played);
    let during: u32 = played[1100..2500].iter().map(|one| one.1).sum();
    let used = f64::from(during) / (14.0 * rate);
    assert!(used > 0.6, "the organisation still gets its rate: {used}");
}

fn check_bound(rule: &QuotaRule, played: &[(u32, u32)]) {
    let bound = (rule.rate * WINDOW_S as f64 + rule.burst) * (1.0 + OVERAGE) + SLACK;
    let most = played
        .windows(WINDOW_S * 100)
        .map(|window| window.iter().map(|one| one.1).sum::<u32>())
        .max();
    let most = f64::from(most.unwrap_or(0));
    assert!(most <= bound, "{most} in a window, {bound} allowed");
}

/// The load of a day on which the quota was overrun: the largest organisation asks for several times
/// its rate, then for more, and the whole fleet is killed in the midst of it.
#[rstest]
#[case::today(15, 444.0, 444.0)]
#[case::grown(73, 444.0, 444.0)]
#[case::grown_small_burst(73, 444.0, 120.0)]
#[case::grown_small_organisation(90, 40.0, 40.0)]
#[case::planned(600, 444.0, 444.0)]
fn an_organisation_that_asks_for_more_and_more_through_a_restart_stays_within_the_bound(
    #[case] daemons: usize,
    #[case] rate: f64,
    #[case] burst: f64,
) {
    let rule = QuotaRule { rate, burst };
    let demand = |second| match second {
        3..11 => rate * 2.2,
        11..19 => rate * 4.4,
        _ => rate * 0.7,
    };
    for restart in [None, Some(13), Some(15)] {
        let played = play_with_restart(daemons, rule, demand, 24, restart);
        check_bound(&rule, &played);
    }
}

#[test]
fn a_restarted_daemon_brings_no_new_burst() {
    let rule = QuotaRule {
        rate: 50.0,
        burst: 50.0,
    };
    let mut share = start_share(13);
    share.learn(
        PeerDemand {
            rate: 400.0,
            admitted: 0.0,
            report_age: Duration::from_millis(400),
        },
        Duration::from_millis(250),
    );
    let now = Duration::from_millis(300);
    let admitted = (0..100)
        .filter(|_| share.admit(&rule, &TOLERANCE, now))
        .count();
    assert!(admitted <= 3, "{admitted} at once after a restart");
}
