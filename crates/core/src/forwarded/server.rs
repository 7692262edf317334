//! One backend server, as the agent beside it knows it.
//!
//! A server reports about itself. Reports may be late or come from an earlier life, so each names the
//! start of its life and a sequence number, and only news is taken. A server that leaves says so; one
//! that crashes says nothing, and is noticed by reports that stay out, by opening packets that it does
//! not answer and by its closed port.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use derive_more::Display;

use super::probation::Probation;
use super::service_map::ServiceLabel;
use crate::ids::{AvailabilityZone, Sequence};
use crate::time::UnixMillis;

/// Report intervals that may pass before a server counts as lost: one report may be lost, the next
/// late.
const MISSED_REPORTS: f64 = 2.5;
/// Report intervals after which a look at the server's port settles whether it is still there.
const DOUBTFUL_REPORTS: f64 = 1.5;
/// Time between two looks at the port; each costs the server a connection.
const PORT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Whether a server takes new flows.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ServerState {
    /// It does.
    #[display("ready")]
    Ready,
    /// It leaves soon.
    #[display("draining")]
    Draining,
}

/// Statements that a server which started beside the agent may have made before one arrived.
const FIRST_STATEMENTS: u64 = 3;

/// What a server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerStatement {
    /// The name that it gave itself.
    pub id: Box<str>,
    /// Start of its life, by its own clock.
    pub started_at: UnixMillis,
    /// Counts its statements.
    pub sequence: Sequence,
    /// Its service.
    pub service: ServiceLabel,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: ServerState,
    /// How much longer it is slow after its start.
    pub cold_remaining: Duration,
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StatementOutcome {
    /// Nothing: it is older than what is known.
    #[display("stale")]
    Stale,
    /// The server is as it was.
    #[display("unchanged")]
    Unchanged,
    /// The server's state changed.
    #[display("changed")]
    Changed,
    /// Another life has begun; the one before is over.
    #[display("new life")]
    NewIncarnation,
}

/// Counts the lives of the server that an agent has seen.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerIncarnation(u32);

#[derive(Debug)]
struct Current {
    statement: ServerStatement,
    last_report_at: Instant,
    cold_until: Instant,
    is_stopped: bool,
    start_order: StartOrder,
    /// Whether it was cold when it was first heard: it had started a few seconds before at most.
    was_cold: bool,
}

/// When a server's life began, beside the agent's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartOrder {
    /// The agent heard its first statement.
    AtFirstReport,
    /// At about the same time.
    NearAgentStart,
    /// It had been there for a while when the agent first heard it.
    BeforeAgent,
}

impl StartOrder {
    /// By the first statement that the agent heard of any life.
    const fn from_first_sequence(sequence: u64) -> Self {
        match sequence {
            0..=1 => Self::AtFirstReport,
            2..=FIRST_STATEMENTS => Self::NearAgentStart,
            _ => Self::BeforeAgent,
        }
    }
}

/// Why a server gets no opening packets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Unavailability {
    /// It has not reported, or its life is over.
    #[display("gone")]
    Stopped,
    /// It leaves.
    #[display("draining")]
    Draining,
    /// It does not answer.
    #[display("silent")]
    Silent,
}

/// The server beside an agent.
#[derive(Debug)]
pub struct Server {
    report_interval: Duration,
    incarnation: ServerIncarnation,
    current: Option<Current>,
    /// On while it does not answer opening packets.
    silence: Probation,
    port_check_at: Instant,
}

impl Server {
    /// Makes the view of a server that has not reported yet.
    pub const fn new(now: Instant, report_interval: Duration) -> Self {
        Self {
            report_interval,
            incarnation: ServerIncarnation(0),
            current: None,
            silence: Probation::off(),
            port_check_at: now,
        }
    }

    /// Longest time between two reports of a server in good order.
    pub const fn report_interval(&self) -> Duration {
        self.report_interval
    }

    /// The life that is current, or was last.
    pub const fn incarnation(&self) -> ServerIncarnation {
        self.incarnation
    }

    /// The last statement of the current life.
    pub fn statement(&self) -> Option<&ServerStatement> {
        let current = self.current.as_ref().filter(|c| !c.is_stopped)?;
        Some(&current.statement)
    }

