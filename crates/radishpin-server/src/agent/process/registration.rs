//! Registering the endpoint: a conditional write that makes a new incarnation.

use super::Agent;
use radishpin_core::process::{Fencing as LedgerFencing, ReplicaLedger};
use radishpin_platform::{
    CallError, ChangeOutcome, PlatformClient, RowChange, ViewChange, ViewWriter,
};
use radishpin_protocol::{ENDPOINT_PREFIX, EndpointRecord, prelude::*};
use radishpin_runtime::Runtime;
use std::sync::atomic::Ordering;

/// Shortest and longest time between two tries to register.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// What a try to register came to.
enum RegisterOutcome {
    /// The row is written.
    Registered(Incarnation, Version),
    /// Another writer came first.
    LostRace,
    /// The name belongs to this host, which has not gone.
    OnOtherHost(HostId),
}

impl Agent {
    /// Registers the endpoint, however long the platform is down.
    ///
    /// An outcome that stays unknown is no harm: the next try reads the row again, and a late
    /// effect of the earlier one then fails on its condition.
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
                        "the endpoint is registered on a host that has not gone");
                }
                Err(cause) => {
                    log::warn!(event = "registration_failed", cause:% = cause; "registration failed");
                }
            }
            Runtime::sleep(backoff.mul_f64(0.5 + client.random() / 2.0)).await;
            backoff = (backoff * 2).min(RETRY_MAX);
        }
    }

    /// One try.
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
        // A row that cannot be read still proves an earlier life; its version is above any
        // incarnation that it may have held, as each incarnation took a commit.
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

    /// Whether the endpoint's name belongs to a host that the platform still lists: an agent
    /// there may live, and two agents under one name would count one memory twice.
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
