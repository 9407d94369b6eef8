//! Events that wake the requests which wait for a model.

use event_listener::{Event, EventListener};
use parking_lot::Mutex;
use radishpin_protocol::prelude::*;

/// An event for each model that requests wait for.
#[derive(Debug, Default)]
pub(crate) struct ModelEvents(Mutex<BTreeMap<ModelId, Event>>);

impl ModelEvents {
    /// Listens for the next time that an engine may serve a model which it could not serve before.
    pub(crate) fn listen(&self, model: &str) -> EventListener {
        let mut events = self.0.lock();
        if let Some(event) = events.get(model) {
            return event.listen();
        }
        events.retain(|_, event| event.total_listeners() > 0);
        events.entry(model.to_owned()).or_default().listen()
    }

    /// Wakes the requests that wait for these models.
    pub(crate) fn notify(&self, models: &BTreeSet<ModelId>) {
        let events = self.0.lock();
        for model in models {
            if let Some(event) = events.get(model) {
                event.notify(usize::MAX);
            }
        }
    }
}
