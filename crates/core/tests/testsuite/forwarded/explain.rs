//! Explanations of where a new flow would go.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::agent::{Agent, Disposition};
use dogwoodrill_core::forwarded::balancer::{Balancer, Disposition as BalancerDisposition};
use dogwoodrill_core::forwarded::decision::{Decision, Reason, Step};
use dogwoodrill_core::forwarded::explain::{
    AgentChoice, AgentExplanation, BalancerExplanation, ExplainError, OpeningAction, Query,
};
use dogwoodrill_core::forwarded::mesh::{Exclusion, Mesh};
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::packet::{Flags, FlowKey, Header, Purpose, Trail};
use dogwoodrill_core::forwarded::placement::{
    Candidate, LoadEstimator, ProbePolicy, choice_probabilities, choose_agent,
};
use dogwoodrill_core::forwarded::report::{
    BootId, Heartbeat, ReceivedReport, ResponseStats, ServerPresence, ServerReport,
};
use dogwoodrill_core::forwarded::server::{ServerState, ServerStatement, Unavailability};
use dogwoodrill_core::forwarded::service_map::ServiceMap;
use dogwoodrill_core::ids::{LogIndex, Sequence};
use dogwoodrill_core::time::UnixMillis;
use insta::assert_snapshot;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use super::world::{self, Change, Failure, ORDERS_ADDRESS, PacketObserver, Simulation};

const MS: Duration = Duration::from_millis(1);
const OWN: Ipv4Addr = Ipv4Addr::new(10, 2, 0, 1);

fn query(header: &Header) -> Query {
    Query {
        flow: header.caller_flow(),
        zone: None,
    }
}

/// Compares explanations with the decisions that follow them.
#[derive(Default)]
struct Comparison {
    placement: Option<Result<BalancerExplanation, ExplainError>>,
    admission: Option<Result<AgentExplanation, ExplainError>>,
    disagreements: Vec<String>,
    actions: BTreeMap<String, u32>,
    /// Sum of the probabilities, and number of flows, by agent.
    placements: BTreeMap<Ipv4Addr, (f64, f64)>,
    redirections: BTreeMap<Ipv4Addr, (f64, f64)>,
}

/// An explanation covers the first opening packet of a flow, which a balancer has just sent.
fn is_covered(header: &Header) -> bool {
    header.flags.is_opening() && header.ack == 0 && header.trail.hops == 0
}

fn add(sums: &mut BTreeMap<Ipv4Addr, (f64, f64)>, agents: &[AgentChoice], chosen: Ipv4Addr) {
    for choice in agents {
        let sum = sums.entry(choice.agent).or_default();
        sum.0 += f64::from(choice.probability);
        sum.1 += f64::from(u8::from(choice.agent == chosen));
    }
}

impl PacketObserver for Comparison {
    fn before_balancer(&mut self, now: Instant, balancer: &Balancer, header: &Header) {
        let explain = || balancer.explain(now, &query(header));
        self.placement = is_covered(header).then(explain);
    }

    fn before_agent(&mut self, now: Instant, agent: &Agent, header: &Header) {
        let explain = || agent.explain(now, &query(header));
        self.admission = is_covered(header).then(explain);
    }

    fn after_balancer(
        &mut self,
        header: &Header,
        disposition: BalancerDisposition,
        decisions: &[Decision],
    ) {
        let Some(explanation) = self.placement.take() else {
            return;
        };
        let agrees = match (&explanation, disposition) {
            (Ok(e), BalancerDisposition::Forward { to, .. }) if decisions.is_empty() => {
                e.placed_at == Some(to)
            }
            (Ok(e), BalancerDisposition::Forward { to, .. }) => {
                let agents: Vec<_> = e.services.iter().flat_map(|s| s.agents.clone()).collect();
                add(&mut self.placements, &agents, to);
                let mut agents = agents.iter();
                e.placed_at.is_none()
                    && agents.any(|a| a.agent == to && f64::from(a.probability) > 1e-9)
            }
            (Ok(e), _) => f64::from(e.no_server) > 1e-9,
            (Err(_), disposition) => !matches!(disposition, BalancerDisposition::Forward { .. }),
        };
        if !agrees {
            let text = format!("{header:?}: {explanation:?}, but {decisions:?}");
            self.disagreements.push(text);
        }
    }

