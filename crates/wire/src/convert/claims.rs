//! Conversions of the messages about claims on request keys.

use std::sync::Arc;

use dogwoodrill_core::claims::key::{Attempt, RequestKey};
use dogwoodrill_core::claims::lives::CrashVector;
use dogwoodrill_core::claims::message::{
    Abstention, Answer, ClaimOperation, ClaimReply, ClaimRequest, Copy, CopyRequest, Grant,
    Outcome, RunId, StoredAnswer, StoredHeader,
};
use dogwoodrill_core::claims::table::Claim;
use dogwoodrill_core::config::ClaimReplicaId;
use dogwoodrill_core::ids::{Epoch, ServiceId};
use uuid::Uuid;

use super::{ConvertError, checked_narrow};
use crate::proto::claims as wire;
use crate::proto::claims::claim_reply::Verdict;
use crate::proto::claims::claim_request::Step as WireStep;
use crate::proto::claims::outcome::Kind;

const fn missing(field: &'static str) -> ConvertError {
    ConvertError::Missing { field }
}

impl From<ClaimReplicaId> for wire::Life {
    fn from(k: ClaimReplicaId) -> Self {
        Self {
            server: k.server.get(),
            incarnation: k.incarnation.get(),
        }
    }
}

impl From<wire::Life> for ClaimReplicaId {
    fn from(l: wire::Life) -> Self {
        Self {
            server: l.server.into(),
            incarnation: l.incarnation.into(),
        }
    }
}

fn crash_vector_to_wire(crash_vector: &CrashVector) -> Vec<wire::Life> {
    crash_vector.iter().map(Into::into).collect()
}

fn crash_vector_from_wire(lives: Vec<wire::Life>) -> CrashVector {
    lives.into_iter().map(ClaimReplicaId::from).collect()
}

impl From<RunId> for wire::Run {
    fn from(r: RunId) -> Self {
        Self {
            server: r.server.get(),
            incarnation: r.incarnation.get(),
            number: r.number,
        }
    }
}

impl From<wire::Run> for RunId {
    fn from(r: wire::Run) -> Self {
        Self {
            server: r.server.into(),
            incarnation: r.incarnation.into(),
            number: r.number,
        }
    }
}

fn run(run: Option<wire::Run>) -> Result<RunId, ConvertError> {
    run.map(Into::into).ok_or(missing("run"))
}

fn replica_id(
    field: &'static str,
    incarnation: Option<wire::Life>,
) -> Result<ClaimReplicaId, ConvertError> {
    incarnation.map(Into::into).ok_or(missing(field))
}

fn key(bytes: &[u8]) -> Result<RequestKey, ConvertError> {
    let out_of_range = || ConvertError::OutOfRange { field: "key" };
    let uuid = Uuid::from_slice(bytes).ok().ok_or_else(out_of_range)?;
    RequestKey::try_from(uuid).ok().ok_or_else(out_of_range)
}

fn attempt(field: &'static str, number: u32) -> Result<Attempt, ConvertError> {
    Attempt::new(number).ok_or(ConvertError::OutOfRange { field })
}

