//! Memory that requests hold in this process.
//!
//! [`dw_admit::Held`] decides; a [`Reservation`] returns what it holds when it is dropped.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dw_admit::Held;
use dw_admit::HeldClaim;
use dw_admit::NoRoom;
use dw_base::Bytes;
use dw_route::Organisation;

/// Account of the memory that all requests hold.
pub(crate) type HeldMemory = Rc<RefCell<Held>>;

/// Memory that one request or one answer holds.
pub(crate) struct Reservation {
    account: HeldMemory,
    organisation: Option<Arc<Organisation>>,
    bytes: u64,
}

impl Reservation {
    /// Creates an empty reservation for a request of an organisation.
    pub(crate) fn new(account: &HeldMemory, organisation: Option<&Arc<Organisation>>) -> Self {
        Reservation {
            account: account.clone(),
            organisation: organisation.cloned(),
            bytes: 0,
        }
    }

    /// Reserves memory for a request with this priority that was not read yet.
    pub(crate) fn take(&mut self, bytes: u64, priority: u8) -> Result<(), NoRoom> {
        let claim = HeldClaim {
            org: self.organisation.as_ref().map(|org| &org.org),
            bytes: Bytes(bytes),
            priority,
        };
        self.account.borrow_mut().take(&claim)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves more memory.
    pub(crate) fn grow(&mut self, bytes: u64) -> Result<(), NoRoom> {
        let claim = HeldClaim {
            org: self.organisation.as_ref().map(|org| &org.org),
            bytes: Bytes(bytes),
            priority: 0,
        };
        self.account.borrow_mut().grow(&claim)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Returns a part of the memory.
    pub(crate) fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let org = self.organisation.as_ref().map(|org| &org.org);
        self.account.borrow_mut().release(org, Bytes(bytes));
    }

    /// Returns how much is reserved.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.shrink(self.bytes);
        }
    }
}
