//! Steps of the specification; the decisions in them are those of radishpin-core.

use crate::world::*;
use radishpin_core::{
    process::{
        Fencing, LoadDecision, LoadRefusal, Order, OrderKind, OrderNumber, OrderOutcome,
        ReplicaLedger, Standing, Target,
    },
    version::{
        EndpointStanding, GrantChange, GrantFacts, StartDecision, decide_start, plan,
        plan_with_mutation,
    },
};
use radishpin_protocol::{Grant, GrantState, ModelRecord, prelude::*};
use std::sync::Arc;

/// Orders that an agent gives at most while the state graph is explored.
const ORDERS_AT_MOST: u64 = 3;

/// How the orders of a step travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Travel {
    /// Carried out, answered and reported within the step.
    AtOnce,
    /// Carried out and answered; the report comes later.
    Unreported,
    /// Left on their way: delivered later, or never.
    Delayed,
}

/// What a step stands for: ordinary work, a change by an operator, or a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ordinary,
    Decide,
    Leave,
    Unreported,
    Delayed,
    LateReport,
    RestartEngine,
    LoseHost,
    Successor,
    Suspect,
    Outage,
    StopNode,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A node takes the platform's newest view.
    Poll(usize),
    /// A node gives an agent its view and hears its word.
    Sync {
        node: usize,
        site: usize,
        agent: usize,
    },
    /// A node plans a model's next record from its view and commits it.
    Commit {
        node: usize,
        model: usize,
    },
    /// A request asks an agent for a model.
    Load {
        site: usize,
        agent: usize,
        model: usize,
        travel: Travel,
    },
    House {
        site: usize,
        agent: usize,
        travel: Travel,
    },
    /// An order that was on its way arrives and is answered.
    Deliver {
        site: usize,
        flight: usize,
    },
    /// An agent stops waiting for an answer; the order is still on its way.
    GiveUp {
        site: usize,
        flight: usize,
    },
    /// An agent reads its endpoint's report.
    Observe {
        site: usize,
        agent: usize,
    },
    /// A report is made that will arrive late.
    MakeReport(usize),
    LateReport {
        site: usize,
        agent: usize,
    },
    RestartEngine(usize),
    LoseHost(usize),
    /// A new agent registers, on a new host where the old one was lost.
    Successor(usize),
    Stand {
        site: usize,
        standing: Standing,
    },
    /// An operator sets how many replicas a model may have.
    Decide {
        model: usize,
        replicas: u32,
    },
    Outage,
    Recover,
    Tick,
    StopNode(usize),
    StartNode(usize),
}

impl Step {
    pub const fn kind(self) -> Kind {
        match self {
            Self::Decide { .. } => Kind::Decide,
            Self::Stand { standing, .. } => match standing {
                Standing::Leaving => Kind::Leave,
                Standing::Suspect => Kind::Suspect,
                Standing::Usable | Standing::Gone => Kind::Ordinary,
            },
            Self::Load { travel, .. } | Self::House { travel, .. } => match travel {
                Travel::AtOnce => Kind::Ordinary,
                Travel::Unreported => Kind::Unreported,
                Travel::Delayed => Kind::Delayed,
            },
            Self::MakeReport(_) => Kind::LateReport,
            Self::RestartEngine(_) => Kind::RestartEngine,
            Self::LoseHost(_) => Kind::LoseHost,
            Self::Successor(_) => Kind::Successor,
            Self::Outage => Kind::Outage,
            Self::StopNode(_) => Kind::StopNode,
            _ => Kind::Ordinary,
        }
    }
}

impl World {
    /// A state that explorations start from: agents registered, their endpoints empty, and
    /// `holders` with a grant for each model.
    pub fn start(setting: Setting, holders: [&[usize]; 2], faults: u8, changes: u8) -> Self {
        let row = |value| Row { version: 1, value };
        let row_of = |value: u32| Row { version: 1, value };
        let record = |model: usize, holders: &[usize]| {
            let grant = Grant {
                state: GrantState::Held,
                since_version: 0,
            };
            row(ModelRecord {
                service: MODELS[model].to_owned(),
                size_mb: SIZE_MB,
                replicas: holders.iter().map(|_| 1).sum(),
                grants: holders
                    .iter()
                    .map(|site| (ENDPOINTS[*site].to_owned(), grant))
                    .collect(),
            })
        };
        let registration = Row {
            version: 1,
            value: Registration {
                incarnation: 1,
                host: 0,
            },
        };
        let mut table = Table {
            head: 1,
            models: [record(0, holders[0]), record(1, holders[1])],
            profiles: holders.map(|holders| row_of(holders.iter().map(|_| 1).sum())),
            endpoints: [(); 3].map(|()| registration.clone()),
            agent_views: Default::default(),
        };
        table.update_agent_views();
        let table = Arc::new(table);
        let site = Site {
            engine: Engine::default(),
            agents: Vec::new(),
            flights: Vec::new(),
            late: None,
            lost_hosts: 0,
            standing: Standing::Usable,
        };
        let node = Node {
            view: Some(table.clone()),
            heard: Default::default(),
        };
        let mut world = Self {
            setting,
            table,
            platform_up: true,
            nodes: [node.clone(), node],
            sites: [(); 3].map(|()| Arc::new(site.clone())),
            now: 0,
            faults_left: faults,
            changes_left: changes,
            alarm: None,
        };
        world.start_agents();
        world
    }

