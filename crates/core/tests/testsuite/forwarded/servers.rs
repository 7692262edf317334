//! A backend server as its agent sees it: incarnations, reports and silence.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::agent::{Agent, Disposition};
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::packet::{Flags, Header, Purpose, Trail};
use dogwoodrill_core::forwarded::server::{
    Server, ServerState, ServerStatement, StatementOutcome, Unavailability,
};
use dogwoodrill_core::ids::Sequence;
use dogwoodrill_core::time::UnixMillis;
use rstest::rstest;

const INTERVAL: Duration = Duration::from_secs(1);

fn statement(id: &str, started_at: u64, sequence: u64) -> ServerStatement {
    ServerStatement {
        id: id.into(),
        started_at: UnixMillis::new(started_at),
        sequence: Sequence::from(sequence),
        service: "orders".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 2,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
    }
}

fn draining(statement: ServerStatement) -> ServerStatement {
    let state = ServerState::Draining;
    ServerStatement { state, ..statement }
}

#[rstest]
#[case::next(statement("a", 10, 6), StatementOutcome::Unchanged)]
#[case::same_again(statement("a", 10, 5), StatementOutcome::Stale)]
#[case::delayed(draining(statement("a", 10, 4)), StatementOutcome::Stale)]
#[case::drains(draining(statement("a", 10, 6)), StatementOutcome::Changed)]
#[case::started_again_under_its_id(statement("a", 11, 1), StatementOutcome::NewIncarnation)]
#[case::another_server(statement("b", 11, 1), StatementOutcome::NewIncarnation)]
#[case::an_earlier_server(statement("b", 9, 70), StatementOutcome::Stale)]
#[case::an_earlier_life(statement("a", 9, 70), StatementOutcome::Stale)]
fn reports_are_applied_in_order(
    #[case] statement_: ServerStatement,
    #[case] expected: StatementOutcome,
) {
    let now = Instant::now();
    let mut server = Server::new(now, INTERVAL);
    server.on_statement(now, statement("a", 10, 5));
    assert_eq!(server.on_statement(now, statement_), expected);
}

#[test]
fn a_delayed_report_does_not_revive_a_stopped_server() {
    let now = Instant::now();
    let mut server = Server::new(now, INTERVAL);
    server.on_statement(now, statement("a", 10, 5));
    assert!(!server.on_leave("b"));
    assert!(server.on_leave("a"));
    assert_eq!(
        server.on_statement(now, statement("a", 10, 6)),
        StatementOutcome::Stale
    );
    assert_eq!(server.unavailability(now), Some(Unavailability::Stopped));
    assert_eq!(
        server.on_statement(now, statement("a", 12, 1)),
        StatementOutcome::NewIncarnation
    );
    assert_eq!(server.unavailability(now), None);
}

#[test]
fn a_server_that_misses_reports_is_silent() {
    let now = Instant::now();
    let mut server = Server::new(now, INTERVAL);
    assert_eq!(server.unavailability(now), Some(Unavailability::Stopped));
    server.on_statement(now, statement("a", 10, 1));
    let after = |ms| now + Duration::from_millis(ms);
    assert_eq!(server.unavailability(after(2500)), None);
    assert_eq!(
        server.unavailability(after(2501)),
        Some(Unavailability::Silent)
    );
    assert!(!server.take_port_check(after(1500)));
    assert!(server.take_port_check(after(1501)));
    assert!(
        !server.take_port_check(after(1502)),
        "checked twice at once"
    );
    assert!(server.take_port_check(after(2001)));
}

#[test]
fn a_server_that_does_not_answer_gets_periodic_probes() {
    let now = Instant::now();
    let mut server = Server::new(now, INTERVAL);
    server.on_statement(now, statement("a", 10, 1));
    assert!(server.on_unanswered(now));
    assert!(!server.on_unanswered(now));
    assert_eq!(server.unavailability(now), Some(Unavailability::Silent));
    let after = |ms| now + Duration::from_millis(ms);
    let probes = [0, 100, 250, 300, 499, 500].map(|ms| server.take_probe(after(ms)));
    assert_eq!(probes, [false, false, true, false, false, true]);
    server.on_packet();
    assert_eq!(server.unavailability(now), None);
}

#[rstest]
#[case::started_beside_the_agent(1, false)]
#[case::was_there_before(40, true)]
fn a_server_older_than_the_agent_may_hold_unseen_flows(#[case] sequence: u64, #[case] older: bool) {
    let now = Instant::now();
    let mut server = Server::new(now, INTERVAL);
    assert!(server.predates_agent(), "no report has arrived yet");
    server.on_statement(now, statement("a", 10, sequence));
    assert_eq!(server.predates_agent(), older);
    server.on_statement(now, statement("a", 10, sequence + 1));
    assert_eq!(server.predates_agent(), older);
    server.on_statement(now, statement("b", 11, 1));
    assert!(!server.predates_agent());
}

/// A running server reports about once per interval. If no report arrives for longer, there is no server.
#[test]
fn a_server_that_never_reported_is_absent() {
    let now = Instant::now();
    let mut server = Server::new(now, INTERVAL);
    assert!(!server.is_absent(now + INTERVAL, now));
    assert!(server.is_absent(now + INTERVAL * 2, now));
    server.on_statement(now + INTERVAL * 2, statement("a", 10, 5));
    assert!(!server.is_absent(now + INTERVAL * 9, now));
}

/// A cold server has just started, even if its first reports did not reach an agent.
#[rstest]
#[case::first(1, true, false)]
#[case::cold(5, true, false)]
#[case::warm(5, false, true)]
fn a_cold_server_was_not_running_before_the_agent(
    #[case] sequence: u64,
    #[case] is_cold: bool,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut server = Server::new(now, INTERVAL);
    let cold_remaining = INTERVAL * u32::from(is_cold);
    let first = ServerStatement {
        cold_remaining,
        ..statement("a", 10, sequence)
    };
    server.on_statement(now, first);
    server.on_statement(now + INTERVAL, statement("a", 10, sequence + 1));
    assert_eq!(server.was_running_before_agent(), expected);
}

/// After agents have restarted, a flow that is searched for may be open at a server that kept running, and
/// its caller waits. The search may be deferred only if the local server has just started too.
#[rstest]
#[case::not_reported_yet(None, Disposition::Deliver)]
#[case::outlived_the_agent(Some((9, 0)), Disposition::Deliver)]
#[case::started_a_moment_before(Some((2, 2)), Disposition::Drop)]
fn a_search_waits_only_if_the_local_server_has_just_started(
    #[case] report: Option<(u64, u32)>,
    #[case] expected: Disposition,
) {
    let now = Instant::now();
    let own = NodeAddress {
        ip: Ipv4Addr::new(10, 0, 0, 1),
        role: NodeRole::Agent,
    };
    let mut agent = Agent::new(now, Mesh::new(own), INTERVAL, INTERVAL * 60, 1);
    if let Some((sequence, cold_seconds)) = report {
        let first = ServerStatement {
            cold_remaining: Duration::from_secs(1) * cold_seconds,
            ..statement("a", 10, sequence)
        };
        agent.on_statement(now, first);
    }
    let searcher = Ipv4Addr::new(10, 0, 0, 2);
    let header = Header {
        source: "100.64.0.7:40001".parse().unwrap(),
        target: "198.18.0.1:443".parse().unwrap(),
        flags: Flags::ACK,
        seq: 101,
        ack: 5001,
        len: 5,
        trail: Trail::from_balancer(searcher, Purpose::Search),
    };
    let disposition = agent.on_caller_packet(now, searcher, &header, b"packet");
    assert_eq!(disposition, expected);
}
