//! Bounds, timeouts and intervals of the agent.

/// Agents that may pass a packet on: the home by an old view, the present home, the agent that a
/// stale redirect names and the holder, which makes four.
pub const MAX_HOPS: u8 = 4;

/// Entries of the flow table, including closing flows. The design size is fifty thousand open
/// flows; the remainder is for closing ones. An entry takes 56 bytes with its id, 7 MB in total,
/// and the map's spare capacity as much again.
pub const MAX_FLOWS: usize = 131_072;

/// Redirects kept as home or second rank. This is twice a full flow table, since each flow is
/// announced to two agents.
pub const MAX_REDIRECTS: usize = 262_144;

/// Claims kept at a time: 2,000 openings per second for [`CLAIM_TTL_MS`].
pub const MAX_CLAIMS: usize = 262_144;

/// Claims that wait for witnesses at a time, each with one held packet.
pub const MAX_PENDING_CLAIMS: usize = 1_024;

/// Lookups that wait for answers at a time. Together with pending claims, an agent holds at most
/// 4,096 packets, which is 6 MB at full packet size.
pub const MAX_LOOKUPS: usize = 768;

/// Packets held for one lookup. The first flight of a sender after a pause is rarely longer.
pub const MAX_HELD_PER_LOOKUP: usize = 4;

/// Lookups started per second. Bounds the load on peers when spoofed packets name unknown flows.
pub const LOOKUPS_PER_SECOND: u64 = 1_000;

/// Peers with an entry, whether listed in the settings or not.
pub const MAX_PEERS: usize = 256;

/// How long copies of a SYN that has been delivered still go to the same upstream. Its TCP stack
/// recognizes them during the handshake, and the caller's first three timeouts fall within this
/// time.
pub const OPENING_COPY_MS: u64 = 10_000;

/// Time within which a caller continues after its opening was answered: many round trips and one
/// retransmission.
pub const CALLER_PROGRESS_MS: u64 = 1_000;

/// How long a claim is kept, and how long a restarted witness abstains. Must exceed the longest
/// time for which copies of one opening exist: a Linux caller sends its last SYN after 63 s.
pub const CLAIM_TTL_MS: u64 = 120_000;

/// How long a home waits for former homes if the service admits when in doubt: many times the round
/// trip of 3 ms, and well below the caller's first retransmission after 1 s.
pub const WITNESS_TIMEOUT_MS: u64 = 200;

/// How long a restarted witness waits before it asks for records. This is over three times as long
/// as a claimant may count a grant of the previous incarnation, so that the rates of the two clocks
/// may differ by that factor.
pub const RECALL_DELAY_MS: u64 = 1_000;

/// How long a witness sends no answer, rather than abstain, while it asks newly listed members.
/// Their answers take a round trip of 3 ms, and a claimant repeats its request after 80 ms and
/// waits for 300 ms.
pub const CATCH_UP_MS: u64 = 200;

/// Records in one page for a restarted witness: 39 bytes each, under 1,200 bytes in total.
pub const RECORDS_PER_PAGE: usize = 28;

/// Records in one page for an agent that settles memberships, which carries the extent of the
/// records as well and stays under 1,200 bytes.
pub const CLAIMS_PER_PAGE: usize = 22;

/// Settled memberships named in one page, up to 18 bytes each.
pub const SETTLED_PER_PAGE: usize = 8;

/// Interval at which peers are asked whether they have settled a membership.
pub const PROBE_INTERVAL_MS: u64 = 2_000;

/// Peers asked at a time whether they have settled a membership.
pub const PEERS_PER_PROBE: usize = 3;

/// Interval at which balancers are told again which memberships are outdated.
pub const OUTDATED_REPORT_INTERVAL_MS: u64 = 10_000;

/// Interval at which balancers are asked which memberships are outdated.
pub const OUTDATED_QUESTION_INTERVAL_MS: u64 = 1_000;

/// How long a claimant waits for a majority, and then again for a majority to refuse.
pub const QUORUM_TIMEOUT_MS: u64 = 300;

/// How long a lookup waits for answers.
pub const LOOKUP_TIMEOUT_MS: u64 = 250;

/// Time after which an unanswered claim or question is sent again, in case it was lost.
pub const RESEND_INTERVAL_MS: u64 = 80;

/// How long agents that may have admitted openings of a bucket before are still asked. Copies of a
/// SYN that the caller sends on its first three timeouts (1, 3 and 7 s) fall within this time.
pub const FORMER_HOME_TTL_MS: u64 = 10_000;

/// Shortest interval between heartbeats.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Heartbeat interval per peer: the sum over all peers stays under 40 messages per second.
pub const HEARTBEAT_MS_PER_PEER: u64 = 25;

/// Heartbeats that may be missed before a peer is suspected. Two may be lost by chance.
pub const MISSED_HEARTBEATS: u64 = 3;

