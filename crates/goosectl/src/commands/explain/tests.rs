//! Tests of the steps of an explanation, and of the parsing of the packet's addresses.

use std::net::SocketAddr;

use decision::keys::{FlowId, ServiceId, UpstreamId};
use decision::view;
use rstest::rstest;
use serde_json::json;
use shell::settings_sync::instances::State;

use super::gather::{AgentFacts, Facts};
use super::steps::{self, ServiceSteps};
use super::tuple;
use crate::fleet::{AgentExplained, Answer, RequestError, Target};

const SUBTREE: &str = r#"account: cascadia
version: 7
services:
  - name: shelf
    addresses: ["203.0.113.1:8443/tcp"]
    when_in_doubt: refuse
    zone_spill_percent: 25
    upstreams:
      - {name: shelf-1, zone: a, weight: 100, max_flows: 2, agent_address: "127.20.1.1:6080",
         control_address: "127.20.1.1:9080", address: "127.30.1.1:6080", state: active, since: 1}
      - {name: shelf-2, zone: b, weight: 100, max_flows: 2, agent_address: "127.20.1.2:6080",
         control_address: "127.20.1.2:9080", address: "127.30.1.2:6080", state: draining, since: 1}
      - {name: shelf-3, zone: c, weight: 100, max_flows: 2, agent_address: "127.20.1.3:6080",
         control_address: "127.20.1.3:9080", address: "127.30.1.3:6080", state: active, since: 1}
"#;

/// A flow of bucket 15, whose ranking is shelf-2, shelf-1, shelf-3.
const FLOW: FlowId = FlowId(15 << 58);

