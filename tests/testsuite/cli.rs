//! Output and exit code of each command.

use std::path::Path;
use std::process::Command;

use insta::assert_snapshot;
use rstest::rstest;
use tempfile::TempDir;

/// Runs the binary in `dir` and returns its standard output, standard error and exit code.
pub fn run(dir: &Path, args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodrill"))
        .args(args)
        .current_dir(dir)
        .output()
        .unwrap();
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    let err = String::from_utf8_lossy(&output.stderr).into_owned();
    let code = output.status.code().unwrap();
    let text = format!("{out}{err}exit {code}");
    text.replace(&dir.display().to_string(), "DIR")
}

fn folder() -> TempDir {
    tempfile::tempdir().unwrap()
}

#[test]
fn help_and_version() {
    let dir = folder();
    assert_snapshot!(run(dir.path(), &["--help"]), @"
    Usage: dogwoodrill [OPTIONS]

    A layer-4 load balancer for public bodies with few staff.

    Example:
      dogwoodrill certs init --dir keys --service orders=orders.example
      dogwoodrill check-config control.yaml
      dogwoodrill control --config control.yaml

    Run dogwoodrill COMMAND --help for the options of a command; docs/cli.md lists the exit codes.

    Optional arguments:
      -h, --help  print this help
      --version   print the version

    Commands:
      balancer      run a balancer: forward packets of callers
      agent         run an agent: terminate flows on the host of a backend server
      control       run a control host: store the committed configuration
      node          run a process of the platform
      check-config  find all faults of settings files
      profile       read and change profiles
      zone          take availability zones out and in
      status        show the control hosts and the configuration
      explain       explain where a new flow would go
      report        report on error budgets
      load          call a service at a fixed rate
      certs         make certificates
    exit 0
    ");
    assert_snapshot!(run(dir.path(), &["--version"]), @"
    dogwoodrill 0.1.0
    exit 0
    ");
}

#[rstest]
#[case(&["balancer"])]
#[case(&["agent"])]
#[case(&["control"])]
#[case(&["check-config"])]
#[case(&["certs"])]
#[case(&["certs", "init"])]
#[case(&["profile"])]
#[case(&["profile", "get"])]
#[case(&["profile", "list"])]
#[case(&["profile", "diff"])]
#[case(&["profile", "apply"])]
#[case(&["zone"])]
#[case(&["zone", "list"])]
#[case(&["zone", "out"])]
#[case(&["zone", "in"])]
#[case(&["status"])]
#[case(&["explain"])]
#[case(&["report"])]
#[case(&["report", "burn"])]
#[case(&["load"])]
fn every_command_has_help_with_an_example(#[case] command: &[&str]) {
    let dir = folder();
    let help = run(dir.path(), &[command, &["--help"]].concat());
    let example = format!("Example:\n  dogwoodrill {}", command.join(" "));
    assert!(help.contains(&example), "{help}");
    assert!(help.ends_with("exit 0"), "{help}");
}

#[rstest]
#[case::nothing(&[], "no command given")]
#[case::unknown_command(&["balance"], "unrecognized command `balance`")]
#[case::unknown_option(&["agent", "--conf", "a.yaml"], "unrecognized option `--conf`")]
#[case::no_file(&["control"], "missing required option `--config`")]
#[case::bad_value(&["certs", "init", "--dir", "d", "--service", "orders"], "not of the form NAME=DNS-NAME")]
fn a_command_line_that_is_not_understood(#[case] args: &[&str], #[case] problem: &str) {
    let answer = run(folder().path(), args);
    assert!(answer.contains(problem), "{answer}");
    assert!(
        answer.ends_with("try dogwoodrill --help\nexit 2"),
        "{answer}"
    );
}

#[test]
fn certs_init() {
    let dir = folder();
    let init = [
        "certs",
        "init",
        "--dir",
        "keys",
        "--service",
        "orders=orders.example",
    ];
    assert_snapshot!(run(dir.path(), &init), @"
    keys/authority.pem: certificate of the authority; every host needs it
    keys/authority.key: private key of authority.pem
    keys/control.pem: control hosts
    keys/control.key: private key of control.pem
    keys/node.pem: balancers and agents
    keys/node.key: private key of node.pem
    keys/operator.pem: operators' commands
    keys/operator.key: private key of operator.pem
    keys/service-orders.pem: flows of callers to orders.example
    keys/service-orders.key: private key of service-orders.pem
    keys/cluster.key: key of connection ids and tunnels; every node needs it
    exit 0
    ");
    assert_snapshot!(run(dir.path(), &init), @"
    error: keys/authority.pem already exists and is not overwritten; nothing was written. Choose another --dir
    exit 1
    ");
}

#[test]
fn check_config_names_every_fault() {
    let dir = folder();
    let faulty = "\
node: 1
zone: gnet
cluster_key: keys/cluster.key
tls: {authority: keys/authority.pem, certificate: keys/node.pem, keys: keys/node.key}
parents: [control.example:7100]
tunnel: 127.0.0.1:7201
peer: 127.0.0.1:7202
metrics: 127.0.0.1:7202
logs: {repeats_per_minute: 5s}
";
    std::fs::write(dir.path().join("balancer.yaml"), faulty).unwrap();
    assert_snapshot!(run(dir.path(), &["check-config", "balancer.yaml"]), @r#"
    5 faults in balancer.yaml
    balancer.yaml:4:6: missing key key in tls
    balancer.yaml:4:66: unknown key keys in tls; did you mean key?
    balancer.yaml:5:11: parents: invalid value "control.example:7100": it must be an IP number with a port, for instance 192.0.2.1:443
    balancer.yaml:7:7: peer: 127.0.0.1:7202 is taken by metrics at 8:10; give each its own port
    balancer.yaml:9:28: repeats_per_minute: invalid value "5s": it must be a whole number from 0 to 4294967295
    exit 1
    "#);
    assert_snapshot!(run(dir.path(), &["check-config", "--json", "balancer.yaml", "absent.yaml"]), @r#"
    {
      "ok": false,
      "files": [
        {
          "path": "balancer.yaml",
          "ok": false,
          "faults": [
            {
              "line": 4,
              "column": 6,
              "text": "missing key key in tls"
            },
            {
              "line": 4,
              "column": 66,
              "text": "unknown key keys in tls; did you mean key?"
            },
            {
              "line": 5,
              "column": 11,
              "text": "parents: invalid value \"control.example:7100\": it must be an IP number with a port, for instance 192.0.2.1:443"
            },
            {
              "line": 7,
              "column": 7,
              "text": "peer: 127.0.0.1:7202 is taken by metrics at 8:10; give each its own port"
            },
            {
              "line": 9,
              "column": 28,
              "text": "repeats_per_minute: invalid value \"5s\": it must be a whole number from 0 to 4294967295"
            }
          ]
        },
        {
          "path": "absent.yaml",
          "ok": false,
          "faults": [
            {
              "text": "cannot read absent.yaml: No such file or directory (os error 2)"
            }
          ]
        }
      ]
    }
    exit 1
    "#);
}

#[test]
fn check_config_compares_zones_and_reads_the_files_that_settings_name() {
    let dir = folder();
    let balancer = "\
node: 1
zone: gnet
cluster_key: keys/cluster.key
tls: {authority: keys/authority.pem, certificate: keys/node.pem, key: keys/node.key}
parents: [127.0.0.1:7100]
tunnel: 127.0.0.1:7201
peer: 127.0.0.1:7202
metrics: 127.0.0.1:7203
";
    let initial = "\
zones: [brugge, gent]
profiles: [{name: checks}]
services: [{id: 1, name: certification, profile: checks, addresses: ['192.0.2.1:443']}]
";
    std::fs::write(dir.path().join("balancer.yaml"), balancer).unwrap();
    std::fs::write(dir.path().join("initial.yaml"), initial).unwrap();
    let both = [
        "check-config",
        "--without-keys",
        "initial.yaml",
        "balancer.yaml",
    ];
    assert_snapshot!(run(dir.path(), &both), @"
    initial.yaml: ok (initial)
    1 fault in balancer.yaml
    balancer.yaml:2:7: the zone gnet is not listed; listed are brugge, gent
    exit 1
    ");
    assert_snapshot!(run(dir.path(), &["check-config", "balancer.yaml"]), @"
    cannot read keys/cluster.key: No such file or directory (os error 2)
    exit 1
    ");
    run(dir.path(), &["certs", "init", "--dir", "keys"]);
    assert_snapshot!(run(dir.path(), &["check-config", "balancer.yaml"]), @"
    balancer.yaml: ok (balancer)
    exit 0
    ");
}

#[rstest]
#[case::balancer("balancer")]
#[case::agent("agent")]
#[case::control("control")]
fn a_daemon_refuses_faulty_settings(#[case] daemon: &str) {
    let dir = folder();
    std::fs::write(dir.path().join("f.yaml"), "node: 1\n").unwrap();
    let answer = run(dir.path(), &[daemon, "--config", "f.yaml"]);
    assert!(answer.starts_with("error: "), "{answer}");
    assert!(answer.contains("f.yaml:1:1: missing key zone"), "{answer}");
    assert!(answer.ends_with("exit 1"), "{answer}");
}

/// Guards against an error that leaves open which node or which argument it is about. Nothing listens at port 1.
#[test]
fn explain_names_the_node_or_the_argument() {
    let dir = folder();
    let (to, from) = (["--to", "198.18.0.1:443"], ["--from", "100.64.0.7"]);
    let nodes = ["--node", "127.0.0.1:1", "--node", "127.0.0.2:1"];
    let explain = |args: &[&[&str]]| run(dir.path(), &[vec!["explain"], args.concat()].concat());
    let answers = [
        explain(&[&nodes, &to, &from]),
        explain(&[&nodes, &to, &from, &["--json"]]),
        explain(&[&to, &from]),
        explain(&[&nodes, &["--to", "198.18.0.1"], &from]),
        explain(&[&nodes, &to, &["--from", "caller"]]),
        explain(&[&["--node", "host"], &to, &from]),
        explain(&[&nodes, &to, &from, &["--zone", "No Zone"]]),
    ];
    assert_snapshot!(answers.join("\n"), @r#"
    error: no node answers: 127.0.0.1:1: cannot connect: Connection refused (os error 111); 127.0.0.2:1: cannot connect: Connection refused (os error 111)
    exit 1
    {
      "error": "no node answers: 127.0.0.1:1: cannot connect: Connection refused (os error 111); 127.0.0.2:1: cannot connect: Connection refused (os error 111)"
    }
    exit 1
    error: missing required option `--node`; try dogwoodrill --help
    exit 2
    error: invalid argument to option `--to`: invalid IPv4 socket address syntax; try dogwoodrill --help
    exit 2
    error: invalid argument to option `--from`: invalid IPv4 socket address syntax; try dogwoodrill --help
    exit 2
    error: invalid argument to option `--node`: invalid IPv4 socket address syntax; try dogwoodrill --help
    exit 2
    error: invalid argument to option `--zone`: the name "No Zone" may hold only a-z, 0-9 and inner hyphens; try dogwoodrill --help
    exit 2
    "#);
}
