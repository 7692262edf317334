//! How the outermost layer of the agent's service stack counts the end of a request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill::agent::request::{Body, Request, RequestError, Response, full};
use dogwoodrill::agent::slo::{SloLayer, SloRecorder};
use dogwoodrill_core::slo::Minute;
use futures_util::{FutureExt, stream};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use rstest::rstest;
use tower::{Layer, ServiceExt, service_fn};

/// Behaviour of the backend server for a request.
#[derive(Clone, Copy, Debug)]
enum Backend {
    Responds(u16),
    Rejects,
    Truncates,
    NeverResponds,
    NeverEnds,
}

fn body_with_chunks(last: Option<Result<Frame<Bytes>, RequestError>>, pending: bool) -> Body {
    let first = Ok(Frame::data(Bytes::from_static(b"first")));
    let frames = stream::iter([Some(first), last].into_iter().flatten());
    let rest = stream::once(async move {
        if pending {
            std::future::pending::<()>().await;
        }
        Ok(Frame::data(Bytes::new()))
    });
    StreamBody::new(futures_util::StreamExt::chain(frames, rest)).boxed_unsync()
}

async fn answer(backend: Backend) -> Result<Response, RequestError> {
    let mut response = Response::new(full("all of it"));
    match backend {
        Backend::Responds(status) => *response.status_mut() = status.try_into().unwrap(),
        Backend::Rejects => {
            let retry_at = tokio::time::Instant::now();
            return Err(RequestError::TooLate { retry_at });
        }
        Backend::Truncates => {
            *response.body_mut() = body_with_chunks(Some(Err(RequestError::TimedOut)), false);
        }
        Backend::NeverResponds => std::future::pending::<()>().await,
        Backend::NeverEnds => *response.body_mut() = body_with_chunks(None, true),
    }
    Ok(response)
}

#[rstest]
#[case::whole(Backend::Responds(200), Duration::MAX, (1, 0))]
#[case::late(Backend::Responds(200), Duration::ZERO, (0, 1))]
#[case::the_callers_fault(Backend::Responds(404), Duration::MAX, (1, 0))]
#[case::the_servers_fault(Backend::Responds(500), Duration::MAX, (0, 1))]
#[case::refused(Backend::Rejects, Duration::MAX, (0, 1))]
#[case::cut_short(Backend::Truncates, Duration::MAX, (0, 1))]
#[case::given_up_before_the_head(Backend::NeverResponds, Duration::MAX, (0, 0))]
#[case::given_up_before_the_end(Backend::NeverEnds, Duration::MAX, (0, 0))]
#[tokio::test]
async fn a_request_counts_once(
    #[case] backend: Backend,
    #[case] objective: Duration,
    #[case] good_and_bad: (u32, u32),
) {
    let recorder = Arc::new(SloRecorder::default());
    let layer = SloLayer {
        recorder: Arc::clone(&recorder),
        objective,
    };
    let stack = layer.layer(service_fn(move |_: Request| answer(backend)));
    let call = async {
        if let Ok(response) = stack.oneshot(Request::new(full(""))).await {
            drop(response.into_body().collect().await);
        }
    };
    // A request that does not end is dropped, as at the end of its flow.
    let ended = call.now_or_never().is_some();
    let endless = matches!(backend, Backend::NeverResponds | Backend::NeverEnds);
    assert_eq!(ended, !endless);
    let ring = recorder.ring();
    let counts: Vec<_> = ring.since(Minute::new(0)).map(|(_, c)| c).collect();
    let sum =
        |f: fn(&dogwoodrill_core::slo::MinuteCounts) -> u32| counts.iter().map(f).sum::<u32>();
    assert_eq!((sum(|c| c.good), sum(|c| c.bad)), good_and_bad);
}