impl From<&Outcome> for wire::Outcome {
    fn from(o: &Outcome) -> Self {
        let kind = match o {
            Outcome::Answer(answer) => Kind::Answer((&**answer).into()),
            Outcome::NotKept { status } => Kind::NotKept(wire::NotKept {
                status: (*status).into(),
            }),
            Outcome::Unknown => Kind::Unknown(wire::Unknown {}),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<wire::Outcome> for Outcome {
    type Error = ConvertError;

    fn try_from(o: wire::Outcome) -> Result<Self, Self::Error> {
        match o.kind.ok_or(missing("outcome"))? {
            Kind::Answer(answer) => Ok(Self::Answer(Arc::new(answer.try_into()?))),
            Kind::NotKept(kept) => Ok(Self::NotKept {
                status: checked_narrow("status", kept.status)?,
            }),
            Kind::Unknown(_) => Ok(Self::Unknown),
        }
    }
}

impl From<&StoredAnswer> for wire::Answer {
    fn from(a: &StoredAnswer) -> Self {
        let header = |h: &StoredHeader| wire::Header {
            name: h.name.clone(),
            value: h.value.to_vec(),
        };
        Self {
            status: a.status.into(),
            headers: a.headers.iter().map(header).collect(),
            body: a.body.to_vec(),
        }
    }
}

impl TryFrom<wire::Answer> for StoredAnswer {
    type Error = ConvertError;

    fn try_from(a: wire::Answer) -> Result<Self, Self::Error> {
        let header = |h: wire::Header| StoredHeader {
            name: h.name,
            value: h.value.into(),
        };
        Ok(Self {
            status: checked_narrow("status", a.status)?,
            headers: a.headers.into_iter().map(header).collect(),
            body: a.body.into(),
        })
    }
}

impl wire::ClaimRequest {
    /// Creates the message for a request about a key of `service`.
    pub fn new(service: ServiceId, r: &ClaimRequest) -> Self {
        let step = match &r.operation {
            ClaimOperation::Grant => WireStep::Grant(wire::Grant {}),
            ClaimOperation::Release => WireStep::Release(wire::Release {}),
            ClaimOperation::Seal => WireStep::Seal(wire::Seal {}),
            ClaimOperation::Finish(outcome) => WireStep::Finish(wire::Finish {
                outcome: Some(outcome.into()),
            }),
        };
        Self {
            service: service.get().into(),
            epoch: r.epoch.into(),
            lives: crash_vector_to_wire(&r.crash_vector),
            key: r.key.as_bytes().to_vec(),
            attempt: r.attempt.get(),
            run: Some(r.run.into()),
            step: Some(step),
        }
    }
}

impl TryFrom<wire::ClaimRequest> for ClaimRequest {
    type Error = ConvertError;

    fn try_from(r: wire::ClaimRequest) -> Result<Self, Self::Error> {
        let operation = match r.step.ok_or(missing("step"))? {
            WireStep::Grant(_) => ClaimOperation::Grant,
            WireStep::Release(_) => ClaimOperation::Release,
            WireStep::Seal(_) => ClaimOperation::Seal,
            WireStep::Finish(f) => {
                ClaimOperation::Finish(f.outcome.ok_or(missing("outcome"))?.try_into()?)
            }
        };
        Ok(Self {
            epoch: r.epoch.into(),
            crash_vector: crash_vector_from_wire(r.lives),
            key: key(&r.key)?,
            attempt: attempt("attempt", r.attempt)?,
            run: run(r.run)?,
            operation,
        })
    }
}

impl From<Abstention> for wire::Abstention {
    fn from(a: Abstention) -> Self {
        match a {
            Abstention::Recovering => Self::Recovering,
            Abstention::Epoch => Self::Epoch,
            Abstention::KeyTime => Self::KeyTime,
            Abstention::Full => Self::Full,
        }
    }
}

impl TryFrom<wire::Abstention> for Abstention {
    type Error = ConvertError;

    fn try_from(a: wire::Abstention) -> Result<Self, Self::Error> {
        match a {
            wire::Abstention::Recovering => Ok(Self::Recovering),
            wire::Abstention::Epoch => Ok(Self::Epoch),
            wire::Abstention::KeyTime => Ok(Self::KeyTime),
            wire::Abstention::Full => Ok(Self::Full),
            wire::Abstention::Unspecified => Err(missing("abstention")),
        }
    }
}

impl From<&ClaimReply> for wire::ClaimReply {
    fn from(r: &ClaimReply) -> Self {
        let verdict = match &r.answer {
            Answer::Granted => Verdict::Granted(wire::Granted {}),
            Answer::Held { by } => Verdict::Held(wire::Held {
                by: Some((*by).into()),
            }),
            Answer::Refused { through } => Verdict::Refused(wire::Refused {
                through: through.get(),
            }),
            Answer::Sealed { through } => Verdict::Sealed(wire::Sealed {
                through: through.get(),
            }),
            Answer::Done(outcome) => Verdict::Done(outcome.into()),
            Answer::Noted => Verdict::Noted(wire::Noted {}),
            Answer::Abstained(reason) => Verdict::Abstained(wire::Abstained {
                reason: wire::Abstention::from(*reason).into(),
            }),
            Answer::Stale(crash_vector) => Verdict::Stale(wire::Stale {
                lives: crash_vector_to_wire(crash_vector),
            }),
        };
        Self {
            keeper: Some(r.replica.into()),
            epoch: r.epoch.into(),
            run: Some(r.run.into()),
            verdict: Some(verdict),
        }
    }
}

impl TryFrom<wire::ClaimReply> for ClaimReply {
    type Error = ConvertError;

    fn try_from(r: wire::ClaimReply) -> Result<Self, Self::Error> {
        let answer = match r.verdict.ok_or(missing("verdict"))? {
            Verdict::Granted(_) => Answer::Granted,
            Verdict::Held(held) => Answer::Held { by: run(held.by)? },
            Verdict::Refused(refused) => Answer::Refused {
                through: attempt("through", refused.through)?,
            },
            Verdict::Sealed(sealed) => Answer::Sealed {
                through: attempt("through", sealed.through)?,
            },
            Verdict::Done(outcome) => Answer::Done(outcome.try_into()?),
            Verdict::Noted(_) => Answer::Noted,
            Verdict::Abstained(abstained) => Answer::Abstained(abstained.reason().try_into()?),
            Verdict::Stale(stale) => Answer::Stale(crash_vector_from_wire(stale.lives)),
        };
        Ok(Self {
            replica: replica_id("keeper", r.keeper)?,
            epoch: r.epoch.into(),
            run: run(r.run)?,
            answer,
        })
    }
}

impl wire::CopyRequest {
    /// Creates the message for a request to copy the claims of `service`.
    pub fn new(service: ServiceId, r: &CopyRequest) -> Self {
        Self {
            service: service.get().into(),
            epoch: r.epoch.into(),
            copier: Some(r.copier.into()),
            lives: crash_vector_to_wire(&r.crash_vector),
        }
    }
}

impl TryFrom<wire::CopyRequest> for CopyRequest {
    type Error = ConvertError;

    fn try_from(r: wire::CopyRequest) -> Result<Self, Self::Error> {
        Ok(Self {
            epoch: r.epoch.into(),
            copier: replica_id("copier", r.copier)?,
            crash_vector: crash_vector_from_wire(r.lives),
        })
    }
}

impl From<&(RequestKey, Claim)> for wire::Claim {
    fn from((key, claim): &(RequestKey, Claim)) -> Self {
        let grant = |g: Grant| wire::HeldGrant {
            attempt: g.attempt.get(),
            run: Some(g.run.into()),
        };
        Self {
            key: key.as_bytes().to_vec(),
            sealed_through: claim.sealed_through.map_or(0, Attempt::get),
            grants: claim.grants().map(grant).collect(),
            outcome: claim.outcome.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<wire::Claim> for (RequestKey, Claim) {
    type Error = ConvertError;

    fn try_from(c: wire::Claim) -> Result<Self, Self::Error> {
        let grant = |g: wire::HeldGrant| {
            Ok(Grant {
                attempt: attempt("attempt", g.attempt)?,
                run: run(g.run)?,
            })
        };
        let grants = c.grants.into_iter().map(grant);
        let claim = Claim::from_copy(
            Attempt::new(c.sealed_through),
            grants.collect::<Result<_, ConvertError>>()?,
            c.outcome.map(TryInto::try_into).transpose()?,
        );
        Ok((key(&c.key)?, claim))
    }
}

/// Splits a copy into pages of at most `page_size` claims.
pub fn copy_to_pages(copy: &Copy, page_size: usize) -> Vec<wire::CopyPage> {
    let mut chunks: Vec<_> = copy.claims.chunks(page_size).collect();
    if chunks.is_empty() {
        chunks.push(&[]);
    }
    let count = chunks.len();
    let pages = chunks.into_iter().enumerate();
    let pages = pages.map(|(at, claims)| wire::CopyPage {
        giver: Some(copy.giver.into()),
        installed: copy.installed.map_or(0, Epoch::get),
        closed_through: copy.closed_through.into(),
        floor_ms: copy.floor.into(),
        lives: crash_vector_to_wire(&copy.crash_vector),
        claims: claims.iter().map(Into::into).collect(),
        last: at + 1 == count,
    });
    pages.collect()
}

/// Reassembles a copy from its pages.
///
/// # Errors
///
/// [`ConvertError`] if the last page is missing or a page is malformed.
pub fn copy_from_pages(pages: Vec<wire::CopyPage>) -> Result<Copy, ConvertError> {
    let mut copy: Option<Copy> = None;
    let mut is_complete = false;
    for page in pages {
        is_complete = page.last;
        let giver = replica_id("giver", page.giver)?;
        let assembled = copy.get_or_insert_with(|| Copy {
            giver,
            installed: Some(page.installed.into()).filter(|e: &Epoch| e.get() > 0),
            closed_through: page.closed_through.into(),
            floor: page.floor_ms.into(),
            crash_vector: crash_vector_from_wire(page.lives),
            claims: Vec::new(),
        });
        for claim in page.claims {
            assembled.claims.push(claim.try_into()?);
        }
    }
    copy.filter(|_| is_complete).ok_or(missing("last page"))
}
