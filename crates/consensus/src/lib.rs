//! Raft implementation for a replicated log on a few hosts, each with a disk.
//!
//! The log is Raft as published (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; Ongaro's dissertation, 2014), with pre-vote (§9.6 there), a leader that steps down
//! without contact with a majority (§6.2), reads by read index (§6.4), and membership changes of one
//! member at a time (§4) where a new member is a learner until its disk holds what is committed.
//!
//! [`Node`] is a state machine without I/O. Its caller passes in messages, proposals and the current
//! time, takes [`Outputs`] and carries them out: it sends messages, writes a [`Batch`] to a
//! [`store::Store`] and applies entries. A message that depends on persisted state is sent only after
//! that state is synced. [`store::file`] stores the log in a folder. Start reading at [`Node`], then
//! `node/election.rs` and `node/leader.rs`.

mod entry;
mod log;
mod member;
mod message;
mod node;
mod options;
mod outputs;
pub mod store;
mod vacancies;

pub use entry::{Batch, Entry, HardState, Payload, PersistedState, Snapshot};
pub use member::{Member, MemberId, MemberRole, Membership};
pub use message::{AppendOutcome, Envelope, Message, Round, Silence, VoteKind};
pub use node::{JoinError, MemberProgress, MemberStatus, Node, NotLeader, RoleName};
pub use options::Options;
pub use outputs::{Apply, LogPosition, Outputs, ReadId, ReadOutcome};
pub use vacancies::{Handover, JoinPolicy};
