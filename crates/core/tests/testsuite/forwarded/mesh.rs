//! A node's view of the other nodes, and when it stops to rely on it.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::mesh::{HEARTBEAT_INTERVAL, Mesh, PeerChange};
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::report::{
    BootId, Heartbeat, ResponseStats, ServerPresence, ServerReport,
};
use dogwoodrill_core::forwarded::service_map::ServiceLabel;
use dogwoodrill_core::ids::LogIndex;
use rstest::rstest;

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const AGENT: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn balancer() -> Mesh {
    Mesh::new(NodeAddress {
        ip: OWN,
        role: NodeRole::Balancer,
    })
}

fn heartbeat(boot: u64, last_seen_age: Option<Duration>) -> Heartbeat {
    Heartbeat {
        boot: BootId::new(boot),
        role: NodeRole::Agent,
        index: LogIndex::new(1),
        last_seen_age,
        report: Some(ServerReport {
            service: "orders".into(),
            zone: "north".parse().unwrap(),
            is_accepting: true,
            is_cold: false,
            busy: 0,
            work: None,
            waiting: 0,
            stalled: 0,
            flows: 0,
            flow_request_rate: None,
            slots: 2,
            responses: ResponseStats::default(),
        }),
        server_presence: ServerPresence::default(),
    }
}

fn is_available(mesh: &Mesh, now: Instant) -> bool {
    let orders = ServiceLabel::from("orders");
    mesh.available_agents(now, &orders).next().is_some()
}

#[test]
fn a_silent_agent_fails_after_missed_heartbeats() {
    let start = Instant::now();
    let mut mesh = balancer();
    mesh.on_heartbeat(start, AGENT, heartbeat(1, None));
    assert!(is_available(&mesh, start + HEARTBEAT_INTERVAL * 3));
    assert!(!is_available(&mesh, start + HEARTBEAT_INTERVAL * 4));
    assert!(!mesh.is_live(start + HEARTBEAT_INTERVAL * 4, AGENT));
}

/// An agent whose heartbeats arrive but that does not receive this node's packets gets no flows from it.
#[rstest]
#[case::never_heard(None)]
#[case::heard_long_ago(Some(Duration::from_secs(3)))]
fn an_agent_that_receives_no_packets_gets_no_flows(#[case] last_seen_age: Option<Duration>) {
    let start = Instant::now();
    let mut mesh = balancer();
    for n in 0..20 {
        mesh.on_heartbeat(
            start + HEARTBEAT_INTERVAL * n,
            AGENT,
            heartbeat(1, last_seen_age),
        );
    }
    let now = start + HEARTBEAT_INTERVAL * 19;
    assert!(mesh.is_live(now, AGENT));
    assert!(!is_available(&mesh, now));
    mesh.on_heartbeat(now, AGENT, heartbeat(1, Some(Duration::from_millis(5))));
    assert!(is_available(&mesh, now));
}

/// What an agent reports after an opening packet was sent to it.
#[derive(Clone, Copy, Debug)]
enum AgentReply {
    NoReply,
    /// That it received a packet of this node so many ms ago.
    LastSeen(u64),
    /// That it has restarted and received no packet.
    Restarted,
}

/// An opening packet is sent to a healthy agent. The cases give the time in ms and the agent's reply at that
/// time, and whether opening packets then count as lost.
#[rstest]
#[case::it_heard_it(60, AgentReply::LastSeen(55), false)]
#[case::it_says_nothing_yet(340, AgentReply::NoReply, false)]
#[case::it_says_nothing(360, AgentReply::NoReply, true)]
#[case::its_word_was_on_the_way(90, AgentReply::LastSeen(200), false)]
#[case::it_did_not_hear_it(110, AgentReply::LastSeen(200), true)]
#[case::it_started_anew(110, AgentReply::Restarted, false)]
fn lost_opening_packets_are_detected(
    #[case] at_ms: u32,
    #[case] reply: AgentReply,
    #[case] expected: bool,
) {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let mut mesh = balancer();
    mesh.on_heartbeat(start, AGENT, heartbeat(1, Some(ms(5))));
    mesh.on_placed(start, AGENT);
    let now = start + at_ms * ms(1);
    let sent = match reply {
        AgentReply::NoReply => None,
        AgentReply::LastSeen(age) => Some(heartbeat(1, Some(ms(age)))),
        AgentReply::Restarted => Some(heartbeat(2, None)),
    };
    if let Some(sent) = sent {
        mesh.on_heartbeat(now, AGENT, sent);
    }
    assert_eq!(mesh.is_losing_openings(now, AGENT), expected);
    let changes = mesh.take_path_changes(now);
    assert_eq!(changes.contains(&(AGENT, true)), expected);
    let later = now + HEARTBEAT_INTERVAL;
    mesh.on_heartbeat(later, AGENT, heartbeat(1, Some(ms(5))));
    assert!(!mesh.is_losing_openings(later, AGENT));
    let changes = mesh.take_path_changes(later);
    assert_eq!(changes.contains(&(AGENT, false)), expected);
}

#[test]
fn a_restart_is_distinguished_from_an_interruption() {
    let start = Instant::now();
    let mut mesh = balancer();
    let first = mesh.on_heartbeat(start, AGENT, heartbeat(1, None));
    let repeated = mesh.on_heartbeat(start + HEARTBEAT_INTERVAL, AGENT, heartbeat(1, None));
    let has_restarted =
        mesh.on_heartbeat(start + HEARTBEAT_INTERVAL * 2, AGENT, heartbeat(2, None));
    let change = |is_new, has_restarted| PeerChange {
        is_new,
        has_restarted,
    };
    assert_eq!(
        [first, repeated, has_restarted],
        [
            change(true, false),
            change(false, false),
            change(false, true)
        ]
    );
}

