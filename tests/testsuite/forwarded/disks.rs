//! Control hosts whose disks are full for a while.

use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use dogwoodrill_consensus::store::file::{Folder, OsFolder};
use tempfile::TempDir;

use super::hosts::*;

/// Whether the disk of a [`FillableFolder`] is full.
#[derive(Clone, Debug, Default)]
struct DiskSwitch(Arc<AtomicBool>);

impl DiskSwitch {
    fn set_full(&self, is_full: bool) {
        self.0.store(is_full, Ordering::SeqCst);
    }

    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

/// A data folder whose disk can be switched to refuse all writes.
#[derive(Debug)]
struct FillableFolder {
    files: OsFolder,
    disk: DiskSwitch,
}

impl Folder for FillableFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        self.files.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.read(name)
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.disk.check()?;
        self.files.write_at(name, offset, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.files.sync(name)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.files.truncate(name, length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.files.sync_folder()
    }

    fn reserve(&mut self, name: &str, bytes: u64) -> io::Result<()> {
        self.disk.check()?;
        self.files.reserve(name, bytes)
    }
}

async fn start_with_disk(
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
    data: &TempDir,
    bootstrap: bool,
) -> (ControlHost, DiskSwitch) {
    let disk = DiskSwitch::default();
    let folder = FillableFolder {
        files: OsFolder::open(data.path()).unwrap(),
        disk: disk.clone(),
    };
    let folder = Box::new(folder);
    let host = start_control_host_with_folder(ip, ports, seeds, data.path(), bootstrap, folder, 1);
    (host.await, disk)
}

async fn wait_until_disk_has_space(host: &ControlHost) {
    let has_space = async || {
        let status = host.handle.status().await.ok()?;
        (!status.disk_full).then_some(())
    };
    poll_until("the host still reports a full disk", has_space).await;
}

/// Guards against changes that are refused or unanswered long after the disks have room again. The disks are full one
/// after another, each while a change is made; then each host in turn must do without one of the others.
#[tokio::test]
async fn disks_that_were_full_in_turn_hinder_no_later_change() {
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let seeds: Vec<_> = (1..=3).map(|host| loopback_ip(11, host)).collect();
    let (mut hosts, mut disks) = (Vec::new(), Vec::new());
    for (ip, data) in seeds.iter().zip(&data) {
        let (host, disk) = start_with_disk(*ip, ports, &seeds, data, true).await;
        hosts.push(host);
        disks.push(disk);
    }
    let all: Vec<_> = hosts.iter().collect();
    put_document(&all, 1).await;
    for (version, disk) in (2..).zip(&disks) {
        disk.set_full(true);
        assert_eq!(put_document(&all, version).await, version);
        disk.set_full(false);
    }
    for host in &hosts {
        wait_until_disk_has_space(host).await;
    }
    for (version, disk) in (10..).zip(&disks) {
        disk.set_full(true);
        assert_eq!(put_document(&all, version).await, version);
        disk.set_full(false);
    }
    assert_eq!(read_document(&all).await, config_document(12));
}

/// Guards against a host that ends when its disk is full at the moment in which it is to join a cluster.
#[tokio::test]
async fn a_host_whose_disk_is_full_while_it_joins_becomes_a_voter_later() {
    let (ports, data, more) = (free_ports(), temp_dirs::<3>(), temp_dirs::<1>());
    let (seeds, mut hosts) = bootstrap_cluster(12, ports, &data).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(2).kill().await;
    let (wiped, disk) = start_with_disk(seeds[2], ports, &[], &more[0], false).await;
    disk.set_full(true);
    wiped.running.seeds.send_replace(addresses(&seeds));
    wait_until_learner(&hosts, seeds[2]).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 4).await;
    disk.set_full(false);
    wait_until_voter(&wiped, 3).await;
}
