//! How a host with a fresh disk finds its place: it founds a cluster with its peers, waits to be taken
//! in by the founder, asks to replace a lost host, or finds that its place is taken and stops.
//!
//! A new cluster is founded by the host of the lowest number, and only when every peer has answered
//! that it belongs to none. So a host whose disk was wiped cannot found a second cluster beside the
//! first; and since its disk has a new identity, it cannot vote in the first either.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodrill_consensus::store::file::{ClusterId, Identity};
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
use crate::context::Cx;
use crate::transport;

/// Pause between two looks at the peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a peer has to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a host has no place.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum MembershipError {
    /// The cluster knows the host's number under another disk.
    #[snafu(display(
        "the data folder of control host {node} is empty, but the cluster exists and knows this host with another disk; to give the host a new disk, start it with `replaces: {node}`"
    ))]
    Wiped {
        /// The host.
        node: NodeId,
    },
    /// The cluster does not know the host.
    #[snafu(display(
        "control host {node} is no member of the cluster that its peers are in; start it with `replaces` and the number of the lost host whose place it takes"
    ))]
    NoMember {
        /// The host.
        node: NodeId,
    },
    /// Another host answers at a peer's address.
    #[snafu(display("the settings name {expected}, but control host {found} answers there"))]
    OtherPeer {
        /// The peer as the settings have it.
        expected: ControlHost,
        /// Who answered.
        found: NodeId,
    },
    /// Peers are in different clusters.
    #[snafu(display("the peers are in different clusters; check the addresses in the settings"))]
    DifferentClusters,
}

/// What a peer says of itself.
#[derive(Clone, Debug)]
pub struct PeerMembership {
    /// Whom its disk belongs to.
    pub identity: Identity,
    /// The members that it knows.
    pub membership: Membership,
}

/// What a host without a cluster should do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Found a cluster with these members.
    Bootstrap(Membership),
    /// Look again later.
    Wait,
}

/// Decides for the host `own` from what its peers said; a peer that did not answer is left out.
pub fn decide(
    own: ControlHost,
    host: MemberId,
    peers: &[ControlHost],
    answers: &BTreeMap<NodeId, PeerMembership>,
) -> Result<Decision, MembershipError> {
    let mut clusters = answers.values().filter_map(|a| a.identity.cluster);
    if let Some(first) = clusters.next() {
        ensure!(clusters.all(|c| c == first), DifferentClustersSnafu);
        let formed = answers.values().filter(|a| a.identity.cluster.is_some());
        for peer in formed {
            check_member(own.node, host, &peer.membership)?;
        }
        return Ok(Decision::Wait);
    }
    let lowest = peers.iter().all(|peer| own.node < peer.node);
    let all = peers.iter().all(|peer| answers.contains_key(&peer.node));
    if !lowest || !all {
        return Ok(Decision::Wait);
    }
    let others = peers.iter().map(|peer| {
        let id = answers[&peer.node].identity.host;
        member(*peer, id, MemberRole::Voter)
    });
    let founder = member(own, host, MemberRole::Voter);
    Ok(Decision::Bootstrap(Membership::new(
        others.chain([founder]),
    )))
}