    fn start_agents(&mut self) {
        if let Fencing::Ignored { .. } = self.setting.fencing {
            self.now = 2;
        }
        for site in 0..self.sites.len() {
            let agent = self.new_agent(1, 1, Duration::ZERO);
            self.site(site).agents.push(Arc::new(agent));
            self.house(site, 0, Travel::AtOnce);
            self.observe(site, 0);
            self.sync(0, site, 0);
        }
    }

    /// The state after the step; `None` where it cannot be taken or changes nothing.
    pub fn after(&self, step: Step) -> Option<Self> {
        let mut next = self.clone();
        next.take(step)?;
        (next != *self).then_some(next)
    }

    fn take(&mut self, step: Step) -> Option<()> {
        match step {
            Step::Poll(node) => self.poll(node),
            Step::Sync { node, site, agent } => self.sync(node, site, agent),
            Step::Commit { node, model } => self.commit(node, model),
            Step::Load {
                site,
                agent,
                model,
                travel,
            } => self.load(site, agent, model, travel),
            Step::House {
                site,
                agent,
                travel,
            } => self.house(site, agent, travel),
            Step::Deliver { site, flight } => self.deliver(site, flight),
            Step::GiveUp { site, flight } => self.give_up(site, flight),
            Step::Observe { site, agent } => self.observe(site, agent),
            Step::MakeReport(site) => self.make_report(site),
            Step::LateReport { site, agent } => self.late_report(site, agent),
            Step::RestartEngine(site) => self.restart_engine(site),
            Step::LoseHost(site) => self.lose_host(site),
            Step::Successor(site) => self.successor(site),
            Step::Stand { site, standing } => self.stand(site, standing),
            Step::Decide { model, replicas } => self.decide(model, replicas),
            Step::Outage => self.outage(),
            Step::Recover => self.recover(),
            Step::Tick => self.tick(),
            Step::StopNode(node) => self.stop_node(node),
            Step::StartNode(node) => self.start_node(node),
        }
    }

    fn site(&mut self, site: usize) -> &mut Site {
        Arc::make_mut(&mut self.sites[site])
    }

    fn agent(&mut self, site: usize, agent: usize) -> Option<&mut Agent> {
        self.site(site).agents.get_mut(agent).map(Arc::make_mut)
    }

    fn ledger(&mut self, site: usize, agent: usize) -> Option<&mut ReplicaLedger> {
        Some(&mut self.agent(site, agent)?.ledger)
    }

    fn spend_fault(&mut self) -> Option<()> {
        self.faults_left = self.faults_left.checked_sub(1)?;
        Some(())
    }

    fn spend_change(&mut self) -> Option<()> {
        self.changes_left = self.changes_left.checked_sub(1)?;
        Some(())
    }

    fn poll(&mut self, node: usize) -> Option<()> {
        let view = self.nodes[node].view.as_mut()?;
        if !self.platform_up {
            return None;
        }
        *view = self.table.clone();
        Some(())
    }

    fn sync(&mut self, node: usize, site: usize, agent: usize) -> Option<()> {
        let view = self.nodes[node].view.clone()?;
        let agent = self.agent(site, agent)?;
        agent.ledger.apply_view(view.agent_view(site));
        agent.peak = agent.peak.max(agent.ledger.view_version());
        let released: BTreeSet<ModelId> = agent.ledger.released().into_iter().collect();
        let heard = match released.is_empty() {
            true => Heard::default(),
            false => Heard {
                incarnation: agent.ledger.incarnation(),
                view_version: agent.ledger.view_version(),
                released,
            },
        };
        self.nodes[node].heard[site] = heard;
        Some(())
    }

