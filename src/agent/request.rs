//! Requests and answers as the stack of services sees them, and the error they share.

use bytes::Bytes;
use dogwoodrill_core::claims::key::{Attempt, KeyError};
use dogwoodrill_core::verdict::{HasVerdict, Verdict};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use snafu::Snafu;
use tokio::time::Instant;

/// A body that arrives piece by piece.
pub type Body = UnsyncBoxBody<Bytes, RequestError>;
/// A request of a caller.
pub type Request = http::Request<Body>;
/// The answer of the backend server, or one of our own.
pub type Response = http::Response<Body>;

/// Why a request has no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RequestError {
    /// No backend server of a committed service has announced itself here.
    #[snafu(display("no backend server is announced here yet"))]
    NoServer {
        /// When it is worth coming back.
        retry_at: Instant,
    },
    /// The deadline passed, or would pass, before the request was sent to the backend server.
    #[snafu(display("the deadline passed before the request was sent"))]
    TooLate,
    /// The deadline passed while the backend server had the request.
    #[snafu(display("the deadline passed before the backend server answered"))]
    TimedOut,
    /// The queue is full.
    #[snafu(display("the service has as many requests as it can bear"))]
    Busy {
        /// When it is worth coming back.
        retry_at: Instant,
    },
    /// The backend server is leaving, and no peer could take the request.
    #[snafu(display("the backend server is leaving and takes no new requests"))]
    Leaving {
        /// When it is worth coming back.
        retry_at: Instant,
    },
    /// The backend server could not be reached; nothing was sent.
    #[snafu(display("cannot connect to the backend server"))]
    Connect {
        /// What the host said.
        source: std::io::Error,
    },
    /// The backend server failed with the request in hand.
    #[snafu(display("the backend server failed before its answer was whole"))]
    Backend {
        /// What the HTTP library said.
        source: hyper::Error,
    },
    /// The agent that the request was handed off to refused it or failed.
    #[snafu(display("handed off: {reason}"))]
    Peer {
        /// What it said, or what became of the connection.
        reason: String,
        /// Whether the request may have run.
        verdict: Verdict,
        /// When it is worth coming back.
        retry_at: Option<Instant>,
    },
    /// The caller went away.
    #[snafu(display("the caller ended the request"))]
    Caller {
        /// What the HTTP library said.
        source: h3::error::StreamError,
    },
    /// A header is malformed.
    #[snafu(display("{name}: {text:?} is not {expected}"))]
    Header {
        /// The header.
        name: &'static str,
        /// Its text.
        text: String,
        /// What it should be.
        expected: &'static str,
    },
    /// A request that must carry a key has none.
    #[snafu(display(
        "idempotency-key: {method} requests of this service must carry a UUID of version 7"
    ))]
    KeyRequired {
        /// The request's method.
        method: Method,
    },
    /// The key is malformed.
    #[snafu(display("{source}"))]
    Key {
        /// What is wrong with it.
        source: KeyError,
    },
    /// The key's time has not come.
    #[snafu(display("idempotency-key: its time is in the future; check the clock"))]
    KeyInFuture,
    /// The key is older than the retry window.
    #[snafu(display(
        "idempotency-key: its retry window is over; look up what became of the order"
    ))]
    KeyExpired,
    /// Another attempt is in progress.
    #[snafu(display("another attempt under this key is in progress; ask again with the same key"))]
    InProgress {
        /// When it is worth coming back.
        retry_at: Instant,
    },
    /// An earlier attempt was sent to a backend server, and nobody knows what became of it.
    #[snafu(display("an earlier attempt under this key may have run"))]
    OutcomeUnknown,
    /// An earlier attempt ran; its answer was too long to be kept.
    #[snafu(display(
        "this order ran, and was answered with status {status}; the answer was not kept"
    ))]
    NotKept {
        /// The status of the answer.
        status: u16,
    },
    /// Too few keepers of the key could be asked.
    #[snafu(display("the keepers of the key cannot be asked; ask again with the same key"))]
    NoMajority {
        /// When it is worth coming back.
        retry_at: Instant,
    },
    /// Neither this attempt nor an earlier one ran or will run.
    #[snafu(display("{cause}; the order has not run"))]
    Sealed {
        /// Why the attempt was given up.
        #[snafu(source(from(RequestError, Box::new)))]
        cause: Box<RequestError>,
        /// The lowest attempt that may be sent next.
        next: Attempt,
    },
    /// The attempt was given up, and it is not known whether the order ran.
    #[snafu(display("{cause}; the order may have run"))]
    NotSealed {
        /// Why the attempt was given up.
        #[snafu(source(from(RequestError, Box::new)))]
        cause: Box<RequestError>,
    },
}

impl HasVerdict for RequestError {
    fn verdict(&self) -> Verdict {
        match self {
            Self::NoServer { .. }
            | Self::TooLate
            | Self::Busy { .. }
            | Self::Leaving { .. }
            | Self::Connect { .. }
            | Self::Header { .. }
            | Self::KeyRequired { .. }
            | Self::Sealed { .. } => Verdict::NotRun,
            // Under a key that can be read, an earlier attempt may have run.
            Self::Key { source } => match source {
                KeyError::Attempt { .. } => Verdict::MayHaveRun,
                KeyError::NotUuid { .. } | KeyError::NotVersion7 { .. } => Verdict::NotRun,
            },
            Self::Peer { verdict, .. } => *verdict,
            Self::TimedOut
            | Self::Backend { .. }
            | Self::Caller { .. }
            | Self::KeyInFuture
            | Self::KeyExpired
            | Self::InProgress { .. }
            | Self::OutcomeUnknown
            | Self::NotKept { .. }
            | Self::NoMajority { .. }
            | Self::NotSealed { .. } => Verdict::MayHaveRun,
        }
    }
}

impl RequestError {
    /// The status of the answer that tells the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLate | Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NoServer { .. }
            | Self::Busy { .. }
            | Self::Leaving { .. }
            | Self::Connect { .. }
            | Self::NoMajority { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Backend { .. } | Self::Peer { .. } | Self::Caller { .. } => {
                StatusCode::BAD_GATEWAY
            }
            Self::Header { .. }
            | Self::KeyRequired { .. }
            | Self::Key { .. }
            | Self::KeyInFuture => StatusCode::BAD_REQUEST,
            Self::InProgress { .. } | Self::OutcomeUnknown | Self::NotKept { .. } => {
                StatusCode::CONFLICT
            }
            Self::KeyExpired => StatusCode::GONE,
            Self::Sealed { cause, .. } | Self::NotSealed { cause } => cause.status(),
        }
    }

    /// When it is worth coming back; none where it would not help.
    pub fn retry_at(&self) -> Option<Instant> {
        match self {
            Self::NoServer { retry_at }
            | Self::Busy { retry_at }
            | Self::Leaving { retry_at }
            | Self::InProgress { retry_at }
            | Self::NoMajority { retry_at } => Some(*retry_at),
            Self::Peer { retry_at, .. } => *retry_at,
            Self::Sealed { cause, .. } | Self::NotSealed { cause } => cause.retry_at(),
            _ => None,
        }
    }

    /// The lowest attempt that may be sent next, where that is known.
    pub const fn next_attempt(&self) -> Option<Attempt> {
        match self {
            Self::Sealed { next, .. } => Some(*next),
            _ => None,
        }
    }
}

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = http_body_util::Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// A body without bytes.
pub fn empty() -> Body {
    full(Bytes::new())
}
