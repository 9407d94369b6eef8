//! Shares of customers in the capacity of services, for the choice of whom to reject under contention.

mod usage;

use crate::version::{Catalog, Customer, CustomerId};
use radishpin_protocol::prelude::*;
use usage::{Claim, CustomerUsage, FloorUsage, SHARE_DECAY, fair_level};

/// Most customers and routes that are tracked, over all services.
pub const TRACKED_MAX: usize = 2_048;
/// A customer or route is below the floor if the part of its requests that is sent is less than this
/// fraction of that part over all requests. A quarter is required over a burst; its first second or two pass
/// before the averages tell.
const FLOOR: f64 = 0.4;
/// Fraction of what is sent that is divided into shares. Customers are over their shares before others lack
/// anything at this gateway: of 24 gateways each sees too few rejections to find out by them.
const DIVIDED: f64 = 0.6;
/// A customer is over its share if it got more than this times its share, and [`EXCESS_MIN`] requests more.
/// With `DIVIDED * TOLERANCE` of at least 1, one that gets no more than its weight's part of all is not.
const TOLERANCE: f64 = 1.7;
/// With less, one request would put a small customer over its share.
const EXCESS_MIN: f64 = 1.0;
/// Longest time for which shares are used before they are computed anew.
const LEVEL_LIFETIME: Duration = Duration::from_millis(100);
/// Requests asked for below which a customer or route is forgotten; one request decays to it in 16 s.
const ASKED_MIN: f64 = 0.02;
/// Part of the tracked customers and routes that is forgotten when there is no room for another one.
const FORGOTTEN_DIVISOR: usize = 4;
/// Bounds of the time that callers are told after a rejection: by then slots should be free, or a
/// customer that sends nothing more is within its share.
const RETRY_MIN: Duration = Duration::from_millis(700);
const RETRY_MAX: Duration = SHARE_DECAY;
/// Key of all requests without a customer, which count as one. No customer has an empty name.
const NO_CUSTOMER: &str = "";
const DEFAULT_WEIGHT: f64 = 1.0;

/// How a request's customer stands compared with others, for the case that no endpoint has a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// The request is treated as without fair share.
    #[default]
    Within,
    /// Its customer got more than its share.
    Over {
        /// Time after which the customer would be within its share if it sent nothing.
        retry_in: Duration,
    },
    /// Others got more than their shares, but its customer did not.
    Below,
    /// Its customer or its route is served so much less than all requests that it goes first.
    BelowFloor,
}

impl Standing {
    /// Whether the request may go to endpoints that are as full as the most urgent requests may make them.
    pub fn goes_first(self) -> bool {
        matches!(self, Self::Below | Self::BelowFloor)
    }
}

/// A request whose customer's standing matters.
#[derive(Clone, Copy, Debug)]
pub struct ShareQuery<'a> {
    /// Service that is to serve it.
    pub service: &'a str,
    /// Its customer; `None` if it has none.
    pub customer: Option<&'a Customer>,
    /// Name of its route.
    pub route: &'a str,
    /// Sum of the prompt tokens and the maximum output tokens; `None` if unknown.
    pub token_count: Option<u64>,
}

impl ShareQuery<'_> {
    fn customer_name(&self) -> &str {
        self.customer
            .map_or(NO_CUSTOMER, |customer| customer.name.as_str())
    }
}

/// A customer's standing, with what it was decided by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareVerdict {
    /// The standing.
    pub standing: Standing,
    /// Requests that the customer asked for recently.
    pub asked: f64,
    /// Those of them that were sent to endpoints.
    pub sent: f64,
    /// How many its share is; `None` if no customer is tracked.
    pub share: Option<f64>,
    /// Weight of the customer, in requests a second of its quota.
    pub weight: f64,
    /// Part of all requests of the service that was sent, from 0 to 1.
    pub sent_part: f64,
}

/// Usage of one service.
#[derive(Clone, Debug, Default)]
struct ServiceUsage {
    all: FloorUsage,
    customers: BTreeMap<CustomerId, CustomerUsage>,
    routes: BTreeMap<String, FloorUsage>,
    /// Share of a customer with a weight of 1; `None` if no customer is tracked.
    level: Option<f64>,
    /// Whether any customer is over its share.
    is_exceeded: bool,
    /// Weight of customers without a quota.
    default_weight: f64,
    /// When the level was computed; `None` if it never was.
    computed_at: Option<Duration>,
}

impl ServiceUsage {
    fn update_level(&mut self, now: Duration) {
        let is_current = |at: Duration| at <= now && now - at < LEVEL_LIFETIME;
        if self.computed_at.is_some_and(is_current) {
            return;
        }
        self.customers
            .retain(|_, customer| customer.usage.asked(now) >= ASKED_MIN);
        self.routes.retain(|_, usage| usage.asked(now) >= ASKED_MIN);
        let weights: Vec<f64> = self.customers.values().filter_map(|c| c.weight()).collect();
        self.default_weight = match weights.len() {
            0 => DEFAULT_WEIGHT,
            count => weights.iter().sum::<f64>() / count as f64,
        };
        let claims = self.customers.values().map(|customer| Claim {
            asked: customer.usage.asked(now),
            weight: self.weight(customer),
        });
        let sent: f64 = self.customers.values().map(|c| c.usage.sent(now)).sum();
        self.level = fair_level(claims.collect(), sent * DIVIDED);
        self.is_exceeded = self.level.is_some_and(|level| {
            let mut customers = self.customers.values();
            customers.any(|c| c.usage.sent(now) > sent_max(level * self.weight(c)))
        });
        self.computed_at = Some(now);
    }

    fn weight(&self, customer: &CustomerUsage) -> f64 {
        customer.weight().unwrap_or(self.default_weight)
    }