    /// The server reported.
    pub fn on_statement(&mut self, now: Instant, statement: ServerStatement) -> StatementOutcome {
        let cold_until = now + statement.cold_remaining;
        let first = StartOrder::from_first_sequence(statement.sequence.into());
        let is_cold = cold_until > now;
        let fresh = |statement, start_order, was_cold| Current {
            statement,
            last_report_at: now,
            cold_until,
            is_stopped: false,
            start_order,
            was_cold,
        };
        let Some(current) = &mut self.current else {
            self.current = Some(fresh(statement, first, is_cold));
            return StatementOutcome::NewIncarnation;
        };
        let known = &current.statement;
        if known.id == statement.id && known.started_at == statement.started_at {
            if statement.sequence <= known.sequence || current.is_stopped {
                return StatementOutcome::Stale;
            }
            let changed = known.state != statement.state || known.slots != statement.slots;
            *current = fresh(statement, current.start_order, current.was_cold);
            return if changed {
                StatementOutcome::Changed
            } else {
                StatementOutcome::Unchanged
            };
        }
        if statement.started_at < known.started_at {
            return StatementOutcome::Stale;
        }
        self.current = Some(fresh(statement, StartOrder::AtFirstReport, is_cold));
        self.incarnation = ServerIncarnation(self.incarnation.0 + 1);
        self.silence.end();
        StatementOutcome::NewIncarnation
    }

    /// The server of that name says that it goes; false if it is not the current one.
    pub fn on_leave(&mut self, id: &str) -> bool {
        let current = self.current.as_mut().filter(|c| &*c.statement.id == id);
        current.map(|c| c.is_stopped = true).is_some()
    }

    /// Nothing listens at the server's port: the process is gone. True if it was there before.
    pub fn on_port_closed(&mut self) -> bool {
        let current = self.current.as_mut().filter(|c| !c.is_stopped);
        current.map(|c| c.is_stopped = true).is_some()
    }

    /// The server sent a packet.
    pub const fn on_packet(&mut self) {
        self.silence.end();
    }

    /// The server did not answer an opening packet; true if it did answer before.
    pub fn on_unanswered(&mut self, now: Instant) -> bool {
        let answered_before = !self.silence.is_on();
        if answered_before {
            self.silence.begin(now);
        }
        answered_before
    }

    /// Whether an opening packet may go to a silent server, to see if it is back.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        self.silence.take_probe(now)
    }

    /// Whether to look at the server's port now.
    pub fn take_port_check(&mut self, now: Instant) -> bool {
        let Some(current) = self.current.as_ref().filter(|c| !c.is_stopped) else {
            return false;
        };
        let overdue = now > current.last_report_at + self.report_interval.mul_f64(DOUBTFUL_REPORTS);
        let due = (overdue || self.silence.is_on()) && self.port_check_at <= now;
        if due {
            self.port_check_at = now + PORT_CHECK_INTERVAL;
        }
        due
    }

    /// Why the server gets no opening packets; none if it does.
    pub fn unavailability(&self, now: Instant) -> Option<Unavailability> {
        let Some(current) = self.current.as_ref().filter(|c| !c.is_stopped) else {
            return Some(Unavailability::Stopped);
        };
        if current.statement.state == ServerState::Draining {
            return Some(Unavailability::Draining);
        }
        let lost_at = current.last_report_at + self.report_interval.mul_f64(MISSED_REPORTS);
        (now > lost_at || self.silence.is_on()).then_some(Unavailability::Silent)
    }

    /// Whether the server's life began before the agent's, so that it may hold flows that the agent has
    /// not seen. That may be so until it has first reported.
    pub fn predates_agent(&self) -> bool {
        let current = self.current.as_ref();
        current.is_none_or(|c| c.start_order == StartOrder::BeforeAgent && !c.is_stopped)
    }

    /// Whether the server had been there for a while when the agent first heard it. One that is cold has
    /// not, however often it had tried to report.
    pub fn was_running_before_agent(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|c| c.start_order == StartOrder::BeforeAgent && !c.was_cold)
    }

    /// Every flow of the present life is known to have passed by the agent.
    pub fn set_fully_observed(&mut self) {
        if let Some(current) = &mut self.current {
            current.start_order = StartOrder::AtFirstReport;
        }
    }

    /// Whether none has reported to the agent, which started at `since`, though one that is there would have.
    pub fn is_absent(&self, now: Instant, since: Instant) -> bool {
        self.current.is_none() && now > since + self.report_interval.mul_f64(DOUBTFUL_REPORTS)
    }

    /// Whether the server's life is over, and no other has begun.
    pub fn has_stopped(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.is_stopped)
    }

    /// Whether every flow that the server may hold passed by the agent.
    pub fn is_fully_observed(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|c| c.start_order == StartOrder::AtFirstReport)
    }

    /// Whether the server has just started and is slow.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.current.as_ref().is_some_and(|c| now < c.cold_until)
    }

    /// How long ago the server reported.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let current = self.current.as_ref()?;
        Some(now.saturating_duration_since(current.last_report_at))
    }
}
