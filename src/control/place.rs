//! How a host with an empty data folder becomes a member of a cluster: it bootstraps one with its
//! peers, waits until the bootstrapping host adds it, requests to replace a lost host, or finds that
//! its number is in use by another disk and stops.
//!
//! A new cluster is bootstrapped by the host with the lowest number, and only after every peer has
//! replied that it belongs to none. A host whose disk was wiped therefore cannot bootstrap a second
//! cluster; and since its disk has a new identity, it cannot vote in the first one either.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodrill_consensus::store::file::Identity;
use dogwoodrill_consensus::{Member, MemberId, MemberRole, Membership};
use dogwoodrill_core::control_status::ControlHost;
use dogwoodrill_core::ids::NodeId;
use dogwoodrill_wire::proto::consensus as wire;
use dogwoodrill_wire::proto::consensus::consensus_client::ConsensusClient;
use dogwoodrill_wire::proto::consensus::join_response::Answer;
use futures_util::future::join_all;
use snafu::{Snafu, ensure};
use tokio::time::{sleep, timeout};

use super::handle::{Handle, Input};
use super::members::cluster_id;
use crate::context::Cx;
use crate::transport;

/// Interval between two queries of the peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a peer has to reply.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a host cannot become a member.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum MembershipError {
    /// The cluster knows the number of this host with another disk.
    #[snafu(display(
        "the data folder of control host {node} is empty, but the cluster exists and knows this host with another disk; to give the host a new disk, start it with `replaces: {node}`"
    ))]
    DataFolderEmpty {
        /// The host.
        node: NodeId,
    },
    /// The cluster does not know the number of this host.
    #[snafu(display(
        "control host {node} is not a member of the cluster of its peers; to replace a lost host, start it with `replaces` and the number of that host"
    ))]
    NotAMember {
        /// The host.
        node: NodeId,
    },
    /// Another host replies at the address of a peer.
    #[snafu(display("the settings name {expected}, but control host {found} answers there"))]
    UnexpectedPeer {
        /// The peer according to the settings.
        expected: ControlHost,
        /// The number of the host that replied.
        found: NodeId,
    },
    /// The peers belong to different clusters.
    #[snafu(display("the peers are in different clusters; check the addresses in the settings"))]
    DifferentClusters,
}

/// The identity that a peer reports, and the members that it knows.
#[derive(Clone, Debug)]
pub struct PeerMembership {
    /// The host and the cluster that its disk belongs to.
    pub identity: Identity,
    /// The members that it knows.
    pub membership: Membership,
}

/// What a host without a cluster should do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Bootstrap a cluster with these members.
    Bootstrap(Membership),
    /// Query the peers again later.
    Wait,
}

/// Decides what the host `own` should do, from the replies of its peers; `replies` has no entry for a
/// peer that did not reply.
pub fn decide(
    own: ControlHost,
    host: MemberId,
    peers: &[ControlHost],
    replies: &BTreeMap<NodeId, PeerMembership>,
) -> Result<Decision, MembershipError> {
    let mut clusters = replies.values().filter_map(|a| a.identity.cluster);
    if let Some(first) = clusters.next() {
        ensure!(clusters.all(|c| c == first), DifferentClustersSnafu);
        let clustered = replies.values().filter(|a| a.identity.cluster.is_some());
        for peer in clustered {
            check_member(own.node, host, &peer.membership)?;
        }
        return Ok(Decision::Wait);
    }
    let lowest = peers.iter().all(|peer| own.node < peer.node);
    let all = peers.iter().all(|peer| replies.contains_key(&peer.node));
    if !lowest || !all {
        return Ok(Decision::Wait);
    }
    let others = peers.iter().map(|peer| {
        let id = replies[&peer.node].identity.host;
        member(*peer, id, MemberRole::Voter)
    });
    let own_member = member(own, host, MemberRole::Voter);
    Ok(Decision::Bootstrap(Membership::new(
        others.chain([own_member]),
    )))
}

/// Checks that a peer's cluster has this host as a member. A peer that was only just added itself does
/// not know the members yet, which is no error.
fn check_member(node: NodeId, host: MemberId, members: &Membership) -> Result<(), MembershipError> {
    let known = members.get(host).is_some() || members.members().is_empty();
    ensure!(
        known || members.on_node(node).is_none(),
        DataFolderEmptySnafu { node }
    );
    ensure!(known, NotAMemberSnafu { node });
    Ok(())
}

fn member(host: ControlHost, id: MemberId, role: MemberRole) -> Member {
    Member {
        id,
        role,
        replaces: None,
        node: host.node,
        address: host.address,
    }
}