    fn commit(&mut self, node: usize, model: usize) -> Option<()> {
        let view = self.nodes[node].view.clone()?;
        if !self.platform_up {
            return None;
        }
        let change = self.planned(node, model, &view)?;
        if !self.conditions_hold(&view, model, &change) {
            return None;
        }
        let before = &self.table.models[model].value;
        let allowed = before.replicas.max(self.table.profiles[model].value);
        if change.record.replicas > allowed {
            self.alarm = Some("a commit decided more replicas than the profile in force allows");
        }
        let table = Arc::make_mut(&mut self.table);
        table.head += 1;
        table.models[model] = Row {
            version: table.head,
            value: change.record,
        };
        table.update_agent_views();
        Some(())
    }

    fn planned(&self, node: usize, model: usize, view: &Table) -> Option<GrantChange> {
        let endpoints = (0..ENDPOINTS.len()).map(|site| {
            let id = ENDPOINTS[site].to_owned();
            (id, self.standing(site, model, view))
        });
        let heard = self.nodes[node].heard.iter().zip(ENDPOINTS);
        let confirmations = heard.map(|(heard, id)| (id.to_owned(), heard.confirmation()));
        let facts = GrantFacts {
            model_id: &MODELS[model].to_owned(),
            model: &view.models[model].value,
            row_version: view.models[model].version,
            head_version: view.head,
            profile: &profile(model, view.profiles[model].value),
            endpoints: &endpoints.collect(),
            confirmations: &confirmations.collect(),
            unable: &self.unable(model),
        };
        match self.setting.broken {
            Some(Broken::Core(mutation)) => plan_with_mutation(&facts, mutation),
            _ => plan(&facts),
        }
    }

    fn standing(&self, site: usize, model: usize, view: &Table) -> EndpointStanding {
        let registration = view.endpoints[site].value;
        let (free_mb, idle_mb) = self.room_mb(site);
        let gone = registration.host < self.sites[site].lost_hosts;
        EndpointStanding {
            host: ENDPOINTS[site].to_owned(),
            availability_zone: ENDPOINTS[site].to_owned(),
            service: MODELS[model].to_owned(),
            memory_mb: MEMORY_MB,
            free_mb,
            idle_mb,
            granted_mb: 0,
            incarnation: registration.incarnation,
            standing: if gone {
                Standing::Gone
            } else {
                self.sites[site].standing
            },
        }
    }

    /// Holders that refuse the model for want of memory and cannot make room.
    fn unable(&self, model: usize) -> BTreeSet<EndpointId> {
        let is_unable = |site: &&usize| {
            let Some(agent) = self.sites[**site].newest() else {
                return false;
            };
            let decision =
                agent
                    .ledger
                    .clone()
                    .request_load(&target(model), None, self.clock(**site));
            match decision {
                LoadDecision::Refused(LoadRefusal::NoMemory {
                    releasing_mb,
                    evict,
                    ..
                }) => releasing_mb == 0 && evict.is_empty(),
                _ => false,
            }
        };
        let unable = [0, 1, 2].iter().filter(is_unable);
        unable.map(|site| ENDPOINTS[*site].to_owned()).collect()
    }

    fn conditions_hold(&self, view: &Table, model: usize, change: &GrantChange) -> bool {
        let broken = self.setting.broken;
        let model_row = broken == Some(Broken::ForgetModelRow)
            || self.table.models[model].version == view.models[model].version;
        let profile_row = broken == Some(Broken::ForgetProfileRow)
            || self.table.profiles[model].version == view.profiles[model].version;
        let endpoint_rows = broken == Some(Broken::ForgetEndpointRows)
            || change.depends_on.iter().all(|id| {
                let mut sites = 0..ENDPOINTS.len();
                let site = sites.find(|site| ENDPOINTS[*site] == id);
                site.is_some_and(|s| self.table.endpoints[s].version == view.endpoints[s].version)
            });
        model_row && profile_row && endpoint_rows
    }

    fn load(&mut self, site: usize, agent: usize, model: usize, travel: Travel) -> Option<()> {
        let now = self.clock(site);
        let ledger = self.ledger(site, agent)?;
        match ledger.request_load(&target(model), None, now) {
            LoadDecision::Issue(order) => self.send(site, agent, vec![order], travel),
            LoadDecision::Refused(LoadRefusal::NoMemory { evict, .. }) => {
                let orders: Vec<Order> = evict
                    .iter()
                    .filter_map(|target| ledger.request_unload(target, now))
                    .collect();
                self.send(site, agent, orders, travel)
            }
            _ => None,
        }
    }

    fn house(&mut self, site: usize, agent: usize, travel: Travel) -> Option<()> {
        let now = self.clock(site);
        let orders = self.ledger(site, agent)?.housekeeping(now);
        self.send(site, agent, orders, travel)
    }

