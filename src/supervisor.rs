//! Supervisor tree: restarts failed tasks and limits the number of restarts.
//!
//! A [`Supervisor`] starts its children and restarts a failed child after [`RESTART_DELAY`]. If there are
//! more than [`MAX_RESTARTS`] failures within [`RESTART_WINDOW`], restarting does not help: the supervisor
//! stops all its children and fails. If it is the root of the tree, the process exits. Each failure is
//! logged once. A supervisor may be the child of another.
//!
//! A stop has two steps. First the tokens of the *draining* children are cancelled, while all other
//! children continue to run, because the draining children need them. When the last draining child has
//! finished, the others are stopped.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Maximum number of failures within [`RESTART_WINDOW`] after which a child is restarted.
pub const MAX_RESTARTS: usize = 5;
/// Time for which a failure counts towards [`MAX_RESTARTS`].
pub const RESTART_WINDOW: Duration = Duration::from_secs(30);
/// Delay between a failure and the restart.
pub const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Error of a child.
pub type ChildError = Box<dyn std::error::Error + Send + Sync>;

type ChildFuture = Pin<Box<dyn Future<Output = Result<(), ChildError>> + Send>>;

/// Error of a supervisor whose children failed more often than [`MAX_RESTARTS`] allows.
#[derive(Debug, Snafu)]
#[snafu(display("{supervisor} gave up: {child} failed too often"))]
pub struct RestartLimitExceeded {
    /// Name of the supervisor.
    pub supervisor: &'static str,
    /// Name of the child that failed last.
    pub child: &'static str,
    /// Error of that child.
    pub source: ChildError,
}

/// How a child is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StopMode {
    /// Its token is cancelled first, and it ends when it has finished its work.
    Drain,
    /// It may be stopped at any time.
    Immediate,
}

struct Child {
    name: &'static str,
    stop_mode: StopMode,
    start: Box<dyn Fn(CancellationToken) -> ChildFuture + Send + Sync>,
}

/// Runs children and restarts those that fail.
pub struct Supervisor {
    name: &'static str,
    /// Cancelled to make the draining children finish.
    drain_token: CancellationToken,
    /// Cancelled to stop all children.
    end_token: CancellationToken,
    children: Vec<Child>,
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let children: Vec<_> = self.children.iter().map(|c| c.name).collect();
        f.debug_struct("Supervisor")
            .field("name", &self.name)
            .field("children", &children)
            .finish_non_exhaustive()
    }
}

impl Supervisor {
    /// Creates a supervisor that stops its children when `drain_token` is cancelled.
    pub fn new(name: &'static str, drain_token: CancellationToken) -> Self {
        Self {
            name,
            drain_token,
            end_token: CancellationToken::new(),
            children: Vec::new(),
        }
    }

