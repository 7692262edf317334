//! The planned stop of an agent.
//!
//! The record says that the server drains and every flow gets a GOAWAY. When the last flow has ended,
//! or at the drain deadline of the service's profile, the record says that the server has left, and
//! the agent stops. A drain that the backend server asked for is the same without the deadline: flows
//! live as long as they need while the process runs.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::directory::{MemberState, Record};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::Agent;

/// Time in which the last record and the last packets leave the process.
const SEND_GRACE: Duration = Duration::from_millis(200);

/// Waits for `stop`, and returns when the process may end.
pub async fn run(agent: Arc<Agent>, stop: CancellationToken) -> Result<(), Infallible> {
    stop.cancelled().await;
    if let Some(limit) = start_drain(&agent) {
        if timeout(limit, agent.flows.wait_until_none()).await.is_err() {
            let remaining = agent.flows.count();
            log::warn!("the drain deadline ends {remaining} open flows");
        }
        publish_left(&agent);
    }
    agent.shutdown.cancel();
    sleep(SEND_GRACE).await;
    Ok(())
}

/// Begins to drain; returns the time for it, or none where nothing was announced.
fn start_drain(agent: &Agent) -> Option<Duration> {
    let mut announcement = agent.announcements.borrow().clone()?;
    let config = agent.cluster.config();
    let service = config.service_named(&announcement.service)?;
    let limit = config.profile_of(service.id)?.drain_timeout;
    log::info!("leaving: open flows may go on for {limit:?}");
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
