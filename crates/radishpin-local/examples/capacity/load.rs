//! Processor time of requests and of streamed tokens on the real path.

use super::{cluster, machine};
use crate::Outcome;
use http_types::{Method, Request, Url};
use radishpin_http::Client;
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use std::{net::SocketAddr, time::Instant};

/// What is asked of the cluster.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Callers at once.
    pub callers: usize,
    /// Tokens of each answer.
    pub tokens: usize,
    /// Time between two tokens.
    pub token: Duration,
    /// Time for which callers send.
    pub time: Duration,
}

/// Prints one row of a table: the time includes callers, nodes, agents and engines.
pub fn measure(nodes: usize, agents: usize, traffic: Traffic) -> Outcome {
    smol::block_on(async {
        let cluster = cluster::start_with(nodes, agents, traffic.token).await?;
        let client = cluster::client();
        let addresses = cluster.addresses();
        let models = cluster.plan.models.len();
        // Loads happen before the measurement.
        for index in 0..models {
            call(&client, addresses[index % nodes], index, 1).await;
        }
        let idle = machine::processor_time()?;
        let idle_time = Duration::from_secs(3);
        Runtime::sleep(idle_time).await;
        let before = machine::processor_time()?;
        let idle_rate = (before - idle).as_secs_f64() / idle_time.as_secs_f64();
        let start = Instant::now();
        let end = start + traffic.time;
        let callers: Vec<_> = (0..traffic.callers)
            .map(|caller| {
                let client = client.clone();
                let address = addresses[caller % nodes];
                cluster.runtime.spawn(async move {
                    let mut answered = 0_u32;
                    let mut other = 0_u32;
                    let mut index = caller;
                    while Instant::now() < end {
                        match call(&client, address, index % models, traffic.tokens).await {
                            true => answered += 1,
                            false => other += 1,
                        }
                        index += traffic.callers;
                    }
                    (answered, other)
                })
            })
            .collect();
        let (mut answered, mut other) = (0, 0);
        for caller in callers {
            let (more, others) = caller.await;
            answered += more;
            other += others;
        }
        let took = start.elapsed().as_secs_f64();
        let spent = (machine::processor_time()? - before).as_secs_f64() - idle_rate * took;
        println!(
            "| nodes | agents | tokens | ms between | answered | other | requests a second | processor us a request beyond idle |"
        );
        println!("|---|---|---|---|---|---|---|---|");
        println!(
            "| {nodes} | {agents} | {} | {} | {answered} | {other} | {:.0} | {:.1} |",
            traffic.tokens,
            traffic.token.as_millis(),
            f64::from(answered) / took,
            spent * 1e6 / f64::from(answered.max(1)),
        );
        cluster::stop(cluster).await?;
        Ok(())
    })
}

/// A streamed completion; whether it was answered whole.
async fn call(client: &Client, address: SocketAddr, model: usize, tokens: usize) -> bool {
    let Ok(url) = Url::parse(&format!("http://{address}/v1/completions")) else {
        return false;
    };
    let mut request = Request::new(Method::Post, url);
    request.set_body(format!(
        r#"{{"model":"model-{model}","prompt":"roof","max_tokens":{tokens},"stream":true}}"#
    ));
    let Ok(mut response) = client.send(address, request).await else {
        return false;
    };
    let whole = response.body_string().await;
    whole.is_ok_and(|body| body.trim_end().ends_with("[DONE]"))
}
