//! Belief about a factor that changes over time.

use std::time::Duration;

/// Age in half-lives from which a belief has returned to its prior.
const FORGOTTEN_HALF_LIVES: f64 = 12.0;
/// Deviation, in standard deviations, to which one observation counts.
///
/// Single answers are late for reasons that say nothing about the upstream, such as a pause of this
/// instance.
const MAX_INNOVATION: f64 = 2.5;

/// What is known of a factor without observations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prior {
    /// Variance of the natural logarithm of the factor.
    pub variance: f64,
    /// Time in which an observed deviation from 1 halves.
    pub half_life: Duration,
}

/// Mean and variance of the natural logarithm of a factor that tends to 1.
///
/// Without observations, the mean returns to 0 and the variance to that of the prior.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Belief {
    prior: Prior,
    mean: f64,
    variance: f64,
    updated_at: Duration,
}

impl Belief {
    /// Opens the belief at its prior.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use route::cost::{Belief, Prior};
    /// let prior = Prior { variance: 0.2, half_life: Duration::from_secs(1) };
    /// let mut belief = Belief::open(prior);
    /// belief.observe(0.5, 0.05, Duration::from_secs(10));
    /// let (mean, variance) = belief.at(Duration::from_secs(10));
    /// assert!(mean > 0.3 && variance < 0.2);
    /// let (mean, variance) = belief.at(Duration::from_secs(60));
    /// assert!(mean.abs() < 0.01 && (variance - 0.2).abs() < 0.01);
    /// ```
    #[must_use]
    pub fn open(prior: Prior) -> Self {
        Self { prior, mean: 0.0, variance: prior.variance, updated_at: Duration::ZERO }
    }

    /// Returns the mean and the variance of the logarithm at time `now`.
    #[must_use]
    pub fn at(&self, now: Duration) -> (f64, f64) {
        let age =
            now.saturating_sub(self.updated_at).as_secs_f64() / self.prior.half_life.as_secs_f64();
        if age > FORGOTTEN_HALF_LIVES {
            return (0.0, self.prior.variance);
        }
        let kept = (-age).exp2();
        let variance = self.prior.variance + (self.variance - self.prior.variance) * kept * kept;
        (self.mean * kept, variance)
    }

    /// Corrects the belief by an observed logarithm whose noise has this variance.
    pub fn observe(&mut self, observed: f64, noise: f64, now: Duration) {
        let (mean, variance) = self.at(now);
        self.correct(observed - mean, variance + noise, now);
    }

    /// Corrects the belief by its part of a deviation that several causes explain.
    ///
    /// `total` is the sum of the variances of all causes and of the noise.
    pub fn correct(&mut self, deviation: f64, total: f64, now: Duration) {
        let (mean, variance) = self.at(now);
        let limit = MAX_INNOVATION * total.sqrt();
        let gain = variance / total;
        self.mean = mean + gain * deviation.clamp(-limit, limit);
        self.variance = variance * (1.0 - gain);
        self.updated_at = now;
    }
}
