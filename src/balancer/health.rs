//! Whether the fabric may send packets to this balancer.
//!
//! The fabric learns it from the health check; agents learn it from the balancer's record. A balancer
//! that leaves goes on forwarding until its linger deadline, because the fabric takes some time to
//! notice. One that is isolated stops forwarding at once: what it knows may have been overtaken.

use std::io;

use derive_more::Display;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_spread::ServingStatus;
use tokio::sync::watch;

use super::Balancer;

/// A balancer's answer to the fabric's health check.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum FabricHealth {
    /// No configuration has come yet.
    #[default]
    #[display("starting")]
    Starting,
    /// It takes packets.
    #[display("serving")]
    Serving,
    /// Its availability zone was taken out. What arrives is still forwarded.
    #[display("zone-out")]
    ZoneOut,
    /// It is stopping. What arrives is still forwarded.
    #[display("leaving")]
    Leaving,
    /// It is cut off from the cluster. What arrives is dropped.
    #[display("isolated")]
    Isolated,
}

impl FabricHealth {
    /// Whether the health check passes.
    pub const fn is_healthy(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Whether what arrives is forwarded.
    pub const fn is_forwarding(self) -> bool {
        !matches!(self, Self::Isolated)
    }
}

/// Keeps the balancer's health up to date.
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
        set(&balancer.health, health);
        tokio::select! {
            Ok(()) = config.changed() => {}
            Ok(()) = leaving.changed() => {}
            Ok(()) = standing.changed() => {}
            else => return Ok(()),
        }
    }
}

fn set(health: &watch::Sender<FabricHealth>, now: FabricHealth) {
    let changed = health.send_if_modified(|known| {
        let changed = *known != now;
        *known = now;
        changed
    });
    if changed {
        log::info!("the fabric's health check is answered with: {now}");
    }
}
