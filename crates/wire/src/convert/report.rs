//! Conversions of the counts that agents return for service level reports.

use dogwoodrill_core::slo::{AgentMinutes, Minute, MinuteCounts, WindowCounts};

use super::{ConvertError, checked_narrow, name};
use crate::proto::report as wire;

impl From<&AgentMinutes> for wire::MinutesResponse {
    fn from(m: &AgentMinutes) -> Self {
        Self {
            server: m.server.into(),
            service: u16::from(m.service).into(),
            zone: m.zone.to_string(),
            windows: m.windows.iter().copied().map(Into::into).collect(),
            minutes: m.minutes.iter().copied().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::MinutesResponse> for AgentMinutes {
    type Error = ConvertError;

    fn try_from(m: wire::MinutesResponse) -> Result<Self, Self::Error> {
        Ok(Self {
            server: m.server.into(),
            service: checked_narrow::<u16>("service", m.service)?.into(),
            zone: name("zone", m.zone)?,
            windows: m.windows.into_iter().map(Into::into).collect(),
            minutes: m.minutes.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<WindowCounts> for wire::Window {
    fn from(w: WindowCounts) -> Self {
        Self {
            minutes: w.minutes,
            known_minutes: w.known_minutes,
            good: w.good,
            bad: w.bad,
            flows_broken: w.flows_broken,
            busy_ms: w.busy_millis,
        }
    }
}

impl From<wire::Window> for WindowCounts {
    fn from(w: wire::Window) -> Self {
        Self {
            minutes: w.minutes,
            known_minutes: w.known_minutes,
            good: w.good,
            bad: w.bad,
            flows_broken: w.flows_broken,
            busy_millis: w.busy_ms,
        }
    }
}

impl From<(Minute, MinuteCounts)> for wire::Minute {
    fn from((minute, counts): (Minute, MinuteCounts)) -> Self {
        Self {
            minute: minute.into(),
            good: counts.good,
            bad: counts.bad,
            flows_opened: counts.flows_opened,
            flows_broken: counts.flows_broken,
            busy_ms: counts.busy_millis,
            zone_out: counts.zone_out > 0,
        }
    }
}

impl From<wire::Minute> for (Minute, MinuteCounts) {
    fn from(m: wire::Minute) -> Self {
        let counts = MinuteCounts {
            good: m.good,
            bad: m.bad,
            flows_opened: m.flows_opened,
            flows_broken: m.flows_broken,
            busy_millis: m.busy_ms,
            zone_out: m.zone_out.into(),
        };
        (Minute::new(m.minute), counts)
    }
}
