//! The results of commands in the state machine, and the validation of profiles.

use std::time::Duration;

use dogwoodrill_core::changes::{COMMAND_WINDOW, Change, Command, CommandId};
use dogwoodrill_core::config::{Document, PerMille, Profile, ZoneState, ZoneStatus};
use dogwoodrill_core::control_state::ControlState;
use dogwoodrill_core::time::UnixMillis;
use insta::{assert_debug_snapshot, assert_snapshot};

const START: UnixMillis = UnixMillis::new(1_800_000_000_000);

fn id(number: u8, created_at: UnixMillis) -> CommandId {
    CommandId::new(created_at, &[number; 10])
}

fn zone(version: u64, status: ZoneStatus) -> Change {
    Change::Zone(ZoneState {
        name: "pando".parse().unwrap(),
        version: version.into(),
        status,
    })
}

/// Applies commands, each an id, the leader's clock and the change; returns a line per result.
fn results(commands: &[(CommandId, UnixMillis, Change)]) -> String {
    let mut state = ControlState::default();
    let mut lines = Vec::new();
    for ((id, proposed_at, change), index) in commands.iter().cloned().zip(2..) {
        let (index, id) = (u64::into(index), Some(id));
        let command = Command {
            id,
            proposed_at,
            change,
        };
        lines.push(match state.apply(index, command) {
            Ok(accepted) => accepted.to_string(),
            Err(refusal) => refusal.to_string(),
        });
    }
    lines.push(format!("{} answers kept", state.answered.len()));
    lines.join("\n")
}

#[test]
fn a_change_is_accepted_only_at_the_version_it_was_read_at() {
    use ZoneStatus::{In, Out};
    let results = results(&[
        (id(1, START), START, zone(0, Out)),
        (id(2, START), START, zone(0, Out)),
        (id(3, START), START, zone(1, In)),
        (id(4, START), START, zone(7, Out)),
    ]);
    assert_snapshot!(results, @"
    accepted at index 2, version 1
    another change was accepted first: zone pando out at version 1 is in force; read it and try again
    accepted at index 4, version 2
    another change was accepted first: zone pando in at version 2 is in force; read it and try again
    4 answers kept
    ");
}

#[test]
fn a_result_is_kept_for_the_window_and_then_its_id_is_refused() {
    let [within, after] = [0, 1].map(|ms| START.plus(COMMAND_WINDOW + Duration::from_millis(ms)));
    let out = || zone(0, ZoneStatus::Out);
    let ahead = START.plus(COMMAND_WINDOW * 3);
    let results = results(&[
        (id(1, START), START, out()),
        (id(1, START), within, out()),
        (id(1, START), within, zone(1, ZoneStatus::In)),
        (id(1, START), after, out()),
        // A leader whose clock is behind does not make the id valid again.
        (id(1, START), START, out()),
        (id(2, ahead), after, zone(1, ZoneStatus::In)),
    ]);
    assert_snapshot!(results, @"
    accepted at index 2, version 1
    accepted at index 2, version 1
    the command id was used for another change; use a new one
    the command id was made more than 60 minutes ago; read the current value, and check the clock
    the command id was made more than 60 minutes ago; read the current value, and check the clock
    field command_id: its time is in the future; check the clock
    0 answers kept
    ");
}

#[test]
fn an_invalid_profile_is_refused_with_the_field() {
    let standard = || Profile::standard("orders".parse().unwrap());
    let invalid: [fn(&mut Profile); 6] = [
        |p| p.request_timeout = Duration::ZERO,
        |p| p.cold_start = Duration::from_hours(25),
        |p| p.queue_limit = 0,
        |p| p.objective = PerMille::new(1000),
        |p| p.suspect_cap = PerMille::new(1001),
        |p| p.retry_window = Duration::from_secs(1),
    ];
    let results = invalid.map(|change| {
        let mut profile = standard();
        change(&mut profile);
        results(&[(id(1, START), START, profile.into())])
    });
    assert_snapshot!(results.join("\n"), @"
    field request_timeout_ms: must be above 0
    1 answers kept
    field cold_start_ms: must be at most 86400000, a day
    1 answers kept
    field queue_limit: must be above 0
    1 answers kept
    field objective_per_mille: must be from 1 to 999; 1000 leaves no error budget
    1 answers kept
    field suspect_cap_per_mille: must be at most 1000
    1 answers kept
    field retry_window_ms: must be at least request_timeout_ms
    1 answers kept
    ");
    let mut other = standard();
    (other.queue_limit, other.require_key) = (10, false);
    assert_debug_snapshot!(standard().diff(&other), @r#"
    [
        FieldChange {
            field: "require_key",
            from: "true",
            to: "false",
        },
        FieldChange {
            field: "queue_limit",
            from: "64",
            to: "10",
        },
    ]
    "#);
}

#[test]
fn a_command_id_must_be_a_uuid_of_version_7() {
    let [made, other] = [
        "0199f2a0-0000-7000-8000-000000000000",
        "b3f1c2d4-0000-4000-8000-000000000000",
    ]
    .map(str::parse::<CommandId>);
    assert_debug_snapshot!(made.map(CommandId::created_at), @"
    Ok(
        UnixMillis(
            1760712196096,
        ),
    )
    ");
    assert_snapshot!(other.unwrap_err(), @r#""b3f1c2d4-0000-4000-8000-000000000000" is not a UUIDv7; omit the command id to have one generated"#);
}

/// Documents are received repeatedly, late and out of order. The highest version is in force, and others do
/// not change the index, so nodes do not fetch the configuration again.
#[test]
fn the_document_of_the_highest_version_is_in_force() {
    let mut state = ControlState::default();
    let sent = [
        (7, "a"),
        (9, "b"),
        (9, "other"),
        (8, "c"),
        (7, "a"),
        (12, "d"),
    ];
    let mut lines = Vec::new();
    for ((version, body), index) in sent.into_iter().zip(2_u64..) {
        let document = Document {
            version: version.into(),
            body: body.into(),
        };
        let command = Command {
            id: None,
            proposed_at: START,
            change: Change::Document(document),
        };
        let accepted = state.apply(index.into(), command).unwrap();
        let in_force = state.config.document.as_ref().unwrap();
        let body = String::from_utf8_lossy(&in_force.body);
        lines.push(format!(
            "{version}: {accepted}, body {body}, config index {}",
            state.config.index
        ));
    }
    assert_snapshot!(lines.join("\n"), @r"
    7: accepted at index 2, version 7, body a, config index 2
    9: accepted at index 3, version 9, body b, config index 3
    9: accepted at index 3, version 9, body b, config index 3
    8: accepted at index 3, version 9, body b, config index 3
    7: accepted at index 3, version 9, body b, config index 3
    12: accepted at index 7, version 12, body d, config index 7
    ");
}
