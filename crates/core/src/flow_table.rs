//! The table of flows that an agent keeps by their key, each until a deadline.
//!
//! A flow with connection ids needs no entry once the caller has received the first reply, so entries of
//! handshakes are short-lived. A flow without connection ids keeps its entry while packets arrive. The size
//! of the table is limited, because anyone can send an opening packet: over the limit the oldest entry is
//! evicted.

use std::collections::hash_map::Entry as MapEntry;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use derive_more::Display;

use crate::flow::FlowKey;
use crate::ids::BackendServerId;

/// An agent that a packet may be forwarded to.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display("{server} at {tunnel}")]
pub struct Peer {
    /// The backend server of the agent.
    pub server: BackendServerId,
    /// Tunnel address (UDP) of the agent.
    pub tunnel: SocketAddr,
}

/// The location of a flow in the table.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FlowLocation {
    /// The flow ends at this agent.
    #[display("here")]
    Local,
    /// The flow was handed over to a peer, which has to accept it.
    #[display("redirected to {_0}")]
    Redirected(Peer),
    /// A packet was forwarded to a peer that may have the flow, and did not come back.
    #[display("asked {_0}")]
    Queried(Peer),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    location: FlowLocation,
    until: Instant,
}

/// A table of flow locations with a limited number of entries.
#[derive(Clone, Debug)]
pub struct FlowTable {
    entries: HashMap<FlowKey, Entry>,
    /// Each key once, approximately in the order of the deadlines.
    queue: VecDeque<FlowKey>,
    limit: usize,
}

impl FlowTable {
    /// Creates an empty table of at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            entries: HashMap::new(),
            queue: VecDeque::new(),
            limit,
        }
    }

    /// The location of a flow, if the table has an entry that is valid at `now`.
    pub fn get(&self, now: Instant, key: FlowKey) -> Option<FlowLocation> {
        let entry = self.entries.get(&key)?;
        (entry.until > now).then_some(entry.location)
    }

    /// Stores the location of a flow until a deadline, and replaces an existing entry.
    pub fn insert(&mut self, now: Instant, key: FlowKey, location: FlowLocation, until: Instant) {
        self.expire(now);
        match self.entries.entry(key) {
            MapEntry::Occupied(mut known) => {
                known.insert(Entry { location, until });
            }
            MapEntry::Vacant(new) => {
                new.insert(Entry { location, until });
                self.queue.push_back(key);
            }
        }
        if self.entries.len() > self.limit {
            self.evict_oldest();
        }
    }

    /// Deletes entries past their deadline, up to the first entry that is not.
    pub fn expire(&mut self, now: Instant) {
        // Visits each entry at most once, even if deadlines were extended.
        for _ in 0..self.queue.len() {
            let Some(key) = self.queue.front().copied() else {
                return;
            };
            match self.entries.get(&key) {
                Some(entry) if entry.until > now => return,
                _ => self.evict_oldest(),
            }
        }
    }

    /// Number of entries, including those past their deadline that are not yet deleted.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Approximate memory of the table in bytes: capacity times entry size.
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * size_of::<(FlowKey, Entry)>()
            + self.queue.capacity() * size_of::<FlowKey>()
    }

    fn evict_oldest(&mut self) {
        if let Some(key) = self.queue.pop_front() {
            self.entries.remove(&key);
        }
    }
}
