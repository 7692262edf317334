//! Control hosts that are replaced in pairs on loopback, and the loss of two disks and of all power after that.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use dogwoodrill_consensus::store::file::{Folder, OsFolder};
use rstest::rstest;
use tempfile::TempDir;

use super::hosts::*;

/// Number of pairs that are replaced, one after the other.
const PAIRS: u8 = 2;

/// Time that a disk takes to sync. The steps of a replacement take several syncs each, so that join requests of two hosts
/// meet between them.
const SYNC_TIME: Duration = Duration::from_millis(15);

/// A data folder on a disk that takes some time to sync.
#[derive(Debug)]
struct SlowFolder(OsFolder);

impl Folder for SlowFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        self.0.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.read(name)
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_at(name, offset, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        thread::sleep(SYNC_TIME);
        self.0.sync(name)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.truncate(name, length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.sync_folder()
    }

    fn reserve(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        self.0.reserve(name, bytes)
    }
}

async fn start_host(
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
    data: &Path,
    bootstrap: bool,
) -> ControlHost {
    let folder = Box::new(SlowFolder(OsFolder::open(data).unwrap()));
    start_control_host_with_folder(ip, ports, seeds, data, bootstrap, folder, 2).await
}

/// A cluster of five hosts with their disks, by address.
struct Cluster {
    ports: Ports,
    hosts: BTreeMap<Ipv4Addr, (ControlHost, TempDir)>,
}

impl Cluster {
    /// Starts three initial members and two hosts that join them.
    async fn start(test: u8) -> Self {
        let ports = free_ports();
        let ips: Vec<_> = (1..=5).map(|host| loopback_ip(test, host)).collect();
        let mut cluster = Self {
            ports,
            hosts: BTreeMap::new(),
        };
        for ip in &ips {
            cluster.start_host(*ip, &ips[..3], true).await;
        }
        cluster.wait_until_complete().await;
        cluster
    }

    /// Starts a host with an empty disk.
    async fn start_host(&mut self, ip: Ipv4Addr, seeds: &[Ipv4Addr], bootstrap: bool) {
        let data = tempfile::tempdir().unwrap();
        let host = start_host(ip, self.ports, seeds, data.path(), bootstrap).await;
        self.hosts.insert(ip, (host, data));
    }

    fn ips(&self) -> Vec<Ipv4Addr> {
        self.hosts.keys().copied().collect()
    }

    fn all(&self) -> Vec<&ControlHost> {
        self.hosts.values().map(|(host, _)| host).collect()
    }

    /// Waits until the running hosts, and no others, are voters.
    async fn wait_until_complete(&self) {
        for host in self.all() {
            wait_until_voters_are(host, &self.ips()).await;
            wait_until_voter(host, self.hosts.len()).await;
        }
    }

    /// Returns the address of the leader and that of another host.
    async fn leader_and_another(&self) -> [Ipv4Addr; 2] {
        let leader = async || {
            for (ip, (host, _)) in &self.hosts {
                if host.is_leader().await {
                    return Some(*ip);
                }
            }
            None
        };
        let leader = poll_until("no host is the leader", leader).await;
        let another = self.ips().into_iter().find(|ip| *ip != leader);
        [leader, another.unwrap()]
    }

    async fn remove(&mut self, ip: Ipv4Addr) {
        let (host, _) = self.hosts.remove(&ip).unwrap();
        host.kill().await;
    }

    /// Kills all hosts and restarts them; those at `wiped` restart with empty disks.
    async fn lose_power(&mut self, wiped: &[Ipv4Addr]) {
        let ips = self.ips();
        let mut disks = Vec::new();
        for (ip, (host, data)) in std::mem::take(&mut self.hosts) {
            host.kill().await;
            disks.push((ip, data));
        }
        for (ip, data) in disks {
            if wiped.contains(&ip) {
                self.start_host(ip, &ips[..3], false).await;
            } else {
                let host = start_host(ip, self.ports, &ips[..3], data.path(), false).await;
                self.hosts.insert(ip, (host, data));
            }
        }
    }
}

/// Guards against two successors for one place (review/2): the other lost host stayed a voter, and the tolerated loss
/// of two disks lost what was acknowledged. The leader is among the hosts of each pair.
#[rstest]
#[case::old_addresses_refuse(20, false)]
#[case::old_addresses_stay_silent(21, true)]
#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_hosts_that_are_replaced_leave_room_for_the_loss_of_two_disks(
    #[case] test: u8,
    #[case] is_silent: bool,
) {
    let mut cluster = Cluster::start(test).await;
    put_document(&cluster.all(), 1).await;
    for pair in 1..=PAIRS {
        let removed = cluster.leader_and_another().await;
        for ip in removed {
            cluster.remove(ip).await;
        }
        if is_silent {
            silent_hosts(&removed, cluster.ports).await;
        }
        let successors = [1, 2].map(|n| loopback_ip(test, 10 * pair + n));
        let seeds = [removed[0], successors[1], cluster.ips()[0]];
        for ip in successors {
            cluster.start_host(ip, &seeds, false).await;
        }
        cluster.wait_until_complete().await;
        let version = 1 + u64::from(pair);
        assert_eq!(put_document(&cluster.all(), version).await, version);
    }
    let wiped = cluster.leader_and_another().await;
    cluster.lose_power(&wiped).await;
    let last = 1 + u64::from(PAIRS);
    assert_eq!(read_document(&cluster.all()).await, config_document(last));
    cluster.wait_until_complete().await;
    assert_eq!(put_document(&cluster.all(), last + 1).await, last + 1);
}
