//! Settings files: all faults are reported at once, each with its position.

use std::path::Path;

use dogwoodrill::settings::Document;
use dogwoodrill::settings::kind::SettingsKind;
use dogwoodrill::settings::profile::{ProfileSettings, format_profile};
use insta::{assert_debug_snapshot, assert_snapshot};
use rstest::rstest;

const AGENT: &str = "\
node: 1
zone: gent
cluster_key: keys/cluster.key
tls:
  authority: keys/authority.pem
  certificate: keys/node.pem
  key: keys/node.key
parents: [127.0.0.1:7100]
tunnel: 127.0.0.1:7201
peer: 127.0.0.1:7202
announce: 127.0.0.1:7203
metrics: 127.0.0.1:7204
service_certificate: keys/service-orders.pem
service_key: keys/service-orders.key
";

const INITIAL: &str = "\
zones: [gent, brugge]
profiles:
  - name: checks
    request_timeout: 2s
    objective: 99.9%
services:
  - id: 1
    name: certification
    profile: checks
    addresses: [192.0.2.1:443]
";

/// Returns the result of checking a text: `ok` or the list of faults.
fn check(kind: SettingsKind, text: &str) -> String {
    let document = match Document::parse(Path::new("f.yaml"), text) {
        Ok(document) => document,
        Err(faults) => return faults.to_string(),
    };
    match kind.check(&document) {
        Ok(_) => "ok".to_owned(),
        Err(faults) => faults.to_string(),
    }
}

#[test]
fn all_faults_of_a_file_are_named_in_one_go() {
    let text = "\
node: eleven
zone: Gent
cluster_key: keys/cluster.key
tls:
  authority: keys/authority.pem
  certificat: keys/node.pem
  key: keys/node.key
parents: [control.example:7100]
tunnel: 127.0.0.1:7202
peer: 127.0.0.1:7202
anounce: 127.0.0.1:7203
metrics: 0.0.0.0:7202
service_certificate: [a, b]
service_key: keys/service-orders.key
logs: {format: xml, level: loud}
";
    assert_snapshot!(check(SettingsKind::Agent, text), @r#"
    11 faults in f.yaml
    f.yaml:1:1: missing key announce in the settings of an agent
    f.yaml:1:7: node: invalid value "eleven": it must be a whole number
    f.yaml:2:7: zone: invalid value "Gent": the name "Gent" may hold only a-z, 0-9 and inner hyphens
    f.yaml:5:3: missing key certificate in tls
    f.yaml:6:3: unknown key certificat in tls; did you mean certificate?
    f.yaml:8:11: parents: invalid value "control.example:7100": it must be an IP number with a port, for instance 192.0.2.1:443
    f.yaml:10:7: peer: 127.0.0.1:7202 is taken by metrics at 12:10; give each its own port
    f.yaml:11:1: unknown key anounce in the settings of an agent; did you mean announce?
    f.yaml:13:22: service_certificate must be a path, written as one value
    f.yaml:15:16: format: invalid value "xml": it must be text or json
    f.yaml:15:28: level: invalid value "loud": it must be off, error, warn, info, debug or trace
    "#);
}

#[test]
fn all_faults_of_an_initial_configuration_are_named_in_one_go() {
    let text = "\
zones: [gent, gent]
round_trip: 15 ms
profiles:
  - name: checks
    request_timeout: 2 seconds
    latency_objective: 10ms
    objective: 100%
  - name: sheets
    request_timeout: 90s
    retry_window: 1min
    flow_slack: 101%
services:
  - id: 1
    name: certification
    profile: chekcs
    addresses: [192.0.2.1:443]
  - id: 1
    name: patterns
    profile: checks
    addresses: [192.0.2.1:443, drift.example:443]
";
    assert_snapshot!(check(SettingsKind::Initial, text), @r#"
    10 faults in f.yaml
    f.yaml:1:15: the zone gent is already defined at 1:9
    f.yaml:5:22: request_timeout: invalid value "2 seconds": it must be a time in whole ms, s, min or h, for instance 500ms
    f.yaml:6:24: latency_objective: 10ms is shorter than the round trip of 15ms
    f.yaml:7:16: objective: 100% leaves no error budget; 99.9% is the most
    f.yaml:8:5: request_timeout (90s) must not be longer than retry_window (1min)
    f.yaml:8:11: no service uses the profile sheets; remove it or name it
    f.yaml:11:17: flow_slack: invalid value "101%": it must be a share from 0% to 100% with at most one decimal, for instance 99.9%
    f.yaml:15:14: the profile chekcs is not defined under profiles
    f.yaml:17:5: the service with the id 1 is already defined at 13:5
    f.yaml:20:32: addresses: invalid value "drift.example:443": it must be an IP number with a port, for instance 192.0.2.1:443
    "#);
}

#[rstest]
#[case::agent(SettingsKind::Agent, AGENT)]
#[case::initial(SettingsKind::Initial, INITIAL)]
fn a_sound_file_passes_and_tells_its_kind(#[case] kind: SettingsKind, #[case] text: &str) {
    assert_eq!(check(kind, text), "ok");
    let document = Document::parse(Path::new("f.yaml"), text).unwrap();
    assert_eq!(SettingsKind::detect(&document), Some(kind));
}

#[rstest]
#[case::tcp_and_udp_may_share("peer: 127.0.0.1:7202", "peer: 127.0.0.1:7201")]
#[case::other_address("peer: 127.0.0.1:7202", "peer: 127.0.0.2:7203")]
#[case::any_free_port(
    "peer: 127.0.0.1:7202\nannounce: 127.0.0.1:7203",
    "peer: 127.0.0.1:0\nannounce: 127.0.0.1:0"
)]
fn listen_addresses_that_do_not_conflict_are_accepted(#[case] from: &str, #[case] to: &str) {
    let text = AGENT.replace(from, to);
    assert_ne!(text, AGENT);
    assert_eq!(check(SettingsKind::Agent, &text), "ok");
}

