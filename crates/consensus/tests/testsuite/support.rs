//! Builders of test data.

use std::time::{Duration, Instant};

use bytes::Bytes;
use dogwoodrill_consensus::{Entry, Member, MemberId, MemberRole, Membership, Options, Payload};

pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);

pub fn options() -> Options {
    Options {
        election_timeout: ELECTION_TIMEOUT,
        first_election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: Duration::from_millis(20),
        replace_after: Duration::from_millis(300),
        max_entries: 8,
        retained_entries: 8,
    }
}

pub fn member(id: u64, role: MemberRole) -> Member {
    Member {
        id: MemberId::new(id),
        role,
        replaces: None,
        node: id.into(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

pub fn voters(count: u64) -> Membership {
    Membership::new((1..=count).map(|id| member(id, MemberRole::Voter)))
}

pub fn entry(index: u64, term: u64, command: impl Into<Bytes>) -> Entry {
    Entry {
        index: index.into(),
        term: term.into(),
        payload: Payload::Command(command.into()),
    }
}

pub fn start() -> Instant {
    Instant::now()
}
