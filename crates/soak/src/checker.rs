//! What must hold, from what callers, servers and the operator see.

use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};
use dogwoodrill_core::forwarded::packet::FlowKey;

use crate::Report;
use crate::network::lock;

/// Findings that are written out; more of the same add nothing.
const MAX_FINDINGS: usize = 50;
/// Time after the acknowledgement in which a server that leaves, or a zone that is taken out, may still get
/// new flows.
pub const CLOSED_AFTER: Duration = Duration::from_secs(3);

/// Names one try of a request.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Into, PartialEq)]
pub struct RequestId(u64);

/// One life of a server.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd)]
#[display("server life {_0}")]
pub struct LifeId(u64);

/// How many calls came to an end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// All.
    pub ended: u64,
    /// Those that were answered.
    pub served: u64,
}

#[derive(Debug, Default)]
struct Seen {
    tally: Tally,
    faults: u32,
    findings: Vec<String>,
    next_request: u64,
    next_life: u64,
    /// Where each request ran.
    runs: HashMap<RequestId, LifeId>,
    /// Lives that go on.
    alive: BTreeSet<LifeId>,
    /// Which life answered an opening, by its first position.
    offers: HashMap<(FlowKey, u32), LifeId>,
    /// Where flows are open, as their servers see it.
    open: HashMap<FlowKey, LifeId>,
}

/// Gathers what was seen.
#[derive(Debug)]
pub struct Checker {
    began_at: Instant,
    seen: Mutex<Seen>,
}

impl Checker {
    /// Begins.
    pub fn new(began_at: Instant) -> Self {
        Self {
            began_at,
            seen: Mutex::default(),
        }
    }

    /// Something did not hold.
    pub fn find(&self, what: impl Into<String>) {
        let at = self.began_at.elapsed().as_secs_f64();
        let mut seen = lock(&self.seen);
        if seen.findings.len() < MAX_FINDINGS {
            seen.findings.push(format!("{at:.3} s: {}", what.into()));
        }
    }

    /// A fault began.
    pub fn on_fault(&self, what: &str) {
        lock(&self.seen).faults += 1;
        log(self.began_at, what);
    }

    /// Calls so far.
    pub fn tally(&self) -> Tally {
        lock(&self.seen).tally
    }

    /// A request is made.
    pub fn request(&self) -> RequestId {
        let mut seen = lock(&self.seen);
        seen.next_request += 1;
        seen.next_request.into()
    }

    /// A call came to an end.
    pub fn on_end(&self, served: bool) {
        let tally = &mut lock(&self.seen).tally;
        tally.ended += 1;
        tally.served += u64::from(served);
    }

    /// A server starts.
    pub fn begin_life(&self) -> LifeId {
        let mut seen = lock(&self.seen);
        seen.next_life += 1;
        let life = seen.next_life.into();
        seen.alive.insert(life);
        life
    }

    /// A server has ended, and with it its flows.
    pub fn end_life(&self, life: LifeId) {
        let mut seen = lock(&self.seen);
        seen.alive.remove(&life);
        seen.open.retain(|_, at| *at != life);
    }

    /// A server answers an opening packet.
    pub fn on_offer(&self, flow: FlowKey, seq: u32, life: LifeId) {
        lock(&self.seen).offers.insert((flow, seq), life);
    }

    /// A server has the caller's acknowledgement: the flow is open.
    pub fn on_open(&self, flow: FlowKey, life: LifeId) {
        lock(&self.seen).open.insert(flow, life);
    }

    /// One end has ended the flow.
    pub fn on_flow_end(&self, flow: FlowKey) {
        lock(&self.seen).open.remove(&flow);
    }

    /// A server runs a request.
    pub fn on_run(&self, request: RequestId, life: LifeId) {
        let before = lock(&self.seen).runs.insert(request, life);
        if let Some(before) = before {
            self.find(format!("request {request} ran at {before} and at {life}"));
        }
    }

    /// A caller got an answer on a flow that it opened with `seq`.
    pub fn on_answer(&self, flow: FlowKey, seq: u32, sent: RequestId, answered: RequestId) {
        if sent != answered {
            self.find(format!("the answer to {sent} was the one to {answered}"));
        }
        let seen = lock(&self.seen);
        let (offered, ran) = (seen.offers.get(&(flow, seq)), seen.runs.get(&sent));
        if offered.is_none() || offered != ran {
            let found = format!("request {sent} was offered to {offered:?} and ran at {ran:?}");
            drop(seen);
            self.find(found);
        }
    }

    /// A caller was told that its flow is over.
    pub fn on_reset(&self, flow: FlowKey) {
        let seen = lock(&self.seen);
        let alive = seen.open.get(&flow).copied();
        let alive = alive.filter(|life| seen.alive.contains(life));
        drop(seen);
        if let Some(life) = alive {
            self.find(format!("flow {flow} was reset while {life} goes on"));
        }
    }

    /// What was found.
    pub fn report(&self) -> Report {
        let seen = lock(&self.seen);
        Report {
            calls: seen.tally.ended,
            served: seen.tally.served,
            faults: seen.faults,
            findings: seen.findings.clone(),
        }
    }
}

fn log(began_at: Instant, what: &str) {
    if std::env::var_os("SOAK_VERBOSE").is_some() {
        eprintln!("{:.3} s: {what}", began_at.elapsed().as_secs_f64());
    }
}
