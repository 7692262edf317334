//! Messages and stored data of the control hosts are unchanged after encoding and decoding; invalid ones are
//! refused.

use std::time::Duration;

use dogwoodrill_consensus::{
    AppendOutcome, Entry, Envelope, Handover, Member, MemberId, MemberRole, Membership, Message,
    Payload, Round, Silence, Snapshot, VoteKind,
};
use dogwoodrill_core::changes::{Change, Command, CommandId, CommittedValue, Refusal};
use dogwoodrill_core::config::{ClaimGroup, ClaimReplicaId, Profile, ZoneState, ZoneStatus};
use dogwoodrill_core::control_state::ControlState;
use dogwoodrill_core::control_status::{ControlHost, HostRefusal};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_wire::proto::consensus::envelope::Body;
use dogwoodrill_wire::proto::{consensus, operator};
use prost::Message as _;
use rstest::rstest;

use crate::damage::survives_damage;

const START: UnixMillis = UnixMillis::new(1_800_000_000_000);

fn zone(version: u64) -> ZoneState {
    ZoneState {
        name: "pando".parse().unwrap(),
        version: version.into(),
        status: ZoneStatus::Out,
    }
}

fn group() -> ClaimGroup {
    let keeper = |n: u32| ClaimReplicaId {
        server: n.into(),
        incarnation: u64::from(n).into(),
    };
    ClaimGroup {
        service: 7.into(),
        epoch: 1.into(),
        replicas: (1..=3).map(keeper).collect(),
        previous: Vec::new(),
    }
}

#[test]
fn state_with_all_kinds_of_answers_round_trips() {
    let mut invalid_profile = Profile::standard("unfit".parse().unwrap());
    invalid_profile.queue_limit = 0;
    let changes: [Change; 5] = [
        Profile::standard("orders".parse().unwrap()).into(),
        zone(0).into(),
        zone(0).into(),
        invalid_profile.into(),
        group().into(),
    ];
    let mut state = ControlState::default();
    for (change, n) in changes.into_iter().zip(1_u8..) {
        let operators = !matches!(change, Change::ClaimGroup(_));
        let command = Command {
            id: operators.then(|| CommandId::new(START, &[n; 10])),
            proposed_at: START,
            change,
        };
        let wire = consensus::Command::from(&command).encode_to_vec();
        let read = consensus::Command::decode(&*wire).unwrap();
        assert_eq!(Command::try_from(read).unwrap(), command);
        survives_damage::<consensus::Command, Command>(&wire);
        drop(state.apply(u64::from(n).into(), command));
    }
    let wire = consensus::State::from(&state).encode_to_vec();
    let read = consensus::State::decode(&*wire).unwrap();
    assert_eq!(state.answered.len(), 4);
    assert_eq!(ControlState::try_from(read).unwrap(), state);
    survives_damage::<consensus::State, ControlState>(&wire);
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        index: index.into(),
        term: 2.into(),
        payload,
    }
}

fn members() -> Membership {
    Membership::new([Member {
        id: MemberId::new(9),
        role: MemberRole::Learner,
        replaces: Some(MemberId::new(3)),
        node: 4.into(),
        address: "127.0.0.1:7100".parse().unwrap(),
    }])
}

fn append(entries: Vec<Entry>) -> Message {
    Message::AppendRequest {
        previous_index: 4.into(),
        previous_term: 1.into(),
        entries,
        commit: 4.into(),
        round: Round(8),
        silent: vec![MemberId::new(3)],
    }
}

fn append_response(outcome: AppendOutcome) -> Message {
    Message::AppendResponse {
        round: Round(8),
        outcome,
        silent: vec![Silence {
            member: MemberId::new(3),
            duration: Duration::from_millis(700),
        }],
    }
}

fn envelope(message: Message) -> Envelope {
    Envelope {
        from: MemberId::new(1),
        to: MemberId::new(2),
        term: 5.into(),
        message,
    }
}

