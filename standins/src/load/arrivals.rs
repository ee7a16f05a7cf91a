//! Arrival times of a Poisson process, at a constant or bursty rate.

use std::time::Duration;

use fastrand::Rng;

const BURST_FACTOR: f64 = 5.0;
const LULL_FACTOR: f64 = 0.05;

/// Fraction of a cycle spent in the burst, so that the rate over the cycle is the mean.
const BURST_FRACTION: f64 = (1.0 - LULL_FACTOR) / (BURST_FACTOR - LULL_FACTOR);

/// How the arrival rate changes over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Constant at the mean.
    Steady,
    /// Five times the mean during bursts, a twentieth of it between them.
    Bursts {
        /// Length of a burst.
        length: Duration,
        /// Phase at the start, as a fraction of a cycle from 0 to 1, where 0 is the start of a
        /// burst. Queues with evenly spread offsets burst in turn.
        offset: f64,
    },
}

/// Infinite iterator over arrival times, measured from the start. The same seed gives the same
/// times.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: Rng,
    mean_rate: f64,
    shape: Shape,
    now: f64,
    segment: Segment,
}

/// A rate, in arrivals per second, and the time until which it applies, in seconds.
#[derive(Clone, Copy, Debug)]
struct Segment {
    rate: f64,
    end: f64,
    burst: bool,
}

impl Arrivals {
    /// Creates arrivals at `mean_rate` per second on average.
    #[must_use]
    pub fn new(seed: u64, mean_rate: f64, shape: Shape) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            mean_rate,
            shape,
            now: 0.0,
            segment: first_segment(mean_rate, shape),
        }
    }

    fn next_segment(&self) -> Segment {
        let Shape::Bursts { length, .. } = self.shape else {
            return self.segment;
        };
        let burst = length.as_secs_f64();
        if self.segment.burst {
            let lull = burst / BURST_FRACTION - burst;
            return Segment {
                rate: self.mean_rate * LULL_FACTOR,
                end: self.segment.end + lull,
                burst: false,
            };
        }
        Segment {
            rate: self.mean_rate * BURST_FACTOR,
            end: self.segment.end + burst,
            burst: true,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // Exponentially distributed with mean 1; each segment uses it up at its rate.
        let mut remaining = -(1.0 - self.rng.f64()).ln();
        loop {
            let Segment { rate, end, .. } = self.segment;
            let wait = remaining / rate;
            if self.now + wait <= end {
                self.now += wait;
                return Duration::try_from_secs_f64(self.now).ok();
            }
            remaining = (remaining - (end - self.now) * rate).max(0.0);
            self.now = end;
            self.segment = self.next_segment();
        }
    }
}

fn first_segment(mean_rate: f64, shape: Shape) -> Segment {
    let Shape::Bursts { length, offset } = shape else {
        return Segment {
            rate: mean_rate,
            end: f64::INFINITY,
            burst: false,
        };
    };
    let burst = length.as_secs_f64();
    let cycle = burst / BURST_FRACTION;
    let elapsed = offset.rem_euclid(1.0) * cycle;
    if elapsed < burst {
        return Segment {
            rate: mean_rate * BURST_FACTOR,
            end: burst - elapsed,
            burst: true,
        };
    }
    Segment {
        rate: mean_rate * LULL_FACTOR,
        end: cycle - elapsed,
        burst: false,
    }
}
