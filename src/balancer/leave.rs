//! The planned stop of a balancer.
//!
//! First the health check fails and the record says that the balancer drains, so that the fabric and
//! the agents turn to others. Until the linger deadline it forwards what still comes; then it says
//! that it has left, and stops.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::directory::MemberState;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::Balancer;

/// Time in which the last record leaves the process.
const SEND_GRACE: Duration = Duration::from_millis(200);

/// Waits for `stop`, and returns when the process may end.
pub async fn run(balancer: Arc<Balancer>, stop: CancellationToken) -> Result<(), Infallible> {
    stop.cancelled().await;
    let deadline = Instant::now() + balancer.linger;
    log::info!("leaving: forwarding goes on for {:?}", balancer.linger);
    balancer.leaving.send_replace(true);
    balancer.publish(MemberState::Draining);
    sleep_until(deadline).await;
    balancer.publish(MemberState::Left);
    sleep(SEND_GRACE).await;
    Ok(())
}
