//! Local HTTP interface on which the backend server announces itself.
//!
//! `POST /v1/announce` accepts a JSON object, see [`RawAnnouncement`]. The server sends it again whenever
//! a field changes, and with a new boot id after a restart. `POST /v1/drain` starts draining the server.
//! The response is 204, or 400 with one line that describes the error.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use dogwoodrill_core::ids::{BackendServerId, NameError, ServiceName};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Upper bound for `slots`, the number of requests that a backend server runs concurrently.
const MAX_SLOTS: u16 = 10_000;

/// Identifies one incarnation of the backend server. A value that differs from the previous one means that
/// the server has restarted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct BootId(Arc<str>);

/// An announcement as received from the backend server, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAnnouncement {
    id: u32,
    service: String,
    address: String,
    slots: u16,
    boot_id: String,
    #[serde(default)]
    health: Option<String>,
    #[serde(default)]
    load: Option<String>,
}

/// A validated announcement of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Id of the server.
    pub server: BackendServerId,
    /// Name of the service that it serves.
    pub service: ServiceName,
    /// Address on which it accepts requests over HTTP/1.1.
    pub address: SocketAddr,
    /// Number of requests that it can run concurrently.
    pub slots: u16,
    /// Incarnation of the server.
    pub boot_id: BootId,
    /// Whether the server is draining and accepts no new work.
    pub draining: bool,
    /// Path of the health endpoint, if the server has one.
    pub health: Option<Arc<str>>,
    /// Path of the load endpoint, if the server has one.
    pub load: Option<Arc<str>>,
}

/// Error returned for a rejected announcement.
#[derive(Debug, Snafu)]
pub enum AnnounceError {
    /// The body could not be read or is too large.
    #[snafu(display(
        "cannot read the request body; it may have at most {MAX_ANNOUNCEMENT_BYTES} bytes"
    ))]
    Body {
        /// Error of the HTTP transport.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The body is not a JSON object with the expected fields.
    #[snafu(display("the announcement is malformed: {source}"))]
    Json {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// `service` is not a valid service name.
    #[snafu(display("field service: {source}"))]
    Service {
        /// The rule that the name breaks.
        source: NameError,
    },
    /// `address` is not an IP address with a port.
    #[snafu(display("field address: {text:?} is not an IP address with a port"))]
    Address {
        /// Value as received.
        text: String,
        /// Error of the address parser.
        source: std::net::AddrParseError,
    },
    /// `slots` is out of range.
    #[snafu(display("field slots: {slots} is not between 1 and {MAX_SLOTS}"))]
    Slots {
        /// Value as received.
        slots: u16,
    },
    /// `health` or `load` is not an absolute path.
    #[snafu(display("field {field}: {path:?} is not a path that begins with a slash"))]
    Endpoint {
        /// Name of the field.
        field: &'static str,
        /// Value as received.
        path: String,
    },
    /// A drain request was received before any announcement.
    #[snafu(display("no backend server has been announced yet; send POST /v1/announce first"))]
    NotAnnounced,
}

impl TryFrom<RawAnnouncement> for Announcement {
    type Error = AnnounceError;

    fn try_from(raw: RawAnnouncement) -> Result<Self, Self::Error> {
        let RawAnnouncement {
            id,
            service,
            address: text,
            slots,
            boot_id,
            health,
            load,
        } = raw;
        ensure!((1..=MAX_SLOTS).contains(&slots), SlotsSnafu { slots });
        Ok(Self {
            server: id.into(),
            service: service.parse().context(ServiceSnafu)?,
            address: text.parse().context(AddressSnafu { text })?,
            slots,
            boot_id: BootId(boot_id.into()),
            draining: false,
            health: parse_endpoint("health", health)?,
            load: parse_endpoint("load", load)?,
        })
    }
}

fn parse_endpoint(
    field: &'static str,
    path: Option<String>,
) -> Result<Option<Arc<str>>, AnnounceError> {
    let Some(path) = path else { return Ok(None) };
    let is_path = path.starts_with('/') && path.parse::<http::uri::PathAndQuery>().is_ok();
    ensure!(is_path, EndpointSnafu { field, path });
    Ok(Some(path.into()))
}

type AnnouncementSender = watch::Sender<Option<Announcement>>;

/// Accepts connections on `listener` and publishes each valid announcement to `announcements`. Returns when
/// `accept` fails.
pub async fn run(
    listener: &TcpListener,
    announcements: &AnnouncementSender,
) -> std::io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(serve(stream, announcements.clone()));
    }
}

async fn serve(stream: TcpStream, announcements: AnnouncementSender) {
    let service = service_fn(|req| handle_request(req, &announcements));
    let io = TokioIo::new(stream);
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(io, service)
        .await;
    if let Err(e) = served {
        log::debug!("connection to the announce interface failed: {e}");
    }
}

async fn handle_request(
    req: Request<Incoming>,
    announcements: &AnnouncementSender,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let outcome = match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/announce") => handle_announcement(req, announcements).await,
        (&Method::POST, "/v1/drain") => handle_drain(announcements),
        _ => return Ok(plain(StatusCode::NOT_FOUND, "no such resource\n".into())),
    };
    Ok(match outcome {
        Ok(()) => plain(StatusCode::NO_CONTENT, Bytes::new()),
        Err(e) => plain(StatusCode::BAD_REQUEST, format!("{e}\n").into()),
    })
}

async fn handle_announcement(
    req: Request<Incoming>,
    announcements: &AnnouncementSender,
) -> Result<(), AnnounceError> {
    let body = Limited::new(req.into_body(), MAX_ANNOUNCEMENT_BYTES);
    let body = body.collect().await.context(BodySnafu)?.to_bytes();
    let raw: RawAnnouncement = serde_json::from_slice(&body).context(JsonSnafu)?;
    announcements.send_replace(Some(raw.try_into()?));
    Ok(())
}

fn handle_drain(announcements: &AnnouncementSender) -> Result<(), AnnounceError> {
    let mut announcement = announcements.borrow().clone().context(NotAnnouncedSnafu)?;
    announcement.draining = true;
    announcements.send_replace(Some(announcement));
    Ok(())
}

fn plain(status: StatusCode, text: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text));
    *response.status_mut() = status;
    response
}
