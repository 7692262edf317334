//! Open flows survive faults and restarts of nodes and servers; flows that cannot survive are reset soon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::forwarded::decision::Step;
use dogwoodrill_core::forwarded::packet::FlowKey;
use rstest::rstest;

use super::world::{Change, ORDERS_ADDRESS, Outcome, SHEETS, Simulation, agent_ip, map, route};

const MS: Duration = Duration::from_millis(1);

/// Opens flows at servers, with a request whose response takes a second.
fn open_calls(simulation: &mut Simulation, count: usize) -> Vec<FlowKey> {
    // Two requests at one server would queue behind each other; the limit is long enough for that.
    simulation.limit = Duration::from_secs(4);
    let flows = (0..count).map(|_| simulation.call(Duration::ZERO, ORDERS_ADDRESS, 1000 * MS));
    let flows = flows.collect();
    simulation.run_for(50 * MS);
    flows
}

/// Restarts all agents and replaces all balancers, so that only the servers know the open flows.
fn restart_all(simulation: &mut Simulation) {
    for n in 0..10 {
        simulation.at(Duration::ZERO, Change::KillAgent(n));
        simulation.at(100 * MS, Change::StartAgent(n));
    }
    simulation.at(Duration::ZERO, Change::RemoveBalancer(0));
    simulation.at(Duration::ZERO, Change::RemoveBalancer(1));
    simulation.at(100 * MS, Change::AddBalancer);
}

fn assert_all_answered(simulation: &Simulation) {
    let only = BTreeMap::from([(Some(Outcome::Answered), simulation.callers.len())]);
    assert_eq!(simulation.outcomes(), only);
}

#[rstest]
#[case::added(&[Change::AddBalancer])]
#[case::removed(&[Change::RemoveBalancer(0)])]
#[case::all_replaced(&[Change::AddBalancer, Change::AddBalancer, Change::RemoveBalancer(0), Change::RemoveBalancer(1), Change::RemoveBalancer(2)])]
fn open_flows_survive_balancer_changes(#[case] changes: &[Change], #[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 3);
    open_calls(&mut simulation, 14);
    for (n, change) in changes.iter().enumerate() {
        simulation.at(u32::try_from(n).unwrap() * 10 * MS, *change);
    }
    simulation.run_for(Duration::from_secs(5));
    assert_all_answered(&simulation);
    assert_no_violations(&simulation);
    assert!(
        simulation.steps.contains_key(&(Step::AskedKeeper, None)),
        "no keeper was queried"
    );
}

/// The restarted agent has lost its flow table. Its server still holds the flows, and the keepers have stored
/// their locations.
#[rstest]
fn open_flows_survive_an_agent_restart(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 3);
    let flows = open_calls(&mut simulation, 14);
    let holder = simulation.holder(flows[0]).unwrap();
    simulation.at(Duration::ZERO, Change::KillAgent(holder));
    simulation.at(200 * MS, Change::StartAgent(holder));
    simulation.at(210 * MS, Change::RemoveBalancer(0));
    simulation.run_for(Duration::from_secs(5));
    assert_all_answered(&simulation);
    assert_no_violations(&simulation);
}

#[rstest]
#[case::first(true, false)]
#[case::second(false, true)]
#[case::both(true, true)]
fn a_flow_is_found_without_its_keepers(
    #[case] first: bool,
    #[case] second: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flow = open_calls(&mut simulation, 1)[0];
    let holder = simulation.holder(flow).unwrap();
    let keepers = simulation.agent(holder).mesh().ring().keepers(flow);
    let lost = [(keepers.first, first), (keepers.second, second)];
    let lost = lost.into_iter().filter(|(_, lost)| *lost);
    for ip in lost
        .filter_map(|(ip, _)| ip)
        .filter(|ip| *ip != agent_ip(holder))
    {
        let n = (0..10).find(|n| agent_ip(*n) == ip).unwrap();
        simulation.at(Duration::ZERO, Change::KillAgent(n));
    }
    simulation.at(10 * MS, Change::AddBalancer);
    simulation.at(10 * MS, Change::RemoveBalancer(0));
    simulation.at(10 * MS, Change::RemoveBalancer(1));
    simulation.run_for(Duration::from_secs(5));
    assert_all_answered(&simulation);
    assert_no_violations(&simulation);
}

#[rstest]
fn flows_are_found_after_all_agents_and_balancers_restarted(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    open_calls(&mut simulation, 14);
    restart_all(&mut simulation);
    simulation.run_for(Duration::from_secs(5));
    assert_all_answered(&simulation);
    assert_no_violations(&simulation);
}

