//! Bounds and periods of the agent, each with its reason.

/// Agents that may pass a packet on. Home by an old view, home, holder by hint, holder: four.
pub const MAX_HOPS: u8 = 4;

/// Entries of the flow table, closing flows included. Fifty thousand open flows are the design
/// size; the rest is room for closing ones. 56 bytes each with their id: 7 MB, and the map's spare
/// room as much again (worked out).
pub const MAX_FLOWS: usize = 131_072;

/// Redirects kept as home or second rank: twice a full flow table, as each flow is told to two.
pub const MAX_REDIRECTS: usize = 262_144;

/// Claims kept at a time: 2,000 openings a second for [`CLAIM_TTL_MS`].
pub const MAX_CLAIMS: usize = 262_144;

/// Claims that wait for witnesses at a time, each with one held packet.
pub const MAX_PENDING_CLAIMS: usize = 1_024;

/// Lookups that wait for answers at a time. With their packets and those of pending claims, an
/// agent holds 4,096 packets at the most, 6 MB at full size.
pub const MAX_LOOKUPS: usize = 768;

/// Packets held for one lookup; a sender's first flight after a pause is rarely longer.
pub const MAX_HELD_PER_LOOKUP: usize = 4;

/// Lookups begun in a second, so that spoofed packets of unknown flows cost peers a bounded rate.
pub const LOOKUPS_PER_SECOND: u64 = 1_000;

/// Peers remembered, listed or not.
pub const MAX_PEERS: usize = 256;

/// How long copies of a SYN that has run are still delivered to the same upstream: its TCP knows
/// them while the handshake lasts, and the caller's first three timeouts fall within it.
pub const OPENING_COPY_MS: u64 = 10_000;

/// Time within which a caller goes on once its opening was answered: many round trips, and one repetition.
pub const CALLER_PROGRESS_MS: u64 = 1_000;

/// How long a claim is remembered and a restarted witness abstains. It must exceed the longest
/// time for which copies of one opening exist: a Linux caller sends its last SYN after 63 s.
pub const CLAIM_TTL_MS: u64 = 120_000;

/// How long a home waits for former homes where the service admits when in doubt: many times the
/// round trip of 3 ms, and well under the caller's first retransmission after 1 s.
pub const WITNESS_TIMEOUT_MS: u64 = 200;

/// How long a restarted witness waits before it asks for records: over three times the time in which a
/// claimant may count a grant of its earlier life, so that clocks may differ in rate by as much.
pub const RECALL_DELAY_MS: u64 = 1_000;

/// How long a witness says nothing rather than abstain while it asks newly listed members: their answers
/// take a round trip of 3 ms, and a claimant asks again after 80 ms and waits for 300.
pub const CATCH_UP_MS: u64 = 200;

/// Records in one page for a restarted witness: 39 bytes each, under 1,200 bytes together.
pub const RECORDS_PER_PAGE: usize = 28;

/// How long a claimant waits for a majority, and then again for a majority to refuse.
pub const QUORUM_TIMEOUT_MS: u64 = 300;

/// How long answers to a question about an unknown flow are awaited.
pub const LOOKUP_TIMEOUT_MS: u64 = 250;

/// After this time an unanswered claim or question is sent again, in case it was lost.
pub const RESEND_INTERVAL_MS: u64 = 80;

/// How long the agents that may have admitted for a bucket before are asked: SYN copies sent on
/// the caller's first three timeouts (1, 3 and 7 s) fall within it.
pub const FORMER_HOME_TTL_MS: u64 = 10_000;

/// Least period of heartbeats.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Period of heartbeats per peer: the sum over all peers stays under 40 messages a second.
pub const HEARTBEAT_MS_PER_PEER: u64 = 25;

/// Heartbeats that may be missed before a peer is suspected; two may be lost by chance.
pub const MISSED_HEARTBEATS: u64 = 3;

/// A gap between two ticks that counts as a pause: peers may have stood in meanwhile.
pub const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// Period of announcements to one peer, and of their repetition.
pub const ANNOUNCE_INTERVAL_MS: u64 = 250;

/// Time within which a holder has announced what it has taken: four periods, so that three batches may
/// get lost.
pub const ANNOUNCE_DEADLINE_MS: u64 = 1_000;

