//! Health of the balancer, which determines whether the fabric sends packets to it.
//!
//! The fabric reads it through the health check; agents read it from the balancer's record. A leaving balancer
//! goes on forwarding until its linger deadline, because the fabric needs some time to react. An isolated
//! balancer stops forwarding immediately, because its view of the cluster may be outdated.

use std::io;

use derive_more::Display;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_spread::ServingStatus;
use tokio::sync::watch;

use super::Balancer;

/// Result of the fabric's health check of a balancer.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum FabricHealth {
    /// No configuration has been received yet.
    #[default]
    #[display("starting")]
    Starting,
    /// The balancer accepts packets.
    #[display("serving")]
    Serving,
    /// Its availability zone is out. Packets that arrive are still forwarded.
    #[display("zone-out")]
    ZoneOut,
    /// The balancer is stopping. Packets that arrive are still forwarded.
    #[display("leaving")]
    Leaving,
    /// The balancer is isolated from the cluster. Packets that arrive are dropped.
    #[display("isolated")]
    Isolated,
}

impl FabricHealth {
    /// Returns whether the health check passes.
    pub const fn is_healthy(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Returns whether packets that arrive are forwarded.
    pub const fn is_forwarding(self) -> bool {
        !matches!(self, Self::Isolated)
    }
}

/// Updates the balancer's health whenever the configuration, the isolation status or `leaving` changes.
pub async fn run(balancer: &Balancer) -> io::Result<()> {
    let mut config = balancer.cluster.config_changes();
    let mut leaving = balancer.leaving.subscribe();
    let mut standing = balancer.cluster.serving_status();
    loop {
        let health = {
            let config = config.borrow_and_update();
            let standing = *standing.borrow_and_update();
            let leaving = *leaving.borrow_and_update();
            if standing == ServingStatus::Isolated {
                FabricHealth::Isolated
            } else if leaving {
                FabricHealth::Leaving
            } else if config.index == LogIndex::default() {
                FabricHealth::Starting
            } else if config.is_zone_in(&balancer.cx.zone) {
                FabricHealth::Serving
            } else {
                FabricHealth::ZoneOut
            }
        };
        update(&balancer.health, health);
        tokio::select! {
            Ok(()) = config.changed() => {}
            Ok(()) = leaving.changed() => {}
            Ok(()) = standing.changed() => {}
            else => return Ok(()),
        }
    }
}

fn update(health: &watch::Sender<FabricHealth>, now: FabricHealth) {
    let changed = health.send_if_modified(|current| {
        let changed = *current != now;
        *current = now;
        changed
    });
    if changed {
        log::info!("health check status changed to: {now}");
    }
}
