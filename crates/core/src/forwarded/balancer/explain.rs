//! What a balancer would do with an opening packet.

use std::time::Instant;

use super::{Balancer, CachedLocation, PROBE_POLICY};
use crate::forwarded::explain::{self, BalancerExplanation, ExplainError, Query, ServiceChoice};
use crate::forwarded::placement::{self, Probability};
use crate::forwarded::service_map::Target;

impl Balancer {
    /// Returns where a new flow would go now. Changes nothing.
    pub fn explain(
        &self,
        now: Instant,
        query: &Query,
    ) -> Result<BalancerExplanation, ExplainError> {
        let route = query.route(&self.map, &self.mesh, Some(&self.zone))?;
        let zone = query.zone.as_ref().unwrap_or(&self.zone);
        // Balancers of another zone have other caches.
        let cached = self
            .cached_location(query.flow)
            .filter(|_| *zone == self.zone);
        let load = self.mesh.load_estimator(now);
        let mut no_server = Probability::default();
        let choice = |(target, share): (&Target, Probability)| {
            let service = &target.service;
            let candidates = Self::candidates(&self.map, &self.mesh, now, service, None);
            let probabilities =
                placement::choice_probabilities(load, &candidates, zone, PROBE_POLICY);
            if candidates.is_empty() {
                no_server += share;
            }
            let probabilities = probabilities.into_iter().map(|p| p * f64::from(share));
            let agents = candidates.iter().map(|c| c.agent);
            let chosen: Vec<_> = agents.zip(probabilities).collect();
            ServiceChoice {
                service: service.clone(),
                weight: target.weight,
                probability: share,
                agents: explain::agent_choices(now, &self.map, &self.mesh, service, &chosen),
            }
        };
        let services = explain::services(route).map(choice).collect();
        let without_server = self.mesh.agents().filter(|(_, k)| k.report.is_none());
        Ok(BalancerExplanation {
            zone: zone.clone(),
            index: self.map.index,
            policy: route.policy,
            placed_at: match cached {
                Some(CachedLocation::Agent(ip)) => Some(ip),
                Some(CachedLocation::QueriedKeepers(_)) | None => None,
            },
            without_server: without_server.map(|(ip, _)| ip).collect(),
            services,
            no_server,
        })
    }
}
