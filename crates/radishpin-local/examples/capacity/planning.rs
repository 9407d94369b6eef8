//! Time of a round of planning grants, and of gathering what it is planned from.

use super::view;
use crate::Outcome;
use radishpin_core::{
    process::MemberState,
    version::{Confirmation, EndpointSummary, GrantPlanInput, plan_grants},
};
use radishpin_protocol::{ModelRecord, prelude::*};
use std::{error::Error, hint::black_box, time::Instant};

/// Sizes as shares of the target size: one in so many.
const SHARES: [usize; 3] = [4, 2, 1];
/// Shards of the models, as in the node's leases.
const SHARDS: usize = 16;

/// Prints the times at three sizes.
pub fn measure() -> Outcome {
    println!(
        "| models | endpoints | gather facts | round, nothing to do | a 16th of the models | round, no grants yet |"
    );
    println!("|---|---|---|---|---|---|");
    for share in SHARES {
        let view = smaller(share)?;
        let gathering = Instant::now();
        let (endpoints, confirmations) = gather(&view);
        let gathered = gathering.elapsed();
        let facts = Facts {
            view: &view,
            endpoints: &endpoints,
            confirmations: &confirmations,
        };
        let (settled, _) = facts.round(1, false);
        let (shard, _) = facts.round(SHARDS, false);
        let (first, planned) = facts.round(1, true);
        println!(
            "| {} | {} | {gathered:?} | {settled:?} | {shard:?} | {first:?} ({planned} planned) |",
            view.models.len(),
            view.endpoints.len(),
        );
    }
    Ok(())
}

fn smaller(share: usize) -> Result<ClusterView, Box<dyn Error>> {
    let mut view = view::whole()?;
    let models = view::MODELS / share;
    let endpoints = view::ENDPOINTS / share;
    while view.endpoints.len() > endpoints {
        // Those whose names come last, so that grants of the models kept stay valid.
        let last = view.endpoints.len() - 1;
        view.endpoints.remove(&format!("drafting-{last}"));
    }
    while view.models.len() > models {
        let last = view.models.len() - 1;
        view.models.remove(&format!("model-{last}"));
    }
    Ok(view)
}

/// The same maps as a node's control loop builds each round.
fn gather(
    view: &ClusterView,
) -> (
    BTreeMap<EndpointId, EndpointSummary>,
    BTreeMap<EndpointId, Confirmation>,
) {
    let endpoints = view.endpoints.iter().map(|(id, record)| {
        let standing = EndpointSummary {
            host: record.host.clone(),
            availability_zone: record.availability_zone.clone(),
            service: record.service.clone(),
            memory_mb: record.memory_mb,
            free_mb: record.memory_mb,
            idle_mb: 0,
            granted_mb: 0,
            incarnation: record.incarnation,
            standing: MemberState::Usable,
        };
        (id.clone(), standing)
    });
    let confirmations = view.endpoints.keys().map(|id| {
        let confirmation = Confirmation {
            incarnation: 1,
            view_version: 1,
            released: BTreeSet::new(),
        };
        (id.clone(), confirmation)
    });
    (endpoints.collect(), confirmations.collect())
}

struct Facts<'a> {
    view: &'a ClusterView,
    endpoints: &'a BTreeMap<EndpointId, EndpointSummary>,
    confirmations: &'a BTreeMap<EndpointId, Confirmation>,
}

impl Facts<'_> {
    /// Plans one model in so many; returns the time and how many were changed.
    fn round(&self, one_in: usize, without_grants: bool) -> (Duration, usize) {
        let unable = BTreeSet::new();
        let records: Vec<(&ModelId, ModelRecord)> = self
            .view
            .models
            .iter()
            .step_by(one_in)
            .map(|(id, model)| (id, model_with(model, without_grants)))
            .collect();
        let start = Instant::now();
        let mut planned = 0;
        for (model_id, model) in &records {
            let Some(profile) = self.view.profile_of(&model.service) else {
                continue;
            };
            let change = plan_grants(&GrantPlanInput {
                model_id,
                model,
                row_version: 1,
                head_version: 1,
                profile,
                endpoints: self.endpoints,
                confirmations: self.confirmations,
                lacking_memory: &unable,
            });
            planned += usize::from(black_box(change).is_some());
        }
        (start.elapsed(), planned)
    }
}

fn model_with(model: &ModelRecord, without_grants: bool) -> ModelRecord {
    let mut model = model.clone();
    if without_grants {
        model.grants.clear();
    }
    model
}
