//! Time series of a run, and recovery from a fault.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::report::LatencySummary;
use crate::sample::Outcome;
use crate::sample::Sample;

/// Number of consecutive points that are averaged when recovery is determined.
///
/// The 95th percentile within a single window of 2.5 s varies by more than [`RECOVERY_TOLERANCE`].
const SMOOTHING_POINTS: usize = 4;

/// Relative distance from the baseline within which a figure counts as recovered.
const RECOVERY_TOLERANCE: f64 = 0.05;

/// Aggregated samples of the requests scheduled within one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SeriesPoint {
    /// Start of the window, in seconds of engine time.
    pub at_s: f64,
    /// Requests sent.
    pub sent: u64,
    /// Prompt tokens of complete responses.
    pub prompt_tokens: u64,
    /// Prompt tokens of complete responses that were read from a prefix cache.
    pub cached_tokens: u64,
    /// Worth of the responses received before the deadline.
    pub worth: f64,
    /// Worth of all requests sent.
    pub offered_worth: f64,
    /// Time to first token.
    pub first_token: LatencySummary,
}

impl SeriesPoint {
    fn from_samples(at_s: f64, samples: &[&Sample]) -> SeriesPoint {
        let mut point = SeriesPoint {
            at_s,
            sent: samples.len() as u64,
            first_token: LatencySummary::from_durations(
                samples.iter().filter_map(|s| s.first_token),
            ),
            ..SeriesPoint::default()
        };
        for sample in samples {
            point.offered_worth += sample.load.worth;
            if sample.meets_deadline() {
                point.worth += sample.load.worth;
            }
            if let Outcome::Answered { usage: Some(usage) } = &sample.outcome {
                point.prompt_tokens += usage.prompt_tokens;
                point.cached_tokens += usage.cached_tokens;
            }
        }
        point
    }

    /// Returns the share of prompt tokens that were read from a prefix cache.
    pub fn hit_rate(&self) -> f64 {
        match self.prompt_tokens {
            0 => 0.0,
            tokens => self.cached_tokens as f64 / tokens as f64,
        }
    }
}

/// Returns one point per window of a run, grouping samples by their scheduled sending time.
pub fn time_series(samples: &[Sample], window: Duration, duration: Duration) -> Vec<SeriesPoint> {
    let count = (duration.as_secs_f64() / window.as_secs_f64()).ceil() as usize;
    let mut windows: Vec<Vec<&Sample>> = vec![Vec::new(); count];
    for sample in samples {
        let index = (sample.at.as_secs_f64() / window.as_secs_f64()) as usize;
        if let Some(window) = windows.get_mut(index) {
            window.push(sample);
        }
    }
    let points = windows.iter().enumerate();
    points
        .map(|(index, samples)| {
            SeriesPoint::from_samples(index as f64 * window.as_secs_f64(), samples)
        })
        .collect()
}

/// Effect of a fault on the hit rate and on the tail latency, relative to a baseline run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Recovery {
    /// Start of the fault, in seconds of engine time.
    pub fault_at_s: f64,
    /// Largest relative loss of the smoothed hit rate against the baseline.
    pub hit_rate_dip: f64,
    /// Time from the start of the fault until the smoothed hit rate, after its minimum, is again
    /// within 5% of the baseline; absent if it does not recover within the run.
    pub hit_rate_back_s: Option<f64>,
    /// Largest ratio of the smoothed 95th percentile of the time to first token to the baseline.
    pub tail_rise: f64,
    /// Like `hit_rate_back_s`, for the 95th percentile of the time to first token.
    pub tail_back_s: Option<f64>,
}

impl Recovery {
    /// Compares `points` with `baseline`, point by point, from the start of the fault.
    ///
    /// The baseline is a run with the same arrivals but without the fault, so that variations of
    /// the arrivals between windows cancel out.
    pub fn measure(points: &[SeriesPoint], baseline: &[SeriesPoint], fault_at_s: f64) -> Recovery {
        let after = points
            .iter()
            .zip(baseline)
            .filter(|(point, _)| point.at_s >= fault_at_s);
        let (points, baseline): (Vec<SeriesPoint>, Vec<SeriesPoint>) = after.unzip();
        let hits = smoothed_ratios(&points, &baseline, SeriesPoint::hit_rate);
        let tails = smoothed_ratios(&points, &baseline, |point| point.first_token.p95_ms);
        let lowest_ratio = hits.iter().map(|(_, ratio)| *ratio).fold(1.0, f64::min);
        Recovery {
            fault_at_s,
            hit_rate_dip: 1.0 - lowest_ratio,
            hit_rate_back_s: recovery_time_s(&hits, fault_at_s, |ratio| 1.0 - ratio),
            tail_rise: tails.iter().map(|(_, ratio)| *ratio).fold(1.0, f64::max),
            tail_back_s: recovery_time_s(&tails, fault_at_s, |ratio| ratio - 1.0),
        }
    }
}

/// Returns the time from the fault to the first point after the worst one that lies within
/// [`RECOVERY_TOLERANCE`].
fn recovery_time_s(
    values: &[(f64, f64)],
    fault_at_s: f64,
    distance: fn(f64) -> f64,
) -> Option<f64> {
    let distances: Vec<f64> = values.iter().map(|(_, ratio)| distance(*ratio)).collect();
    let worst = (0..distances.len()).max_by(|a, b| distances[*a].total_cmp(&distances[*b]))?;
    if distances[worst] <= RECOVERY_TOLERANCE {
        return Some(0.0);
    }
    let recovered =
        (worst..distances.len()).find(|index| distances[*index] <= RECOVERY_TOLERANCE)?;
    Some(values[recovered].0 - fault_at_s)
}

/// Returns, for each run of [`SMOOTHING_POINTS`] consecutive points, its start and the ratio of its
/// mean to that of the baseline; points where the baseline mean is 0 are left out.
fn smoothed_ratios(
    points: &[SeriesPoint],
    baseline: &[SeriesPoint],
    figure: impl Fn(&SeriesPoint) -> f64,
) -> Vec<(f64, f64)> {
    let mean =
        |points: &[SeriesPoint]| points.iter().map(&figure).sum::<f64>() / points.len() as f64;
    let groups = points
        .windows(SMOOTHING_POINTS)
        .zip(baseline.windows(SMOOTHING_POINTS));
    groups
        .filter(|(_, baseline)| mean(baseline) > 0.0)
        .map(|(points, baseline)| (points[0].at_s, mean(points) / mean(baseline)))
        .collect()
}
