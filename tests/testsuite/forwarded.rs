//! Forwarded flows by the real drivers on loopback.

use std::net::SocketAddrV4;
use std::time::Duration;

use dogwoodrill::forwarded::metrics::SocketCallCounters;
use dogwoodrill::forwarded::packets::{BATCH_SIZE, Inbox, PacketSocket};
use prometheus::Registry;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::support::HANG_GUARD;

mod hosts;

use hosts::*;

/// Founders that cannot ask each other first come out as one cluster, in which the highest version
/// stands whatever comes again.
#[tokio::test]
async fn founders_agree_and_the_highest_version_stands() {
    let (ports, data) = (ports(), folders::<3>());
    let (_, hosts) = found(1, ports, &data).await;
    let hosts: Vec<_> = hosts.iter().collect();
    let stood = [
        put(&hosts, 7).await,
        put(&hosts, 9).await,
        put(&hosts, 9).await,
        put(&hosts, 8).await,
    ];
    assert_eq!(stood, [7, 9, 9, 9]);
    assert_eq!(read_back(&hosts).await, body(9));
}

/// A host with an empty disk takes the place of one that is gone, while its settings change all the
/// time; then another founder may be lost.
#[tokio::test]
async fn an_empty_host_takes_the_place_of_a_lost_one() {
    let (ports, data, more) = (ports(), folders::<3>(), folders::<1>());
    let (mut seeds, mut hosts) = found(2, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(0).kill().await;
    seeds[0] = ip(2, 4);
    let joining = control(seeds[0], ports, &seeds, more[0].path(), false).await;
    let changes = async {
        loop {
            joining.running.seeds.send_replace(addresses(&seeds));
            sleep(POLL_PAUSE).await;
        }
    };
    tokio::select! {
        () = changes => {}
        () = wait_for_vote(&joining, 3) => {}
    }
    hosts.remove(0).kill().await;
    let hosts = [&joining, &hosts[0]];
    assert_eq!(put(&hosts, 4).await, 4);
    assert_eq!(read_back(&hosts).await, body(4));
}

/// The disk of a host is gone, and the host is back at its address.
#[tokio::test]
async fn a_wiped_host_joins_again_under_a_new_identity() {
    let (ports, data, more) = (ports(), folders::<3>(), folders::<1>());
    let (seeds, mut hosts) = found(3, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(2).kill().await;
    let wiped = control(seeds[2], ports, &seeds, more[0].path(), false).await;
    wait_for_vote(&wiped, 3).await;
    hosts.remove(0).kill().await;
    let hosts = [&wiped, &hosts[0]];
    assert_eq!(read_back(&hosts).await, body(3));
    assert_eq!(put(&hosts, 5).await, 5);
}

/// The only seed of a wiped host does not lead, but names those who may.
#[tokio::test]
async fn a_joining_host_finds_a_leader_that_is_no_seed() {
    let (ports, data, more) = (ports(), folders::<3>(), folders::<1>());
    let (seeds, mut hosts) = found(7, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 3).await;
    let leader = leader_of(&hosts).await;
    let (wiped, follower) = ((leader + 1) % 3, (leader + 2) % 3);
    hosts.remove(wiped).kill().await;
    let known = [seeds[wiped], seeds[follower]];
    let joining = control(seeds[wiped], ports, &known, more[0].path(), false).await;
    wait_for_vote(&joining, 3).await;
}

/// All processes end at once and come back with their disks.
#[tokio::test]
async fn what_was_accepted_is_there_after_all_hosts_restarted() {
    let (ports, data) = (ports(), folders::<3>());
    let (seeds, hosts) = found(4, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 12).await;
    for host in hosts {
        host.kill().await;
    }
    let mut back = Vec::new();
    for (ip, data) in seeds.iter().zip(&data) {
        back.push(control(*ip, ports, &seeds, data.path(), true).await);
    }
    assert_eq!(read_back(&back.iter().collect::<Vec<_>>()).await, body(12));
}

/// From the caller's first packet to the server's answer, through sockets of all roles, with the
/// configuration fetched from the control hosts.
#[tokio::test]
async fn a_flow_is_served_through_all_roles() {
    let (ports, data) = (ports(), folders::<3>());
    let (seeds, hosts) = found(5, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 2).await;
    let (server, agent) = agent(5, 10, ports, &seeds).await;
    let reports = tokio::spawn(async move {
        for sequence in 1.. {
            server.report(statement(&server, sequence)).await;
            sleep(Duration::from_millis(300)).await;
        }
    });
    let balancer_ip = ip(5, 20);
    let balancer = balancer(&cx(balancer_ip), balancer_ip, ports, &seeds).await;

    let caller_ip = ip(5, 30);
    let caller = UdpSocket::bind((caller_ip, ports.packets)).await.unwrap();
    let end = SocketAddrV4::new(caller_ip, 40_001);
    open(&caller, end, balancer_ip, ports).await;
    let request = packet(64, end, 101, 5001, b"order");
    caller
        .send_to(&request, (balancer_ip, ports.packets))
        .await
        .unwrap();
    let mut buf = [0; 2048];
    let answered = async {
        loop {
            let len = caller.recv(&mut buf).await.unwrap();
            if len > 36 {
                return buf[36..len].to_vec();
            }
        }
    };
    assert_eq!(timeout(HANG_GUARD, answered).await.unwrap(), b"order");

    reports.abort();
    balancer.stop().await;
    agent.stop().await;
}

/// A batch and a rest: all arrive in order, unchanged, each batch by one call at either end.
#[tokio::test]
async fn packets_travel_in_batches() {
    let ports = ports();
    let [from, to] = [1, 2].map(|host| SocketAddrV4::new(ip(6, host), ports.packets));
    let calls = [(); 2].map(|()| SocketCallCounters::register(&Registry::new()));
    let mut sender = PacketSocket::bind(from, calls[0].clone()).unwrap();
    let socket = PacketSocket::bind(to, calls[1].clone()).unwrap();
    let sent: Vec<_> = (0..=u8::try_from(BATCH_SIZE).unwrap())
        .map(|n| vec![n; usize::from(n) * 40])
        .collect();
    for packet in &sent {
        sender.send(to, packet);
    }
    sender.flush();
    let (mut inbox, mut taken) = (Inbox::default(), Vec::new());
    while taken.len() < sent.len() {
        timeout(HANG_GUARD, socket.readable())
            .await
            .unwrap()
            .unwrap();
        socket.receive(&mut inbox);
        for (ip, packet) in inbox.packets() {
            assert_eq!(ip, *from.ip());
            taken.push(packet.to_vec());
        }
    }
    assert_eq!(taken, sent);
    assert_eq!((calls[0].send.get(), calls[1].receive.get()), (2, 2));
}
