//! The data thread. It is the only owner of the decision core, so the packet path needs no locks.

mod carry;
mod leave;
mod requests;
#[cfg(test)]
mod tests;
mod timeline;

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use decision::agent::{Action, Agent, Event, Forwarding, MAX_TICK_INTERVAL_MS, Packet, Verdict};
use decision::keys::{ServiceKey, UpstreamId, Version};
use decision::time::Millis;
use decision::view::{View, WhenInDoubt};
use settings::{Code, codes};
use shell::boottime;
use shell::settings_sync::Store;
use shell::udp::{self, PayloadRef, Sender, SourceReceiver};
use telemetry::clock::Timestamp;
use telemetry::timeline::Timeline;
use wire::gue::{self, Content};
use wire::sealed::{AccountKeyring, SEALED_BYTES};

use crate::counters::{Count, Counters, Counts};
use crate::gate::{self, Admitted, Identity};
use crate::hold::{Held, HoldTable};

pub(crate) use carry::Addresses;
pub(crate) use requests::{FlowEntry, FlowList, FlowQuery, Request, state_name};

/// Maximum wait for a datagram. Half a tick interval, so that no tick is late by more than that.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(MAX_TICK_INTERVAL_MS / 2);

/// Configuration of the data thread and the objects that it shares with other threads.
pub(crate) struct DataPlaneConfig {
    pub(crate) socket: UdpSocket,
    pub(crate) addresses: Addresses,
    pub(crate) identity: Identity,
    pub(crate) account: Arc<str>,
    pub(crate) keyring: AccountKeyring,
    pub(crate) store: Arc<Store>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) counters: Counters,
    /// Requests to the fetching thread for at least this version of the account's settings.
    pub(crate) fetch: mpsc::Sender<Version>,
    /// Set once the agent is leaving, its peers have acknowledged all its announcements, balancers
    /// have stopped sending to it and it holds no packet that waits for a verdict.
    pub(crate) handed_over: Arc<AtomicBool>,
    /// Whether the agent is fully operational, updated on each tick.
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) stop: Arc<AtomicBool>,
}

/// State of the data thread.
pub(crate) struct DataPlane {
    config: DataPlaneConfig,
    agent: Agent,
    view: Arc<View>,
    own_service: OwnService,
    generation: u64,
    requests: mpsc::Receiver<Request>,
    leave: leave::LeaveState,
    held: HoldTable,
    actions: Vec<Action>,
    counts: Counts,
    scratch: Vec<u8>,
    body: Vec<u8>,
    last_tick: Millis,
}

/// Data of this agent's service, looked up once for each view.
struct OwnService {
    service: Option<ServiceKey>,
    version: Version,
    datagram_nonce: fn(&[u8]) -> u32,
}

/// Binds the data socket. Unlike a balancer's socket, it is not shared between threads.
pub(crate) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    udp::bind(address, false, RECEIVE_TIMEOUT)
}

impl DataPlane {
    pub(crate) fn new(
        config: DataPlaneConfig,
        agent: Agent,
        view: Arc<View>,
        generation: u64,
        requests: mpsc::Receiver<Request>,
    ) -> Self {
        Self {
            own_service: OwnService::look_up(&view, &config.identity),
            config,
            agent,
            view,
            generation,
            requests,
            leave: leave::LeaveState::default(),
            held: HoldTable::default(),
            actions: Vec::new(),
            counts: Counts::default(),
            scratch: Vec::new(),
            body: Vec::new(),
            last_tick: Millis(0),
        }
    }

    /// Serves until the stop flag is set.
    pub(crate) fn run(mut self) {
        let mut receiver = SourceReceiver::default();
        let mut sender = Sender::default();
        while !self.config.stop.load(Ordering::Relaxed) {
            if let Err(error) = receiver.receive(&self.config.socket) {
                log::error!("receive failed: {error}");
                std::thread::sleep(RECEIVE_TIMEOUT);
            }
            let now = boottime::now();
            self.apply_new_settings(now);
            self.handle_requests(now);
            let mut direct_slot = None;
            for (slot, datagram) in receiver.datagrams().enumerate() {
                self.counts.add(Count::Received, 1);
                if self.handle_datagram(now, slot, datagram, &mut sender)
                    == Some(Forwarding::Direct)
                {
                    direct_slot = direct_slot.or(Some(slot));
                }
                self.run_actions();
            }
            // Recording one balancer per batch suffices to learn all of them over time.
            if let Some(slot) = direct_slot {
                self.leave.record_packet(now, receiver.source(slot));
            }
            let failed = sender.flush(&self.config.socket, &receiver);
            (0..failed).for_each(|_| self.counts.count_code(codes::SEND_FAILED));
            self.tick(now);
            self.config.counters.add(&mut self.counts);
        }
    }

