//! Shares of a process's memory budget: who gets one, and who gives way.

use radishpin_protocol::prelude::*;

/// Requests with bodies up to this size are ordinary ones, for which a part of the budget is reserved, in bytes.
pub const ORDINARY_BODY_BYTES: usize = 64 * 1024;
/// Time without progress after which a body gives way to another one. A caller that sends or reads at all makes
/// progress several times within it.
pub const GIVES_WAY_AFTER: Duration = Duration::from_secs(1);
/// Part of a host's memory for everything but bodies, in MB: a gateway in use needs about 25, and its connections
/// the rest.
const BASE_MEMORY_MB: usize = 40;
/// Smallest budget, in bytes, where the host has hardly more than the base.
const BUDGET_BYTES_MIN: usize = 4 * 1024 * 1024;
/// Parts of what remains that are not budgeted: allocators keep freed memory, and the kernel buffers bytes that
/// have not been read.
const REMAINDER_DIVISOR: usize = 2;
/// Divisors of the budget that give the reserved parts.
const ORDINARY_DIVISOR: usize = 8;
const RESPONSE_DIVISOR: usize = 4;

/// Sizes of a memory budget, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All shares together.
    pub budget: usize,
    /// Part of it that large request bodies leave to ordinary requests.
    pub ordinary_reserve: usize,
    /// Part of it that request bodies leave to responses, so that requests which have run can end.
    pub response_reserve: usize,
    /// Largest share of a request that is the only large one.
    pub alone_max: usize,
}

impl MemoryLimits {
    /// Nothing is rejected.
    pub const UNLIMITED: Self = Self {
        budget: usize::MAX,
        ordinary_reserve: 0,
        response_reserve: 0,
        alone_max: usize::MAX,
    };

    /// Derives the budget from the memory of the host; `None` sets no limit.
    pub fn of_host(memory_mb: Option<usize>) -> Self {
        let Some(memory_mb) = memory_mb else {
            return Self::UNLIMITED;
        };
        let remainder = memory_mb
            .saturating_sub(BASE_MEMORY_MB)
            .saturating_mul(1_000_000);
        Self::of_budget(
            remainder / REMAINDER_DIVISOR,
            remainder.max(BUDGET_BYTES_MIN),
        )
    }

    /// Divides a budget of this size; `alone_max` applies to a request that is the only large one.
    pub fn of_budget(bytes: usize, alone_max: usize) -> Self {
        let budget = bytes.max(BUDGET_BYTES_MIN);
        Self {
            budget,
            ordinary_reserve: budget / ORDINARY_DIVISOR,
            response_reserve: budget / RESPONSE_DIVISOR,
            alone_max: alone_max.max(budget),
        }
    }
}

/// What a share is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// The body of a request.
    Request,
    /// The body of a response.
    Response,
}

/// Number of a share within its process.
pub type ShareId = u64;

#[derive(Clone, Copy, Debug)]
struct Share {
    used_for: MemoryUse,
    bytes: usize,
    /// When it last made progress; `None` if it does not give way.
    progress_at: Option<Duration>,
}

impl Share {
    fn is_large(&self) -> bool {
        self.bytes > ORDINARY_BODY_BYTES
    }
}

/// The budget does not have as many bytes left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExceeded;

/// The shares of a memory budget that are in use.
#[derive(Debug)]
pub struct MemoryShares {
    limits: MemoryLimits,
    used: usize,
    next_id: ShareId,
    shares: BTreeMap<ShareId, Share>,
}