/// The paused server answers late. Whichever server's answer the caller acknowledges, the flow belongs to
/// that server only.
#[rstest]
#[case::wakes_soon(90)]
#[case::wakes_late(400)]
fn an_unanswered_opening_packet_is_offered_to_a_second_server(
    #[case] wakes_after: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, 3, 0, 2);
    simulation.at(Duration::ZERO, Change::FreezeServer(0, true));
    simulation.at(wakes_after * MS, Change::FreezeServer(0, false));
    for n in 0..30 {
        simulation.call(n * 5 * MS, ORDERS_ADDRESS, 10 * MS);
    }
    simulation.run_for(Duration::from_secs(4));
    assert_all_answered(&simulation);
    assert_no_violations(&simulation);
    assert!(
        simulation.steps.contains_key(&(Step::Unanswered, None)),
        "no opening packet was left unanswered"
    );
}

/// Guards against callers that wait for their deadline although the end of the server is known.
#[rstest]
#[case::port_closed(&[])]
#[case::new_life(&[(100, Change::StartServer(0))])]
fn flows_of_a_stopped_server_are_reset(#[case] after: &[(u32, Change)], #[values(1, 2)] seed: u64) {
    let mut simulation = Simulation::new(seed, 2, 0, 2);
    let flows = open_calls(&mut simulation, 4);
    let flows_there = flows
        .iter()
        .filter(|f| simulation.holder(**f) == Some(0))
        .count();
    simulation.at(Duration::ZERO, Change::CrashServer(0));
    for (ms, change) in after {
        simulation.at(*ms * MS, *change);
    }
    simulation.run_for(Duration::from_secs(5));
    assert!(flows_there > 0, "no flow was at the server");
    assert_eq!(
        simulation.outcomes().get(&Some(Outcome::Reset)),
        Some(&flows_there)
    );
    assert_eq!(simulation.outcomes().get(&Some(Outcome::GaveUp)), None);
    assert_no_violations(&simulation);
}

fn reset_count(simulation: &Simulation) -> usize {
    let resets = simulation.outcomes().get(&Some(Outcome::Reset)).copied();
    resets.unwrap_or(0)
}

/// Number of the flows that are open at `server`.
fn flows_at(simulation: &Simulation, flows: &[FlowKey], server: usize) -> usize {
    let holders = flows.iter().map(|f| simulation.holder(*f));
    holders.filter(|holder| *holder == Some(server)).count()
}

/// Checks how many callers were told that their flow has ended.
fn assert_resets(simulation: &Simulation, expected: usize) {
    assert_eq!(reset_count(simulation), expected, "{:?}", simulation.steps);
    assert_no_violations(simulation);
}

