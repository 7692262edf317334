//! The journal of decisions and events: it is bounded, never blocks, and reports how many lines it dropped.

use std::sync::mpsc::{Receiver, sync_channel};

use dogwoodrill::forwarded::journal::{Event, Journal};
use dogwoodrill_core::forwarded::decision::{Decision, Reason, Step};
use dogwoodrill_core::forwarded::packet::FlowKey;
use dogwoodrill_core::ids::LogIndex;

fn decision(port: u16) -> Decision {
    let flow = FlowKey {
        caller: format!("100.64.0.7:{port}").parse().unwrap(),
        service: "198.18.0.1:443".parse().unwrap(),
    };
    Decision {
        node: Some("10.1.0.9".parse().unwrap()),
        reason: Some(Reason::Busy),
        service: Some("orders \"and more\"".into()),
        busy: Some(6),
        hops: 2,
        ..Decision::new(Step::PassedOn, flow, LogIndex::new(25))
    }
}

fn read_lines(rx: &Receiver<Vec<u8>>) -> Vec<serde_json::Value> {
    let text = String::from_utf8(rx.try_recv().unwrap()).unwrap();
    text.lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect()
}

#[test]
fn decision_is_one_line_with_its_inputs() {
    let (tx, rx) = sync_channel(1);
    let mut journal = Journal::with_sender("side-1", tx);
    journal.write_decisions(vec![decision(40_001)]);
    journal.flush();
    let mut line = read_lines(&rx).remove(0);
    assert!(line["t"].take().is_u64());
    let expected = serde_json::json!({
        "t": null, "node": "side-1", "event": "passed on", "flow": "100.64.0.7:40001>198.18.0.1:443",
        "config": 25, "to": "10.1.0.9", "why": "server busy", "service": "orders \"and more\"", "busy": 6,
        "hops": 2
    });
    assert_eq!(line, expected);
}

/// A flush writes at most 200 decisions, followed by a line with the number of dropped ones.
#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let (tx, rx) = sync_channel(2);
    let mut journal = Journal::with_sender("side-1", tx);
    journal.write_decisions((0..1_000).map(decision).collect());
    journal.flush();
    let first = read_lines(&rx);
    assert_eq!(first.len(), 201);
    assert_eq!(first[200]["event"], "lines left out");
    assert_eq!(first[200]["detail"], "800");
    assert_eq!(journal.dropped_lines(), 0);
}

/// When the reader of the log is paused, the journal does not block, and dropped lines are counted.
#[test]
fn paused_reader_does_not_block_the_journal() {
    let (tx, rx) = sync_channel(1);
    let mut journal = Journal::with_sender("side-1", tx);
    for n in 0..3 {
        journal.write_event(Event::new("node heard").with_subject(&n));
        journal.flush();
    }
    // The second and third flush failed. The third also contained a line about the dropped second one.
    assert_eq!(journal.dropped_lines(), 2);
    assert_eq!(read_lines(&rx)[0]["subject"], "0");
    journal.flush();
    assert_eq!(read_lines(&rx)[0]["event"], "lines left out");
}
