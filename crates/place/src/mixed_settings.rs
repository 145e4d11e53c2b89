//! Settings of placement at services that get prompts with different aims.

use bon::Builder;

/// Settings of placement at services that get prompts with different aims.
#[derive(Builder, Clone, Debug)]
pub struct MixedSettings {
    /// Number of engines that a prompt is compared for, besides its homes. Among a few, routers with
    /// the same late sums seldom choose the same one.
    #[builder(default = 8.0)]
    pub compared_engines: f64,
    /// Part of the latency objective that the engines take on average for a prompt that counts as
    /// oversize: it is late at most of them, even without a queue.
    #[builder(default = 1.0)]
    pub oversize_part: f64,
    /// Mean backlog of the engines, as a part of the objective, from which on oversize prompts share a few.
    /// With less, they hold up hardly any other prompt, and a queue of their own would only delay them.
    #[builder(default = 0.1)]
    pub crowded_part: f64,
    /// Wait at an engine, as a multiple of the objective, from which on oversize prompts go to the next
    /// one. Callers give up after some four objectives, and expected waits are exceeded.
    #[builder(default = 2.0)]
    pub oversize_wait_part: f64,
}
