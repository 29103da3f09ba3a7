//! What happens in a run, as plain data: phases, tracks that run side by side, timed steps.

/// A run.
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) description: &'static str,
    /// False for stand-ins on a direct wire, without the product.
    pub(super) with_product: bool,
    pub(super) phases: &'static [Phase],
}

/// Part of a run; what breaks in it is counted under its kind.
pub(super) struct Phase {
    pub(super) name: &'static str,
    pub(super) kind: PhaseKind,
    /// Steps of one track follow each other; tracks run side by side.
    pub(super) tracks: &'static [&'static [Step]],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PhaseKind {
    Planned,
    Fault,
    /// All faults are over and the time to recover from them as well.
    Recovered,
}

/// One upstream of a service and its agent. The seed turns the slots, so that each run takes
/// others; two slots of one service are never the same upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub(super) service: &'static str,
    pub(super) slot: u32,
}

/// One step.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// Nothing for so many milliseconds.
    Wait(u64),
    /// Publishes the account with another weight for one upstream.
    Publish(&'static str),
    /// Replaces the balancer in this slot of both accounts gracefully.
    RollBalancers(u32),
    /// Replaces an agent gracefully; its upstream and its flows stay.
    RestartAgent(Target),
    /// Sets up a new upstream, drains an old one, waits for its flows' end, ends it gracefully.
    ReplaceUpstream(Target),
    /// The upstream itself asks to be drained, and takes it back after so many milliseconds.
    DrainBySignal(Target, u64),
    /// The upstream sheds load for so many milliseconds.
    Shed(Target, u64),
    /// The upstream's status lies for so many milliseconds: frozen.
    FreezeStatus(Target, u64),
    /// SIGKILL to the balancer in this slot of both accounts; a new one comes after so many
    /// milliseconds.
    KillBalancers(u32, u64),
    /// SIGSTOP and, after so many milliseconds, SIGCONT.
    PauseBalancers(u32, u64),
    /// SIGKILL to an agent; a new one comes after so many milliseconds.
    KillAgent(Target, u64),
    /// SIGSTOP and, after so many milliseconds, SIGCONT.
    PauseAgent(Target, u64),
    /// SIGKILL to an upstream, not its agent; a new one comes after so many milliseconds. Its
    /// flows die with it, by the lab's hand.
    KillUpstream(Target, u64),
    /// The configuration service is down for so many milliseconds.
    PlatformDown(u64),
    /// Readers see nothing new for so many milliseconds.
    PlatformStale(u64),
    /// Half of the readers see everything so many milliseconds later, for as long.
    PlatformSkew(u64),
    /// Packets are lost, doubled and reordered for so many milliseconds.
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

/// Everything is replaced while half of the readers are behind, packets are lost and agents sleep.
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
        // An agent loses what it knows while one that could tell it is asleep.
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
        description: "stand-ins only, on a direct wire: checks the lab itself",
        with_product: false,
        phases: &[Phase { name: "calm", kind: PhaseKind::Planned, tracks: &[&[Wait(4_000)]] }],
    },
];
