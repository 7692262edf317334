//! Ends the flows of callers: one QUIC endpoint over the tunnel.

use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::flow_table::Peer;
use dogwoodrill_core::ids::{BackendServerId, ServiceId, ServiceName};
use quinn::crypto::HmacKey;
use quinn::crypto::rustls::QuicServerConfig;
use quinn::{
    Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime, TransportConfig, VarInt,
};
use ring::hmac;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::announce::Announcement;
use super::connection_ids::PinnedIds;
use super::tunnel::{MAX_PAYLOAD_BYTES, TunnelSocket};
use super::{Agent, exchange, flow, steering};
use crate::cluster::Cluster;

/// Time in which an endpoint that is replaced tells its callers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// `H3_NO_ERROR` (RFC 9114, section 8.1).
const H3_NO_ERROR: VarInt = VarInt::from_u32(0x100);
/// Names the use of the derived key.
const RESET_PURPOSE: &[u8] = b"stateless reset";
/// Least time between two stateless resets of one agent. A reset is smaller than what caused it; the
/// limit bounds what a flood of packets for servers long gone can cost.
const MIN_RESET_INTERVAL: Duration = Duration::from_millis(1);
/// A flow that was silent for so long has ended.
const IDLE_TIMEOUT: VarInt = VarInt::from_u32(60_000);
/// Keeps a silent flow open, and tells the caller's side that we are there.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// Requests that one flow may have open.
const MAX_STREAMS: VarInt = VarInt::from_u32(128);
const ALPN_H3: &[u8] = b"h3";

/// The certificate chain of a service and its private key.
#[derive(Debug)]
pub struct ServiceIdentity {
    /// Certificates, the service's own first.
    pub chain: Vec<CertificateDer<'static>>,
    /// The key of the first certificate.
    pub key: PrivateKeyDer<'static>,
}

impl ServiceIdentity {
    /// Whether `other` is another certificate whose key belongs to it.
    pub fn is_renewed_by(&self, other: &Self) -> bool {
        self.chain != other.chain && server_config(other).is_ok()
    }
}

/// Why the endpoint did not start.
#[derive(Debug, Snafu)]
pub enum QuicError {
    /// The certificate or its key was refused.
    #[snafu(display("cannot use the service certificate; check that the key belongs to it"))]
    Identity {
        /// What the TLS library said.
        source: rustls::Error,
    },
    /// The TLS library lacks what QUIC needs.
    #[snafu(display("the service certificate cannot serve QUIC"))]
    Cipher {
        /// What the QUIC library said.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The endpoint could not be made.
    #[snafu(display("cannot start the QUIC endpoint"))]
    Endpoint {
        /// What the host said.
        source: std::io::Error,
    },
}

/// Waits for the announcement, then serves flows until `token` is cancelled. A server that announces
/// itself anew as another one, or for another service, gets a new endpoint.
pub async fn run(agent: &Agent, token: CancellationToken) -> Result<(), QuicError> {
    let mut announced = agent.announced.subscribe();
    while let Some(owned) = wait_for_service(&agent.cluster, &mut announced).await {
        let own = Peer {
            server: owned.server,
            tunnel: agent.public_tunnel().context(EndpointSnafu)?,
        };
        let endpoint = endpoint(agent, &owned)?;
        tokio::select! {
            () = serve(agent, &endpoint, owned.service, &token) => return Ok(()),
            () = replaced(&mut announced, &owned) => {}
            never = steering::keep(agent, own, owned.service) => match never {},
        }
        endpoint.close(H3_NO_ERROR, b"the backend server was replaced");
        // Two endpoints on one socket would take each other's packets.
        drop(timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await);
    }
    Ok(())
}

async fn serve(agent: &Agent, endpoint: &Endpoint, service: ServiceId, token: &CancellationToken) {
    let ends = async {
        tokio::select! {
            () = token.cancelled() => {}
            () = agent.ending.cancelled() => {}
        }
    };
    let accept = async {
        while let Some(incoming) = endpoint.accept().await {
            let path = agent.request_context();
            let slo = agent.slo(service);
            let counted = slo.clone();
            let handle = move |resolver| {
                exchange::serve_request(resolver, Arc::clone(&path), counted.clone())
            };
            let (flows, draining) = (agent.flows.clone(), agent.draining.subscribe());
            tokio::spawn(flow::serve(incoming, flows, draining, slo, handle));
        }
    };
    tokio::select! {
        () = ends => endpoint.close(H3_NO_ERROR, b"the agent has ended"),
        () = accept => {}
        () = renew(agent, endpoint) => {}
    }
}

/// Takes each renewed certificate into use for new flows; one that cannot serve leaves the one before.
async fn renew(agent: &Agent, endpoint: &Endpoint) {
    let mut identity = agent.identity.subscribe();
    // The sender is in the agent, so the channel cannot be closed.
    while identity.changed().await.is_ok() {
        let renewed = server_config(&identity.borrow_and_update());
        match renewed {
            Ok(config) => endpoint.set_server_config(Some(config)),
            Err(e) => log::warn!("a renewed service certificate was refused: {e}"),
        }
    }
}

/// The server and service that an endpoint is for.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Owned {
    server: BackendServerId,
    service: ServiceId,
    name: ServiceName,
}

