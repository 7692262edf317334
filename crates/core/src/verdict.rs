//! Whether a request that ended with an error may have run.
//!
//! Every error on the request path implements [`HasVerdict`]. A caller may resend a request unchanged only
//! after [`Verdict::NotRun`]. If it is not certain that the request has not run, the verdict is
//! [`Verdict::MayHaveRun`].

use derive_more::{Display, FromStr};

/// Whether a refused or failed request may have run at a backend server.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq)]
pub enum Verdict {
    /// The request has not run and will not run.
    #[display("not-run")]
    NotRun,
    /// The request may have run, may be running or may run yet.
    #[display("may-have-run")]
    MayHaveRun,
}

impl Verdict {
    /// The combined verdict of two attempts: not run only if neither ran.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }
}

/// An error that has a verdict about the request.
pub trait HasVerdict {
    /// Whether the request may have run.
    fn verdict(&self) -> Verdict;
}
