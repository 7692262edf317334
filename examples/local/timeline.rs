//! Planned changes and failures while the callers are running.

use std::time::Duration;

use dogwoodrill_core::config::ZoneStatus;
use tokio::time::{Instant, sleep, sleep_until};

use crate::Failure;
use crate::cluster::{LocalCluster, LocalServer, REMOVED_ZONE};
use crate::tally::Tally;

/// Time after which a removed zone must receive no more packets.
const ZONE_GRACE: Duration = Duration::from_secs(3);
/// Time after which a draining server must receive no new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Times of the events, in seconds from the start of the load.
mod at {
    pub const BALANCER_STOPS: u64 = 4;
    pub const BALANCER_DIES: u64 = 8;
    pub const SERVER_DRAINS: u64 = 12;
    pub const SERVER_RESTARTS: u64 = 18;
    pub const CONTROL_DIES: u64 = 22;
    pub const ZONE_OUT: u64 = 24;
    pub const ZONE_IN: u64 = 34;
    pub const END: u64 = 44;
}

/// Indexes into the cluster's balancers and servers, each outside the removed zone.
const STOPPED_BALANCER: usize = 0;
const KILLED_BALANCER: usize = 2;
const DRAINED_SERVER: usize = 3;
const RESTARTED_SERVER: usize = 5;

/// Measurements taken during the events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurements {
    /// Packets sent to the removed zone's agents after [`ZONE_GRACE`].
    pub packets_to_removed_zone: u64,
    /// Requests that the draining server received after [`DRAIN_GRACE`].
    pub requests_to_drained_server: u64,
}

/// Runs all events in order.
pub async fn run(cluster: &LocalCluster, tally: &Tally) -> Result<Measurements, Failure> {
    let start = Instant::now();
    let mut measured = Measurements::default();
    at_second(start, at::BALANCER_STOPS, "a balancer stops").await;
    cluster.balancers[STOPPED_BALANCER].stop();
    at_second(start, at::BALANCER_DIES, "a balancer is killed").await;
    cluster.balancers[KILLED_BALANCER].kill();
    at_second(start, at::SERVER_DRAINS, "a server drains").await;
    measured.requests_to_drained_server = drain(&cluster.servers[DRAINED_SERVER], tally).await?;
    at_second(start, at::SERVER_RESTARTS, "a server restarts cold").await;
    restart(&cluster.servers[RESTARTED_SERVER], tally).await?;
    at_second(
        start,
        at::CONTROL_DIES,
        "the leader of the control hosts is killed",
    )
    .await;
    cluster.kill_control_leader().await?;
    at_second(start, at::ZONE_OUT, "a zone is taken out").await;
    let zone = Zone::take_out(cluster, tally).await?;
    sleep(ZONE_GRACE).await;
    let before = zone.packets();
    at_second(start, at::ZONE_IN, "the zone is put back in").await;
    measured.packets_to_removed_zone = zone.packets() - before;
    cluster.set_zone(REMOVED_ZONE, ZoneStatus::In).await?;
    at_second(start, at::END, "the callers finish").await;
    Ok(measured)
}

async fn at_second(start: Instant, second: u64, what: &str) {
    sleep_until(start + Duration::from_secs(second)).await;
    println!("{second:>3} s  {what}");
}

/// Drains a server and returns the number of requests that it received after [`DRAIN_GRACE`].
async fn drain(server: &LocalServer, tally: &Tally) -> Result<u64, Failure> {
    let id = server.server.options().id.to_string();
    tally.counts().drained_servers.insert(id);
    server.drain().await?;
    sleep(DRAIN_GRACE).await;
    let before = server.server.counters().requests;
    sleep(DRAIN_GRACE).await;
    Ok(server.server.counters().requests - before)
}

async fn restart(server: &LocalServer, tally: &Tally) -> Result<(), Failure> {
    let id = server.server.options().id.to_string();
    tally.counts().restarted_servers.insert(id);
    server.server.restart();
    server.announce().await
}

struct Zone<'a> {
    servers: Vec<&'a LocalServer>,
}

impl<'a> Zone<'a> {
    async fn take_out(cluster: &'a LocalCluster, tally: &Tally) -> Result<Self, Failure> {
        let in_zone = |s: &&LocalServer| s.zone == REMOVED_ZONE;
        let servers: Vec<_> = cluster.servers.iter().filter(in_zone).collect();
        let ids = servers.iter().map(|s| s.server.options().id.to_string());
        tally.counts().servers_in_removed_zone.extend(ids);
        cluster.set_zone(REMOVED_ZONE, ZoneStatus::Out).await?;
        Ok(Self { servers })
    }

    fn packets(&self) -> u64 {
        self.servers.iter().map(|s| s.packets()).sum()
    }
}
