//! Account of the memory that a router holds for slow callers and upstreams.
//!
//! Load pattern: callers send bodies of up to some megabytes to a router with little memory, or read
//! their answers slowly, while others keep to small requests. Without a bound the process exceeds its
//! memory and is killed, and all of its requests are lost. While at least half of the memory is free,
//! nothing is refused except what exceeds the part of one organisation. Above, the largest and the least
//! urgent requests are refused first.

use std::collections::HashMap;

use dw_base::Bytes;
use dw_base::OrgId;

/// The process holds at most its memory divided by this. The rest is for the program, the buffers of
/// the connections, and bytes that the kernel counts before they are read.
const PROCESS_DIVISOR: u64 = 4;

/// One organisation holds at most the bound of the process divided by this.
const ORGANISATION_DIVISOR: u64 = 2;

/// Maximum for the answer of one connection: three times an answer of usual length, which is below 20 KB.
const ANSWER_BYTES: u64 = 65_536;

/// From a used part of the bound of one divided by this, large and less urgent requests are refused.
const SCARCE_DIVISOR: u64 = 2;

/// While memory is scarce, a request may take the room that is left divided by this.
const LARGE_DIVISOR: u64 = 4;

/// While memory is scarce, each level of priority below the highest leaves this part of the bound free.
const ROOM_PER_PRIORITY: f64 = 0.05;

/// Lowest priority level that is told apart.
const MAX_PRIORITY: u8 = 9;

/// Bounds of the memory that a router holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldBounds {
    /// For the answer of one connection.
    pub answer: Bytes,
    /// For one organisation.
    pub organisation: Bytes,
    /// For the whole process.
    pub process: Bytes,
}

impl HeldBounds {
    /// Returns the bounds for a process with this memory.
    pub fn new(memory: Bytes) -> Self {
        let process = memory.0 / PROCESS_DIVISOR;
        let organisation = process / ORGANISATION_DIVISOR;
        HeldBounds {
            answer: Bytes(ANSWER_BYTES.min(organisation)),
            organisation: Bytes(organisation),
            process: Bytes(process),
        }
    }
}

/// Bound that leaves no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoom {
    /// That of the organisation.
    Organisation,
    /// That of the process.
    Process,
}

impl NoRoom {
    /// Returns the label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            NoRoom::Organisation => "organisation_memory",
            NoRoom::Process => "process_memory",
        }
    }
}

/// Memory that a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct HeldClaim<'a> {
    /// Organisation of the caller, if it is known.
    pub org: Option<&'a OrgId>,
    /// Bytes that it adds to what is held.
    pub bytes: Bytes,
    /// Priority; 0 is the highest.
    pub priority: u8,
}

/// Memory that is held, by organisation.
#[derive(Clone, Debug)]
pub struct Held {
    bounds: HeldBounds,
    total: u64,
    organisations: HashMap<OrgId, u64>,
}

impl Held {
    /// Creates an account in which nothing is held.
    pub fn new(bounds: HeldBounds) -> Self {
        Held {
            bounds,
            total: 0,
            organisations: HashMap::new(),
        }
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> &HeldBounds {
        &self.bounds
    }

    /// Replaces the bounds; what is held stays.
    pub fn set_bounds(&mut self, bounds: HeldBounds) {
        self.bounds = bounds;
    }

    /// Returns how much is held.
    pub fn total(&self) -> Bytes {
        Bytes(self.total)
    }

    /// Adds the memory of a request that is about to be read.
    ///
    /// # Errors
    ///
    /// Returns the bound that leaves no room; nothing is added then.
    pub fn take(&mut self, claim: &HeldClaim<'_>) -> Result<(), NoRoom> {
        self.check_organisation(claim)?;
        let room = self.room(claim.priority);
        let is_scarce = self.total >= self.bounds.process.0 / SCARCE_DIVISOR;
        let largest = if is_scarce {
            room / LARGE_DIVISOR
        } else {
            room
        };
        if claim.bytes.0 > largest {
            return Err(NoRoom::Process);
        }
        self.add(claim);
        Ok(())
    }

    /// Adds memory for a request that is partly held already, of any priority and size.
    ///
    /// # Errors
    ///
    /// Returns the bound that leaves no room; nothing is added then.
    pub fn grow(&mut self, claim: &HeldClaim<'_>) -> Result<(), NoRoom> {
        self.check_organisation(claim)?;
        if claim.bytes.0 > self.bounds.process.0.saturating_sub(self.total) {
            return Err(NoRoom::Process);
        }
        self.add(claim);
        Ok(())
    }

    /// Removes memory that is held no longer.
    pub fn release(&mut self, org: Option<&OrgId>, bytes: Bytes) {
        self.total = self.total.saturating_sub(bytes.0);
        let Some(org) = org else {
            return;
        };
        if let Some(held) = self.organisations.get_mut(org) {
            *held = held.saturating_sub(bytes.0);
            if *held == 0 {
                self.organisations.remove(org);
            }
        }
    }

    fn check_organisation(&self, claim: &HeldClaim<'_>) -> Result<(), NoRoom> {
        let held = claim.org.and_then(|org| self.organisations.get(org));
        let room = self.bounds.organisation.0;
        let room = room.saturating_sub(held.copied().unwrap_or_default());
        match claim.org.is_some() && claim.bytes.0 > room {
            true => Err(NoRoom::Organisation),
            false => Ok(()),
        }
    }

    /// Returns the room that is left to requests with this priority.
    fn room(&self, priority: u8) -> u64 {
        let kept = f64::from(priority.min(MAX_PRIORITY)) * ROOM_PER_PRIORITY;
        let bound = self.bounds.process.0 as f64 * (1.0 - kept);
        (bound as u64).saturating_sub(self.total)
    }

    fn add(&mut self, claim: &HeldClaim<'_>) {
        if claim.bytes.0 == 0 {
            return;
        }
        self.total += claim.bytes.0;
        if let Some(org) = claim.org {
            match self.organisations.get_mut(org) {
                Some(held) => *held += claim.bytes.0,
                None => {
                    self.organisations.insert(org.clone(), claim.bytes.0);
                }
            }
        }
    }
}
