//! An agent's view of its backend server.
//!
//! A server reports its own state to its agent. Reports may arrive late or come from an earlier incarnation,
//! so each carries the start time of its incarnation and a sequence number, and only newer reports are
//! applied. A server that leaves sends a leave notice. A crash is detected by missing reports, by opening
//! packets that the server does not answer, and by its closed port.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use derive_more::Display;

use super::probation::Probation;
use super::service_map::ServiceLabel;
use crate::ids::{AvailabilityZone, Sequence};
use crate::time::UnixMillis;

/// Report intervals without a report after which a server counts as failed; one report may be lost and the
/// next one late.
const MAX_MISSED_REPORTS: f64 = 2.5;
/// Report intervals without a report after which a check of the server's port shows whether it is still
/// running.
const PORT_CHECK_AFTER_REPORTS: f64 = 1.5;
/// Interval between two port checks; each costs the server a connection.
const PORT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Whether a server accepts new flows.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ServerState {
    /// The server accepts new flows.
    #[display("ready")]
    Ready,
    /// The server is about to leave and accepts no new flows.
    #[display("draining")]
    Draining,
}

/// Largest sequence number of the first received report at which the server is assumed to have started at
/// about the same time as the agent; earlier reports may not have arrived.
const MAX_FIRST_SEQUENCE: u64 = 3;

/// A report of a backend server about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerStatement {
    /// Name that the server chose for itself.
    pub id: Box<str>,
    /// Start time of the server's incarnation, by its own clock.
    pub started_at: UnixMillis,
    /// Sequence number of the report within the incarnation.
    pub sequence: Sequence,
    /// Service of the server.
    pub service: ServiceLabel,
    /// Address of the server.
    pub address: SocketAddrV4,
    /// Availability zone of the server.
    pub zone: AvailabilityZone,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: ServerState,
    /// Time for which the server will still be slow after its start.
    pub cold_remaining: Duration,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StatementOutcome {
    /// Nothing, because the report is older than the known state.
    #[display("stale")]
    Stale,
    /// The state of the server is the same.
    #[display("unchanged")]
    Unchanged,
    /// The server's state changed.
    #[display("changed")]
    Changed,
    /// The report begins a new incarnation, so the previous one has ended.
    #[display("new life")]
    NewIncarnation,
}

/// Counter of the server incarnations that an agent has observed.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerIncarnation(u32);

#[derive(Clone, Debug)]
struct Current {
    statement: ServerStatement,
    last_report_at: Instant,
    cold_until: Instant,
    is_stopped: bool,
    start_order: StartOrder,
    /// Whether the server was cold at its first received report, so that it had started a few seconds before
    /// at most.
    was_cold: bool,
}

/// Start of a server incarnation relative to the start of the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartOrder {
    /// The agent received the server's first report, so it has observed the whole incarnation.
    AtFirstReport,
    /// The server started at about the same time as the agent.
    NearAgentStart,
    /// The server had been running for a while when the agent received its first report.
    BeforeAgent,
}

impl StartOrder {
    /// Derives the order of starts from the sequence number of the first report that the agent received of
    /// any server.
    const fn from_first_sequence(sequence: u64) -> Self {
        match sequence {
            0..=1 => Self::AtFirstReport,
            2..=MAX_FIRST_SEQUENCE => Self::NearAgentStart,
            _ => Self::BeforeAgent,
        }
    }
}

/// Why a server gets no opening packets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Unavailability {
    /// It has not reported, or its incarnation has ended.
    #[display("gone")]
    Stopped,
    /// It is draining.
    #[display("draining")]
    Draining,
    /// It does not answer.
    #[display("silent")]
    Silent,
}

/// The state of an agent's backend server.
#[derive(Clone, Debug)]
pub struct Server {
    report_interval: Duration,
    incarnation: ServerIncarnation,
    current: Option<Current>,
    /// Active while the server does not answer opening packets.
    silence: Probation,
    port_check_at: Instant,
}

impl Server {
    /// Creates the state of a server that has not reported yet.
    pub const fn new(now: Instant, report_interval: Duration) -> Self {
        Self {
            report_interval,
            incarnation: ServerIncarnation(0),
            current: None,
            silence: Probation::off(),
            port_check_at: now,
        }
    }

    /// Longest interval between two reports of a healthy server.
    pub const fn report_interval(&self) -> Duration {
        self.report_interval
    }

    /// Returns the current or else the last incarnation.
    pub const fn incarnation(&self) -> ServerIncarnation {
        self.incarnation
    }

    /// Returns the last report of the current incarnation.
    pub fn statement(&self) -> Option<&ServerStatement> {
        let current = self.current.as_ref().filter(|c| !c.is_stopped)?;
        Some(&current.statement)
    }

