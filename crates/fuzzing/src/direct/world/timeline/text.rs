//! Text of a time line.

use std::fmt::{self, Display, Formatter};

use steering::edge::{Action, Destination, Verdict};
use steering::flow::{Segment, SegmentKind};
use steering::side::{Delivery, LoadEstimate, PacketOutcome, Report};

use super::super::{Packet, SERVICES, balancer_index, endpoint, upstream_of};
use super::entry::{Entry, Intake, List, Received, Subject};
use crate::direct::upstream::Reaction;

/// A line of a time line.
pub(super) struct Line<'a> {
    pub(super) at_ms: u64,
    pub(super) entry: &'a Entry,
}

impl Display for Line<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { at_ms, entry } = self;
        let subject = entry.subject().to_string();
        write!(f, "{at_ms:>6} ms  {subject:<12}  ")?;
        match entry {
            Entry::List { starts, list, .. } => {
                f.write_str(if *starts { "started; " } else { "" })?;
                write_list(f, list, *at_ms)
            }
            other => other.fmt(f),
        }
    }
}

impl Display for Subject {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::World => f.write_str("world"),
            Self::Zone(zone) => write!(f, "zone {zone}"),
            Self::Route(index) => write!(f, "route {index}"),
            Self::Balancer(balancer) => write!(f, "balancer {balancer}"),
            Self::Agent(upstream) => write!(f, "agent {upstream}"),
            Self::Upstream(upstream) => write!(f, "upstream {upstream}"),
            Self::Caller => f.write_str("caller"),
        }
    }
}

impl Display for Entry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change(change) => write!(f, "change {change:?}"),
            Self::List { list, .. } => write_list(f, list, 0),
            Self::BalancerCut { until_ms, .. } => write!(f, "receives no lists until {until_ms}"),
            Self::BalancerPaused { until_ms, .. } => write!(f, "paused until {until_ms}"),
            Self::AgentCut { until_ms, .. } => write!(f, "cut off until {until_ms}"),
            Self::UpstreamSlow { until_ms, .. } => write!(f, "slow until {until_ms}"),
            Self::BalancerStopped(_) | Self::AgentStopped(_) | Self::UpstreamStopped(_) => {
                f.write_str("stopped")
            }
            Self::InstanceStopped(_) => f.write_str("stopped, and its agent too"),
            Self::AgentStarted { service, .. } => write!(f, "started for service {service}"),
            Self::UpstreamStarted { service, incarnation, .. } => {
                write!(f, "started: service {service}, incarnation {incarnation}")
            }
            Self::UpstreamDraining(_) => f.write_str("draining"),
            Self::Delisted(_) => f.write_str("its entry disappears"),
            Self::Relisted(_) => f.write_str("its entry is back"),
            Self::RoutesPublished { version, endpoint_index, shares } => {
                let endpoint = endpoint(*endpoint_index);
                write!(f, "routes {version}: {endpoint} to services 0, 1 as {shares:?}")
            }
            Self::ZoneClosed(_) => f.write_str("closed"),
            Self::ZoneOpened(_) => f.write_str("open"),
            Self::PassedOver(_) => f.write_str("passed over by too many openings"),
            Self::Broken { violation, flow, holder } => {
                write!(f, "VIOLATION {violation:?}: {} > {}", flow.caller, flow.endpoint)?;
                let Some((upstream, incarnation, holds)) = holder else { return Ok(()) };
                let holds = if *holds { "held by" } else { "no longer at" };
                write!(f, ", {holds} upstream {upstream} (incarnation {incarnation})")
            }
            _ => self.fmt_packet(f),
        }
    }
}

