//! Times at which requests may be sent to endpoints that state a limit, given out one by one so that
//! all gateways together keep to it.
//!
//! The holder of an endpoint's slots runs the generic cell rate algorithm with a burst of one request. It
//! keeps nothing but the time of the next slot, so a holder that takes over starts with the next interval.

use crate::request::RequestRate;
use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Longest time between two slots, so that an endpoint that states a limit of 0 is asked again.
pub const SLOT_INTERVAL_MAX: Duration = Duration::from_secs(10);
/// Longest time ahead for which a slot is given out. A holder that starts anew does not know the slots
/// that were given out ahead, so they must be few.
pub const SLOT_WAIT_MAX: Duration = Duration::from_secs(1);
/// Largest number of endpoints whose slots one process gives out; beyond it the one that was used the
/// longest ago is dropped.
pub const LIMITED_ENDPOINTS_MAX: usize = 1_024;

/// Answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Slot {
    /// The request may be sent after this time, in milliseconds.
    Granted {
        /// Time until the slot.
        wait_ms: u64,
    },
    /// The next slot comes later than the request can wait.
    Denied {
        /// Time until the next slot.
        wait_ms: u64,
    },
}

/// Slots by endpoint.
#[derive(Clone, Debug, Default)]
pub struct SendSlots {
    endpoints: BTreeMap<EndpointId, EndpointSlots>,
}

#[derive(Clone, Copy, Debug)]
struct EndpointSlots {
    /// Time of the last slot that was given out, possibly ahead.
    last_at: Duration,
    interval: Duration,
    asked_at: Duration,
}

impl SendSlots {
    /// Takes the next slot at an endpoint with this limit if it comes within `wait_max`.
    pub fn take(
        &mut self,
        endpoint: &str,
        rate: RequestRate,
        wait_max: Duration,
        now: Duration,
    ) -> Slot {
        let interval = rate.interval(SLOT_INTERVAL_MAX);
        self.begin(endpoint, interval, now, now);
        let Some(slots) = self.endpoints.get_mut(endpoint) else {
            return Slot::Denied { wait_ms: u64::MAX };
        };
        slots.asked_at = now;
        slots.set_interval(interval, now);
        let slot_at = (slots.last_at + interval).max(now);
        let wait = slot_at - now;
        // Rounded up, as a request that is sent early would exceed the limit.
        let wait_ms = u64::try_from(wait.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
        if wait > wait_max.min(SLOT_WAIT_MAX) {
            return Slot::Denied { wait_ms };
        }
        slots.last_at = slot_at;
        Slot::Granted { wait_ms }
    }

    /// Begins to give out the slots of an endpoint, as if the last one had been at `last_at`, unless it
    /// has begun.
    pub fn begin(&mut self, endpoint: &str, interval: Duration, last_at: Duration, now: Duration) {
        if self.endpoints.contains_key(endpoint) {
            return;
        }
        self.make_room();
        let slots = EndpointSlots {
            last_at,
            interval,
            asked_at: now,
        };
        self.endpoints.insert(endpoint.to_owned(), slots);
    }

    /// Number of endpoints with slots.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no slot has been asked for.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn make_room(&mut self) {
        if self.endpoints.len() < LIMITED_ENDPOINTS_MAX {
            return;
        }
        let oldest = self
            .endpoints
            .iter()
            .min_by_key(|(_, slots)| slots.asked_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.endpoints.remove(&id);
        }
    }
}

impl EndpointSlots {
    /// Changes the interval, and moves the slots that were given out ahead accordingly.
    fn set_interval(&mut self, interval: Duration, now: Duration) {
        let before = std::mem::replace(&mut self.interval, interval);
        let ahead = self.last_at.saturating_sub(now);
        if before == interval || before.is_zero() || ahead.is_zero() {
            return;
        }
        let slots_ahead = ahead.as_secs_f64() / before.as_secs_f64();
        let ahead_max = SLOT_WAIT_MAX.as_secs_f64();
        let ahead = (interval.as_secs_f64() * slots_ahead).min(ahead_max);
        self.last_at = now + Duration::from_secs_f64(ahead);
    }
}
