//! What is sent and when, decided by a seeded generator.

use super::settings::LoadSettings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{sync::Arc, time::Duration};

/// What one request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ask {
    /// A completion.
    Completion {
        /// Model or adapter.
        model: String,
        /// As server-sent events.
        stream: bool,
    },
    /// A call to a plain service.
    Service {
        /// Name of the service.
        name: String,
    },
}

/// One request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Planned {
    /// What it asks for.
    pub(super) ask: Ask,
    /// Text that no other request carries; prompt, body and key.
    pub(super) marker: String,
}

impl Planned {
    /// Whether it carries an `Idempotency-Key`.
    pub(super) const fn is_keyed(&self) -> bool {
        matches!(self.ask, Ask::Service { .. })
    }
}

/// Generator of requests; its seed and number decide all of them.
#[derive(Debug)]
pub(super) struct Planner {
    random: ChaCha8Rng,
    settings: Arc<LoadSettings>,
    models: Arc<Vec<String>>,
    // Sums of the models' weights up to each one.
    weights: Vec<f64>,
    services: bool,
    prefix: String,
    sent: u64,
}

impl Planner {
    /// Generator `number` of a phase; `services` tells whether plain services are called.
    pub(super) fn new(
        settings: &Arc<LoadSettings>,
        models: &Arc<Vec<String>>,
        services: bool,
        run_id: &str,
        number: u64,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(number);
        Self {
            random,
            settings: Arc::clone(settings),
            models: Arc::clone(models),
            weights: zipf_sums(models.len(), f64::from(settings.skew_percent) / 100.0),
            services: services && !settings.services.is_empty(),
            prefix: format!("{run_id}-{number}"),
            sent: 0,
        }
    }

    /// The next request.
    pub(super) fn next(&mut self) -> Planned {
        self.sent += 1;
        Planned {
            ask: self.ask(),
            marker: format!("{}-{}", self.prefix, self.sent),
        }
    }

    fn ask(&mut self) -> Ask {
        if self.services && self.happens(self.settings.service_percent) {
            let index = self.random.random_range(0..self.settings.services.len());
            let name = self.settings.services[index].clone();
            return Ask::Service { name };
        }
        Ask::Completion {
            model: self.model(),
            stream: self.happens(self.settings.stream_percent),
        }
    }

    fn model(&mut self) -> String {
        let total = self.weights.last().copied().unwrap_or_default();
        let point = self.random.random::<f64>() * total;
        let index = self.weights.partition_point(|sum| *sum <= point);
        let index = index.min(self.models.len().saturating_sub(1));
        self.models.get(index).cloned().unwrap_or_default()
    }

    fn happens(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Time until the next arrival at a mean rate (exponential, so that arrivals are Poisson).
    pub(super) fn gap(&mut self, rate_per_second: u64) -> Duration {
        let uniform: f64 = self.random.random();
        let gap_seconds = -(1.0 - uniform).ln() / rate_per_second as f64;
        Duration::from_secs_f64(gap_seconds)
    }
}

/// Sums of `1 / rank^exponent`.
fn zipf_sums(count: usize, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        })
        .collect()
}
