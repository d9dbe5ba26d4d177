//! Output length of a generation, estimated from the caller's hint and from earlier answers.

use base::prelude::*;

/// Weight of an answer in the mean.
const GAIN: f64 = 0.1;
/// Variance of the logarithm of the length, and of hints, before any was observed.
const DEFAULT_VARIANCE: f64 = 1.0;
/// Least variance, so that neither source is trusted alone.
const MIN_VARIANCE: f64 = 0.01;

/// Output lengths of the requests of one route and client account, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Length {
    /// Mean and variance of the logarithm of the length; `None` before the first answer.
    usual: Option<(f64, f64)>,
    /// Mean square of the logarithm of the length divided by the hint.
    hint_error: f64,
}

impl Default for Length {
    fn default() -> Self {
        Self { usual: None, hint_error: DEFAULT_VARIANCE }
    }
}

impl Length {
    /// Returns the expected output, and the variance of its logarithm.
    ///
    /// The hint and the usual length count by their variances. `most` limits the output, and is
    /// assumed if nothing is known.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut length = route::cost::Length::default();
    /// assert!((length.estimate(None, 400).0 - 400.0).abs() < 1e-9);
    /// for _ in 0..50 {
    ///     length.observe(Some(1_000), 60);
    /// }
    /// assert!((length.estimate(Some(1_000), 400).0 - 60.0).abs() < 20.0);
    /// ```
    #[must_use]
    pub fn estimate(&self, hint: Option<Tokens>, most: Tokens) -> (f64, f64) {
        let hint = hint.map(|tokens| (logarithm(tokens), self.hint_error));
        let (mean, variance) = match (self.usual, hint) {
            (Some((usual, spread)), Some((hint, error))) => {
                let (usual_weight, hint_weight) =
                    (1.0 / spread.max(MIN_VARIANCE), 1.0 / error.max(MIN_VARIANCE));
                let total = usual_weight + hint_weight;
                ((usual * usual_weight + hint * hint_weight) / total, 1.0 / total)
            }
            (Some(known), None) | (None, Some(known)) => known,
            (None, None) => (logarithm(most), DEFAULT_VARIANCE),
        };
        (mean.min(logarithm(most)).exp(), variance)
    }

    /// Learns from a whole answer of `tokens`.
    pub fn observe(&mut self, hint: Option<Tokens>, tokens: Tokens) {
        let observed = logarithm(tokens);
        let (mean, variance) = self.usual.unwrap_or((observed, DEFAULT_VARIANCE));
        let deviation = observed - mean;
        self.usual =
            Some((mean + GAIN * deviation, variance + GAIN * (deviation * deviation - variance)));
        if let Some(hint) = hint {
            let error = observed - logarithm(hint);
            self.hint_error += GAIN * (error * error - self.hint_error);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no more than 52 bits")]
fn logarithm(tokens: Tokens) -> f64 {
    (tokens.max(1) as f64).ln()
}