impl MemoryShares {
    /// Creates an unused budget.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            used: 0,
            next_id: 0,
            shares: BTreeMap::new(),
        }
    }

    /// Bytes of all shares together.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Opens a share of this size, which does not give way. Returns it with the shares that give way to it: these
    /// have been closed.
    ///
    /// # Errors
    /// There is no room, even if all bodies that have stalled give way.
    pub fn open(
        &mut self,
        used_for: MemoryUse,
        bytes: usize,
        now: Duration,
    ) -> Result<(ShareId, Vec<ShareId>), BudgetExceeded> {
        let id = self.next_id;
        let closed = self.make_room(None, used_for, bytes, now)?;
        self.next_id += 1;
        self.used += bytes;
        let share = Share {
            used_for,
            bytes,
            progress_at: None,
        };
        self.shares.insert(id, share);
        Ok((id, closed))
    }

    /// Adds bytes to a share, and returns the shares that give way, which have been closed.
    ///
    /// # Errors
    /// There is no room, even if all bodies that have stalled give way, or the share has been closed.
    pub fn grow(
        &mut self,
        id: ShareId,
        bytes: usize,
        now: Duration,
    ) -> Result<Vec<ShareId>, BudgetExceeded> {
        let share = *self.shares.get(&id).ok_or(BudgetExceeded)?;
        let closed = self.make_room(Some(id), share.used_for, bytes, now)?;
        if let Some(share) = self.shares.get_mut(&id) {
            share.bytes += bytes;
            self.used += bytes;
        }
        Ok(closed)
    }

    /// Takes bytes from a share.
    pub fn shrink(&mut self, id: ShareId, bytes: usize) {
        if let Some(share) = self.shares.get_mut(&id) {
            let bytes = bytes.min(share.bytes);
            share.bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Records progress of a body that is being received or sent. From now on it gives way when it stalls.
    pub fn record_progress(&mut self, id: ShareId, now: Duration) {
        if let Some(share) = self.shares.get_mut(&id) {
            share.progress_at = Some(now);
        }
    }

    /// Keeps a share from giving way, as its request may be sent.
    pub fn keep(&mut self, id: ShareId) {
        if let Some(share) = self.shares.get_mut(&id) {
            share.progress_at = None;
        }
    }

    /// Closes a share; closed ones stay closed.
    pub fn close(&mut self, id: ShareId) {
        if let Some(share) = self.shares.remove(&id) {
            self.used -= share.bytes;
        }
    }

    /// Closes shares that have stalled, the longest stalled first, until as many bytes are free.
    fn make_room(
        &mut self,
        id: Option<ShareId>,
        used_for: MemoryUse,
        bytes: usize,
        now: Duration,
    ) -> Result<Vec<ShareId>, BudgetExceeded> {
        let mut freed = 0;
        let mut closed = Vec::new();
        if self.has_room(id, used_for, bytes, freed, &closed) {
            return Ok(closed);
        }
        for (candidate, share) in self.stalled(id, now) {
            freed += share.bytes;
            closed.push(candidate);
            if self.has_room(id, used_for, bytes, freed, &closed) {
                for id in &closed {
                    self.close(*id);
                }
                return Ok(closed);
            }
        }
        Err(BudgetExceeded)
    }

    /// The shares that may give way, longest stalled first.
    fn stalled(&self, except: Option<ShareId>, now: Duration) -> Vec<(ShareId, Share)> {
        let is_stalled = |(id, share): &(&ShareId, &Share)| {
            let stalled_for = share.progress_at.map(|at| now.saturating_sub(at));
            Some(**id) != except && stalled_for.is_some_and(|time| time >= GIVES_WAY_AFTER)
        };
        let stalled = self.shares.iter().filter(is_stalled);
        let mut stalled: Vec<_> = stalled.map(|(id, share)| (*id, *share)).collect();
        stalled.sort_by_key(|(_, share)| share.progress_at);
        stalled
    }

    fn has_room(
        &self,
        id: Option<ShareId>,
        used_for: MemoryUse,
        bytes: usize,
        freed: usize,
        closed: &[ShareId],
    ) -> bool {
        let own = id.and_then(|id| self.shares.get(&id));
        let own_bytes = own.map_or(0, |share| share.bytes).saturating_add(bytes);
        let limits = &self.limits;
        let limit = match used_for {
            MemoryUse::Response => limits.budget,
            MemoryUse::Request if own_bytes <= ORDINARY_BODY_BYTES => {
                limits.budget - limits.response_reserve
            }
            MemoryUse::Request => limits.budget - limits.response_reserve - limits.ordinary_reserve,
        };
        let used = (self.used - freed).saturating_add(bytes);
        if used <= limit {
            return true;
        }
        let others = self.shares.iter();
        let others = others.filter(|(other, _)| Some(**other) != id && !closed.contains(other));
        let (large, ordinary): (Vec<&Share>, Vec<&Share>) =
            others.map(|(_, share)| share).partition(|s| s.is_large());
        // The body of the request that a response belongs to may be kept for a retry.
        let large_max = match used_for {
            MemoryUse::Request => 0,
            MemoryUse::Response => 1,
        };
        // Many ordinary requests are a load, too.
        let ordinary_bytes: usize = ordinary.iter().map(|share| share.bytes).sum();
        used <= limits.alone_max
            && large.len() <= large_max
            && ordinary_bytes <= limits.ordinary_reserve
    }
}
