//! Callers: their timers, what they receive, and the packets that they send.

use rand::RngExt as _;
use steering::flow::FlowKey;

use super::{Entry, Event, Packet, World};
use crate::direct::caller::State;
use crate::direct::upstream::LongAnswer;

impl World {
    pub(super) fn on_answered(&mut self, caller: usize, flow: FlowKey) {
        let idle_ms = self.rng.random_range(50..1_500);
        let now_ms = self.now_ms;
        let current = &mut self.callers[caller];
        if current.flow == flow && current.on_answer(now_ms, idle_ms) {
            self.outcome.answered += 1;
            self.schedule(idle_ms, Event::CallerTimer(caller));
        }
    }

    /// The acknowledgement is sent before the caller becomes idle, so that the upstream receives
    /// the one for the last part too.
    pub(super) fn on_part(&mut self, caller: usize, flow: FlowKey, part: LongAnswer) {
        if self.callers[caller].flow != flow {
            return;
        }
        let packet = self.callers[caller].on_part(self.now_ms, part.end_bytes);
        self.send(caller, packet);
        if part.is_last() {
            self.on_answered(caller, flow);
        }
    }

    pub(super) fn on_caller_timer(&mut self, caller: usize) {
        if self.callers[caller].due_ms > self.now_ms {
            return;
        }
        let before = self.callers[caller].state;
        let closes = self.size.severe_faults && before == State::Idle;
        if closes && (self.is_parked(caller) || self.rng.random_bool(0.1)) {
            let packet = self.callers[caller].end(self.now_ms);
            self.send(caller, Some(packet));
            return;
        }
        let packet = self.callers[caller].on_timer(self.now_ms);
        if matches!(self.callers[caller].state, State::Leaving { .. } | State::Ended) {
            self.check_given_up(caller, before);
        }
        if self.callers[caller].state == State::Ended {
            self.check_unanswered(caller, before);
            self.reopen(caller);
            return;
        }
        self.send(caller, packet);
    }

    pub(super) fn reopen(&mut self, caller: usize) {
        self.reopen_after(caller, 0);
    }

    /// A caller whose opening was reset waits a while before it opens another flow.
    pub(super) fn reopen_after_reset(&mut self, caller: usize) {
        let rejected = matches!(self.callers[caller].state, State::Opening { .. });
        let pause_ms = if rejected { self.rng.random_range(50..250) } else { 0 };
        self.reopen_after(caller, pause_ms);
    }

    pub(super) fn reopen_after(&mut self, caller: usize, pause_ms: u64) {
        let flow = self.new_flow();
        self.note(|world| world.caller_left(caller, flow));
        self.callers[caller] = self.new_caller(caller, flow, self.now_ms + pause_ms);
        if self.is_parked(caller) {
            return self.callers[caller].park();
        }
        self.schedule(pause_ms, Event::CallerTimer(caller));
    }

    pub(super) fn send(&mut self, caller: usize, packet: Option<Packet>) {
        let Some(packet) = packet else { return };
        self.callers[caller].sent_ms = self.now_ms;
        let due_ms = self.callers[caller].due_ms;
        self.schedule(due_ms.saturating_sub(self.now_ms), Event::CallerTimer(caller));
        let port = u64::from(packet.segment.flow.caller.port());
        let balancer = (port.wrapping_mul(0x9e37_79b9).wrapping_add(self.salt) >> 7) as usize;
        let delay_ms = self.network_delay_ms();
        let balancer = self.stray_balancer().unwrap_or(balancer % self.size.balancers);
        self.note(|_| Entry::Sent { balancer, packet });
        if self.loses_datagram() {
            return;
        }
        self.schedule(delay_ms, Event::ToBalancer(balancer, packet));
    }
}
