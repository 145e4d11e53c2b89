//! Bounded table of hot prefixes.

use dw_base::Fingerprint;
use dw_base::TimeMs;

/// Prefixes kept in the table.
pub(crate) const PREFIXES: usize = 4_096;

/// Slots among which a new prefix replaces the coldest one.
const WAYS: usize = 8;

/// Upstreams remembered for one prefix.
pub(crate) const WARM_SLOTS: usize = 8;

/// Time constant of the decay of heat.
///
/// A router sees one or two requests a second of a prefix; with 10 s the widths of different
/// routers flapped independently.
const DECAY_MS: f64 = 30_000.0;

/// Length of one tick of the hint clock; 16 bits of it cover 70 minutes.
const TICK_MS: u64 = 64;

/// A prefix that was not used for this long is forgotten, before its tick counter wraps.
const FORGET_MS: u32 = 30 * 60 * 1_000;

/// Utilisation of a home set above which it widens.
const WIDEN_UTILISATION: f64 = 0.7;

/// Utilisation of a home set below which it narrows.
const NARROW_UTILISATION: f64 = 0.35;

/// How long the utilisation must be low before the set narrows.
const NARROW_AFTER_S: u8 = 5;

/// How long a set keeps its width before it widens again. Every new home first misses, which looks
/// like more work; without the pause a set under load grew to the whole fleet within a second.
const WIDEN_AFTER_S: u8 = 2;

/// Marks an unused warm hint.
const NO_UPSTREAM: u16 = u16::MAX;

/// Heat, width and warm hints of one prefix: 64 bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prefix {
    key: Fingerprint,
    heat_tokens: f32,
    error_tokens: f32,
    touched_ms: u32,
    /// Width of the home set, 0 while it is the initial width.
    pub(crate) width: u8,
    /// Low byte of the second since which the home set has been nearly idle, or has widened.
    since_s: u8,
    warm_upstream: [u16; WARM_SLOTS],
    warm_tick: [u16; WARM_SLOTS],
}

impl Prefix {
    fn new(key: Fingerprint, inherited_tokens: f32, now: TimeMs) -> Self {
        Prefix {
            key,
            heat_tokens: inherited_tokens,
            error_tokens: inherited_tokens,
            touched_ms: now.0 as u32,
            width: 0,
            since_s: seconds(now),
            warm_upstream: [NO_UPSTREAM; WARM_SLOTS],
            warm_tick: [0; WARM_SLOTS],
        }
    }

    fn age_ms(&self, now: TimeMs) -> u32 {
        (now.0 as u32).wrapping_sub(self.touched_ms)
    }

    fn decay(&self, now: TimeMs) -> f32 {
        (-f64::from(self.age_ms(now)) / DECAY_MS).exp() as f32
    }

    /// Returns the arriving work, without what was inherited from a replaced prefix.
    pub(crate) fn work_tokens_per_s(&self, now: TimeMs) -> f64 {
        let certain = (self.heat_tokens - self.error_tokens) * self.decay(now);
        f64::from(certain) * 1_000.0 / DECAY_MS
    }

    /// Adapts the width of the home set, which is `width` now, to its utilisation.
    pub(crate) fn adapt(&mut self, width: usize, utilisation: f64, floor: usize, now: TimeMs) {
        let unchanged_s = seconds(now).wrapping_sub(self.since_s);
        let width = width.min(usize::from(u8::MAX)) as u8;
        if utilisation > WIDEN_UTILISATION {
            if unchanged_s >= WIDEN_AFTER_S {
                self.width = width.saturating_add(1);
                self.since_s = seconds(now);
            }
        } else if utilisation >= NARROW_UTILISATION {
            // Ready to widen at once, but the time of low utilisation starts again.
            self.since_s = seconds(now).wrapping_sub(WIDEN_AFTER_S);
        } else if unchanged_s >= NARROW_AFTER_S + WIDEN_AFTER_S {
            self.width = width.saturating_sub(1).max(floor as u8).min(width);
            self.since_s = seconds(now).wrapping_sub(WIDEN_AFTER_S);
        }
    }

