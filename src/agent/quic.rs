//! Terminates the flows of callers: a QUIC endpoint over the tunnel.

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
use super::connection_ids::PinnedIdGenerator;
use super::tunnel::{MAX_PAYLOAD_BYTES, TunnelSocket};
use super::{Agent, exchange, flow, steering};
use crate::cluster::Cluster;

/// Timeout for closing the connections of an endpoint that is replaced.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// `H3_NO_ERROR` (RFC 9114, section 8.1).
const H3_NO_ERROR: VarInt = VarInt::from_u32(0x100);
/// Purpose label for deriving the key of stateless resets.
const RESET_PURPOSE: &[u8] = b"stateless reset";
/// Minimum interval between two stateless resets of one agent. A reset is smaller than the packet that caused
/// it; the interval bounds the cost of a flood of packets for servers that no longer exist.
const MIN_RESET_INTERVAL: Duration = Duration::from_millis(1);
/// Idle timeout of a flow, in milliseconds.
const IDLE_TIMEOUT: VarInt = VarInt::from_u32(60_000);
/// Interval of keep-alive packets on an idle flow, which keep it open and show the caller that the agent is
/// alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Maximum number of concurrent requests on one flow.
const MAX_REQUESTS_PER_FLOW: VarInt = VarInt::from_u32(128);
const ALPN_H3: &[u8] = b"h3";

/// The certificate chain of a service and its private key.
#[derive(Debug)]
pub struct ServiceIdentity {
    /// Certificate chain, the service's own certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate.
    pub key: PrivateKeyDer<'static>,
}

impl ServiceIdentity {
    /// Returns whether `other` has a different certificate chain and a key that matches it.
    pub fn is_renewed_by(&self, other: &Self) -> bool {
        self.chain != other.chain && server_config(other).is_ok()
    }
}

