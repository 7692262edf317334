//! Drives the [`Admission`] state machine of the local backend server: issues permits to run and resolves
//! queued requests.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dogwoodrill_core::admission::report::EndpointReport;
use dogwoodrill_core::admission::{
    Admission, AdmissionSettings, Arrival, Decision, Event, Load, Refusal, RefusalCause, Ticket,
};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use super::Agent;
use super::announce::BootId;

/// Admission control of the backend server, shared by all requests of one agent.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified when the time of the next tick may have changed.
    ticker_wakeup: Notify,
    /// Notified when the queue becomes empty or non-empty, or when there is capacity again.
    load_changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    server: Option<Server>,
    queued_requests: HashMap<Ticket, oneshot::Sender<QueueOutcome>>,
    last_load: LoadSummary,
}

/// Part of the load that is reported to peers immediately when it changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct LoadSummary {
    has_queue: bool,
    in_flight: u32,
}

#[derive(Debug)]
struct Server {
    boot_id: BootId,
    admission: Admission,
}

/// Result of [`AdmissionGate::admit`].
#[derive(Debug)]
pub enum GateDecision {
    /// The request may run now.
    Run(Permit),
    /// The request is queued.
    Wait(QueuedRequest),
    /// The request is rejected.
    Refused(Refusal),
    /// No backend server has announced itself.
    NoServer,
}

/// How the wait of a queued request ended.
#[derive(Debug)]
pub enum QueueOutcome {
    /// The request may run now.
    Run(Permit),
    /// The request is refused.
    Refused(Refusal),
}

/// Permission to run one request. Dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    gate: AdmissionGate,
    ticket: Ticket,
}

impl Permit {
    /// Records that the response head has arrived; its latency is a sample for the concurrency limit.
    pub fn on_response_head(&mut self) {
        let (ticket, now) = (self.ticket, now());
        self.gate.update(|a| a.on_response_head(now, ticket));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (ticket, now) = (self.ticket, now());
        self.gate.update(|a| a.on_completed(now, ticket));
    }
}

/// A request in the admission queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub struct QueuedRequest {
    gate: AdmissionGate,
    ticket: Ticket,
    outcome: oneshot::Receiver<QueueOutcome>,
}

impl QueuedRequest {
    /// Waits until the request may run or is refused.
    pub async fn outcome(&mut self) -> QueueOutcome {
        let outcome = (&mut self.outcome).await;
        outcome.unwrap_or_else(|_| {
            QueueOutcome::Refused(Refusal {
                cause: RefusalCause::TooLate,
                retry_at: now(),
            })
        })
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.gate.lock().queued_requests.remove(&ticket);
        self.gate.update(|a| {
            a.on_withdrawn(ticket);
            Vec::new()
        });
    }
}

impl AdmissionGate {
    /// Applies the settings of the server incarnation `boot_id`. A new incarnation begins with a cold start;
    /// requests of the previous one count until they end.
    pub fn configure(&self, boot_id: &BootId, settings: AdmissionSettings) {
        let now = now();
        let mut state = self.lock();
        match &mut state.server {
            Some(server) => {
                server.admission.on_settings(now, settings);
                if server.boot_id != *boot_id {
                    server.boot_id = boot_id.clone();
                    server.admission.on_cold_start(now);
                }
            }
            None => {
                state.server = Some(Server {
                    boot_id: boot_id.clone(),
                    admission: Admission::new(now, settings),
                });
            }
        }
        drop(state);
        self.update(|a| a.on_tick(now));
    }

    /// Applies a report from the server's health and load endpoints.
    pub fn on_report(&self, report: EndpointReport) {
        let now = now();
        self.update(|a| {
            a.on_report(now, report);
            a.on_tick(now)
        });
    }

