//! Bounded table of frequently used prefixes.

use dw_base::Fingerprint;
use dw_base::TimeMs;

/// Capacity of the table.
pub(crate) const MAX_PREFIXES: usize = 4_096;

/// Associativity: a new prefix replaces the one with the least heat among this many slots.
const SLOTS_PER_SET: usize = 8;

/// Maximum number of upstreams recorded as holding one prefix.
pub(crate) const MAX_HINTS: usize = 8;

/// Time constant of the decay of heat.
///
/// A router receives only one or two requests per second for a prefix. With 10 s, the widths of
/// different routers oscillated independently of each other.
const DECAY_MS: f64 = 30_000.0;

/// Resolution of hint ages; a 16-bit tick counter covers 70 minutes.
const TICK_MS: u64 = 64;

/// Time without use after which a prefix expires; shorter than the wrap-around of the tick counter.
const EXPIRY_MS: u32 = 30 * 60 * 1_000;

/// Utilisation of a home set above which it widens.
const WIDEN_UTILISATION: f64 = 0.7;

/// Utilisation of a home set below which it narrows.
const NARROW_UTILISATION: f64 = 0.35;

/// Time of low utilisation after which a home set narrows.
const NARROW_AFTER_S: u8 = 5;

/// Minimum time between two widenings of a home set. A new home misses at first, which looks like
/// more work: without the pause a set under load grew to the whole fleet within a second.
const WIDEN_AFTER_S: u8 = 2;

/// Marks an unused hint.
const NO_UPSTREAM: u16 = u16::MAX;

/// Recent work (heat), home set width and warm hints of one prefix, in 64 bytes.
///
/// A warm hint names an upstream that probably holds the prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prefix {
    key: Fingerprint,
    heat_tokens: f32,
    /// Part of the heat that was inherited from the replaced prefix.
    error_tokens: f32,
    updated_ms: u32,
    /// Width of the home set; 0 stands for the initial width.
    pub(crate) width: u8,
    /// Low byte of the time in seconds at which low utilisation began or the home set last widened.
    since_s: u8,
    hint_upstreams: [u16; MAX_HINTS],
    hint_ticks: [u16; MAX_HINTS],
}

impl Prefix {
    fn new(key: Fingerprint, inherited_tokens: f32, now: TimeMs) -> Self {
        Prefix {
            key,
            heat_tokens: inherited_tokens,
            error_tokens: inherited_tokens,
            updated_ms: now.0 as u32,
            width: 0,
            since_s: seconds(now),
            hint_upstreams: [NO_UPSTREAM; MAX_HINTS],
            hint_ticks: [0; MAX_HINTS],
        }
    }

    fn age_ms(&self, now: TimeMs) -> u32 {
        (now.0 as u32).wrapping_sub(self.updated_ms)
    }

    fn decay(&self, now: TimeMs) -> f32 {
        (-f64::from(self.age_ms(now)) / DECAY_MS).exp() as f32
    }

    /// Returns the rate of arriving work, without heat inherited from the replaced prefix.
    pub(crate) fn work_tokens_per_s(&self, now: TimeMs) -> f64 {
        let certain = (self.heat_tokens - self.error_tokens) * self.decay(now);
        f64::from(certain) * 1_000.0 / DECAY_MS
    }

    /// Adapts the width of the home set, currently `width`, to its utilisation.
    pub(crate) fn adapt(&mut self, width: usize, utilisation: f64, min_width: usize, now: TimeMs) {
        let unchanged_s = seconds(now).wrapping_sub(self.since_s);
        let width = width.min(usize::from(u8::MAX)) as u8;
        if utilisation > WIDEN_UTILISATION {
            if unchanged_s >= WIDEN_AFTER_S {
                self.width = width.saturating_add(1);
                self.since_s = seconds(now);
            }
        } else if utilisation >= NARROW_UTILISATION {
            // Allows widening at once, and restarts the period of low utilisation.
            self.since_s = seconds(now).wrapping_sub(WIDEN_AFTER_S);
        } else if unchanged_s >= NARROW_AFTER_S + WIDEN_AFTER_S {
            self.width = width.saturating_sub(1).max(min_width as u8).min(width);
            self.since_s = seconds(now).wrapping_sub(WIDEN_AFTER_S);
        }
    }

