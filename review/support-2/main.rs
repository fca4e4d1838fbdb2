//! Cases of the second review: `cases CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod deployment;
mod endpoint;
mod http;
mod late_pings;
mod long_bodies;
mod pipelined_leave;
mod pipelined_stop;
mod record;
mod socket;
mod store;
mod vm;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::start());
    let result = match case.as_str() {
        "pipelined-stop" => pipelined_stop::run(&record, trouble),
        "long-bodies" => long_bodies::run(&record, trouble),
        "late-pings" => late_pings::run(&record, trouble),
        "pipelined-leave" => pipelined_leave::run(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    let (verdict, code) = match result {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(broken)) => (format!("the rule was broken: {broken}"), 1),
        Err(error) => (format!("the case couldn't run: {error}"), 2),
    };
    record.note(&verdict);
    println!("{verdict}");
    if let Err(error) = record.write(Path::new(path)) {
        eprintln!("can't write {path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
