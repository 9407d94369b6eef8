//! Steps of nodes and operators.

use super::system::*;
use radishpin_core::{process::*, version::*};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

impl SystemState {
    pub fn poll(&mut self, node: usize) -> Option<()> {
        let view = self.nodes[node].view.as_mut()?;
        if !self.platform_up {
            return None;
        }
        *view = self.table.clone();
        Some(())
    }

    pub fn sync(&mut self, node: usize, endpoint: usize, agent: usize) -> Option<()> {
        let view = self.nodes[node].view.clone()?;
        let agent = self.agent(endpoint, agent)?;
        agent.ledger.apply_view(view.agent_view(endpoint));
        agent.max_view_version = agent.max_view_version.max(agent.ledger.view_version());
        let released: BTreeSet<ModelId> = agent.ledger.released().into_iter().collect();
        let latest = match released.is_empty() {
            true => LatestConfirmation::default(),
            false => LatestConfirmation {
                incarnation: agent.ledger.incarnation(),
                view_version: agent.ledger.view_version(),
                released,
            },
        };
        self.nodes[node].latest_confirmations[endpoint] = latest;
        Some(())
    }

    pub fn commit(&mut self, node: usize, model: usize) -> Option<()> {
        let view = self.nodes[node].view.clone()?;
        if !self.platform_up {
            return None;
        }
        let change = self.plan_change(node, model, &view)?;
        if !self.conditions_hold(&view, model, &change) {
            return None;
        }
        let before = &self.table.models[model].value;
        let allowed = before.replicas.max(self.table.profiles[model].value);
        if change.record.replicas > allowed {
            self.step_violation =
                Some("a commit set more replicas than the current profile allows");
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

    pub fn plan_change(&self, node: usize, model: usize, view: &Table) -> Option<GrantChange> {
        let endpoints = (0..ENDPOINTS.len()).map(|endpoint| {
            let id = ENDPOINTS[endpoint].to_owned();
            (id, self.endpoint_summary(endpoint, model, view))
        });
        let latest = self.nodes[node].latest_confirmations.iter().zip(ENDPOINTS);
        let confirmations = latest.map(|(latest, id)| (id.to_owned(), latest.confirmation()));
        let input = GrantPlanInput {
            model_id: &MODELS[model].to_owned(),
            model: &view.models[model].value,
            row_version: view.models[model].version,
            head_version: view.head,
            profile: &profile(model, view.profiles[model].value),
            endpoints: &endpoints.collect(),
            confirmations: &confirmations.collect(),
            lacking_memory: &self.lacking_memory(model),
        };
        match self.setting.broken_rule {
            Some(BrokenRule::Core(mutation)) => plan_grants_with_mutation(&input, mutation),
            _ => plan_grants(&input),
        }
    }

    pub fn endpoint_summary(&self, endpoint: usize, model: usize, view: &Table) -> EndpointSummary {
        let registration = view.endpoints[endpoint].value;
        let (free_mb, idle_mb) = self.free_and_idle_mb(endpoint);
        let is_gone = registration.host < self.endpoint_states[endpoint].lost_hosts;
        EndpointSummary {
            host: ENDPOINTS[endpoint].to_owned(),
            availability_zone: ENDPOINTS[endpoint].to_owned(),
            service: MODELS[model].to_owned(),
            memory_mb: MEMORY_MB,
            free_mb,
            idle_mb,
            granted_mb: 0,
            incarnation: registration.incarnation,
            standing: if is_gone {
                MemberState::Gone
            } else {
                self.endpoint_states[endpoint].standing
            },
        }
    }

    /// Endpoints that refuse to load the model for lack of memory and have nothing to evict.
    pub fn lacking_memory(&self, model: usize) -> BTreeSet<EndpointId> {
        let lacks_memory = |endpoint: &&usize| {
            let Some(agent) = self.endpoint_states[**endpoint].newest_agent() else {
                return false;
            };
            let decision =
                agent
                    .ledger
                    .clone()
                    .request_load(&target(model), None, self.clock(**endpoint));
            match decision {
                LoadDecision::Refused(LoadRefusal::NoMemory {
                    releasing_mb,
                    evict,
                    ..
                }) => releasing_mb == 0 && evict.is_empty(),
                _ => false,
            }
        };
        let lacking_memory = [0, 1, 2].iter().filter(lacks_memory);
        lacking_memory
            .map(|endpoint| ENDPOINTS[*endpoint].to_owned())
            .collect()
    }

    pub fn conditions_hold(&self, view: &Table, model: usize, change: &GrantChange) -> bool {
        let broken_rule = self.setting.broken_rule;
        let model_row = broken_rule == Some(BrokenRule::OmitModelCondition)
            || self.table.models[model].version == view.models[model].version;
        let profile_row = broken_rule == Some(BrokenRule::OmitProfileCondition)
            || self.table.profiles[model].version == view.profiles[model].version;
        let endpoint_rows = broken_rule == Some(BrokenRule::OmitEndpointConditions)
            || change.depends_on.iter().all(|id| {
                let mut indexes = 0..ENDPOINTS.len();
                let endpoint = indexes.find(|endpoint| ENDPOINTS[*endpoint] == id);
                endpoint
                    .is_some_and(|s| self.table.endpoints[s].version == view.endpoints[s].version)
            });
        model_row && profile_row && endpoint_rows
    }

    pub fn set_replicas(&mut self, model: usize, replicas: u32) -> Option<()> {
        if !self.platform_up || self.table.profiles[model].value == replicas {
            return None;
        }
        self.use_change_budget()?;
        let table = Arc::make_mut(&mut self.table);
        table.head += 1;
        table.profiles[model] = Row {
            version: table.head,
            value: replicas,
        };
        table.update_agent_views();
        Some(())
    }

    pub fn stop_node(&mut self, node: usize) -> Option<()> {
        self.nodes[node].view.as_ref()?;
        self.nodes[1 - node].view.as_ref()?;
        self.use_fault_budget()?;
        self.nodes[node] = Node {
            view: None,
            latest_confirmations: Default::default(),
        };
        Some(())
    }

    pub fn start_node(&mut self, node: usize) -> Option<()> {
        if self.nodes[node].view.is_some() {
            return None;
        }
        let peer = self.nodes[1 - node].view.as_ref()?;
        let agents = self
            .endpoint_states
            .iter()
            .filter_map(|endpoint| endpoint.newest_agent());
        let newest = agents.map(|agent| agent.ledger.view_version()).max()?;
        let min_version = match self.setting.broken_rule {
            Some(BrokenRule::StartBelowMinVersion) => 0,
            _ => newest,
        };
        let peers = BTreeMap::from([("peer".to_owned(), Some(peer.head))]);
        let view = match decide_start(self.platform_up, &peers, min_version) {
            StartDecision::FromPlatform => self.table.clone(),
            StartDecision::FromPeer(_) => peer.clone(),
            StartDecision::Wait => return None,
        };
        if view.head < newest {
            self.step_violation = Some("a node started with an older view than an agent uses");
        }
        self.nodes[node].view = Some(view);
        Some(())
    }
}