/// Makes the host a member of a cluster.
#[derive(Clone, Debug)]
pub(super) struct ClusterJoiner {
    pub(super) cx: Cx,
    pub(super) handle: Handle,
    pub(super) own: ControlHost,
    pub(super) peers: Vec<ControlHost>,
    pub(super) replaces: Option<NodeId>,
}

impl ClusterJoiner {
    /// Returns when the host belongs to a cluster, or fails if it cannot belong to any.
    pub(super) async fn join_cluster(&self) -> Result<(), MembershipError> {
        let mut last_state = String::new();
        loop {
            if let Ok(own) = self.handle.host_membership().await {
                let Identity { host, cluster, .. } = own.identity;
                if cluster.is_some() {
                    return Ok(());
                }
                let state = match self.replaces {
                    Some(replaced) => self.request_to_join(host, replaced).await,
                    None => self.check_peers(host).await?,
                };
                if state != last_state {
                    log::info!("{state}");
                    last_state = state;
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn check_peers(&self, host: MemberId) -> Result<String, MembershipError> {
        let replies = self.query_peers().await?;
        match decide(self.own, host, &self.peers, &replies)? {
            Decision::Bootstrap(membership) => {
                let members = membership.members().len();
                let sent = self
                    .handle
                    .send(Input::Bootstrap {
                        membership,
                        cluster: None,
                    })
                    .await;
                let state = format!("bootstrapping a cluster of {members} control hosts");
                Ok(sent.map_or_else(|stopped| stopped.to_string(), |()| state))
            }
            Decision::Wait => {
                let unanswered = self.peers.iter().filter(|p| !replies.contains_key(&p.node));
                let unanswered: Vec<_> = unanswered.map(ToString::to_string).collect();
                Ok(if unanswered.is_empty() {
                    "waiting until the bootstrapping control host adds this host".to_owned()
                } else {
                    format!(
                        "waiting for {} before a cluster can be bootstrapped",
                        unanswered.join(" and ")
                    )
                })
            }
        }
    }

    async fn query_peers(&self) -> Result<BTreeMap<NodeId, PeerMembership>, MembershipError> {
        let queries = self.peers.iter().map(|peer| self.identify(*peer));
        let mut replies = BTreeMap::new();
        for (peer, reply) in self.peers.iter().zip(join_all(queries).await) {
            if let Some(membership) = reply {
                let (expected, found) = (*peer, membership.identity.node);
                ensure!(found == peer.node, UnexpectedPeerSnafu { expected, found });
                replies.insert(found, membership);
            }
        }
        Ok(replies)
    }

    async fn identify(&self, peer: ControlHost) -> Option<PeerMembership> {
        let query = async {
            let channel = transport::connect(&self.cx, peer.address).await.ok()?;
            let mut client = ConsensusClient::new(channel);
            let response = client.identify(wire::IdentifyRequest {}).await;
            Some(response.ok()?.into_inner())
        };
        let response = timeout(PEER_TIMEOUT, query).await.ok()??;
        Some(PeerMembership {
            identity: Identity {
                node: response.node.into(),
                host: response.host.into(),
                cluster: cluster_id(response.cluster),
            },
            membership: response.membership?.try_into().ok()?,
        })
    }

    /// Sends a join request to all peers at once; only the leader can add a host.
    async fn request_to_join(&self, host: MemberId, replaced: NodeId) -> String {
        let mut refusals = Vec::new();
        let requests = self.peers.iter().map(|p| self.join_at(*p, host, replaced));
        for (peer, answer) in self.peers.iter().zip(join_all(requests).await) {
            match answer {
                Some(Answer::TakenIn(_)) => {
                    return format!("added in place of control host {replaced}");
                }
                Some(Answer::Refusal(refusal)) => refusals.push(format!("{peer}: {refusal}")),
                None => refusals.push(format!("{peer}: no reply")),
            }
        }
        format!(
            "not yet added in place of control host {replaced} ({})",
            refusals.join("; ")
        )
    }

    async fn join_at(&self, peer: ControlHost, host: MemberId, replaced: NodeId) -> Option<Answer> {
        let joining = member(self.own, host, MemberRole::Learner);
        let request = wire::JoinRequest {
            member: Some((&joining).into()),
            replaces_node: replaced.get(),
            cluster: 0,
        };
        let query = async {
            let channel = transport::connect(&self.cx, peer.address).await.ok()?;
            let response = ConsensusClient::new(channel).join(request).await;
            response.ok()?.into_inner().answer
        };
        timeout(PEER_TIMEOUT, query).await.ok()?
    }
}
