//! Registration of the endpoint: a conditional write that creates a new incarnation.

use super::Agent;
use radishpin_core::process::{Fencing as LedgerFencing, ReplicaLedger};
use radishpin_platform::{
    CallError, ChangeOutcome, PlatformClient, RowChange, ViewChange, ViewWriter,
};
use radishpin_protocol::{ENDPOINT_PREFIX, EndpointRecord, prelude::*};
use radishpin_runtime::Runtime;
use std::sync::atomic::Ordering;

/// Bounds of the backoff between attempts to register.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Outcome of one attempt to register.
enum RegisterOutcome {
    /// The row was written with this incarnation and committed as this version.
    Registered(Incarnation, Version),
    /// Another writer changed the row first.
    LostRace,
    /// The endpoint is registered on this other host, which the platform still lists.
    OnOtherHost(HostId),
}

impl Agent {
    /// Registers the endpoint; retries until it succeeds, also while the platform is unavailable.
    ///
    /// A commit with an unknown outcome can be retried safely: the next attempt reads the row
    /// again, and if the earlier commit arrives after the next one, its version condition fails.
    pub(super) async fn register(&self, client: &PlatformClient, address: &str) {
        let mut backoff = RETRY_MIN;
        loop {
            match self.try_register(client, address).await {
                Ok(RegisterOutcome::Registered(incarnation, version)) => {
                    self.begin_incarnation(incarnation, version);
                    return;
                }
                Ok(RegisterOutcome::LostRace) => continue,
                Ok(RegisterOutcome::OnOtherHost(host)) => {
                    let endpoint = self.settings.name.as_str();
                    log::warn!(event = "registered_elsewhere", endpoint, host = host.as_str();
                        "the endpoint is registered on another host that is still listed; retrying");
                }
                Err(cause) => {
                    log::warn!(event = "registration_failed", cause:% = cause;
                        "cannot register the endpoint; retrying");
                }
            }
            Runtime::sleep(backoff.mul_f64(0.5 + client.random() / 2.0)).await;
            backoff = (backoff * 2).min(RETRY_MAX);
        }
    }

    /// Reads the endpoint's row and replaces it if it has not changed in the meantime.
    async fn try_register(
        &self,
        client: &PlatformClient,
        address: &str,
    ) -> Result<RegisterOutcome, CallError> {
        let key = format!("{ENDPOINT_PREFIX}{}", self.settings.name);
        let row = client.get(&key).await?;
        let old = row
            .value
            .as_deref()
            .map(serde_json::from_str::<EndpointRecord>);
        // A row that cannot be parsed still proves an earlier incarnation. Its version is no lower
        // than the incarnation in it, because each incarnation took a commit.
        let old_incarnation = match &old {
            None => 0,
            Some(Ok(record)) => record.incarnation,
            Some(Err(_)) => row.version,
        };
        if let Some(Ok(old)) = &old
            && self.is_on_other_host(client, old).await?
        {
            return Ok(RegisterOutcome::OnOtherHost(old.host.clone()));
        }
        let incarnation = old_incarnation + 1;
        let record = self.endpoint_record(address, incarnation);
        let Ok(value) = serde_json::to_string(&record) else {
            return Ok(RegisterOutcome::LostRace);
        };
        let change = ViewChange {
            rows: vec![RowChange {
                key,
                expected_version: row.version,
                value: Some(value),
            }],
            ..ViewChange::default()
        };
        match ViewWriter::new(client.clone()).commit(&change).await? {
            ChangeOutcome::Accepted(version) => {
                Ok(RegisterOutcome::Registered(incarnation, version))
            }
            ChangeOutcome::Conflict { .. } => Ok(RegisterOutcome::LostRace),
        }
    }

    /// Whether the endpoint is registered on another host that the platform still lists. An agent
    /// may still run there, and two agents under one name would count the same memory twice.
    async fn is_on_other_host(
        &self,
        client: &PlatformClient,
        old: &EndpointRecord,
    ) -> Result<bool, CallError> {
        if old.host == self.settings.host {
            return Ok(false);
        }
        let hosts = client.hosts().await?;
        Ok(hosts.iter().any(|entry| entry.host == old.host))
    }

    fn endpoint_record(&self, address: &str, incarnation: Incarnation) -> EndpointRecord {
        EndpointRecord {
            host: self.settings.host.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            agent_address: address.to_owned(),
            service: self.settings.service.clone(),
            memory_mb: self.settings.memory_mb,
            concurrency: self.settings.concurrency,
            incarnation,
        }
    }

    fn begin_incarnation(&self, incarnation: Incarnation, version: Version) {
        let fencing = match self.settings.fencing {
            crate::Fencing::Checked => LedgerFencing::Checked,
            crate::Fencing::Ignored => LedgerFencing::Ignored {
                order_life: self.settings.order_life,
            },
        };
        let now = self.clock.now();
        let memory_mb = self.settings.memory_mb;
        let ledger = ReplicaLedger::new(incarnation, version, memory_mb, fencing, now);
        *self.ledger.lock() = Some(ledger);
        self.incarnation.store(incarnation, Ordering::Release);
        self.report_requested.notify(1);
        log::info!(
            event = "registered",
            endpoint = self.settings.name.as_str(),
            incarnation,
            version;
            "endpoint registered"
        );
    }
}
