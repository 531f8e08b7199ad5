//! Budgets of memory: each bounds the sum of what many clients and engines can make the router hold at a time. A budget
//! counts the bytes that its reservations state; it allocates nothing itself.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on the sum of the reservations that exist at a time.
#[derive(Debug)]
pub struct MemoryBudget {
    /// The limit, in bytes.
    limit: usize,
    /// The sum of the reservations, in bytes.
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// A budget of this many bytes, of which nothing is reserved.
    pub fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { limit, reserved: Cell::new(0) })
    }

    /// The limit, in bytes.
    #[cfg(test)]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The sum of the reservations, in bytes. It is above the limit while [`Reservation::force_resize`] has made it so.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Whether less than half of the limit is reserved.
    pub fn is_half_free(&self) -> bool {
        self.reserved() < self.limit / 2
    }

    /// Reserves this many bytes. `None` if they do not fit within the limit beside the other reservations.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation::in_budget(self);
        reservation.try_resize(bytes).then_some(reservation)
    }
}

/// Bytes that are reserved in a budget. They are released when the reservation is dropped. The default belongs to no
/// budget, and so has no limit.
#[derive(Debug, Default)]
pub struct Reservation {
    budget: Option<Rc<MemoryBudget>>,
    bytes: usize,
}

impl Reservation {
    /// An empty reservation in a budget.
    pub fn in_budget(budget: &Rc<MemoryBudget>) -> Reservation {
        Reservation { budget: Some(budget.clone()), bytes: 0 }
    }

    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the reservation can have this many bytes: no more than now, or within the limit beside the others.
    pub fn fits(&self, bytes: usize) -> bool {
        self.budget.as_ref().is_none_or(|budget| {
            bytes <= self.bytes || budget.reserved() - self.bytes + bytes <= budget.limit
        })
    }

    /// Changes the number of reserved bytes. Returns false, and changes nothing, if they do not fit.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let fits = self.fits(bytes);
        if fits {
            self.force_resize(bytes);
        }
        fits
    }

    /// Changes the number of reserved bytes even if that exceeds the limit. Other reservations then find no room until
    /// the sum is within the limit again.
    pub fn force_resize(&mut self, bytes: usize) {
        if let Some(budget) = &self.budget {
            budget.reserved.set(budget.reserved() - self.bytes + bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.force_resize(0);
    }
}

#[cfg(test)]
#[path = "memory_budget/tests.rs"]
mod tests;
