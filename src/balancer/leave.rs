//! Planned shutdown of a balancer.
//!
//! First the health check fails and a record with the state draining is published, so that the fabric and the
//! agents use other balancers. Until the linger deadline the balancer forwards the packets that still arrive.
//! Then it publishes the state left and stops.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::directory::MemberState;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::Balancer;

/// Time to send the last record before the process ends.
const SEND_GRACE: Duration = Duration::from_millis(200);

/// Waits for `stop`, then lingers, and returns when the process may end.
pub async fn run(balancer: Arc<Balancer>, stop: CancellationToken) -> Result<(), Infallible> {
    stop.cancelled().await;
    let deadline = Instant::now() + balancer.linger;
    log::info!("stopping: forwarding continues for {:?}", balancer.linger);
    balancer.leaving.send_replace(true);
    balancer.publish(MemberState::Draining);
    sleep_until(deadline).await;
    balancer.publish(MemberState::Left);
    sleep(SEND_GRACE).await;
    Ok(())
}