/// Gap between two ticks that counts as a pause, during which peers may have taken over.
pub const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// Interval between announcements to one peer, and between their retransmissions.
pub const ANNOUNCE_INTERVAL_MS: u64 = 250;

/// Time within which a holder has announced a flow that it has accepted: four intervals, so that
/// three batches may be lost.
pub const ANNOUNCE_DEADLINE_MS: u64 = 1_000;

/// Interval between retransmissions to a suspected peer.
pub const ANNOUNCE_INTERVAL_SUSPECTED_MS: u64 = 2_000;

/// Flow notes in one announcement: 22 bytes each, so that a datagram stays under 1,200 bytes.
pub const NOTES_PER_ANNOUNCE: usize = 48;

/// Notes queued for one peer. Beyond this, all flows are announced again once the peer answers.
pub const MAX_OUTBOX: usize = 16_384;

/// Interval in which every open flow is announced again, in case a home lost it unnoticed.
pub const ANNOUNCE_REFRESH_INTERVAL_MS: u64 = 600_000;

/// Lifetime of a redirect that is not refreshed: three lost refreshes.
pub const REDIRECT_TTL_MS: u64 = 1_800_000;

/// Openings in one page for a restarted agent: up to 25 bytes each with their holder, under 1,200
/// bytes in total.
pub const OPENINGS_PER_PAGE: usize = 44;

/// Time after which an unanswered page request is repeated.
pub const RELEARN_RETRY_MS: u64 = 200;

/// A peer that started this long before another agent restarted has received all announcements of
/// that agent.
pub const RESYNC_MS: u64 = 5_000;

/// How long after relearning the agent may still hold flows that its previous incarnation had not
/// announced when it died. By then, callers of such flows have retransmitted several times.
pub const UNANNOUNCED_FLOWS_MS: u64 = 60_000;

/// Longest time for which a restarted agent assumes that it may hold unknown flows because its
/// peers have not reported all of them. Feeds that it held may be idle for as long.
pub const MAX_INCOMPLETE_STATE_MS: u64 = FLOW_IDLE_TIMEOUT_MS;

/// How long a retired, unresponsive peer is still asked about unknown flows.
pub const RETIRED_PEER_TIMEOUT_MS: u64 = 60_000;

/// Idle time after which an open flow is removed. Feeds that are idle for hours are kept.
pub const FLOW_IDLE_TIMEOUT_MS: u64 = 86_400_000;

/// Idle time after which a datagram flow is removed. There is no FIN to wait for.
pub const DATAGRAM_IDLE_TIMEOUT_MS: u64 = 300_000;

/// Time after which a flow with an incomplete handshake is removed: on Linux an upstream sends its
/// last SYN-ACK after 31 s and gives up after 63 s.
pub const HANDSHAKE_TIMEOUT_MS: u64 = 90_000;

/// How long a request of a single datagram counts as load.
pub const DATAGRAM_UNANSWERED_TIMEOUT_MS: u64 = 10_000;

/// Largest difference between sequence numbers of a caller's packets in flight: over twice the
/// largest default receive buffer of a Linux upstream (6 MB). A packet of an older connection on
/// the same ports falls within it with a probability of 0.8%.
pub const SEQUENCE_WINDOW_BYTES: u32 = 1 << 24;

/// How long a flow is kept after the caller's FIN. The upstream may still be sending its answer,
/// and each acknowledgement restarts this time.
pub const FINISH_LINGER_MS: u64 = 600_000;

/// How long after its last packet a closing flow is trusted without a lookup. A caller does not
/// reuse its ports for 60 s after its FIN.
pub const CLOSING_TRUST_MS: u64 = 30_000;

/// How long a flow is kept after the caller's RST, which only stray packets follow.
pub const RESET_LINGER_MS: u64 = 60_000;

/// Interval between searches for idle flows, each a scan of the whole table.
pub const IDLE_SWEEP_INTERVAL_MS: u64 = 30_000;

/// Time in which the share of a cold upstream grows from [`RAMP_START_PERCENT`] to its full weight.
pub const RAMP_DURATION_MS: u64 = 10_000;

/// Share of its weight with which a cold upstream starts.
pub const RAMP_START_PERCENT: u64 = 10;

/// Openings without a further packet from their callers after which an upstream counts as
/// unhealthy, whatever it reports, if there has been no progress for [`UNHEALTHY_AFTER_MS`].
pub const UNHEALTHY_UNANSWERED_OPENINGS: usize = 8;

/// See [`UNHEALTHY_UNANSWERED_OPENINGS`]. Also how long progress outweighs a report of bad health.
pub const UNHEALTHY_AFTER_MS: u64 = 3_000;

/// Shortest interval between two requests for the same settings.
pub const FETCH_RETRY_MS: u64 = 500;
