//! The supervisor tree: restarts, the limit of restarts, and the order in which children stop.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dogwoodrill::supervisor::{Failures, MAX_RESTARTS, RESTART_DELAY, Supervisor};
use insta::assert_snapshot;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Actions of the children, in order.
#[derive(Debug, Default)]
struct Log(Mutex<Vec<String>>);

impl Log {
    fn add(&self, line: &str) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line.to_owned());
    }

    fn text(&self) -> String {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.join("\n")
    }
}

#[rstest]
#[case::as_many_as_it_bears(&[0, 0, 0, 0, 0], true)]
#[case::one_too_many(&[0, 0, 0, 0, 0, 0], false)]
#[case::one_too_many_late_in_the_window(&[0, 1, 2, 3, 4, 29], false)]
#[case::the_first_is_forgotten(&[0, 1, 2, 3, 4, 30], true)]
#[case::slow_failures_for_ever(&[0, 10, 20, 30, 40, 50, 60, 70, 80, 90], true)]
#[case::a_burst_after_a_long_life(&[0, 1000, 1001, 1002, 1003, 1004, 1005], false)]
fn failures_are_remembered_until_their_deadline(#[case] seconds: &[u64], #[case] goes_on: bool) {
    let start = Instant::now();
    let mut failures = Failures::default();
    let mut last = true;
    for at in seconds {
        last = failures.on_failure(start + Duration::from_secs(*at));
    }
    assert_eq!(last, goes_on);
}

#[tokio::test(start_paused = true)]
async fn gives_up_when_a_child_fails_too_often_and_stops_the_others() {
    let starts = Arc::new(AtomicUsize::new(0));
    let mut supervisor = Supervisor::new("root", CancellationToken::new());
    supervisor.child("broken", &starts, |starts, _| async move {
        starts.fetch_add(1, Ordering::Relaxed);
        Err("no luck")
    });
    supervisor.draining_child("patient", &starts, |_, _| async move {
        std::future::pending::<Result<(), String>>().await
    });
    let begun = Instant::now();
    let error = supervisor.run().await.unwrap_err();
    assert_snapshot!(format!("{error}: {}", error.source), @"root gave up: broken failed too often: no luck");
    assert_eq!(starts.load(Ordering::Relaxed), MAX_RESTARTS + 1);
    assert_eq!(begun.elapsed(), RESTART_DELAY * 5);
}

#[tokio::test(start_paused = true)]
async fn a_panic_counts_as_a_failure_and_a_child_that_is_done_stays_done() {
    let log = Arc::new(Log::default());
    let mut supervisor = Supervisor::new("root", CancellationToken::new());
    supervisor.child("done", &log, |log, _| async move {
        log.add("done");
        Ok::<_, String>(())
    });
    supervisor.child("panics once", &log, |log, _| async move {
        let first = !log.text().contains("panics");
        log.add("panics once");
        assert!(!first, "the first start fails");
        Ok::<_, String>(())
    });
    supervisor.run().await.unwrap();
    assert_snapshot!(log.text(), @"
    done
    panics once
    panics once
    ");
}

#[tokio::test(start_paused = true)]
async fn draining_children_finish_before_the_others_stop() {
    let token = CancellationToken::new();
    let log = Arc::new(Log::default());
    let mut supervisor = Supervisor::new("root", token.clone());
    supervisor.draining_child("drains", &log, |log, token| async move {
        token.cancelled().await;
        log.add("drains: told");
        sleep(Duration::from_millis(2_500)).await;
        log.add("drains: finished");
        Ok::<_, String>(())
    });
    supervisor.child("serves", &log, |log, token| async move {
        let work = async {
            loop {
                sleep(Duration::from_secs(2)).await;
                log.add("serves");
            }
        };
        token.run_until_cancelled(work).await;
        Ok::<_, String>(())
    });
    let stop = async {
        sleep(Duration::from_secs(1)).await;
        token.cancel();
    };
    let (result, ()) = tokio::join!(supervisor.run(), stop);
    result.unwrap();
    assert_snapshot!(log.text(), @"
    drains: told
    serves
    drains: finished
    ");
}

#[tokio::test(start_paused = true)]
async fn a_child_that_fails_while_another_drains_is_started_again() {
    let token = CancellationToken::new();
    let starts = Arc::new(AtomicUsize::new(0));
    let mut supervisor = Supervisor::new("root", token.clone());
    supervisor.draining_child("drains", &starts, |_, token| async move {
        token.cancelled().await;
        sleep(Duration::from_secs(3)).await;
        Ok::<_, String>(())
    });
    supervisor.child("fails late", &starts, |starts, _| async move {
        let first = starts.fetch_add(1, Ordering::Relaxed) == 0;
        sleep(Duration::from_secs(1)).await;
        if first {
            Err("once")
        } else {
            std::future::pending().await
        }
    });
    token.cancel();
    supervisor.run().await.unwrap();
    assert_eq!(starts.load(Ordering::Relaxed), 2);
}
