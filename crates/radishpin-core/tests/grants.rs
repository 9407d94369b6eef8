//! Planning of grants: placement, revocation, confirmation and moves.

use radishpin_core::{
    process::MemberState,
    version::{Confirmation, EndpointSummary, GrantPlanInput, plan_grants},
};
use radishpin_protocol::{
    Grant, GrantState, ModelRecord, PROFILE_FORMAT, WorkloadClass, prelude::*,
};

const HEAD_VERSION: Version = 20;
const ROW_VERSION: Version = 18;

/// A cluster of six endpoints on five hosts in three availability zones, with one model.
struct Cluster {
    model: ModelRecord,
    profile: Profile,
    endpoints: BTreeMap<EndpointId, EndpointSummary>,
    confirmations: BTreeMap<EndpointId, Confirmation>,
    lacking_memory: BTreeSet<EndpointId>,
}

fn endpoint(host: &str, zone: &str) -> EndpointSummary {
    EndpointSummary {
        host: host.into(),
        availability_zone: zone.into(),
        service: "drafts".into(),
        memory_mb: 100,
        free_mb: 100,
        idle_mb: 0,
        granted_mb: 0,
        incarnation: 4,
        standing: MemberState::Usable,
    }
}

fn profile(max_replicas: u32) -> Profile {
    Profile {
        format: PROFILE_FORMAT,
        min_loaded: 0,
        max_replicas,
        idle_unload_ms: 1_000,
        patience_ms: 1_000,
        priority: 5,
        class: WorkloadClass::Interactive,
        idempotent: true,
    }
}

impl Cluster {
    fn new(max_replicas: u32) -> Self {
        let locations = [
            ("e1", "h1", "a"),
            ("e2", "h1", "a"),
            ("e3", "h2", "a"),
            ("e4", "h3", "b"),
            ("e5", "h4", "b"),
            ("e6", "h5", "c"),
        ];
        let endpoints = locations.map(|(id, host, zone)| (id.to_owned(), endpoint(host, zone)));
        Self {
            model: ModelRecord {
                service: "drafts".into(),
                size_mb: 40,
                replicas: 0,
                grants: BTreeMap::new(),
            },
            profile: profile(max_replicas),
            endpoints: endpoints.into(),
            confirmations: BTreeMap::new(),
            lacking_memory: BTreeSet::new(),
        }
    }

    fn with_grants(max_replicas: u32, grants: &[(&str, GrantState)]) -> Self {
        let mut cluster = Self::new(max_replicas);
        cluster.model.replicas = grants.iter().map(|_| 1).sum();
        let since_version = 10;
        cluster.model.grants = grants
            .iter()
            .map(|(id, state)| {
                (
                    (*id).to_owned(),
                    Grant {
                        state: *state,
                        since_version,
                    },
                )
            })
            .collect();
        cluster
    }

    fn with_standing(mut self, id: &str, standing: MemberState) -> Self {
        let endpoint = self.endpoints.entry(id.into());
        endpoint.and_modify(|endpoint| endpoint.standing = standing);
        self
    }

    fn with_confirmation(
        mut self,
        id: &str,
        incarnation: Incarnation,
        view_version: Version,
    ) -> Self {
        let confirmation = Confirmation {
            incarnation,
            view_version,
            released: ["m".to_owned()].into(),
        };
        self.confirmations.insert(id.into(), confirmation);
        self
    }

    /// Renders the planned change as `replicas: grants; on dependencies`, or `-` if there is none.
    fn plan(&self) -> String {
        let input = GrantPlanInput {
            model_id: &"m".to_owned(),
            model: &self.model,
            row_version: ROW_VERSION,
            head_version: HEAD_VERSION,
            profile: &self.profile,
            endpoints: &self.endpoints,
            confirmations: &self.confirmations,
            lacking_memory: &self.lacking_memory,
        };
        let Some(change) = plan_grants(&input) else {
            return "-".into();
        };
        let grants = change.record.grants.iter();
        let grants: Vec<String> = grants
            .map(|(id, grant)| format!("{id} {:?} {}", grant.state, grant.since_version))
            .collect();
        let depends_on: Vec<_> = change.depends_on.into_iter().collect();
        let replicas = change.record.replicas;
        format!(
            "{replicas}: {}; on {}",
            grants.join(", "),
            depends_on.join(" ")
        )
    }
}

use GrantState::{Held, Revoking};

