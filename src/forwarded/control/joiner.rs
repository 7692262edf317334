//! How a control host becomes a member of a cluster without an operator: initial members bootstrap it, and a host
//! that is no voter yet, or that no leader sends messages to, requests to join.
//!
//! A host with an empty disk is not a member yet. A member that did not respond for long may have been replaced; the
//! leader then sends it no messages any more, so the host cannot learn of it other than by a join request. A request
//! of a host that still is a member changes nothing.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_consensus::store::file::{ClusterId, Identity};
use dogwoodrill_consensus::{Member, MemberId, MemberRole, Membership};
use dogwoodrill_core::control_status::ControlHost;
use dogwoodrill_core::forwarded::node::{ControlHostSettings, NodeAddress, NodeRole, NodeSettings};
use dogwoodrill_core::ids::NodeId;
use dogwoodrill_wire::proto::consensus as consensus_wire;
use dogwoodrill_wire::proto::consensus::consensus_client::ConsensusClient;
use dogwoodrill_wire::proto::consensus::join_response::Answer;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use siphasher::sip::SipHasher13;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::node_id_from_ip;
use crate::context::Cx;
use crate::control::handle::{Handle, HostMembership, Input};
use crate::transport;

/// Interval between two attempts to bootstrap a cluster, or between two join requests to one control host.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the list of control hosts is refreshed.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a join request to one control host.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the addresses of the initial members of the cluster if this host is one of them, else `None`.
pub(super) fn initial_members(
    settings: &NodeSettings,
    host_settings: &ControlHostSettings,
) -> Option<Vec<SocketAddr>> {
    let is_initial_member = host_settings.bootstrap && settings.seeds.contains(&settings.ip);
    let seeds = settings.seeds.iter().collect::<BTreeSet<_>>().into_iter();
    let addresses = seeds.map(|ip| SocketAddr::from((*ip, settings.inner_port)));
    is_initial_member.then(|| addresses.collect())
}

/// Returns the member id of an initial member. It is derived from the address, so that each initial member
/// can write the first membership without contacting the others. Disks that are initialized later get a
/// random id.
pub(super) fn initial_member_id(address: SocketAddr) -> MemberId {
    MemberId::new(hash_addresses(&[address]).max(1))
}