fn assert_no_violations(simulation: &Simulation) {
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// A host loses power and restarts without knowledge of the flows that were open there, while balancers and
/// keepers still send their packets to it.
#[rstest]
fn flows_lost_with_a_host_are_reset(#[values(1, 2, 3, 4, 10, 14, 23)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    let lost = simulation.holder(flows[0]).unwrap();
    let flows_there = flows_at(&simulation, &flows, lost);
    simulation.at(Duration::ZERO, Change::LosePower(lost));
    simulation.at(300 * MS, Change::RegainPower(lost));
    // Agents send heartbeats every 250 ms, in ticks of 20 ms, and callers retransmit after 200 ms.
    simulation.run_for(300 * MS + 270 * MS + 200 * MS + 20 * MS);
    assert_resets(&simulation, flows_there);
    simulation.run_for(Duration::from_secs(4));
    assert_eq!(simulation.outcomes().get(&Some(Outcome::GaveUp)), None);
    assert_no_violations(&simulation);
}

/// All hosts lose power at once.
#[rstest]
fn flows_are_reset_after_a_power_failure_of_all_hosts(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    lose_all_power(&mut simulation, &[]);
    simulation.at(100 * MS, Change::AddBalancer);
    // One second after their start agents assume that they know each other.
    simulation.run_for(100 * MS + Duration::from_secs(1) + 250 * MS);
    assert_resets(&simulation, flows.len());
}

/// A search queries all agents, whatever the size of the fleet.
#[rstest]
#[case::tens(60)]
#[case::more_than_a_hundred(120)]
fn lost_flows_are_reset_in_fleets_of_any_size(#[case] agents: usize) {
    let mut simulation = Simulation::new(1, agents - 20, 20, 2);
    simulation.run_for(Duration::from_secs(1));
    let flows = open_calls(&mut simulation, 200);
    let lost = simulation.holder(flows[0]).unwrap();
    let flows_there = flows_at(&simulation, &flows, lost);
    simulation.at(Duration::ZERO, Change::LosePower(lost));
    simulation.at(300 * MS, Change::RegainPower(lost));
    simulation.run_for(Duration::from_millis(1500));
    assert_resets(&simulation, flows_there);
}

/// Cuts the power of all hosts. Their agents start again after 100 ms. Hosts in `leaving` have a server that
/// was draining and does not report any more.
fn lose_all_power(simulation: &mut Simulation, leaving: &[usize]) {
    lose_all_power_until(simulation, leaving, |_| 100 * MS);
}

/// Like [`lose_all_power`], with a separate restart time for each host.
fn lose_all_power_until(
    simulation: &mut Simulation,
    leaving: &[usize],
    back_after: impl Fn(u32) -> Duration,
) {
    for (n, host) in (0..10).zip(0..) {
        simulation.at(Duration::ZERO, Change::LosePower(n));
        let back = if leaving.contains(&n) {
            Change::RegainPowerUnreported(n)
        } else {
            Change::RegainPower(n)
        };
        simulation.at(back_after(host), back);
    }
    simulation.at(Duration::ZERO, Change::RemoveBalancer(0));
    simulation.at(Duration::ZERO, Change::RemoveBalancer(1));
}

/// No server survived the power failure, so no agent has to wait for others that may appear late: agents send
/// heartbeats every 250 ms, detect the common start after 250 ms more, and callers retransmit after 200 ms.
#[rstest]
fn flows_are_reset_soon_after_a_power_failure_of_all_hosts(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    lose_all_power(&mut simulation, &[]);
    simulation.at(100 * MS, Change::AddBalancer);
    simulation.run_for(100 * MS + 250 * MS + 250 * MS + 200 * MS);
    assert_resets(&simulation, flows.len());
}

/// After a power failure of all hosts, agents of draining servers start and then fail without a leave notice,
/// each `(ms, host)` after that time. Callers' packets arrive again from `packets_from_ms`, when the last of these
/// agents has failed. Flows lost in the power failure must be reset all the same.
fn assert_lost_flows_are_reset(failing_agents: [(u32, usize); 3], packets_from_ms: u32, seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    lose_all_power(&mut simulation, &failing_agents.map(|(_, n)| n));
    for (after, n) in failing_agents {
        simulation.at(after * MS, Change::LosePower(n));
    }
    simulation.at(packets_from_ms * MS, Change::AddBalancer);
    simulation.run_for(packets_from_ms * MS + 500 * MS);
    assert_resets(&simulation, flows.len());
}

/// The agents have had the time to report that they have no local server.
#[rstest]
fn lost_flows_are_reset_though_agents_failed_later(#[values(1, 2, 3)] seed: u64) {
    assert_lost_flows_are_reset([(1800, 2), (2000, 5), (2200, 8)], 2500, seed);
}

/// The agents have not had that time. All of them took part in the common start, so no earlier flow is open
/// there.
#[rstest]
fn lost_flows_are_reset_though_agents_failed_at_once(#[values(1, 2, 3)] seed: u64) {
    assert_lost_flows_are_reset([(700, 2), (900, 5), (1000, 8)], 1200, seed);
}

/// After a power failure of all hosts, the agents of three draining servers run on without a report of their
/// servers. Packets of lost flows reach them as keepers, and their searches must end like those of others. No
/// server is queried, since all agents know that no earlier flow is open.
#[rstest]
fn lost_flows_are_reset_though_agents_without_a_server_search(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    lose_all_power(&mut simulation, &[2, 5, 8]);
    simulation.at(2500 * MS, Change::AddBalancer);
    simulation.run_for(2500 * MS + 500 * MS);
    assert_eq!(simulation.steps.get(&(Step::Bounced, None)), None);
    assert_resets(&simulation, flows.len());
}

/// An agent is told to stop while its server is full and openings wait, and ends 800 ms later. Openings that
/// wait, and those that are still on their way to it, must be served by other servers or refused; requests
/// that its server has begun must be answered.
#[rstest]
fn an_agent_that_stops_under_load_leaves_no_call_without_an_answer(#[values(1, 2, 3)] seed: u64) {
    const STOP: Duration = Duration::from_secs(1);
    const END: Duration = Duration::from_millis(1800);
    let mut simulation = Simulation::new(seed, 7, 0, 4);
    let began_at = simulation.now;
    simulation.calls(Duration::from_secs(3), 1000.0, ORDERS_ADDRESS);
    simulation.at(STOP, Change::StopAgent(0));
    simulation.at(END, Change::KillAgent(0));
    simulation.run_for(Duration::from_secs(6));
    let waited = simulation.steps.get(&(Step::Waits, None)).copied();
    assert!(waited > Some(100), "the load is too small: {waited:?}");
    let unanswered = simulation
        .callers
        .values()
        .filter(|c| !matches!(c.outcome, Some(Outcome::Answered | Outcome::Refused)));
    let unanswered: Vec<_> = unanswered
        .map(|c| (c.started_at - began_at, c.outcome))
        .collect();
    assert_eq!(unanswered, []);
    // What the agent delivered before takes one hop.
    let late = simulation.servers[0].openings.iter();
    let late = late.filter(|at| **at > began_at + STOP + MS).count();
    assert_eq!(late, 0, "openings after the stop");
    assert_no_violations(&simulation);
}

/// Hosts return one after the other, so that the first agents count as knowing all others before all are
/// there. One whose server was draining fails before it could report that it has no local server. The common
/// start must still be detected.
#[rstest]
fn lost_flows_are_reset_though_hosts_returned_in_turn(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    lose_all_power_until(&mut simulation, &[2], |host| (host + 1) * 100 * MS);
    simulation.at(1500 * MS, Change::LosePower(2));
    simulation.at(1500 * MS, Change::AddBalancer);
    simulation.run_for(1500 * MS + 500 * MS);
    assert_resets(&simulation, flows.len());
}

/// A host whose server was draining returns and fails again after it has sent heartbeats to control hosts
/// only. Only what it reported to them shows that no earlier flow is open there.
#[rstest]
#[case::fresh(true)]
#[case::nothing_is_known_of_it(false)]
fn lost_flows_are_reset_though_a_host_contacted_no_agent(
    #[case] is_fresh: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    simulation
        .agents_without_earlier_flows
        .extend(is_fresh.then_some(2));
    lose_all_power(&mut simulation, &[]);
    simulation.at(100 * MS, Change::LosePower(2));
    simulation.at(1200 * MS, Change::AddBalancer);
    simulation.run_for(1200 * MS + 500 * MS);
    let expected = if is_fresh { flows.len() } else { 0 };
    assert_resets(&simulation, expected);
}

/// Servers outlive their agents, and one host stays down, so that no agent can deny its flows. Callers
/// continue to retransmit. Each server should be queried about such a flow only once, since it bounces the
/// first packet.
#[rstest]
fn a_server_is_queried_once_per_flow(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    let flows = open_calls(&mut simulation, 14);
    let lost = simulation.holder(flows[0]).unwrap();
    let flows_there = flows
        .iter()
        .filter(|f| simulation.holder(**f) == Some(lost));
    let flows_there = u32::try_from(flows_there.count()).unwrap();
    restart_all(&mut simulation);
    simulation.at(Duration::ZERO, Change::LosePower(lost));
    simulation.run_for(Duration::from_secs(4));
    let bounced = simulation.steps.get(&(Step::Bounced, None)).copied();
    let searched = simulation.steps.get(&(Step::Searched, None)).copied();
    let servers = 9;
    // Open flows are searched for as well, until they are found.
    assert!(
        bounced <= Some(14 * servers),
        "{bounced:?}, {searched:?} searches, {flows_there} flows lost"
    );
    assert!(searched >= Some(flows_there * 5), "{searched:?}");
    assert_no_violations(&simulation);
}

/// What the other agents lose while one agent holds flows: their caches, their directories, the path to it,
/// or the route of its flows. None of that shows that a flow is open nowhere.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The agent is down for this time.
    Agent { ms: u32 },
    /// The host is partitioned from all others for this time.
    Way { ms: u32 },
    /// Packets from the host's zone to another zone are lost.
    OneWay,
    /// The route leads to another service from then on.
    Route,
    /// The agent restarts soon after its server.
    AgentOfYoungServer,
}

