//! Polling of the configuration and the host list from the platform.

use crate::node::{Node, connection::AgentLink, process::Links};
use radishpin_core::process::ListedHostState;
use radishpin_platform::{HostEntry, HostState, PlatformClient, ViewReader};
use radishpin_protocol::{EndpointRecord, prelude::*};
use radishpin_runtime::{Runtime, timeout};
use std::sync::Arc;

/// Mean time between two reads of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_secs(2);

impl Node {
    /// Polls the head row and applies newer views until the process ends.
    pub(in crate::node) async fn poll_views(self: Arc<Self>, client: PlatformClient) {
        let mut reader = ViewReader::new(client.clone());
        loop {
            let requested = self.view_poll_requested.listen();
            match reader.poll().await {
                Ok(Some(view)) => self.apply_view(&view),
                Ok(None) => {}
                Err(cause) => {
                    self.metrics.polls_failed.inc();
                    log::debug!(event = "poll_failed", cause:% = cause; "cannot read the head row");
                    if !self.has_view() {
                        self.start_from_peers().await;
                    }
                }
            }
            // Jitter keeps nodes that started together from polling together.
            let pause = self
                .settings
                .poll_interval
                .mul_f64(0.75 + client.random() / 2.0);
            timeout(pause, requested).await;
        }
    }

    /// Polls the host list until the process ends.
    pub(in crate::node) async fn poll_hosts(self: Arc<Self>, client: PlatformClient) {
        loop {
            match client.hosts().await {
                Ok(hosts) => self.apply_hosts(&hosts),
                Err(cause) => {
                    log::debug!(event = "hosts_failed", cause:% = cause; "cannot read the host list");
                }
            }
            Runtime::sleep(HOSTS_INTERVAL.mul_f64(0.75 + client.random() / 2.0)).await;
        }
    }

    pub(super) fn apply_view(self: &Arc<Self>, view: &ClusterView) {
        let links = self.build_links(view);
        if self.install_view(view.clone(), links) {
            self.members
                .lock()
                .retain_endpoints(|id| view.endpoints.contains_key(id));
            self.board
                .retain_agent_reports(|id| view.endpoints.contains_key(id));
            self.heartbeats_requested.notify(usize::MAX);
            self.planning_requested.notify(usize::MAX);
            log::info!(event = "view_in_force", version = view.version; "configuration in force");
        }
    }

    /// Builds the links for a view's endpoints, reusing those whose record is unchanged.
    ///
    /// Leaves out endpoints whose agent address cannot be parsed.
    fn build_links(&self, view: &ClusterView) -> Links {
        let old = self.links();
        let build_link = |(id, record): (&EndpointId, &EndpointRecord)| {
            let kept = old.get(id).filter(|link| link.record() == record);
            let link = match kept {
                Some(link) => Arc::clone(link),
                None => Arc::new(self.new_link(id, record)?),
            };
            Some((id.clone(), link))
        };
        view.endpoints.iter().filter_map(build_link).collect()
    }

    fn new_link(&self, id: &EndpointId, record: &EndpointRecord) -> Option<AgentLink> {
        let address = match record.agent_address.parse() {
            Ok(address) => address,
            Err(cause) => {
                log::error!(
                    event = "address_malformed",
                    endpoint = id.as_str(),
                    address = record.agent_address.as_str(),
                    cause:% = cause;
                    "cannot parse the address of the endpoint's agent"
                );
                return None;
            }
        };
        let runtime = self.runtime.clone();
        let token = &self.settings.internal_token;
        let members = Arc::clone(&self.members);
        Some(AgentLink::new(
            runtime,
            id.clone(),
            record.clone(),
            address,
            token,
            members,
        ))
    }

    fn apply_hosts(&self, hosts: &[HostEntry]) {
        let list: BTreeMap<HostId, ListedHostState> = hosts.iter().map(listed_state).collect();
        let nodes = hosts.iter().filter(|entry| entry.peer_address.is_some());
        *self.node_hosts.lock() = nodes.map(|entry| entry.host.clone()).collect();
        let view = self.view();
        let endpoint_hosts = view
            .endpoints
            .values()
            .map(|record| record.host.clone())
            .collect();
        let now = self.clock.now();
        self.members
            .lock()
            .observe_hosts(&list, &endpoint_hosts, now);
        self.heartbeats_requested.notify(usize::MAX);
        self.planning_requested.notify(usize::MAX);
    }
}

fn listed_state(entry: &HostEntry) -> (HostId, ListedHostState) {
    let state = match entry.state {
        HostState::Live => ListedHostState::Live,
        HostState::Leaving => ListedHostState::Leaving,
    };
    (entry.host.clone(), state)
}
