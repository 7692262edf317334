//! The retry budget, which limits retries and hedged requests.
//!
//! Each request adds a fraction of a token, and each retry takes a whole token. Retries therefore stay a
//! fixed share of the requests and can't multiply the load of an overloaded service.

use crate::config::PerMille;

/// Retries per thousand requests.
pub const RETRY_SHARE: PerMille = PerMille::new(100);
/// Cost of a retry, in thousandths of a token.
const RETRY_COST: u32 = 1_000;
/// Maximum of the budget, in thousandths of a token: 100 retries.
const MAX_BALANCE: u32 = 100 * RETRY_COST;

/// A budget for retries and hedged requests. It starts empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    balance: u32,
}

impl RetryBudget {
    /// Adds the share of one request to the budget.
    pub fn on_request(&mut self) {
        let share = u32::from(RETRY_SHARE.get());
        self.balance = (self.balance + share).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; false if the budget is too small.
    pub fn take(&mut self) -> bool {
        let remaining = self.balance.checked_sub(RETRY_COST);
        self.balance = remaining.unwrap_or(self.balance);
        remaining.is_some()
    }
}
