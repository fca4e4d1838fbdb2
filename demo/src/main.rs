//! Demo of a small fleet on loopback with an embedded log.
//!
//! It serves requests of two organisations, refuses requests over a rate and rejects a withdrawn key.

mod caller;
mod fleet;
mod table;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use uuid::Uuid;

use caller::DemoCaller;
use fleet::DemoFleet;
use table::DemoTable;

/// Timeout of waits for a state of the fleet.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of concurrent calls of an organisation whose burst is 40.
const BURST_CALLS: usize = 200;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("failed to create the runtime");
    let fleet = match DemoFleet::start(&runtime) {
        Ok(fleet) => fleet,
        Err(cause) => {
            eprintln!("failed to start the fleet: {cause}");
            return ExitCode::FAILURE;
        }
    };
    let succeeded = runtime.block_on(run_demo(&fleet));
    fleet.close(&runtime);
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run_demo(fleet: &DemoFleet) -> bool {
    println!("started three daemons, an archive service, a filing service and a log on loopback");
    let porto = DemoCaller::new(fleet.traffic_address(0), &fleet.grant("porto").await);
    let braga = Arc::new(DemoCaller::new(
        fleet.traffic_address(2),
        &fleet.grant("braga").await,
    ));
    let mut table = DemoTable::new();
    let mut check =
        |caller: &str, action: &str, response: &caller::DemoResponse, expected: ResultClass| {
            table.add_row(caller, action, response);
            response.class() == expected
        };
    let mut succeeded = fleet::wait_until(STATE_TIMEOUT, || async {
        porto.get("/returns/past/2025").await.class() == ResultClass::Done
            && braga
                .post("/returns", "first", &Uuid::now_v7().to_string())
                .await
                .class()
                == ResultClass::Done
    })
    .await;
    let lookup = porto.get("/returns/past/2025").await;
    succeeded &= check(
        "porto",
        "looks up a past return",
        &lookup,
        ResultClass::Done,
    );
    let key = Uuid::now_v7().to_string();
    let filing = braga
        .post("/returns", "landfill tax, third quarter", &key)
        .await;
    succeeded &= check("braga", "files a return", &filing, ResultClass::Done);
    let repeat = DemoCaller::new(fleet.traffic_address(1), &braga.key)
        .post("/returns", "landfill tax, third quarter", &key)
        .await;
    succeeded &= check(
        "braga",
        "repeats it at another daemon",
        &repeat,
        ResultClass::Done,
    );
    succeeded &= repeat.code == Some(ResultCode::Replayed);
    let over_rate = exceed_rate(&braga).await;
    succeeded &= check(
        "braga",
        "sends several times its rate",
        &over_rate,
        ResultClass::NotRun,
    );
    fleet.withdraw(&porto.key).await;
    succeeded &= fleet::wait_until(STATE_TIMEOUT, || async {
        porto.get("/balances").await.code == Some(ResultCode::KeyRefused)
    })
    .await;
    let withdrawn = porto.get("/balances").await;
    succeeded &= check(
        "porto",
        "calls with a withdrawn key",
        &withdrawn,
        ResultClass::NotRun,
    );
    table.print();
    println!(
        "the filing endpoints ran the return {} time(s)",
        fleet.run_count("landfill tax, third quarter")
    );
    succeeded && fleet.run_count("landfill tax, third quarter") == 1
}

/// Sends many concurrent calls and returns a response that was refused for the rate, if any.
async fn exceed_rate(braga: &Arc<DemoCaller>) -> caller::DemoResponse {
    let calls: Vec<_> = (0..BURST_CALLS)
        .map(|_| {
            let braga = braga.clone();
            tokio::spawn(async move { braga.get("/balances").await })
        })
        .collect();
    let mut result = caller::DemoResponse::default();
    for call in calls {
        let response = call.await.unwrap_or_default();
        if result.code != Some(ResultCode::OverRate) {
            result = response;
        }
    }
    result
}
