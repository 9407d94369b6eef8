//! Weight store: a limited rate of loads, slower when many run at once.

use crate::{clock::Clock, rate::Rate};
use parking_lot::Mutex;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Steps in which a load makes progress at the speed of the moment.
const STEPS: u32 = 20;
/// Shortest step.
const MIN_STEP: Duration = Duration::from_millis(1);
/// Time between tries to start a load while the rate is used up.
const START_RETRY: Duration = Duration::from_millis(5);

quick_error! {
    /// Why weights could not be read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum WeightStoreError {
        /// The store is out of service.
        Unavailable {
            display("weight store unavailable; load again later")
        }
    }
}

/// Speeds and limits of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStoreSettings {
    /// Model loads that may start a second.
    pub loads_per_second: f64,
    /// Model loads at once at full speed; more take proportionally longer.
    pub full_speed_loads: u32,
    /// Time of a model load at full speed.
    pub model_load: Duration,
    /// Adapter loads at once at full speed; more take proportionally longer.
    pub full_speed_adapters: u32,
    /// Time of an adapter load at full speed.
    pub adapter_load: Duration,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            loads_per_second: 2.5,
            full_speed_loads: 4,
            model_load: Duration::from_secs(2),
            full_speed_adapters: 30,
            adapter_load: Duration::from_millis(4),
        }
    }
}

impl WeightStoreSettings {
    /// Factor on the time of each of `in_flight` model loads.
    pub fn model_stretch(&self, in_flight: u32) -> f64 {
        stretch(in_flight, self.full_speed_loads)
    }

    /// Factor on the time of each of `in_flight` adapter loads.
    pub fn adapter_stretch(&self, in_flight: u32) -> f64 {
        stretch(in_flight, self.full_speed_adapters)
    }
}

fn stretch(in_flight: u32, full_speed: u32) -> f64 {
    (f64::from(in_flight) / f64::from(full_speed.max(1))).max(1.0)
}

/// Faults of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreFaults {
    /// Whether every load fails.
    pub outage: bool,
    /// Factor on the time of every load.
    pub slowdown: f64,
}

impl Default for WeightStoreFaults {
    fn default() -> Self {
        Self {
            outage: false,
            slowdown: 1.0,
        }
    }
}

/// Handle to a weight store; clones share it.
#[derive(Clone, Debug)]
pub struct WeightStore {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: WeightStoreSettings,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    starts: Rate,
    faults: WeightStoreFaults,
    models: Lane,
    adapters: Lane,
}

/// Loads of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Lane {
    /// Loads in flight.
    pub in_flight: u32,
    /// Most loads that were in flight at once.
    pub peak: u32,
    /// Loads started.
    pub started: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Model,
    Adapter,
}

impl WeightStore {
    /// A store without load.
    pub fn new(settings: WeightStoreSettings) -> Self {
        let clock = Clock::system();
        let state = State {
            starts: Rate::new(settings.loads_per_second, clock.now()),
            faults: WeightStoreFaults::default(),
            models: Lane::default(),
            adapters: Lane::default(),
        };
        let shared = Shared {
            settings,
            clock,
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: WeightStoreFaults) {
        self.shared.state.lock().faults = faults;
    }

    /// Model loads so far.
    pub fn model_loads(&self) -> Lane {
        self.shared.state.lock().models
    }

    /// Adapter loads so far.
    pub fn adapter_loads(&self) -> Lane {
        self.shared.state.lock().adapters
    }

    /// Reads a model's weights; waits for a start within the rate first.
    ///
    /// # Errors
    /// [`WeightStoreError::Unavailable`] in an outage, also one that begins meanwhile.
    pub async fn load_model(&self) -> Result<(), WeightStoreError> {
        while !self.may_start() {
            self.check()?;
            smol::Timer::after(START_RETRY).await;
        }
        self.load(Kind::Model, self.shared.settings.model_load)
            .await
    }

    /// Reads an adapter's weights.
    ///
    /// # Errors
    /// [`WeightStoreError::Unavailable`] in an outage, also one that begins meanwhile.
    pub async fn load_adapter(&self) -> Result<(), WeightStoreError> {
        self.load(Kind::Adapter, self.shared.settings.adapter_load)
            .await
    }

    async fn load(&self, kind: Kind, full_speed: Duration) -> Result<(), WeightStoreError> {
        let _in_flight = InFlight::start(self, kind);
        let step = (full_speed / STEPS).max(MIN_STEP);
        let mut left = full_speed;
        while left > Duration::ZERO {
            self.check()?;
            let share = step.min(left);
            smol::Timer::after(share.mul_f64(self.stretch(kind))).await;
            left -= share;
        }
        self.check()
    }

    fn may_start(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.state.lock().starts.take(now)
    }

    fn check(&self) -> Result<(), WeightStoreError> {
        if self.shared.state.lock().faults.outage {
            return Err(WeightStoreError::Unavailable);
        }
        Ok(())
    }

    /// Factor on the time of a step, by the loads in flight and the faults.
    fn stretch(&self, kind: Kind) -> f64 {
        let settings = &self.shared.settings;
        let mut state = self.shared.state.lock();
        let in_flight = state.lane(kind).in_flight;
        let crowding = match kind {
            Kind::Model => settings.model_stretch(in_flight),
            Kind::Adapter => settings.adapter_stretch(in_flight),
        };
        crowding * state.faults.slowdown.max(0.0)
    }
}

impl State {
    fn lane(&mut self, kind: Kind) -> &mut Lane {
        match kind {
            Kind::Model => &mut self.models,
            Kind::Adapter => &mut self.adapters,
        }
    }
}

/// Counts a load as in flight until dropped.
struct InFlight<'a> {
    store: &'a WeightStore,
    kind: Kind,
}

impl<'a> InFlight<'a> {
    fn start(store: &'a WeightStore, kind: Kind) -> Self {
        let mut state = store.shared.state.lock();
        let lane = state.lane(kind);
        lane.in_flight += 1;
        lane.started += 1;
        lane.peak = lane.peak.max(lane.in_flight);
        Self { store, kind }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = self.store.shared.state.lock();
        state.lane(self.kind).in_flight -= 1;
    }
}
