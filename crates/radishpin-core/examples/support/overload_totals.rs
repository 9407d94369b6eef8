//! Counters of the overload simulation and the table row that shows them.

use crate::events::percentile;
use std::time::Duration;

/// Longest time from arrival to refusal that the column `within 100 ms` counts.
const PROMPT_REFUSAL: Duration = Duration::from_millis(100);

/// Column headings for [`Totals::row`].
pub const HEADER: &str = "discipline  load  served/s  of peak  late/s  refused/s  within 100 ms  \
    refusal p99 ms  wait p99 ms  drafts/s  summaries/s";

/// Counters of one simulation, from the end of the warm-up.
#[derive(Default)]
pub struct Totals {
    /// Calls that started before their deadline.
    pub served: u32,
    /// Calls that started after their deadline.
    pub late: u32,
    /// Times from arrival to start of the calls served.
    pub waits: Vec<Duration>,
    /// Times from arrival to refusal, one for each refused call.
    pub refusals: Vec<Duration>,
    /// Calls served, by index of their group of callers.
    pub served_by_callers: [u32; 2],
}

impl Totals {
    /// Calls served per second of `time`, the simulated time after the warm-up.
    pub fn served_per_second(&self, time: Duration) -> f64 {
        f64::from(self.served) / time.as_secs_f64()
    }

    /// The counters as one line; `peak` is the highest rate of calls served so far, per second.
    pub fn row(mut self, name: &str, load: f64, peak: f64, time: Duration) -> String {
        self.waits.sort_unstable();
        self.refusals.sort_unstable();
        let prompt = self
            .refusals
            .partition_point(|elapsed| *elapsed <= PROMPT_REFUSAL) as f64;
        let refused = self.refusals.len() as f64;
        let prompt_share = if refused > 0.0 { prompt / refused } else { 1.0 };
        let [drafts, summaries] = self.served_by_callers.map(f64::from);
        let seconds = time.as_secs_f64();
        format!(
            "{name:10}  {load:4.2}  {:8.1}  {:7.3}  {:6.1}  {:9.1}  {prompt_share:13.4}  {:14}  {:11}  {:8.1}  {:11.1}",
            self.served_per_second(time),
            self.served_per_second(time) / peak,
            f64::from(self.late) / seconds,
            refused / seconds,
            percentile(&self.refusals, 99).as_millis(),
            percentile(&self.waits, 99).as_millis(),
            drafts / seconds,
            summaries / seconds,
        )
    }
}
