//! Checks invariants from what callers, servers and the operator observe.

use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};
use dogwoodrill_core::forwarded::packet::FlowKey;

use crate::Report;
use crate::network::lock;

/// Largest number of findings that are recorded; later ones are dropped.
const MAX_FINDINGS: usize = 50;
/// Time after the acknowledgement during which a draining server, or a zone that is taken out, may still
/// receive new flows.
pub const NEW_FLOW_GRACE: Duration = Duration::from_secs(3);

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Into, PartialEq)]
pub struct RequestId(u64);

/// Identifies one incarnation of a server, from its start to its end.
#[derive(Clone, Copy, Debug, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd)]
#[display("server incarnation {_0}")]
pub struct IncarnationId(u64);

/// Counts of calls that ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// All calls that ended.
    pub ended: u64,
    /// Calls that received a response.
    pub served: u64,
}

#[derive(Debug, Default)]
struct Observations {
    call_counts: CallCounts,
    faults: u32,
    findings: Vec<String>,
    next_request: u64,
    next_incarnation: u64,
    /// The server incarnation that ran each request.
    runs: HashMap<RequestId, IncarnationId>,
    /// Incarnations that have not ended.
    alive: BTreeSet<IncarnationId>,
    /// The incarnation that answered an opening packet, by flow and the server's initial sequence number.
    opening_replies: HashMap<(FlowKey, u32), IncarnationId>,
    /// The incarnation on which each flow is open, as the servers see it.
    open: HashMap<FlowKey, IncarnationId>,
}

/// Records observations and the violations found in them.
#[derive(Debug)]
pub struct Checker {
    started_at: Instant,
    observations: Mutex<Observations>,
}

impl Checker {
    /// Creates a checker; findings give the time since `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            observations: Mutex::default(),
        }
    }

    /// Records a violated invariant.
    pub fn add_finding(&self, what: impl Into<String>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut observations = lock(&self.observations);
        if observations.findings.len() < MAX_FINDINGS {
            observations
                .findings
                .push(format!("{at:.3} s: {}", what.into()));
        }
    }

    /// Counts a fault that was injected, and logs it if `SOAK_VERBOSE` is set.
    pub fn on_fault(&self, what: &str) {
        lock(&self.observations).faults += 1;
        log(self.started_at, what);
    }

    /// Returns the counts of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        lock(&self.observations).call_counts
    }

    /// Returns the id of a new request.
    pub fn next_request_id(&self) -> RequestId {
        let mut observations = lock(&self.observations);
        observations.next_request += 1;
        observations.next_request.into()
    }

    /// Counts a call that ended; `served` if it received a response.
    pub fn on_call_end(&self, served: bool) {
        let call_counts = &mut lock(&self.observations).call_counts;
        call_counts.ended += 1;
        call_counts.served += u64::from(served);
    }

    /// Records the start of a server and returns the id of its incarnation.
    pub fn start_incarnation(&self) -> IncarnationId {
        let mut observations = lock(&self.observations);
        observations.next_incarnation += 1;
        let incarnation = observations.next_incarnation.into();
        observations.alive.insert(incarnation);
        incarnation
    }

    /// Records the end of a server and of its flows.
    pub fn end_incarnation(&self, incarnation: IncarnationId) {
        let mut observations = lock(&self.observations);
        observations.alive.remove(&incarnation);
        observations.open.retain(|_, at| *at != incarnation);
    }

    /// Records that a server answered an opening packet with the initial sequence number `seq`.
    pub fn on_opening_reply(&self, flow: FlowKey, seq: u32, incarnation: IncarnationId) {
        lock(&self.observations)
            .opening_replies
            .insert((flow, seq), incarnation);
    }

    /// Records that a server received the caller's acknowledgement, so the flow is open.
    pub fn on_open(&self, flow: FlowKey, incarnation: IncarnationId) {
        lock(&self.observations).open.insert(flow, incarnation);
    }

    /// Records that one end closed the flow.
    pub fn on_flow_end(&self, flow: FlowKey) {
        lock(&self.observations).open.remove(&flow);
    }

    /// Records that a server runs a request, and checks that it did not run before.
    pub fn on_run(&self, request: RequestId, incarnation: IncarnationId) {
        let before = lock(&self.observations).runs.insert(request, incarnation);
        if let Some(before) = before {
            self.add_finding(format!(
                "request {request} ran at {before} and at {incarnation}"
            ));
        }
    }

    /// Checks a response that a caller received on a flow whose server has the initial sequence number `seq`: it
    /// must belong to the request, which must have run on the incarnation that answered the opening.
    pub fn on_response(&self, flow: FlowKey, seq: u32, sent: RequestId, received: RequestId) {
        if sent != received {
            self.add_finding(format!(
                "request {sent} received the response to request {received}"
            ));
        }
        let observations = lock(&self.observations);
        let (opened_by, ran) = (
            observations.opening_replies.get(&(flow, seq)),
            observations.runs.get(&sent),
        );
        if opened_by.is_none() || opened_by != ran {
            let found = format!(
                "the flow of request {sent} was opened by {opened_by:?}, but the request ran at {ran:?}"
            );
            drop(observations);
            self.add_finding(found);
        }
    }

    /// Checks a reset that a caller received: the incarnation on which the flow is open must have ended.
    pub fn on_reset(&self, flow: FlowKey) {
        let observations = lock(&self.observations);
        let alive = observations.open.get(&flow).copied();
        let alive = alive.filter(|incarnation| observations.alive.contains(incarnation));
        drop(observations);
        if let Some(incarnation) = alive {
            self.add_finding(format!(
                "flow {flow} was reset while {incarnation} is running"
            ));
        }
    }

    /// Returns the counts and findings so far.
    pub fn report(&self) -> Report {
        let observations = lock(&self.observations);
        Report {
            calls: observations.call_counts.ended,
            served: observations.call_counts.served,
            faults: observations.faults,
            findings: observations.findings.clone(),
        }
    }
}

fn log(started_at: Instant, what: &str) {
    if std::env::var_os("SOAK_VERBOSE").is_some() {
        eprintln!("{:.3} s: {what}", started_at.elapsed().as_secs_f64());
    }
}
