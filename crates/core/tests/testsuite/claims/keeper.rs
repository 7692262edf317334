//! The replies of one replica: key times, capacity, recovery by time, and late messages.

use std::time::Duration;

use dogwoodrill_core::claims::keeper::{ClaimReplica, ClaimReplicaOptions};
use dogwoodrill_core::claims::key::{Attempt, RequestKey};
use dogwoodrill_core::claims::message::{Abstention, Answer, ClaimOperation, ClaimRequest, RunId};
use dogwoodrill_core::claims::rules::Rules;
use dogwoodrill_core::claims::table::ClaimCount;
use dogwoodrill_core::config::{ClaimGroup, ClaimReplicaId};
use dogwoodrill_core::ids::{BackendServerId, Epoch, Incarnation, ServiceId};
use dogwoodrill_core::time::UnixMillis;
use insta::assert_snapshot;
use rstest::rstest;

use super::world::{KEY_TIME, attempt, key_at, server};

const SECOND: u64 = 1_000;
const WINDOW: Duration = Duration::from_secs(100);

const fn at(seconds: u64) -> UnixMillis {
    UnixMillis::new(KEY_TIME + seconds * SECOND)
}

const fn me(incarnation: u64) -> ClaimReplicaId {
    ClaimReplicaId {
        server: BackendServerId::new(1),
        incarnation: Incarnation::new(incarnation),
    }
}

/// A replica with the given incarnation in a group that was committed with incarnation 1; started at second 0.
fn replica(incarnation: u64) -> ClaimReplica {
    let mut replica = ClaimReplica::new(ClaimReplicaOptions {
        me: me(incarnation),
        started_at: at(0),
        capacity: ClaimCount::new(2),
        rules: Rules::default(),
    });
    replica.on_group(at(0), &group(1), WINDOW);
    replica
}

fn group(epoch: u64) -> ClaimGroup {
    let others = [2, 3].map(|n| ClaimReplicaId {
        server: server(n),
        incarnation: Incarnation::new(1),
    });
    ClaimGroup {
        service: ServiceId::new(1),
        epoch: Epoch::new(epoch),
        replicas: [me(1), others[0], others[1]].into(),
        previous: Vec::new(),
    }
}

fn request(
    replica: &mut ClaimReplica,
    now: u64,
    key: RequestKey,
    run: u64,
    operation: &ClaimOperation,
) -> Answer {
    // The replica's incarnation is 1 or 2; it replies `Stale` if 1 is wrong.
    let answer = |replica: &mut ClaimReplica, incarnation| {
        let crash_vector = group(1).replicas.into_iter();
        let crash_vector = crash_vector.map(|k| {
            if k.server == server(1) {
                me(incarnation)
            } else {
                k
            }
        });
        let request = ClaimRequest {
            epoch: Epoch::new(1),
            crash_vector: crash_vector.collect(),
            key,
            attempt: Attempt::FIRST,
            run: RunId {
                server: server(9),
                incarnation: Incarnation::new(1),
                number: run,
            },
            operation: operation.clone(),
        };
        replica.on_request(at(now), request).answer
    };
    match answer(replica, 1) {
        Answer::Stale(_) => answer(replica, 2),
        other => other,
    }
}

fn key(second: u64) -> RequestKey {
    key_at(at(second).get())
}

#[rstest]
#[case::fresh(10, 10, Answer::Granted)]
#[case::last_moment(110, 10, Answer::Granted)]
#[case::expired(111, 10, Answer::Abstained(Abstention::KeyTime))]
#[case::clock_ahead(10, 12, Answer::Granted)]
#[case::future(10, 13, Answer::Abstained(Abstention::KeyTime))]
fn a_key_is_answered_for_within_the_retry_window(
    #[case] now: u64,
    #[case] minted: u64,
    #[case] expected: Answer,
) {
    assert_eq!(
        request(&mut replica(1), now, key(minted), 1, &ClaimOperation::Grant),
        expected
    );
}

#[test]
fn p7_a_longer_retry_window_does_not_revive_a_deleted_claim() {
    let mut replica = replica(1);
    assert_eq!(
        request(&mut replica, 10, key(10), 1, &ClaimOperation::Grant),
        Answer::Granted
    );
    replica.on_tick(at(113));
    let forgotten = replica.claim(key(10)).is_none();
    replica.on_group(at(114), &group(1), 10 * WINDOW);
    let answer = request(&mut replica, 115, key(10), 2, &ClaimOperation::Grant);
    assert!(forgotten);
    assert_eq!(answer, Answer::Abstained(Abstention::KeyTime));
}

