//! Lives of the backend server, and what their ends mean for its flows.

use std::time::{Duration, Instant};

use super::{Action, Agent, Flow};
use crate::forwarded::decision::{Decision, Step};
use crate::forwarded::outlier::OutlierDetector;
use crate::forwarded::packet::FlowKey;
use crate::forwarded::placement::WorkTime;
use crate::forwarded::server::{ServerStatement, StatementOutcome};

/// Time from a server's farewell to the end of its flows; it may still be sending.
const FAREWELL: Duration = Duration::from_millis(300);
/// Report intervals for which a server that has just started may serve before its first report
/// arrives.
const UNREPORTED_INTERVALS: f64 = 1.5;

impl Agent {
    /// The server reported.
    pub fn on_statement(&mut self, now: Instant, statement: ServerStatement) -> StatementOutcome {
        let outcome = self.server.on_statement(now, statement);
        if outcome == StatementOutcome::NewIncarnation {
            self.work = WorkTime::default();
            self.outlier = OutlierDetector::default();
            self.end_earlier_flows(now);
        }
        outcome
    }

    /// The server of that name goes.
    pub fn on_leave(&mut self, now: Instant, id: &str) -> bool {
        let left = self.server.on_leave(id);
        if left {
            self.farewell_at = Some(now + FAREWELL);
        }
        left
    }

    /// Nothing listened at the server's port when it was looked at, `looked_at`; true if its life
    /// ended by that.
    pub fn on_port_closed(&mut self, now: Instant, looked_at: Instant) -> bool {
        let ended = self.server.on_port_closed();
        if ended {
            self.end_flows(now, |f| f.answered_at.is_none_or(|at| at < looked_at));
        }
        ended
    }

    /// A new life of the server was heard of. It may have answered flows before it reported: those are
    /// asked after by sending their request again, which a server hands back that does not hold them.
    fn end_earlier_flows(&mut self, now: Instant) {
        let current = self.server.incarnation();
        let unreported = self.server.report_interval().mul_f64(UNREPORTED_INTERVALS);
        let earlier = |f: &Flow| f.incarnation < current;
        let is_recent = |f: &Flow| f.answered_at.is_some_and(|at| now < at + unreported);
        self.end_flows(now, |f| earlier(f) && !is_recent(f));
        for flow in self.flows.values_mut().filter(|f| earlier(f)) {
            flow.incarnation = current;
            let asked = flow.request.clone().map(Action::Deliver);
            self.actions.extend(asked);
        }
    }

    /// Tells the callers of flows whose server is gone, so that they can ask again at once.
    pub(super) fn end_flows(&mut self, now: Instant, is_over: impl Fn(&Flow) -> bool) {
        let over = self.flows.iter().filter(|(_, f)| is_over(f));
        let mut over: Vec<_> = over.map(|(flow, _)| *flow).collect();
        over.sort_unstable();
        for key in over {
            let Some(flow) = self.remove(key) else {
                continue;
            };
            match flow.searched_by {
                Some(searcher) => self.deny(now, searcher, key),
                None => self.break_off(key, &flow),
            }
        }
    }

    pub(super) fn break_off(&mut self, key: FlowKey, flow: &Flow) {
        // A flow that is not open here may have opened at the peer that got its opening packet too.
        let may_be_elsewhere = !flow.is_open && self.redirects.contains_key(&key);
        if may_be_elsewhere || flow.is_doubtful() || (flow.caller_ended && flow.server_ended) {
            return;
        }
        let seq = flow.caller_ack;
        self.actions.push(Action::Reset { flow: key, seq });
        self.decide(Decision::new(Step::ServerGone, key, self.map.index));
    }
}
