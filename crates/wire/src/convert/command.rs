//! Conversions of the commands in log entries and of the state machine in snapshots.

use dogwoodrill_core::changes::{
    Accepted, Change, ChangeResult, Command, CommandId, CommittedValue, Refusal,
};
use dogwoodrill_core::control_state::{AnsweredCommand, ControlState};
use dogwoodrill_core::ids::ServiceId;
use uuid::Uuid;

use super::{ConvertError, checked_narrow};
use crate::proto::consensus as wire;
use wire::answer::Kind as AnswerKind;
use wire::change::Kind as ChangeKind;
use wire::lost_race::Won;

impl From<&Command> for wire::Command {
    fn from(c: &Command) -> Self {
        let id = c.id.as_ref().map(CommandId::as_bytes);
        Self {
            proposed_at_ms: c.proposed_at.into(),
            command_id: id.map_or_else(Vec::new, |id| id.to_vec()),
            change: Some((&c.change).into()),
        }
    }
}

impl TryFrom<wire::Command> for Command {
    type Error = ConvertError;

    fn try_from(c: wire::Command) -> Result<Self, Self::Error> {
        let id = (!c.command_id.is_empty()).then(|| command_id(&c.command_id));
        Ok(Self {
            id: id.transpose()?,
            proposed_at: c.proposed_at_ms.into(),
            change: change(c.change)?,
        })
    }
}

impl From<&Change> for wire::Change {
    fn from(change: &Change) -> Self {
        let kind = match change {
            Change::Profile(p) => ChangeKind::Profile(p.into()),
            Change::Zone(z) => ChangeKind::Zone(z.into()),
            Change::ClaimGroup(g) => ChangeKind::ClaimGroup(g.into()),
            Change::Document(d) => ChangeKind::Document(d.into()),
        };
        Self { kind: Some(kind) }
    }
}

fn change(change: Option<wire::Change>) -> Result<Change, ConvertError> {
    let kind = change.and_then(|c| c.kind);
    Ok(
        match kind.ok_or(ConvertError::Missing { field: "change" })? {
            ChangeKind::Profile(p) => Change::Profile(p.try_into()?),
            ChangeKind::Zone(z) => Change::Zone(z.try_into()?),
            ChangeKind::ClaimGroup(g) => Change::ClaimGroup(g.try_into()?),
            ChangeKind::Document(d) => Change::Document(d.into()),
        },
    )
}

fn command_id(bytes: &[u8]) -> Result<CommandId, ConvertError> {
    let id = Uuid::from_slice(bytes).ok();
    let id = id.and_then(|id| CommandId::try_from(id).ok());
    id.ok_or(ConvertError::CommandId)
}

impl From<&ControlState> for wire::State {
    fn from(s: &ControlState) -> Self {
        let answered = s.answered.iter().map(|(id, a)| wire::AnsweredCommand {
            command_id: id.as_bytes().to_vec(),
            change: Some((&a.change).into()),
            answer: Some((&a.answer).into()),
        });
        let times = s.epoch_times.iter().map(|(service, at)| wire::EpochTime {
            service: service.get().into(),
            committed_at_ms: at.get(),
        });
        Self {
            config: Some((&s.config).into()),
            answered: answered.collect(),
            epoch_times: times.collect(),
            time_ms: s.time.get(),
        }
    }
}

impl TryFrom<wire::State> for ControlState {
    type Error = ConvertError;

    fn try_from(s: wire::State) -> Result<Self, Self::Error> {
        let config = s.config.ok_or(ConvertError::Missing { field: "config" })?;
        let mut state = Self::new(config.try_into()?);
        state.time = s.time_ms.into();
        for answered in s.answered {
            let id = command_id(&answered.command_id)?;
            let answered = AnsweredCommand {
                change: change(answered.change)?,
                answer: answer(answered.answer)?,
            };
            state.answered.insert(id, answered);
        }
        for time in s.epoch_times {
            let service = checked_narrow::<u16>("service", time.service)?;
            let at = time.committed_at_ms.into();
            state.epoch_times.insert(ServiceId::new(service), at);
        }
        Ok(state)
    }
}

impl From<&ChangeResult> for wire::Answer {
    fn from(answer: &ChangeResult) -> Self {
        let kind = match answer {
            Ok(accepted) => Some(AnswerKind::Accepted(wire::Accepted {
                index: accepted.index.into(),
                version: accepted.version.into(),
            })),
            Err(Refusal::VersionConflict { current }) => {
                Some(AnswerKind::LostRace(wire::LostRace {
                    won: self::won(current),
                }))
            }
            Err(Refusal::Invalid { field, problem }) => Some(AnswerKind::Invalid(wire::Invalid {
                field: field.clone(),
                problem: problem.clone(),
            })),
            // These refusals concern the command id itself and are never stored as its answer.
            Err(Refusal::CommandIdReused | Refusal::CommandIdExpired) => None,
        };
        Self { kind }
    }
}

fn answer(answer: Option<wire::Answer>) -> Result<ChangeResult, ConvertError> {
    let kind = answer.and_then(|a| a.kind);
    Ok(
        match kind.ok_or(ConvertError::Missing { field: "answer" })? {
            AnswerKind::Accepted(a) => Ok(Accepted {
                index: a.index.into(),
                version: a.version.into(),
            }),
            AnswerKind::LostRace(r) => {
                let current = r
                    .won
                    .map_or(Ok(CommittedValue::Nothing), CommittedValue::try_from)?;
                Err(Refusal::VersionConflict { current })
            }
            AnswerKind::Invalid(i) => Err(Refusal::Invalid {
                field: i.field,
                problem: i.problem,
            }),
        },
    )
}

fn won(standing: &CommittedValue) -> Option<Won> {
    match standing {
        CommittedValue::Nothing => None,
        CommittedValue::Profile(p) => Some(Won::Profile((&**p).into())),
        CommittedValue::Zone(z) => Some(Won::Zone(z.into())),
        CommittedValue::ClaimGroup(g) => Some(Won::ClaimGroup(g.into())),
    }
}

impl TryFrom<Won> for CommittedValue {
    type Error = ConvertError;

    fn try_from(won: Won) -> Result<Self, Self::Error> {
        Ok(match won {
            Won::Profile(p) => Self::Profile(Box::new(p.try_into()?)),
            Won::Zone(z) => Self::Zone(z.try_into()?),
            Won::ClaimGroup(g) => Self::ClaimGroup(g.try_into()?),
        })
    }
}
