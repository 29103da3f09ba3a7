//! An agent's decisions: what goes to its upstream, what goes back to a balancer, what to a caller.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::flow::{FlowKey, Millis};
use crate::view::ServiceStamp;

/// An upstream that has left packets unanswered for this long, without any packet of its own, counts
/// as silent. It answers or returns a packet within a millisecond when it lives.
pub const SILENT_MS: Millis = 100;
/// Openings that must be unanswered before an upstream counts as silent: one may get lost. Only an
/// opening is answered or returned at once; an answer to data may take the whole time of the work.
const SILENT_OPENINGS: u32 = 2;
/// A pause of this process longer than this proves nothing about the upstream.
const PAUSE_MS: Millis = 80;
/// Flows remembered at most. An upstream holds 2,000.
const FLOWS_MAX: usize = 16_384;
/// A flow without packets for this long is forgotten.
const IDLE_MS: Millis = 20_000;
/// A request counts as at work for this long at most; answers that were lost must not stay counted.
const BUSY_MS: Millis = 3_000;
/// Pause between two looks for flows to forget.
const SWEEP_MS: Millis = 1_000;

/// What a balancer asks of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The balancer.
    pub balancer: Ipv4Addr,
    /// Whether the packet opens the flow.
    pub opening: bool,
    /// The service that the packet is meant for.
    pub service: ServiceStamp,
    /// Whether the balancer wants to know when the upstream answers.
    pub report: bool,
}

/// What becomes of a balancer's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It goes to the upstream.
    Deliver,
    /// It goes to the upstream, and back to the balancer, since the upstream has been silent.
    DeliverSilent {
        /// How long.
        for_ms: Millis,
    },
    /// It goes back to the balancer: it is meant for another service.
    Foreign,
}

/// A packet of the upstream's, as far as it decides something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The flow.
    pub flow: FlowKey,
    /// Number of data bytes.
    pub data_bytes: u16,
    /// Whether the flow ends with it.
    pub last: bool,
}

/// What a balancer is told beside the packet that goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The balancer that asked.
    pub balancer: Ipv4Addr,
    /// Requests at work.
    pub busy: u8,
}

#[derive(Debug, Default)]
struct Flow {
    report_to: Option<Ipv4Addr>,
    busy_since_ms: Option<Millis>,
    seen_ms: Millis,
}

/// The state of an agent.
pub struct Side {
    service: ServiceStamp,
    flows: HashMap<FlowKey, Flow>,
    busy: u32,
    unanswered: u32,
    unanswered_since_ms: Millis,
    awake_ms: Millis,
    swept_ms: Millis,
}

impl Side {
    /// An agent beside an upstream of this service.
    pub fn new(service: ServiceStamp) -> Self {
        Self {
            service,
            flows: HashMap::new(),
            busy: 0,
            unanswered: 0,
            unanswered_since_ms: 0,
            awake_ms: 0,
            swept_ms: 0,
        }
    }

    /// Decides about a packet of a caller that a balancer sent here.
    pub fn on_packet(
        &mut self,
        now_ms: Millis,
        flow: FlowKey,
        data_bytes: u16,
        ask: Ask,
    ) -> Delivery {
        self.wake(now_ms);
        if ask.service != self.service {
            return Delivery::Foreign;
        }
        let silent_ms = self.silence(now_ms, ask.opening);
        self.note_packet(now_ms, flow, data_bytes, ask);
        match silent_ms {
            Some(for_ms) => Delivery::DeliverSilent { for_ms },
            None => Delivery::Deliver,
        }
    }

    /// Takes note of a packet that the upstream returned: it lives and does not hold the flow.
    pub fn on_returned(&mut self, now_ms: Millis, flow: FlowKey) {
        self.wake(now_ms);
        self.unanswered = 0;
        self.forget(flow);
    }

    /// Takes note of a packet that the upstream sends to a caller, and says who is told.
    pub fn on_answer(&mut self, now_ms: Millis, answer: Answer) -> Option<Report> {
        self.wake(now_ms);
        self.unanswered = 0;
        let flow = self.flows.get_mut(&answer.flow)?;
        flow.seen_ms = now_ms;
        if answer.data_bytes > 0 && flow.busy_since_ms.take().is_some() {
            self.busy = self.busy.saturating_sub(1);
        }
        let balancer = flow.report_to.take();
        if answer.last {
            self.forget(answer.flow);
        }
        let busy = u8::try_from(self.busy).unwrap_or(u8::MAX);
        balancer.map(|balancer| Report { balancer, busy })
    }

    /// Notes that the process runs, and forgets what is old.
    pub fn on_tick(&mut self, now_ms: Millis) {
        self.wake(now_ms);
        if now_ms.saturating_sub(self.swept_ms) < SWEEP_MS {
            return;
        }
        self.swept_ms = now_ms;
        self.flows.retain(|_, flow| now_ms.saturating_sub(flow.seen_ms) < IDLE_MS);
        for flow in self.flows.values_mut() {
            if flow.busy_since_ms.is_some_and(|since| now_ms.saturating_sub(since) >= BUSY_MS) {
                flow.busy_since_ms = None;
            }
        }
        let busy = self.flows.values().filter(|flow| flow.busy_since_ms.is_some()).count();
        self.busy = u32::try_from(busy).unwrap_or(u32::MAX);
    }

    /// Whether openings wait for an answer, so that the process must not sleep for long.
    pub fn awaits_answer(&self) -> bool {
        self.unanswered > 0
    }

    /// Requests at work.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// After a pause of the process, the upstream's answers may still wait unread, and the time that
    /// has passed says nothing about it.
    fn wake(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.awake_ms) >= PAUSE_MS {
            self.unanswered = 0;
        }
        self.awake_ms = now_ms;
    }

    /// How long the upstream has been silent, if it has.
    fn silence(&mut self, now_ms: Millis, opening: bool) -> Option<Millis> {
        if self.unanswered == 0 {
            self.unanswered_since_ms = now_ms;
        }
        self.unanswered = self.unanswered.saturating_add(u32::from(opening));
        let for_ms = now_ms.saturating_sub(self.unanswered_since_ms);
        (self.unanswered >= SILENT_OPENINGS && for_ms >= SILENT_MS).then_some(for_ms)
    }

    fn note_packet(&mut self, now_ms: Millis, key: FlowKey, data_bytes: u16, ask: Ask) {
        if self.flows.len() >= FLOWS_MAX && !self.flows.contains_key(&key) {
            self.flows = HashMap::new();
            self.busy = 0;
        }
        let flow = self.flows.entry(key).or_default();
        flow.seen_ms = now_ms;
        if ask.report {
            flow.report_to = Some(ask.balancer);
        }
        if data_bytes > 0 && flow.busy_since_ms.is_none() {
            flow.busy_since_ms = Some(now_ms);
            self.busy += 1;
        }
    }

    fn forget(&mut self, key: FlowKey) {
        let flow = self.flows.remove(&key);
        if flow.is_some_and(|flow| flow.busy_since_ms.is_some()) {
            self.busy = self.busy.saturating_sub(1);
        }
    }
}