    /// Returns the time since the prefix was last used on an upstream, if that is remembered.
    pub(crate) fn warm_age_ms(&self, upstream: u16, now: TimeMs) -> Option<u64> {
        let at = self.warm_upstream.iter().position(|u| *u == upstream)?;
        Some(u64::from(tick(now).wrapping_sub(self.warm_tick[at])) * TICK_MS)
    }

    /// Remembers that an upstream holds the prefix; the oldest hint gives way.
    pub(crate) fn warm(&mut self, upstream: u16, now: TimeMs) {
        let same = self.warm_upstream.iter().position(|u| *u == upstream);
        let oldest = || {
            (0..WARM_SLOTS).max_by_key(|i| match self.warm_upstream[*i] {
                NO_UPSTREAM => u32::MAX,
                _ => u32::from(tick(now).wrapping_sub(self.warm_tick[*i])),
            })
        };
        if let Some(at) = same.or_else(oldest) {
            self.warm_upstream[at] = upstream;
            self.warm_tick[at] = tick(now);
        }
    }

    /// Forgets that an upstream holds the prefix.
    pub(crate) fn cool(&mut self, upstream: u16) {
        for held in &mut self.warm_upstream {
            if *held == upstream {
                *held = NO_UPSTREAM;
            }
        }
    }
}

/// Returns the low byte of the number of seconds, for short differences.
fn seconds(now: TimeMs) -> u8 {
    (now.0 / 1_000) as u8
}

fn tick(now: TimeMs) -> u16 {
    (now.0 / TICK_MS) as u16
}

/// A space-saving sketch of prefixes: a new prefix takes the slot and the heat of a cold one.
///
/// The table is set-associative (8 slots a set), so it needs no index beside the slots and its
/// size is exactly 4,096 x 64 bytes.
#[derive(Debug)]
pub(crate) struct HeatSketch {
    slots: Vec<Prefix>,
}

impl HeatSketch {
    /// Creates an empty table.
    pub(crate) fn new() -> Self {
        HeatSketch {
            slots: vec![Prefix::new(0, 0.0, TimeMs(0)); PREFIXES],
        }
    }

    /// Returns the size of the table.
    pub(crate) fn size_bytes(&self) -> usize {
        self.slots.len() * size_of::<Prefix>()
    }

    fn set(&self, key: Fingerprint) -> usize {
        (key as usize % (PREFIXES / WAYS)) * WAYS
    }

    /// Returns a prefix if it is known.
    pub(crate) fn get(&self, key: Fingerprint, now: TimeMs) -> Option<&Prefix> {
        let start = self.set(key);
        self.slots[start..start + WAYS]
            .iter()
            .find(|slot| slot.key == key && slot.age_ms(now) < FORGET_MS)
    }

    /// Adds work to a prefix and returns it.
    pub(crate) fn add(&mut self, key: Fingerprint, tokens: f64, now: TimeMs) -> &mut Prefix {
        let start = self.set(key);
        let set = &mut self.slots[start..start + WAYS];
        let known = set.iter().position(|slot| slot.key == key);
        let at = known.unwrap_or_else(|| {
            let heat = |i: &usize| set[*i].heat_tokens * set[*i].decay(now);
            (0..WAYS)
                .min_by(|a, b| heat(a).total_cmp(&heat(b)))
                .unwrap_or_default()
        });
        let slot = &mut set[at];
        let decay = slot.decay(now);
        if known.is_none() || slot.age_ms(now) >= FORGET_MS {
            *slot = Prefix::new(key, slot.heat_tokens * decay, now);
        } else {
            slot.heat_tokens *= decay;
            slot.error_tokens *= decay;
            slot.touched_ms = now.0 as u32;
        }
        slot.heat_tokens += tokens as f32;
        slot
    }

    /// Forgets all hints about an upstream.
    pub(crate) fn cool(&mut self, upstream: u16) {
        for slot in &mut self.slots {
            slot.cool(upstream);
        }
    }
}
