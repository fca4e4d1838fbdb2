//! What was sent, answered and run, in the order in which it was seen.

use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Run of a request at an endpoint.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub began: Duration,
    pub ended: Option<(Duration, &'static str)>,
}

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<Vec<Run>>,
    arrivals: Mutex<Vec<(String, Duration)>>,
}

impl Record {
    pub fn start() -> Self {
        let started = Instant::now();
        Self {
            started,
            lines: Mutex::default(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.now().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    pub fn note_arrival(&self, id: &str) {
        self.note(&format!("{id} reaches the endpoint"));
        let arrival = (id.to_owned(), self.now());
        self.arrivals.lock().unwrap().push(arrival);
    }

    /// Returns the requests that reached an endpoint, and when.
    pub fn arrivals(&self) -> Vec<(String, Duration)> {
        self.arrivals.lock().unwrap().clone()
    }

    pub fn begin_run(&self, id: &str) -> usize {
        self.note(&format!("the endpoint begins {id}"));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run { id: id.to_owned(), began: self.now(), ended: None });
        runs.len() - 1
    }

    pub fn end_run(&self, run: usize, how: &'static str) {
        let mut runs = self.runs.lock().unwrap();
        runs[run].ended = Some((self.now(), how));
        let id = runs[run].id.clone();
        drop(runs);
        self.note(&format!("the endpoint ends {id}: {how}"));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the run of a request, if it was passed on to an endpoint.
    pub fn run_of(&self, id: &str) -> Option<Run> {
        self.runs().into_iter().find(|run| run.id == id)
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap();
        std::fs::write(path, lines.join("\n") + "\n")
    }
}
