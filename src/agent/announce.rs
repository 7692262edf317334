//! The local HTTP interface where the backend server announces itself.
//!
//! `POST /v1/announce` takes a JSON object, see [`RawAnnouncement`]; the server repeats it whenever
//! something in it changes, and with a new boot id after a restart. `POST /v1/drain` says that it is
//! leaving. Answers are 204, or 400 with a line that names what is wrong.

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
/// Most requests that a backend server may say it runs at once.
const MAX_SLOTS: u16 = 10_000;

/// Names one life of the backend server; any text that differs from the last one means a restart.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct BootId(Arc<str>);

/// An announcement as the backend server sends it.
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

/// What a backend server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The server's number.
    pub server: BackendServerId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes requests over HTTP/1.1.
    pub address: SocketAddr,
    /// Requests that it says it can run at once.
    pub slots: u16,
    /// This life of the server.
    pub boot_id: BootId,
    /// Whether it is leaving.
    pub draining: bool,
    /// Path of its health endpoint, if it has one.
    pub health: Option<Arc<str>>,
    /// Path of its load endpoint, if it has one.
    pub load: Option<Arc<str>>,
}

/// Why an announcement was refused.
#[derive(Debug, Snafu)]
pub enum AnnounceError {
    /// The body could not be read or is too large.
    #[snafu(display("cannot read a body of at most {MAX_ANNOUNCEMENT_BYTES} bytes"))]
    Body {
        /// What the transport said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The body is not the JSON that is expected.
    #[snafu(display("the announcement is malformed: {source}"))]
    Json {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// `service` is not a name.
    #[snafu(display("field service: {source}"))]
    Service {
        /// What is wrong with it.
        source: NameError,
    },
    /// `address` is not an IP address with a port.
    #[snafu(display("field address: {text:?} is not an IP address with a port"))]
    Address {
        /// The text as received.
        text: String,
        /// What the parser said.
        source: std::net::AddrParseError,
    },
    /// `slots` is outside its range.
    #[snafu(display("field slots: {slots} is not between 1 and {MAX_SLOTS}"))]
    Slots {
        /// The number as received.
        slots: u16,
    },
    /// `health` or `load` is not a path.
    #[snafu(display("field {field}: {path:?} is not a path that begins with a slash"))]
    Endpoint {
        /// The field.
        field: &'static str,
        /// The text as received.
        path: String,
    },
    /// A drain came before any announcement.
    #[snafu(display("nothing was announced yet; announce the server first"))]
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

/// Serves the interface.
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
        log::debug!("an announce connection failed: {e}");
    }
}

async fn handle_request(
    req: Request<Incoming>,
    announcements: &AnnouncementSender,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let outcome = match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/announce") => handle_announcement(req, announcements).await,
        (&Method::POST, "/v1/drain") => handle_drain(announcements),
        _ => {
            return Ok(plain_text(
                StatusCode::NOT_FOUND,
                "no such resource\n".into(),
            ));
        }
    };
    Ok(match outcome {
        Ok(()) => plain_text(StatusCode::NO_CONTENT, Bytes::new()),
        Err(e) => plain_text(StatusCode::BAD_REQUEST, format!("{e}\n").into()),
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

fn plain_text(status: StatusCode, text: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text));
    *response.status_mut() = status;
    response
}
