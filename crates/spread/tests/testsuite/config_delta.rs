//! Configuration deltas: their result, and the configurations to which they do not apply.

use std::sync::Arc;

use dogwoodrill_core::config::{CommittedConfig, Profile, ZoneState, ZoneStatus};
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_spread::config_delta::{ConfigDelta, History};
use proptest::prelude::*;
use rstest::rstest;

/// A configuration with a few keys that are added, changed and removed.
fn config(index: u64, keys: &[(u8, u64)]) -> CommittedConfig {
    let profile = |(key, version): &(u8, u64)| {
        let name = format!("profile-{key}").parse().unwrap();
        Profile {
            version: (*version).into(),
            ..Profile::standard(name)
        }
    };
    let zone = |(key, version): &(u8, u64)| ZoneState {
        name: format!("zone-{key}").parse().unwrap(),
        version: (*version).into(),
        status: if version % 2 == 0 {
            ZoneStatus::In
        } else {
            ZoneStatus::Out
        },
    };
    let profiles = keys.iter().map(profile).map(|p| (p.name.clone(), p));
    let zones = keys.iter().map(zone).map(|z| (z.name.clone(), z));
    let region = |key: &u8| format!("region-{}", key % 2).parse().unwrap();
    let regions = keys
        .iter()
        .map(|(key, _)| (format!("zone-{key}").parse().unwrap(), region(key)));
    CommittedConfig {
        index: index.into(),
        profiles: profiles.collect(),
        zones: zones.collect(),
        regions: regions.collect(),
        ..CommittedConfig::default()
    }
}

fn any_keys() -> impl Strategy<Value = Vec<(u8, u64)>> {
    prop::collection::vec((0_u8..6, 0_u64..3), 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_delta_applied_to_the_old_configuration_gives_the_new_one(old in any_keys(), new in any_keys()) {
        let (old, new) = (config(3, &old), config(7, &new));
        let delta = ConfigDelta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Some(new));
    }
}

#[rstest]
#[case::fits(3, 4, 3, true)]
#[case::from_earlier(2, 4, 3, false)]
#[case::from_later(4, 5, 3, false)]
#[case::leads_nowhere(3, 3, 3, false)]
#[case::leads_back(3, 2, 3, false)]
fn a_delta_applies_only_to_its_start_index_and_only_forward(
    #[case] from: u64,
    #[case] to: u64,
    #[case] at: u64,
    #[case] applies: bool,
) {
    let delta = ConfigDelta::between(&config(from, &[]), &config(to, &[(1, 1)]));
    assert_eq!(delta.apply(&config(at, &[])).is_some(), applies);
}

#[rstest]
#[case::all(1, Some(4))]
#[case::the_last(4, Some(1))]
#[case::up_to_date(5, None)]
#[case::before_the_history(0, None)]
fn a_history_returns_the_deltas_after_an_index(#[case] index: u64, #[case] changes: Option<usize>) {
    let mut history = History::default();
    for at in 1..5 {
        let delta = ConfigDelta::between(&config(at, &[]), &config(at + 1, &[]));
        history.push(Arc::new(delta));
    }
    let since = history.since(LogIndex::new(index)).map(Iterator::count);
    assert_eq!(since, changes);
}

#[test]
fn a_gap_discards_the_earlier_history() {
    let mut history = History::default();
    for (from, to) in [(1, 2), (5, 6)] {
        history.push(Arc::new(ConfigDelta::between(
            &config(from, &[]),
            &config(to, &[]),
        )));
    }
    assert!(history.since(LogIndex::new(1)).is_none());
    assert!(history.since(LogIndex::new(5)).is_some());
}