    /// Returns the time since the prefix was last used on an upstream, if there is a hint.
    pub(crate) fn hint_age_ms(&self, upstream: u16, now: TimeMs) -> Option<u64> {
        let at = self.hint_upstreams.iter().position(|u| *u == upstream)?;
        Some(u64::from(tick(now).wrapping_sub(self.hint_ticks[at])) * TICK_MS)
    }

    /// Records that an upstream holds the prefix; replaces the oldest hint if necessary.
    pub(crate) fn record_hint(&mut self, upstream: u16, now: TimeMs) {
        let same = self.hint_upstreams.iter().position(|u| *u == upstream);
        let oldest = || {
            (0..MAX_HINTS).max_by_key(|i| match self.hint_upstreams[*i] {
                NO_UPSTREAM => u32::MAX,
                _ => u32::from(tick(now).wrapping_sub(self.hint_ticks[*i])),
            })
        };
        if let Some(at) = same.or_else(oldest) {
            self.hint_upstreams[at] = upstream;
            self.hint_ticks[at] = tick(now);
        }
    }

    /// Removes the hint that an upstream holds the prefix.
    pub(crate) fn clear_hints(&mut self, upstream: u16) {
        for held in &mut self.hint_upstreams {
            if *held == upstream {
                *held = NO_UPSTREAM;
            }
        }
    }
}

/// Returns the low byte of the time in seconds, which is enough for short differences.
fn seconds(now: TimeMs) -> u8 {
    (now.0 / 1_000) as u8
}

fn tick(now: TimeMs) -> u16 {
    (now.0 / TICK_MS) as u16
}

/// Space-saving sketch of prefixes: a new prefix takes over the slot and the heat of the one with the
/// least heat.
///
/// The table is set-associative with 8 slots per set, so it needs no index and its size is exactly
/// 4,096 × 64 bytes.
#[derive(Debug)]
pub(crate) struct HeatSketch {
    slots: Vec<Prefix>,
}

impl HeatSketch {
    /// Creates an empty table.
    pub(crate) fn new() -> Self {
        HeatSketch {
            slots: vec![Prefix::new(0, 0.0, TimeMs(0)); MAX_PREFIXES],
        }
    }

    /// Returns the size of the table.
    pub(crate) fn size_bytes(&self) -> usize {
        self.slots.len() * size_of::<Prefix>()
    }

    fn set_start(&self, key: Fingerprint) -> usize {
        (key as usize % (MAX_PREFIXES / SLOTS_PER_SET)) * SLOTS_PER_SET
    }

    /// Returns a prefix if it is in the table and has not expired.
    pub(crate) fn get(&self, key: Fingerprint, now: TimeMs) -> Option<&Prefix> {
        let start = self.set_start(key);
        self.slots[start..start + SLOTS_PER_SET]
            .iter()
            .find(|slot| slot.key == key && slot.age_ms(now) < EXPIRY_MS)
    }

    /// Adds work to a prefix, which is inserted if necessary, and returns the prefix.
    pub(crate) fn add(&mut self, key: Fingerprint, tokens: f64, now: TimeMs) -> &mut Prefix {
        let start = self.set_start(key);
        let set = &mut self.slots[start..start + SLOTS_PER_SET];
        let known = set.iter().position(|slot| slot.key == key);
        let at = known.unwrap_or_else(|| {
            let heat = |i: &usize| set[*i].heat_tokens * set[*i].decay(now);
            (0..SLOTS_PER_SET)
                .min_by(|a, b| heat(a).total_cmp(&heat(b)))
                .unwrap_or_default()
        });
        let slot = &mut set[at];
        let decay = slot.decay(now);
        if known.is_none() || slot.age_ms(now) >= EXPIRY_MS {
            *slot = Prefix::new(key, slot.heat_tokens * decay, now);
        } else {
            slot.heat_tokens *= decay;
            slot.error_tokens *= decay;
            slot.updated_ms = now.0 as u32;
        }
        slot.heat_tokens += tokens as f32;
        slot
    }

    /// Removes all hints for an upstream.
    pub(crate) fn clear_hints(&mut self, upstream: u16) {
        for slot in &mut self.slots {
            slot.clear_hints(upstream);
        }
    }
}