    /// Decides about a request that has arrived: run, queue or reject it.
    pub fn admit(&self, arrival: Arrival) -> GateDecision {
        let mut state = self.lock();
        let Some(server) = &mut state.server else {
            return GateDecision::NoServer;
        };
        let now = now();
        match server.admission.on_arrival(now, arrival) {
            Decision::Run(ticket) => GateDecision::Run(self.permit(ticket)),
            Decision::Refused(refusal) => GateDecision::Refused(refusal),
            Decision::Wait(ticket) => {
                let (tx, outcome) = oneshot::channel();
                state.queued_requests.insert(ticket, tx);
                drop(state);
                // It may go before others, whose response cannot come in time any more.
                self.update(|a| a.on_tick(now));
                GateDecision::Wait(QueuedRequest {
                    gate: self.clone(),
                    ticket,
                    outcome,
                })
            }
        }
    }

    /// Returns the current load, or an empty load if no server has announced itself.
    pub fn load(&self) -> Load {
        let state = self.lock();
        let server = state.server.as_ref();
        server.map_or_else(Load::default, |s| s.admission.load(now()))
    }

    /// Waits until the queue becomes empty or non-empty, or until there is capacity again.
    pub async fn load_changed(&self) {
        self.0.load_changed.notified().await;
    }

    /// Runs the timer for queue deadlines and the cold start, until the task is cancelled.
    pub async fn run(&self) -> Infallible {
        loop {
            let next = {
                let state = self.lock();
                let server = state.server.as_ref();
                server.and_then(|s| s.admission.next_tick(now()))
            };
            tokio::select! {
                () = self.0.ticker_wakeup.notified() => {}
                () = wait_until(next.map(Instant::from_std)) => {
                    self.update(|a| a.on_tick(now()));
                }
            }
        }
    }

    fn permit(&self, ticket: Ticket) -> Permit {
        Permit {
            gate: self.clone(),
            ticket,
        }
    }

    /// Applies `update` to the admission state and resolves the queued requests that may now run or are refused.
    fn update(&self, update: impl FnOnce(&mut Admission) -> Vec<Event>) {
        let mut outcomes = Vec::new();
        let mut state = self.lock();
        if let Some(server) = &mut state.server {
            for event in update(&mut server.admission) {
                let (ticket, outcome) = match event {
                    Event::Run(ticket) => (ticket, QueueOutcome::Run(self.permit(ticket))),
                    Event::Refused(ticket, refusal) => (ticket, QueueOutcome::Refused(refusal)),
                };
                outcomes.push((state.queued_requests.remove(&ticket), outcome));
            }
        }
        drop(state);
        // The permit of a request that is no longer waiting is dropped here, outside the lock, and frees its
        // slot.
        for (sender, outcome) in outcomes {
            if let Some(sender) = sender {
                drop(sender.send(outcome));
            }
        }
        self.notify_load_change();
    }

    fn notify_load_change(&self) {
        self.0.ticker_wakeup.notify_one();
        let mut state = self.lock();
        let server = state.server.as_ref();
        let load = server.map_or_else(Load::default, |s| s.admission.load(now()));
        let load_summary = LoadSummary {
            has_queue: load.queued > 0,
            in_flight: load.in_flight,
        };
        let previous = std::mem::replace(&mut state.last_load, load_summary);
        drop(state);
        let has_new_capacity = load.has_capacity() && load_summary.in_flight < previous.in_flight;
        if load_summary.has_queue != previous.has_queue || has_new_capacity {
            self.0.load_changed.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies changes of the announcement and the committed configuration to the gate of `agent`, and runs its
/// timer.
pub async fn run(agent: &Agent) -> Result<(), Infallible> {
    let gate = &agent.request_context.gate;
    let mut announcements = agent.announcements.subscribe();
    let mut config = agent.cluster.config_changes();
    loop {
        let boot_id = announcements
            .borrow_and_update()
            .as_ref()
            .map(|a| a.boot_id.clone());
        config.borrow_and_update();
        if let (Some(boot_id), Some(policy)) = (boot_id, agent.request_context.policy()) {
            gate.configure(&boot_id, policy.admission());
        }
        tokio::select! {
            Ok(()) = announcements.changed() => {}
            Ok(()) = config.changed() => {}
            never = gate.run() => match never {},
        }
    }
}

async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
