//! Keeps packet steering and the return path up to date with the agent's view of the cluster.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use dogwoodrill_core::flow_load::OpenFlowsReport;
use dogwoodrill_core::flow_table::Peer;
use dogwoodrill_core::ids::ServiceId;
use dogwoodrill_core::return_ring::ReturnRing;
use dogwoodrill_core::routing::ServiceTable;
use dogwoodrill_core::steering::{Steering, SteeringDecision, SteeringOptions, TunnelPacket};
use dogwoodrill_core::time::Now;
use tokio::time::sleep;

use super::Agent;
use super::flow::HANDSHAKE_TIMEOUT;
use crate::context::wall_clock;

/// Minimum interval between two refreshes.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired state is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The packet steering of an agent, shared by its socket and the tasks that update it. It is empty until the
/// backend server has announced itself. The lock is taken by the one task that reads packets and, rarely, by
/// updates.
#[derive(Debug, Default)]
pub struct SharedSteering(Mutex<Option<Steering>>);

impl SharedSteering {
    /// Applies a peer's count of open flows.
    pub fn on_report(&self, report: OpenFlowsReport) {
        if let Some(steering) = &mut *self.lock() {
            steering.on_report(report);
        }
    }

    /// Decides what to do with a packet. `open_flows` is the number of flows that this agent terminates now.
    pub fn on_packet(&self, packet: TunnelPacket, open_flows: u32) -> Option<SteeringDecision> {
        let mut steering = self.lock();
        let steering = steering.as_mut()?;
        Some(steering.on_packet(now(), packet, open_flows))
    }

    fn lock(&self) -> MutexGuard<'_, Option<Steering>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now() -> Now {
    Now {
        instant: Instant::now(),
        wall: wall_clock(),
    }
}

/// Creates the steering for the server `own` of `service` and keeps it up to date.
pub async fn keep_updated(agent: &Agent, own: Peer, service: ServiceId) -> Infallible {
    let incarnation = agent.cx.incarnation.short();
    let options = SteeringOptions {
        own,
        incarnation,
        flow_timeout: HANDSHAKE_TIMEOUT,
    };
    let mut changes = agent.cluster.changes();
    let mut announcements = agent.announcements.subscribe();
    let mut steering = Steering::new(options);
    refresh(agent, &mut steering, service);
    *agent.steering.lock() = Some(steering);
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            _ = announcements.changed() => {}
            () = sleep(EXPIRY_INTERVAL) => {}
        }
        changes.mark_unchanged();
        announcements.mark_unchanged();
        if let Some(steering) = &mut *agent.steering.lock() {
            refresh(agent, steering, service);
        }
        sleep(MIN_REFRESH_INTERVAL).await;
    }
}

fn refresh(agent: &Agent, steering: &mut Steering, service: ServiceId) {
    let config = agent.cluster.config();
    let directory = agent.cluster.directory();
    let table = ServiceTable::build(&directory, &config, service);
    let ring = ReturnRing::build(&directory, &config, &agent.cx.zone);
    drop(directory);
    let draining = agent.is_draining();
    agent.return_path.set(ring);
    steering.on_table(now(), Arc::new(table));
    steering.on_draining(draining);
    steering.on_zone(config.is_zone_in(&agent.cx.zone));
    if let Some(profile) = config.profile_of(service) {
        steering.on_slack(profile.flow_slack);
    }
    steering.on_tick(now());
    agent.draining.send_if_modified(|current| {
        let changed = *current != draining;
        *current = draining;
        changed
    });
}