#[test]
fn new_grants_spread_over_zones_and_hosts_and_by_memory() {
    insta::assert_snapshot!(Cluster::new(1).plan(), @"1: e1 Held 20; on e1");
    insta::assert_snapshot!(Cluster::new(5).plan(), @"5: e1 Held 20, e3 Held 20, e4 Held 20, e5 Held 20, e6 Held 20; on e1 e3 e4 e5 e6");
    let mut cluster = Cluster::new(2);
    cluster.endpoints.get_mut("e1").unwrap().granted_mb = 40;
    cluster.endpoints.get_mut("e4").unwrap().free_mb = 30;
    insta::assert_snapshot!(cluster.plan(), @"2: e2 Held 20, e5 Held 20; on e2 e5");
}

#[test]
fn a_lowered_limit_revokes_grants_before_replicas_is_lowered() {
    let mut cluster = Cluster::with_grants(1, &[("e1", Held), ("e4", Held), ("e5", Held)]);
    insta::assert_snapshot!(cluster.plan(), @"3: e1 Held 10, e4 Revoking 20, e5 Revoking 20; on");
    cluster = Cluster::with_grants(1, &[("e1", Held), ("e4", Revoking), ("e5", Revoking)]);
    insta::assert_snapshot!(cluster.plan(), @"-");
    insta::assert_snapshot!(cluster.with_confirmation("e4", 4, 18).plan(), @"2: e1 Held 10, e5 Revoking 10; on e4");
}

#[test]
fn a_confirmation_counts_only_from_the_registered_agent_under_the_current_row() {
    let cluster = || Cluster::with_grants(0, &[("e1", Revoking)]);
    insta::assert_snapshot!(cluster().with_confirmation("e1", 4, 17).plan(), @"-");
    insta::assert_snapshot!(cluster().with_confirmation("e1", 3, 18).plan(), @"-");
    insta::assert_snapshot!(cluster().with_confirmation("e1", 4, 18).plan(), @"0: ; on e1");
}

#[test]
fn a_grant_is_dropped_only_when_confirmed_or_its_host_is_gone() {
    let cluster = || Cluster::with_grants(1, &[("e1", Held)]);
    insta::assert_snapshot!(cluster().with_standing("e1", MemberState::Suspect).plan(), @"-");
    insta::assert_snapshot!(cluster().with_standing("e1", MemberState::Leaving).plan(), @"1: e1 Revoking 20; on");
    insta::assert_snapshot!(cluster().with_standing("e1", MemberState::Gone).plan(), @"1: e2 Held 20; on e1 e2");
}

#[test]
fn a_grant_moves_on_demand_to_an_endpoint_with_free_memory() {
    let mut cluster = Cluster::with_grants(1, &[("e1", Held)]);
    cluster.lacking_memory.insert("e1".into());
    insta::assert_snapshot!(cluster.plan(), @"1: e1 Revoking 20; on");
    for endpoint in cluster.endpoints.values_mut() {
        endpoint.free_mb = 10;
    }
    insta::assert_snapshot!(cluster.plan(), @"-");
    cluster
        .endpoints
        .entry("e4".into())
        .and_modify(|e| e.idle_mb = 30);
    insta::assert_snapshot!(cluster.plan(), @"1: e1 Revoking 20; on");
    let mut cluster = Cluster::with_grants(1, &[("e1", Revoking)]).with_confirmation("e1", 4, 18);
    cluster.endpoints.get_mut("e3").unwrap().granted_mb = 40;
    insta::assert_snapshot!(cluster.plan(), @"1: e2 Held 20; on e1 e2");
}

#[test]
fn grants_in_one_zone_are_spread_over_zones() {
    let cluster = Cluster::with_grants(2, &[("e1", Held), ("e3", Held)]);
    insta::assert_snapshot!(cluster.plan(), @"2: e1 Held 10, e3 Revoking 20; on");
    let cluster = Cluster::with_grants(2, &[("e1", Held), ("e4", Held)]);
    insta::assert_snapshot!(cluster.plan(), @"-");
}

#[test]
fn grants_being_revoked_count_against_the_limit() {
    for (limit, revoking) in (0..=6).flat_map(|n| (0..=n).map(move |r| (n, r))) {
        let ids: Vec<String> = (1..=revoking).map(|n| format!("e{n}")).collect();
        let grants: Vec<_> = ids.iter().map(|id| (id.as_str(), Revoking)).collect();
        let granted = Cluster::with_grants(limit, &grants)
            .plan()
            .matches("Held")
            .count();
        assert_eq!(granted, limit as usize - ids.len());
    }
}
