//! Dissemination of state over real links, in small clusters of nodes without sockets for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill::cluster::hub::SpreadHub;
use dogwoodrill::cluster::{Cluster, link};
use dogwoodrill::context::Cx;
use dogwoodrill::settings::Document;
use dogwoodrill::settings::initial::InitialSettings;
use dogwoodrill::transport;
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::ServingStatus;
use insta::assert_debug_snapshot;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};
use tonic::service::Routes;

use crate::support::{HANG_GUARD, any_port, initial_config};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct View {
    cluster: Arc<Cluster>,
    address: SocketAddr,
    stop: DropGuard,
}

impl View {
    async fn until(&self, done: impl Fn(&Cluster) -> bool) {
        let wait = async {
            while !done(&self.cluster) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(HANG_GUARD, wait)
            .await
            .expect("the view gets there");
    }

    async fn until_records(&self, count: usize) {
        self.until(|c| c.directory().records().count() == count)
            .await;
    }
}

/// Starts the cluster view of a balancer, or of a control host if there is no parent.
async fn start(node: u64, parent: Option<SocketAddr>) -> View {
    start_at(any_port(), node, parent).await
}

async fn start_at(address: SocketAddr, node: u64, parent: Option<SocketAddr>) -> View {
    let key = ClusterKey::new(*b"a key for tests.");
    let cx = Cx::new(node.into(), "pando".parse().unwrap(), key);
    let listener = Arc::new(bind(address).await);
    let address = listener.local_addr().unwrap();
    let cluster = Arc::new(Cluster::default());
    if parent.is_some() {
        cluster.publish(balancer(&cx, address));
    }
    let token = CancellationToken::new();
    let stop = token.clone().drop_guard();
    let view = Arc::clone(&cluster);
    tokio::spawn(async move {
        let routes = Routes::new(SpreadHub::server(&view));
        let serve = transport::serve(&cx, listener, routes, token.clone());
        let spread = async {
            match parent {
                Some(parent) => link::run_node(&cx, &view, &[parent]).await,
                None => link::run_control_node(&cx, &view, &[]).await,
            }
        };
        tokio::select! {
            () = token.cancelled() => {}
            served = serve => served.unwrap(),
            ended = spread => ended.unwrap(),
        }
    });
    View {
        cluster,
        address,
        stop,
    }
}

/// Binds an address that may have been released a moment ago.
async fn bind(address: SocketAddr) -> TcpListener {
    let bound = async {
        loop {
            if let Ok(listener) = TcpListener::bind(address).await {
                return listener;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, bound)
        .await
        .expect("the address is free")
}

fn balancer(cx: &Cx, address: SocketAddr) -> Record {
    Record {
        member: MemberId::Balancer(cx.node),
        zone: cx.zone.clone(),
        incarnation: cx.incarnation,
        sequence: 1.into(),
        state: MemberState::Serving,
        tunnel: address,
        peer: address,
        eligible_at: UnixMillis::default(),
        role: Role::Balancer,
    }
}

fn config(index: u64) -> CommittedConfig {
    CommittedConfig {
        index: LogIndex::new(index),
        ..initial_config()
    }
}

#[tokio::test]
async fn a_change_reaches_all_and_all_confirm_it() {
    let control = start(200, None).await;
    control.cluster.adopt(config(1));
    let nodes = [
        start(1, Some(control.address)).await,
        start(2, Some(control.address)).await,
        start(3, Some(control.address)).await,
    ];
    for node in &nodes {
        node.until_records(3).await;
    }
    control.cluster.adopt(config(2));
    for node in &nodes {
        node.until(|c| c.config().index == LogIndex::new(2)).await;
    }
    let all_four = |c: &Cluster| {
        let confirmations = c.confirmations(LogIndex::new(2));
        confirmations.zones.iter().map(|z| z.confirmed).sum::<u32>() == 4
    };
    control.until(all_four).await;
    let confirmations = control.cluster.confirmations(LogIndex::new(2));
    assert_debug_snapshot!(confirmations, @r#"
    Confirmations {
        index: LogIndex(
            2,
        ),
        zones: [
            ZoneConfirmations {
                zone: AvailabilityZone(
                    "pando",
                ),
                confirmed: 4,
                behind: 0,
                behind_nodes: [],
                members: 3,
                unreachable: 0,
            },
        ],
    }
    "#);
    assert!(
        !control
            .cluster
            .confirmations(LogIndex::new(3))
            .is_complete()
    );
}

#[tokio::test]
async fn a_received_configuration_does_not_revert() {
    let control = start(200, None).await;
    control.cluster.adopt(config(5));
    let node = start(1, Some(control.address)).await;
    node.until(|c| c.config().index == LogIndex::new(5)).await;
    // The control host restarts at its address without its state.
    let address = control.address;
    drop(control.stop);
    let wiped = start_at(address, 200, None).await;
    wiped.cluster.adopt(config(2));
    wiped.until_records(1).await;
    let other = start(2, Some(address)).await;
    other.until_records(2).await;
    other.until(|c| c.config().index == LogIndex::new(5)).await;
    assert_eq!(node.cluster.config().index, LogIndex::new(5));
}

#[tokio::test]
async fn a_node_that_left_is_a_tombstone_and_its_process_restarts_with_a_later_incarnation() {
    let control = start(200, None).await;
    control.cluster.adopt(config(1));
    let watcher = start(1, Some(control.address)).await;
    let leaver = start(2, Some(control.address)).await;
    watcher.until_records(2).await;
    let own = leaver.cluster.own_record().borrow().clone().unwrap();
    leaver.cluster.publish(Record {
        state: MemberState::Left,
        ..own.clone()
    });
    let state = |c: &Cluster| c.directory().get(own.member).map(|r| r.state);
    watcher.until(|c| state(c) == Some(MemberState::Left)).await;
    drop(leaver.stop);
    let _restarted = start(2, Some(control.address)).await;
    watcher
        .until(|c| state(c) == Some(MemberState::Serving))
        .await;
}

#[tokio::test]
async fn a_node_whose_only_neighbours_die_is_isolated_and_serves_again_later() {
    let control = start(200, None).await;
    control.cluster.adopt(config(1));
    let node = start(1, Some(control.address)).await;
    node.until(|c| c.config().index == LogIndex::new(1)).await;
    let mut serving_status = node.cluster.serving_status();
    assert_eq!(*serving_status.borrow(), ServingStatus::Serving);
    drop(control.stop);
    let isolated = serving_status.wait_for(|s| *s == ServingStatus::Isolated);
    timeout(HANG_GUARD, isolated).await.unwrap().unwrap();
    let back = start(2, Some(node.address)).await;
    back.until_records(2).await;
    // The other node's state is as old, so the control host is the one that failed, and both nodes serve.
    let serving = serving_status.wait_for(|s| *s == ServingStatus::Serving);
    timeout(HANG_GUARD, serving).await.unwrap().unwrap();
}

#[test]
fn the_initial_configuration_names_the_region_of_each_zone() {
    let read = |regions: &str| {
        let text = format!(
            "zones: [gent, pando]\nregions: {{{regions}}}\nprofiles:\n  - name: checks\n\
             services:\n  - {{id: 1, name: orders, profile: checks, addresses: ['192.0.2.1:443']}}\n"
        );
        let document = Document::parse(std::path::Path::new("f.yaml"), &text).unwrap();
        let settings = InitialSettings::try_from(&document);
        settings
            .map(|s| s.config.regions)
            .map_err(|e| e.to_string())
    };
    let cases = ["gent: flanders", "brugge: flanders", "gent: '!'"];
    assert_debug_snapshot!(cases.map(read), @r#"
    [
        Ok(
            {
                AvailabilityZone(
                    "gent",
                ): RegionName(
                    "flanders",
                ),
            },
        ),
        Err(
            "1 fault in f.yaml\nf.yaml:2:10: the zone brugge under regions is not listed under zones",
        ),
        Err(
            "1 fault in f.yaml\nf.yaml:2:17: gent: invalid value \"!\": the name \"!\" may hold only a-z, 0-9 and inner hyphens",
        ),
    ]
    "#);
}