    fn send(
        &mut self,
        site: usize,
        agent: usize,
        orders: Vec<Order>,
        travel: Travel,
    ) -> Option<()> {
        if orders.is_empty() {
            return None;
        }
        if travel == Travel::Delayed {
            self.spend_fault()?;
            let sent_at = self.now;
            let flights = orders.into_iter().map(|order| Flight { order, sent_at });
            self.site(site).flights.extend(flights);
            return Some(());
        }
        for order in orders {
            let outcome = self.act(site, &order);
            let now = self.clock(site);
            self.ledger(site, agent)?.settle(order.number, outcome, now);
        }
        if travel == Travel::Unreported {
            return self.spend_fault();
        }
        self.observe(site, agent)
    }

    /// The endpoint carries an order out, or refuses it for its number.
    fn act(&mut self, site: usize, order: &Order) -> OrderOutcome {
        let fencing = self.setting.fencing;
        let engine = &mut self.site(site).engine;
        let older = order.number.incarnation < engine.highest.incarnation;
        if fencing == Fencing::Checked && order.number <= engine.highest {
            return OrderOutcome::Failed;
        }
        engine.highest = engine.highest.max(order.number);
        engine.as_of = engine.as_of.max(order.number);
        engine.changes += 1;
        match order.kind {
            OrderKind::Load => engine.loaded.insert(order.target.clone()),
            OrderKind::Unload => engine.loaded.remove(&order.target),
        };
        if older {
            self.alarm = Some("an order of an earlier incarnation took effect after a later one's");
        }
        OrderOutcome::Done
    }

    fn deliver(&mut self, site: usize, flight: usize) -> Option<()> {
        if flight >= self.sites[site].flights.len() {
            return None;
        }
        let order = self.site(site).flights.remove(flight).order;
        let outcome = self.act(site, &order);
        self.settle(site, order.number, outcome);
        Some(())
    }

    fn give_up(&mut self, site: usize, flight: usize) -> Option<()> {
        let number = self.sites[site].flights.get(flight)?.order.number;
        let before = self.sites[site].agents.clone();
        self.settle(site, number, OrderOutcome::Unknown);
        if self.sites[site].agents == before {
            return None;
        }
        // Reports asked for from now on are newer.
        self.site(site).engine.changes += 1;
        Some(())
    }

    fn settle(&mut self, site: usize, number: OrderNumber, outcome: OrderOutcome) {
        let now = self.clock(site);
        for agent in &mut self.site(site).agents {
            if agent.ledger.incarnation() == number.incarnation {
                Arc::make_mut(agent).ledger.settle(number, outcome, now);
            }
        }
    }

    fn observe(&mut self, site: usize, agent: usize) -> Option<()> {
        let report = self.report(site);
        let now = self.clock(site);
        self.ledger(site, agent)?.observe(&report, now);
        Some(())
    }

    fn make_report(&mut self, site: usize) -> Option<()> {
        self.sites[site].newest()?;
        self.spend_fault()?;
        self.site(site).late = Some(self.report(site));
        Some(())
    }

    fn late_report(&mut self, site: usize, agent: usize) -> Option<()> {
        let report = self.sites[site].late.clone()?;
        let now = self.clock(site);
        self.ledger(site, agent)?.observe(&report, now);
        self.site(site).late = None;
        Some(())
    }

    fn restart_engine(&mut self, site: usize) -> Option<()> {
        self.sites[site].newest()?;
        self.spend_fault()?;
        let survive = self.setting.numbers_survive;
        let engine = &mut self.site(site).engine;
        engine.loaded.clear();
        engine.as_of = OrderNumber::default();
        engine.instance += 1;
        engine.changes += 1;
        if !survive {
            engine.highest = OrderNumber::default();
        }
        Some(())
    }

    fn lose_host(&mut self, site: usize) -> Option<()> {
        self.sites[site].newest()?;
        if self.sites.iter().any(|site| site.lost_hosts > 0) {
            return None;
        }
        self.spend_fault()?;
        let lost_hosts = self.sites[site].lost_hosts + 1;
        let engine = &self.sites[site].engine;
        let engine = Engine {
            loaded: BTreeSet::new(),
            highest: OrderNumber::default(),
            as_of: OrderNumber::default(),
            instance: engine.instance + 1,
            changes: engine.changes + 1,
        };
        *self.site(site) = Site {
            engine,
            agents: Vec::new(),
            flights: Vec::new(),
            late: None,
            lost_hosts,
            standing: Standing::Usable,
        };
        Some(())
    }