/// Error returned when the QUIC endpoint cannot start.
#[derive(Debug, Snafu)]
pub enum QuicError {
    /// The certificate or its key was rejected.
    #[snafu(display("cannot use the service certificate; check that the key belongs to it"))]
    Identity {
        /// Error of the TLS library.
        source: rustls::Error,
    },
    /// The TLS configuration has no cipher suite for QUIC.
    #[snafu(display("cannot use the TLS configuration for QUIC"))]
    Cipher {
        /// Error of the QUIC library.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The endpoint could not be created.
    #[snafu(display("cannot start the QUIC endpoint"))]
    Endpoint {
        /// Error returned by the operating system.
        source: std::io::Error,
    },
}

/// Waits for an announcement, then serves flows until `token` is cancelled. If another server id or another
/// service is announced later, the endpoint is replaced.
pub async fn run(agent: &Agent, token: CancellationToken) -> Result<(), QuicError> {
    let mut announcements = agent.announcements.subscribe();
    while let Some(owner) = wait_for_service(&agent.cluster, &mut announcements).await {
        let own = Peer {
            server: owner.server,
            tunnel: agent.advertised_tunnel_address().context(EndpointSnafu)?,
        };
        let endpoint = endpoint(agent, &owner)?;
        tokio::select! {
            () = serve(agent, &endpoint, owner.service, &token) => return Ok(()),
            () = wait_for_replacement(&mut announcements, &owner) => {}
            never = steering::keep_updated(agent, own, owner.service) => match never {},
        }
        endpoint.close(H3_NO_ERROR, b"the backend server was replaced");
        // Two endpoints on one socket would receive each other's packets.
        drop(timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await);
    }
    Ok(())
}

async fn serve(agent: &Agent, endpoint: &Endpoint, service: ServiceId, token: &CancellationToken) {
    let shutdown = async {
        tokio::select! {
            () = token.cancelled() => {}
            () = agent.shutdown.cancelled() => {}
        }
    };
    let accept = async {
        while let Some(incoming) = endpoint.accept().await {
            let context = agent.request_context();
            let slo = agent.slo(service);
            let request_slo = slo.clone();
            let handle = move |resolver| {
                exchange::serve_request(resolver, Arc::clone(&context), request_slo.clone())
            };
            let (flows, draining) = (agent.flows.clone(), agent.draining.subscribe());
            tokio::spawn(flow::serve(incoming, flows, draining, slo, handle));
        }
    };
    tokio::select! {
        () = shutdown => endpoint.close(H3_NO_ERROR, b"the agent has ended"),
        () = accept => {}
        () = apply_renewed_identity(agent, endpoint) => {}
    }
}

/// Uses each renewed certificate for new flows. If a renewed certificate is invalid, the previous one stays
/// in use.
async fn apply_renewed_identity(agent: &Agent, endpoint: &Endpoint) {
    let mut identity = agent.identity.subscribe();
    // The agent owns the sender, so the channel cannot be closed.
    while identity.changed().await.is_ok() {
        let renewed = server_config(&identity.borrow_and_update());
        match renewed {
            Ok(config) => endpoint.set_server_config(Some(config)),
            Err(e) => log::warn!("renewed service certificate rejected: {e}"),
        }
    }
}

/// The server and service that an endpoint serves.
#[derive(Clone, Debug, Eq, PartialEq)]
struct EndpointOwner {
    server: BackendServerId,
    service: ServiceId,
    name: ServiceName,
}

type AnnouncementReceiver = watch::Receiver<Option<Announcement>>;

/// Waits until another server id or another service is announced.
async fn wait_for_replacement(announcements: &mut AnnouncementReceiver, owner: &EndpointOwner) {
    let other = |a: &Announcement| a.server != owner.server || a.service != owner.name;
    // The agent owns the sender, so the channel cannot be closed.
    drop(
        announcements
            .wait_for(|a| a.as_ref().is_some_and(other))
            .await,
    );
}

async fn wait_for_service(
    cluster: &Cluster,
    announcements: &mut AnnouncementReceiver,
) -> Option<EndpointOwner> {
    let announcement = announcements
        .wait_for(Option::is_some)
        .await
        .ok()?
        .clone()?;
    let mut config = cluster.config_changes();
    let config = config
        .wait_for(|c| c.service_named(&announcement.service).is_some())
        .await
        .ok()?;
    let service = config.service_named(&announcement.service)?.id;
    Some(EndpointOwner {
        server: announcement.server,
        service,
        name: announcement.service,
    })
}

fn endpoint(agent: &Agent, owner: &EndpointOwner) -> Result<Endpoint, QuicError> {
    let key = agent.cx.key.clone();
    let (service, server) = (owner.service, owner.server);
    let incarnation = agent.cx.incarnation.short();
    let mut config = EndpointConfig::new(reset_key(&key, service));
    config
        .max_udp_payload_size(MAX_PAYLOAD_BYTES)
        .expect("the size is above the minimum of 1200");
    config.min_reset_interval(MIN_RESET_INTERVAL);
    config.cid_generator(move || {
        Box::new(PinnedIdGenerator {
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

/// Derives the key of stateless reset tokens (RFC 9000, section 10.3). All agents of a service share it, so
/// that an agent can reset a flow of another agent that no longer exists.
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
    // Early data can be replayed, which could run a request twice.
    tls.max_early_data_size = 0;
    let tls = QuicServerConfig::try_from(tls).context(CipherSnafu)?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(Arc::new(transport_config()));
    // The address of a caller behind NAT can change while a request is open. The connection id still pins
    // its packets to this agent.
    config.migration(true);
    Ok(config)
}

fn transport_config() -> TransportConfig {
    let mut transport_config = TransportConfig::default();
    transport_config
        .mtu_discovery_config(None)
        .max_idle_timeout(Some(IdleTimeout::from(IDLE_TIMEOUT)))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(MAX_REQUESTS_PER_FLOW);
    transport_config
}
