//! Compares the packet rate of a balancer with that of a plain UDP relay in the same run.
//!
//! Goal: the balancer forwards at least 0.8 of the relay's packets per second. Both are one tokio task
//! that receives from one socket and sends to another; the balancer also parses the packet, chooses a
//! server and writes the tunnel header. A sender keeps the socket full, and a sink counts the packets that
//! arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use dogwoodrill::balancer::health::FabricHealth;
use dogwoodrill::balancer::inbound::Forwarder;
use dogwoodrill::balancer::listeners::Listener;
use dogwoodrill::cluster::Cluster;
use dogwoodrill::context::Cx;
use dogwoodrill::packet_metrics::PacketMetrics;
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record, Role};
use dogwoodrill_core::flow::{ClusterKey, ConnectionId};
use dogwoodrill_core::ids::{Incarnation, ServiceId};
use dogwoodrill_core::routing::ServiceTable;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_wire::tunnel::AddressTag;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const KEY: ClusterKey = ClusterKey::new(*b"a key for tests.");
const SERVICE: ServiceId = ServiceId::new(1);
const PAYLOAD_BYTES: usize = 1_200;
const ROUND_TIME: Duration = Duration::from_millis(700);
const ROUNDS: usize = 9;
const INCARNATION: Incarnation = Incarnation::new(1_000);

async fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("a free port")
}

/// Returns the rate of packets, per second, that `forward` delivers to a sink. `forward` gets the socket to
/// receive from and the address to send to.
async fn measure<F, Fut>(packet: &[u8], forward: F) -> f64
where
    F: FnOnce(UdpSocket, SocketAddr) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let sink = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    sink.set_read_timeout(Some(Duration::from_millis(100)))
        .expect("a valid timeout");
    let inbound = socket().await;
    let to = inbound.local_addr().expect("a bound socket");
    let task = tokio::spawn(forward(inbound, sink.local_addr().expect("a bound socket")));
    let stop = CancellationToken::new();
    let (packet, stopped) = (packet.to_vec(), stop.clone());
    let sender = std::thread::spawn(move || {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
        while !stopped.is_cancelled() {
            // A packet that does not fit the buffer is dropped; the loop sends more.
            drop(socket.send_to(&packet, to));
        }
    });
    let count = tokio::task::spawn_blocking(move || {
        let mut buf = [0; 2_048];
        let begin = Instant::now();
        let mut count = 0_u32;
        while begin.elapsed() < ROUND_TIME {
            count += u32::from(sink.recv(&mut buf).is_ok());
        }
        f64::from(count) / begin.elapsed().as_secs_f64()
    });
    let rate = count.await.expect("the sink does not panic");
    stop.cancel();
    sender.join().expect("the sender does not panic");
    task.abort();
    rate
}

async fn relay(inbound: UdpSocket, to: SocketAddr) {
    let outbound = socket().await;
    let mut buf = vec![0; 65_535];
    loop {
        if let Ok((len, _)) = inbound.recv_from(&mut buf).await {
            drop(outbound.send_to(&buf[..len], to).await);
        }
    }
}

async fn balancer(inbound: UdpSocket, to: SocketAddr) {
    let mut directory = Directory::default();
    for id in 0..5_u32 {
        directory.merge(Record {
            member: MemberId::BackendServer(id.into()),
            zone: "pando".parse().expect("a name"),
            incarnation: INCARNATION,
            sequence: 1.into(),
            state: MemberState::Serving,
            tunnel: to,
            peer: to,
            eligible_at: UnixMillis::default(),
            role: Role::BackendServer {
                service: SERVICE,
                slots: 2,
                ramp_until: UnixMillis::default(),
            },
        });
    }
    let table = ServiceTable::build(&directory, &CommittedConfig::default(), SERVICE);
    let cx = Cx::new(1.into(), "pando".parse().expect("a name"), KEY);
    let address = inbound.local_addr().expect("a bound socket");
    let (_health, health) = watch::channel(FabricHealth::Serving);
    let forwarder = Forwarder {
        metrics: PacketMetrics::register(&cx.metrics, "balancer"),
        cx,
        cluster: Arc::new(Cluster::default()),
        tunnel: Arc::new(socket().await),
        health,
        listener: Arc::new(Listener {
            service: SERVICE,
            address,
            tag: AddressTag::of(&KEY, address),
            socket: Arc::new(inbound),
            table: ArcSwap::from_pointee(table),
        }),
    };
    forwarder.run(CancellationToken::new()).await;
}

fn packets() -> [(&'static str, Vec<u8>); 2] {
    let id = ConnectionId {
        server: 3.into(),
        incarnation: INCARNATION.short(),
        nonce: [1, 2, 3, 4],
    };
    let mut pinned = vec![0; PAYLOAD_BYTES];
    pinned[0] = 0x40;
    pinned[1..17].copy_from_slice(&id.encode(&KEY, SERVICE));
    let mut opening = vec![0; PAYLOAD_BYTES];
    opening[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
    [("pinned", pinned), ("opening", opening)]
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    // The test harness passes these flags to list or run tests; this bench has none.
    if std::env::args().any(|a| a == "--test" || a == "--list") {
        return;
    }
    println!(
        "{PAYLOAD_BYTES}-byte datagrams, median of {ROUNDS} rounds of {ROUND_TIME:?} each, in turn"
    );
    for (name, packet) in packets() {
        let (mut bare, mut ours) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            bare.push(measure(&packet, relay).await);
            ours.push(measure(&packet, balancer).await);
        }
        let (bare, ours) = (median(bare), median(ours));
        let share = ours / bare;
        println!("{name}: relay {bare:.0}/s, balancer {ours:.0}/s, share {share:.2}");
    }
}