    fn successor(&mut self, site: usize) -> Option<()> {
        let registration = self.table.endpoints[site].value;
        if !self.platform_up || registration.incarnation > 1 {
            return None;
        }
        self.spend_fault()?;
        let reuse = self.setting.broken == Some(Broken::ReuseIncarnation);
        let registration = Registration {
            incarnation: registration.incarnation + u64::from(!reuse),
            host: self.sites[site].lost_hosts,
        };
        let table = Arc::make_mut(&mut self.table);
        table.head += 1;
        table.endpoints[site] = Row {
            version: table.head,
            value: registration,
        };
        table.update_agent_views();
        let floor = table.head;
        let agent = self.new_agent(registration.incarnation, floor, self.clock(site));
        let exclusive = self.setting.exclusive_address;
        let site = self.site(site);
        if exclusive {
            site.agents.clear();
        }
        site.agents.push(Arc::new(agent));
        Some(())
    }

    fn new_agent(&self, incarnation: Incarnation, floor: Version, now: Duration) -> Agent {
        let fencing = self.setting.fencing;
        let ledger = ReplicaLedger::new(incarnation, floor, MEMORY_MB, fencing, now);
        let ledger = match self.setting.broken {
            Some(Broken::Core(mutation)) => ledger.with_mutation(mutation),
            _ => ledger,
        };
        Agent { ledger, peak: 0 }
    }

    fn stand(&mut self, site: usize, standing: Standing) -> Option<()> {
        self.sites[site].newest()?;
        match standing {
            Standing::Usable => (),
            Standing::Suspect => self.spend_fault()?,
            Standing::Leaving => self.spend_change()?,
            Standing::Gone => return None,
        }
        self.site(site).standing = standing;
        Some(())
    }

    fn decide(&mut self, model: usize, replicas: u32) -> Option<()> {
        if !self.platform_up || self.table.profiles[model].value == replicas {
            return None;
        }
        self.spend_change()?;
        let table = Arc::make_mut(&mut self.table);
        table.head += 1;
        table.profiles[model] = Row {
            version: table.head,
            value: replicas,
        };
        table.update_agent_views();
        Some(())
    }

    fn outage(&mut self) -> Option<()> {
        if !self.platform_up {
            return None;
        }
        self.spend_fault()?;
        self.platform_up = false;
        Some(())
    }

    const fn recover(&mut self) -> Option<()> {
        self.platform_up = true;
        Some(())
    }

    /// Time passes; orders that are older than their life can no longer arrive.
    fn tick(&mut self) -> Option<()> {
        self.now += 1;
        let Fencing::Ignored { .. } = self.setting.fencing else {
            return None;
        };
        for site in 0..self.sites.len() {
            while !self.sites[site].flights.is_empty() {
                self.give_up(site, 0);
                self.site(site).flights.remove(0);
            }
        }
        Some(())
    }

    fn stop_node(&mut self, node: usize) -> Option<()> {
        self.nodes[node].view.as_ref()?;
        self.nodes[1 - node].view.as_ref()?;
        self.spend_fault()?;
        self.nodes[node] = Node {
            view: None,
            heard: Default::default(),
        };
        Some(())
    }

    fn start_node(&mut self, node: usize) -> Option<()> {
        if self.nodes[node].view.is_some() {
            return None;
        }
        let peer = self.nodes[1 - node].view.as_ref()?;
        let agents = self.sites.iter().filter_map(|site| site.newest());
        let newest = agents.map(|agent| agent.ledger.view_version()).max()?;
        let floor = match self.setting.broken {
            Some(Broken::StartBelowFloor) => 0,
            _ => newest,
        };
        let peers = BTreeMap::from([("peer".to_owned(), Some(peer.head))]);
        let view = match decide_start(self.platform_up, &peers, floor) {
            StartDecision::FromPlatform => self.table.clone(),
            StartDecision::FromPeer(_) => peer.clone(),
            StartDecision::Wait => return None,
        };
        if view.head < newest {
            self.alarm = Some("a node started with a view older than one in force");
        }
        self.nodes[node].view = Some(view);
        Some(())
    }

    /// Whether the agent has given as many orders as an exploration allows.
    pub fn orders_spent(&self, site: usize, agent: usize) -> bool {
        let agent = self.sites[site].agent(agent);
        agent.is_none_or(|agent| agent.ledger.orders_given() >= ORDERS_AT_MOST)
    }

    pub fn is_ready(&self, site: usize, model: usize) -> bool {
        let Some(agent) = self.sites[site].newest() else {
            return false;
        };
        let target: Target = target(model);
        let mut ledger = agent.ledger.clone();
        let ready = ledger.request_load(&target, None, self.clock(site)) == LoadDecision::Ready;
        ready && self.sites[site].engine.loaded.contains(&target)
    }
}
