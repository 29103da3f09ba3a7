//! Upstreams with a few slots each, bursts of requests beyond what these can process, and the checks
//! of what must hold then.

use std::collections::BTreeMap;

use rand::RngExt as _;
use steering::edge::{Reason, Verdict};
use steering::flow::FlowKey;
use steering::policy::Policy;
use steering::view::{Route, wait_slos};

use super::{Balancer, EMPTY_PACKET, Event, PROPAGATION_MS, Packet, SERVICES, SETTLE_MS, World};
use crate::direct::Violation;
use crate::direct::caller::{Caller, State};

/// Requests that an upstream processes concurrently.
pub(super) const SLOTS: u32 = 2;
/// Callers that send requests at all times; the others do so during bursts. They need about a third
/// of the slots.
const STEADY_CALLERS: usize = 60;
/// Time that a fast upstream needs for a request, and a slow one.
const FAST_MS: u64 = 28;
const SLOW_MS: u64 = 68;
/// One upstream of this many is slow.
const SLOW_EVERY: usize = 4;
/// Time within which callers expect an answer, and for which they wait.
const SLO_MS: u32 = 200;
const TIMEOUT_MS: u32 = 1_200;
/// One caller of this many leaves earlier than the settings say.
const IMPATIENT_EVERY: usize = 3;
const IMPATIENT_TIMEOUT_MS: u32 = 600;
/// Callers of a burst begin within this time.
const BURST_BEGIN_MS: u64 = 300;
/// How long a balancer remembers how many requests an upstream has in progress.
const REPORT_TTL_MS: u64 = 500;
/// Share of the packets and replies that get lost during a burst.
pub(super) const LOST_SHARE: f64 = 0.01;

/// State of a world with bursts.
#[derive(Default)]
pub(super) struct Overload {
    pub(super) burst_until_ms: u64,
    /// Stored packets by flow, sequence number and whether they end the flow: a repetition has the
    /// same bytes.
    packets: BTreeMap<(FlowKey, u32, bool), u32>,
    /// Until when an upstream takes no openings, as its agent last told a balancer.
    told_until_ms: BTreeMap<(usize, usize), u64>,
    /// When all slots of an upstream were last taken.
    full_ms: BTreeMap<usize, u64>,
    /// Since when openings have passed over each upstream.
    passed_over_since_ms: BTreeMap<usize, u64>,
    /// Whether wrong counts were reported since the last disturbance.
    miscount_reported: bool,
}

impl Overload {
    /// Notes the first opening that passes over an upstream.
    pub(super) fn note_passed_over(&mut self, now_ms: u64, upstream: usize) {
        self.passed_over_since_ms.insert(upstream, now_ms);
    }
}

/// The mechanisms that are on.
pub(super) fn policy(bursts: bool) -> Policy {
    if bursts { Policy::all() } else { Policy::default() }
}

/// The route with the times of its callers, if there are bursts.
pub(super) fn timed(bursts: bool, route: Route) -> Route {
    if !bursts {
        return route;
    }
    Route { slo_ms: SLO_MS, wait_slos: wait_slos(TIMEOUT_MS, SLO_MS), ..route }
}

impl World {
    /// Creates a caller that opens a flow.
    pub(super) fn new_caller(&self, caller: usize, flow: FlowKey, at_ms: u64) -> Caller {
        let opened = Caller::open(flow, at_ms);
        if !self.size.bursts {
            return opened;
        }
        let impatient = caller.is_multiple_of(IMPATIENT_EVERY);
        let timeout_ms = if impatient { IMPATIENT_TIMEOUT_MS } else { TIMEOUT_MS };
        opened.with_timeout(u64::from(timeout_ms))
    }

    /// Whether a caller sends nothing at present because there is no burst.
    pub(super) fn is_parked(&self, caller: usize) -> bool {
        let in_burst = self.overload.burst_until_ms > self.now_ms;
        self.size.bursts && caller >= STEADY_CALLERS && !in_burst
    }

