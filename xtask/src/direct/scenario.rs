//! What happens in a run, and when.

use std::time::Duration;

/// Something that happens to a part of the fleet, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// A balancer is told to end, and starts again once it has.
    RollBalancer(usize),
    /// A balancer dies and starts again.
    KillBalancer(usize),
    /// A balancer stops without a sign.
    FreezeBalancer(usize),
    /// It goes on.
    WakeBalancer(usize),
    /// An agent dies and starts again.
    KillAgent(usize),
    /// An upstream says that it leaves.
    Drain(usize),
    /// It ends with its agent and its entry.
    Retire(usize),
    /// Another service's upstream starts at its address.
    Reuse(usize),
    /// An upstream dies; its agent lives, and its entry stays for a while.
    Crash(usize),
    /// The entry goes; the upstream may live all the same.
    Forget(usize),
    /// The entry of an upstream that lives is back.
    Relist(usize),
    /// It starts again, with another life.
    Restart(usize),
    /// An availability zone, by its number, is closed to new flows.
    CloseZone(usize),
    /// It takes new flows again.
    OpenZone(usize),
    /// The configuration service falls silent, or refuses.
    StoreSilent,
    StoreRefuses,
    /// It answers again.
    StoreWell,
    /// All balancers and agents die, and start again.
    KillAll,
    /// From now on nothing is broken.
    Calm,
    /// Callers begin nothing more.
    Finish,
    /// The run is over: what was begun has had its time.
    End,
}

/// One step of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    /// Time since the callers started.
    pub(super) at: Duration,
    /// What happens.
    pub(super) action: Action,
}

const fn at(ms: u64, action: Action) -> Step {
    Step { at: Duration::from_millis(ms), action }
}

/// Planned change and faults, some of them together, and a calm end.
pub(super) const STEPS: &[Step] = &[
    at(500, Action::CloseZone(1)),
    at(3_000, Action::RollBalancer(0)),
    at(5_000, Action::Drain(1)),
    at(6_000, Action::KillBalancer(1)),
    at(7_000, Action::OpenZone(1)),
    at(7_500, Action::KillAgent(4)),
    at(8_500, Action::Retire(1)),
    // An address goes to another service while no balancer can learn of it.
    at(10_000, Action::StoreSilent),
    at(10_300, Action::Retire(0)),
    at(10_500, Action::Reuse(0)),
    at(11_000, Action::FreezeBalancer(2)),
    at(12_200, Action::WakeBalancer(2)),
    at(13_000, Action::StoreWell),
    // Closed as soon as the outage is over.
    at(13_050, Action::CloseZone(2)),
    at(15_000, Action::Crash(2)),
    at(16_000, Action::RollBalancer(1)),
    at(18_000, Action::OpenZone(2)),
    at(18_600, Action::Forget(2)),
    at(19_000, Action::Restart(2)),
    // An entry expires during an outage, and a balancer without memory reads the list before it is back.
    at(20_000, Action::StoreRefuses),
    at(20_200, Action::Forget(3)),
    at(21_500, Action::StoreWell),
    at(21_600, Action::KillBalancer(0)),
    at(22_900, Action::Relist(3)),
    at(23_500, Action::KillAll),
    at(26_500, Action::Calm),
    at(32_500, Action::Finish),
    at(36_000, Action::End),
];
