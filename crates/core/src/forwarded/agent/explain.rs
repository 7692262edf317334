//! What an agent would do with an opening packet.
//!
//! The decision depends on the order of many checks, some of which have effects. So it is made by the functions that
//! make it for a packet, in a copy of the agent that holds what they read.

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use super::openings::{PROBE_POLICY, PeerFilter};
use super::{Agent, Disposition};
use crate::forwarded::decision::{Decision, Reason, Step};
use crate::forwarded::explain::{
    self, AgentExplanation, ExplainError, OpeningAction, Query, ServerCondition,
};
use crate::forwarded::inquiry::FlowSearches;
use crate::forwarded::keepers::FlowDirectory;
use crate::forwarded::packet::{Flags, FlowKey, Header, Purpose, Trail};
use crate::forwarded::placement::{self, Candidate, Probability};
use crate::forwarded::service_map::{Route, ServiceLabel};

/// The peers of the last redirection that was considered for a flow.
#[derive(Debug)]
pub(super) struct PeerTrace {
    flow: FlowKey,
    /// Candidates with their probabilities; `None` until a redirection is considered.
    peers: Option<Vec<(Ipv4Addr, Probability)>>,
}

impl Agent {
    /// Returns what the agent would do with the opening packet of a new flow that a balancer sends to it now. Changes
    /// nothing.
    pub fn explain(&self, now: Instant, query: &Query) -> Result<AgentExplanation, ExplainError> {
        let statement = self.server.statement();
        let route = query.route(&self.map, &self.mesh, statement.map(|s| &s.zone))?;
        let flow = query.flow;
        let mut copy = self.copy_for(flow);
        let balancer = Ipv4Addr::UNSPECIFIED;
        let header = Header {
            source: flow.caller,
            target: flow.service,
            flags: Flags::SYN,
            seq: 0,
            ack: 0,
            len: 0,
            trail: Trail::from_balancer(balancer, Purpose::Placed),
        };
        let disposition = copy.on_caller_packet(now, balancer, &header, &[]);
        let decisions = copy.decisions.into_iter().filter(|d| d.flow == flow);
        let decision = decisions.last();
        let peers = copy.trace.and_then(|trace| trace.peers);
        let action = opening_action(disposition, decision.as_ref());
        let reason = decision.as_ref().and_then(|d| d.reason);
        let offered_by = decision.filter(|d| d.reason == Some(Reason::SlotOffered));
        let peers = match offered_by.and_then(|d| d.node) {
            Some(peer) => Some(vec![(peer, Probability::from(1.0))]),
            None => peers,
        };
        // The agent draws the service of a flow that is not for its server's, so that it redirects some of the flows
        // if only some of the services have peers.
        let action = match (&peers, action) {
            (Some(peers), OpeningAction::Refuse) if !peers.is_empty() => OpeningAction::Redirect,
            (_, action) => action,
        };
        let mut choices = Vec::new();
        for (service, _) in self.redirect_services(route) {
            let Some(peers) = &peers else { break };
            let agents = explain::agent_choices(now, &self.map, &self.mesh, service, peers);
            choices.extend(agents);
        }
        Ok(AgentExplanation {
            index: self.map.index,
            policy: route.policy,
            server: self.server_condition(now),
            action,
            reason,
            peers: choices,
        })
    }

    fn server_condition(&self, now: Instant) -> Option<ServerCondition> {
        let statement = self.server.statement()?;
        Some(ServerCondition {
            service: statement.service.clone(),
            zone: statement.zone.clone(),
            unavailability: self.server.unavailability(now),
            is_cold: self.server.is_cold(now),
            is_suspended: self.outlier.is_suspended(),
            is_stopping: self.is_stopping,
            busy: self.busy,
            slots: statement.slots,
            work: self.work_time(now),
            waiting: self.queue.len(),
            age: self.server.age(now),
        })
    }

