//! Start, restart, loss and replacement of control hosts, run as real daemons on loopback with data folders.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use dogwoodrill::control::{Control, ControlError, ControlOptions};
use dogwoodrill::operator::{OperatorClient, OperatorError};
use dogwoodrill_core::changes::Change;
use dogwoodrill_core::config::{CommittedConfig, Profile, Version};
use dogwoodrill_core::control_status::{ControlHost, ControlRole};
use dogwoodrill_core::ids::NodeId;
use insta::assert_snapshot;
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::support::{HANG_GUARD, any_port, cx, initial_config};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

type RunResult = Result<(), ControlError>;

struct Running {
    host: ControlHost,
    token: CancellationToken,
    task: JoinHandle<RunResult>,
}

impl Running {
    fn start(control: Control, node: u64) -> Self {
        let token = CancellationToken::new();
        Self {
            host: host(node, &control),
            task: tokio::spawn(control.run(token.clone())),
            token,
        }
    }

    async fn stop(self) -> RunResult {
        self.token.cancel();
        self.task.await.unwrap()
    }
}

fn host(node: u64, control: &Control) -> ControlHost {
    ControlHost {
        node: node.into(),
        address: control.address(),
    }
}

async fn bind(node: u64, listen: SocketAddr, data: &Path) -> Result<Control, ControlError> {
    let options = ControlOptions::single_host(listen, data.to_owned(), initial_config());
    Control::bind(cx(node), options).await
}

fn folders<const N: usize>() -> [TempDir; N] {
    std::array::from_fn(|_| tempfile::tempdir().unwrap())
}

fn others(hosts: &[ControlHost], node: u64) -> Vec<ControlHost> {
    let node = NodeId::new(node);
    hosts.iter().copied().filter(|h| h.node != node).collect()
}

/// Starts three hosts that bootstrap a cluster.
async fn bootstrap_cluster(data: &[TempDir; 3]) -> Vec<Running> {
    let mut bound = Vec::new();
    for (node, data) in (1..).zip(data) {
        bound.push((node, bind(node, any_port(), data.path()).await.unwrap()));
    }
    let hosts: Vec<_> = bound
        .iter()
        .map(|(node, control)| host(*node, control))
        .collect();
    let start = |(node, control): (u64, Control)| {
        Running::start(control.with_peers(others(&hosts, node)), node)
    };
    bound.into_iter().map(start).collect()
}

fn client(hosts: &[ControlHost]) -> OperatorClient {
    let addresses = hosts.iter().map(|h| h.address).collect();
    OperatorClient::new(cx(900), addresses, HANG_GUARD).unwrap()
}

fn hosts(running: &[Running]) -> Vec<ControlHost> {
    running.iter().map(|r| r.host).collect()
}

fn queue_limit(config: &CommittedConfig, limit: u32) -> Change {
    let profile = config.profiles.values().next().unwrap();
    Change::Profile(Profile {
        queue_limit: limit,
        ..profile.clone()
    })
}

async fn change(client: &OperatorClient, limit: u32) -> Version {
    let config = client.config().await.unwrap();
    let id = OperatorClient::new_command_id();
    let accepted = client.apply(id, &queue_limit(&config, limit)).await;
    accepted.unwrap().version
}

async fn limit(client: &OperatorClient) -> u32 {
    let config = client.config().await.unwrap();
    config.profiles.values().next().unwrap().queue_limit
}

