//! Flows that an agent remembers by their key, each until a deadline.
//!
//! A flow with a connection id needs no entry once its first answer is with the caller, so entries of
//! handshakes are short-lived; a flow without an id keeps its entry while packets come. The table has
//! a limit, because anyone can send a first packet: over it the oldest entry makes room.

use std::collections::hash_map::Entry as MapEntry;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use derive_more::Display;

use crate::flow::FlowKey;
use crate::ids::BackendServerId;

/// An agent that a packet may be passed on to.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display("{server} at {tunnel}")]
pub struct Peer {
    /// The backend server beside it.
    pub server: BackendServerId,
    /// UDP address of its tunnel.
    pub tunnel: SocketAddr,
}

/// Where a remembered flow is.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FlowLocation {
    /// It ends here.
    #[display("here")]
    Local,
    /// It was handed to a peer, which has to take it.
    #[display("redirected to {_0}")]
    Redirected(Peer),
    /// A peer that may have it was asked, and has not handed it back.
    #[display("asked {_0}")]
    Queried(Peer),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    place: FlowLocation,
    until: Instant,
}

/// Remembered flows.
#[derive(Clone, Debug)]
pub struct FlowTable {
    entries: HashMap<FlowKey, Entry>,
    /// Each key once, about in the order of its deadline.
    queue: VecDeque<FlowKey>,
    limit: usize,
}

impl FlowTable {
    /// Makes an empty table of at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            entries: HashMap::new(),
            queue: VecDeque::new(),
            limit,
        }
    }

    /// Where a flow is, if it is remembered at `now`.
    pub fn get(&self, now: Instant, key: FlowKey) -> Option<FlowLocation> {
        let entry = self.entries.get(&key)?;
        (entry.until > now).then_some(entry.place)
    }

    /// Remembers where a flow is until a deadline, in place of what was known.
    pub fn keep(&mut self, now: Instant, key: FlowKey, place: FlowLocation, until: Instant) {
        self.expire(now);
        match self.entries.entry(key) {
            MapEntry::Occupied(mut known) => {
                known.insert(Entry { place, until });
            }
            MapEntry::Vacant(new) => {
                new.insert(Entry { place, until });
                self.queue.push_back(key);
            }
        }
        if self.entries.len() > self.limit {
            self.evict_oldest();
        }
    }

    /// Forgets entries past their deadline; stops at the first that is not.
    pub fn expire(&mut self, now: Instant) {
        // Each entry is looked at once at most, also where deadlines were moved on.
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

    /// Entries held, those past their deadline but not yet forgotten included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes that the table takes up, about: capacity times size.
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
