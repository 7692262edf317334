//! Runs one case of the third review: `standin CASE RECORD`, with `TROUBLE=0` without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

use std::path::Path;
use std::process::exit;

mod cases;
mod client;
mod lab;
mod packet;
mod server;

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let record = lab::Record::create(Path::new(record));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {case}, disruption: {trouble}"));
    let case = case.clone();
    let run = {
        let record = record.clone();
        move || cases::run(&case, &record, trouble)
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(None);
    let (code, text) = match verdict {
        Some(true) => (1, "the rule was broken"),
        Some(false) => (0, "the rule held"),
        None => (2, "the case could not run"),
    };
    record.line(text);
    exit(code);
}
