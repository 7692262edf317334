//! Packets that an agent's server sends or hands back.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::{Agent, Disposition, Flow, IDLE_TTL, OPENING_TTL};
use crate::forwarded::decision::{Decision, Reason, Step};
use crate::forwarded::packet::{Flags, FlowKey, Header, Purpose, Trail};

impl Agent {
    /// Handles a packet that the server sent or bounced.
    pub fn on_server_packet(&mut self, now: Instant, header: &Header) -> Disposition {
        if header.flags.has(Flags::BOUNCED) {
            return self.on_bounced(now, header);
        }
        self.server.on_packet();
        let key = header.server_flow();
        if header.flags.has(Flags::RST) && self.is_being_searched(key) {
            return self.on_foreign_reset(now, key);
        }
        if !self.flows.contains_key(&key) {
            let trail = Trail::from_balancer(Ipv4Addr::UNSPECIFIED, Purpose::Placed);
            let incarnation = self.server.incarnation();
            let forget_at = now + IDLE_TTL;
            let flow = Flow::assumed_open(incarnation, trail, header.seq, header.ack, forget_at);
            self.flows.insert(key, flow);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return Disposition::Return;
        };
        flow.forget_at = flow.forget_at.max(now + OPENING_TTL);
        flow.opening = None;
        flow.searched_by = None;
        let had_ended = flow.server_ended;
        flow.server_ended |= header.flags.is_ending();
        if flow.server_seq.is_none() {
            flow.server_seq = Some(header.seq);
            flow.answered_at = Some(now);
            let trail = flow.trail;
            self.notify_keepers(key);
            self.notify_balancer(key, trail);
        }
        if header.flags.has(Flags::SYN) {
            let until = now + self.queue.request_timeout();
            self.request_deadlines.push(Reverse((until, key)));
            self.extend_request_deadline(key, until);
        }
        let has_completed = header.len > 0 && self.on_answer(now, key, header.len);
        if header.len == 0 && header.flags.has(Flags::RST) && !had_ended {
            self.on_reset(now, key);
        }
        if header.flags.is_ending() {
            self.end(now, key);
        }
        self.admit_on_change(now);
        if has_completed {
            self.offer_idle_slots(now);
        }
        Disposition::Return
    }

    /// Handles a packet that the server bounced: an opening packet that it does not accept, or a packet of a
    /// flow that it does not hold.
    fn on_bounced(&mut self, now: Instant, header: &Header) -> Disposition {
        let key = header.caller_flow();
        let removed = self.remove(now, key);
        self.record_decision(Decision {
            busy: Some(self.busy),
            ..Decision::new(Step::Bounced, key, self.map.index)
        });
        if !header.flags.is_opening() {
            self.record_bounced(now, key);
            if let Some(searcher) = removed.as_ref().and_then(|f| f.searched_by) {
                self.deny(now, searcher, key);
            }
            // A server never forgets a flow that it answered and did not end, so it must have restarted.
            if let Some(flow) = removed.filter(|f| f.server_seq.is_some() && !f.server_ended) {
                self.reset_flow(key, &flow);
            }
            return Disposition::Drop;
        }
        let trail = Trail {
            balancer: header.trail.balancer,
            hops: removed.as_ref().map_or(0, |f| f.trail.hops),
            purpose: Purpose::Placed,
            age: removed.map_or(Duration::ZERO, |f| f.trail.age),
        };
        let header = Header { trail, ..*header };
        self.redirect_or_refuse(now, self.mesh.own().ip, &header, Reason::Busy)
    }

    fn is_being_searched(&self, key: FlowKey) -> bool {
        let flow = self.flows.get(&key);
        flow.is_some_and(|f| f.searched_by.is_some())
    }

    /// Handles a reset, by the server, of a flow that this agent only received in a search and that may be
    /// open at another server. The reset shows that this server does not hold the flow, so it must not reach
    /// the caller.
    fn on_foreign_reset(&mut self, now: Instant, key: FlowKey) -> Disposition {
        self.record_bounced(now, key);
        if let Some(searcher) = self.remove(now, key).and_then(|f| f.searched_by) {
            self.deny(now, searcher, key);
        }
        self.record_decision(Decision::new(Step::Bounced, key, self.map.index));
        Disposition::Drop
    }
}
