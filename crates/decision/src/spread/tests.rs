//! Gossip among many nodes in one process, with messages delivered at once and simulated time.

use rstest::rstest;

use super::*;

/// Nodes that deliver their messages to each other directly.
struct Fleet {
    nodes: Vec<Spread>,
    ids: Vec<NodeId>,
    dead: Vec<usize>,
    now: Millis,
    service_reads: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let list: Vec<Peer> = (0..count)
            .map(|n| Peer { id: NodeId(n as u64), zone: format!("zone-{}", n % 3).into() })
            .collect();
        let mut nodes: Vec<Spread> =
            list.iter().map(|peer| Spread::new(peer.clone(), peer.id.0, Millis(0))).collect();
        for node in &mut nodes {
            node.handle(Millis(0), SpreadEvent::Peers(list.clone()), &mut Vec::new());
            node.handle(Millis(0), SpreadEvent::Confirmed { age_ms: 0 }, &mut Vec::new());
        }
        let ids = list.iter().map(|peer| peer.id).collect();
        Self { nodes, ids, dead: Vec::new(), now: Millis(0), service_reads: 0 }
    }

    fn install(&mut self, node: usize, version: u64) {
        let event = SpreadEvent::Installed { account: AccountId(9), version: Version(version) };
        self.nodes[node].handle(self.now, event, &mut Vec::new());
    }

    fn step(&mut self) {
        self.now = self.now.after(ROUND_INTERVAL_MS);
        for index in 0..self.nodes.len() {
            self.dispatch(index, SpreadEvent::Tick);
        }
    }

    fn dispatch(&mut self, index: usize, event: SpreadEvent) {
        let mut actions = Vec::new();
        self.nodes[index].handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: SpreadAction) {
        let from = self.ids[index];
        match action {
            SpreadAction::Send { to, message } if !self.dead.contains(&(to.0 as usize)) => {
                self.dispatch(to.0 as usize, SpreadEvent::Message { from, message });
            }
            SpreadAction::FetchFromPeer { from, missing } => {
                for wanted in missing {
                    self.fetch(index, from.0 as usize, wanted);
                }
            }
            SpreadAction::FetchFromService { .. } => self.service_reads += 1,
            _ => {}
        }
    }

    fn fetch(&mut self, index: usize, holder: usize, wanted: MissingVersion) {
        let MissingVersion { account, version } = wanted;
        let has = self.nodes[holder].version(account) >= Some(version);
        if has && !self.dead.contains(&holder) {
            self.dispatch(index, SpreadEvent::Installed { account, version });
        }
    }

    fn rounds_until_all_have(&mut self, version: u64) -> u64 {
        for round in 1..100 {
            self.step();
            let live = (0..self.nodes.len()).filter(|index| !self.dead.contains(index));
            let has =
                |index: usize| self.nodes[index].version(AccountId(9)) == Some(Version(version));
            if live.clone().all(has) {
                return round;
            }
        }
        panic!("version {version} is not in force on all nodes after 100 rounds");
    }
}

/// A version that one reader installs is in force on all balancers within the 7 s allowed, although
/// notices may miss a node and some nodes are down.
#[rstest]
#[case::today(6, &[])]
#[case::hundred(100, &[])]
#[case::hundred_with_dead(100, &[7, 8, 9, 10, 11, 12, 13, 14, 15, 16])]
#[case::target_balancers(1_600, &[])]
fn installed_reaches_all_nodes(#[case] count: usize, #[case] dead: &[usize]) {
    let mut fleet = Fleet::new(count);
    fleet.dead = dead.to_vec();
    fleet.install(0, 5);
    let rounds = fleet.rounds_until_all_have(5);
    assert!(rounds * ROUND_INTERVAL_MS <= 7_000, "{rounds} rounds");
}

/// A node reads an older version from a stale replica of the configuration service after the fleet
/// has installed a newer one. No node reverts to it, the reading node included.
#[test]
fn installed_older_version_never_wins() {
    let mut fleet = Fleet::new(10);
    fleet.install(0, 7);
    fleet.rounds_until_all_have(7);
    fleet.install(3, 6);
    fleet.step();
    assert!(fleet.nodes.iter().all(|node| node.version(AccountId(9)) == Some(Version(7))));
}