    fn apply_new_settings(&mut self, now: Millis) {
        let generation = self.config.store.generation();
        if generation == self.generation {
            return;
        }
        self.generation = generation;
        self.view = self.config.store.view();
        self.own_service = OwnService::look_up(&self.view, &self.config.identity);
        self.agent.handle(now, Event::View(self.view.clone()), &mut self.actions);
        self.run_actions();
    }

    fn tick(&mut self, now: Millis) {
        if now.since(self.last_tick) < MAX_TICK_INTERVAL_MS {
            return;
        }
        self.last_tick = now;
        self.agent.handle(now, Event::Tick, &mut self.actions);
        self.run_actions();
        self.config.counters.update_gauges(&self.agent.stats(now));
        self.config.ready.store(self.agent.is_ready(now), Ordering::Release);
        self.notify_balancers(now);
        let idle = self.leave.balancers_stopped_sending(now) && self.held.is_empty();
        if idle && self.agent.is_handed_over() {
            self.config.handed_over.store(true, Ordering::Release);
        }
    }

    /// Handles one datagram. If it carried a packet, returns how it was forwarded to this agent.
    fn handle_datagram(
        &mut self,
        now: Millis,
        slot: usize,
        datagram: &[u8],
        sender: &mut Sender,
    ) -> Option<Forwarding> {
        let config = &self.config;
        match gate::check(&config.identity, &config.keyring, &self.view, datagram) {
            Err(code) => {
                self.counts.count_code(code);
                None
            }
            Ok(Admitted::Message { header, envelope }) => {
                self.counts.add(Count::MessagesReceived, 1);
                self.config.timeline.clock().observe(Timestamp(envelope.clock));
                let from = UpstreamId(header.sender.0);
                let event = Event::Message { from, message: envelope.message };
                self.agent.handle(now, event, &mut self.actions);
                None
            }
            Ok(Admitted::Settings(version)) => {
                if version > self.own_service.version {
                    // Does not fail, since the fetching thread runs as long as the process.
                    let _ = self.config.fetch.send(version);
                }
                None
            }
            Ok(Admitted::Outdated(report)) => {
                self.agent.handle(now, Event::Outdated(report), &mut self.actions);
                None
            }
            Ok(Admitted::Packet { content, header, inner, bytes }) => {
                let packet = Packet {
                    service: header.service,
                    flow: header.flow,
                    kind: inner.kind(self.own_service.datagram_nonce),
                    sequence: inner.sequence(),
                    view: header.version,
                    hops: header.hops,
                    forwarding: header.forwarding,
                };
                match self.agent.handle_packet(now, &packet, &mut self.actions) {
                    Verdict::Deliver => self.queue_delivery(content, slot, sender),
                    verdict => self.apply_verdict(verdict, content, &header, bytes),
                }
                Some(header.forwarding)
            }
        }
    }

    /// Queues a packet of the current batch for delivery, without copying it out of the receive
    /// buffer.
    fn queue_delivery(&mut self, content: Content, slot: usize, sender: &mut Sender) {
        sender.next_prefix().start_plain(content);
        let payload = PayloadRef { slot, start: gue::HEADER_BYTES + SEALED_BYTES };
        sender.queue_next(payload, self.config.addresses.upstream);
        self.counts.add(Count::Delivered, 1);
    }

    /// Executes the actions that the core requested. Executing an action never adds another one.
    fn run_actions(&mut self) {
        if self.actions.is_empty() {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.run_action(action);
        }
        self.actions = actions;
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send_message(to, message),
            Action::Resolve { hold, verdict } => {
                if let Some(Held { content, header, bytes }) = self.held.take(hold) {
                    self.apply_verdict(verdict, content, &header, &bytes);
                }
            }
            Action::FetchSettings { at_least } => {
                // Does not fail, since the fetching thread runs as long as the process.
                let _ = self.config.fetch.send(at_least);
            }
            Action::Report(member) => self.report_peer(member),
            Action::ReportOutdated(report) => self.report_outdated(report),
            Action::AskOutdated => self.ask_outdated(),
            Action::Record(entry) => {
                timeline::record(&self.config.timeline, &self.config.account, entry);
            }
        }
    }

    fn drop_packet(&mut self, code: Code) {
        self.counts.count_code(code);
    }
}

impl OwnService {
    fn look_up(view: &View, identity: &Identity) -> Self {
        let account = view.find_account(identity.account);
        let service = view.find_service(identity.service);
        let spec = service.map(|key| &view.service(key).spec);
        // The fallback has no effect: without settings for its service, `gate::check` rejects every
        // packet.
        let when_in_doubt = spec.map_or(WhenInDoubt::Refuse, |spec| spec.when_in_doubt);
        Self {
            service,
            version: account.map_or(Version(0), |key| view.account(key).version),
            datagram_nonce: gate::datagram_nonce(when_in_doubt),
        }
    }
}
