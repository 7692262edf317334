//! Forwarded flows with the real drivers on loopback addresses.

use std::net::SocketAddrV4;

use dogwoodrill::forwarded::metrics::SocketCallCounters;
use dogwoodrill::forwarded::packets::{BATCH_SIZE, Inbox, PacketSocket};
use dogwoodrill_wire::convert::forwarded::Datagram;
use prometheus::Registry;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::support::HANG_GUARD;

mod departures;
mod disks;
mod explain;
mod hosts;
mod metrics;
mod replacements;

use hosts::*;

/// Initial members that cannot contact each other before they write the first membership form one cluster. A
/// document with a lower or equal version does not replace the committed one.
#[tokio::test]
async fn highest_document_version_stays_committed() {
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let (_, hosts) = bootstrap_cluster(1, ports, &data).await;
    let hosts: Vec<_> = hosts.iter().collect();
    let versions = [
        put_document(&hosts, 7).await,
        put_document(&hosts, 9).await,
        put_document(&hosts, 9).await,
        put_document(&hosts, 8).await,
    ];
    assert_eq!(versions, [7, 9, 9, 9]);
    assert_eq!(read_document(&hosts).await, config_document(9));
}

/// A host with an empty disk replaces a lost host while its list of seeds changes continuously. After that,
/// the cluster tolerates the loss of another initial member.
#[tokio::test]
async fn host_with_empty_disk_replaces_a_lost_one() {
    let (ports, data, more) = (free_ports(), temp_dirs::<3>(), temp_dirs::<1>());
    let (mut seeds, mut hosts) = bootstrap_cluster(2, ports, &data).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(0).kill().await;
    seeds[0] = loopback_ip(2, 4);
    let joining = start_control_host(seeds[0], ports, &seeds, more[0].path(), false).await;
    let changes = async {
        loop {
            joining.running.seeds.send_replace(addresses(&seeds));
            sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = changes => {}
        () = wait_until_voter(&joining, 3) => {}
    }
    hosts.remove(0).kill().await;
    let hosts = [&joining, &hosts[0]];
    assert_eq!(put_document(&hosts, 4).await, 4);
    assert_eq!(read_document(&hosts).await, config_document(4));
}

/// A host that lost its disk restarts at the same address and joins the cluster again.
#[tokio::test]
async fn wiped_host_rejoins_with_a_new_identity() {
    let (ports, data, more) = (free_ports(), temp_dirs::<3>(), temp_dirs::<1>());
    let (seeds, mut hosts) = bootstrap_cluster(3, ports, &data).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(2).kill().await;
    let wiped = start_control_host(seeds[2], ports, &seeds, more[0].path(), false).await;
    wait_until_voter(&wiped, 3).await;
    hosts.remove(0).kill().await;
    let hosts = [&wiped, &hosts[0]];
    assert_eq!(read_document(&hosts).await, config_document(3));
    assert_eq!(put_document(&hosts, 5).await, 5);
}

/// Guards against a control host that was replaced while it did not respond, and then stayed outside the cluster
/// for good, alive and with its disk.
#[tokio::test]
async fn a_replaced_host_that_returns_takes_the_place_of_a_lost_one() {
    let (ports, data, more) = (free_ports(), temp_dirs::<3>(), temp_dirs::<1>());
    let (seeds, mut hosts) = bootstrap_cluster(9, ports, &data).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(2).kill().await;
    let successor =
        start_control_host(loopback_ip(9, 4), ports, &seeds, more[0].path(), false).await;
    wait_until_voter(&successor, 3).await;
    let returned = start_control_host(seeds[2], ports, &seeds, data[2].path(), false).await;
    hosts.remove(1).kill().await;
    let expected = [seeds[0], seeds[2], loopback_ip(9, 4)];
    wait_until_voters_are(&successor, &expected).await;
    hosts.remove(0).kill().await;
    let hosts = [&successor, &returned];
    assert_eq!(put_document(&hosts, 4).await, 4);
}

/// Guards against a successor that waits for each silent seed in turn: all seeds take connections and never answer,
/// as hosts without power do, and each gets a request before the first one is given up.
#[tokio::test]
async fn a_joining_host_asks_all_seeds_at_once() {
    let (ports, data) = (free_ports(), temp_dirs::<1>());
    let seeds: Vec<_> = (1..=3).map(|host| loopback_ip(10, host)).collect();
    let mut events = silent_hosts(&seeds, ports).await;
    let joining = loopback_ip(10, 4);
    let _joining = start_control_host(joining, ports, &seeds, data[0].path(), false).await;
    for _ in &seeds {
        let event = timeout(HANG_GUARD, events.recv()).await.unwrap();
        assert_eq!(event, Some(SilentHostEvent::Connected));
    }
}

/// The only other seed of a wiped host is not the leader, but its answer lists the members, one of which is
/// the leader.
#[tokio::test]
async fn joining_host_finds_a_leader_that_is_not_a_seed() {
    let (ports, data, more) = (free_ports(), temp_dirs::<3>(), temp_dirs::<1>());
    let (seeds, mut hosts) = bootstrap_cluster(7, ports, &data).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 3).await;
    let leader = leader_index(&hosts).await;
    let (wiped, follower) = ((leader + 1) % 3, (leader + 2) % 3);
    hosts.remove(wiped).kill().await;
    let known = [seeds[wiped], seeds[follower]];
    let joining = start_control_host(seeds[wiped], ports, &known, more[0].path(), false).await;
    wait_until_voter(&joining, 3).await;
}

