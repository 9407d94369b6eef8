//! Callers that send requests one after the other for a while, and what became of these.

use super::{
    caller::{CallerRequest, CallerResponse},
    cluster::TestCluster,
};
use radishpin_gateway::GatewayProcess;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(60);

/// What became of the requests of all callers.
#[derive(Debug, Default)]
pub struct Load {
    pub sent: usize,
    pub served: usize,
    /// Retry-After of each refusal, in seconds.
    pub retry_afters: Vec<f64>,
    /// Longest time until a refusal.
    pub slowest_refusal: Duration,
}

impl Load {
    /// Sends requests to each gateway, by one caller each, for `time`.
    pub fn run(
        cluster: &TestCluster,
        gateways: &[&GatewayProcess],
        time: Duration,
        request: impl Fn(&str) -> CallerRequest + Sync,
    ) -> Self {
        let until = Instant::now() + time;
        thread::scope(|scope| {
            let callers = gateways.iter().enumerate().map(|(n, gateway)| {
                let request = &request;
                scope.spawn(move || {
                    let mut load = Self::default();
                    for k in 0.. {
                        if Instant::now() >= until {
                            break;
                        }
                        let sent_at = Instant::now();
                        let got = cluster.ask_at(gateway, &request(&format!("r{n}-{k}")));
                        load.count(&got, sent_at.elapsed());
                        thread::sleep(PAUSE);
                    }
                    load
                })
            });
            let callers: Vec<_> = callers.collect();
            let loads = callers
                .into_iter()
                .map(|caller| caller.join().expect("the caller ends"));
            loads.fold(Self::default(), Self::add)
        })
    }

    fn count(&mut self, got: &CallerResponse, took: Duration) {
        self.sent += 1;
        self.served += usize::from(got.status == 200 && got.complete);
        if got.status == 503 {
            let retry_after = got.header("retry-after").and_then(|text| text.parse().ok());
            self.retry_afters
                .push(retry_after.unwrap_or_else(|| panic!("no time to come back: {got}")));
            self.slowest_refusal = self.slowest_refusal.max(took);
        }
    }

    fn add(mut self, other: Self) -> Self {
        self.sent += other.sent;
        self.served += other.served;
        self.retry_afters.extend(other.retry_afters);
        self.slowest_refusal = self.slowest_refusal.max(other.slowest_refusal);
        self
    }

    /// Panics unless this share of the requests was served, in tenths.
    pub fn assert_served(&self, tenths: usize) {
        let Self { sent, served, .. } = self;
        assert!(served * 10 >= sent * tenths, "{served} of {sent} served");
    }

    /// Panics unless some requests were refused, all of them at once and with times to come back
    /// that differ.
    pub fn assert_refused_at_once(&self) {
        let took = self.slowest_refusal;
        assert!(took < Duration::from_millis(500), "refused after {took:?}");
        let (least, most) = self
            .retry_afters
            .iter()
            .fold((f64::MAX, 0.0_f64), |(least, most), at| {
                (least.min(*at), most.max(*at))
            });
        assert!(
            self.retry_afters.len() > 1 && least < most,
            "{least} to {most}"
        );
    }
}
