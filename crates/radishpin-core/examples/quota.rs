//! Compares ways to keep to quotas over all gateways, by their decisions alone:
//! `cargo run --release -p radishpin-core --example quota [GATEWAYS [WAY]]`, for one number of gateways and one
//! way if they are given.

#[path = "../tests/support/quota_world.rs"]
#[allow(dead_code)]
mod quota_world;

use quota_world::{Arrival, BOUNDS, Fault, IdealBucket, World, arrivals, fullest_window};
use radishpin_core::process::QuotaLimit;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, ops::Range};

const SEED: u64 = 17;
/// Time in which the buckets of holders that have just started fill.
const START_US: u64 = 6_000_000;
const END_US: u64 = 30_000_000;
const LOAD_US: u64 = END_US - START_US;
/// Requests a second for each gateway, at the usual load.
const REQUESTS_PER_GATEWAY: f64 = 9.0;
const MEAN_COST: f64 = 1_100.0;
const ZIPF_EXPONENT: f64 = 1.2;
/// Quotas are this many times the usual usage, and at least [`QUOTA_MIN`].
const QUOTA_FACTOR: f64 = 1.8;
const QUOTA_MIN: f64 = 4_200.0;
/// Time that a slow holder takes: longer than a gateway waits before it asks another one.
const SLOW_MS: u64 = 70;
/// Interval at which gateways exchange their usage.
const EXCHANGE_US: u64 = 1_000_000;
/// Bytes of a message with the usage of one customer, and of the heads of a message.
const USAGE_BYTES: u64 = 24;
const HEADS_BYTES: u64 = 230;

#[derive(Clone, Copy)]
enum Load {
    /// All customers use what they usually do.
    Usual,
    /// The largest customer sends five times its usual load.
    Surge,
    /// Usual, with a third of the links cut.
    Cut,
    /// Usual, with a third of the holders answering [`SLOW_MS`] later.
    Slow,
    /// The surge moves to another tenth of the gateways every 4 seconds.
    Moving,
}

impl Load {
    fn over_limit(self) -> Option<usize> {
        matches!(self, Self::Surge).then_some(0)
    }
}

const LOADS: [(Load, &str); 5] = [
    (Load::Usual, "usual"),
    (Load::Surge, "surge"),
    (Load::Cut, "cut"),
    (Load::Slow, "slow"),
    (Load::Moving, "moving"),
];

/// What a way costs, and how it keeps to the quotas.
struct Figures {
    fullest: f64,
    rejected_below: f64,
    messages: u64,
    bytes: u64,
}

struct Case {
    gateways: usize,
    usages: Vec<f64>,
    limits: Vec<QuotaLimit>,
}

