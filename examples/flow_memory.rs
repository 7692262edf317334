//! Prints the memory that an open, idle flow takes on an agent, for three numbers of flows.
//!
//! ```text
//! cargo run --release --example flow_memory
//! ```
//!
//! Caller and agent run in one process, so the figure includes both ends of the flow and is an upper bound
//! for the agent. Each size starts a new fleet; memory that all flows share is allocated before counting.

#[path = "../tests/testsuite/fleet.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod fleet;
#[path = "../tests/testsuite/support.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod support;

use std::error::Error;
use std::sync::Arc;
use std::time::Instant;

use fleet::Fleet;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Connection, Endpoint};

const SIZES: [u32; 3] = [500, 1_000, 2_000];
const PAGE_BYTES: u64 = 4_096;
/// Flows opened before the first count, so that pools and stacks are allocated.
const WARM_UP: u32 = 50;
/// Flows that are opened concurrently.
const CONCURRENT_OPENINGS: usize = 20;

type Failure = Box<dyn Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    println!("flows  bytes each, both ends  flows opened per second");
    for flows in SIZES {
        // One balancer only: without a fabric, replies through another one would come from another address.
        let fleet = Fleet::start(&["las-piedras"], &["las-piedras"]).await;
        let endpoint = client(&fleet)?;
        let warm = open(&fleet, &endpoint, WARM_UP).await?;
        let (before, begin) = (resident()?, Instant::now());
        let open = open(&fleet, &endpoint, flows).await?;
        let rate = f64::from(flows) / begin.elapsed().as_secs_f64();
        let each = resident()?.saturating_sub(before) / u64::from(flows);
        println!("{flows:>5} {each:>22} {rate:>24.0}");
        drop((warm, open));
    }
    Ok(())
}

async fn open(fleet: &Fleet, endpoint: &Endpoint, flows: u32) -> Result<Vec<Connection>, Failure> {
    let mut open = Vec::new();
    let mut balancers = fleet.balancers.iter().cycle();
    while open.len() < flows as usize {
        let mut connecting = Vec::new();
        for balancer in balancers.by_ref().take(CONCURRENT_OPENINGS) {
            let to = balancer.bound().ok_or("the balancer has no address")?;
            connecting.push(endpoint.connect(to, "service.test")?);
        }
        for connecting in connecting {
            open.push(connecting.await?);
        }
    }
    Ok(open)
}

fn client(fleet: &Fleet) -> Result<Endpoint, Failure> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(fleet.certificate.der.clone())?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    let mut endpoint = Endpoint::client("127.0.0.1:0".parse()?)?;
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}

/// Returns the resident memory of this process in bytes.
fn resident() -> Result<u64, Failure> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split(' ').nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * PAGE_BYTES)
}
