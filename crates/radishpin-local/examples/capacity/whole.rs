//! One node over a table and a host list of the target size, whose agents do not answer.

use super::{cluster, machine, messages, view};
use crate::Outcome;
use radishpin_http::{ServerLimits, Shutdown};
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use radishpin_server::{Node, NodeSettings, Token};
use radishpin_standin::MemoryPlatform;
use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

/// Where no agent listens, so that calls are refused at once.
const NOBODY: &str = "127.0.0.1:1";
/// Time for the first view to be in force.
const SETTLE: Duration = Duration::from_secs(10);
/// Time without changes.
const QUIET: Duration = Duration::from_secs(20);

/// Prints the node's memory and processor time.
pub fn measure() -> Outcome {
    let platform = MemoryPlatform::new(980);
    for (key, value) in view::rows() {
        platform.put_row(&key, Some(&value.replace(view::AGENT_ADDRESS, NOBODY)));
    }
    platform.put_row("head", Some("{}"));
    platform.set_hosts(messages::hosts());
    let before_bytes = machine::resident_bytes()?;
    let runtime = Runtime::start(2)?;
    smol::block_on(async {
        let shared = Arc::new(platform.clone());
        let node = Node::start(settings()?, runtime.clone(), shared, Shutdown::default()).await?;
        Runtime::sleep(SETTLE).await;
        let before = machine::processor_time()?;
        Runtime::sleep(QUIET).await;
        let spent = (machine::processor_time()? - before).as_secs_f64() * 1_000.0;
        let resident = machine::resident_bytes()?.saturating_sub(before_bytes);
        let endpoints = node.node.current_view().endpoints.len();
        println!("| endpoints in the view | resident KB | processor ms a second |");
        println!("|---|---|---|");
        let per_second_ms = spent / QUIET.as_secs_f64();
        println!(
            "| {endpoints} | {} | {per_second_ms:.1} |",
            resident / 1_024
        );
        Ok(())
    })
}

fn settings() -> Result<NodeSettings, Box<dyn Error>> {
    let loopback: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    Ok(NodeSettings {
        name: "host-7".to_owned(),
        availability_zone: "zone-7".to_owned(),
        host: "host-7".to_owned(),
        listen: loopback,
        operator_listen: loopback,
        peer_listen: loopback,
        platform: loopback,
        peers: Vec::new(),
        token: Token::new("local-operator-token")?,
        internal_token: Token::new("local-internal-token")?,
        threads: 1,
        limits: ServerLimits::default(),
        drain_timeout: SETTLE,
        poll_interval: cluster::POLL_INTERVAL,
        stop_lead: SETTLE,
    })
}