    pub(super) fn start_burst(&mut self) {
        let for_ms = self.rng.random_range(1_000..5_000);
        self.overload.burst_until_ms = self.overload.burst_until_ms.max(self.now_ms + for_ms);
        self.disturbed_until_ms = self.disturbed_until_ms.max(self.overload.burst_until_ms);
        for caller in STEADY_CALLERS..self.size.callers {
            if self.callers[caller].state == State::Ended {
                let delay_ms = self.rng.random_range(0..BURST_BEGIN_MS);
                self.reopen_after(caller, delay_ms);
            }
        }
    }

    /// Whether a datagram gets lost.
    pub(super) fn loses_datagram(&mut self) -> bool {
        let in_burst = self.overload.burst_until_ms > self.now_ms;
        in_burst && self.rng.random_bool(LOST_SHARE)
    }

    /// A process or an upstream has started, which ends a failure.
    pub(super) fn note_started(&mut self) {
        if self.size.bursts {
            self.disturbed_until_ms = self.disturbed_until_ms.max(self.now_ms);
        }
    }

    /// The bytes of a packet from a balancer as an agent queues them.
    pub(super) fn queued_bytes(&mut self, balancer: usize, packet: Packet) -> Vec<u8> {
        if !self.size.bursts {
            return Vec::new();
        }
        let segment = packet.segment;
        let key = (segment.flow, segment.sequence, segment.last);
        let known = self.overload.packets.get(&key).map(|index| index.to_le_bytes());
        let known = known.filter(|bytes| self.packet_of(bytes) == packet);
        let index = known.unwrap_or_else(|| {
            let bytes = self.store_packet(packet);
            self.overload.packets.insert(key, u32::from_le_bytes(bytes));
            bytes
        });
        let balancer = u32::try_from(balancer).unwrap_or_default().to_le_bytes();
        [index, balancer].concat()
    }

    fn packet_of(&self, bytes: &[u8]) -> Packet {
        self.packets[number_of(bytes)]
    }

    /// Passes on the queued requests that an agent releases.
    pub(super) fn release_queued(&mut self, upstream: usize) {
        let now_ms = self.now_ms;
        let next = |world: &mut Self| world.agents[upstream].as_mut()?.next_released(now_ms);
        while let Some(released) = next(self) {
            for bytes in released.packets {
                let packet = self.packet_of(&bytes[..4]);
                self.at_upstream(upstream, number_of(&bytes[4..]), packet);
            }
        }
    }

    /// Starts queued requests of an upstream in its free slots.
    pub(super) fn start_requests(&mut self, upstream: usize) {
        while let Some(packet) = self.upstreams[upstream].slots.start_next(SLOTS as usize) {
            let is_slow = upstream % SLOW_EVERY == 1;
            let mut work_ms = if is_slow { SLOW_MS } else { FAST_MS };
            work_ms += self.rng.random_range(0..work_ms / 2);
            if self.upstreams[upstream].slow_until_ms > self.now_ms {
                work_ms += self.rng.random_range(500..2_500);
            }
            let incarnation = self.upstreams[upstream].incarnation;
            self.schedule(work_ms, Event::SlowAnswer { upstream, incarnation, packet });
        }
        self.note_if_full(upstream);
    }

    /// An upstream has processed a request.
    pub(super) fn finish_request(&mut self, upstream: usize, packet: Packet) {
        self.note_if_full(upstream);
        self.upstreams[upstream].slots.finish(&packet);
        self.answer_data(upstream, packet);
        self.start_requests(upstream);
        self.release_queued(upstream);
    }

    fn note_if_full(&mut self, upstream: usize) {
        if self.upstreams[upstream].slots.len() >= SLOTS as usize {
            self.overload.full_ms.insert(upstream, self.now_ms);
        }
    }

    /// Whether all balancers know that an upstream has a free slot. Others are passed over rightly,
    /// and a balancer that was paused places many openings at once when it resumes.
    pub(super) fn has_free_slot(&self, upstream: usize) -> bool {
        if !self.size.bursts {
            return true;
        }
        let full_ms = self.overload.full_ms.get(&upstream);
        let is_free = full_ms.is_none_or(|full_ms| full_ms + REPORT_TTL_MS <= self.now_ms);
        let knows = |balancer: &Balancer| balancer.paused_until_ms + PROPAGATION_MS <= self.now_ms;
        is_free && self.balancers.iter().all(knows)
    }

