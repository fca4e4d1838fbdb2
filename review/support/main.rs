//! Stand-ins of clients, endpoints and the platform, and the events of each case of the review.
//!
//! `standin CASE RECORD`, run in the root of the repository. It exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod daemon;
mod endpoint;
mod http;
mod proxy;
mod record;
mod store;

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use record::Record;

/// Time after which the case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(path));
    record.line(&format!("case {case}, disruption: {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        give_up("the time limit has passed");
    });
    // A failed check of the harness itself must not leave processes behind.
    std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
    let result = match case.as_str() {
        "unread-configuration" => cases::unread_configuration(trouble, &record),
        "shutdown-cuts-answers" => cases::shutdown_cuts_answers(trouble, &record),
        "kept-answers-fill-memory" => cases::kept_answers_fill_memory(trouble, &record),
        "leaving-forgotten" => cases::leaving_forgotten(trouble, &record),
        "withdrawn-key-names-tenant" => cases::withdrawn_key_names_tenant(trouble, &record),
        "parted-for-good" => cases::parted_for_good(trouble, &record),
        "queued-behind-a-body" => cases::queued_behind_a_body(trouble, &record),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => {
            record.line("the rule was broken");
            std::process::exit(1);
        }
        Ok(false) => record.line("the rule held"),
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            std::process::exit(2);
        }
    }
}

fn give_up(reason: &str) {
    eprintln!("{reason}");
    if let Ok(processes) = daemon::PROCESSES.try_lock() {
        for process in processes.iter() {
            Command::new("kill")
                .args(["-KILL", &process.to_string()])
                .status()
                .ok();
        }
    }
    std::process::exit(2);
}
