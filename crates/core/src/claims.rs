//! Claims on request keys, so that a request that is not idempotent runs at most once.
//!
//! A caller gives a request an idempotency key and numbers the attempts under it. Before an agent sends a
//! keyed request to its backend server it must hold a *claim* on the key: a majority of the replicas of the
//! service's claim group has granted it. Before it reports that an attempt has not run (`not-run`) it must
//! *seal* that attempt at a majority. Any two majorities share a replica, so two agents can't both run a
//! request, and no agent can run an attempt that another has reported as not run. Replicas do not use
//! stable storage: one that restarts copies its state from the others.
//!
//! A *run* is one execution of the claim protocol by an agent, see [`run`].
//!
//! # Rules
//!
//! * *Grant.* A replica grants a key to one run at a time, and never for an attempt that is sealed. A run
//!   that does not reach a majority gives up and releases its grants.
//! * *Seal.* `not-run` for attempt n is reported only after a majority recorded "sealed through n" while
//!   holding no grant for any other run.
//! * *Abstain.* A replica that restarted abstains for every key that an earlier incarnation may have
//!   granted, until it has copied from a majority of its group, itself not counted.
//! * *Fence.* A replica that gives a copy records the copier's new incarnation, and refuses requests that
//!   list an older one. Otherwise a grant of the old incarnation and a grant given after the copy add up to
//!   a majority that the copier does not know of. (These are the crash vectors of Michael, Ports, Sharma
//!   and Szekeres, "Recovering shared objects without stable storage", DISC 2017.)
//! * *Copied grants block, but are never acknowledged.* Otherwise a grant by a minority spreads through
//!   copies and becomes a second majority, or survives a seal.
//! * *Epochs.* The replicas of a new epoch copy from a majority of the old one. A replica that gives such a
//!   copy refuses the older epoch from then on.
//!
//! # Modules
//!
//! [`key`] has keys and attempt numbers, [`message`] the messages, [`run`] the client side at the agent that
//! runs a request, [`keeper`] the replica, which holds the claims in its [`table`], and [`recovery`] the
//! copies that a replica collects after a restart or for a new epoch. [`lives`] has the crash vector.
//! [`rules`] can disable one rule, for tests that show that the rule is needed.
//!
//! # Time
//!
//! The time in the key limits how long a claim must be kept. A replica answers for a key only within the
//! retry window, and deletes its claim only when no host can answer for the key any more; both allow for
//! clocks that differ by up to [`crate::time::CLOCK_MARGIN`]. Claims on keys at or before a replica's
//! *floor* may have been deleted, so the replica never answers for these keys again, even if the retry
//! window becomes longer.

pub mod keeper;
pub mod key;
pub mod lives;
pub mod message;
pub mod recovery;
pub mod rules;
pub mod run;
pub mod table;
