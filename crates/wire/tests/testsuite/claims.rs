//! Claim messages are unchanged after encoding and decoding, and incomplete copies are refused.

use std::sync::Arc;

use dogwoodrill_core::claims::key::{Attempt, RequestKey};
use dogwoodrill_core::claims::message::{
    Abstention, Answer, ClaimOperation, ClaimReply, ClaimRequest, Copy, Grant, Outcome, RunId,
    StoredAnswer, StoredHeader,
};
use dogwoodrill_core::claims::table::Claim;
use dogwoodrill_core::config::ClaimReplicaId;
use dogwoodrill_core::ids::{BackendServerId, Epoch, Incarnation, ServiceId};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_wire::convert::claims::{copy_from_pages, copy_to_pages};
use dogwoodrill_wire::proto::claims as wire;
use prost::Message as _;
use rstest::rstest;

use crate::damage::survives_damage;

const RUN: RunId = RunId {
    server: BackendServerId::new(3),
    incarnation: Incarnation::new(4),
    number: 5,
};

const fn keeper(server: u32) -> ClaimReplicaId {
    ClaimReplicaId {
        server: BackendServerId::new(server),
        incarnation: Incarnation::new(9),
    }
}

fn key(last: u8) -> RequestKey {
    let text = format!("0191d7a6-0000-7000-8000-0000000000{last:02x}");
    text.parse().unwrap()
}

fn stored_answer() -> Outcome {
    Outcome::Answer(Arc::new(StoredAnswer {
        status: 201,
        headers: vec![StoredHeader {
            name: "x-arch".to_owned(),
            value: vec![0xff, 0x20].into(),
        }],
        body: "taken".into(),
    }))
}

#[rstest]
#[case(ClaimOperation::Grant)]
#[case(ClaimOperation::Release)]
#[case(ClaimOperation::Seal)]
#[case(ClaimOperation::Finish(stored_answer()))]
#[case(ClaimOperation::Finish(Outcome::NotKept { status: 200 }))]
#[case(ClaimOperation::Finish(Outcome::Unknown))]
fn requests_round_trip(#[case] operation: ClaimOperation) {
    let request = ClaimRequest {
        epoch: Epoch::new(2),
        crash_vector: (1..=3).map(keeper).collect(),
        key: key(1),
        attempt: Attempt::FIRST,
        run: RUN,
        operation,
    };
    let message = wire::ClaimRequest::new(ServiceId::new(1), &request);
    survives_damage::<wire::ClaimRequest, ClaimRequest>(&message.encode_to_vec());
    assert_eq!(ClaimRequest::try_from(message).unwrap(), request);
}

#[rstest]
#[case(Answer::Granted)]
#[case(Answer::Held { by: RUN })]
#[case(Answer::Refused { through: Attempt::FIRST })]
#[case(Answer::Sealed { through: Attempt::FIRST })]
#[case(Answer::Done(stored_answer()))]
#[case(Answer::Noted)]
#[case(Answer::Abstained(Abstention::Full))]
#[case(Answer::Stale((1..=3).map(keeper).collect()))]
fn replies_round_trip(#[case] answer: Answer) {
    let reply = ClaimReply {
        replica: keeper(1),
        epoch: Epoch::new(2),
        run: RUN,
        answer,
    };
    let message = wire::ClaimReply::from(&reply);
    survives_damage::<wire::ClaimReply, ClaimReply>(&message.encode_to_vec());
    assert_eq!(ClaimReply::try_from(message).unwrap(), reply);
}

#[rstest]
#[case::complete(0, true)]
#[case::last_page_lost(1, false)]
#[case::no_pages(3, false)]
fn accepts_only_complete_copies(#[case] lost: usize, #[case] complete: bool) {
    let grant = Grant {
        attempt: Attempt::FIRST,
        run: RUN,
    };
    let claim = |n| (key(n), Claim::from_copy(None, vec![grant], None));
    let copy = Copy {
        giver: keeper(1),
        installed: Some(Epoch::new(2)),
        closed_through: Epoch::new(1),
        floor: UnixMillis::new(7),
        crash_vector: (1..=3).map(keeper).collect(),
        claims: (1..=5).map(claim).collect(),
    };
    let mut pages = copy_to_pages(&copy, 2);
    pages.truncate(pages.len() - lost);
    assert_eq!(copy_from_pages(pages).ok(), complete.then_some(copy));
}

#[test]
fn error_names_the_missing_field() {
    let message = wire::CopyRequest::default();
    let refused = dogwoodrill_core::claims::message::CopyRequest::try_from(message);
    assert_eq!(
        refused.unwrap_err().to_string(),
        "the message has no copier"
    );
}