/// The peer that announced a version fails before the version is fetched from it. After the
/// timeout the node fetches it from the configuration service.
#[test]
fn fetch_unresponsive_peer_asks_service() {
    let mut node = Spread::new(Peer { id: NodeId(1), zone: "a".into() }, 1, Millis(0));
    let notice = Notice::Settings { account: AccountId(9), version: Version(2) };
    let message = SpreadMessage::Notices(vec![notice]);
    let mut out = Vec::new();
    node.handle(Millis(0), SpreadEvent::Message { from: NodeId(2), message }, &mut out);
    let (account, version) = (AccountId(9), Version(2));
    let missing = vec![MissingVersion { account, version }];
    assert_eq!(out, [SpreadAction::FetchFromPeer { from: NodeId(2), missing }]);
    out.clear();
    node.handle(Millis(PEER_FETCH_TIMEOUT_MS), SpreadEvent::Tick, &mut out);
    assert_eq!(out, [SpreadAction::FetchFromService { account }]);
}

/// A balancer that starts and reads 300 accounts does not push them to its peers. They have them
/// already, and 300 notices from each replaced instance would use up the byte budget for seconds.
#[test]
fn installed_while_starting_is_not_sent() {
    let mut node = Spread::new(Peer { id: NodeId(1), zone: "a".into() }, 1, Millis(0));
    for n in 1..=300 {
        let event = SpreadEvent::Installed { account: AccountId(n), version: Version(1) };
        node.handle(Millis(0), event, &mut Vec::new());
    }
    assert_eq!(node.queued.len(), 0);
    node.handle(Millis(0), SpreadEvent::Confirmed { age_ms: 0 }, &mut Vec::new());
    let event = SpreadEvent::Installed { account: AccountId(1), version: Version(2) };
    node.handle(Millis(0), event, &mut Vec::new());
    assert_eq!(node.queued.len(), 1);
}

/// A paused agent is reported down and then resumes. A report of a later heartbeat refutes the
/// first report in whatever order the two arrive, so that its upstream gets its packets again.
#[rstest]
#[case::down(&[(5, false)], true)]
#[case::refuted(&[(5, false), (6, true)], false)]
#[case::late_report(&[(5, false), (6, true), (5, false)], false)]
#[case::never_down(&[(6, true)], false)]
#[case::down_again(&[(5, false), (6, true), (6, false)], true)]
fn learn_member_order(#[case] notices: &[(u64, bool)], #[case] down: bool) {
    let mut node = Spread::new(Peer { id: NodeId(1), zone: "a".into() }, 1, Millis(0));
    for &(beat, up) in notices {
        let member = Member { upstream: UpstreamId(4), beat, up };
        node.handle(Millis(0), SpreadEvent::Observed(member), &mut Vec::new());
    }
    assert_eq!(!node.down().is_empty(), down);
}

/// All agents of a zone fail at once. A node still sends no more notices than the limit per round.
#[test]
fn round_zone_loss_stays_bounded() {
    let mut fleet = Fleet::new(50);
    for n in 0..600 {
        let member = Member { upstream: UpstreamId(n), beat: 1, up: false };
        fleet.nodes[0].handle(Millis(0), SpreadEvent::Observed(member), &mut Vec::new());
    }
    let mut out = Vec::new();
    fleet.nodes[0].round(&mut out);
    let sent: usize = out.iter().map(notices_in).sum();
    assert_eq!(sent, Tuning::default().fanout * NOTICES_PER_MESSAGE);
}

fn notices_in(action: &SpreadAction) -> usize {
    match action {
        SpreadAction::Send { message: SpreadMessage::Notices(notices), .. } => notices.len(),
        _ => 0,
    }
}

/// An agent of an idle service gets no packets that reveal a newer version. Exactly two balancers
/// notify it, however many there are; a single balancer does so alone.
#[rstest]
#[case::alone(1, 1)]
#[case::few(3, 2)]
#[case::many(60, 2)]
fn is_notifier_count_per_agent(#[case] count: usize, #[case] expected: usize) {
    let fleet = Fleet::new(count);
    let agent = UpstreamId(77);
    assert_eq!(fleet.nodes.iter().filter(|node| node.is_notifier(agent)).count(), expected);
}

/// Without leader election, each zone has the readers that keep its settings current, and no more
/// than the read budget of the configuration service allows.
#[rstest]
#[case::one_zone(1, 1)]
#[case::small(6, 2)]
#[case::large(90, 2)]
fn is_reader_count_per_zone(#[case] count: usize, #[case] expected: usize) {
    let fleet = Fleet::new(count);
    let readers = fleet.nodes.iter().step_by(3).filter(|node| node.is_reader()).count();
    assert_eq!(readers, expected);
}