/// A peer that was just taken in itself does not know the members yet.
fn check_member(node: NodeId, host: MemberId, members: &Membership) -> Result<(), MembershipError> {
    let known = members.get(host).is_some() || members.members().is_empty();
    ensure!(
        known || members.on_node(node).is_none(),
        WipedSnafu { node }
    );
    ensure!(known, NoMemberSnafu { node });
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

/// Looks for the host's place.
#[derive(Clone, Debug)]
pub(super) struct ClusterJoiner {
    pub(super) cx: Cx,
    pub(super) handle: Handle,
    pub(super) own: ControlHost,
    pub(super) peers: Vec<ControlHost>,
    pub(super) replaces: Option<NodeId>,
}

impl ClusterJoiner {
    /// Ends when the host is in a cluster, or can be in none.
    pub(super) async fn join_cluster(&self) -> Result<(), MembershipError> {
        let mut said = String::new();
        loop {
            if let Ok(own) = self.handle.host_membership().await {
                let Identity { host, cluster, .. } = own.identity;
                if cluster.is_some() {
                    return Ok(());
                }
                let state = match self.replaces {
                    Some(replaced) => self.ask_to_join(host, replaced).await,
                    None => self.check_peers(host).await?,
                };
                if state != said {
                    log::info!("{state}");
                    said = state;
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn check_peers(&self, host: MemberId) -> Result<String, MembershipError> {
        let answers = self.query_peers().await?;
        match decide(self.own, host, &self.peers, &answers)? {
            Decision::Bootstrap(membership) => {
                let members = membership.members().len();
                let told = self
                    .handle
                    .send(Input::Bootstrap {
                        membership,
                        cluster: None,
                    })
                    .await;
                let state = format!("founding a cluster of {members} control hosts");
                Ok(told.map_or_else(|stopped| stopped.to_string(), |()| state))
            }
            Decision::Wait => {
                let silent = self.peers.iter().filter(|p| !answers.contains_key(&p.node));
                let silent: Vec<_> = silent.map(ToString::to_string).collect();
                Ok(if silent.is_empty() {
                    "waiting to be taken in by the founder".to_owned()
                } else {
                    format!("waiting for {} to found a cluster", silent.join(" and "))
                })
            }
        }
    }

    async fn query_peers(&self) -> Result<BTreeMap<NodeId, PeerMembership>, MembershipError> {
        let asked = self.peers.iter().map(|peer| self.identify(*peer));
        let mut answers = BTreeMap::new();
        for (peer, answer) in self.peers.iter().zip(join_all(asked).await) {
            if let Some(membership) = answer {
                let (expected, found) = (*peer, membership.identity.node);
                ensure!(found == peer.node, OtherPeerSnafu { expected, found });
                answers.insert(found, membership);
            }
        }
        Ok(answers)
    }

    async fn identify(&self, peer: ControlHost) -> Option<PeerMembership> {
        let asked = async {
            let channel = transport::connect(&self.cx, peer.address).await.ok()?;
            let mut client = ConsensusClient::new(channel);
            let answer = client.identify(wire::IdentifyRequest {}).await;
            Some(answer.ok()?.into_inner())
        };
        let answer = timeout(PEER_TIMEOUT, asked).await.ok()??;
        Some(PeerMembership {
            identity: Identity {
                node: answer.node.into(),
                host: answer.host.into(),
                cluster: (answer.cluster != 0).then(|| ClusterId::new(answer.cluster)),
            },
            membership: answer.membership?.try_into().ok()?,
        })
    }

    /// Asks each peer in turn; only the leader can take a host in.
    async fn ask_to_join(&self, host: MemberId, replaced: NodeId) -> String {
        let mut said = Vec::new();
        for peer in &self.peers {
            match self.join_at(*peer, host, replaced).await {
                Some(Answer::TakenIn(_)) => {
                    return format!("taken in to replace control host {replaced}");
                }
                Some(Answer::Refusal(refusal)) => said.push(format!("{peer}: {refusal}")),
                None => said.push(format!("{peer}: no answer")),
            }
        }
        format!(
            "not taken in yet to replace control host {replaced} ({})",
            said.join("; ")
        )
    }

    async fn join_at(&self, peer: ControlHost, host: MemberId, replaced: NodeId) -> Option<Answer> {
        let joining = member(self.own, host, MemberRole::Learner);
        let request = wire::JoinRequest {
            member: Some((&joining).into()),
            replaces_node: replaced.get(),
        };
        let asked = async {
            let channel = transport::connect(&self.cx, peer.address).await.ok()?;
            let answer = ConsensusClient::new(channel).join(request).await;
            answer.ok()?.into_inner().answer
        };
        timeout(PEER_TIMEOUT, asked).await.ok()?
    }
}
