//! `certs init`: the files that it creates; it never overwrites a file.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use dogwoodrill::credentials::{expiry_of, read_chain, role_of};
use dogwoodrill::ops::{CertsError, CertsInitOptions, ServiceCertificate, certs_init};
use insta::assert_snapshot;
use rstest::rstest;

/// Options for a cluster with one service.
pub fn options(dir: &Path) -> CertsInitOptions {
    CertsInitOptions {
        dir: dir.to_owned(),
        services: vec!["orders=orders.example".parse().unwrap()],
        days: 365,
    }
}

#[test]
fn makes_certificates_with_roles_and_private_keys_for_the_owner_alone() {
    let dir = tempfile::tempdir().unwrap();
    let mut lines = Vec::new();
    for file in certs_init(&options(dir.path())).unwrap().files {
        let name = file.path.file_name().unwrap().to_str().unwrap();
        let mode = fs::metadata(&file.path).unwrap().permissions().mode() & 0o777;
        let role = read_chain(&file.path)
            .ok()
            .and_then(|c| role_of(c.first()?));
        let role = role.map_or_else(|| "-".to_owned(), |r| r.to_string());
        lines.push(format!("{name} {mode:o} {role}: {}", file.purpose));
    }
    assert_snapshot!(lines.join("\n"), @"
    authority.pem 644 -: certificate of the authority; every host needs it
    authority.key 600 -: private key of authority.pem
    control.pem 644 control: control hosts
    control.key 600 -: private key of control.pem
    node.pem 644 node: balancers and agents
    node.key 600 -: private key of node.pem
    operator.pem 644 operator: operators' commands
    operator.key 600 -: private key of operator.pem
    service-orders.pem 644 service: flows of callers to orders.example
    service-orders.key 600 -: private key of service-orders.pem
    cluster.key 600 -: key of connection ids and tunnels; every node needs it
    ");
}

#[rstest]
#[case::certificate("node.pem")]
#[case::key("cluster.key")]
fn writes_nothing_where_one_file_is_there_already(#[case] present: &str) {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join(present), "precious").unwrap();
    let refused = certs_init(&options(dir.path()));
    assert!(matches!(refused, Err(CertsError::Exists { path }) if path.ends_with(present)));
    let names: Vec<_> = fs::read_dir(dir.path())
        .unwrap()
        .map(|e| e.unwrap().file_name())
        .collect();
    assert_eq!(names, [present]);
    assert_eq!(fs::read(dir.path().join(present)).unwrap(), b"precious");
}

#[test]
fn a_certificate_says_when_it_expires() {
    let dir = tempfile::tempdir().unwrap();
    certs_init(&options(dir.path())).unwrap();
    let expiry = |name| expiry_of(&read_chain(&dir.path().join(name)).unwrap()[0]).unwrap();
    let (node, authority) = (expiry("node.pem"), expiry("authority.pem"));
    assert!(node < authority, "{node} is not before {authority}");
}

#[rstest]
#[case::no_name("orders.example")]
#[case::no_host("orders=")]
#[case::bad_name("Orders=orders.example")]
#[case::path("../orders=orders.example")]
fn a_malformed_service_is_refused(#[case] text: &str) {
    text.parse::<ServiceCertificate>().unwrap_err();
}