/// Period of repetition towards a suspected peer.
pub const ANNOUNCE_INTERVAL_SUSPECTED_MS: u64 = 2_000;

/// Flow notes in one announcement: 22 bytes each, so that a datagram stays under 1,200 bytes.
pub const NOTES_PER_ANNOUNCE: usize = 48;

/// Notes waiting for one peer; beyond this all flows are announced again once it answers.
pub const MAX_OUTBOX: usize = 16_384;

/// Period in which every open flow is announced again, in case that a home lost it unnoticed.
pub const ANNOUNCE_REFRESH_INTERVAL_MS: u64 = 600_000;

/// Life of a redirect without refresh: three lost refreshes.
pub const REDIRECT_TTL_MS: u64 = 1_800_000;

/// Openings in one page for a restarted agent: up to 25 bytes each with their holder, under 1,200
/// bytes together.
pub const OPENINGS_PER_PAGE: usize = 44;

/// After this time a page is asked for again.
pub const RELEARN_RETRY_MS: u64 = 200;

/// A peer that started this long before an agent restarted has been told that agent's flows.
pub const RESYNC_MS: u64 = 5_000;

/// After relearning, how long the agent may still hold flows that its earlier life had not yet
/// announced when it died. Callers of such flows have sent again several times by then.
pub const UNANNOUNCED_FLOWS_MS: u64 = 60_000;

/// Longest time for which a restarted agent stays unsure because its peers cannot tell: feeds that
/// it held may be idle for as long.
pub const MAX_INCOMPLETE_STATE_MS: u64 = FLOW_IDLE_TIMEOUT_MS;

/// How long a retired, silent peer must still be heard out about unknown flows.
pub const RETIRED_PEER_TIMEOUT_MS: u64 = 60_000;

/// Open flows idle for longer are given up. Feeds of hours stay.
pub const FLOW_IDLE_TIMEOUT_MS: u64 = 86_400_000;

/// Datagram flows idle for longer are given up; there is no FIN to wait for.
pub const DATAGRAM_IDLE_TIMEOUT_MS: u64 = 300_000;

/// A handshake that the caller has not completed by now never will: an upstream's SYN-ACK
/// is sent for the last time after 31 s on Linux and given up after 63 s.
pub const HANDSHAKE_TIMEOUT_MS: u64 = 90_000;

/// A one-datagram request counts as load for this long.
pub const DATAGRAM_UNANSWERED_TIMEOUT_MS: u64 = 10_000;

/// Bytes by which sequence numbers of a caller's packets may differ while all are on their way: over
/// twice the largest receive buffer of a Linux upstream by default (6 MB). One of an older connection
/// on the same ports falls within it with a chance of 0.8%.
pub const SEQUENCE_WINDOW_BYTES: u32 = 1 << 24;

/// After the caller's FIN the upstream may still be sending its answer; each acknowledgement
/// starts this time anew.
pub const FINISH_LINGER_MS: u64 = 600_000;

/// How long after its last packet a closing flow is believed without asking. A caller's ports
/// rest for 60 s after its FIN.
pub const CLOSING_TRUST_MS: u64 = 30_000;

/// After the caller's RST only stray packets follow.
pub const RESET_LINGER_MS: u64 = 60_000;

/// Period in which idle flows are looked for, a scan of the whole table.
pub const IDLE_SWEEP_INTERVAL_MS: u64 = 30_000;

/// Time in which a cold upstream's share grows from [`RAMP_START_PERCENT`] to all.
pub const RAMP_DURATION_MS: u64 = 10_000;

/// Share of its weight that a cold upstream begins with.
pub const RAMP_START_PERCENT: u64 = 10;

/// Openings without a sign of life from their callers that make an upstream count as sick,
/// whatever it reports, after [`UNHEALTHY_AFTER_MS`] without any progress.
pub const UNHEALTHY_UNANSWERED_OPENINGS: usize = 8;

/// See [`UNHEALTHY_UNANSWERED_OPENINGS`]; also how long progress outweighs a report of bad health.
pub const UNHEALTHY_AFTER_MS: u64 = 3_000;

/// Least time between two requests for the same settings.
pub const FETCH_RETRY_MS: u64 = 500;
