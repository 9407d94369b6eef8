//! What the operating system says of this process and machine.

use std::{error::Error, fs, time::Duration};

/// Size of a page in the kernel's counts.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks of the kernel's counts in a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields between a process's name and its user time in `/proc/self/stat`.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Resident memory of this process.
pub fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("no resident pages")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// User and system time of this process so far.
pub fn processor_time() -> Result<Duration, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = text.rsplit_once(')').ok_or("no process name")?;
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let mut ticks = 0.0;
    for time in times.take(2) {
        ticks += time.parse::<f64>()?;
    }
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Load averages over one, five and fifteen minutes.
pub fn load_average() -> Result<String, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/loadavg")?;
    let averages: Vec<&str> = text.split_whitespace().take(3).collect();
    Ok(averages.join(" "))
}