fn hash_addresses(addresses: &[SocketAddr]) -> u64 {
    let mut hasher = SipHasher13::new();
    for address in addresses {
        hasher.write(address.to_string().as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}

/// The outcome of a join request.
enum JoinOutcome {
    Accepted,
    Refused {
        reason: String,
        /// The members known to the control host that refused.
        members: Membership,
    },
}

/// Bootstraps the cluster or joins it, and then keeps the list of control hosts up to date.
#[derive(Debug)]
pub(super) struct Joiner {
    pub(super) cx: Cx,
    pub(super) handle: Handle,
    pub(super) own: ControlHost,
    pub(super) initial_members: Option<Vec<SocketAddr>>,
    pub(super) members: watch::Sender<Arc<[NodeAddress]>>,
}

impl Joiner {
    /// Runs until the future is dropped. While the host is a voter and hears from a leader, only the list of control
    /// hosts is refreshed.
    pub(super) async fn run(self, seeds: watch::Receiver<Arc<[NodeAddress]>>) {
        let mut requests = JoinRequests::new(&self);
        loop {
            if let Ok(host_membership) = self.handle.host_membership().await {
                let is_in_cluster = host_membership.identity.cluster.is_some();
                if is_in_cluster {
                    self.members
                        .send_replace(node_addresses(&host_membership.membership));
                }
                match &self.initial_members {
                    _ if is_settled(&host_membership) => {
                        requests.cancel();
                        sleep(MEMBERS_REFRESH_INTERVAL).await;
                    }
                    Some(initial_members) if !is_in_cluster => {
                        self.bootstrap(initial_members).await;
                    }
                    _ => {
                        // The guard must not be held across the requests, because it blocks writers of the
                        // seeds.
                        let known_seeds = seeds.borrow().clone();
                        requests.send_to_all(&host_membership, &known_seeds).await;
                        continue;
                    }
                }
            }
            sleep(JOIN_RETRY_INTERVAL).await;
        }
    }

    async fn bootstrap(&self, initial_members: &[SocketAddr]) {
        let members = initial_members.iter().map(|address| Member {
            id: initial_member_id(*address),
            role: MemberRole::Voter,
            replaces: None,
            node: match address.ip() {
                IpAddr::V4(ip) => node_id_from_ip(ip),
                IpAddr::V6(_) => NodeId::default(),
            },
            address: *address,
        });
        let membership = Membership::new(members);
        let cluster = ClusterId::new(hash_addresses(initial_members).max(1));
        let input = Input::Bootstrap {
            membership,
            cluster: Some(cluster),
        };
        if let Err(e) = self.handle.send(input).await {
            log::warn!("cannot bootstrap the cluster: {e}");
        }
    }

    async fn request_join(&self, address: SocketAddr, identity: Identity) -> Option<JoinOutcome> {
        let member = Member {
            id: identity.host,
            role: MemberRole::Learner,
            replaces: None,
            node: self.own.node,
            address: self.own.address,
        };
        let request = consensus_wire::JoinRequest {
            member: Some((&member).into()),
            replaces_node: 0,
            cluster: identity.cluster.map_or(0, ClusterId::get),
        };
        let channel = transport::connect(&self.cx, address).await.ok()?;
        let mut client = ConsensusClient::new(channel);
        let answer = client.join(request).await.ok()?.into_inner().answer?;
        let reason = match answer {
            Answer::TakenIn(_) => return Some(JoinOutcome::Accepted),
            Answer::Refusal(reason) => reason,
        };
        let identity = client.identify(consensus_wire::IdentifyRequest {}).await;
        let members = identity.ok()?.into_inner().membership?.try_into().ok()?;
        Some(JoinOutcome::Refused { reason, members })
    }
}

/// A control host, and its answer to a join request; `None` without an answer.
type JoinAnswer = (SocketAddr, Option<JoinOutcome>);

/// The join requests in progress, at most one to each control host. They are sent to all at once, so that a host that
/// does not answer delays none of them. Only the leader can accept the host, and the leader need not be among the
/// seeds, so the members that a host returns receive a request too.
struct JoinRequests<'a> {
    joiner: &'a Joiner,
    pending: FuturesUnordered<BoxFuture<'a, JoinAnswer>>,
    addresses: BTreeSet<SocketAddr>,
}

impl<'a> JoinRequests<'a> {
    fn new(joiner: &'a Joiner) -> Self {
        Self {
            joiner,
            pending: FuturesUnordered::new(),
            addresses: BTreeSet::new(),
        }
    }

    /// Sends requests to the seeds and the known members, and handles the answers that arrive until the next
    /// requests are due.
    async fn send_to_all(&mut self, own: &HostMembership, seeds: &[NodeAddress]) {
        let due = Instant::now() + JOIN_RETRY_INTERVAL;
        let port = self.joiner.own.address.port();
        let seeds = seeds.iter().map(|s| SocketAddr::from((s.ip, port)));
        let members = own.membership.members().iter().map(|m| m.address);
        let is_member = own.membership.get(own.identity.host).is_some();
        let mut queried = BTreeSet::from([self.joiner.own.address]);
        for address in seeds.chain(members) {
            self.send(own.identity, address, &mut queried);
        }
        while let Ok(Some((address, outcome))) = timeout_at(due, self.pending.next()).await {
            self.addresses.remove(&address);
            match outcome {
                Some(JoinOutcome::Accepted) if is_member => {}
                Some(JoinOutcome::Accepted) => {
                    log::info!("control host {address} accepted the join request");
                }
                Some(JoinOutcome::Refused { reason, members }) => {
                    log::debug!("control host {address} refused the join request: {reason}");
                    for member in members.members() {
                        self.send(own.identity, member.address, &mut queried);
                    }
                }
                None => log::debug!("control host {address} did not answer"),
            }
        }
        sleep_until(due).await;
    }

    fn cancel(&mut self) {
        self.pending.clear();
        self.addresses.clear();
    }

    /// Sends a request to `address`, unless one was sent in this round or is in progress.
    fn send(
        &mut self,
        identity: Identity,
        address: SocketAddr,
        queried: &mut BTreeSet<SocketAddr>,
    ) {
        if queried.insert(address) && self.addresses.insert(address) {
            let request = self.joiner.request_join(address, identity);
            let answer =
                async move { (address, timeout(JOIN_TIMEOUT, request).await.ok().flatten()) };
            self.pending.push(Box::pin(answer));
        }
    }
}

/// Returns whether the host is a voter that hears from a leader. Until then, the members must know that it waits for a
/// place: the leader that has given it one may be lost before any other member knows of it.
fn is_settled(own: &HostMembership) -> bool {
    let id = own.identity.host;
    own.identity.cluster.is_some() && own.leader.is_some() && own.membership.is_voter(id)
}

fn node_addresses(membership: &Membership) -> Arc<[NodeAddress]> {
    let ips = membership
        .members()
        .iter()
        .filter_map(|m| match m.address.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        });
    let role = NodeRole::Control;
    ips.map(|ip| NodeAddress { ip, role }).collect()
}