#[rstest]
fn no_open_flow_is_reset(
    #[values(
        Loss::Agent { ms: 100 },
        Loss::Agent { ms: 900 },
        Loss::Agent { ms: 3000 },
        Loss::Way { ms: 400 },
        Loss::Way { ms: 1500 },
        Loss::Way { ms: 3000 },
        Loss::OneWay,
        Loss::Route,
        Loss::AgentOfYoungServer
    )]
    loss: Loss,
    #[values(false, true)] others_restart: bool,
    #[values(1, 2)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, 3, 3, 2);
    if matches!(loss, Loss::AgentOfYoungServer) {
        for n in 0..3 {
            simulation.at(Duration::ZERO, Change::StartServer(n));
        }
        simulation.run_for(1200 * MS);
    }
    let flows = open_calls(&mut simulation, 6);
    let holder = simulation.holder(flows[0]).unwrap();
    let (begin, end) = match loss {
        Loss::Agent { ms } => (
            Some(Change::KillAgent(holder)),
            Some((ms, Change::StartAgent(holder))),
        ),
        Loss::Way { ms } => (Some(Change::CutHost(holder)), Some((ms, Change::HealCuts))),
        Loss::OneWay => {
            let from = holder % 3;
            let to = (from + 1) % 3;
            (Some(Change::CutOneWay { from, to }), None)
        }
        Loss::Route => {
            let mut moved = map(2, None);
            let table = Arc::make_mut(moved.table.as_mut().unwrap());
            table.routes.insert(ORDERS_ADDRESS, route(SHEETS));
            simulation.set_map(moved);
            (None, None)
        }
        Loss::AgentOfYoungServer => (
            Some(Change::KillAgent(holder)),
            Some((50, Change::StartAgent(holder))),
        ),
    };
    if let Some(change) = begin {
        simulation.at(Duration::ZERO, change);
    }
    if let Some((ms, change)) = end {
        simulation.at(ms * MS, change);
    }
    simulation.at(10 * MS, Change::AddBalancer);
    simulation.at(20 * MS, Change::RemoveBalancer(0));
    simulation.at(20 * MS, Change::RemoveBalancer(1));
    for other in (0..6).filter(|n| others_restart && *n != holder) {
        simulation.at(30 * MS, Change::KillAgent(other));
        simulation.at(80 * MS, Change::StartAgent(other));
    }
    simulation.run_for(Duration::from_secs(5));
    assert_resets(&simulation, 0);
}