/// Waits until every host sees itself as a voter in the committed membership, and the leader reaches all hosts.
async fn wait_until_complete(client: &OperatorClient, count: usize) {
    let complete = async {
        loop {
            let all = client.status_of_each().await;
            let all: Vec<_> = all.into_iter().filter_map(|(_, s)| s.ok()).collect();
            let in_place = all.iter().filter(|s| {
                let voters = s.members.iter().filter(|m| m.voter).count();
                s.role != ControlRole::Learner && voters == count && s.members.len() == count
            });
            let mut leaders = all.iter().filter(|s| s.role == ControlRole::Leader);
            let reached = leaders.any(|s| s.members.iter().all(|m| m.reachable));
            if reached && in_place.count() == count {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, complete)
        .await
        .expect("the members reach each other");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_goes_through_any_host_and_outlives_a_restart_of_all() {
    let data = folders();
    let running = bootstrap_cluster(&data).await;
    let client = client(&hosts(&running));
    assert_eq!(change(&client, 11).await, Version::new(1));
    let mut stopped = Vec::new();
    for host in running {
        stopped.push(host.host);
        host.stop().await.unwrap();
    }
    let mut running = Vec::new();
    for (host, data) in stopped.iter().zip(&data) {
        let node = host.node.get();
        let control = bind(node, host.address, data.path()).await.unwrap();
        running.push(Running::start(control, node));
    }
    assert_eq!(limit(&client).await, 11);
    assert_eq!(change(&client, 12).await, Version::new(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wiped_host_is_refused_and_then_replaces_itself() {
    let data = folders();
    let mut running = bootstrap_cluster(&data).await;
    let all = hosts(&running);
    let client = client(&all);
    change(&client, 11).await;
    wait_until_complete(&client, 3).await;
    let lost = running.pop().unwrap();
    let address = lost.host.address;
    lost.stop().await.unwrap();
    let wiped = folders::<1>();
    let control = bind(3, address, wiped[0].path()).await.unwrap();
    let refused = control.with_peers(others(&all, 3));
    let refused = refused.run(CancellationToken::new()).await.unwrap_err();
    assert_snapshot!(refused, @"the data folder of control host 3 is empty, but the cluster exists and knows this host with another disk; to give the host a new disk, start it with `replaces: 3`");
    let options = ControlOptions {
        replaces: Some(NodeId::new(3)),
        peers: others(&all, 3),
        ..ControlOptions::single_host(address, wiped[0].path().to_owned(), initial_config())
    };
    let control = Control::bind(cx(3), options).await.unwrap();
    running.push(Running::start(control, 3));
    wait_until_complete(&client, 3).await;
    // The repaired cluster can handle the loss of a second host right after the repair.
    running.remove(0).stop().await.unwrap();
    assert_eq!(limit(&client).await, 11);
    assert_eq!(change(&client, 12).await, Version::new(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_nothing_is_accepted_and_status_still_answers() {
    let data = folders();
    let mut running = bootstrap_cluster(&data).await;
    let all = hosts(&running);
    let config = client(&all).config().await.unwrap();
    wait_until_complete(&client(&all), 3).await;
    for lost in running.split_off(1) {
        lost.stop().await.unwrap();
    }
    let short = Duration::from_secs(3);
    let client = OperatorClient::new(cx(900), vec![all[0].address], short).unwrap();
    let id = OperatorClient::new_command_id();
    let refused = client.apply(id, &queue_limit(&config, 12)).await;
    assert!(
        matches!(refused, Err(OperatorError::Unanswered { .. })),
        "{refused:?}"
    );
    let status = client.status().await.unwrap();
    assert_eq!((status.node, status.members.len()), (NodeId::new(1), 3));
}

#[tokio::test]
async fn a_folder_of_another_host_or_in_use_is_refused() {
    let data = folders::<1>();
    let control = bind(1, any_port(), data[0].path()).await.unwrap();
    let in_use = bind(1, any_port(), data[0].path()).await.unwrap_err();
    drop(control);
    let other = bind(2, any_port(), data[0].path()).await.unwrap_err();
    let messages = format!("{in_use}\n{other}").replace(data[0].path().to_str().unwrap(), "<data>");
    assert_snapshot!(messages, @"
    another process uses the data folder <data>; stop it first
    the data folder belongs to control host 1, the settings say 2; use the right folder
    ");
}