/// A restarted agent has lost its directory, so the locations of flows must be sent to it again.
#[test]
fn the_ring_version_changes_with_agents_and_their_restarts() {
    let start = Instant::now();
    let mut mesh = balancer();
    let mut versions = vec![mesh.ring_version()];
    let mut note = |mesh: &Mesh| versions.push(mesh.ring_version());
    mesh.on_heartbeat(start, AGENT, heartbeat(1, None));
    note(&mesh);
    mesh.on_heartbeat(start + HEARTBEAT_INTERVAL, AGENT, heartbeat(1, None));
    note(&mesh);
    mesh.on_heartbeat(start + HEARTBEAT_INTERVAL, AGENT, heartbeat(2, None));
    note(&mesh);
    mesh.on_tick(start + HEARTBEAT_INTERVAL * 10);
    note(&mesh);
    assert_eq!(versions, [0, 1, 1, 2, 3]);
}

#[test]
fn the_heartbeat_interval_grows_with_the_number_of_nodes() {
    let start = Instant::now();
    let mut mesh = balancer();
    for n in 0..250_u32 {
        let ip = Ipv4Addr::from_bits(AGENT.to_bits() + n);
        mesh.learn(
            start,
            NodeAddress {
                ip,
                role: NodeRole::Agent,
            },
        );
    }
    assert_eq!(mesh.heartbeat_interval(), Duration::from_secs(1));
    assert_eq!(mesh.take_due_heartbeats(start).len(), 250);
    assert_eq!(
        mesh.take_due_heartbeats(start + Duration::from_millis(999))
            .len(),
        0
    );
    assert_eq!(
        mesh.take_due_heartbeats(start + Duration::from_secs(1))
            .len(),
        250
    );
}

#[test]
fn a_node_that_is_gone_is_forgotten() {
    let start = Instant::now();
    let mut mesh = balancer();
    mesh.on_heartbeat(start, AGENT, heartbeat(1, None));
    mesh.on_tick(start + Duration::from_secs(29));
    assert!(mesh.get(AGENT).is_some());
    mesh.on_tick(start + Duration::from_secs(31));
    assert!(mesh.get(AGENT).is_none());
}

const CONTROL: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

fn on_control_reply(mesh: &mut Mesh, now: Instant) {
    let answer = Heartbeat {
        role: NodeRole::Control,
        report: None,
        ..heartbeat(1, None)
    };
    mesh.on_heartbeat(now, CONTROL, answer);
}

/// Counts heartbeats to a control host within `span`, polled every 10 ms.
fn control_heartbeats(mesh: &mut Mesh, from: Instant, span: Duration) -> usize {
    let looks = (0..).map(|n| from + Duration::from_millis(10) * n);
    let looks = looks.take_while(|at| *at < from + span);
    looks.map(|now| mesh.take_due_heartbeats(now).len()).sum()
}

/// All hosts start at once, and control hosts some hundred milliseconds after the others. A node sends them
/// heartbeats more often until one replies, but only for a limited time.
#[test]
fn a_node_without_peers_contacts_control_hosts_often() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut mesh = balancer();
    let role = NodeRole::Control;
    mesh.learn(start, NodeAddress { ip: CONTROL, role });
    assert_eq!(control_heartbeats(&mut mesh, start, second), 20);
    assert_eq!(control_heartbeats(&mut mesh, start + second * 3, second), 4);
    let mut mesh = balancer();
    mesh.learn(start, NodeAddress { ip: CONTROL, role });
    on_control_reply(&mut mesh, start);
    assert_eq!(control_heartbeats(&mut mesh, start, second), 4);
}

#[test]
fn membership_is_stable_once_no_agent_has_appeared_for_a_while() {
    let start = Instant::now();
    let after = |n| start + HEARTBEAT_INTERVAL * n;
    let mut mesh = balancer();
    mesh.on_heartbeat(start, AGENT, heartbeat(1, None));
    assert!(
        !mesh.is_membership_stable(after(9)),
        "no control host has replied"
    );
    on_control_reply(&mut mesh, after(9));
    assert!(
        !mesh.is_membership_stable(after(9)),
        "nodes that it listed may still appear"
    );
    assert!(mesh.is_membership_stable(after(10)));
    mesh.on_heartbeat(after(10), AGENT, heartbeat(2, None));
    assert!(
        !mesh.is_membership_stable(after(10)),
        "an agent has just appeared"
    );
    assert!(mesh.is_membership_stable(after(11)));
}

/// A silent agent may return with its flows; one that last reported no local server cannot.
#[rstest]
#[case::with_a_server(false, 2)]
#[case::vacant(true, 1)]
fn a_silent_agent_must_deny_a_flow_that_it_may_hold(
    #[case] has_no_server: bool,
    #[case] expected: usize,
) {
    let start = Instant::now();
    let mut mesh = balancer();
    let reply = Heartbeat {
        server_presence: ServerPresence {
            has_no_server,
            is_recently_started: false,
        },
        ..heartbeat(1, None)
    };
    mesh.on_heartbeat(start, AGENT, reply);
    mesh.on_tick(start + HEARTBEAT_INTERVAL * 4);
    assert!(!mesh.is_live(start + HEARTBEAT_INTERVAL * 4, AGENT));
    assert_eq!(mesh.deniers().count(), expected);
}