    fn after_agent(&mut self, header: &Header, disposition: Disposition, decisions: &[Decision]) {
        let Some(explanation) = self.admission.take() else {
            return;
        };
        let flow = header.caller_flow();
        let decision = decisions.iter().rfind(|d| d.flow == flow);
        let action = match decision.map(|d| d.step) {
            Some(Step::Accepted) => OpeningAction::Accept,
            Some(Step::Waits) => OpeningAction::Queue,
            Some(Step::PassedOn) => OpeningAction::Redirect,
            Some(_) => OpeningAction::Refuse,
            None => OpeningAction::Known,
        };
        let reason = decision.and_then(|d| d.reason);
        let to = decision
            .filter(|d| d.step == Step::PassedOn)
            .and_then(|d| d.node);
        let agrees = explanation.as_ref().is_ok_and(|e| {
            let is_probable = |to| {
                e.peers
                    .iter()
                    .any(|p| p.agent == to && f64::from(p.probability) > 1e-9)
            };
            e.action == action && e.reason == reason && to.is_none_or(is_probable)
        });
        if !agrees {
            let text = format!("{explanation:?}, but {disposition:?} {decisions:?}");
            self.disagreements.push(text);
        }
        if let (Ok(e), Some(to)) = (&explanation, to) {
            add(&mut self.redirections, &e.peers, to);
        }
        let reason = reason.map_or_else(String::new, |r| format!(": {r}"));
        *self.actions.entry(format!("{action}{reason}")).or_default() += 1;
    }
}

/// Whether numbers of flows fit the sums of their probabilities, within five standard deviations of the binomial
/// distribution, which are wider than those of these sums.
fn assert_fits(sums: &BTreeMap<Ipv4Addr, (f64, f64)>) {
    for (agent, (expected, actual)) in sums {
        let tolerance = 5.0 * expected.max(1.0).sqrt();
        assert!((expected - actual).abs() < tolerance, "{agent}: {sums:?}");
    }
}

/// Guards against explanations that differ from the decisions: of thousands of openings at a fleet in overload, with a
/// zone disabled, a server that has crashed and one that fails requests, each is explained just before it is decided.
#[rstest]
fn an_explanation_agrees_with_the_decision(#[values(1, 2)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 0, 4);
    let comparison = Rc::new(RefCell::new(Comparison::default()));
    simulation.observer = Some(Rc::<RefCell<Comparison>>::clone(&comparison));
    let capacity = 7.0 * 2.0 / 0.015;
    let (second, some) = (Duration::from_secs(1), Duration::from_millis(1500));
    simulation.at(some, Change::CrashServer(1));
    simulation.at(some * 2, Change::FailRequests(2, 1000, Failure::Reset));
    simulation.calls(second * 4, 0.6 * capacity, ORDERS_ADDRESS);
    simulation.run_for(second * 4);
    simulation.set_map(ServiceMap {
        zones_out: [world::zone(0)].into(),
        ..world::map(2, None)
    });
    simulation.calls(second * 2, 0.9 * capacity, ORDERS_ADDRESS);
    simulation.run_for(second * 3);
    let comparison = comparison.borrow();
    let found = &comparison.disagreements;
    assert!(found.is_empty(), "{} differ: {}", found.len(), found[0]);
    assert_fits(&comparison.placements);
    assert_fits(&comparison.redirections);
    for action in [
        "accept",
        "queue",
        "redirect: server busy",
        "redirect: server suspended",
    ] {
        assert!(
            comparison.actions.contains_key(action),
            "{:?}",
            comparison.actions
        );
    }
}

fn report(busy: u32, zone: &str) -> ServerReport {
    ServerReport {
        service: "orders".into(),
        zone: zone.parse().unwrap(),
        is_accepting: true,
        is_cold: false,
        busy,
        work: Some(15 * MS),
        waiting: 0,
        stalled: 0,
        flows: 0,
        flow_request_rate: None,
        slots: 2,
        responses: ResponseStats::default(),
    }
}

fn suspended(report: ServerReport) -> ServerReport {
    let responses = ResponseStats {
        is_suspended: true,
        ..report.responses
    };
    ServerReport {
        responses,
        ..report
    }
}

fn cold(report: ServerReport) -> ServerReport {
    ServerReport {
        is_cold: true,
        ..report
    }
}