impl Entry {
    /// Writes an entry about a packet of a flow.
    fn fmt_packet(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent { balancer, packet } => write!(f, "sends {packet} to balancer {balancer}"),
            Self::AtBalancer { packet, intake, .. } => write!(f, "gets {packet}{intake}"),
            Self::Decided { packet, action, .. } => write_action(f, packet, action),
            Self::AgentMissed { packet, cut_off, .. } => {
                let why = if *cut_off { "cut off" } else { "down" };
                write!(f, "misses {packet}: it is {why}")
            }
            Self::AtAgent { balancer, packet, outcome, .. } => {
                write!(f, "gets {packet} from balancer {balancer}: ")?;
                write_outcome(f, outcome)
            }
            Self::AtUpstream { incarnation, packet, reaction, slow, .. } => {
                let reaction = match reaction {
                    Reaction::Drop => "is down",
                    Reaction::Accept => "accepts",
                    Reaction::Answer if *slow => "will answer slowly",
                    Reaction::Answer => "answers",
                    Reaction::Queue => "queues it",
                    Reaction::Close => "confirms the end",
                    Reaction::Consume => "does not answer",
                    Reaction::Return => "does not hold the flow",
                };
                write!(f, "gets {packet}: {reaction} (incarnation {incarnation})")
            }
            Self::SlowAnswer { packet, finished, .. } => {
                let outcome =
                    if *finished { "answers" } else { "was restarted before it answered" };
                write!(f, "{outcome} {packet}")
            }
            Self::PartSent { end_bytes, lost, .. } => {
                let lost = if *lost { ", which is lost at its agent" } else { "" };
                write!(f, "sends the answer up to byte {end_bytes}{lost}")
            }
            Self::ReplyLost { balancer, verdict, packet, .. } => {
                let verdict = VerdictText(*verdict);
                write!(f, "reply {verdict} to balancer {balancer} about {packet} is lost: cut off")
            }
            Self::Reply { upstream, verdict, packet, intake, .. } => {
                let verdict = VerdictText(*verdict);
                write!(f, "reply {verdict} from agent {upstream} about {packet}{intake}")
            }
            Self::CallerReceived { received, ignored, .. } => {
                write!(f, "gets {received}{}", if *ignored { ", ignored" } else { "" })
            }
            Self::CallerLeft { gave_up, next_port, .. } => {
                let how = if *gave_up { "gives up" } else { "leaves the flow" };
                write!(f, "{how}, and opens its next flow from port {next_port}")
            }
            _ => Ok(()),
        }
    }
}

impl Display for Packet {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Segment { kind, sequence, data_bytes, last, .. } = self.segment;
        match kind {
            SegmentKind::Opening { copy } => return write!(f, "opening (copy {copy})"),
            SegmentKind::Reset => return f.write_str("reset"),
            SegmentKind::Later if last => write!(f, "end at {sequence}")?,
            SegmentKind::Later if data_bytes > 0 => write!(f, "data at {sequence}")?,
            SegmentKind::Later => write!(f, "acknowledgement at {sequence}")?,
        }
        write!(f, " (acknowledges incarnation {})", self.acknowledged_incarnation)
    }
}

impl Display for Intake {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Handled => Ok(()),
            Self::Waits { until_ms } => write!(f, ": waits until {until_ms}, balancer is paused"),
            Self::Lost => f.write_str(": lost, balancer is down"),
        }
    }
}

impl Display for Received {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accept { upstream, incarnation } => {
                write!(f, "acceptance from upstream {upstream} (incarnation {incarnation})")
            }
            Self::Answer => f.write_str("the answer"),
            Self::Part { end_bytes } => write!(f, "the answer up to byte {end_bytes}"),
            Self::Confirmation => f.write_str("the confirmation of the end"),
            Self::Reset => f.write_str("a reset"),
        }
    }
}

/// A verdict with the service's index in place of its stamp.
struct VerdictText(Verdict);

impl Display for VerdictText {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Verdict::Held { busy, opening_sequence, load } => {
                let opening = if opening_sequence.is_some() { ", to an opening" } else { "" };
                write!(f, "Held ({busy} busy{opening}")?;
                if let Some(LoadEstimate { queued, service_time_ms }) = load {
                    write!(f, ", {queued} queued, {service_time_ms} ms per request")?;
                }
                f.write_str(")")
            }
            Verdict::WrongService { service } => {
                let service = SERVICES.iter().position(|stamp| stamp.short() == service);
                write!(f, "WrongService (runs service {})", service.unwrap_or(SERVICES.len()))
            }
            Verdict::RateLimited { for_ms } => write!(f, "RateLimited (for {for_ms} ms)"),
            Verdict::Overloaded { for_ms } => write!(f, "Overloaded (for {for_ms} ms)"),
            Verdict::Unresponsive { for_ms } => write!(f, "Unresponsive (for {for_ms} ms)"),
            other => write!(f, "{other:?}"),
        }
    }
}

