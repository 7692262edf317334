//! Health checks of the fabric: only balancers whose check passes get packets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cluster::{Fabrics, LocalBalancer};

/// Time between two health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a task that checks the balancers' health and updates the fabrics until it is aborted.
pub fn start_health_checks(
    balancers: Vec<Arc<LocalBalancer>>,
    fabrics: Arc<Fabrics>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let healthy: Vec<_> = balancers.iter().filter(|b| b.is_healthy()).collect();
            for (service, fabric) in fabrics.all() {
                let upstreams = healthy.iter().filter_map(|b| b.bound_for(service));
                fabric.set_balancers(upstreams.collect::<Vec<SocketAddr>>());
            }
            sleep(CHECK_INTERVAL).await;
        }
    })
}
