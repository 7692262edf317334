//! Control hosts that are told to stop on loopback while another host waits for a place.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use dogwoodrill_consensus::Handover;
use rstest::rstest;
use tempfile::TempDir;

use super::hosts::*;

/// A cluster of three hosts and their disks, by address, and a host that waits for a place.
struct Cluster {
    ports: Ports,
    seeds: Vec<Ipv4Addr>,
    hosts: BTreeMap<Ipv4Addr, (ControlHost, TempDir)>,
}

impl Cluster {
    /// Starts three initial members with a document.
    async fn start(test: u8) -> Self {
        let ports = free_ports();
        let seeds: Vec<_> = (1..=3).map(|host| loopback_ip(test, host)).collect();
        let mut cluster = Self {
            ports,
            seeds: seeds.clone(),
            hosts: BTreeMap::new(),
        };
        for ip in seeds {
            let data = tempfile::tempdir().unwrap();
            cluster.start_host(ip, data, true).await;
        }
        put_document(&cluster.all(), 3).await;
        cluster
    }

    async fn start_host(&mut self, ip: Ipv4Addr, data: TempDir, bootstrap: bool) {
        let host = start_control_host(ip, self.ports, &self.seeds, data.path(), bootstrap).await;
        self.hosts.insert(ip, (host, data));
    }

    /// Starts a host with an empty disk and waits until every other host knows that it waits for a place.
    async fn start_successor(&mut self, test: u8) -> Ipv4Addr {
        let ip = loopback_ip(test, 4);
        let data = tempfile::tempdir().unwrap();
        self.start_host(ip, data, false).await;
        self.wait_until_waiting(ip).await;
        ip
    }

    async fn wait_until_waiting(&self, ip: Ipv4Addr) {
        let others = self.hosts.iter().filter(|(other, _)| **other != ip);
        for (_, (host, _)) in others {
            let knows = async || {
                let may_stop = host.handle.may_stop(Some(Handover::NoSuccessor)).await;
                matches!(may_stop, Ok(false)).then_some(())
            };
            poll_until("the host does not wait", knows).await;
        }
    }

    fn all(&self) -> Vec<&ControlHost> {
        self.hosts.values().map(|(host, _)| host).collect()
    }

    fn host(&self, ip: Ipv4Addr) -> &ControlHost {
        &self.hosts[&ip].0
    }

    async fn leader(&self) -> Ipv4Addr {
        let leader = async || {
            for (ip, (host, _)) in &self.hosts {
                if host.is_leader().await {
                    return Some(*ip);
                }
            }
            None
        };
        poll_until("no host is the leader", leader).await
    }

    /// Stops a host and returns its disk.
    async fn stop(&mut self, ip: Ipv4Addr) -> TempDir {
        let (host, data) = self.hosts.remove(&ip).unwrap();
        host.stop().await;
        data
    }

    /// Kills a host and restarts it with an empty disk.
    async fn wipe(&mut self, ip: Ipv4Addr) {
        let (host, _) = self.hosts.remove(&ip).unwrap();
        host.kill().await;
        self.start_host(ip, tempfile::tempdir().unwrap(), false)
            .await;
    }
}

/// Guards against a host that ends before its successor has its place: a disk that is lost right after that loses what was
/// acknowledged (review/11).
#[rstest]
#[case::follower(30, false)]
#[case::leader(31, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_disk_lost_right_after_a_planned_replacement_is_tolerated(
    #[case] test: u8,
    #[case] leader_leaves: bool,
) {
    let mut cluster = Cluster::start(test).await;
    let successor = cluster.start_successor(test).await;
    let leader = cluster.leader().await;
    let mut founders = cluster.seeds.clone().into_iter();
    let leaving = founders
        .find(|ip| (*ip == leader) == leader_leaves)
        .unwrap();
    cluster.stop(leaving).await;
    let mut staying = cluster.seeds.clone().into_iter();
    let wiped = staying
        .find(|ip| *ip != leaving && (leader_leaves || *ip == leader))
        .unwrap();
    cluster.wipe(wiped).await;
    assert_eq!(read_document(&cluster.all()).await, config_document(3));
    assert_eq!(put_document(&cluster.all(), 4).await, 4);
    let voters: Vec<_> = cluster.hosts.keys().copied().collect();
    wait_until_voters_are(cluster.host(successor), &voters).await;
}

/// A host without a successor ends and keeps its place.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_successor_keeps_its_place() {
    let mut cluster = Cluster::start(32).await;
    let leader = cluster.leader().await;
    let founders = cluster.seeds.clone();
    let stopped = founders.iter().find(|ip| **ip != leader).unwrap();
    let data = cluster.stop(*stopped).await;
    wait_until_voters_are(cluster.host(leader), &founders).await;
    cluster.start_host(*stopped, data, true).await;
    wait_until_voter(cluster.host(*stopped), 3).await;
    assert_eq!(put_document(&cluster.all(), 4).await, 4);
}

/// Hosts that restart in turn pass the place of the one before on. The last one that leaves for good has a full successor.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_restart_in_turn_beside_a_successor_are_successors_themselves() {
    let mut cluster = Cluster::start(33).await;
    cluster.start_successor(33).await;
    for ip in cluster.seeds.clone() {
        let data = cluster.stop(ip).await;
        cluster.start_host(ip, data, true).await;
        cluster.wait_until_waiting(ip).await;
    }
    let leader = cluster.leader().await;
    cluster.stop(leader).await;
    let voters: Vec<_> = cluster.hosts.keys().copied().collect();
    wait_until_voters_are(cluster.all()[0], &voters).await;
    let wiped = cluster.leader().await;
    cluster.wipe(wiped).await;
    assert_eq!(read_document(&cluster.all()).await, config_document(3));
    assert_eq!(put_document(&cluster.all(), 4).await, 4);
}
