//! Planned shutdown of an agent.
//!
//! The agent publishes a record with the state draining and sends a GOAWAY on every flow. When the last flow
//! has ended, or after the drain timeout of the service's profile, it publishes the state left and stops. A
//! drain requested by the backend server works the same way but without a timeout: flows stay open as long
//! as they need while the process runs.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::directory::{MemberState, Record};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::Agent;

/// Time to send the last record and the last packets before the process ends.
const SEND_GRACE: Duration = Duration::from_millis(200);

/// Waits for `stop`, drains the agent, and returns when the process may end.
pub async fn run(agent: Arc<Agent>, stop: CancellationToken) -> Result<(), Infallible> {
    stop.cancelled().await;
    if let Some(limit) = start_drain(&agent) {
        if timeout(limit, agent.flows.wait_until_none()).await.is_err() {
            let remaining = agent.flows.count();
            log::warn!("the drain timeout has passed: closing {remaining} open flows");
        }
        publish_left(&agent);
    }
    agent.shutdown.cancel();
    sleep(SEND_GRACE).await;
    Ok(())
}

/// Starts draining and returns the drain timeout, or `None` if no server of a committed service was announced.
fn start_drain(agent: &Agent) -> Option<Duration> {
    let mut announcement = agent.announcements.borrow().clone()?;
    let config = agent.cluster.config();
    let service = config.service_named(&announcement.service)?;
    let limit = config.profile_of(service.id)?.drain_timeout;
    log::info!("stopping: open flows are drained for up to {limit:?}");
    announcement.draining = true;
    agent.announcements.send_replace(Some(announcement));
    Some(limit)
}

fn publish_left(agent: &Agent) {
    let own = agent.cluster.own_record().borrow().clone();
    if let Some(record) = own {
        agent.cluster.publish(Record {
            state: MemberState::Left,
            sequence: record.sequence.next(),
            ..record
        });
    }
}
