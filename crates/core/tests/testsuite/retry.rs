//! Retries are at most a tenth of all requests.

use dogwoodrill_core::retry::RetryBudget;
use rstest::rstest;

#[rstest]
#[case::none_yet(0, 0)]
#[case::nine(9, 0)]
#[case::ten(10, 1)]
#[case::many(5_000, 100)]
fn the_budget_is_a_tenth_of_the_requests_and_at_most_one_hundred(
    #[case] requests: u32,
    #[case] expected: usize,
) {
    let mut budget = RetryBudget::default();
    for _ in 0..requests {
        budget.on_request();
    }
    let retries = std::iter::repeat_with(|| budget.take()).take_while(|given| *given);
    assert_eq!(retries.count(), expected);
}

#[test]
fn retries_of_a_failing_service_stay_a_tenth() {
    let mut budget = RetryBudget::default();
    let retries = (0..10_000).filter(|_| {
        budget.on_request();
        budget.take()
    });
    assert_eq!(retries.count(), 1_000);
}
