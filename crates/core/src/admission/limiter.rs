//! An adaptive concurrency limit for a backend server, from the latency that its agent measures.
//!
//! For each concurrency the limiter keeps a slow and a fast moving average of the latency. The limit
//! starts at the slots that the server announced, and never exceeds them. It is lowered by one while the
//! fast average is well above the slow one, and raised by one otherwise. A sudden rise at equal
//! concurrency means that the server is cold again: [`SampleEffect::ColdStart`].

use std::time::{Duration, Instant};

/// Weight of a new sample in the slow average, as a divisor.
const SLOW_DIVISOR: u32 = 32;
/// Weight of a new sample in the fast average, as a divisor.
const FAST_DIVISOR: u32 = 4;
/// Samples needed before the two averages are compared.
const MIN_SAMPLES: u32 = 8;
/// Ratio of the fast to the slow average above which the server counts as cold.
const COLD_FACTOR: u32 = 4;
/// Ratio of the fast to the slow average above which the server counts as overloaded.
const OVERLOAD_FACTOR: u32 = 2;
/// Minimum time between two changes of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);
/// A rise of the latency up to this value is ignored, whatever its ratio.
const NOISE: Duration = Duration::from_millis(20);

/// The effect of a latency sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleEffect {
    /// The limit is unchanged or changed by one.
    Adjusted,
    /// The latency shows that the server is cold.
    ColdStart,
}

#[derive(Clone, Copy, Debug, Default)]
struct LatencyAverages {
    samples: u32,
    slow: Duration,
    fast: Duration,
}

impl LatencyAverages {
    fn add(&mut self, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let slow_divisor = SLOW_DIVISOR.min(self.samples);
        let fast_divisor = FAST_DIVISOR.min(self.samples);
        self.fast = blend(self.fast, latency, fast_divisor);
        self.slow = blend(self.slow, latency, slow_divisor);
    }

    /// Whether the fast average exceeds the slow one by that factor and by more than [`NOISE`].
    fn exceeds(&self, factor: u32) -> bool {
        self.samples >= MIN_SAMPLES
            && self.fast > self.slow * factor
            && self.fast > self.slow + NOISE
    }
}

fn blend(mean: Duration, sample: Duration, divisor: u32) -> Duration {
    (mean * (divisor - 1) + sample) / divisor
}

/// The adaptive concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limiter {
    ceiling: u32,
    limit: u32,
    by_concurrency: Vec<LatencyAverages>,
    overall: LatencyAverages,
    adjust_at: Instant,
    measure_from: Instant,
}

impl Limiter {
    /// Creates a limiter for a server with `slots` slots.
    pub fn new(now: Instant, slots: u32) -> Self {
        let ceiling = slots.max(1);
        Self {
            ceiling,
            limit: ceiling,
            by_concurrency: vec![LatencyAverages::default(); ceiling as usize],
            overall: LatencyAverages::default(),
            adjust_at: now,
            measure_from: now,
        }
    }

    /// Requests that may run concurrently.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// The maximum of the limit: the slots of the server, at least 1.
    pub const fn ceiling(&self) -> u32 {
        self.ceiling
    }

    /// The fast average of the latency over all concurrencies; zero before the first sample.
    pub const fn latency(&self) -> Duration {
        self.overall.fast
    }

    /// Resets the averages and the limit. Samples are used again from `at`, the end of a cold start.
    pub fn relearn(&mut self, at: Instant) {
        self.by_concurrency.fill(LatencyAverages::default());
        self.overall = LatencyAverages::default();
        self.limit = self.ceiling;
        self.measure_from = at;
    }

    /// Records the latency of a response that was measured with `concurrency` running requests.
    pub fn on_sample(&mut self, now: Instant, latency: Duration, concurrency: u32) -> SampleEffect {
        self.overall.add(latency);
        if now < self.measure_from {
            return SampleEffect::Adjusted;
        }
        let at = concurrency.clamp(1, self.ceiling) - 1;
        let averages = &mut self.by_concurrency[at as usize];
        averages.add(latency);
        let averages = *averages;
        if averages.exceeds(COLD_FACTOR) {
            return SampleEffect::ColdStart;
        }
        if now >= self.adjust_at {
            self.adjust(now, averages);
        }
        SampleEffect::Adjusted
    }

    fn adjust(&mut self, now: Instant, averages: LatencyAverages) {
        let before = self.limit;
        if averages.exceeds(OVERLOAD_FACTOR) {
            self.limit = (self.limit - 1).max(1);
        } else {
            self.limit = (self.limit + 1).min(self.ceiling);
        }
        if self.limit != before {
            self.adjust_at = now + ADJUST_INTERVAL;
        }
    }
}
