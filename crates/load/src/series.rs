//! Figures over the time of a run, and how they recover from a fault.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::report::Latency;
use crate::sample::Outcome;
use crate::sample::Sample;

/// Points that are averaged before a figure counts as recovered.
///
/// The 95th percentile of a single point of 2.5 s varies by more than the 5% that count.
const SMOOTH_POINTS: usize = 4;

/// Distance from the usual figure at which it counts as recovered.
const RECOVERED_WITHIN: f64 = 0.05;

/// Figures of the requests sent within one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// Start of the window in seconds.
    pub at_s: f64,
    /// Requests sent.
    pub sent: u64,
    /// Prompt tokens of whole answers.
    pub prompt_tokens: u64,
    /// Those of them that came from a prefix cache.
    pub cached_tokens: u64,
    /// Worth of the answers in time.
    pub worth: f64,
    /// Worth of all requests.
    pub offered_worth: f64,
    /// Time to first token.
    pub first_token: Latency,
}

impl Point {
    fn of(at_s: f64, samples: &[&Sample]) -> Point {
        let mut point = Point {
            at_s,
            sent: samples.len() as u64,
            first_token: Latency::of(samples.iter().filter_map(|s| s.first_token)),
            ..Point::default()
        };
        for sample in samples {
            point.offered_worth += sample.load.worth;
            if sample.is_in_time() {
                point.worth += sample.load.worth;
            }
            if let Outcome::Answered { usage: Some(usage) } = &sample.outcome {
                point.prompt_tokens += usage.prompt_tokens;
                point.cached_tokens += usage.cached_tokens;
            }
        }
        point
    }

    /// Returns the share of prompt tokens that came from a prefix cache.
    pub fn hit_rate(&self) -> f64 {
        match self.prompt_tokens {
            0 => 0.0,
            tokens => self.cached_tokens as f64 / tokens as f64,
        }
    }
}

/// Returns one point for each window of a run, by the planned sending of the requests.
pub fn series(samples: &[Sample], window: Duration, duration: Duration) -> Vec<Point> {
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
        .map(|(index, samples)| Point::of(index as f64 * window.as_secs_f64(), samples))
        .collect()
}

/// Effect of a fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Recovery {
    /// Start of the fault in seconds.
    pub fault_at_s: f64,
    /// Loss of hit rate at its lowest smoothed point, as a share of the usual hit rate.
    pub hit_rate_dip: f64,
    /// Time from the start of the fault until the smoothed hit rate is, after its lowest point,
    /// within 5% of the usual one; absent if that does not happen within the run.
    pub hit_rate_back_s: Option<f64>,
    /// Highest smoothed 95th percentile of the time to first token as a multiple of the usual one.
    pub tail_rise: f64,
    /// The same as `hit_rate_back_s` for the 95th percentile of the time to first token.
    pub tail_back_s: Option<f64>,
}

impl Recovery {
    /// Compares `points` with `usual`, point by point.
    ///
    /// `usual` is a run with the same arrivals and without the fault, so that the differences of
    /// the arrivals from point to point cancel out.
    pub fn of(points: &[Point], usual: &[Point], fault_at_s: f64) -> Recovery {
        let after = points
            .iter()
            .zip(usual)
            .filter(|(point, _)| point.at_s >= fault_at_s);
        let (points, usual): (Vec<Point>, Vec<Point>) = after.unzip();
        let hits = ratios(&points, &usual, Point::hit_rate);
        let tails = ratios(&points, &usual, |point| point.first_token.p95_ms);
        let lowest = hits.iter().map(|(_, ratio)| *ratio).fold(1.0, f64::min);
        Recovery {
            fault_at_s,
            hit_rate_dip: 1.0 - lowest,
            hit_rate_back_s: back_s(&hits, fault_at_s, |ratio| 1.0 - ratio),
            tail_rise: tails.iter().map(|(_, ratio)| *ratio).fold(1.0, f64::max),
            tail_back_s: back_s(&tails, fault_at_s, |ratio| ratio - 1.0),
        }
    }
}

/// Returns the time from the fault to the first usual point after the worst one.
fn back_s(values: &[(f64, f64)], fault_at_s: f64, distance: fn(f64) -> f64) -> Option<f64> {
    let distances: Vec<f64> = values.iter().map(|(_, ratio)| distance(*ratio)).collect();
    let worst = (0..distances.len()).max_by(|a, b| distances[*a].total_cmp(&distances[*b]))?;
    if distances[worst] <= RECOVERED_WITHIN {
        return Some(0.0);
    }
    let back = (worst..distances.len()).find(|index| distances[*index] <= RECOVERED_WITHIN)?;
    Some(values[back].0 - fault_at_s)
}

/// Returns start and ratio of the means of each group of [`SMOOTH_POINTS`] points.
fn ratios(points: &[Point], usual: &[Point], figure: impl Fn(&Point) -> f64) -> Vec<(f64, f64)> {
    let mean = |points: &[Point]| points.iter().map(&figure).sum::<f64>() / points.len() as f64;
    let groups = points
        .windows(SMOOTH_POINTS)
        .zip(usual.windows(SMOOTH_POINTS));
    groups
        .filter(|(_, usual)| mean(usual) > 0.0)
        .map(|(points, usual)| (points[0].at_s, mean(points) / mean(usual)))
        .collect()
}
