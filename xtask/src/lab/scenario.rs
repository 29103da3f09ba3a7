//! Scenarios as plain data: phases, tracks that run in parallel, and timed steps.

/// What happens in a run.
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) description: &'static str,
    /// False if callers reach the upstreams through the fabric alone, without balancers and agents.
    pub(super) with_product: bool,
    pub(super) phases: &'static [Phase],
}

/// Part of a scenario. Failures during a phase are counted under its kind.
pub(super) struct Phase {
    pub(super) name: &'static str,
    pub(super) kind: PhaseKind,
    /// Steps of one track run one after another; tracks run in parallel.
    pub(super) tracks: &'static [&'static [Step]],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PhaseKind {
    Planned,
    Fault,
    /// After all faults and the time to recover from them.
    Recovered,
}

/// One upstream of a service and its agent. The seed rotates the mapping from slots to upstreams,
/// so that runs with different seeds affect different ones. Two slots of one service never map to
/// the same upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub(super) service: &'static str,
    pub(super) slot: u32,
}

/// One step of a track. Arguments of type `u64` are durations in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// Does nothing for the given time.
    Wait(u64),
    /// Publishes the account's settings with a changed weight for one upstream.
    Publish(&'static str),
    /// Gracefully replaces the balancer in this slot of both accounts.
    RollBalancers(u32),
    /// Gracefully replaces an agent; its upstream and its flows stay.
    RestartAgent(Target),
    /// Adds a new upstream, drains an old one, waits until its flows have ended, and stops it
    /// gracefully.
    ReplaceUpstream(Target),
    /// The upstream itself requests to be drained, and withdraws the request after the given time.
    DrainBySignal(Target, u64),
    /// The upstream sheds load for the given time.
    Shed(Target, u64),
    /// The upstream keeps reporting the same outdated status for the given time.
    FreezeStatus(Target, u64),
    /// Sends SIGKILL to the balancer in this slot of both accounts and starts a new one after the
    /// given time.
    KillBalancers(u32, u64),
    /// Sends SIGSTOP and, after the given time, SIGCONT.
    PauseBalancers(u32, u64),
    /// Sends SIGKILL to an agent and starts a new one after the given time.
    KillAgent(Target, u64),
    /// Sends SIGSTOP and, after the given time, SIGCONT.
    PauseAgent(Target, u64),
    /// Sends SIGKILL to an upstream, but not to its agent, and starts a new one after the given
    /// time. The upstream's flows are lost because of the lab and counted separately.
    KillUpstream(Target, u64),
    /// The configuration service (the stand-in `platform`) is down for the given time.
    PlatformDown(u64),
    /// Readers of the configuration service see no changes for the given time.
    PlatformStale(u64),
    /// For the given time, half of the readers of the configuration service see each change with a
    /// delay of the same length.
    PlatformSkew(u64),
    /// The fabric drops, duplicates and reorders packets for the given time.
    RoughFabric(u64),
}

use Step::*;

const fn target(service: &'static str, slot: u32) -> Target {
    Target { service, slot }
}

const ROLL: &[Step] = &[Wait(500), RollBalancers(0), RollBalancers(1), RollBalancers(2)];

const SETTINGS: &[Step] = &[
    Publish("cascadia"),
    Wait(1_500),
    Publish("bajio"),
    Wait(1_500),
    Publish("cascadia"),
    Publish("bajio"),
    Wait(1_500),
    Publish("cascadia"),
    Wait(1_500),
    Publish("bajio"),
];

const UPSTREAMS: &[Step] =
    &[Wait(300), ReplaceUpstream(target("shelf", 0)), ReplaceUpstream(target("catalogue", 0))];

const AGENTS: &[Step] = &[
    Wait(800),
    RestartAgent(target("fitting", 1)),
    RestartAgent(target("shelf", 1)),
    RestartAgent(target("manifest", 1)),
];

const SIGNALS: &[Step] = &[
    Wait(1_000),
    DrainBySignal(target("fitting", 2), 5_000),
    Shed(target("fitting", 3), 1_000),
    FreezeStatus(target("fitting", 4), 1_500),
];

const PLANNED: Phase = Phase {
    name: "planned change",
    kind: PhaseKind::Planned,
    tracks: &[ROLL, SETTINGS, UPSTREAMS, AGENTS, SIGNALS],
};

const FAULTS: Phase = Phase {
    name: "faults",
    kind: PhaseKind::Fault,
    tracks: &[
        &[KillBalancers(0, 800), Wait(500), PauseBalancers(1, 1_500)],
        &[
            Wait(300),
            KillAgent(target("shelf", 2), 500),
            Wait(500),
            PauseAgent(target("fitting", 5), 2_000),
        ],
        &[Wait(600), PauseAgent(target("shelf", 3), 1_500), KillAgent(target("manifest", 2), 500)],
        &[PlatformDown(3_000), Publish("cascadia"), PlatformStale(1_500), Publish("bajio")],
        &[Wait(400), RoughFabric(4_000)],
        &[Wait(2_500), KillUpstream(target("fitting", 6), 500)],
    ],
};

/// Replaces everything while half of the readers lag, packets are lost and agents are paused.
const COMBINED: Phase = Phase {
    name: "changes and faults together",
    kind: PhaseKind::Fault,
    tracks: &[
        &[PlatformSkew(6_000)],
        &[Wait(1_000), RoughFabric(5_000)],
        ROLL,
        SETTINGS,
        AGENTS,
        &[PauseAgent(target("fitting", 1), 1_000), PauseAgent(target("shelf", 5), 2_500)],
        // An agent loses its state while a peer that could restore it is paused.
        &[Wait(1_300), KillAgent(target("shelf", 6), 400)],
    ],
};

/// All scenarios; the first one is the default.
pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "quick",
        description: "every planned change once, then every fault once, then both together",
        with_product: true,
        phases: &[PLANNED, FAULTS, COMBINED],
    },
    Scenario {
        name: "full",
        description: "planned changes, faults, and both together, twice",
        with_product: true,
        phases: &[PLANNED, FAULTS, COMBINED, PLANNED, FAULTS, COMBINED],
    },
    Scenario {
        name: "planned",
        description: "planned changes only",
        with_product: true,
        phases: &[PLANNED],
    },
    Scenario { name: "faults", description: "faults only", with_product: true, phases: &[FAULTS] },
    Scenario {
        name: "calm",
        description: "no change at all",
        with_product: true,
        phases: &[Phase { name: "calm", kind: PhaseKind::Planned, tracks: &[&[Wait(8_000)]] }],
    },
    Scenario {
        name: "wire",
        description: "stand-ins only, without balancers and agents: checks the lab itself",
        with_product: false,
        phases: &[Phase { name: "calm", kind: PhaseKind::Planned, tracks: &[&[Wait(4_000)]] }],
    },
];
