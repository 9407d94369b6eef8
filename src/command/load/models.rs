//! Which models are called.

use super::{fetch::get, settings::LoadSettings};
use crate::CommandError;
use radishpin_http::Client;
use radishpin_protocol::engine::{EngineReport, REPORT_PATH};
use serde::Deserialize;
use std::{collections::BTreeSet, sync::Arc};

/// Path of a node's list of models.
const MODELS_PATH: &str = "/v1/models";

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
}

/// The models to call, the most called first.
///
/// With a direct address, only those that its engine has loaded: nothing loads them there.
///
/// # Errors
/// The lists cannot be read, or nothing is left to call.
pub(super) async fn to_call(
    client: &Client,
    settings: &LoadSettings,
) -> Result<Arc<Vec<String>>, CommandError> {
    let mut models = settings.models.clone();
    if let ([], Some(address)) = (models.as_slice(), settings.targets.first()) {
        let list: ModelList = get(client, *address, MODELS_PATH).await?;
        models = list.data.into_iter().map(|entry| entry.id).collect();
    }
    if let Some(address) = settings.direct {
        let report: EngineReport = get(client, address, REPORT_PATH).await?;
        let loaded: BTreeSet<&str> = report.loaded.iter().map(|r| r.target.name()).collect();
        models.retain(|model| loaded.contains(model.as_str()));
    }
    match models.is_empty() {
        true => Err(CommandError::Load {
            cause: "there is no model to call; check --models, and with --direct that the engine \
                    has loaded one of them"
                .to_owned(),
        }),
        false => Ok(Arc::new(models)),
    }
}