    fn is_below_floor(&self, usage: &FloorUsage) -> bool {
        usage.sent_part() < FLOOR * self.all.sent_part()
    }

    fn verdict(&self, query: &ShareQuery<'_>, now: Duration) -> ShareVerdict {
        let customer = self.customers.get(query.customer_name());
        let mut verdict = ShareVerdict {
            sent_part: self.all.sent_part(),
            ..ShareVerdict::default()
        };
        if let Some(customer) = customer {
            verdict.asked = customer.usage.asked(now);
            verdict.sent = customer.usage.sent(now);
        }
        // A customer that is not tracked asked for little.
        verdict.weight = customer.map_or(self.default_weight, |customer| self.weight(customer));
        verdict.share = self.level.map(|level| level * verdict.weight);
        let customer = customer.map(|customer| &customer.recent);
        let route = self.routes.get(query.route);
        let mut usages = customer.into_iter().chain(route);
        verdict.standing = if usages.any(|usage| self.is_below_floor(usage)) {
            Standing::BelowFloor
        } else {
            match verdict.share {
                Some(share) if verdict.sent > sent_max(share) => Standing::Over {
                    retry_in: time_until_within(verdict.sent, share),
                },
                _ if self.is_exceeded => Standing::Below,
                _ => Standing::Within,
            }
        };
        verdict
    }

    fn tracked(&self) -> usize {
        self.customers.len() + self.routes.len()
    }
}

/// The most that a customer may get without being over its share.
fn sent_max(share: f64) -> f64 {
    share * TOLERANCE + EXCESS_MIN
}

/// Time until what a customer got decays to its share.
fn time_until_within(sent: f64, share: f64) -> Duration {
    let excess = (sent / sent_max(share)).ln().max(0.0);
    let time = SHARE_DECAY.as_secs_f64() * excess;
    let time = Duration::try_from_secs_f64(time).unwrap_or(RETRY_MAX);
    time.clamp(RETRY_MIN, RETRY_MAX)
}

/// What one gateway knows of the shares of customers, by its own requests.
///
/// Times must not go back.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    services: BTreeMap<ServiceId, ServiceUsage>,
    /// When customers and routes were last forgotten to make room; `None` if never.
    forgot_at: Option<Duration>,
}

impl FairShare {
    /// Decides how a request's customer stands, before the request is sent or rejected.
    pub fn judge(&mut self, query: &ShareQuery<'_>, now: Duration) -> ShareVerdict {
        match self.services.get_mut(query.service) {
            Some(service) => {
                service.update_level(now);
                service.verdict(query, now)
            }
            None => ShareVerdict::default(),
        }
    }

    /// Counts a request that was sent to an endpoint, or rejected as no endpoint had room for it.
    pub fn count(&mut self, query: &ShareQuery<'_>, is_sent: bool, now: Duration) {
        let service = self.services.get(query.service);
        let has_customer = service.is_some_and(|s| s.customers.contains_key(query.customer_name()));
        let has_route = service.is_some_and(|s| s.routes.contains_key(query.route));
        let missing = usize::from(!has_customer) + usize::from(!has_route);
        let has_room = missing == 0 || self.make_room(missing, now);
        let service = self.services.entry(query.service.to_owned()).or_default();
        service.all.count(is_sent, now);
        if has_customer || has_room {
            let name = query.customer_name().to_owned();
            let customer = service.customers.entry(name).or_default();
            customer.count(query.customer, query.token_count, is_sent, now);
        }
        if has_route || has_room {
            let route = service.routes.entry(query.route.to_owned()).or_default();
            route.count(is_sent, now);
        }
    }

    /// Drops what belongs to services, customers and routes that a configuration does not have.
    pub fn configure(&mut self, catalog: &Catalog) {
        let Some(customers) = &catalog.customers else {
            self.services.clear();
            return;
        };
        let routes: BTreeSet<&str> = catalog
            .routes
            .values()
            .flatten()
            .map(|route| route.name.as_str())
            .collect();
        self.services
            .retain(|name, _| catalog.services.contains_key(name));
        for service in self.services.values_mut() {
            service
                .customers
                .retain(|name, _| name == NO_CUSTOMER || customers.by_name(name).is_some());
            service
                .routes
                .retain(|name, _| routes.contains(name.as_str()));
            service.computed_at = None;
        }
    }

    /// Number of customers and routes that are tracked, over all services.
    pub fn tracked(&self) -> usize {
        self.services.values().map(ServiceUsage::tracked).sum()
    }

    /// Whether there is room for as many more customers and routes; forgets those that ask for least if
    /// there is none, but not more often than shares are computed.
    fn make_room(&mut self, missing: usize, now: Duration) -> bool {
        if self.tracked() + missing <= TRACKED_MAX {
            return true;
        }
        let forgot_just_now = |at: Duration| now.saturating_sub(at) < LEVEL_LIFETIME;
        if self.forgot_at.is_some_and(forgot_just_now) {
            return false;
        }
        self.forgot_at = Some(now);
        self.forget_smallest(now);
        self.tracked() + missing <= TRACKED_MAX
    }

    fn forget_smallest(&mut self, now: Duration) {
        let mut asked: Vec<f64> = Vec::new();
        for service in self.services.values() {
            asked.extend(service.customers.values().map(|c| c.usage.asked(now)));
            asked.extend(service.routes.values().map(|usage| usage.asked(now)));
        }
        asked.sort_by(f64::total_cmp);
        let Some(kept_above) = asked.get(asked.len() / FORGOTTEN_DIVISOR).copied() else {
            return;
        };
        for service in self.services.values_mut() {
            service
                .customers
                .retain(|_, customer| customer.usage.asked(now) > kept_above);
            service
                .routes
                .retain(|_, usage| usage.asked(now) > kept_above);
        }
    }
}