    /// Whether a flow was opened at an upstream without a free slot. Where flows are placed by
    /// expected delay, one of several upstreams with free slots may get all of them.
    pub(super) fn is_worse_choice(&self, opened: usize) -> bool {
        !self.size.bursts || self.upstreams[opened].slots.len() >= SLOTS as usize
    }

    /// Whether openings have passed over an upstream for longer than balancers remember anything about
    /// its load. In a burst, hundreds of openings may come in less time.
    pub(super) fn is_passed_over_for_long(&self, upstream: usize) -> bool {
        let since_ms = self.overload.passed_over_since_ms.get(&upstream);
        let for_ms = since_ms.map_or(0, |since_ms| self.now_ms - since_ms);
        !self.size.bursts || for_ms >= 2 * REPORT_TTL_MS
    }

    fn is_settled(&self) -> bool {
        self.now_ms.saturating_sub(self.disturbed_until_ms) >= SETTLE_MS
    }

    /// Checks a request or an opening that a caller gives up: once the world has settled, every one
    /// is answered.
    pub(super) fn check_given_up(&mut self, caller: usize, before: State) {
        let awaited = matches!(before, State::Opening { .. } | State::Requesting { .. });
        if self.size.bursts && awaited && self.is_settled() {
            self.record_violation(Violation::RequestUnanswered, self.callers[caller].flow);
        }
    }

    /// Checks that, once the world has settled, no agent counts a request as in progress that its
    /// upstream does not have. Packets between the two take no time here.
    pub(super) fn check_counts(&mut self) {
        if !self.size.bursts || !self.is_settled() {
            self.overload.miscount_reported = false;
            return;
        }
        let exceeds = |upstream: usize| {
            let agent = self.agents[upstream].as_ref();
            agent.is_some_and(|agent| agent.busy() as usize > self.upstreams[upstream].slots.len())
        };
        let miscounted = (0..self.size.upstreams).any(exceeds);
        if miscounted && !self.overload.miscount_reported {
            self.overload.miscount_reported = true;
            self.record_violation(Violation::RequestMiscounted, EMPTY_PACKET.segment.flow);
        }
    }

    /// Records what an agent's verdict says to a balancer about further openings.
    pub(super) fn note_verdict(&mut self, balancer: usize, upstream: usize, verdict: Verdict) {
        if let Verdict::Overloaded { for_ms } | Verdict::RateLimited { for_ms } = verdict {
            self.overload.told_until_ms.insert((balancer, upstream), self.now_ms + for_ms);
        }
    }

    /// What a balancer was told is lost with its process.
    pub(super) fn forget_verdicts(&mut self, balancer: usize) {
        self.overload.told_until_ms.retain(|(told, _), _| *told != balancer);
    }

    /// Checks an opening that was reset because all upstreams are overloaded: by what each has last
    /// told this balancer, no eligible one would have taken it.
    pub(super) fn check_overload_reset(&mut self, balancer: usize, flow: FlowKey, reason: Reason) {
        if reason != Reason::Overloaded {
            return;
        }
        let service = self.routes.find(flow.endpoint).and_then(|route| route.service_of(flow));
        let told_until_ms = &self.overload.told_until_ms;
        let would_take = |upstream: usize| {
            let told_ms = told_until_ms.get(&(balancer, upstream));
            Some(SERVICES[self.upstreams[upstream].service]) == service
                && self.accepts_flows(upstream)
                && told_ms.is_none_or(|until_ms| *until_ms <= self.now_ms)
        };
        if (0..self.size.upstreams).any(would_take) {
            self.record_violation(Violation::NeedlessReset, flow);
        }
    }
}

fn number_of(bytes: &[u8]) -> usize {
    <[u8; 4]>::try_from(bytes).map_or(0, u32::from_le_bytes) as usize
}
