//! Micro-benchmarks of the decision core at target size. Run with `cargo bench -p loadgen`.

use std::sync::Arc;

use decision::agent::{Action, Agent, AgentConfig, Forwarding, Packet, PacketKind};
use decision::keys::{BucketIndex, FlowId, Incarnation, ServiceId, UpstreamId, Version};
use decision::rank;
use decision::router::Router;
use decision::time::Millis;
use decision::view::{self, Endpoint, View};
use divan::{Bencher, black_box};
use loadgen::world::{DeploymentSize, TARGET_SIZE, account_yaml, root_yaml};
use settings::ActiveSettings;

/// Numbers of flows in the agent's table; the largest is the capacity of the table.
const FLOW_COUNTS: [u64; 4] = [1_000, 10_000, 50_000, 131_072];
/// Initial sequence number of every flow.
const OPENING_NONCE: u32 = 7;
/// Packets processed in one measured call.
const PACKETS_PER_CALL: u64 = 1_024;

fn main() {
    divan::main();
}

fn target_view() -> Arc<View> {
    Arc::new(view::build(&TARGET_SIZE.accounts()))
}

fn flow_id(number: u64) -> FlowId {
    FlowId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Looks up the service and the home of 1,024 packets.
#[divan::bench]
fn lookup_and_route(bencher: Bencher) {
    let router = Router::new(target_view(), vec![]);
    let endpoints: Vec<Endpoint> = TARGET_SIZE
        .accounts()
        .iter()
        .flat_map(|account| &account.services)
        .flat_map(|service| service.endpoints.clone())
        .collect();
    bencher.counter(PACKETS_PER_CALL).bench_local(|| {
        for number in 0..PACKETS_PER_CALL {
            let endpoint = endpoints[number as usize * 31 % endpoints.len()];
            let service = router.service(black_box(endpoint));
            black_box(service.and_then(|service| router.route(service, flow_id(number))));
        }
    });
}

/// Ranks the upstreams of one service for all 64 buckets.
#[divan::bench(args = [6, 64])]
fn rank_service(bencher: Bencher, upstreams: u64) {
    let candidates: Vec<(UpstreamId, u32)> =
        (1..=upstreams).map(|id| (UpstreamId(id << 32), 100)).collect();
    bencher.bench_local(|| {
        for bucket in 0..rank::BUCKET_COUNT {
            black_box(rank::order(ServiceId(1), BucketIndex(bucket), &candidates));
        }
    });
}

/// Builds the view of 1,900 services and 10,000 upstreams.
#[divan::bench(sample_count = 20)]
fn build_view(bencher: Bencher) {
    let accounts = TARGET_SIZE.accounts();
    bencher.bench_local(|| view::build(black_box(&accounts)));
}

/// Applies one changed weight: parses and validates the subtree and builds the next view.
#[divan::bench(sample_count = 20)]
fn rebuild_after_change(bencher: Bencher) {
    let mut accounts = TARGET_SIZE.accounts();
    let mut active = ActiveSettings::default();
    active.accept_root(&root_yaml(accounts.len()));
    for account in &accounts {
        active.accept_account(&account.name, &account_yaml(account));
    }
    bencher.bench_local(|| {
        let account = &mut accounts[0];
        account.version = Version(account.version.0 + 1);
        account.services[0].upstreams[0].weight ^= 1;
        active.accept_account(&account.name, &account_yaml(account));
        active.view()
    });
}

/// Handles 1,024 packets of known flows at an agent that holds `flows` flows.
#[divan::bench(args = FLOW_COUNTS)]
fn find_flow(bencher: Bencher, flows: u64) {
    let mut agent = agent_with_flows(flows);
    let (mut out, mut next) = (Vec::new(), 0);
    bencher.counter(PACKETS_PER_CALL).bench_local(|| {
        // Each call continues with other flows, so that their entries are not already in the
        // processor's cache; packets of real traffic rarely find them there.
        for number in next..next + PACKETS_PER_CALL {
            let packet = packet(flow_id(number * 127 % flows), PacketKind::Middle);
            black_box(agent.handle_packet(START_TIME, &packet, &mut out));
        }
        next += PACKETS_PER_CALL;
        out.clear();
    });
}

/// Handles 1,024 openings at an agent that already holds up to `flows` flows.
#[divan::bench(args = FLOW_COUNTS, sample_count = 20)]
fn insert_flow(bencher: Bencher, flows: u64) {
    let make = || (agent_with_flows(flows - PACKETS_PER_CALL.min(flows / 2)), Vec::new());
    bencher.counter(PACKETS_PER_CALL).with_inputs(make).bench_local_values(
        |(mut agent, mut out)| {
            for number in flows..flows + PACKETS_PER_CALL {
                let packet = packet(flow_id(number), PacketKind::Opening { nonce: OPENING_NONCE });
                black_box(agent.handle_packet(START_TIME, &packet, &mut out));
            }
            (agent, out)
        },
    );
}

const START_TIME: Millis = Millis(1_000_000);

/// Returns an agent that holds `flows` flows. It is the only agent of its service, so that it
/// decides without asking peers.
fn agent_with_flows(flows: u64) -> Agent {
    let mut accounts = DeploymentSize { accounts: 1, services: 1, upstreams: 1 }.accounts();
    let service = &mut accounts[0].services[0];
    service.upstreams[0].max_flows = u32::MAX;
    let (account, service) = (&accounts[0].name, &accounts[0].services[0]);
    let config = AgentConfig {
        upstream: UpstreamId::of(account, &service.name, &service.upstreams[0].name),
        service: ServiceId::of(account, &service.name),
        incarnation: Incarnation(1),
        may_have_prior_flows: false,
        seed: 1,
    };
    let mut agent = Agent::new(config, Arc::new(view::build(&accounts)), START_TIME);
    let mut out: Vec<Action> = Vec::new();
    for number in 0..flows {
        agent.handle_packet(
            START_TIME,
            &packet(flow_id(number), PacketKind::Opening { nonce: OPENING_NONCE }),
            &mut out,
        );
        // The client sends another packet; otherwise the agent would soon regard the upstream as
        // unhealthy.
        agent.handle_packet(START_TIME, &packet(flow_id(number), PacketKind::Middle), &mut out);
        out.clear();
    }
    assert_eq!(agent.open_flows() as u64, flows);
    agent
}

fn packet(flow: FlowId, kind: PacketKind) -> Packet {
    Packet {
        service: ServiceId::of("account-000", "service-0"),
        flow,
        kind,
        sequence: OPENING_NONCE,
        view: Version(1),
        hops: 0,
        forwarding: Forwarding::Direct,
    }
}
