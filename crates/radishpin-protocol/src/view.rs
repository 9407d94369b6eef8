//! The view: the records of one committed version of the configuration.

use crate::{
    ADAPTER_PREFIX, AdapterId, AdapterRecord, ENDPOINT_PREFIX, EndpointId, EndpointRecord, Grant,
    MODEL_PREFIX, ModelId, ModelRecord, PROFILE_PREFIX, Profile, ProfileId, SERVICE_PREFIX,
    STOP_PREFIX, ServiceId, ServiceRecord, SizeMb, StopId, StopRecord, StopTarget, UnixMs, Version,
};
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use std::{collections::BTreeMap, time::Duration};

quick_error! {
    /// Why a row of the platform's table could not be added to the view.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum RowError {
        /// The value is not a record of the kind that the key's prefix stands for.
        Malformed { key: String, cause: serde_json::Error } {
            display("row {key}: {cause}; restore it from `radishpin profile history` or write it anew")
            source(cause)
        }
    }
}

/// One row of the view, as stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Key: the prefix of the record's kind, and its name.
    pub key: String,
    /// Version of the commit that wrote the row last.
    pub version: Version,
    /// The record, as JSON.
    pub value: String,
}

/// The model, and the adapter if any, that a request's `model` field names.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedModel<'a> {
    /// Name of the model.
    pub model_id: &'a ModelId,
    /// Record of the model.
    pub model: &'a ModelRecord,
    /// The adapter; `None` if the field names the model itself.
    pub adapter: Option<(&'a AdapterId, &'a AdapterRecord)>,
}

/// One version of the whole configuration, as kept by nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Version of the row [`crate::HEAD_KEY`].
    pub version: Version,
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileId, Profile>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceRecord>,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelRecord>,
    /// Adapters by name.
    pub adapters: BTreeMap<AdapterId, AdapterRecord>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, EndpointRecord>,
    /// Planned stops by id.
    pub stops: BTreeMap<StopId, StopRecord>,
    /// Version of each row in the view, by key.
    pub row_versions: BTreeMap<String, Version>,
}

impl ClusterView {
    /// Inserts or replaces one row; `None` deletes it. Rows that are no part of the view are ignored.
    ///
    /// # Errors
    /// [`RowError::Malformed`] if the value is not a valid record; the previous record stays.
    pub fn apply_row(
        &mut self,
        key: &str,
        version: Version,
        value: Option<&str>,
    ) -> Result<(), RowError> {
        let Some((prefix, name)) = split_key(key) else {
            return Ok(());
        };
        match prefix {
            PROFILE_PREFIX => apply_record(&mut self.profiles, key, name, value)?,
            SERVICE_PREFIX => apply_record(&mut self.services, key, name, value)?,
            MODEL_PREFIX => apply_record(&mut self.models, key, name, value)?,
            ADAPTER_PREFIX => apply_record(&mut self.adapters, key, name, value)?,
            ENDPOINT_PREFIX => apply_record(&mut self.endpoints, key, name, value)?,
            STOP_PREFIX => apply_record(&mut self.stops, key, name, value)?,
            _ => return Ok(()),
        }
        match value {
            Some(_) => self.row_versions.insert(key.to_owned(), version),
            None => self.row_versions.remove(key),
        };
        Ok(())
    }

    /// All rows of the view, such that [`Self::apply_row`] on each rebuilds it.
    ///
    /// # Errors
    /// A record cannot be serialized as JSON.
    pub fn to_rows(&self) -> Result<Vec<StoredRow>, serde_json::Error> {
        let mut rows = Vec::with_capacity(self.row_versions.len());
        self.push_rows(&mut rows, PROFILE_PREFIX, &self.profiles)?;
        self.push_rows(&mut rows, SERVICE_PREFIX, &self.services)?;
        self.push_rows(&mut rows, MODEL_PREFIX, &self.models)?;
        self.push_rows(&mut rows, ADAPTER_PREFIX, &self.adapters)?;
        self.push_rows(&mut rows, ENDPOINT_PREFIX, &self.endpoints)?;
        self.push_rows(&mut rows, STOP_PREFIX, &self.stops)?;
        Ok(rows)
    }

