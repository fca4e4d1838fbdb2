//! Run times that are usual for each kind of request at an endpoint.

use std::time::Duration;

use smallvec::SmallVec;

/// Answers of a kind after which its usual time is known.
const MIN_ANSWERS: u32 = 4;
/// Weight of the newest answer in the usual time.
const SMOOTHING: f64 = 0.1;
/// Kinds that are remembered; more than an endpoint of one service sees.
const MAX_KINDS: usize = 32;

#[derive(Debug)]
struct KindTime {
    kind: u32,
    answers: u32,
    mean_s: f64,
}

/// Usual run times by kind of request.
#[derive(Debug, Default)]
pub struct UsualTimes {
    kinds: SmallVec<[KindTime; 8]>,
}

impl UsualTimes {
    /// Learns from the run time of an answer.
    pub fn learn(&mut self, kind: u32, run_time: Duration) {
        let seconds = run_time.as_secs_f64();
        let index = self.kinds.iter().position(|one| one.kind == kind);
        let Some(index) = index else {
            if self.kinds.len() < MAX_KINDS {
                self.kinds.push(KindTime {
                    kind,
                    answers: 1,
                    mean_s: seconds,
                });
            }
            return;
        };
        let known = &mut self.kinds[index];
        known.answers = known.answers.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(known.answers));
        known.mean_s += weight * (seconds - known.mean_s);
    }

    /// Returns the ratio of a run time to the usual one of its kind; learns from it if there is none yet.
    pub fn compare(&mut self, kind: u32, run_time: Duration) -> Option<f64> {
        let known = self.kinds.iter().find(|one| one.kind == kind);
        let known = known.filter(|one| one.answers >= MIN_ANSWERS && one.mean_s > 0.0);
        let Some(known) = known else {
            self.learn(kind, run_time);
            return None;
        };
        Some(run_time.as_secs_f64() / known.mean_s)
    }
}
