//! Measures the slopes from which `docs/CAPACITY.md` works out the state, messages, processor time
//! and memory of each role.
//!
//! `cargo run --release -p radishpin-local --example capacity -- MEASUREMENT [ARGUMENTS]`, one
//! measurement a process, so that memory starts afresh:
//!
//! - `view`: memory of a row of each kind, and the time of an agent's part of the view;
//! - `plan`: time of a round of planning grants, and of gathering its facts;
//! - `messages`: bytes of heartbeats and of the host list;
//! - `subset`: time in which a node finds out which agents it sends heartbeats to;
//! - `idle NODES AGENTS SECONDS`: processor time and memory of a cluster without callers;
//! - `load NODES AGENTS SECONDS TOKENS TOKEN_MS CALLERS`: processor time of requests with so many
//!   tokens, so many milliseconds apart;
//! - `spread NODES AGENTS CHANGES`: time from accepted to in force, with a node paused, and after
//!   an outage of the platform;
//! - `lower NODES AGENTS`: time until grants have gone after the count of replicas was lowered.

mod capacity {
    pub mod cluster;
    pub mod idle;
    pub mod load;
    pub mod lower;
    pub mod machine;
    pub mod messages;
    pub mod planning;
    pub mod spread;
    pub mod subset;
    pub mod view;
}

use capacity::{
    idle, load, load::Traffic, lower, machine, messages, planning, spread, subset, view,
};
use std::{error::Error, time::Duration};

/// What every measurement returns.
pub type Outcome = Result<(), Box<dyn Error>>;

fn main() -> Outcome {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default: usize| {
        let argument = arguments.get(index);
        argument.map_or(Ok(default), |text| text.parse::<usize>())
    };
    println!("load average before {}", machine::load_average()?);
    match arguments.first().map(String::as_str) {
        Some("view") => view::measure()?,
        Some("plan") => planning::measure()?,
        Some("messages") => messages::measure()?,
        Some("subset") => subset::measure()?,
        Some("idle") => idle::measure(number(1, 4)?, number(2, 60)?, number(3, 20)?)?,
        Some("load") => {
            let traffic = Traffic {
                time: Duration::from_secs(u64::try_from(number(3, 10)?)?),
                tokens: number(4, 1)?,
                token: Duration::from_millis(u64::try_from(number(5, 0)?)?),
                callers: number(6, 32)?,
            };
            load::measure(number(1, 4)?, number(2, 60)?, traffic)?;
        }
        Some("spread") => spread::measure(number(1, 3)?, number(2, 6)?, number(3, 10)?)?,
        Some("lower") => lower::measure(number(1, 3)?, number(2, 6)?)?,
        _ => {
            return Err("name a measurement; they stand at the top of examples/capacity.rs".into());
        }
    }
    println!("load average after {}", machine::load_average()?);
    Ok(())
}