    fn push_rows<T: Serialize>(
        &self,
        rows: &mut Vec<StoredRow>,
        prefix: &str,
        records: &BTreeMap<String, T>,
    ) -> Result<(), serde_json::Error> {
        for (name, record) in records {
            let key = format!("{prefix}{name}");
            let version = self.row_versions.get(&key).copied().unwrap_or_default();
            let value = serde_json::to_string(record)?;
            rows.push(StoredRow {
                key,
                version,
                value,
            });
        }
        Ok(())
    }

    /// Profile of a service; `None` if the service or its profile is unknown.
    pub fn profile_of(&self, service: &str) -> Option<&Profile> {
        self.profiles.get(&self.services.get(service)?.profile)
    }

    /// Finds a model by its name or by the name of one of its adapters; models take precedence.
    pub fn resolve(&self, name: &str) -> Option<ResolvedModel<'_>> {
        if let Some((model_id, model)) = self.models.get_key_value(name) {
            return Some(ResolvedModel {
                model_id,
                model,
                adapter: None,
            });
        }
        let adapter = self.adapters.get_key_value(name)?;
        let (model_id, model) = self.models.get_key_value(&adapter.1.model)?;
        Some(ResolvedModel {
            model_id,
            model,
            adapter: Some(adapter),
        })
    }

    /// Time until the next planned stop of the endpoint; zero during a stop, `None` if none is
    /// planned.
    pub fn time_until_stop(
        &self,
        endpoint: &EndpointRecord,
        now_unix_ms: UnixMs,
    ) -> Option<Duration> {
        let covers = |target: &StopTarget| match target {
            StopTarget::Host(host) => *host == endpoint.host,
            StopTarget::AvailabilityZone(zone) => *zone == endpoint.availability_zone,
        };
        let upcoming = self
            .stops
            .values()
            .filter(|stop| covers(&stop.target) && now_unix_ms < stop.to_unix_ms);
        let next_start = upcoming.map(|stop| stop.from_unix_ms).min()?;
        Some(Duration::from_millis(
            next_start.saturating_sub(now_unix_ms),
        ))
    }

    /// The part of the view that the agent of `endpoint` needs. Of the grants of a model, the first
    /// `min_loaded` in order of endpoint names are kept loaded.
    pub fn for_agent(&self, endpoint: &str) -> AgentView {
        let grants = self.models.iter().filter_map(|(id, model)| {
            let grant = *model.grants.get(endpoint)?;
            let profile = self.profile_of(&model.service)?;
            let rank = model.grants.keys().position(|e| e == endpoint)?;
            let keep_loaded = (rank as u64) < u64::from(profile.min_loaded);
            let idle_unload = Duration::from_millis(profile.idle_unload_ms);
            Some((
                id.clone(),
                ModelGrant {
                    size_mb: model.size_mb,
                    grant,
                    keep_loaded,
                    idle_unload,
                },
            ))
        });
        AgentView {
            version: self.version,
            grants: grants.collect(),
        }
    }
}

/// The grants of one endpoint in one version of the configuration, as kept by its agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AgentView {
    /// Version of the [`ClusterView`] that the grants come from.
    pub version: Version,
    /// Grants of the endpoint, by model.
    pub grants: BTreeMap<ModelId, ModelGrant>,
}

/// A grant, with the settings that the agent needs to apply it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelGrant {
    /// Accelerator memory that a replica takes.
    pub size_mb: SizeMb,
    /// State of the grant, and the version at which it got that state.
    pub grant: Grant,
    /// Whether the replica stays loaded even when idle.
    pub keep_loaded: bool,
    /// Idle time after which the replica is unloaded, unless it is kept loaded.
    pub idle_unload: Duration,
}

fn split_key(key: &str) -> Option<(&str, &str)> {
    let slash_at = key.find('/')?;
    Some(key.split_at(slash_at + 1))
}

fn apply_record<T: DeserializeOwned>(
    rows: &mut BTreeMap<String, T>,
    key: &str,
    name: &str,
    value: Option<&str>,
) -> Result<(), RowError> {
    let Some(value) = value else {
        rows.remove(name);
        return Ok(());
    };
    let record = serde_json::from_str(value).map_err(|cause| RowError::Malformed {
        key: key.to_owned(),
        cause,
    })?;
    rows.insert(name.to_owned(), record);
    Ok(())
}