impl Case {
    fn new(gateways: usize, customers: usize) -> Self {
        let total = REQUESTS_PER_GATEWAY * MEAN_COST * gateways as f64;
        let weights = (1..=customers).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT));
        let weights: Vec<f64> = weights.collect();
        let sum: f64 = weights.iter().sum();
        let usages: Vec<f64> = weights.iter().map(|one| total * one / sum).collect();
        let limits = usages.iter().map(|usage| {
            let rate_per_s = (usage * QUOTA_FACTOR).max(QUOTA_MIN);
            QuotaLimit {
                rate_per_s,
                burst: rate_per_s,
            }
        });
        Self {
            gateways,
            limits: limits.collect(),
            usages,
        }
    }

    fn arrivals(&self, load: Load) -> Vec<Arrival> {
        let mut random = SmallRng::seed_from_u64(SEED);
        let mut all = Vec::new();
        let mut add = |customer: usize, usage: f64, gateways: Range<usize>, span: Range<u64>| {
            all.extend(arrivals(&mut random, customer, usage, gateways, span));
        };
        for (customer, usage) in self.usages.iter().enumerate() {
            match load {
                Load::Surge if customer == 0 => {
                    add(0, usage * 5.0, 0..self.gateways, START_US..END_US);
                }
                Load::Moving if customer == 0 => {
                    let width = self.gateways / 10;
                    for step in 0..6 {
                        let first = step as usize * width;
                        let from = START_US + step * LOAD_US / 6;
                        let span = from..from + LOAD_US / 6;
                        add(0, usage * 1.5, first..first + width, span);
                    }
                }
                _ => add(customer, *usage, 0..self.gateways, START_US..END_US),
            }
        }
        all.sort_by_key(|arrival| arrival.at_us);
        all
    }

    fn leased(&self, load: Load) -> Figures {
        let holders = self.gateways * 4 / 3;
        let mut world = World::new(SEED, self.gateways, holders, self.limits.clone());
        world.counts_bytes = true;
        world.over_limit = load.over_limit();
        let mut random = SmallRng::seed_from_u64(SEED);
        for gateway in 0..self.gateways {
            for holder in 0..holders {
                if matches!(load, Load::Cut) && random.random_bool(1.0 / 3.0) {
                    world.fault(0, Fault::Link(gateway, holder, true));
                }
            }
        }
        for holder in (0..holders).step_by(3) {
            if matches!(load, Load::Slow) {
                world.fault(0, Fault::SlowHolder(holder, SLOW_MS));
            }
        }
        world.run(self.arrivals(load));
        Figures {
            fullest: self.fullest(&world.outcome.runs),
            rejected_below: world.rejected_below(),
            messages: world.outcome.messages,
            bytes: world.outcome.bytes,
        }
    }

    /// Gateways with a share of each quota each: equal ones, or ones that follow the usage that they tell
    /// each other.
    fn shares(&self, load: Load, exchanged: bool) -> Figures {
        let count = self.gateways;
        let mut random = SmallRng::seed_from_u64(SEED);
        let links = (0..count * count).map(|_| {
            let is_cut = matches!(load, Load::Cut) && random.random_bool(1.0 / 3.0);
            !is_cut
        });
        let links: Vec<bool> = links.collect();
        let mut usage = vec![vec![0.0; count]; self.limits.len()];
        let mut shares: Vec<Vec<IdealBucket>> = self
            .limits
            .iter()
            .map(|limit| vec![IdealBucket::new(shared(*limit, 1.0 / count as f64)); count])
            .collect();
        let mut ideal: Vec<IdealBucket> =
            self.limits.iter().copied().map(IdealBucket::new).collect();
        let mut runs: BTreeMap<usize, Vec<(u64, u64)>> = BTreeMap::new();
        let (mut below, mut rejected, mut messages, mut bytes) = (0_u64, 0_u64, 0, 0);
        let mut exchange_at = START_US + EXCHANGE_US;
        for arrival in self.arrivals(load) {
            while exchanged && arrival.at_us >= exchange_at {
                self.exchange(&mut usage, &mut shares, &links);
                let used = 16.min(self.limits.len()) as u64;
                messages += (count * (count - 1)) as u64;
                bytes += (count * (count - 1)) as u64 * (HEADS_BYTES + used * USAGE_BYTES);
                exchange_at += EXCHANGE_US;
            }
            let Arrival {
                at_us,
                gateway,
                customer,
                cost,
            } = arrival;
            usage[customer][gateway] += cost as f64;
            let is_below = ideal[customer].take(cost, at_us) && load.over_limit() != Some(customer);
            let bucket = &mut shares[customer][gateway];
            // A request that costs more than the share is served from a full bucket.
            let burst = bucket.limit.burst;
            bucket.take(0, at_us);
            let taken = bucket.level >= burst.min(cost as f64);
            if taken {
                bucket.level -= cost as f64;
                runs.entry(customer).or_default().push((at_us, cost));
            }
            below += u64::from(is_below);
            rejected += u64::from(is_below && !taken);
        }
        Figures {
            fullest: self.fullest(&runs),
            rejected_below: rejected as f64 / below.max(1) as f64,
            messages,
            bytes,
        }
    }

    /// Half of each quota is shared equally, the other half by the usage in the last interval.
    fn exchange(&self, usage: &mut [Vec<f64>], shares: &mut [Vec<IdealBucket>], links: &[bool]) {
        let count = self.gateways;
        for (customer, used) in usage.iter_mut().enumerate() {
            if used.iter().all(|one| *one == 0.0) {
                continue;
            }
            for gateway in 0..count {
                let known = (0..count).filter(|other| links[gateway * count + other]);
                let sum: f64 = known.map(|other| used[other]).sum::<f64>() + 1.0;
                let share = 0.5 / count as f64 + 0.5 * used[gateway] / sum.max(used[gateway]);
                shares[customer][gateway].limit = shared(self.limits[customer], share);
            }
            used.fill(0.0);
        }
    }

    /// Largest usage in a window, as a share of what may be used in it.
    fn fullest(&self, runs: &BTreeMap<usize, Vec<(u64, u64)>>) -> f64 {
        let shares = runs.iter().map(|(customer, runs)| {
            let most = fullest_window(runs, BOUNDS.window) as f64;
            most / BOUNDS.most_in_window(self.limits[*customer])
        });
        shares.fold(0.0, f64::max)
    }
}

fn shared(limit: QuotaLimit, share: f64) -> QuotaLimit {
    QuotaLimit {
        rate_per_s: limit.rate_per_s * share,
        burst: limit.burst * share,
    }
}

fn main() {
    println!(
        "| gateways | customers | load | way | fullest window | rejected below | messages/s | KB/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut arguments = std::env::args().skip(1);
    let only_gateways: Option<usize> = arguments.next().and_then(|text| text.parse().ok());
    let only_way = arguments.next();
    for gateways in [30, 100, 410] {
        if only_gateways.is_some_and(|only| only != gateways) {
            continue;
        }
        for customers in [16, 200, 1_000] {
            let case = Case::new(gateways, customers);
            for (load, name) in LOADS {
                for way in ["fixed", "leased", "exchanged"] {
                    if only_way.as_ref().is_some_and(|only| only != way) {
                        continue;
                    }
                    let figures = match way {
                        "fixed" => case.shares(load, false),
                        "leased" => case.leased(load),
                        _ => case.shares(load, true),
                    };
                    let per_gateway = |n: u64| n as f64 / gateways as f64 / (LOAD_US as f64 / 1e6);
                    println!(
                        "| {gateways} | {customers} | {name} | {way} | {:.2} | {:.2} % | {:.1} | {:.2} |",
                        figures.fullest,
                        figures.rejected_below * 100.0,
                        per_gateway(figures.messages),
                        per_gateway(figures.bytes) / 1_024.0,
                    );
                }
            }
        }
    }
}