/// Guards against probabilities that differ from what the random choice does: equal candidates, of which the order of
/// the draw chooses, those that have just started, suspended ones, and other zones.
#[rstest]
#[case::one(vec![report(0, "north")])]
#[case::equal(vec![report(3, "south"); 5])]
#[case::cold(vec![cold(report(2, "south")), report(2, "south"), report(2, "south")])]
#[case::unequal(vec![report(3, "south"), report(5, "south"), report(2, "south"), report(2, "south")])]
#[case::zones(vec![report(0, "south"), report(1, "north"), report(4, "north"), report(9, "north"), report(0, "south")])]
#[case::probes(vec![suspended(report(0, "south")), report(1, "north"), report(2, "south"), suspended(report(0, "north"))])]
#[case::no_other(vec![suspended(report(1, "south")), suspended(report(0, "south")), suspended(report(1, "north"))])]
fn probabilities_are_those_of_the_choice(
    #[case] reports: Vec<ServerReport>,
    #[values(ProbePolicy::Occasional, ProbePolicy::OnlyIfAllSuspended)] policy: ProbePolicy,
) {
    const DRAWS: u32 = 20_000;
    let (now, zone) = (Instant::now(), "north".parse().unwrap());
    let reports: Vec<_> = reports
        .into_iter()
        .map(|report| received(now, report))
        .collect();
    let agents = reports
        .iter()
        .zip(1..)
        .map(|(r, n)| (world::agent_ip(n), r));
    let load = LoadEstimator::new(now, 3);
    let candidates: Vec<_> = agents.clone().map(Candidate::from).collect();
    let probabilities = choice_probabilities(load, &candidates, &zone, policy);
    let mut rng = StdRng::seed_from_u64(5);
    let mut chosen = BTreeMap::<_, u32>::new();
    for _ in 0..DRAWS {
        let agent = choose_agent(&mut rng, load, agents.clone(), &zone, policy).unwrap();
        *chosen.entry(agent.agent).or_default() += 1;
    }
    let sum: f64 = probabilities.iter().map(|p| f64::from(*p)).sum();
    assert!((sum - 1.0).abs() < 1e-9, "{probabilities:?}");
    for (candidate, p) in candidates.iter().zip(&probabilities) {
        let p = f64::from(*p);
        let share =
            f64::from(chosen.get(&candidate.agent).copied().unwrap_or(0)) / f64::from(DRAWS);
        let tolerance = 5.0 * (p * (1.0 - p) / f64::from(DRAWS)).sqrt() + 1e-9;
        assert!(
            (share - p).abs() <= tolerance,
            "{chosen:?}, {probabilities:?}"
        );
    }
}

fn received(now: Instant, report: ServerReport) -> ReceivedReport {
    ReceivedReport {
        report,
        received_at: now,
        sent_since: 0,
        offered_since: 0,
    }
}

fn heartbeat(report: Option<ServerReport>, last_seen_age: Option<Duration>) -> Heartbeat {
    Heartbeat {
        boot: BootId::new(1),
        role: NodeRole::Agent,
        index: LogIndex::new(1),
        last_seen_age,
        report,
        server_presence: ServerPresence::default(),
    }
}

fn mesh(role: NodeRole, now: Instant, agents: &[ServerReport]) -> Mesh {
    let mut mesh = Mesh::new(NodeAddress { ip: OWN, role });
    for (report, n) in agents.iter().zip(1..) {
        let heartbeat = heartbeat(Some(report.clone()), Some(MS));
        mesh.on_heartbeat(now, world::agent_ip(n), heartbeat);
    }
    mesh
}

fn balancer(now: Instant, agents: &[ServerReport]) -> Balancer {
    let mesh = mesh(NodeRole::Balancer, now, agents);
    let mut balancer = Balancer::new(now, mesh, "north".parse().unwrap(), 1);
    balancer.on_map(world::map(1, None).into());
    balancer
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: format!("100.64.0.1:{port}").parse().unwrap(),
        service: ORDERS_ADDRESS,
    }
}

fn orders(zone: Option<&str>) -> Query {
    Query {
        flow: flow(0),
        zone: zone.map(|zone| zone.parse().unwrap()),
    }
}

fn opening(port: u16) -> Header {
    Header {
        source: flow(port).caller,
        target: ORDERS_ADDRESS,
        flags: Flags::SYN,
        seq: 0,
        ack: 0,
        len: 0,
        trail: Trail::from_balancer(OWN, Purpose::Placed),
    }
}