#[test]
fn a_full_replica_refuses_new_keys_and_answers_for_old_ones() {
    let mut replica = replica(1);
    let mut answers = Vec::new();
    for (now, minted, run) in [
        (10, 8, 1),
        (10, 9, 2),
        (10, 10, 3),
        (10, 9, 2),
        (111, 110, 4),
    ] {
        answers.push(format!(
            "{:?}",
            request(&mut replica, now, key(minted), run, &ClaimOperation::Grant)
        ));
    }
    assert_snapshot!(answers.join("\n"), @r"
    Granted
    Granted
    Abstained(Full)
    Granted
    Granted
    ");
}

/// A replica that restarted and can't copy from any other.
#[rstest]
#[case::unconfirmed(None, 60, 59, Answer::Abstained(Abstention::Recovering))]
#[case::confirmed_before_it_started(Some(0), 60, 59, Answer::Abstained(Abstention::Recovering))]
#[case::young_key(Some(10), 60, 59, Answer::Granted)]
#[case::old_key(Some(10), 60, 13, Answer::Abstained(Abstention::Recovering))]
#[case::window_over(Some(10), 117, 116, Answer::Granted)]
#[case::window_over_old_key(Some(10), 117, 14, Answer::Abstained(Abstention::KeyTime))]
fn p7_a_restarted_replica_relies_on_time_only_with_a_confirmed_group(
    #[case] confirmed: Option<u64>,
    #[case] now: u64,
    #[case] minted: u64,
    #[case] expected: Answer,
) {
    let mut replica = replica(2);
    if let Some(as_of) = confirmed {
        replica.on_confirmed(at(10), at(as_of));
    }
    assert_eq!(
        request(&mut replica, now, key(minted), 1, &ClaimOperation::Grant),
        expected
    );
    let installed = replica.status().installed.is_some();
    assert_eq!(installed, confirmed == Some(10) && now == 117);
}

#[test]
fn late_requests_of_a_run_that_gave_up_are_refused() {
    let mut replica = replica(1);
    let mut answers = Vec::new();
    for (run, operation) in [
        (1, ClaimOperation::Release),
        (1, ClaimOperation::Grant),
        (2, ClaimOperation::Grant),
        (2, ClaimOperation::Grant),
        (3, ClaimOperation::Seal),
        (2, ClaimOperation::Seal),
        (2, ClaimOperation::Grant),
        (4, ClaimOperation::Grant),
    ] {
        let text = format!("{run} {operation:?}: ");
        let answer = request(&mut replica, 10, key(10), run, &operation);
        answers.push(text + &format!("{answer:?}"));
    }
    assert_snapshot!(answers.join("\n"), @"
    1 Release: Noted
    1 Grant: Held { by: RunId { server: BackendServerId(9), incarnation: Incarnation(1), number: 1 } }
    2 Grant: Granted
    2 Grant: Granted
    3 Seal: Held { by: RunId { server: BackendServerId(9), incarnation: Incarnation(1), number: 2 } }
    2 Seal: Sealed { through: Attempt(1) }
    2 Grant: Refused { through: Attempt(1) }
    4 Grant: Refused { through: Attempt(1) }
    ");
}

#[rstest]
#[case("0191d7a6-0000-7000-8000-000000000001")]
#[case("\"0191d7a6-0000-7000-8000-000000000001\"")]
#[case("0191d7a6-0000-4000-8000-000000000001")]
#[case("order-17")]
fn keys_are_uuids_of_version_7(#[case] text: &str) {
    let good = text.contains("-7000-");
    let parsed = text.parse::<RequestKey>();
    assert_eq!(parsed.is_ok(), good, "{parsed:?}");
    if let Ok(key) = parsed {
        assert_eq!(key.created_at(), UnixMillis::new(0x0191_d7a6_0000));
    }
}

#[rstest]
#[case("1", Some(1))]
#[case("0", None)]
#[case("-1", None)]
#[case("4294967296", None)]
fn attempts_are_numbers_from_one(#[case] text: &str, #[case] expected: Option<u32>) {
    assert_eq!(text.parse().ok(), expected.map(attempt));
}
