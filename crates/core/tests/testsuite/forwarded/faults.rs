//! Open flows survive faults and restarts of nodes and servers; flows that cannot survive are reset soon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::forwarded::decision::Step;
use dogwoodrill_core::forwarded::packet::FlowKey;
use rstest::rstest;

use super::world::{Change, ORDERS_ADDRESS, Outcome, SHEETS, World, agent_ip, map, route};

const MS: Duration = Duration::from_millis(1);

/// Opens flows at servers, with a request whose response takes a second.
fn open_calls(world: &mut World, count: usize) -> Vec<FlowKey> {
    // Two requests at one server would queue behind each other; the limit is long enough for that.
    world.limit = Duration::from_secs(4);
    let flows = (0..count).map(|_| world.call(Duration::ZERO, ORDERS_ADDRESS, 1000 * MS));
    let flows = flows.collect();
    world.run_for(50 * MS);
    flows
}

/// Restarts all agents and replaces all balancers, so that only the servers know the open flows.
fn restart_all(world: &mut World) {
    for n in 0..10 {
        world.at(Duration::ZERO, Change::KillAgent(n));
        world.at(100 * MS, Change::StartAgent(n));
    }
    world.at(Duration::ZERO, Change::RemoveBalancer(0));
    world.at(Duration::ZERO, Change::RemoveBalancer(1));
    world.at(100 * MS, Change::AddBalancer);
}

fn all_answered(world: &World) {
    let only = BTreeMap::from([(Some(Outcome::Answered), world.callers.len())]);
    assert_eq!(world.outcomes(), only);
}

#[rstest]
#[case::added(&[Change::AddBalancer])]
#[case::removed(&[Change::RemoveBalancer(0)])]
#[case::all_replaced(&[Change::AddBalancer, Change::AddBalancer, Change::RemoveBalancer(0), Change::RemoveBalancer(1), Change::RemoveBalancer(2)])]
fn balancers_change_under_open_flows(#[case] changes: &[Change], #[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 3);
    open_calls(&mut world, 14);
    for (n, change) in changes.iter().enumerate() {
        world.at(u32::try_from(n).unwrap() * 10 * MS, *change);
    }
    world.run_for(Duration::from_secs(5));
    all_answered(&world);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
    assert!(
        world.steps.contains_key(&(Step::AskedKeeper, None)),
        "no flow had to be found"
    );
}

/// The restarted agent has lost its flow table. Its server still holds the flows, and the keepers have stored
/// their locations.
#[rstest]
fn an_agent_restarts_with_open_flows(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 3);
    let flows = open_calls(&mut world, 14);
    let holder = world.holder(flows[0]).unwrap();
    world.at(Duration::ZERO, Change::KillAgent(holder));
    world.at(200 * MS, Change::StartAgent(holder));
    world.at(210 * MS, Change::RemoveBalancer(0));
    world.run_for(Duration::from_secs(5));
    all_answered(&world);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
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
    let mut world = World::new(seed, 7, 3, 2);
    let flow = open_calls(&mut world, 1)[0];
    let holder = world.holder(flow).unwrap();
    let keepers = world.agent(holder).mesh().ring().keepers(flow);
    let lost = [(keepers.first, first), (keepers.second, second)];
    let lost = lost.into_iter().filter(|(_, lost)| *lost);
    for ip in lost
        .filter_map(|(ip, _)| ip)
        .filter(|ip| *ip != agent_ip(holder))
    {
        let n = (0..10).find(|n| agent_ip(*n) == ip).unwrap();
        world.at(Duration::ZERO, Change::KillAgent(n));
    }
    world.at(10 * MS, Change::AddBalancer);
    world.at(10 * MS, Change::RemoveBalancer(0));
    world.at(10 * MS, Change::RemoveBalancer(1));
    world.run_for(Duration::from_secs(5));
    all_answered(&world);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

#[rstest]
fn flows_are_found_after_all_agents_and_balancers_restarted(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 2);
    open_calls(&mut world, 14);
    restart_all(&mut world);
    world.run_for(Duration::from_secs(5));
    all_answered(&world);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// The paused server answers late. Whichever server's answer the caller acknowledges, the flow belongs to
