//! Starts and ends of server incarnations, and their effect on the server's flows.

use std::time::{Duration, Instant};

use super::{Action, Agent, Flow};
use crate::forwarded::decision::{Decision, Step};
use crate::forwarded::flow_demand::FlowDemand;
use crate::forwarded::outlier::OutlierDetector;
use crate::forwarded::packet::FlowKey;
use crate::forwarded::server::{ServerStatement, StatementOutcome};
use crate::forwarded::work_time::WorkTime;

/// Time from a server's leave notice to the end of its flows; the server may still be sending.
const LEAVE_GRACE: Duration = Duration::from_millis(300);
/// Report intervals for which a server that has just started may serve flows before its first report arrives.
const UNREPORTED_INTERVALS: f64 = 1.5;

impl Agent {
    /// Applies a report of the server. A new incarnation resets all measurements and ends the flows of
    /// earlier ones.
    pub fn on_statement(&mut self, now: Instant, statement: ServerStatement) -> StatementOutcome {
        let outcome = self.server.on_statement(now, statement);
        if outcome == StatementOutcome::NewIncarnation {
            self.work = WorkTime::default();
            self.outlier = OutlierDetector::default();
            self.flow_demand = FlowDemand::default();
            self.queue.reset_shares();
            self.compare_with_peers(now);
            self.end_flows_of_earlier_incarnations(now);
        }
        if outcome != StatementOutcome::Unchanged {
            self.admit(now);
        }
        outcome
    }

    /// Handles the leave notice of the server named `id`. Returns false if it is not the current server.
    pub fn on_leave(&mut self, now: Instant, id: &str) -> bool {
        let left = self.server.on_leave(id);
        if left {
            self.leave_deadline = Some(now + LEAVE_GRACE);
            self.admit(now);
        }
        left
    }

    /// Handles a port check, made at `looked_at`, that found the server's port closed. Returns true if this
    /// ended the current server incarnation.
    pub fn on_port_closed(&mut self, now: Instant, looked_at: Instant) -> bool {
        let ended = self.server.on_port_closed();
        if ended {
            self.end_flows(now, |f| f.answered_at.is_none_or(|at| at < looked_at));
            self.admit(now);
        }
        ended
    }

    /// Ends the flows of earlier incarnations after the first report of a new one. The new incarnation may
    /// have answered recent flows before its first report arrived; the agent probes those by delivering their
    /// request again, which a server bounces if it does not hold the flow.
    fn end_flows_of_earlier_incarnations(&mut self, now: Instant) {
        let current = self.server.incarnation();
        let unreported = self.server.report_interval().mul_f64(UNREPORTED_INTERVALS);
        let is_earlier = |f: &Flow| f.incarnation < current;
        let is_recent = |f: &Flow| f.answered_at.is_some_and(|at| now < at + unreported);
        self.end_flows(now, |f| is_earlier(f) && !is_recent(f));
        for flow in self.flows.values_mut().filter(|f| is_earlier(f)) {
            flow.incarnation = current;
            let resent = flow.request.clone().map(Action::Deliver);
            self.actions.extend(resent);
        }
    }

    /// Removes the flows selected by the predicate, whose server has ended, and resets them so that their
    /// callers can retry at once.
    pub(super) fn end_flows(
        &mut self,
        now: Instant,
        has_ended_with_server: impl Fn(&Flow) -> bool,
    ) {
        let ended = self.flows.iter().filter(|(_, f)| has_ended_with_server(f));
        let mut ended: Vec<_> = ended.map(|(flow, _)| *flow).collect();
        ended.sort_unstable();
        for key in ended {
            let Some(flow) = self.remove(now, key) else {
                continue;
            };
            match flow.searched_by {
                Some(searcher) => self.deny(now, searcher, key),
                None => self.reset_flow(key, &flow),
            }
        }
    }

    pub(super) fn reset_flow(&mut self, key: FlowKey, flow: &Flow) {
        // A flow that is not open here may have opened at the peer that also received its opening packet.
        let may_be_elsewhere = !flow.is_open && self.redirects.contains_key(&key);
        if may_be_elsewhere || flow.is_unconfirmed() || (flow.caller_ended && flow.server_ended) {
            return;
        }
        let seq = flow.caller_ack;
        self.actions.push(Action::Reset { flow: key, seq });
        self.record_decision(Decision::new(Step::ServerGone, key, self.map.index));
    }
}
