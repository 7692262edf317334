//! The control host's part in the spread: linked to the other control hosts, whoever they are by now.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::handle::Handle;
use crate::cluster::Cluster;
use crate::cluster::driver::{self, DriveError};
use crate::context::Cx;

/// Time between two looks at who the members are.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Takes part in the spread, and begins anew when the members have changed.
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

/// The addresses of the other members, once they are others than `known`.
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
        sleep(LOOK_INTERVAL).await;
    }
}
