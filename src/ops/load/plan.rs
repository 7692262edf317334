//! Arrival times of requests: a Poisson process with a seeded random generator.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::options::RequestClass;

/// A planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Planned time, relative to the start of the run.
    pub due: Duration,
    /// Index of its class.
    pub class: usize,
}

/// Generates arrivals; the same seed gives the same arrivals.
#[derive(Debug)]
pub struct Arrivals {
    rng: StdRng,
    rate: f64,
    weights: Vec<u32>,
    now: Duration,
    end: Duration,
    left: u64,
}

impl Arrivals {
    /// Creates a generator of at most `count` arrivals of `classes`, at `rate` per second for `time`.
    pub fn new(seed: u64, rate: u32, classes: &[RequestClass], time: Duration, count: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            rate: rate.into(),
            weights: classes.iter().map(|c| c.weight).collect(),
            now: Duration::ZERO,
            end: time,
            left: count,
        }
    }

    fn class(&mut self) -> usize {
        let total: u32 = self.weights.iter().sum();
        let mut remaining = self.rng.random_range(0..total.max(1));
        for (class, weight) in self.weights.iter().enumerate() {
            if remaining < *weight {
                return class;
            }
            remaining -= weight;
        }
        0
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.left == 0 || self.rate <= 0.0 || self.weights.is_empty() {
            return None;
        }
        // The intervals of a Poisson process are exponentially distributed. 1 - uniform is never 0.
        let uniform: f64 = self.rng.random();
        self.now += Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate);
        if self.now >= self.end {
            return None;
        }
        self.left -= 1;
        Some(Arrival {
            due: self.now,
            class: self.class(),
        })
    }
}
