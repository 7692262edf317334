//! Plays one case of this review: `lab CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod lab;

use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: lab CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = lab::Record::create(Path::new(record));
    record.line(format!("case {case}, trouble {trouble}"));
    let code = match case.as_str() {
        "idle-flow" => cases::idle_flow(&record, trouble),
        "late-report" => cases::late_report(&record, trouble),
        "young-server" => cases::young_server(&record, trouble),
        "explore-core" => cases::explore_core(&record, trouble),
        "late-successor" => cases::late_successor(&record, trouble),
        "late-beat" => cases::late_beat(&record, trouble),
        "explore-roll" => cases::explore_roll(&record, trouble),
        "foreign-report" => cases::foreign_report(&record, trouble),
        "explore-control" => cases::explore_control(&record, trouble),
        other => {
            eprintln!("no case {other}");
            2
        }
    };
    record.line(format!("exit {code}"));
    exit(code);
}
