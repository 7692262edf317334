//! When each request is due: a Poisson process, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::options::RequestClass;

/// One request to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it is due, after the start.
    pub due: Duration,
    /// Its class, as an index.
    pub class: usize,
}

/// Draws arrivals; the same seed gives the same ones.
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
    /// Arrivals of `classes` at `rate` a second for `time`, `count` of them at most.
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
        // The gaps of a Poisson process are exponential; 1 - u is never 0.
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