/// What is wrong with the second of two agents.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Silent,
    ZoneDisabled,
    Closed,
    Unheard,
    OpeningLost,
    Suspended,
}

/// Guards against an explanation that names the wrong reason, or none, or gives a share to an agent that is not used.
#[rstest]
#[case::none(Fault::None, None, 0.5..=1.0)]
#[case::not_live(Fault::Silent, Some(Exclusion::NotLive), 0.0..=0.0)]
#[case::zone(Fault::ZoneDisabled, Some(Exclusion::ZoneDisabled), 0.0..=0.0)]
#[case::not_accepting(Fault::Closed, Some(Exclusion::NotAccepting), 0.0..=0.0)]
#[case::not_reachable(Fault::Unheard, Some(Exclusion::NotReachable), 0.0..=0.0)]
#[case::openings_lost(Fault::OpeningLost, Some(Exclusion::LosingOpenings), 0.0..=0.0)]
#[case::suspended(Fault::Suspended, Some(Exclusion::Suspended), 0.25..=0.25)]
fn why_an_agent_is_not_used(
    #[case] fault: Fault,
    #[case] expected: Option<Exclusion>,
    #[case] probability: std::ops::RangeInclusive<f64>,
) {
    let start = Instant::now();
    let placed = start + 3 * Duration::from_secs(1);
    let later = placed + 400 * MS;
    let agent = world::agent_ip(2);
    let mut balancer = balancer(start, &[report(1, "south"), report(0, "south")]);
    let mesh = balancer.mesh_mut();
    if matches!(fault, Fault::OpeningLost) {
        let first = heartbeat(Some(report(0, "south")), Some(MS));
        mesh.on_heartbeat(placed, agent, first);
        mesh.on_placed(placed, agent);
    }
    mesh.on_heartbeat(
        later,
        world::agent_ip(1),
        heartbeat(Some(report(1, "south")), Some(MS)),
    );
    let (last_report, age) = match fault {
        Fault::Silent => (None, MS),
        Fault::Closed => (
            Some(ServerReport {
                is_accepting: false,
                ..report(0, "south")
            }),
            MS,
        ),
        Fault::Unheard => (Some(report(0, "south")), 2 * Duration::from_secs(1)),
        Fault::OpeningLost => (Some(report(0, "south")), 500 * MS),
        Fault::Suspended => (Some(suspended(report(0, "south"))), MS),
        Fault::ZoneDisabled => (Some(report(0, "middle")), MS),
        Fault::None => (Some(report(0, "south")), MS),
    };
    if let Some(report) = last_report {
        mesh.on_heartbeat(later, agent, heartbeat(Some(report), Some(age)));
    }
    balancer.on_map(
        ServiceMap {
            zones_out: ["middle".parse().unwrap()].into(),
            ..world::map(2, None)
        }
        .into(),
    );
    let explanation = balancer.explain(later, &orders(None)).unwrap();
    let choice = &explanation.services[0].agents[1];
    assert_eq!(choice.exclusion, expected);
    assert!(
        probability.contains(&f64::from(choice.probability)),
        "{choice:?}"
    );
    let sum: f64 = explanation.services[0]
        .agents
        .iter()
        .map(|a| f64::from(a.probability))
        .sum();
    assert!((sum - 1.0).abs() < 1e-9, "{explanation:?}");
}

/// Guards against a view from another zone that prefers servers in the balancer's own, or that shows its cache.
#[test]
fn another_zone_prefers_its_own_servers() {
    let now = Instant::now();
    let mut balancer = balancer(
        now,
        &[report(0, "north"), report(0, "south"), report(0, "south")],
    );
    let BalancerDisposition::Forward { to, .. } = balancer.on_packet(now, &opening(7)) else {
        panic!("not placed");
    };
    let view = |zone| {
        let query = Query {
            flow: flow(7),
            ..orders(zone)
        };
        let explanation = balancer.explain(now, &query).unwrap();
        let agents = &explanation.services[0].agents;
        let shares: Vec<_> = agents.iter().map(|a| a.probability.to_string()).collect();
        (explanation.placed_at, shares.join(" "))
    };
    assert_eq!(view(None), (Some(to), "100.0% 0.0% 0.0%".to_owned()));
    assert_eq!(view(Some("south")), (None, "0.0% 50.0% 50.0%".to_owned()));
}

