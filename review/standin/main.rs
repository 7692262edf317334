//! Runs one case of the review: `review-cases CASE FOLDER`.
//!
//! The cases start `target/release/dogwoodrill node`, as the deploy file does, on loopback addresses. The exit
//! status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod client;
mod fleet;
mod operator;
mod packet;
mod record;
mod server;
mod town;

mod idle_flow;
mod late_report;
mod replaced_while_frozen;
mod slow_successor;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-cases CASE FOLDER");
        exit(2);
    };
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!(
        "case {case}, disruption {}",
        if has_trouble { "on" } else { "off" }
    ));
    let outcome = match case.as_str() {
        "replaced-while-frozen" => replaced_while_frozen::run(&record, has_trouble),
        "idle-flow" => idle_flow::run(&record, has_trouble),
        "slow-successor" => slow_successor::run(&record, has_trouble),
        "late-report" => late_report::run(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    exit(match outcome {
        Ok(true) => {
            record.line("RESULT the rule held");
            0
        }
        Ok(false) => {
            record.line("RESULT the rule was broken");
            1
        }
        Err(problem) => {
            record.line(&format!("RESULT the case could not run: {problem}"));
            2
        }
    });
}
