//! The agent, by the decision core and the real messages.

use super::super::budget::Quantity::{Bytes, Memory, Messages, Processor};
use super::super::figure::Take::{Line, Point, Slope};
use super::super::figure::{Term, measured, rated};
use super::{MEAN_FLOWS, MEAN_RATE, ONCE, Role, row};

/// Comparisons of settings a second: one asked and one answered every 2 s.
const COMPARISONS: f64 = 1.0;
/// Flows of the fullest agent.
const MOST_FLOWS: f64 = 50_000.0;
/// Agents of the largest service that was measured.
const LARGEST_SERVICE: f64 = 64.0;

pub(super) fn role() -> Role {
    let mean = |name: &'static str, held: &'static str| -> [Term; 2] {
        [measured("agent", name, Point(MEAN_RATE)), measured("agent", held, Slope(MEAN_FLOWS))]
    };
    Role {
        name: "Agent",
        state: "The flows of its upstream (the truth), redirects for two ranks' flows, claims of \
                the last two minutes, its peers. All but its own flows is soft state.",
        rows: vec![
            row(
                Bytes,
                "mean agent, `admit`: heartbeats, announcements, refresh",
                &mean("new_flows_admit_bytes", "open_flows_bytes"),
            ),
            row(
                Bytes,
                "mean agent, `refuse`: the same and a claim at all peers for each opening",
                &mean("new_flows_refuse_bytes", "open_flows_bytes"),
            ),
            row(
                Bytes,
                "agent of a service of 64, idle: heartbeats, capped at 40 messages/s",
                &[measured("agent", "service_size_bytes", Point(LARGEST_SERVICE))],
            ),
            row(
                Bytes,
                "fullest agent (50,000 flows), no new ones: refresh every 10 min",
                &[measured("agent", "open_flows_bytes", Line(MOST_FLOWS))],
            ),
            row(
                Bytes,
                "settings: one account's digest asked and answered every 2 s over HTTP",
                &[rated("tree", "exchange_bytes", ONCE, COMPARISONS)],
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
                Processor,
                "mean agent, `admit`",
                &mean("new_flows_admit_processor", "open_flows_processor"),
            ),
            row(
                Processor,
                "mean agent, `refuse`",
                &mean("new_flows_refuse_processor", "open_flows_processor"),
            ),
            row(
                Processor,
                "fullest agent (50,000 flows), no new ones",
                &[measured("agent", "open_flows_processor", Line(MOST_FLOWS))],
            ),
            row(
                Memory,
                "tables of the mean agent",
                &[measured("memory", "agent_bytes", Line(MEAN_FLOWS))],
            ),
            row(
                Memory,
                "whole process, fullest agent (50,000 flows, no peers)",
                &[measured("bench", "agent_memory", Point(MOST_FLOWS))],
            ),
            row(
                Memory,
                "tables of the fullest agent, redirects of such peers included",
                &[measured("memory", "agent_bytes", Line(MOST_FLOWS))],
            ),
        ],
        proposal: "`admit`: a period of announcements of 1 s instead of 250 ms (trial: 6.6 KB/s \
                   at 12 openings/s). `refuse`: ask as many witnesses as a majority needs, the rest \
                   after 80 ms; beyond that a lease for the home of a bucket, so that an opening \
                   needs no message. Fullest agent: refresh by a digest of each bucket, and the \
                   flows only where it differs.",
    }
}