    /// Adds a child that may be stopped at any time. `start` creates its future from `shared`, at first and
    /// after each failure. A child that returns without an error has finished its work and is not restarted.
    /// Its token is cancelled when the draining children have finished.
    pub fn child<T, F, Fut, E>(&mut self, name: &'static str, shared: &Arc<T>, start: F)
    where
        T: Send + Sync + 'static,
        F: Fn(Arc<T>, CancellationToken) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<(), E>> + Send + 'static,
        E: Into<ChildError>,
    {
        self.add(name, StopMode::Immediate, shared, start);
    }

    /// Adds a child that must finish its work in progress. Its token is cancelled as soon as a stop is
    /// requested; the child must then end within its own deadline.
    pub fn draining_child<T, F, Fut, E>(&mut self, name: &'static str, shared: &Arc<T>, start: F)
    where
        T: Send + Sync + 'static,
        F: Fn(Arc<T>, CancellationToken) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<(), E>> + Send + 'static,
        E: Into<ChildError>,
    {
        self.add(name, StopMode::Drain, shared, start);
    }

    fn add<T, F, Fut, E>(
        &mut self,
        name: &'static str,
        stop_mode: StopMode,
        shared: &Arc<T>,
        start: F,
    ) where
        T: Send + Sync + 'static,
        F: Fn(Arc<T>, CancellationToken) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<(), E>> + Send + 'static,
        E: Into<ChildError>,
    {
        let shared = Arc::clone(shared);
        let start = move |token| -> ChildFuture {
            let future = start(Arc::clone(&shared), token);
            Box::pin(async move { future.await.map_err(Into::into) })
        };
        self.children.push(Child {
            name,
            stop_mode,
            start: Box::new(start),
        });
    }

    /// Runs the children. Returns when a stop was requested and the draining children have finished, or when
    /// all children have finished, and with an error when there were too many failures.
    pub async fn run(self) -> Result<(), RestartLimitExceeded> {
        let mut running = Running::default();
        for index in 0..self.children.len() {
            self.start(&mut running, index, Instant::now());
        }
        let result = self.watch(&mut running).await;
        self.drain_token.cancel();
        self.end_token.cancel();
        if result.is_err() {
            running.tasks.abort_all();
        }
        while running.tasks.join_next().await.is_some() {}
        result
    }

    async fn watch(&self, running: &mut Running) -> Result<(), RestartLimitExceeded> {
        let mut failures = Failures::default();
        loop {
            if self.drain_token.is_cancelled() && !self.is_draining(running) {
                return Ok(());
            }
            let ended = tokio::select! {
                ended = running.tasks.join_next_with_id() => ended,
                () = self.drain_token.cancelled(), if !self.drain_token.is_cancelled() => continue,
            };
            let Some(ended) = ended else { return Ok(()) };
            let (index, error) = running.take_outcome(ended);
            if let Some(error) = error {
                self.restart(running, index, error, &mut failures)?;
            }
        }
    }

    fn is_draining(&self, running: &Running) -> bool {
        let mut indexes = running.child_by_task.iter().map(|(_, index)| *index);
        indexes.any(|index| self.children[index].stop_mode == StopMode::Drain)
    }

    fn restart(
        &self,
        running: &mut Running,
        index: usize,
        source: ChildError,
        failures: &mut Failures,
    ) -> Result<(), RestartLimitExceeded> {
        let (supervisor, child) = (self.name, self.children[index].name);
        log::error!("{supervisor}: {child} failed: {source}");
        let now = Instant::now();
        if !failures.on_failure(now) {
            return Err(RestartLimitExceeded {
                supervisor,
                child,
                source,
            });
        }
        self.start(running, index, now + RESTART_DELAY);
        Ok(())
    }

    fn start(&self, running: &mut Running, index: usize, start_at: Instant) {
        let child = &self.children[index];
        let token = match child.stop_mode {
            StopMode::Drain => self.drain_token.clone(),
            StopMode::Immediate => self.end_token.clone(),
        };
        let future = (child.start)(token);
        let delayed = async move {
            sleep_until(start_at).await;
            future.await
        };
        let end_token = self.end_token.clone();
        let run = async move {
            end_token
                .run_until_cancelled(delayed)
                .await
                .unwrap_or(Ok(()))
        };
        let handle = running.tasks.spawn(run);
        running.child_by_task.push((handle.id(), index));
    }
}

#[derive(Default)]
struct Running {
    tasks: JoinSet<Result<(), ChildError>>,
    child_by_task: Vec<(Id, usize)>,
}

type TaskResult = Result<(Id, Result<(), ChildError>), JoinError>;

impl Running {
    fn take_outcome(&mut self, ended: TaskResult) -> (usize, Option<ChildError>) {
        let (id, error) = match ended {
            Ok((id, result)) => (id, result.err()),
            Err(e) => (e.id(), Some(e.into())),
        };
        let at = self.child_by_task.iter().position(|(task, _)| *task == id);
        let (_, index) = self
            .child_by_task
            .swap_remove(at.expect("every started task is registered"));
        (index, error)
    }
}

/// Recent failures of a supervisor's children.
#[derive(Debug, Default)]
pub struct Failures {
    expire_at: VecDeque<Instant>,
}

impl Failures {
    /// Records a failure. Returns whether the child may be restarted.
    pub fn on_failure(&mut self, now: Instant) -> bool {
        while self.expire_at.front().is_some_and(|at| *at <= now) {
            self.expire_at.pop_front();
        }
        self.expire_at.push_back(now + RESTART_WINDOW);
        self.expire_at.len() <= MAX_RESTARTS
    }
}
