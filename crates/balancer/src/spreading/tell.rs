//! Telling agents that a newer version of their account is in force.

use std::net::UdpSocket;

use decision::agent::Passed;
use decision::keys::{AccountId, FlowId, UpstreamId, Version};
use decision::view::View;
use wire::gue::{self, Content};
use wire::notice::{self, Notice};
use wire::sealed::{AccountKeyring, Header, KeyId, Payload, SEALED_BYTES, SenderId};

/// Sends notices to agents.
pub(crate) struct Teller {
    pub(crate) socket: UdpSocket,
    pub(crate) masters: Vec<(KeyId, [u8; 32])>,
    pub(crate) sender: SenderId,
}

impl Teller {
    /// Tells the account's agents that `is_notifier` gives to this balancer. A notice that is lost is
    /// made up for by the other notifier, by a packet, or by the agent's next comparison.
    pub(crate) fn tell(
        &self,
        view: &View,
        account: AccountId,
        version: Version,
        is_notifier: impl Fn(UpstreamId) -> bool,
    ) {
        let Some(ring) = AccountKeyring::derive(&self.masters, account) else { return };
        let Some(key) = view.find_account(account) else { return };
        let body = notice::encode(Notice::Settings { version: version.0 });
        for service in view.services().iter().filter(|service| service.account == key) {
            let header = Header {
                hops: 0,
                passed: Passed::Fresh,
                account,
                service: service.id,
                flow: FlowId(0),
                version,
                sender: self.sender,
            };
            let mut private = [0; SEALED_BYTES];
            if ring.seal(&header, Payload::Control(&body), &mut private).is_err() {
                return;
            }
            let mut datagram = Vec::new();
            gue::encode(Content::Control(notice::CONTROL_TYPE), &private, &body, &mut datagram);
            for upstream in service.upstream_keys().map(|key| view.upstream(key)) {
                if is_notifier(upstream.id) {
                    let _ = self.socket.send_to(&datagram, upstream.spec.agent_address);
                }
            }
        }
    }
}