/// A node that holds the list of nodes is not sent it again until it changes. Its heartbeats come from a plain
/// socket here.
#[tokio::test]
async fn a_control_host_sends_its_list_of_nodes_only_if_it_has_changed() {
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let (seeds, _hosts) = bootstrap_cluster(8, ports, &data).await;
    let first = HeartbeatSocket::bind(loopback_ip(8, 10), ports).await;
    let second = HeartbeatSocket::bind(loopback_ip(8, 11), ports).await;
    let heard = |answer: &Datagram| answer.nodes.iter().map(|n| n.ip).collect::<Vec<_>>();

    let whole = first.exchange(seeds[0], None).await;
    assert!(heard(&whole).contains(&loopback_ip(8, 10)), "{whole:?}");
    let held = whole.node_list_hash;
    let same = first.exchange(seeds[0], held).await;
    assert_eq!((heard(&same), same.node_list_hash), (Vec::new(), held));

    second.exchange(seeds[0], None).await;
    let changed = first.exchange(seeds[0], held).await;
    assert!(heard(&changed).contains(&loopback_ip(8, 11)), "{changed:?}");
    assert_ne!(changed.node_list_hash, held);
}

/// All control hosts are killed and restarted with their disks.
#[tokio::test]
async fn accepted_document_survives_a_restart_of_all_hosts() {
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let (seeds, hosts) = bootstrap_cluster(4, ports, &data).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 12).await;
    for host in hosts {
        host.kill().await;
    }
    let mut restarted = Vec::new();
    for (ip, data) in seeds.iter().zip(&data) {
        restarted.push(start_control_host(*ip, ports, &seeds, data.path(), true).await);
    }
    assert_eq!(
        read_document(&restarted.iter().collect::<Vec<_>>()).await,
        config_document(12)
    );
}

/// A request passes through the balancer and the agent to the server and its response back to the caller,
/// with the configuration fetched from the control hosts.
#[tokio::test]
async fn flow_is_served_through_all_roles() {
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let (seeds, hosts) = bootstrap_cluster(5, ports, &data).await;
    put_document(&hosts.iter().collect::<Vec<_>>(), 2).await;
    let (server, _, agent) = start_agent(5, 10, ports, &seeds).await;
    let reports = keep_reporting(server);
    let balancer_ip = loopback_ip(5, 20);
    let (_, balancer) = start_balancer(&cx(balancer_ip), balancer_ip, ports, &seeds).await;

    let caller_ip = loopback_ip(5, 30);
    let caller = UdpSocket::bind((caller_ip, ports.packets)).await.unwrap();
    let end = SocketAddrV4::new(caller_ip, 40_001);
    open_flow(&caller, end, balancer_ip, ports).await;
    let request = encode_packet(64, end, 101, 5001, b"order");
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

/// One packet more than a batch: all packets arrive unchanged and in order, and each side needs two system
/// calls.
#[tokio::test]
async fn packets_are_sent_and_received_in_batches() {
    let ports = free_ports();
    let [from, to] = [1, 2].map(|host| SocketAddrV4::new(loopback_ip(6, host), ports.packets));
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
    let (mut inbox, mut received_packets) = (Inbox::default(), Vec::new());
    while received_packets.len() < sent.len() {
        timeout(HANG_GUARD, socket.readable())
            .await
            .unwrap()
            .unwrap();
        socket.receive(&mut inbox);
        for (ip, packet) in inbox.packets() {
            assert_eq!(ip, *from.ip());
            received_packets.push(packet.to_vec());
        }
    }
    assert_eq!(received_packets, sent);
    assert_eq!((calls[0].send.get(), calls[1].receive.get()), (2, 2));
}
