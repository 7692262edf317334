//! Drives the [`Admission`] of this agent's backend server: permits to run, and turns in the queue.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dogwoodrill_core::admission::report::EndpointReport;
use dogwoodrill_core::admission::{
    Admission, AdmissionSettings, Arrival, Decision, Event, Load, Refusal, Ticket,
};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use super::Agent;
use super::announce::BootId;

/// Who may run at the backend server, shared by all requests of one agent.
#[derive(Clone, Debug, Default)]
pub struct Gate(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Something may have changed for the ticker.
    tick: Notify,
    /// The queue has begun or ended, or there is room again.
    pressure: Notify,
}

#[derive(Debug, Default)]
struct State {
    server: Option<Server>,
    waiting: HashMap<Ticket, oneshot::Sender<Turn>>,
    last: Pressure,
}

/// What peers should hear of at once when it changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Pressure {
    queued: bool,
    in_flight: u32,
}

#[derive(Debug)]
struct Server {
    boot: BootId,
    admission: Admission,
}

/// What becomes of a request at the gate.
#[derive(Debug)]
pub enum Entry {
    /// It may run now.
    Run(Permit),
    /// It waits.
    Wait(Waiter),
    /// It is refused.
    Refused(Refusal),
    /// No backend server has announced itself.
    NoServer,
}

/// The turn of a request that waited.
#[derive(Debug)]
pub enum Turn {
    /// It may run now.
    Run(Permit),
    /// Its deadline has passed.
    Expired,
}

/// The right to run one request. Dropping it frees the place.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    ticket: Ticket,
}

impl Permit {
    /// The head of the answer is there, which measures the server.
    pub fn on_head(&mut self) {
        let (ticket, now) = (self.ticket, now());
        self.gate.change(|a| a.on_response_head(now, ticket));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (ticket, now) = (self.ticket, now());
        self.gate.change(|a| a.on_completed(now, ticket));
    }
}

/// A place in the queue. Dropping it leaves the queue.
#[derive(Debug)]
pub struct Waiter {
    gate: Gate,
    ticket: Ticket,
    turn: oneshot::Receiver<Turn>,
}

impl Waiter {
    /// Waits for the turn.
    pub async fn turn(&mut self) -> Turn {
        (&mut self.turn).await.unwrap_or(Turn::Expired)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.gate.lock().waiting.remove(&ticket);
        self.gate.change(|a| {
            a.on_withdrawn(ticket);
            Vec::new()
        });
    }
}

impl Gate {
    /// Takes in the settings of the server in its life `boot`. A new life starts cold; its requests of
    /// the old one count as long as they last.
    pub fn configure(&self, boot: &BootId, settings: AdmissionSettings) {
        let now = now();
        let mut state = self.lock();
        match &mut state.server {
            Some(server) => {
                server.admission.on_settings(now, settings);
                if server.boot != *boot {
                    server.boot = boot.clone();
                    server.admission.on_cold_start(now);
                }
            }
            None => {
                state.server = Some(Server {
                    boot: boot.clone(),
                    admission: Admission::new(now, settings),
                });
            }
        }
        drop(state);
        self.change(|a| a.on_tick(now));
    }

    /// Takes in what the endpoints of the server say.
    pub fn on_report(&self, report: EndpointReport) {
        let now = now();
        self.change(|a| {
            a.on_report(now, report);
            a.on_tick(now)
        });
    }

    /// A request arrives.
    pub fn arrive(&self, arrival: Arrival) -> Entry {
        let mut state = self.lock();
        let Some(server) = &mut state.server else {
            return Entry::NoServer;
        };
        match server.admission.on_arrival(now(), arrival) {
            Decision::Run(ticket) => Entry::Run(self.permit(ticket)),
            Decision::Refused(refusal) => Entry::Refused(refusal),
            Decision::Wait(ticket) => {
                let (tx, turn) = oneshot::channel();
                state.waiting.insert(ticket, tx);
                drop(state);
                self.after_change();
                Entry::Wait(Waiter {
                    gate: self.clone(),
                    ticket,
                    turn,
                })
            }
        }
    }

    /// How much there is to do.
    pub fn load(&self) -> Load {
        let state = self.lock();
        let server = state.server.as_ref();
        server.map_or_else(Load::default, |s| s.admission.load(now()))
    }

    /// Returns when the queue begins or ends, or when there is room again.
    pub async fn pressure_changed(&self) {
        self.0.pressure.notified().await;
    }

    /// Lets time pass for the queue and the cold start.
    pub async fn run(&self) -> Infallible {
        loop {
            let next = {
                let state = self.lock();
                let server = state.server.as_ref();
                server.and_then(|s| s.admission.next_tick(now()))
            };
            tokio::select! {
                () = self.0.tick.notified() => {}
                () = until(next.map(Instant::from_std)) => {
                    self.change(|a| a.on_tick(now()));
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

    /// Changes the admission and gives those their turn that may run or have expired.
    fn change(&self, change: impl FnOnce(&mut Admission) -> Vec<Event>) {
        let mut turns = Vec::new();
        let mut state = self.lock();
        if let Some(server) = &mut state.server {
            for event in change(&mut server.admission) {
                let (ticket, turn) = match event {
                    Event::Run(ticket) => (ticket, Turn::Run(self.permit(ticket))),
                    Event::Expired(ticket) => (ticket, Turn::Expired),
                };
                turns.push((state.waiting.remove(&ticket), turn));
            }
        }
        drop(state);
        // A turn that nobody waits for is dropped here, outside the lock, and frees its place.
        for (waiter, turn) in turns {
            if let Some(waiter) = waiter {
                drop(waiter.send(turn));
            }
        }
        self.after_change();
    }

    fn after_change(&self) {
        self.0.tick.notify_one();
        let mut state = self.lock();
        let server = state.server.as_ref();
        let load = server.map_or_else(Load::default, |s| s.admission.load(now()));
        let pressure = Pressure {
            queued: load.queued > 0,
            in_flight: load.in_flight,
        };
        let last = std::mem::replace(&mut state.last, pressure);
        drop(state);
        let has_room_again = load.has_capacity() && pressure.in_flight < last.in_flight;
        if pressure.queued != last.queued || has_room_again {
            self.0.pressure.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps the gate of `agent` at what was announced and committed, and lets its time pass.
pub async fn run(agent: &Agent) -> Result<(), Infallible> {
    let gate = &agent.requests.gate;
    let mut announced = agent.announced.subscribe();
    let mut config = agent.cluster.config_changes();
    loop {
        let boot = announced
            .borrow_and_update()
            .as_ref()
            .map(|a| a.boot.clone());
        config.borrow_and_update();
        if let (Some(boot), Some(policy)) = (boot, agent.requests.policy()) {
            gate.configure(&boot, policy.admission());
        }
        tokio::select! {
            Ok(()) = announced.changed() => {}
            Ok(()) = config.changed() => {}
            never = gate.run() => match never {},
        }
    }
}

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
