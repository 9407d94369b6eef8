//! Prometheus metrics of the process.

use super::gateway::internal_limits;
use crate::connection::{ConnectionRegistry, serve};
use http::{Response, header};
use http_body_util::Full;
use hyper::body::Bytes;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use radishpin_runtime::Runtime;
use std::{net::SocketAddr, sync::Arc};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0,
];

/// Metrics of a gateway or sidecar.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests, by outcome.
    pub(crate) requests: IntCounterVec,
    /// Refused requests, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Requests that were sent again, by reason.
    pub(crate) retries: IntCounterVec,
    /// Streams that callers resumed, by how the version that began them was found.
    pub(crate) resumptions: IntCounterVec,
    /// Slots asked for at endpoints that state limits, by outcome and holder.
    pub(crate) slots: IntCounterVec,
    /// Requests of customers with a quota, by customer and outcome.
    pub(crate) quotas: IntCounterVec,
    /// Credit of customers' quotas that this gateway holds, in the unit of the quota.
    pub(crate) quota_credit: IntGaugeVec,
    /// Requests of customers under contention, by customer and outcome.
    pub(crate) fair_share: IntCounterVec,
    /// Time from the receipt of a request to the head of its response.
    pub(crate) first_byte_s: Histogram,
    /// Time from the receipt of a request to the end of its response.
    pub(crate) answer_s: Histogram,
    /// Time that requests waited for a model or adapter to be loaded.
    pub(crate) load_wait_s: Histogram,
    /// Connections that were closed or declined to stay within the limits of the host, by listener and reason.
    pub(crate) connections_closed: IntCounterVec,
    /// Orders to the engine, by kind and outcome.
    pub(crate) orders: IntCounterVec,
    /// Time from sending an order to the engine's response, or to the timeout.
    pub(crate) order_s: Histogram,
    /// Listed endpoints, by state.
    pub(crate) endpoints: IntGaugeVec,
    /// Prompt parts whose requests are refused because engines crashed under them.
    pub(crate) refused_prompt_parts: IntGauge,
    /// Requests that are refused because endpoints crash under them.
    pub(crate) refused_requests: IntGauge,
    /// Requests that the memory budget rejected or ended, by outcome.
    pub(crate) memory_budget: IntCounterVec,
    /// Bytes of the memory budget that are in use.
    pub(crate) memory_budget_bytes: IntGauge,
    /// Version of the configuration in force; 0 before the first one.
    pub(crate) configuration_version: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Two metrics have the same name, or a name is invalid.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let requests = counters(
            "radishpin_requests_total",
            "Requests by outcome",
            &["outcome"],
        )?;
        let refusals = counters(
            "radishpin_refusals_total",
            "Refusals by reason",
            &["reason"],
        )?;
        let retries = counters("radishpin_retries_total", "Retries by reason", &["reason"])?;
        let resumptions = counters(
            "radishpin_resumptions_total",
            "Streams that callers took up, by source of their version",
            &["source"],
        )?;
        let slots = counters(
            "radishpin_slots_total",
            "Slots asked for at endpoints that state limits",
            &["outcome", "holder"],
        )?;
        let quotas = counters(
            "radishpin_quota_requests_total",
            "Requests of customers with a quota",
            &["customer", "outcome"],
        )?;
        let fair_share = counters(
            "radishpin_fair_share_requests_total",
            "Requests of customers while no endpoint had a free slot",
            &["customer", "outcome"],
        )?;
        let connections_closed = counters(
            "radishpin_connections_closed_total",
            "Connections closed to stay within the limits of the host",
            &["listener", "reason"],
        )?;
        let orders = counters(
            "radishpin_orders_total",
            "Orders to the engine",
            &["kind", "outcome"],
        )?;
        let memory_budget = counters(
            "radishpin_memory_budget_total",
            "Requests that the memory budget rejected or ended",
            &["outcome"],
        )?;
        let first_byte_s = histogram(
            "radishpin_first_byte_seconds",
            "Time to the head of the answer",
        )?;
        let answer_s = histogram("radishpin_answer_seconds", "Time to the end of the answer")?;
        let load_wait_s = histogram("radishpin_load_wait_seconds", "Time waited for a load")?;
        let order_s = histogram("radishpin_order_seconds", "Time to the answer to an order")?;
        let endpoints = IntGaugeVec::new(
            Opts::new("radishpin_endpoints", "Endpoints by state"),
            &["state"],
        )?;
        registry.register(Box::new(endpoints.clone()))?;
        let quota_credit = IntGaugeVec::new(
            Opts::new(
                "radishpin_quota_credit",
                "Credit of customers' quotas that this gateway holds",
            ),
            &["customer"],
        )?;
        registry.register(Box::new(quota_credit.clone()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let refused_prompt_parts = gauge(
            "radishpin_refused_prompt_parts",
            "Prompt parts that are refused because engines crashed under them",
        )?;
        let refused_requests = gauge(
            "radishpin_refused_requests",
            "Requests that are refused because endpoints crashed under them",
        )?;
        let memory_budget_bytes = gauge(
            "radishpin_memory_budget_bytes",
            "Bytes of the memory budget that are in use",
        )?;
        let configuration_version = gauge(
            "radishpin_configuration_version",
            "Version of the configuration in force",
        )?;
        Ok(Self {
            registry,
            requests,
            refusals,
            retries,
            resumptions,
            slots,
            quotas,
            quota_credit,
            fair_share,
            connections_closed,
            first_byte_s,
            answer_s,
            load_wait_s,
            orders,
            order_s,
            endpoints,
            refused_prompt_parts,
            refused_requests,
            memory_budget,
            memory_budget_bytes,
            configuration_version,
        })
    }

    /// Renders all metrics as a response in the Prometheus text format.
    pub(crate) fn render(&self) -> Response<Full<Bytes>> {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        if let Err(cause) = encoder.encode(&self.registry.gather(), &mut text) {
            log::error!(event = "metrics_failed", cause:% = cause; "cannot encode the metrics");
        }
        let mut response = Response::new(Full::from(text));
        let content_type = http::HeaderValue::from_static("text/plain; version=0.0.4");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }
}

/// Serves metrics until the process exits. A failure to listen is only logged, because requests
/// can be served without metrics.
pub(crate) async fn serve_metrics(
    runtime: &Runtime,
    address: SocketAddr,
    registry: Arc<ConnectionRegistry>,
    render: impl Fn() -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
) {
    let handler = move |_| std::future::ready(render());
    // A shutdown that never starts: metrics are served while the process drains.
    let no_shutdown = Arc::default();
    let served = serve(
        runtime,
        address,
        internal_limits,
        registry,
        &no_shutdown,
        handler,
    );
    if let Err(cause) = served.await {
        log::error!(event = "metrics_unavailable", address:% = address, cause:% = cause; "cannot listen for metrics requests; metrics are not served");
    }
}