/// that server only.
#[rstest]
#[case::wakes_soon(90)]
#[case::wakes_late(400)]
fn an_opening_is_offered_to_two_servers(#[case] wakes_after: u32, #[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 3, 0, 2);
    world.at(Duration::ZERO, Change::FreezeServer(0, true));
    world.at(wakes_after * MS, Change::FreezeServer(0, false));
    for n in 0..30 {
        world.call(n * 5 * MS, ORDERS_ADDRESS, 10 * MS);
    }
    world.run_for(Duration::from_secs(4));
    all_answered(&world);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
    assert!(
        world.steps.contains_key(&(Step::Unanswered, None)),
        "the server was not missed"
    );
}

/// Guards against callers that wait for their deadline although the end of the server is known.
#[rstest]
#[case::port_closed(&[])]
#[case::new_life(&[(100, Change::StartServer(0))])]
fn callers_are_told_of_a_server_that_is_gone(
    #[case] after: &[(u32, Change)],
    #[values(1, 2)] seed: u64,
) {
    let mut world = World::new(seed, 2, 0, 2);
    let flows = open_calls(&mut world, 4);
    let there = flows
        .iter()
        .filter(|f| world.holder(**f) == Some(0))
        .count();
    world.at(Duration::ZERO, Change::CrashServer(0));
    for (ms, change) in after {
        world.at(*ms * MS, *change);
    }
    world.run_for(Duration::from_secs(5));
    assert!(there > 0, "no flow was at the server");
    assert_eq!(
        world.outcomes().get(&Some(Outcome::BrokenOff)),
        Some(&there)
    );
    assert_eq!(world.outcomes().get(&Some(Outcome::GaveUp)), None);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

fn broken_off(world: &World) -> usize {
    let broken = world.outcomes().get(&Some(Outcome::BrokenOff)).copied();
    broken.unwrap_or(0)
}

/// A host loses power and restarts without knowledge of the flows that were open there, while balancers and
/// keepers still send their packets to it.
#[rstest]
fn callers_are_told_of_flows_that_ended_with_their_host(
    #[values(1, 2, 3, 4, 10, 14, 23)] seed: u64,
) {
    let mut world = World::new(seed, 7, 3, 2);
    let flows = open_calls(&mut world, 14);
    let lost = world.holder(flows[0]).unwrap();
    let there = flows.iter().filter(|f| world.holder(**f) == Some(lost));
    let there = there.count();
    world.at(Duration::ZERO, Change::LosePower(lost));
    world.at(300 * MS, Change::RegainPower(lost));
    // Agents send heartbeats every 250 ms, in ticks of 20 ms, and callers retransmit after 200 ms.
    world.run_for(300 * MS + 270 * MS + 200 * MS + 20 * MS);
    assert_eq!(broken_off(&world), there, "{:?}", world.steps);
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.outcomes().get(&Some(Outcome::GaveUp)), None);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// All hosts lose power at once.
#[rstest]
fn callers_are_told_after_all_hosts_lost_power(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 2);
    let flows = open_calls(&mut world, 14);
    lose_all_power(&mut world, &[]);
    world.at(100 * MS, Change::AddBalancer);
    // One second after their start agents assume that they know each other.
    world.run_for(100 * MS + Duration::from_secs(1) + 250 * MS);
    assert_eq!(broken_off(&world), flows.len(), "{:?}", world.steps);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// A search queries all agents, whatever the size of the fleet.
#[rstest]
#[case::tens(60)]
#[case::more_than_a_hundred(120)]
fn callers_are_told_in_fleets_of_any_size(#[case] agents: usize) {
    let mut world = World::new(1, agents - 20, 20, 2);
    world.run_for(Duration::from_secs(1));
    let flows = open_calls(&mut world, 200);
    let lost = world.holder(flows[0]).unwrap();
    let there = flows.iter().filter(|f| world.holder(**f) == Some(lost));
    let there = there.count();
    world.at(Duration::ZERO, Change::LosePower(lost));
    world.at(300 * MS, Change::RegainPower(lost));
    world.run_for(Duration::from_millis(1500));
    assert_eq!(broken_off(&world), there, "{:?}", world.steps);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Cuts the power of all hosts. Their agents start again after 100 ms. Hosts in `leaving` have a server that
/// was draining and does not report any more.
fn lose_all_power(world: &mut World, leaving: &[usize]) {
    lose_all_power_until(world, leaving, |_| 100 * MS);
}

/// Like [`lose_all_power`], with a separate restart time for each host.
fn lose_all_power_until(
    world: &mut World,
    leaving: &[usize],
    back_after: impl Fn(u32) -> Duration,
) {
    for (n, host) in (0..10).zip(0..) {
        world.at(Duration::ZERO, Change::LosePower(n));
        let back = if leaving.contains(&n) {
            Change::RegainPowerUnreported(n)
        } else {
            Change::RegainPower(n)
        };
        world.at(back_after(host), back);
    }
    world.at(Duration::ZERO, Change::RemoveBalancer(0));
    world.at(Duration::ZERO, Change::RemoveBalancer(1));
}

/// No server survived the power failure, so no agent has to wait for others that may appear late: agents send
/// heartbeats every 250 ms, detect the common start after 250 ms more, and callers retransmit after 200 ms.
#[rstest]
fn callers_are_told_soon_after_all_hosts_lost_power(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 2);
    let flows = open_calls(&mut world, 14);
    lose_all_power(&mut world, &[]);
    world.at(100 * MS, Change::AddBalancer);
    world.run_for(100 * MS + 250 * MS + 250 * MS + 200 * MS);
    assert_eq!(broken_off(&world), flows.len(), "{:?}", world.steps);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// After a power failure of all hosts, agents of draining servers start and then fail without a leave notice,
/// each `(ms, host)` after that time. Callers' packets arrive again from `heard_ms`, when the last of these
/// agents has failed. Flows lost in the power failure must be reset all the same.
fn callers_are_told_without(taken_away: [(u32, usize); 3], heard_ms: u32, seed: u64) {
    let mut world = World::new(seed, 7, 3, 2);
    let flows = open_calls(&mut world, 14);
    lose_all_power(&mut world, &taken_away.map(|(_, n)| n));
    for (after, n) in taken_away {
        world.at(after * MS, Change::LosePower(n));
    }
    world.at(heard_ms * MS, Change::AddBalancer);
    world.run_for(heard_ms * MS + 500 * MS);
    assert_eq!(broken_off(&world), flows.len(), "{:?}", world.steps);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// The agents have had the time to report that they have no local server.
#[rstest]
fn callers_are_told_though_agents_fell_silent(#[values(1, 2, 3)] seed: u64) {
    callers_are_told_without([(1800, 2), (2000, 5), (2200, 8)], 2500, seed);
}

/// The agents have not had that time. All of them took part in the common start, so no earlier flow is open
/// there.
#[rstest]
fn callers_are_told_though_agents_left_at_once(#[values(1, 2, 3)] seed: u64) {
    callers_are_told_without([(700, 2), (900, 5), (1000, 8)], 1200, seed);
}

/// Hosts return one after the other, so that the first agents count as knowing all others before all are
/// there. One whose server was draining fails before it could report that it has no local server. The common
/// start must still be detected.
#[rstest]
fn callers_are_told_though_hosts_came_back_in_turn(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 2);
    let flows = open_calls(&mut world, 14);
    lose_all_power_until(&mut world, &[2], |host| (host + 1) * 100 * MS);
    world.at(1500 * MS, Change::LosePower(2));
    world.at(1500 * MS, Change::AddBalancer);
    world.run_for(1500 * MS + 500 * MS);
    assert_eq!(broken_off(&world), flows.len(), "{:?}", world.steps);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// A host whose server was draining returns and fails again after it has sent heartbeats to control hosts
/// only. Only what it reported to them shows that no earlier flow is open there.
#[rstest]
#[case::fresh(true)]
#[case::nothing_is_known_of_it(false)]
fn callers_are_told_though_a_host_greeted_no_agent(
    #[case] is_fresh: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::new(seed, 7, 3, 2);
    let flows = open_calls(&mut world, 14);
    world.fresh_agents.extend(is_fresh.then_some(2));
    lose_all_power(&mut world, &[]);
    world.at(100 * MS, Change::LosePower(2));
    world.at(1200 * MS, Change::AddBalancer);
    world.run_for(1200 * MS + 500 * MS);
    let expected = if is_fresh { flows.len() } else { 0 };
    assert_eq!(broken_off(&world), expected, "{:?}", world.steps);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Servers outlive their agents, and one host stays down, so that no agent can deny its flows. Callers
/// continue to retransmit. Each server should be queried about such a flow only once, since it bounces the
/// first packet.
#[rstest]
fn a_server_is_asked_once_for_a_flow(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 2);
    let flows = open_calls(&mut world, 14);
    let lost = world.holder(flows[0]).unwrap();
    let there = flows.iter().filter(|f| world.holder(**f) == Some(lost));
    let there = u32::try_from(there.count()).unwrap();
    restart_all(&mut world);
    world.at(Duration::ZERO, Change::LosePower(lost));
    world.run_for(Duration::from_secs(4));
    let bounced = world.steps.get(&(Step::Bounced, None)).copied();
    let searched = world.steps.get(&(Step::Searched, None)).copied();
    let servers = 9;
    // Open flows are searched for as well, until they are found.
    assert!(
        bounced <= Some(14 * servers),
        "{bounced:?}, {searched:?} searches, {there} flows lost"
    );
    assert!(searched >= Some(there * 5), "{searched:?}");
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
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
fn no_living_flow_is_broken_off(
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
    let mut world = World::new(seed, 3, 3, 2);
    if matches!(loss, Loss::AgentOfYoungServer) {
        for n in 0..3 {
            world.at(Duration::ZERO, Change::StartServer(n));
        }
        world.run_for(1200 * MS);
    }
    let flows = open_calls(&mut world, 6);
    let holder = world.holder(flows[0]).unwrap();
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
            world.set_map(moved);
            (None, None)
        }
        Loss::AgentOfYoungServer => (
            Some(Change::KillAgent(holder)),
            Some((50, Change::StartAgent(holder))),
        ),
    };
    if let Some(change) = begin {
        world.at(Duration::ZERO, change);
    }
    if let Some((ms, change)) = end {
        world.at(ms * MS, change);
    }
    world.at(10 * MS, Change::AddBalancer);
    world.at(20 * MS, Change::RemoveBalancer(0));
    world.at(20 * MS, Change::RemoveBalancer(1));
    for other in (0..6).filter(|n| others_restart && *n != holder) {
        world.at(30 * MS, Change::KillAgent(other));
        world.at(80 * MS, Change::StartAgent(other));
    }
    world.run_for(Duration::from_secs(5));
    assert_eq!(broken_off(&world), 0, "{:?}", world.steps);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// A search reaches every server. If a server resets flows that it does not hold, the reset must not reach
/// the caller.
#[rstest]
fn a_server_that_resets_foreign_flows_harms_nobody(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 7, 3, 2);
    open_calls(&mut world, 14);
    for n in 0..10 {
        world.at(Duration::ZERO, Change::ResetUnknown(n));
    }
    restart_all(&mut world);
    world.run_for(Duration::from_secs(5));
    all_answered(&world);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Restarted agents deliver packets in a search to their servers. If such a server then stops, flows that are
/// open at other servers must not be reset with it; its own flows must be.
#[rstest]
fn a_server_that_ends_during_a_search_takes_no_foreign_flow_with_it(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 8)] ends: usize,
) {
    let mut world = World::new(seed, 7, 3, 2);
    world.limit = Duration::from_secs(12);
    let flows = (0..14).map(|_| world.call(Duration::ZERO, ORDERS_ADDRESS, 5000 * MS));
    let flows: Vec<_> = flows.collect();
    world.run_for(50 * MS);
    let there = flows.iter().filter(|f| world.holder(**f) == Some(ends));
    let there = there.count();
    world.at(Duration::ZERO, Change::FreezeServer(ends, true));
    restart_all(&mut world);
    world.at(600 * MS, Change::FreezeServer(ends, false));
    world.at(1700 * MS, Change::FreezeServer(ends, true));
    world.at(1800 * MS, Change::CrashServer(ends));
    world.run_for(Duration::from_secs(13));
    let answered = world.outcomes().get(&Some(Outcome::Answered)).copied();
    let others = 14 - there;
    assert!(answered >= Some(others), "{:?}", world.outcomes());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// All agents are overloaded and redirect opening packets; no packet may circulate between them.
#[test]
fn redirections_form_no_ring() {
    let mut world = World::new(5, 3, 0, 2);
    for n in 0..3 {
        world.at(Duration::ZERO, Change::SlowServer(n, 40));
    }
    world.calls(Duration::from_secs(2), 300.0, ORDERS_ADDRESS);
    world.run_for(Duration::from_secs(5));
    let steps = &world.steps;
    let judged: u32 = steps.values().sum();
    let calls = u32::try_from(world.callers.len()).unwrap();
    // For each of three copies: a placement, at most three hops, and a refusal or an acceptance.
    assert!(
        judged < calls * 3 * 6,
        "{judged} decisions for {calls} calls: {steps:?}"
    );
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}
