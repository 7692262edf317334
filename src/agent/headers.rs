//! Names of the headers that callers and agents exchange.

/// Key of an order, a `UUIDv7`; a resend carries the same one. As in the IETF draft
/// "The Idempotency-Key HTTP Header Field".
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the attempt under one key, from 1; a resend after `not-run` must raise it.
pub const ATTEMPT: &str = "dogwoodrill-attempt";
/// How long the caller will wait, in milliseconds.
pub const TIMEOUT: &str = "dogwoodrill-timeout-ms";
/// On an answer of the agent's own: whether the request may have run.
pub const VERDICT: &str = "dogwoodrill-verdict";
/// On a `not-run` answer to a keyed request: the lowest attempt number that may be sent next.
pub const NEXT_ATTEMPT: &str = "dogwoodrill-next-attempt";
/// On an answer that was kept from an earlier attempt: `true`.
pub const REPLAYED: &str = "dogwoodrill-replayed";
