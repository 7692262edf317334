//! Publishes the directory record of this agent's backend server from its announcements.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};
use dogwoodrill_core::ids::Sequence;
use snafu::{ResultExt, Snafu};

use super::Agent;
use super::announce::{Announcement, BootId};
use crate::context::{Cx, wall_clock};

/// Time within which a record reaches every balancer. New flows are assigned to a server only after this time.
pub const SPREAD_TIME: Duration = Duration::from_millis(500);

/// Error returned when the local address of a bound socket cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("cannot read the address of a bound socket"))]
pub struct NoAddress {
    source: std::io::Error,
}

/// Publishes the record, and publishes it again after each change of the announcement or the configuration.
pub async fn run(agent: &Agent) -> Result<(), NoAddress> {
    let bound = agent.tunnel.local_addr().context(NoAddressSnafu)?;
    let mut publisher = Publisher {
        tunnel: agent.advertised_tunnel.unwrap_or(bound),
        peer: agent.peer.local_addr().context(NoAddressSnafu)?,
        cx: agent.cx.clone(),
        boot_id: None,
        last_published: None,
    };
    let mut announcements = agent.announcements.subscribe();
    let mut config = agent.cluster.config_changes();
    loop {
        let announcement = announcements.borrow_and_update().clone();
        let committed = config.borrow_and_update().clone();
        if let Some(record) = announcement.and_then(|a| publisher.record(&a, &committed)) {
            agent.cluster.publish(record);
        }
        tokio::select! {
            Ok(()) = announcements.changed() => {}
            Ok(()) = config.changed() => {}
            else => return Ok(()),
        }
    }
}

struct Publisher {
    cx: Cx,
    tunnel: SocketAddr,
    peer: SocketAddr,
    boot_id: Option<BootId>,
    last_published: Option<Record>,
}

impl Publisher {
    /// Returns the record to publish now, or `None` if the service is not committed yet or nothing has
    /// changed.
    fn record(&mut self, announcement: &Announcement, config: &CommittedConfig) -> Option<Record> {
        let service = config.service_named(&announcement.service)?;
        let profile = config.profile_of(service.id)?;
        let now = wall_clock();
        let restarted = self.boot_id.as_ref() != Some(&announcement.boot_id);
        let previous = self.last_published.as_ref();
        let same_boot = previous.filter(|_| !restarted);
        let ramp_until = match same_boot.map(|r| &r.role) {
            Some(Role::BackendServer { ramp_until, .. }) => *ramp_until,
            _ => now.plus(profile.cold_start),
        };
        let mut record = Record {
            member: MemberId::BackendServer(announcement.server),
            zone: self.cx.zone.clone(),
            incarnation: self.cx.incarnation,
            sequence: previous.map_or_else(Sequence::default, |r| r.sequence),
            state: member_state(announcement),
            tunnel: self.tunnel,
            peer: self.peer,
            eligible_at: previous.map_or_else(|| now.plus(SPREAD_TIME), |r| r.eligible_at),
            role: Role::BackendServer {
                service: service.id,
                slots: announcement.slots,
                ramp_until,
            },
        };
        if previous == Some(&record) {
            return None;
        }
        record.sequence = record.sequence.next();
        self.boot_id = Some(announcement.boot_id.clone());
        self.last_published = Some(record.clone());
        Some(record)
    }
}

const fn member_state(announcement: &Announcement) -> MemberState {
    if announcement.draining {
        MemberState::Draining
    } else {
        MemberState::Serving
    }
}
