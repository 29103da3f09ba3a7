//! What agents report: load and liveness, outdated memberships, and the state of a handover.

use decision::keys::{Incarnation, Version};
use decision::message::{HandedOver, Heartbeat, Outdated};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HeartbeatDto {
    incarnation: u64,
    born: Option<u64>,
    beat: u64,
    view: u64,
    open_flows: u32,
    unanswered: u32,
    accepting: bool,
    ramp_percent: u8,
    leaving: bool,
}

impl From<Heartbeat> for HeartbeatDto {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.incarnation.0,
            born: heartbeat.born.map(|born| born.0),
            beat: heartbeat.beat,
            view: heartbeat.view.0,
            open_flows: heartbeat.open_flows,
            unanswered: heartbeat.unanswered,
            accepting: heartbeat.accepting,
            ramp_percent: heartbeat.ramp_percent,
            leaving: heartbeat.leaving,
        }
    }
}

impl From<HeartbeatDto> for Heartbeat {
    fn from(heartbeat: HeartbeatDto) -> Self {
        Self {
            incarnation: Incarnation(heartbeat.incarnation),
            born: heartbeat.born.map(Incarnation),
            beat: heartbeat.beat,
            view: Version(heartbeat.view),
            open_flows: heartbeat.open_flows,
            unanswered: heartbeat.unanswered,
            accepting: heartbeat.accepting,
            ramp_percent: heartbeat.ramp_percent,
            leaving: heartbeat.leaving,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OutdatedDto(u64, u64, u32);

impl From<Outdated> for OutdatedDto {
    fn from(outdated: Outdated) -> Self {
        Self(outdated.from.0, outdated.next.0, outdated.expires_in_ms)
    }
}

impl From<OutdatedDto> for Outdated {
    fn from(OutdatedDto(from, next, expires_in_ms): OutdatedDto) -> Self {
        Self { from: Version(from), next: Version(next), expires_in_ms }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HandedOverDto(u32, u32);

impl From<HandedOver> for HandedOverDto {
    fn from(state: HandedOver) -> Self {
        Self(state.peer_timeouts, state.informed_agents)
    }
}

impl From<HandedOverDto> for HandedOver {
    fn from(HandedOverDto(peer_timeouts, informed_agents): HandedOverDto) -> Self {
        Self { peer_timeouts, informed_agents }
    }
}