fn write_action(f: &mut Formatter<'_>, packet: &Packet, action: &Action) -> fmt::Result {
    match *action {
        Action::Reset { reason } => write!(f, "resets the flow of {packet}: {reason:?}"),
        Action::Drop { reason } => write!(f, "drops {packet}: {reason:?}"),
        Action::Forward { to, wants_report, reason } => {
            let Destination { address, service, refuses_new_flows, cold, .. } = to;
            let upstream = upstream_of(address);
            let service = SERVICES.iter().position(|stamp| *stamp == service);
            let service = service.unwrap_or(SERVICES.len());
            write!(f, "forwards {packet} to agent {upstream} (service {service}): {reason:?}")?;
            let notes = [
                (wants_report, ", wants a report"),
                (refuses_new_flows, ", refuses new flows"),
                (cold, ", cold"),
            ];
            notes
                .into_iter()
                .filter(|(holds, _)| *holds)
                .try_for_each(|(_, note)| f.write_str(note))
        }
    }
}

fn write_outcome(f: &mut Formatter<'_>, outcome: &PacketOutcome) -> fmt::Result {
    match outcome.delivery {
        Delivery::Deliver => f.write_str("delivers it")?,
        Delivery::DeliverUnresponsive { for_ms } => {
            write!(f, "delivers it, upstream unresponsive for {for_ms} ms")?;
        }
        Delivery::WrongService { .. } => f.write_str("returns it, wrong service")?,
        Delivery::ServiceNotStated => f.write_str("returns it, service not stated")?,
        Delivery::NotHeld => f.write_str("returns it, acknowledges another upstream")?,
        Delivery::NotAccepting => f.write_str("returns it, accepts no new flows")?,
        Delivery::RateLimited { for_ms } => write!(f, "returns it, full for {for_ms} ms")?,
        Delivery::Overloaded { for_ms } => write!(f, "returns it, overloaded for {for_ms} ms")?,
        Delivery::Queued => f.write_str("queues it")?,
    }
    let Some(Report { balancer, busy, .. }) = outcome.report else { return Ok(()) };
    write!(f, ", reports Held ({busy} busy) to balancer {}", balancer_index(balancer))
}

fn write_list(f: &mut Formatter<'_>, list: &List, now_ms: u64) -> fmt::Result {
    write!(f, "list: routes {}", list.routes_version)?;
    for former in &list.former {
        let left_ms = former.until_ms.saturating_sub(now_ms);
        write!(f, ", former service {} for {left_ms} ms", former.service)?;
    }
    match list.history_from_ms {
        0 => f.write_str(", history complete")?,
        from_ms => write!(f, ", history complete from {from_ms}")?,
    }
    if list.complete_from_ms > 0 {
        write!(f, ", upstreams complete from {}", list.complete_from_ms)?;
    }
    if !list.closed_zones.is_empty() {
        write!(f, ", closed zones {}", Ranges(&list.closed_zones))?;
    }
    for service in 0..SERVICES.len() {
        write!(f, "; service {service}: ready {}", Ranges(&list.ready[service]))?;
        for (name, upstreams) in [("draining", &list.draining), ("missing", &list.missing)] {
            if !upstreams[service].is_empty() {
                write!(f, ", {name} {}", Ranges(&upstreams[service]))?;
            }
        }
    }
    Ok(())
}

/// Sorted numbers, with ranges in place of three or more consecutive ones.
struct Ranges<'a>(&'a [usize]);

impl Display for Ranges<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("none");
        }
        let runs = self.0.chunk_by(|one, next| one + 1 == *next);
        let texts: Vec<String> = runs
            .flat_map(|run| match run {
                [first, _, .., last] => vec![format!("{first}-{last}")],
                few => few.iter().map(usize::to_string).collect(),
            })
            .collect();
        f.write_str(&texts.join(" "))
    }
}