type Announced = watch::Receiver<Option<Announcement>>;

/// Returns when another server, or one of another service, was announced.
async fn replaced(announced: &mut Announced, owned: &Owned) {
    let other = |a: &Announcement| a.server != owned.server || a.service != owned.name;
    // The sender is in the agent, so the channel cannot be closed.
    drop(announced.wait_for(|a| a.as_ref().is_some_and(other)).await);
}

async fn wait_for_service(cluster: &Cluster, announced: &mut Announced) -> Option<Owned> {
    let known = announced.wait_for(Option::is_some).await.ok()?.clone()?;
    let mut config = cluster.config_changes();
    let config = config
        .wait_for(|c| c.service_named(&known.service).is_some())
        .await
        .ok()?;
    let service = config.service_named(&known.service)?.id;
    Some(Owned {
        server: known.server,
        service,
        name: known.service,
    })
}

fn endpoint(agent: &Agent, owned: &Owned) -> Result<Endpoint, QuicError> {
    let key = agent.cx.key.clone();
    let (service, server) = (owned.service, owned.server);
    let incarnation = agent.cx.incarnation.short();
    let mut config = EndpointConfig::new(reset_key(&key, service));
    config
        .max_udp_payload_size(MAX_PAYLOAD_BYTES)
        .expect("the size is above the minimum of 1200");
    config.min_reset_interval(MIN_RESET_INTERVAL);
    config.cid_generator(move || {
        Box::new(PinnedIds {
            key: key.clone(),
            service,
            server,
            incarnation,
        })
    });
    let socket = TunnelSocket::new(agent, service, server);
    Endpoint::new_with_abstract_socket(
        config,
        Some(server_config(&agent.identity.borrow())?),
        Arc::new(socket),
        Arc::new(TokioRuntime),
    )
    .context(EndpointSnafu)
}

/// The key of stateless reset tokens (RFC 9000, section 10.3). All agents of a service have the same,
/// so that one can end a flow of another that is gone.
fn reset_key(key: &ClusterKey, service: ServiceId) -> Arc<dyn HmacKey> {
    let secret = key.derive(&[RESET_PURPOSE, &service.get().to_be_bytes()]);
    Arc::new(hmac::Key::new(hmac::HMAC_SHA256, &secret))
}

fn server_config(identity: &ServiceIdentity) -> Result<ServerConfig, QuicError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(IdentitySnafu)?
        .with_no_client_auth()
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .context(IdentitySnafu)?;
    tls.alpn_protocols = vec![ALPN_H3.to_vec()];
    // Early data can be replayed, which could run an order twice.
    tls.max_early_data_size = 0;
    let tls = QuicServerConfig::try_from(tls).context(CipherSnafu)?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(Arc::new(transport()));
    // A caller behind an address translator may get another address while a query is open. The
    // connection id still pins its packets here.
    config.migration(true);
    Ok(config)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .mtu_discovery_config(None)
        .max_idle_timeout(Some(IdleTimeout::from(IDLE_TIMEOUT)))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(MAX_STREAMS);
    transport
}