    /// Returns the services to whose agents a flow may be redirected, with the probability of each.
    fn redirect_services<'a>(&'a self, route: &'a Route) -> Vec<(&'a ServiceLabel, Probability)> {
        let own = self.server.statement().map(|s| &s.service);
        match own.filter(|service| route.allows(service)) {
            Some(service) => vec![(service, Probability::from(1.0))],
            None => explain::services(route)
                .map(|(t, p)| (&t.service, p))
                .collect(),
        }
    }

    /// Notes the peers that an opening packet may be redirected to, if this is a copy for an explanation of its flow.
    pub(super) fn trace_choice(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        flow: FlowKey,
        filter: PeerFilter,
    ) {
        if self.trace.as_ref().is_some_and(|trace| trace.flow == flow) {
            let peers = self.peer_probabilities(now, from, flow, filter);
            self.trace = Some(PeerTrace { flow, peers });
        }
    }

    fn peer_probabilities(
        &self,
        now: Instant,
        from: Ipv4Addr,
        flow: FlowKey,
        filter: PeerFilter,
    ) -> Option<Vec<(Ipv4Addr, Probability)>> {
        let route = self.map.route(flow.service)?;
        let zone = self.server.statement().map(|s| &s.zone);
        let load = self.mesh.load_estimator(now);
        let mut peers = Vec::new();
        for (service, share) in self.redirect_services(route) {
            let (map, mesh) = (&self.map, &self.mesh);
            let candidates = Self::redirect_candidates(map, mesh, now, from, service, filter);
            let candidates: Vec<_> = candidates.map(Candidate::from).collect();
            let probabilities = if let Some(zone) = zone {
                placement::choice_probabilities(load, &candidates, zone, PROBE_POLICY)
            } else {
                let completion = |i: &usize| load.completion(candidates[*i].received);
                let first = (0..candidates.len()).min_by_key(completion);
                let is_first = (0..candidates.len()).map(|i| Some(i) == first);
                is_first.map(|is| f64::from(u8::from(is)).into()).collect()
            };
            let probabilities = probabilities.into_iter().map(|p| p * f64::from(share));
            peers.extend(candidates.iter().map(|c| c.agent).zip(probabilities));
        }
        Some(peers)
    }

    /// Copies what the decision on the opening packet of `flow` reads. The tables of flows may be large, so only their
    /// entries of this flow are copied.
    fn copy_for(&self, flow: FlowKey) -> Self {
        let entry = self.flows.get(&flow).map(|f| (flow, f.clone()));
        let redirect = self.redirects.get(&flow).map(|r| (flow, *r));
        Self {
            started_at: self.started_at,
            max_flow_age: self.max_flow_age,
            rng: self.rng.clone(),
            map: Arc::clone(&self.map),
            mesh: self.mesh.clone(),
            server: self.server.clone(),
            cold_budget: self.cold_budget.clone(),
            flows: entry.into_iter().collect(),
            idle_flows: self.idle_flows,
            busy: self.busy,
            running: self.running.clone(),
            work: self.work,
            flow_demand: self.flow_demand,
            outlier: self.outlier.clone(),
            queue: self.queue.clone(),
            settled: self.settled,
            offers: self.offers.clone(),
            redirects: redirect.into_iter().collect(),
            directory: FlowDirectory::default(),
            searches: FlowSearches::default(),
            bounced: HashMap::new(),
            deferred_searches: Vec::new(),
            provisional_denials: Vec::new(),
            has_common_start: self.has_common_start,
            answer_deadlines: VecDeque::new(),
            request_deadlines: BinaryHeap::new(),
            announced_ring_version: self.announced_ring_version,
            flows_to_announce: Vec::new(),
            queries_left: self.queries_left,
            sweep_at: self.sweep_at,
            leave_deadline: self.leave_deadline,
            is_stopping: self.is_stopping,
            trace: Some(PeerTrace { flow, peers: None }),
            actions: Vec::new(),
            decisions: Vec::new(),
        }
    }
}

fn opening_action(disposition: Disposition, decision: Option<&Decision>) -> OpeningAction {
    match (decision.map(|d| d.step), disposition) {
        (Some(Step::Accepted), _) => OpeningAction::Accept,
        (Some(Step::Waits), _) => OpeningAction::Queue,
        (Some(Step::PassedOn), _) | (None, Disposition::Forward { .. }) => OpeningAction::Redirect,
        (Some(_), _) => OpeningAction::Refuse,
        (None, _) => OpeningAction::Known,
    }
}
