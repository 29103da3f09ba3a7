//! The agent's decisions: which openings its upstream takes, and where every other packet goes.
//!
//! The truth about a flow lives here, beside the upstream that holds it. Everything else that an
//! agent knows (who holds what) is soft state, learned from peers and rebuilt after a restart.

pub mod limits;
mod mutant;
mod types;

use std::sync::Arc;

#[cfg(feature = "mutants")]
pub use mutant::Mutant;
use mutant::mutated;
pub use types::*;

use crate::time::Millis;
use crate::view::View;

/// The decision state of one agent.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    view: Arc<View>,
    #[cfg(feature = "mutants")]
    mutant: Option<Mutant>,
}

impl Agent {
    /// An agent at its start, with the newest settings that the shell could hear of.
    pub fn new(config: AgentConfig, view: Arc<View>, _now: Millis) -> Self {
        Self {
            config,
            view,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    /// Decides about one packet. The fast path (a known flow) touches nothing but the flow table.
    pub fn packet(&mut self, _now: Millis, packet: &Packet, _out: &mut Vec<Action>) -> Verdict {
        if packet.service != self.config.service && !mutated!(self, ServiceNotChecked) {
            return Verdict::Drop(Reason::WrongService);
        }
        Verdict::Deliver
    }

    /// Takes in an event and appends what must be done about it.
    pub fn handle(&mut self, _now: Millis, event: Event, _out: &mut Vec<Action>) {
        if let Event::View(view) = event {
            self.view = view;
        }
    }

    /// Flows that this agent holds for its upstream.
    pub fn open_flows(&self) -> usize {
        0
    }

    /// Takes out one safeguard, or none.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: Option<Mutant>) {
        self.mutant = mutant;
    }
}
