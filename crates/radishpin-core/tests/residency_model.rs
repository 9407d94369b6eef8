//! One sidecar and its engine, explored exhaustively under lost answers, late orders and restarts.
//!
//! The steps call the real decisions. The engine accepts an order only at the count that the order
//! names, carries it out at once, and crashes when its memory is overcommitted.

#[path = "support/explore.rs"]
mod explore;

use explore::{explore, findings};
use radishpin_core::{
    process::{
        Action, ActionOutcome, Demand, DemandReason, EndpointReport, GatewayReport, HeldModel,
        Residency,
    },
    version::{EngineSpec, ModelSpec},
};
use radishpin_protocol::prelude::*;

/// Models that the engine has room for.
const ROOM: usize = 2;
/// Time between two steps: longer than the shortest stay of a model.
const STEP: Duration = Duration::from_secs(1);
/// Steps of one exploration; the shortest run that breaks memory by an order for another id has all.
const STEPS_MAX: u32 = 8;
/// Lost answers, late orders and restarts of one exploration.
const FAULTS_MAX: u32 = 2;
/// What callers wait for: models, with adapters after a slash.
const WANTED: [&[&str]; 3] = [&["a", "a/x"], &["b"], &["c", "d"]];

/// A rule of the protocol that is broken, to show that the exploration finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    /// None.
    Nothing,
    /// The engine carries out a late order whatever count it names.
    LateOrdersIgnoreTheCount,
    /// The sidecar takes an order without an answer for one that was refused.
    UnansweredIsRefused,
    /// An engine that restarted under another id carries out orders for the earlier one.
    AnyIdIsMine,
}

#[derive(Clone, Debug)]
struct Engine {
    id: &'static str,
    life: u64,
    sequence: u64,
    models: BTreeMap<ModelId, BTreeSet<AdapterId>>,
}

#[derive(Clone, Debug)]
struct LateOrder {
    action: Action,
    sequence: u64,
    id: EndpointId,
}

#[derive(Clone, Debug)]
struct World {
    broken: Broken,
    residency: Residency,
    engine: Engine,
    late: Vec<LateOrder>,
    step: u32,
    faults: u32,
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    Late,
}

impl Engine {
    fn report(&self) -> EndpointReport {
        let held = |(model, adapters): (&ModelId, &BTreeSet<AdapterId>)| {
            let adapters = adapters.clone();
            (model.clone(), HeldModel { adapters })
        };
        EndpointReport {
            models: self.models.iter().map(held).collect(),
            sequence: self.sequence,
            started_unix_ms: self.life,
            on_disk: ["a", "b", "c", "d"].map(str::to_owned).into(),
            ..EndpointReport::default()
        }
    }

    fn take(&mut self, action: &Action, sequence: Option<u64>) -> ActionOutcome {
        if sequence.is_some_and(|sequence| sequence != self.sequence) {
            return ActionOutcome::Refused;
        }
        let changed = match action {
            Action::Load(model) => {
                let missing = !self.models.contains_key(model);
                self.models.entry(model.clone()).or_default();
                missing
            }
            Action::Unload(model) => self.models.remove(model).is_some(),
            Action::LoadAdapter(model, adapter) => {
                let held = self.models.get_mut(model);
                held.is_some_and(|adapters| adapters.insert(adapter.clone()))
            }
            Action::UnloadAdapter(model, adapter) => {
                let held = self.models.get_mut(model);
                held.is_some_and(|adapters| adapters.remove(adapter))
            }
        };
        if !changed {
            return ActionOutcome::Unneeded;
        }
        self.sequence += 1;
        ActionOutcome::Accepted
    }

    fn restart(&mut self, id: &'static str) {
        *self = Self {
            id,
            life: self.life + 1,
            sequence: 0,
            models: BTreeMap::new(),
        };
    }
}

impl World {
    fn start(broken: Broken) -> Self {
        let model = ModelSpec {
            weights_mb: 100,
            adapter_mb: 0,
            load_remote: STEP,
            load_disk: STEP,
            load_memory: STEP,
        };
        let spec = EngineSpec {
            slots: 1,
            kv_cache_tokens: 1,
            memory_mb: 100 * ROOM as SizeMb,
            adapter_slots: 2,
            store_loads_per_s: 100.0,
            models: ["a", "b", "c", "d"]
                .map(|name| (name.to_owned(), model.clone()))
                .into(),
        };
        let mut residency = Residency::new(1, Duration::ZERO);
        residency.configure(spec, STEP);
        Self {
            broken,
            residency,
            engine: Engine {
                id: "i1",
                life: 1,
                sequence: 0,
                models: BTreeMap::new(),
            },
            late: Vec::new(),
            step: 0,
            faults: 0,
        }
    }