/// Guards against an empty explanation where there is nothing to explain.
#[test]
fn what_cannot_be_explained() {
    let now = Instant::now();
    let mesh = mesh(NodeRole::Balancer, now, &[]);
    let fresh = Balancer::new(now, mesh, "north".parse().unwrap(), 1);
    let balancer = balancer(now, &[report(0, "south")]);
    let elsewhere = FlowKey {
        service: "198.18.0.9:1".parse().unwrap(),
        ..flow(0)
    };
    let errors = [
        fresh.explain(now, &orders(None)),
        balancer.explain(
            now,
            &Query {
                flow: elsewhere,
                zone: None,
            },
        ),
        balancer.explain(now, &orders(Some("west"))),
    ];
    let errors: Vec<_> = errors.map(|e| e.unwrap_err().to_string()).into();
    assert_snapshot!(errors.join("\n"), @"
    no configuration yet
    no route to 198.18.0.9:1
    unknown zone west; there are north, south
    ");
}

fn agent(now: Instant, state: ServerState, peers: &[ServerReport]) -> Agent {
    let mesh = mesh(NodeRole::Agent, now, peers);
    let mut agent = Agent::new(now, mesh, Duration::from_secs(1), Duration::from_mins(1), 1);
    agent.on_map(world::map(1, None).into());
    let statement = ServerStatement {
        id: "a".into(),
        started_at: UnixMillis::new(10),
        sequence: Sequence::from(5),
        service: "orders".into(),
        address: "10.2.0.1:80".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 2,
        state,
        cold_remaining: Duration::ZERO,
    };
    agent.on_statement(now, statement);
    agent
}

/// Guards against an answer that does not show what an agent does in each state of its server, and against an effect
/// of the question: the agent is the same afterwards, to the last field.
#[rstest]
#[case::idle(ServerState::Ready, 0, vec![], OpeningAction::Accept, None)]
#[case::busy(ServerState::Ready, 2, vec![report(0, "south")], OpeningAction::Redirect, Some(Reason::Busy))]
#[case::full(ServerState::Ready, 6, vec![report(9, "south")], OpeningAction::Queue, None)]
#[case::draining(ServerState::Draining, 0, vec![report(9, "south")], OpeningAction::Redirect, Some(Reason::Draining))]
#[case::draining_alone(ServerState::Draining, 0, vec![], OpeningAction::Refuse, Some(Reason::Draining))]
fn what_an_agent_would_do(
    #[case] state: ServerState,
    #[case] earlier: u16,
    #[case] peers: Vec<ServerReport>,
    #[case] action: OpeningAction,
    #[case] reason: Option<Reason>,
) {
    let now = Instant::now();
    let mut agent = agent(now, state, &[]);
    for n in 1..=earlier {
        agent.on_caller_packet(now, OWN, &opening(n), b"");
    }
    for (report, n) in peers.into_iter().zip(1..) {
        agent
            .mesh_mut()
            .on_heartbeat(now, world::agent_ip(n), heartbeat(Some(report), Some(MS)));
    }
    let before = format!("{agent:?}");
    let explanation = agent.explain(now, &orders(None)).unwrap();
    assert_eq!(format!("{agent:?}"), before);
    assert_eq!(
        (explanation.action, explanation.reason),
        (action, reason),
        "{explanation:?}"
    );
    let server = explanation.server.unwrap();
    let is_draining = state == ServerState::Draining;
    assert_eq!(
        server.unavailability,
        is_draining.then_some(Unavailability::Draining)
    );
    assert_eq!(server.busy, agent.busy());
}

/// Guards against an effect of the question on a balancer, whose next choices must be the same with and without it.
#[test]
fn asking_a_balancer_changes_nothing() {
    let now = Instant::now();
    let mut balancer = balancer(
        now,
        &[report(1, "south"), report(1, "south"), report(1, "south")],
    );
    balancer.on_packet(now, &opening(7));
    let before = format!("{balancer:?}");
    balancer
        .explain(
            now,
            &Query {
                flow: flow(7),
                zone: None,
            },
        )
        .unwrap();
    balancer.explain(now, &orders(Some("south"))).unwrap();
    assert_eq!(format!("{balancer:?}"), before);
}
