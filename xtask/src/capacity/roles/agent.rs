//! The agent, measured with the decision core and real messages.

use super::super::budget::Quantity::{Bytes, CpuTime, Memory, Messages};
use super::super::figure::Lookup::{Line, Point, Slope};
use super::super::figure::{Term, measured, scaled};
use super::{MEAN_FLOWS, MEAN_OPENINGS_PER_S, Role, SINGLE_POINT, row};

/// Comparisons of settings per second: one requested and one answered every 2 s.
const COMPARISONS_PER_S: f64 = 1.0;
/// Open flows of the agent with the most flows.
const MAX_FLOWS: f64 = 50_000.0;
/// Number of agents of the largest measured service.
const LARGEST_SERVICE_AGENTS: f64 = 64.0;

pub(super) fn role() -> Role {
    let mean = |name: &'static str, open_flows: &'static str| -> [Term; 2] {
        [
            measured("agent", name, Point(MEAN_OPENINGS_PER_S)),
            measured("agent", open_flows, Slope(MEAN_FLOWS)),
        ]
    };
    Role {
        name: "Agent",
        state: "The flows of its upstream (authoritative), redirects for two ranks' flows, claims of \
                the last two minutes, its peers. Everything except its own flows is soft state.",
        rows: vec![
            row(
                Bytes,
                "mean agent, `admit`: heartbeats, announcements, refresh",
                &mean("new_flows_admit_bytes", "open_flows_bytes"),
            ),
            row(
                Bytes,
                "mean agent, `refuse`: the same, and a claim sent to all peers for each opening",
                &mean("new_flows_refuse_bytes", "open_flows_bytes"),
            ),
            row(
                Bytes,
                "agent of a service of 64, idle: heartbeats, capped at 40 messages/s",
                &[measured("agent", "service_size_bytes", Point(LARGEST_SERVICE_AGENTS))],
            ),
            row(
                Bytes,
                "agent with the most flows (50,000), no new flows: refresh every 10 min",
                &[measured("agent", "open_flows_bytes", Line(MAX_FLOWS))],
            ),
            row(
                Bytes,
                "settings: one account's digest requested and answered every 2 s over HTTP",
                &[scaled("tree", "exchange_bytes", SINGLE_POINT, COMPARISONS_PER_S)],
            ),
            row(
                Messages,
                "mean agent, `admit`",
                &mean("new_flows_admit_messages", "open_flows_messages"),
            ),
            row(
                Messages,
                "mean agent, `refuse`",
                &mean("new_flows_refuse_messages", "open_flows_messages"),
            ),
            row(
                CpuTime,
                "mean agent, `admit`",
                &mean("new_flows_admit_processor", "open_flows_processor"),
            ),
            row(
                CpuTime,
                "mean agent, `refuse`",
                &mean("new_flows_refuse_processor", "open_flows_processor"),
            ),
            row(
                CpuTime,
                "agent with the most flows (50,000), no new flows",
                &[measured("agent", "open_flows_processor", Line(MAX_FLOWS))],
            ),
            row(
                Memory,
                "tables of the mean agent",
                &[measured("memory", "agent_bytes", Line(MEAN_FLOWS))],
            ),
            row(
                Memory,
                "whole process, agent with the most flows (50,000, no peers)",
                &[measured("bench", "agent_memory", Point(MAX_FLOWS))],
            ),
            row(
                Memory,
                "tables of the agent with the most flows, redirects of equally loaded peers included",
                &[measured("memory", "agent_bytes", Line(MAX_FLOWS))],
            ),
        ],
        proposal: "`admit`: an announcement interval of 1 s instead of 250 ms (trial: 6.6 KB/s \
                   at 12 openings/s). `refuse`: query only as many witnesses as a majority needs, the \
                   rest after 80 ms; as a further step, a lease for the home of a bucket, so that \
                   an opening needs no message. Agent with the most flows: refresh with a digest \
                   of each bucket, and send flows only where the digests differ.",
    }
}