/// A search reaches every server. If a server resets flows that it does not hold, the reset must not reach
/// the caller.
#[rstest]
fn resets_of_foreign_flows_do_not_reach_callers(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    open_calls(&mut simulation, 14);
    for n in 0..10 {
        simulation.at(Duration::ZERO, Change::ResetUnknownFlows(n));
    }
    restart_all(&mut simulation);
    simulation.run_for(Duration::from_secs(5));
    assert_all_answered(&simulation);
    assert_no_violations(&simulation);
}

/// Restarted agents deliver packets in a search to their servers. If such a server then stops, flows that are
/// open at other servers must not be reset with it; its own flows must be.
#[rstest]
fn a_server_that_stops_during_a_search_resets_no_foreign_flow(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 8)] ends: usize,
) {
    let mut simulation = Simulation::new(seed, 7, 3, 2);
    simulation.limit = Duration::from_secs(12);
    let flows = (0..14).map(|_| simulation.call(Duration::ZERO, ORDERS_ADDRESS, 5000 * MS));
    let flows: Vec<_> = flows.collect();
    simulation.run_for(50 * MS);
    let flows_there = flows
        .iter()
        .filter(|f| simulation.holder(**f) == Some(ends));
    let flows_there = flows_there.count();
    simulation.at(Duration::ZERO, Change::FreezeServer(ends, true));
    restart_all(&mut simulation);
    simulation.at(600 * MS, Change::FreezeServer(ends, false));
    simulation.at(1700 * MS, Change::FreezeServer(ends, true));
    simulation.at(1800 * MS, Change::CrashServer(ends));
    simulation.run_for(Duration::from_secs(13));
    let answered = simulation.outcomes().get(&Some(Outcome::Answered)).copied();
    let others = 14 - flows_there;
    assert!(answered >= Some(others), "{:?}", simulation.outcomes());
    assert_no_violations(&simulation);
}

/// All agents are overloaded and redirect opening packets; no packet may circulate between them.
#[test]
fn redirections_form_no_loop() {
    let mut simulation = Simulation::new(5, 3, 0, 2);
    for n in 0..3 {
        simulation.at(Duration::ZERO, Change::SlowServer(n, 40));
    }
    simulation.calls(Duration::from_secs(2), 300.0, ORDERS_ADDRESS);
    simulation.run_for(Duration::from_secs(5));
    let steps = &simulation.steps;
    let decisions: u32 = steps.values().sum();
    let calls = u32::try_from(simulation.callers.len()).unwrap();
    // For each of three copies: a placement, at most three hops, and a refusal or an acceptance.
    assert!(
        decisions < calls * 3 * 6,
        "{decisions} decisions for {calls} calls: {steps:?}"
    );
    assert_no_violations(&simulation);
}
