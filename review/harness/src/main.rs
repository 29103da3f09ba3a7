//! Scenarios of the review's scripts: `review-harness SCENARIO ROOT RECORD`. Exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod agent;
mod born;
mod cold;
mod join;
mod late;
mod packet;
mod routes;
mod stamp;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if arguments == ["collide"] {
        stamp::collide();
        return ExitCode::SUCCESS;
    }
    let [scenario, root, record] = &arguments[..] else {
        eprintln!("usage: review-harness SCENARIO ROOT RECORD");
        return ExitCode::from(2);
    };
    let (root, record) = (PathBuf::from(root), PathBuf::from(record));
    let outcome = match scenario.as_str() {
        "routes" => routes::run(&root, &record, trouble),
        "agent" => agent::run(&root, &record, trouble),
        "born" => born::run(&root, &record, trouble),
        "join" => join::run(&root, &record, trouble),
        "cold" => cold::run(&root, &record, trouble),
        "late" => late::run(&root, &record, trouble),
        "stamp" => stamp::run(&root, &record, trouble),
        _ => Err(anyhow::anyhow!("no such scenario")),
    };
    match outcome {
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("the case couldn't run: {error:#}");
            ExitCode::from(2)
        }
    }
}