#[rstest]
#[case::key_twice("zone: gent\nzone: brugge\n")]
#[case::no_yaml("zone: [gent\n")]
#[case::no_mapping("- zone\n")]
#[case::empty("")]
#[case::tab("tls:\n\tkey: a\n")]
fn a_broken_file_is_one_fault_with_a_place(#[case] text: &str) {
    let answer = check(SettingsKind::Balancer, text);
    assert!(answer.starts_with("1 fault in f.yaml\nf.yaml:"), "{answer}");
    assert!(!answer.contains("f.yaml:0:0"), "{answer}");
}

#[rstest]
#[case("250ms", "250ms")]
#[case("90s", "90s")]
#[case("120s", "2min")]
#[case("3600000ms", "1h")]
fn a_profile_reads_what_it_writes(#[case] given: &str, #[case] written: &str) {
    let text = format!(
        "name: checks\nlatency_objective: 9ms\nrequest_timeout: {given}\nretry_window: 2h\nobjective: 99.5%\n"
    );
    let read = |text: &str| {
        let document = Document::parse(Path::new("f.yaml"), text).unwrap();
        ProfileSettings::try_from(&document).unwrap().profile
    };
    let profile = read(&text);
    let formatted = format_profile(&profile);
    assert!(
        formatted.contains(&format!("request_timeout: {written}\n")),
        "{formatted}"
    );
    assert_eq!(read(&formatted), profile);
}

#[test]
fn relative_paths_are_resolved_against_the_folder_of_the_settings() {
    let document = Document::parse(Path::new("/etc/dogwoodrill/agent.yaml"), AGENT).unwrap();
    let settings = dogwoodrill::settings::agent::AgentSettings::try_from(&document).unwrap();
    assert_debug_snapshot!((settings.process.cluster_key, settings.service_key), @r#"
    (
        "/etc/dogwoodrill/keys/cluster.key",
        "/etc/dogwoodrill/keys/service-orders.key",
    )
    "#);
}

const CONTROL: &str = "\
node: 1
zone: gent
cluster_key: keys/cluster.key
tls: {authority: a.pem, certificate: c.pem, key: c.key}
metrics: 127.0.0.1:7500
data: data
initial: initial.yaml
";

#[rstest]
#[case::alone("listen: 0.0.0.0:7100", "ok")]
#[case::three(
    "listen: 127.0.0.1:7100\npeers: {2: 127.0.0.2:7100, 3: 127.0.0.3:7100}",
    "ok"
)]
#[case::joining(
    "listen: 127.0.0.1:7100\npeers: {2: 127.0.0.2:7100}\nreplaces: 3",
    "ok"
)]
#[case::two(
    "listen: 127.0.0.1:7100\npeers: {2: 127.0.0.2:7100}",
    "a cluster has 1, 3 or 5 control hosts; with its peers this makes 2"
)]
#[case::own_peer(
    "listen: 127.0.0.1:7100\npeers: {1: 127.0.0.2:7100, 3: 127.0.0.3:7100, 2: 127.0.0.2:7100}",
    "peers: this host is its own peer; leave it out"
)]
#[case::any_address(
    "listen: 0.0.0.0:7100\npeers: {2: 127.0.0.2:7100, 3: 127.0.0.3:7100}",
    "peers: with peers, listen must name the address that they reach this host at"
)]
#[case::no_number(
    "listen: 127.0.0.1:7100\npeers: {a: 127.0.0.2:7100, 3: 127.0.0.3:7100, 2: 127.0.0.2:7100}",
    "peers: \"a\" must be the number of a control host"
)]
#[case::nobody_to_ask(
    "listen: 127.0.0.1:7100\nreplaces: 3",
    "replaces needs the other control hosts of the cluster under peers"
)]
fn the_control_hosts_of_a_cluster_are_checked(#[case] keys: &str, #[case] expected: &str) {
    let message = check(SettingsKind::Control, &format!("{CONTROL}{keys}\n"));
    assert!(message.ends_with(expected), "{message}");
}
