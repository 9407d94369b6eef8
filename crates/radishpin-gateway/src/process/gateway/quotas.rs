//! Keeps to the quotas of customers over all gateways, with credit from sidecars.

use super::Gateway;
use crate::{connection::SharedJob, process::boot_time, request::Call};
use async_channel::Sender;
use parking_lot::Mutex;
use radishpin_adapter::PlatformLimits;
use radishpin_core::{
    process::{
        CreditAsk, CreditBook, CreditQuery, CreditSearch, LeaseRequest, PARTS_MAX, PartHolders,
        QuotaBounds, QuotaLimit, Refusal, SharedReply, SharedRequest, SpentCredit, TakeCredit,
    },
    version::{Customer, CustomerId, Quota},
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::timeout;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Time after which a request asks another holder as well.
const ASK_NEXT_AFTER: Duration = Duration::from_millis(50);
/// Time without an answer after which a holder counts as unreachable for a while.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for answers before a rejection: the message under way to a holder may have to end first.
const ANSWERS_TIMEOUT: Duration = Duration::from_millis(200);
/// Answers that a request may be told of before it looks: each part is asked twice at most.
const ANSWERS_MAX: usize = 2 * PARTS_MAX as usize;
/// Most asks in one message.
const ASKS_PER_MESSAGE: usize = 256;
/// Customers that have counters of their own, those with the largest quotas; the others share theirs.
const COUNTED_CUSTOMERS: usize = 50;
/// Name under which the others are counted.
const OTHER_CUSTOMERS: &str = "(other)";

/// Outcomes that are counted for each customer.
const OUTCOMES: [&str; 6] = [
    "requested",
    "granted",
    "granted_alone",
    "rejected",
    "rejected_alone",
    "returned",
];

/// Credit of this gateway, and what it asks holders.
#[derive(Debug)]
pub(crate) struct QuotaGuard {
    book: Mutex<CreditBook>,
    /// The holders chosen last; locked while others are chosen, which requests do not wait for.
    holders: Mutex<Arc<PartHolders>>,
    batches: Mutex<BTreeMap<SocketAddr, Batch>>,
    counted: Mutex<BTreeSet<CustomerId>>,
    gateway: u64,
    sequence: AtomicU64,
}

/// Asks that wait for the answer to the message before them.
#[derive(Debug, Default)]
struct Batch {
    is_running: bool,
    waiting: Vec<WaitingAsk>,
}

#[derive(Debug)]
struct WaitingAsk {
    ask: CreditAsk,
    /// Told the part when its answer is recorded, or does not come.
    answered: Option<Sender<u8>>,
}

impl QuotaGuard {
    pub(super) fn new(limits: &PlatformLimits) -> Self {
        Self {
            book: Mutex::new(CreditBook::new(bounds_of(limits), boot_time())),
            holders: Mutex::default(),
            batches: Mutex::default(),
            counted: Mutex::default(),
            gateway: rand::random(),
            sequence: AtomicU64::new(1),
        }
    }
}

/// Credit for one request. It is given back when this is dropped, unless the request may have run.
#[derive(Debug)]
pub(crate) struct CreditPermit {
    gateway: Arc<Gateway>,
    credit: Option<SpentCredit>,
    is_sent: bool,
    may_have_run: bool,
}

impl CreditPermit {
    /// Records that the request is being sent.
    pub(crate) fn begin_send(&mut self) {
        self.is_sent = true;
    }

    /// Records how a send ended.
    pub(crate) fn end_send(&mut self, may_have_run: bool) {
        self.may_have_run |= may_have_run;
        self.is_sent = self.may_have_run;
    }
}

impl Drop for CreditPermit {
    fn drop(&mut self) {
        let credit = self.credit.take().filter(|_| !self.is_sent);
        if let Some(credit) = credit {
            self.gateway.count_quota(&credit.customer, "returned");
            let mut book = self.gateway.quotas.book.lock();
            book.give_back(credit, boot_time());
        }
    }
}

fn bounds_of(limits: &PlatformLimits) -> QuotaBounds {
    QuotaBounds {
        window: limits.quota_window,
        overshoot: limits.quota_overshoot,
        slack: limits.quota_slack,
    }
}

fn limit_of(quota: &Quota) -> QuotaLimit {
    QuotaLimit {
        rate_per_s: quota.rate_per_s,
        burst: quota.burst,
    }
}

impl Gateway {
    /// Takes the credit for a request from its customer's quota, and waits for holders to grant it if
    /// this gateway has none.
    ///
    /// # Errors
    /// The customer is over its quota; the request has been sent nowhere.
    pub(crate) async fn take_credit(
        self: &Arc<Self>,
        call: &Call,
    ) -> Result<CreditPermit, Refusal> {
        let permit = |credit| CreditPermit {
            gateway: Arc::clone(self),
            credit,
            is_sent: false,
            may_have_run: false,
        };
        let customer = call.customer.as_deref();
        let Some((customer, quota)) = customer.and_then(|one| Some((one, one.quota.as_ref()?)))
        else {
            return Ok(permit(None));
        };
        let query = CreditQuery {
            customer: &customer.name,
            version: call.catalog_version,
            limit: limit_of(quota),
            cost: quota.cost(call.token_count),
            gateways: self.fleet.lock().gateway_count(),
            random: call.random,
        };
        self.count_quota(&customer.name, "requested");
        self.apply_quota_settings();
        let mut search = CreditSearch::default();
        let (answered, answers) = async_channel::bounded(ANSWERS_MAX);
        loop {
            let next = self
                .quotas
                .book
                .lock()
                .take(&query, &mut search, boot_time());
            match next {
                TakeCredit::Taken(credit) => {
                    let outcome = if credit.alone {
                        "granted_alone"
                    } else {
                        "granted"
                    };
                    self.count_quota(&customer.name, outcome);
                    self.observe_credit(&customer.name);
                    return Ok(permit(Some(credit)));
                }
                TakeCredit::Ask { holder, ask } => {
                    self.ask_for_credit(holder, ask, Some(answered.clone()));
                    if let Some(Ok(part)) = timeout(ASK_NEXT_AFTER, answers.recv()).await {
                        search.record_answer(part);
                    }
                }
                TakeCredit::Await => match timeout(ANSWERS_TIMEOUT, answers.recv()).await {
                    Some(Ok(part)) => search.record_answer(part),
                    // An answer that comes later counts for the next request.
                    Some(Err(_)) | None => search.give_up_answers(),
                },
                TakeCredit::Denied { wait, alone } => {
                    let refusal = Refusal::over_quota(wait, call.random);
                    self.observe_credit(&customer.name);
                    self.log_over_quota(call, customer, &query, &refusal, alone);
                    return Err(refusal);
                }
            }
        }
    }

    /// Applies the settings in force, which SIGHUP may have changed.
    fn apply_quota_settings(&self) {
        let bounds = bounds_of(&self.settings.lock().platform_limits);
        self.quotas.book.lock().set_bounds(bounds);
    }

    /// Makes the parts of all customers' quotas known to holders that do not know them.
    pub(super) fn announce_quotas(self: &Arc<Self>, sidecars: BTreeSet<SocketAddr>) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        let Some(customers) = &catalog.customers else {
            return;
        };
        let limited = customers
            .iter()
            .filter_map(|one| Some((one, one.quota.as_ref()?)));
        let mut limited: Vec<(&Arc<Customer>, &Quota)> = limited.collect();
        let gateways = self.fleet.lock().gateway_count();
        self.apply_quota_settings();
        let bounds = bounds_of(&self.settings.lock().platform_limits);
        let parts = limited
            .iter()
            .map(|(customer, quota)| (customer.name.as_str(), bounds.parts(limit_of(quota))));
        let mut chosen = self.quotas.holders.lock();
        let holders = Arc::new(PartHolders::choose(&chosen, sidecars, parts));
        *chosen = Arc::clone(&holders);
        let mut book = self.quotas.book.lock();
        book.set_holders(holders);
        drop(chosen);
        book.retain_customers(|name| customers.by_name(name).is_some());
        let mut asks = Vec::new();
        for (customer, quota) in &limited {
            let query = CreditQuery {
                customer: &customer.name,
                version: catalog.version,
                limit: limit_of(quota),
                cost: 0,
                gateways,
                random: 0,
            };
            asks.extend(book.announcements(&query, boot_time()));
        }
        drop(book);
        for (holder, ask) in asks {
            self.ask_for_credit(holder, ask, None);
        }
        limited.sort_by(|(_, one), (_, other)| other.rate_per_s.total_cmp(&one.rate_per_s));
        let largest = limited.iter().take(COUNTED_CUSTOMERS);
        self.set_counted_customers(largest.map(|(one, _)| one.name.clone()).collect());
    }

    /// Sets the customers with counters of their own, and drops those of others.
    fn set_counted_customers(&self, customers: BTreeSet<CustomerId>) {
        let mut counted = self.quotas.counted.lock();
        for customer in counted.difference(&customers) {
            for outcome in OUTCOMES {
                // A customer need not have had each outcome.
                let _ = self
                    .metrics
                    .quotas
                    .remove_label_values(&[customer, outcome]);
            }
            let _ = self.metrics.quota_credit.remove_label_values(&[customer]);
        }
        *counted = customers;
    }

    fn observe_credit(&self, customer: &str) {
        if self.quotas.counted.lock().contains(customer) {
            let left = self.quotas.book.lock().credit_left(customer, boot_time());
            let gauge = self.metrics.quota_credit.with_label_values(&[customer]);
            gauge.set(i64::try_from(left).unwrap_or(i64::MAX));
        }
    }

    fn count_quota(&self, customer: &str, outcome: &str) {
        let counted = self.quotas.counted.lock();
        let customer = counted
            .get(customer)
            .map_or(OTHER_CUSTOMERS, String::as_str);
        let labels = &[customer, outcome];
        self.metrics.quotas.with_label_values(labels).inc();
    }

    /// Puts an ask into the next message to a holder.
    fn ask_for_credit(
        self: &Arc<Self>,
        holder: SocketAddr,
        ask: CreditAsk,
        answered: Option<Sender<u8>>,
    ) {
        let mut batches = self.quotas.batches.lock();
        let batch = batches.entry(holder).or_default();
        batch.waiting.push(WaitingAsk { ask, answered });
        if !std::mem::replace(&mut batch.is_running, true) {
            let gateway = Arc::clone(self);
            self.runtime
                .spawn_detached(async move { gateway.send_batches(holder).await });
        }
    }

    /// Sends one message after the other to a holder until no ask waits.
    async fn send_batches(&self, holder: SocketAddr) {
        while let Some(asks) = self.next_batch(holder) {
            self.send_batch(holder, asks).await;
        }
    }

    /// The asks of the next message to a holder; `None` if none waits.
    fn next_batch(&self, holder: SocketAddr) -> Option<Vec<WaitingAsk>> {
        let mut batches = self.quotas.batches.lock();
        let batch = batches.get_mut(&holder)?;
        if batch.waiting.is_empty() {
            batches.remove(&holder);
            return None;
        }
        let count = batch.waiting.len().min(ASKS_PER_MESSAGE);
        Some(batch.waiting.drain(..count).collect())
    }

    async fn send_batch(&self, holder: SocketAddr, asks: Vec<WaitingAsk>) {
        let sent_at = boot_time();
        let request = LeaseRequest {
            gateway: self.quotas.gateway,
            sequence: self.quotas.sequence.fetch_add(1, Ordering::Relaxed),
            asks: asks.iter().map(|waiting| waiting.ask.clone()).collect(),
        };
        let answer = self.exchange_credit(holder, request).await;
        let mut book = self.quotas.book.lock();
        let now = boot_time();
        match answer {
            Some(SharedReply::Credit(answers)) if answers.len() == asks.len() => {
                for (waiting, answer) in asks.iter().zip(answers) {
                    book.record_answer(&waiting.ask, answer, sent_at, now);
                }
            }
            _ => {
                book.record_silence(holder, now);
                log::info!(event = "quota_holder_silent", sidecar:% = holder; "a holder of quotas does not answer; others are asked for a while");
            }
        }
        drop(book);
        for waiting in asks {
            if let Some(answered) = waiting.answered {
                // The request may have gone on meanwhile.
                let _ = answered.try_send(waiting.ask.part);
            }
        }
    }

    async fn exchange_credit(
        &self,
        holder: SocketAddr,
        request: LeaseRequest,
    ) -> Option<SharedReply> {
        let jobs = self.shared_link(holder)?;
        let (reply, replies) = async_channel::bounded(1);
        let job = SharedJob {
            request: SharedRequest::LeaseCredit(request),
            reply: Some(reply),
        };
        jobs.try_send(job).ok()?;
        timeout(HOLDER_TIMEOUT, replies.recv()).await?.ok()
    }

    fn log_over_quota(
        &self,
        call: &Call,
        customer: &Customer,
        query: &CreditQuery<'_>,
        refusal: &Refusal,
        alone: bool,
    ) {
        let outcome = if alone { "rejected_alone" } else { "rejected" };
        self.count_quota(&customer.name, outcome);
        let book = self.quotas.book.lock();
        let now = boot_time();
        let answer_age = book
            .answered_at(&customer.name)
            .map(|at| now.saturating_sub(at).as_millis() as u64);
        log::info!(
            event = "over_quota", request = call.id, route = call.route.name, customer = customer.name,
            cost = query.cost, rate_per_s = query.limit.rate_per_s, burst = query.limit.burst,
            credit = book.credit_left(&customer.name, now), usage_per_s = book.usage_per_s(&customer.name),
            alone = alone, answer_age_ms = answer_age.map_or(-1, |age| i64::try_from(age).unwrap_or(i64::MAX)),
            retry_after_ms = refusal.retry_after.as_millis() as u64, configuration = query.version;
            "the customer is over its quota"
        );
    }
}
