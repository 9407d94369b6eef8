//! Registering and encoding Prometheus metrics.
//!
//! Each node and agent has its own registry, so that several can run in one program.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
    core::Collector,
};

/// Creates a counter and registers it in `registry`.
pub(crate) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).unwrap_or_else(|e| invalid(name, &e));
    register(registry, name, counter)
}

/// Creates a counter with labels and registers it in `registry`.
pub(crate) fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let counter =
        IntCounterVec::new(Opts::new(name, help), labels).unwrap_or_else(|e| invalid(name, &e));
    register(registry, name, counter)
}

/// Creates a gauge and registers it in `registry`.
pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).unwrap_or_else(|e| invalid(name, &e));
    register(registry, name, gauge)
}

/// Creates a histogram and registers it in `registry`; `buckets` holds the upper bounds.
pub(crate) fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: Vec<f64>,
) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(buckets);
    let histogram = Histogram::with_opts(options).unwrap_or_else(|e| invalid(name, &e));
    register(registry, name, histogram)
}

/// The metrics of `registry` in the Prometheus text format; empty or cut short if encoding fails.
pub(crate) fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    if let Err(cause) = TextEncoder::new().encode_utf8(&registry.gather(), &mut text) {
        log::warn!(event = "metrics_encode_failed", cause:% = cause; "cannot encode metrics");
    }
    text
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, name: &str, metric: C) -> C {
    if let Err(cause) = registry.register(Box::new(metric.clone())) {
        // The metric still counts but is not exported.
        log::error!(event = "metric_not_registered", name, cause:% = cause;
            "cannot register the metric");
    }
    metric
}

/// Panics: names and buckets are constants of this crate, so an invalid one is a bug.
fn invalid(name: &str, cause: &prometheus::Error) -> ! {
    panic!("metric {name} is malformed: {cause}")
}
