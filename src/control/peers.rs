//! Sends messages to the other control hosts.
//!
//! Each host has a queue and a task of its own, so that a slow host delays no other. Messages that do
//! not fit are dropped; the consensus protocol retransmits those that matter.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dogwoodrill_consensus::store::file::ClusterId;
use dogwoodrill_consensus::{Envelope, MemberId};
use dogwoodrill_wire::proto::consensus as wire;
use dogwoodrill_wire::proto::consensus::consensus_client::ConsensusClient;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tonic::transport::Channel;

use super::members::MAX_MESSAGE_BYTES;
use crate::context::Cx;
use crate::transport;

/// Maximum number of messages queued for one host.
const BACKLOG: usize = 64;
/// Time in which one message, which may contain a whole snapshot, must be sent and accepted.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a host could not be reached.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The queues to the other hosts.
#[derive(Debug)]
pub(super) struct Peers {
    cx: Cx,
    /// The listen address that each member stated in its last message; it may differ from the address
    /// in the membership.
    last_addresses: BTreeMap<MemberId, SocketAddr>,
    queues: BTreeMap<MemberId, Queue>,
}

#[derive(Debug)]
struct Queue {
    address: SocketAddr,
    tx: mpsc::Sender<wire::Envelope>,
}

impl Peers {
    pub(super) const fn new(cx: Cx) -> Self {
        Self {
            cx,
            last_addresses: BTreeMap::new(),
            queues: BTreeMap::new(),
        }
    }

    /// Records the listen address that a member stated in a message.
    pub(super) fn set_address(&mut self, member: MemberId, address: SocketAddr) {
        self.last_addresses.insert(member, address);
    }

    /// Queues a message. `address` is the receiver's address in the membership.
    pub(super) fn send(
        &mut self,
        cluster: ClusterId,
        own: SocketAddr,
        address: Option<SocketAddr>,
        envelope: Envelope,
    ) {
        let to = envelope.to;
        let Some(address) = self.last_addresses.get(&to).copied().or(address) else {
            return;
        };
        let message = wire::Envelope {
            cluster: cluster.get(),
            from_address: own.to_string(),
            ..envelope.into()
        };
        // A full queue drops the message.
        drop(self.queue(to, address).tx.try_send(message));
    }

    fn queue(&mut self, to: MemberId, address: SocketAddr) -> &Queue {
        let moved = self.queues.get(&to).is_some_and(|q| q.address != address);
        if moved {
            self.queues.remove(&to);
        }
        let cx = &self.cx;
        self.queues.entry(to).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(BACKLOG);
            tokio::spawn(send_all(cx.clone(), address, rx));
            Queue { address, tx }
        })
    }
}

/// Sends the queued messages; returns when the queue is dropped.
async fn send_all(cx: Cx, address: SocketAddr, mut rx: mpsc::Receiver<wire::Envelope>) {
    let mut client = None;
    while let Some(message) = rx.recv().await {
        let sent = timeout(SEND_TIMEOUT, send(&cx, address, &mut client, message)).await;
        if sent.is_ok_and(|sent| sent.is_some()) {
            continue;
        }
        client = None;
        sleep(RETRY_DELAY).await;
        while rx.try_recv().is_ok() {}
    }
}

async fn send(
    cx: &Cx,
    address: SocketAddr,
    client: &mut Option<ConsensusClient<Channel>>,
    message: wire::Envelope,
) -> Option<()> {
    if client.is_none() {
        let channel = transport::connect(cx, address).await.ok()?;
        let made = ConsensusClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
        *client = Some(made);
    }
    client.as_mut()?.send(message).await.ok()?;
    Some(())
}