/// What an agent answers about the flow, its holder and the standing of the other agents.
#[derive(Clone, Copy)]
enum AgentReply {
    NoReply,
    Unknown,
    Holds,
    /// Redirects to the agent with this number.
    HeldBy(u64),
    /// Does not know the flow; reports this standing for the agent with this number.
    ReportsStanding(u64, &'static str),
}

fn id(number: u64) -> UpstreamId {
    UpstreamId::of("cascadia", "shelf", &format!("shelf-{number}"))
}

fn hex(number: u64) -> String {
    format!("{:016x}", id(number).0)
}

fn no_reply() -> RequestError {
    RequestError { code: "E5004".into(), text: "no answer".into() }
}

fn answer(reply: AgentReply) -> Result<AgentExplained, RequestError> {
    let (state, holder) = match reply {
        AgentReply::NoReply => return Err(no_reply()),
        AgentReply::Holds => ("open", None),
        AgentReply::HeldBy(number) => ("elsewhere", Some(hex(number))),
        AgentReply::Unknown | AgentReply::ReportsStanding(..) => ("unknown", None),
    };
    let standing = |number: u64| match reply {
        AgentReply::ReportsStanding(reported, standing) if reported == number => standing,
        _ => "up",
    };
    let evidence = holder.as_ref().map(|_| "announced");
    let ranks = [2, 1, 3].map(|n| json!({"upstream": hex(n), "standing": standing(n)}));
    let value = json!({
        "instance": "agent", "version": 7, "bucket": 0, "ranking": ranks, "home": null,
        "place": {"state": state, "holder": holder, "evidence": evidence},
    });
    Ok(serde_json::from_value(value).unwrap())
}

/// Facts with the answers of the three agents, and for each balancer the number of its home.
/// `leaving` is the number of the agent that the platform lists as leaving.
fn facts(replies: [AgentReply; 3], balancers: &[u64], leaving: Option<u64>) -> Facts {
    let spec = settings::account::parse_without_root(SUBTREE, "cascadia").unwrap();
    let view = view::build(&[spec]);
    let agent = |number: u64| AgentFacts {
        id: id(number),
        listed: Some(if leaving == Some(number) { State::Leaving } else { State::Live }),
        is_retired: false,
        answer: answer(replies[number as usize - 1]),
    };
    let balancer = |(index, number): (usize, &u64)| {
        let home: SocketAddr = format!("127.20.1.{number}:6080").parse().unwrap();
        let view = json!({"instance": format!("bal-{index}"), "version": 7, "home": home});
        let control = "127.0.0.1:1".parse().unwrap();
        let target = Target { name: "bal".into(), control, listed: None };
        Answer { target, result: Ok(serde_json::from_value(view).unwrap()) }
    };
    Facts {
        tuple: tuple::parse("tcp 198.51.100.7:40001 203.0.113.1:8443").unwrap(),
        flow: FLOW,
        service: view.find_service(ServiceId::of("cascadia", "shelf")),
        view,
        agents: (1..=3).map(agent).collect(),
        balancers: balancers.iter().enumerate().map(balancer).collect(),
    }
}

fn steps(facts: &Facts) -> (ServiceSteps, bool) {
    let explanation = steps::explain(facts);
    (explanation.service.unwrap(), explanation.is_certain)
}

use AgentReply::{HeldBy, Holds, NoReply, ReportsStanding, Unknown};

#[rstest]
#[case::first_rank([Unknown; 3], &[2, 2], None, "shelf-2: first rank", true)]
#[case::listed_as_leaving([Unknown; 3], &[1, 1], Some(2), "shelf-1: rank 2: shelf-2: leaving, says the platform's list", true)]
#[case::peers_report_leaving([ReportsStanding(2, "leaving"), Unknown, Unknown], &[1], None, "shelf-1: rank 2: shelf-2: leaving, say 1 agent(s)", true)]
#[case::peers_receive_nothing([ReportsStanding(2, "silent"), Unknown, ReportsStanding(2, "silent")], &[1], None, "shelf-1: rank 2: shelf-2: down: 2 agent(s) hear nothing from it", true)]
#[case::no_reply_to_goosectl([Unknown, NoReply, Unknown], &[1], None, "shelf-1: rank 2: shelf-2: does not answer goosectl", false)]
#[case::only_balancers_exclude_it([Unknown; 3], &[1], None, "shelf-1: rank 2: shelf-2: down, as the balancers believe", true)]
#[case::two_passed_over([ReportsStanding(2, "leaving"), Unknown, ReportsStanding(1, "silent")], &[3], None, "shelf-3: rank 3: shelf-2: leaving, say 1 agent(s), shelf-1: down: 1 agent(s) hear nothing from it", true)]
#[case::excluded_first_rank_stays([Unknown; 3], &[2], Some(2), "shelf-2: first rank, although leaving, says the platform's list", true)]
#[case::balancers_differ([Unknown; 3], &[2, 1, 2], None, "shelf-2: first rank; the balancers do not agree", false)]
#[case::no_balancer([Unknown; 3], &[], Some(2), "shelf-1: rank 2: shelf-2: leaving, says the platform's list; no balancer was heard, so this is by ranking only", false)]
#[case::unlisted_home([Unknown; 3], &[9], None, "127.20.1.9:6080: not in the ranking of the published settings", true)]
fn home(
    #[case] replies: [AgentReply; 3],
    #[case] balancers: &[u64],
    #[case] leaving: Option<u64>,
    #[case] expected: &str,
    #[case] certain: bool,
) {
    let (steps, is_certain) = steps(&facts(replies, balancers, leaving));
    let ranking: Vec<&str> = steps.ranking.iter().map(|rank| &*rank.upstream).collect();
    assert_eq!(ranking, ["shelf-2", "shelf-1", "shelf-3"]);
    assert_eq!(format!("{}: {}", steps.home.upstream.unwrap(), steps.home.reason), expected);
    assert_eq!(is_certain, certain);
}

#[rstest]
#[case::at_home([Unknown, Holds, Unknown], Some("shelf-2"), "its agent says so", "shelf-2 delivers it to its own upstream", true)]
#[case::elsewhere([Unknown, HeldBy(3), Holds], Some("shelf-3"), "its agent says so", "shelf-2 passes it to shelf-3 (announced)", true)]
#[case::home_must_ask([Unknown, Unknown, Holds], Some("shelf-3"), "its agent says so", "shelf-2 decides about an opening, and asks its peers about the rest", true)]
#[case::nobody([Unknown; 3], None, "every agent denies it: the flow is not open", "shelf-2 decides about an opening, and asks its peers about the rest", true)]
#[case::no_reply_is_no_denial([Unknown, Unknown, NoReply], None, "no agent that answers holds it; not certain, since some are silent", "shelf-2 decides about an opening, and asks its peers about the rest", false)]
#[case::holder_unresponsive([Unknown, HeldBy(3), NoReply], None, "an agent believes shelf-3, which does not answer; not certain, since some agents are silent", "shelf-2 passes it to shelf-3 (announced)", false)]
#[case::stale_redirect([Unknown, HeldBy(3), Unknown], None, "an agent believes shelf-3, which denies it", "shelf-2 passes it to shelf-3 (announced)", true)]
#[case::two_holders([Holds, Unknown, Holds], None, "claimed by several: shelf-1, shelf-3", "shelf-2 decides about an opening, and asks its peers about the rest", false)]
#[case::home_unresponsive([Holds, NoReply, Unknown], Some("shelf-1"), "its agent says so", "shelf-2 was not heard", false)]
fn holder(
    #[case] replies: [AgentReply; 3],
    #[case] upstream: Option<&str>,
    #[case] reason: &str,
    #[case] next: &str,
    #[case] certain: bool,
) {
    let (steps, is_certain) = steps(&facts(replies, &[2], None));
    assert_eq!(steps.holder.upstream.as_deref(), upstream);
    assert_eq!((&*steps.holder.reason, &*steps.holder.next), (reason, next));
    assert_eq!(is_certain, certain);
}

/// A retired agent may have ended, so that its missing answer leaves the result certain.
#[test]
fn retired_agent_may_be_unresponsive() {
    let mut facts = facts([NoReply, Unknown, Unknown], &[2], None);
    facts.agents[0].is_retired = true;
    let (steps, is_certain) = steps(&facts);
    assert_eq!((steps.silent.len(), is_certain), (0, true));
    assert_eq!(steps.holder.reason, "every agent denies it: the flow is not open");
}

/// The flow id computed from the addresses equals the one that a balancer computes from the
/// packet's bytes.
#[rstest]
#[case::tcp("tcp 198.51.100.7:40001 203.0.113.1:8443")]
#[case::udp("udp 198.51.100.7:40001 203.0.113.1:8443")]
#[case::ipv6("tcp [2001:db8::7]:40001 [2001:db8:1::1]:8443")]
fn flow_id_matches_balancers(#[case] text: &str) {
    use etherparse::PacketBuilder;
    let tuple = tuple::parse(text).unwrap();
    let (source, destination) = (tuple.source, tuple.destination);
    let builder = match (source.ip(), destination.ip()) {
        (std::net::IpAddr::V4(a), std::net::IpAddr::V4(b)) => {
            PacketBuilder::ipv4(a.octets(), b.octets(), 64)
        }
        (std::net::IpAddr::V6(a), std::net::IpAddr::V6(b)) => {
            PacketBuilder::ipv6(a.octets(), b.octets(), 64)
        }
        _ => unreachable!("the tuple was parsed"),
    };
    let mut packet = Vec::new();
    let (from, to) = (source.port(), destination.port());
    match tuple.transport_name() {
        "tcp" => builder.tcp(from, to, 7, 1_024).syn().write(&mut packet, &[]).unwrap(),
        _ => builder.udp(from, to).write(&mut packet, b"x").unwrap(),
    }
    let parsed = wire::inner::parse(&packet).unwrap();
    assert_eq!(tuple.flow_id(&[9; 16]), parsed.flow_id(&[9; 16]));
}

#[rstest]
#[case::two_words("tcp 198.51.100.7:40001", "E5006: 2 word(s) instead of three")]
#[case::transport("sctp 1.2.3.4:5 1.2.3.4:5", "E5006: `sctp` is neither tcp nor udp")]
#[case::no_port("tcp 1.2.3.4 1.2.3.4:5", "E5006: `1.2.3.4` is not an address with a port")]
#[case::mixed("tcp 1.2.3.4:5 [::1]:5", "E5006: one address is IPv4 and the other IPv6")]
fn bad_tuple(#[case] text: &str, #[case] expected: &str) {
    let failure = tuple::parse(text).unwrap_err().to_string();
    assert_eq!(failure, format!("{expected}; write `tcp IP:PORT IP:PORT`, the caller first"));
}
