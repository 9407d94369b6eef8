//! Plans of grants, one situation at a time.

use radishpin_core::{
    process::Standing,
    version::{Confirmation, EndpointStanding, GrantFacts, plan},
};
use radishpin_protocol::{
    Grant, GrantState, ModelRecord, PROFILE_FORMAT, WorkloadClass, prelude::*,
};

const HEAD: Version = 20;
const ROW: Version = 18;

/// Six endpoints on five hosts in three availability zones, and one model.
struct Site {
    model: ModelRecord,
    profile: Profile,
    endpoints: BTreeMap<EndpointId, EndpointStanding>,
    confirmations: BTreeMap<EndpointId, Confirmation>,
    unable: BTreeSet<EndpointId>,
}

fn endpoint(host: &str, zone: &str) -> EndpointStanding {
    EndpointStanding {
        host: host.into(),
        availability_zone: zone.into(),
        service: "drafts".into(),
        memory_mb: 100,
        free_mb: 100,
        idle_mb: 0,
        granted_mb: 0,
        incarnation: 4,
        standing: Standing::Usable,
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

impl Site {
    fn new(max_replicas: u32) -> Self {
        let places = [
            ("e1", "h1", "a"),
            ("e2", "h1", "a"),
            ("e3", "h2", "a"),
            ("e4", "h3", "b"),
            ("e5", "h4", "b"),
            ("e6", "h5", "c"),
        ];
        let endpoints = places.map(|(id, host, zone)| (id.to_owned(), endpoint(host, zone)));
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
            unable: BTreeSet::new(),
        }
    }

    fn holding(max_replicas: u32, grants: &[(&str, GrantState)]) -> Self {
        let mut site = Self::new(max_replicas);
        site.model.replicas = grants.iter().map(|_| 1).sum();
        let since_version = 10;
        site.model.grants = grants
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
        site
    }

    fn stand(mut self, id: &str, standing: Standing) -> Self {
        let endpoint = self.endpoints.entry(id.into());
        endpoint.and_modify(|endpoint| endpoint.standing = standing);
        self
    }

    fn confirm(mut self, id: &str, incarnation: Incarnation, view_version: Version) -> Self {
        let confirmation = Confirmation {
            incarnation,
            view_version,
            released: ["m".to_owned()].into(),
        };
        self.confirmations.insert(id.into(), confirmation);
        self
    }

    /// The planned record in one line, or `-`.
    fn plan(&self) -> String {
        let facts = GrantFacts {
            model_id: &"m".to_owned(),
            model: &self.model,
            row_version: ROW,
            head_version: HEAD,
            profile: &self.profile,
            endpoints: &self.endpoints,
            confirmations: &self.confirmations,
            unable: &self.unable,
        };
        let Some(change) = plan(&facts) else {
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
    insta::assert_snapshot!(Site::new(1).plan(), @"1: e1 Held 20; on e1");
    insta::assert_snapshot!(Site::new(5).plan(), @"5: e1 Held 20, e3 Held 20, e4 Held 20, e5 Held 20, e6 Held 20; on e1 e3 e4 e5 e6");
    let mut site = Site::new(2);
    site.endpoints.get_mut("e1").unwrap().granted_mb = 40;
    site.endpoints.get_mut("e4").unwrap().free_mb = 30;
    insta::assert_snapshot!(site.plan(), @"2: e2 Held 20, e5 Held 20; on e2 e5");
}

#[test]
fn a_lowered_count_revokes_first_and_lowers_as_grants_go() {
    let mut site = Site::holding(1, &[("e1", Held), ("e4", Held), ("e5", Held)]);
    insta::assert_snapshot!(site.plan(), @"3: e1 Held 10, e4 Revoking 20, e5 Revoking 20; on");
    site = Site::holding(1, &[("e1", Held), ("e4", Revoking), ("e5", Revoking)]);
    insta::assert_snapshot!(site.plan(), @"-");
    insta::assert_snapshot!(site.confirm("e4", 4, 18).plan(), @"2: e1 Held 10, e5 Revoking 10; on e4");
}

#[test]
fn a_confirmation_counts_only_from_the_registered_agent_under_this_row() {
    let site = || Site::holding(0, &[("e1", Revoking)]);
    insta::assert_snapshot!(site().confirm("e1", 4, 17).plan(), @"-");
    insta::assert_snapshot!(site().confirm("e1", 3, 18).plan(), @"-");
    insta::assert_snapshot!(site().confirm("e1", 4, 18).plan(), @"0: ; on e1");
}

#[test]
fn a_grant_leaves_with_its_endpoint_only_when_confirmed_or_gone() {
    let site = || Site::holding(1, &[("e1", Held)]);
    insta::assert_snapshot!(site().stand("e1", Standing::Suspect).plan(), @"-");
    insta::assert_snapshot!(site().stand("e1", Standing::Leaving).plan(), @"1: e1 Revoking 20; on");
    insta::assert_snapshot!(site().stand("e1", Standing::Gone).plan(), @"1: e2 Held 20; on e1 e2");
}

#[test]
fn a_grant_moves_on_demand_to_an_endpoint_with_room() {
    let mut site = Site::holding(1, &[("e1", Held)]);
    site.unable.insert("e1".into());
    insta::assert_snapshot!(site.plan(), @"1: e1 Revoking 20; on");
    for endpoint in site.endpoints.values_mut() {
        endpoint.free_mb = 10;
    }
    insta::assert_snapshot!(site.plan(), @"-");
    site.endpoints
        .entry("e4".into())
        .and_modify(|e| e.idle_mb = 30);
    insta::assert_snapshot!(site.plan(), @"1: e1 Revoking 20; on");
    let mut site = Site::holding(1, &[("e1", Revoking)]).confirm("e1", 4, 18);
    site.endpoints.get_mut("e3").unwrap().granted_mb = 40;
    insta::assert_snapshot!(site.plan(), @"1: e2 Held 20; on e1 e2");
}

#[test]
fn grants_that_one_zone_would_take_with_it_are_spread() {
    let site = Site::holding(2, &[("e1", Held), ("e3", Held)]);
    insta::assert_snapshot!(site.plan(), @"2: e1 Held 10, e3 Revoking 20; on");
    let site = Site::holding(2, &[("e1", Held), ("e4", Held)]);
    insta::assert_snapshot!(site.plan(), @"-");
}

#[test]
fn grants_being_revoked_count_against_the_decided_number() {
    for (decided, revoking) in (0..=6).flat_map(|n| (0..=n).map(move |r| (n, r))) {
        let ids: Vec<String> = (1..=revoking).map(|n| format!("e{n}")).collect();
        let grants: Vec<_> = ids.iter().map(|id| (id.as_str(), Revoking)).collect();
        let granted = Site::holding(decided, &grants)
            .plan()
            .matches("Held")
            .count();
        assert_eq!(granted, decided as usize - ids.len());
    }
}
