//! Measures what a gateway spends on the origin of one stream, by the number of sidecars.
//!
//! Run with `cargo run --release -p radishpin-core --example stream_origins`.

use radishpin_core::{
    process::{SharedRequest, choose_holders},
    request::{StreamOrigin, StreamOrigins},
};
use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Streams per measurement.
const STREAMS: u32 = 2_000;

fn main() {
    let origin = |n: u32| StreamOrigin {
        attempt: format!("{n:016x}"),
        send: 1,
        software_version: Some("v1.2".to_owned()),
    };
    let message = serde_json::to_vec(&SharedRequest::RecordOrigin(origin(1))).unwrap_or_default();
    println!("message of one copy: {} bytes", message.len());
    let mut origins = StreamOrigins::default();
    let started = Instant::now();
    for n in 0..STREAMS {
        origins.record(origin(n), Duration::from_secs(1));
    }
    println!("record: {:?} a stream", started.elapsed() / STREAMS);
    for sidecars in [18_u32, 48, 7_400] {
        let addresses: Vec<SocketAddr> = (0..sidecars)
            .map(|n| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + n), 7_380)))
            .collect();
        let started = Instant::now();
        for n in 0..STREAMS {
            let holders = addresses.iter().map(|address| (*address, address));
            black_box(choose_holders(&format!("{n:016x}"), holders, 3));
        }
        let took = started.elapsed() / STREAMS;
        println!("choose 3 of {sidecars} sidecars: {took:?} a stream");
    }
}
