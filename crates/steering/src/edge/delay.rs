//! Expected delay of a new request at an upstream.
//!
//! Load pattern: upstreams of one service differ in speed, and under load requests queue beside
//! them. The number of requests alone would send the same load to a slow upstream as to a fast one.

use crate::view::SLO_DEFAULT_MS;

/// Number of first-ranked upstreams that are compared if none of the first
/// [`super::placement::PLACEMENT_RANKS`] is expected to answer within the SLO. A balancer that does
/// not know a flow asks one rank after the other, so that each further rank delays its search.
pub(super) const WIDE_RANKS: usize = 6;
/// Delays are compared in steps of this share of the SLO, because callers do not notice smaller
/// differences.
const STEPS_PER_SLO: f64 = 8.0;
const US_PER_MS: f64 = 1_000.0;

/// A service time that an agent reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReportedServiceTime {
    pub(super) mean_ms: u16,
    /// Whether the upstream was cold at the time of the report.
    pub(super) cold: bool,
}

/// What a balancer knows about the load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct KnownLoad {
    /// Requests in progress and queued; `None` without a fresh report.
    pub(super) requests: Option<u32>,
    /// Flows that this balancer has placed since the report.
    pub(super) placed: u32,
    pub(super) service_time: Option<ReportedServiceTime>,
}

/// Values of a service's upstreams, which stand in for what is not known about one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TypicalLoad {
    /// Mean of the requests in progress and queued, in requests of the median service time; zero
    /// if no upstream has a fresh report.
    ///
    /// An upstream without a report is taken to have the mean time of work before it. With the
    /// mean number of requests, a slow one would never be chosen under load, and would therefore
    /// never report.
    pub(super) requests: f64,
    /// Median of the service times; `None` if none is known.
    pub(super) service_time_ms: Option<u16>,
    /// Smallest and largest service time.
    pub(super) range_ms: Option<(u16, u16)>,
}

impl TypicalLoad {
    /// Summarizes the upstreams about which something is known.
    pub(super) fn of(known: impl Iterator<Item = KnownLoad>) -> Self {
        let (mut reports, mut times_ms) = (Vec::new(), Vec::new());
        for load in known {
            let time_ms = load.service_time.map(|service_time| service_time.mean_ms);
            reports.extend(load.requests.map(|requests| (requests, time_ms)));
            times_ms.extend(time_ms);
        }
        let range_ms = times_ms.iter().min().copied().zip(times_ms.iter().max().copied());
        let middle = times_ms.len().saturating_sub(1) / 2;
        let median_ms = range_ms.is_some().then(|| *times_ms.select_nth_unstable(middle).1);
        let weight = |time_ms: Option<u16>| match (time_ms, median_ms) {
            (Some(time_ms), Some(median_ms)) => f64::from(time_ms) / f64::from(median_ms),
            _ => 1.0,
        };
        let work: f64 =
            reports.iter().map(|(requests, time_ms)| f64::from(*requests) * weight(*time_ms)).sum();
        let requests = work / reports.len().max(1) as f64;
        Self { requests, service_time_ms: median_ms, range_ms }
    }
}

/// The delay that a new request is expected to have; smaller is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ExpectedDelay {
    us: u64,
}

/// Order of upstreams in a placement; the smallest is chosen.
pub(super) type Preference = (u64, bool, ExpectedDelay);

impl ExpectedDelay {
    /// The delay at an upstream with this many slots. `cold_weight` is the factor by which it is
    /// slower than a warm upstream at present.
    ///
    /// As long as no service time is known for the whole service, one comparison step stands in
    /// for it, so that reported counts still decide.
    pub(super) fn new(
        known: KnownLoad,
        typical: TypicalLoad,
        slots: u32,
        cold_weight: f64,
        slo_ms: u32,
    ) -> Self {
        let service_time_ms = match (known.service_time, typical.service_time_ms) {
            (Some(ReportedServiceTime { mean_ms, cold: true }), _) => f64::from(mean_ms),
            (Some(ReportedServiceTime { mean_ms, .. }), _) | (None, Some(mean_ms)) => {
                f64::from(mean_ms) * cold_weight
            }
            (None, None) => step_ms(slo_ms) * cold_weight,
        };
        // An upstream with an unknown number of slots processes at least one request at a time.
        let slots = f64::from(slots.max(1));
        let weight =
            typical.service_time_ms.map_or(1.0, |median_ms| service_time_ms / f64::from(median_ms));
        let requests = known.requests.map_or(typical.requests / weight, f64::from);
        let ahead = (requests + f64::from(known.placed) + 1.0 - slots).max(0.0);
        Self { us: (service_time_ms * (1.0 + ahead / slots) * US_PER_MS) as u64 }
    }

    /// Whether the answer is expected later than the SLO.
    pub(super) fn is_late(self, slo_ms: u32) -> bool {
        self.us as f64 > slo_or_default_ms(slo_ms) * US_PER_MS
    }

    /// Position of an upstream in a placement: by steps of the delay, then upstreams in the
    /// balancer's own availability zone first, then by the exact delay.
    pub(super) fn preference(self, slo_ms: u32, in_other_zone: bool) -> Preference {
        let step = self.us as f64 / (step_ms(slo_ms) * US_PER_MS);
        (step as u64, in_other_zone, self)
    }
}

fn step_ms(slo_ms: u32) -> f64 {
    slo_or_default_ms(slo_ms) / STEPS_PER_SLO
}

fn slo_or_default_ms(slo_ms: u32) -> f64 {
    if slo_ms == 0 { SLO_DEFAULT_MS as f64 } else { f64::from(slo_ms) }
}
