//! Runs the control host's node, linked to the other control hosts of the current membership.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::handle::Handle;
use crate::cluster::Cluster;
use crate::cluster::driver::{self, DriveError};
use crate::context::Cx;

/// Interval between two checks of the membership.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the node, and restarts it when the members have changed.
pub(super) async fn run(cx: &Cx, cluster: &Cluster, handle: &Handle) -> Result<(), DriveError> {
    let mut others = BTreeSet::new();
    loop {
        let peers: Vec<_> = others.iter().copied().collect();
        tokio::select! {
            ended = Box::pin(driver::run_control_node(cx, cluster, &peers)) => return ended,
            changed = changed(cx, handle, &others) => others = changed,
        }
    }
}

/// Waits until the other members' addresses differ from `known`, and returns them.
async fn changed(cx: &Cx, handle: &Handle, known: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
    loop {
        if let Ok(own) = handle.host_membership().await {
            let members = own.membership.members().iter();
            let others = members.filter(|m| m.node != cx.node);
            let now: BTreeSet<_> = others.map(|m| m.address).collect();
            if now != *known {
                return now;
            }
        }
        sleep(MEMBER_CHECK_INTERVAL).await;
    }
}
