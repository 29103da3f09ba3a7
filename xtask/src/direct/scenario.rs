//! The schedule of changes and faults in a run.

use std::time::Duration;

/// A change or fault. Numbers are indices of balancers, upstreams or availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Sends SIGTERM to a balancer; it is started again once it has exited.
    RollBalancer(usize),
    /// Kills a balancer and starts it again.
    KillBalancer(usize),
    /// Suspends a balancer, which becomes unresponsive without closing its sockets.
    FreezeBalancer(usize),
    /// Resumes a suspended balancer.
    WakeBalancer(usize),
    /// Kills an agent and starts it again.
    KillAgent(usize),
    /// Marks an upstream as draining, before it leaves.
    Drain(usize),
    /// Ends an upstream together with its agent, and removes its entry.
    Retire(usize),
    /// Starts an upstream of another service at the address of a retired one.
    Reuse(usize),
    /// Kills an upstream; its agent keeps running, and its entry stays until `Forget`.
    Crash(usize),
    /// Removes the entry of an upstream, which may still be running.
    Forget(usize),
    /// Restores the entry of a running upstream.
    Relist(usize),
    /// Starts an upstream again, as a new incarnation.
    Restart(usize),
    /// Closes an availability zone to new flows.
    CloseZone(usize),
    /// Opens an availability zone to new flows again.
    OpenZone(usize),
    /// The configuration service stops answering.
    StoreSilent,
    /// The configuration service refuses requests.
    StoreRefuses,
    /// The configuration service answers again.
    StoreWell,
    /// Takes a copy of what the configuration service holds.
    CopyStore,
    /// The configuration service comes back from the copy: later writes are lost.
    RestoreStore,
    /// Everything that was lost is written again.
    WriteAgain,
    /// Kills all balancers and agents and starts them again.
    KillAll,
    /// Begins the final phase, in which no faults are injected.
    Calm,
    /// Callers start no new requests.
    Finish,
    /// Stops the callers; requests in progress have had time to complete.
    End,
}

/// One step of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    /// Time since the callers started.
    pub(super) at: Duration,
    /// The change or fault.
    pub(super) action: Action,
}

const fn at(ms: u64, action: Action) -> Step {
    Step { at: Duration::from_millis(ms), action }
}

/// Planned changes and faults, some of them overlapping, and a final phase without faults.
pub(super) const STEPS: &[Step] = &[
    at(500, Action::CloseZone(1)),
    at(3_000, Action::RollBalancer(0)),
    at(5_000, Action::Drain(1)),
    at(6_000, Action::KillBalancer(1)),
    at(7_000, Action::OpenZone(1)),
    at(7_500, Action::KillAgent(4)),
    at(8_500, Action::Retire(1)),
    // An address is reassigned to another service during an outage of the configuration service, so
    // no balancer receives the change.
    at(10_000, Action::StoreSilent),
    at(10_300, Action::Retire(0)),
    at(10_500, Action::Reuse(0)),
    at(11_000, Action::FreezeBalancer(2)),
    at(12_200, Action::WakeBalancer(2)),
    at(13_000, Action::StoreWell),
    // A zone is closed as soon as the outage is over.
    at(13_050, Action::CloseZone(2)),
    at(15_000, Action::Crash(2)),
    at(16_000, Action::RollBalancer(1)),
    at(18_000, Action::OpenZone(2)),
    at(18_600, Action::Forget(2)),
    at(19_000, Action::Restart(2)),
    // An entry expires during an outage, and a freshly started balancer reads the list before the
    // entry is restored.
    at(20_000, Action::StoreRefuses),
    at(20_200, Action::Forget(3)),
    at(21_500, Action::StoreWell),
    at(21_600, Action::KillBalancer(0)),
    at(22_900, Action::Relist(3)),
    at(23_500, Action::KillAll),
    // The service comes back from a copy that lacks what is in force, and a balancer starts before
    // that is written again.
    at(27_000, Action::CopyStore),
    at(27_200, Action::CloseZone(1)),
    at(27_400, Action::Drain(2)),
    at(30_000, Action::StoreRefuses),
    at(30_400, Action::RestoreStore),
    at(30_500, Action::StoreWell),
    at(30_600, Action::KillBalancer(0)),
    at(31_900, Action::WriteAgain),
    at(32_500, Action::OpenZone(1)),
    // It comes back without an outage, and a zone is closed under a revision that was given out
    // before.
    at(33_000, Action::CopyStore),
    at(33_100, Action::Relist(3)),
    at(33_200, Action::Relist(4)),
    at(33_600, Action::RestoreStore),
    at(33_800, Action::CloseZone(1)),
    at(38_500, Action::OpenZone(1)),
    at(39_500, Action::Calm),
    at(45_500, Action::Finish),
    at(49_000, Action::End),
];