#[rstest]
#[case(Message::VoteRequest { kind: VoteKind::PreVote, last_index: 4.into(), last_term: 2.into() })]
#[case(Message::VoteResponse { kind: VoteKind::Vote, granted: true })]
#[case(append(vec![
    entry(5, Payload::Noop),
    entry(6, Payload::Command("x".into())),
    entry(7, Payload::Membership(members())),
]))]
#[case(append_response(AppendOutcome::Synced(4.into())))]
#[case(append_response(AppendOutcome::RetryFrom(4.into())))]
#[case(Message::SnapshotRequest {
    snapshot: Snapshot { index: 4.into(), term: 2.into(), membership: members(), state: "s".into() },
    round: Round(8),
})]
fn messages_round_trip(#[case] message: Message) {
    let sent = envelope(message);
    let wire = consensus::Envelope::from(sent.clone()).encode_to_vec();
    let read = consensus::Envelope::decode(&*wire).unwrap();
    assert_eq!(Envelope::try_from(read).unwrap(), sent);
    survives_damage::<consensus::Envelope, Envelope>(&wire);
}

#[rstest]
#[case(Handover::Complete)]
#[case(Handover::InProgress)]
#[case(Handover::NoSuccessor)]
fn progress_of_a_handover_round_trips(#[case] handover: Handover) {
    let answer =
        consensus::leave_response::Answer::Handover(consensus::Handover::from(handover).into());
    let response = consensus::LeaveResponse {
        answer: Some(answer),
    };
    let read = consensus::LeaveResponse::decode(&*response.encode_to_vec()).unwrap();
    let Some(consensus::leave_response::Answer::Handover(read)) = read.answer else {
        panic!("the answer is the progress");
    };
    let read = consensus::Handover::try_from(read).unwrap();
    assert_eq!(Handover::try_from(read).unwrap(), handover);
}

/// Guards against a host that takes an answer without progress for leave to stop.
#[test]
fn an_unspecified_handover_is_refused() {
    let unspecified = Handover::try_from(consensus::Handover::Unspecified);
    assert_eq!(
        unspecified.unwrap_err().to_string(),
        "the message has no handover"
    );
}

/// Messages of the version before have no list of silent members, and are read as if there were none.
#[rstest]
#[case(append(vec![entry(5, Payload::Noop)]))]
#[case(append_response(AppendOutcome::Synced(4.into())))]
fn messages_without_silent_members_are_read(#[case] message: Message) {
    let mut wire = consensus::Envelope::from(envelope(message));
    match wire.body.as_mut().unwrap() {
        Body::AppendRequest(r) => r.silent.clear(),
        Body::AppendResponse(r) => r.silent.clear(),
        other => panic!("{other:?}"),
    }
    let bytes = wire.encode_to_vec();
    let read = Envelope::try_from(consensus::Envelope::decode(&*bytes).unwrap()).unwrap();
    let is_empty = match read.message {
        Message::AppendRequest { silent, .. } => silent.is_empty(),
        Message::AppendResponse { silent, .. } => silent.is_empty(),
        other => panic!("{other:?}"),
    };
    assert!(is_empty);
}

#[test]
fn refuses_entries_with_a_gap() {
    let gap = append(vec![entry(5, Payload::Noop), entry(7, Payload::Noop)]);
    Envelope::try_from(consensus::Envelope::from(envelope(gap))).unwrap_err();
}

#[rstest]
#[case(HostRefusal::NoQuorum)]
#[case(HostRefusal::DiskFull)]
#[case(HostRefusal::NotLeader(None))]
#[case(HostRefusal::NotLeader(Some(ControlHost { node: 2.into(), address: "127.0.0.1:1".parse().unwrap() })))]
#[case(HostRefusal::Refused(Refusal::CommandIdReused))]
#[case(HostRefusal::Refused(Refusal::CommandIdExpired))]
#[case(HostRefusal::Refused(Refusal::VersionConflict { current: CommittedValue::Nothing }))]
#[case(HostRefusal::Refused(Refusal::VersionConflict { current: CommittedValue::Zone(zone(3)) }))]
#[case(HostRefusal::Refused(Refusal::Invalid { field: "f".to_owned(), problem: "p".to_owned() }))]
fn refusals_round_trip(#[case] refusal: HostRefusal) {
    let wire = operator::Refusal::from(refusal.clone());
    assert_eq!(HostRefusal::try_from(wire).unwrap(), refusal);
}