    /// Applies a report of the server.
    pub fn on_statement(&mut self, now: Instant, statement: ServerStatement) -> StatementOutcome {
        let cold_until = now + statement.cold_remaining;
        let first = StartOrder::from_first_sequence(statement.sequence.into());
        let is_cold = cold_until > now;
        let new_current = |statement, start_order, was_cold| Current {
            statement,
            last_report_at: now,
            cold_until,
            is_stopped: false,
            start_order,
            was_cold,
        };
        let Some(current) = &mut self.current else {
            self.current = Some(new_current(statement, first, is_cold));
            return StatementOutcome::NewIncarnation;
        };
        let known = &current.statement;
        if known.id == statement.id && known.started_at == statement.started_at {
            if statement.sequence <= known.sequence || current.is_stopped {
                return StatementOutcome::Stale;
            }
            let changed = known.state != statement.state || known.slots != statement.slots;
            *current = new_current(statement, current.start_order, current.was_cold);
            return if changed {
                StatementOutcome::Changed
            } else {
                StatementOutcome::Unchanged
            };
        }
        if statement.started_at < known.started_at {
            return StatementOutcome::Stale;
        }
        self.current = Some(new_current(statement, StartOrder::AtFirstReport, is_cold));
        self.incarnation = ServerIncarnation(self.incarnation.0 + 1);
        self.silence.end();
        StatementOutcome::NewIncarnation
    }

    /// Handles the leave notice of the server named `id`. Returns false if it is not the current server.
    pub fn on_leave(&mut self, id: &str) -> bool {
        let current = self.current.as_mut().filter(|c| &*c.statement.id == id);
        current.map(|c| c.is_stopped = true).is_some()
    }

    /// Handles a closed port, which shows that the process has ended. Returns whether the server was running
    /// before.
    pub fn on_port_closed(&mut self) -> bool {
        let current = self.current.as_mut().filter(|c| !c.is_stopped);
        current.map(|c| c.is_stopped = true).is_some()
    }

    /// Notes that the server sent a packet, which ends its silence.
    pub const fn on_packet(&mut self) {
        self.silence.end();
    }

    /// Notes that the server did not answer an opening packet. Returns whether it had answered before.
    pub fn on_unanswered(&mut self, now: Instant) -> bool {
        let answered_before = !self.silence.is_on();
        if answered_before {
            self.silence.begin(now);
        }
        answered_before
    }

    /// Whether an opening packet may go to a silent server now, as a probe.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        self.silence.take_probe(now)
    }

    /// Whether to check the server's port now.
    pub fn take_port_check(&mut self, now: Instant) -> bool {
        let Some(current) = self.current.as_ref().filter(|c| !c.is_stopped) else {
            return false;
        };
        let is_overdue =
            now > current.last_report_at + self.report_interval.mul_f64(PORT_CHECK_AFTER_REPORTS);
        let is_due = (is_overdue || self.silence.is_on()) && self.port_check_at <= now;
        if is_due {
            self.port_check_at = now + PORT_CHECK_INTERVAL;
        }
        is_due
    }

    /// Returns why the server gets no opening packets; `None` if it gets them.
    pub fn unavailability(&self, now: Instant) -> Option<Unavailability> {
        let Some(current) = self.current.as_ref().filter(|c| !c.is_stopped) else {
            return Some(Unavailability::Stopped);
        };
        if current.statement.state == ServerState::Draining {
            return Some(Unavailability::Draining);
        }
        let lost_at = current.last_report_at + self.report_interval.mul_f64(MAX_MISSED_REPORTS);
        (now > lost_at || self.silence.is_on()).then_some(Unavailability::Silent)
    }

    /// Whether the incarnation may have started before the agent, so that it may hold flows that the agent
    /// has not observed. Without a report this must be assumed.
    pub fn predates_agent(&self) -> bool {
        let current = self.current.as_ref();
        current.is_none_or(|c| c.start_order == StartOrder::BeforeAgent && !c.is_stopped)
    }

    /// Whether the server had been running for a while when the agent received its first report. A cold
    /// server had not, however many reports it had tried to send before.
    pub fn was_running_before_agent(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|c| c.start_order == StartOrder::BeforeAgent && !c.was_cold)
    }

    /// Notes that the agent has observed every flow of the current incarnation.
    pub fn set_fully_observed(&mut self) {
        if let Some(current) = &mut self.current {
            current.start_order = StartOrder::AtFirstReport;
        }
    }

    /// Whether no server has reported to the agent, which started at `since`, although a running one would
    /// have.
    pub fn is_absent(&self, now: Instant, since: Instant) -> bool {
        self.current.is_none()
            && now > since + self.report_interval.mul_f64(PORT_CHECK_AFTER_REPORTS)
    }

    /// Whether the last incarnation has ended and no other has started.
    pub fn has_stopped(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.is_stopped)
    }

    /// Whether the agent has observed every flow that the server may hold.
    pub fn is_fully_observed(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|c| c.start_order == StartOrder::AtFirstReport)
    }

    /// Whether the server has just started and is still slow.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.current.as_ref().is_some_and(|c| now < c.cold_until)
    }

    /// Time since the server's last report.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let current = self.current.as_ref()?;
        Some(now.saturating_duration_since(current.last_report_at))
    }
}