    fn now(&self) -> Duration {
        STEP * (self.step + 1)
    }

    /// A gateway's callers wait for some models; the sidecar looks at its engine and orders.
    fn order(&self, wanted: &[&str], fate: Fate) -> Option<Self> {
        let mut next = self.clone();
        let now = next.now();
        next.residency
            .record_gateway_report(report(wanted, u64::from(self.step) + 1), now);
        next.residency.observe(next.engine.report(), now);
        let (action, sequence) = next.residency.decide(now)?;
        let id = next.residency.endpoint()?.clone();
        if id != next.engine.id {
            next.residency.set_engine_id(Some(next.engine.id.into()));
            return Some(next);
        }
        let settled = match fate {
            Fate::Answered => next.engine.take(&action, Some(sequence)),
            Fate::AnswerLost => {
                next.engine.take(&action, Some(sequence));
                ActionOutcome::Unknown
            }
            Fate::Late => {
                let action = action.clone();
                next.late.push(LateOrder {
                    action,
                    sequence,
                    id,
                });
                ActionOutcome::Unknown
            }
        };
        let settled = match (settled, self.broken) {
            (ActionOutcome::Unknown, Broken::UnansweredIsRefused) => ActionOutcome::Refused,
            (settled, _) => settled,
        };
        next.residency.record_outcome(&action, settled, now);
        Some(next)
    }

    fn late_order_arrives(&self, index: usize) -> Self {
        let mut next = self.clone();
        let order = next.late.remove(index);
        if order.id == next.engine.id || self.broken == Broken::AnyIdIsMine {
            let counted = self.broken != Broken::LateOrdersIgnoreTheCount;
            let sequence = counted.then_some(order.sequence);
            next.engine.take(&order.action, sequence);
        }
        next
    }

    fn successors(&self) -> Vec<Self> {
        if self.step == STEPS_MAX {
            return Vec::new();
        }
        let mut next = Vec::new();
        let may_fail = self.faults < FAULTS_MAX;
        for wanted in WANTED {
            next.extend(self.order(wanted, Fate::Answered));
            if may_fail {
                for fate in [Fate::AnswerLost, Fate::Late] {
                    let after = self.order(wanted, fate);
                    next.extend(after.map(Self::with_fault));
                }
            }
        }
        next.extend((0..self.late.len()).map(|index| self.late_order_arrives(index)));
        if may_fail && self.engine.sequence > 0 {
            for id in ["i1", "i2"] {
                let mut restarted = self.clone();
                restarted.engine.restart(id);
                next.push(restarted.with_fault());
            }
        }
        for world in &mut next {
            world.step += 1;
        }
        next
    }

    fn with_fault(mut self) -> Self {
        self.faults += 1;
        self
    }

    fn violation(&self) -> Option<&'static str> {
        (self.engine.models.len() > ROOM).then_some("memory is overcommitted")
    }
}

fn report(wanted: &[&str], sequence: u64) -> GatewayReport {
    let demand = |target: &&str| {
        let mut parts = target.splitn(2, '/').map(str::to_owned);
        Demand {
            model: parts.next().unwrap_or_default(),
            adapter: parts.next(),
            reason: DemandReason::Waiting,
            waiting: 1,
        }
    };
    GatewayReport {
        gateway: "g1".into(),
        incarnation: 1,
        sequence,
        endpoint: "i1".into(),
        engines: 1,
        seen_incarnation: 1,
        seen_version: u64::MAX,
        demands: wanted.iter().map(demand).collect(),
        ..GatewayReport::default()
    }
}

fn run(broken: Broken) -> Result<usize, &'static str> {
    explore(World::start(broken), World::successors, World::violation)
}

#[test]
fn memory_is_never_overcommitted() {
    let states = run(Broken::Nothing).expect("no rule is broken");
    println!("{states} states");
    assert!(states > 10_000, "{states}");
}

#[test]
fn the_exploration_finds_each_broken_rule() {
    let broken = [
        Broken::LateOrdersIgnoreTheCount,
        Broken::UnansweredIsRefused,
        Broken::AnyIdIsMine,
    ];
    insta::assert_snapshot!(findings(&broken, run), @r#"
    LateOrdersIgnoreTheCount: Err("memory is overcommitted")
    UnansweredIsRefused: Err("memory is overcommitted")
    AnyIdIsMine: Err("memory is overcommitted")
    "#);
}
