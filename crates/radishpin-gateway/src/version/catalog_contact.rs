//! How lately the store was known to have no newer configuration.

use crate::process::boot_time;
use parking_lot::Mutex;
use radishpin_core::version::CatalogFreshness;
use radishpin_protocol::prelude::*;

/// Age up to which a key that is not known is taken to be unknown to the newest configuration too. Gateways
/// apply a configuration within 2 s of its acknowledgement; an older confirmation may have missed one that
/// callers already rely on. While the store answers, the age stays below two waits of the feed, 1 s each.
const IN_TOUCH_MAX: Duration = Duration::from_secs(2);

/// Records calls to the store's feed of the configuration.
#[derive(Debug)]
pub(crate) struct CatalogContact {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Latest time at which the store is known to have had no newer configuration.
    confirmed_at: Duration,
    /// Whether a call has failed since.
    failing: bool,
}

impl CatalogContact {
    /// Creates a record without any call.
    pub(crate) fn new() -> Self {
        let state = Mutex::new(State {
            confirmed_at: Duration::ZERO,
            failing: true,
        });
        Self { state }
    }

    /// Time to pass to [`Self::confirm`], taken when a call starts.
    pub(crate) fn call_starts(&self) -> Duration {
        boot_time()
    }

    /// Records that a call which started at `started_at` succeeded; the configuration that it brought is in
    /// force. `waited` is the time for which the store had waited in vain for changes, zero if it had some.
    ///
    /// The response may have been on its way for long, so the time at which it arrived proves nothing.
    pub(crate) fn confirm(&self, started_at: Duration, waited: Duration) {
        *self.state.lock() = State {
            confirmed_at: boot_time().min(started_at + waited),
            failing: false,
        };
    }

    /// Records that a call failed.
    pub(crate) fn fail(&self) {
        self.state.lock().failing = true;
    }

    pub(crate) fn freshness(&self) -> CatalogFreshness {
        let now = boot_time();
        let state = self.state.lock();
        let age = now.saturating_sub(state.confirmed_at);
        CatalogFreshness {
            age,
            in_touch: !state.failing && age <= IN_TOUCH_MAX,
        }
    }
}
