//! An organisation's rate and burst over many daemons that hear of each other late.

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
/// Steps between two deals, and deals by which reports are late.
const DEAL_STEPS: usize = 25;
/// Bounds of the platform: window, overage and slack.
const WINDOW_S: usize = 5;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window: Duration::from_secs(WINDOW_S as u64),
    overage: OVERAGE,
    slack: SLACK,
};

struct QuotaFleet {
    shares: Vec<QuotaShare>,
    reported: Vec<(f64, u64)>,
    taken: Vec<u64>,
}

impl QuotaFleet {
    fn of(daemons: usize) -> Self {
        Self {
            shares: (0..daemons).map(|_| QuotaShare::start()).collect(),
            reported: vec![(0.0, 0); daemons],
            taken: vec![0; daemons],
        }
    }

    /// Each daemon learns what the others reported one deal ago.
    fn deal(&mut self) {
        let elapsed = STEP * DEAL_STEPS as u32;
        let late = self.reported.clone();
        let daemons = self.shares.len();
        let total_rate: f64 = late.iter().map(|one| one.0).sum();
        let total: u64 = late.iter().map(|one| one.1).sum();
        for (index, share) in self.shares.iter_mut().enumerate() {
            let others = total - late[index].1;
            let peers = PeerDemand {
                rate: total_rate - late[index].0,
                admitted: (others - self.taken[index]) as f64,
                daemons,
            };
            self.taken[index] = others;
            share.learn(peers, elapsed);
            self.reported[index] = (share.demand(), share.admitted());
        }
    }
}

/// Plays a demand by second and returns asked and admitted by step.
fn play(
    daemons: usize,
    rule: QuotaRule,
    demand: impl Fn(usize) -> f64,
    seconds: usize,
) -> Vec<(u32, u32)> {
    let mut fleet = QuotaFleet::of(daemons);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut played = Vec::new();
    for step in 0..seconds * 100 {
        let now = Duration::from_secs(8) + STEP * step as u32;
        if step % DEAL_STEPS == 0 {
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
    let bound = (rate * WINDOW_S as f64 + rule.burst) * (1.0 + OVERAGE) + SLACK;
    let most = played
        .windows(WINDOW_S * 100)
        .map(|window| window.iter().map(|one| one.1).sum::<u32>())
        .max();
    let most = f64::from(most.unwrap_or(0));
    assert!(most <= bound, "{most} in a window, {bound} allowed");
    let during: u32 = played[1100..2500].iter().map(|one| one.1).sum();
    let used = f64::from(during) / (14.0 * rate);
    assert!(used > 0.6, "the organisation still gets its rate: {used}");
}

#[test]
fn a_restarted_daemon_brings_no_new_burst() {
    let rule = QuotaRule {
        rate: 50.0,
        burst: 50.0,
    };
    let mut share = QuotaShare::start();
    share.learn(
        PeerDemand {
            rate: 400.0,
            admitted: 0.0,
            daemons: 13,
        },
        Duration::from_millis(250),
    );
    let now = Duration::from_millis(300);
    let admitted = (0..100)
        .filter(|_| share.admit(&rule, &TOLERANCE, now))
        .count();
    assert!(admitted <= 3, "{admitted} at once after a restart");
}
