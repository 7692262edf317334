//! The supervisor tree: who restarts what, and when a process gives up.
//!
//! A [`Supervisor`] starts its children and starts a failed one again after [`RESTART_DELAY`]. Each
//! failure is remembered until a deadline; too many remembered at once mean that starting again does
//! not help: the supervisor then stops all its children and fails, and at the root of the tree the
//! process exits. A failure is logged once. A supervisor may be the child of another.
//!
//! A stop has two steps. First the *draining* children are told, and all others go on, because what
//! drains needs them. When the last draining child has finished, the others end.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Failures remembered at once that a supervisor bears.
pub const MAX_RESTARTS: usize = 5;
/// Time for which a failure is remembered.
pub const RESTART_WINDOW: Duration = Duration::from_secs(30);
/// Time between a failure and the next start.
pub const RESTART_DELAY: Duration = Duration::from_millis(200);

/// An error that a child ends with.
pub type ChildError = Box<dyn std::error::Error + Send + Sync>;

type ChildFuture = Pin<Box<dyn Future<Output = Result<(), ChildError>> + Send>>;

/// A supervisor gave up.
#[derive(Debug, Snafu)]
#[snafu(display("{supervisor} gave up: {child} failed too often"))]
pub struct RestartLimitExceeded {
    /// The supervisor.
    pub supervisor: &'static str,
    /// The child whose failure was one too many.
    pub child: &'static str,
    /// The child's last error.
    pub source: ChildError,
}

/// When a child ends by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StopMode {
    /// When what it was told to drain is done.
    Drain,
    /// At any moment.
    Immediate,
}

struct Child {
    name: &'static str,
    stop_mode: StopMode,
    start: Box<dyn Fn(CancellationToken) -> ChildFuture + Send + Sync>,
}

/// Starts children and starts failed ones again.
pub struct Supervisor {
    name: &'static str,
    /// Asks the draining children to finish.
    drain_token: CancellationToken,
    /// Ends all children.
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
    /// Makes a supervisor that stops its children when `drain_token` is cancelled.
    pub fn new(name: &'static str, drain_token: CancellationToken) -> Self {
        Self {
            name,
            drain_token,
            end_token: CancellationToken::new(),
            children: Vec::new(),
        }
    }

    /// Adds a child that may be ended at any moment. `start` makes its future from what the children
    /// of one process share, once and again after each failure; a child that returns without an error
    /// has done its work and is not started again. Its token is cancelled when the draining children
    /// have finished.
    pub fn child<T, F, Fut, E>(&mut self, name: &'static str, shared: &Arc<T>, start: F)
    where
        T: Send + Sync + 'static,
        F: Fn(Arc<T>, CancellationToken) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<(), E>> + Send + 'static,
        E: Into<ChildError>,
    {
        self.add(name, StopMode::Immediate, shared, start);
    }

    /// Adds a child that must finish what it has in hand. Its token is cancelled as soon as a stop is
    /// asked for; the child then ends by itself, by its own deadline.
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
        let start = move |drain_token| -> ChildFuture {
            let future = start(Arc::clone(&shared), drain_token);
            Box::pin(async move { future.await.map_err(Into::into) })
        };
        self.children.push(Child {
            name,
            stop_mode,
            start: Box::new(start),
        });
    }

    /// Runs until a stop was asked for and the draining children have finished, all children are
    /// done, or failures were too many.
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
        let drain_token = match child.stop_mode {
            StopMode::Drain => self.drain_token.clone(),
            StopMode::Immediate => self.end_token.clone(),
        };
        let future = (child.start)(drain_token);
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
            .swap_remove(at.expect("every task was entered at its start"));
        (index, error)
    }
}

/// The failures that a supervisor remembers.
#[derive(Debug, Default)]
pub struct Failures {
    expire_at: VecDeque<Instant>,
}

impl Failures {
    /// Takes in a failure; whether the child may be started again.
    pub fn on_failure(&mut self, now: Instant) -> bool {
        while self.expire_at.front().is_some_and(|at| *at <= now) {
            self.expire_at.pop_front();
        }
        self.expire_at.push_back(now + RESTART_WINDOW);
        self.expire_at.len() <= MAX_RESTARTS
    }
}
