//! Notifies agents that a newer settings version of their account is in force, and answers their
//! questions about outdated memberships.

use std::net::UdpSocket;

use decision::keys::{AccountId, UpstreamId, Version};
use decision::message::OutdatedReport;
use decision::view::View;
use wire::notice::{self, Notice};
use wire::sealed::{AccountKeyring, Header, KeyId, SenderId, control_datagram};

use crate::notices::AgentNotice;

/// Sends settings notices to agents.
pub(crate) struct AgentNotifier {
    pub(crate) socket: UdpSocket,
    pub(crate) master_keys: Vec<(KeyId, [u8; 32])>,
    pub(crate) sender: SenderId,
}

impl AgentNotifier {
    /// Notifies those agents of the account for which `is_notifier` holds. If a notice is lost, the
    /// agent learns of the version from its other notifier, from a packet or from its next
    /// comparison with a peer.
    pub(crate) fn notify(
        &self,
        view: &View,
        account: AccountId,
        version: Version,
        is_notifier: impl Fn(UpstreamId) -> bool,
    ) {
        let Some(keyring) = AccountKeyring::derive(&self.master_keys, account) else { return };
        let Some(key) = view.find_account(account) else { return };
        let body = notice::encode(Notice::Settings { version: version.0 });
        for service in view.services().iter().filter(|service| service.account == key) {
            let header = Header::control(account, service.id, version, self.sender);
            let sealed = control_datagram(&keyring, &header, notice::CONTROL_TYPE, &body);
            let Ok(datagram) = sealed else { return };
            for upstream in service.upstream_keys().map(|key| view.upstream(key)) {
                if is_notifier(upstream.id) {
                    let _ = self.socket.send_to(&datagram, upstream.spec.agent_address);
                }
            }
        }
    }

    /// Sends the outdated memberships of a service to the agent that has asked for them.
    pub(crate) fn answer(&self, view: &View, question: AgentNotice, reports: &[OutdatedReport]) {
        let AgentNotice { account, service, sender, .. } = question;
        let Some(keyring) = AccountKeyring::derive(&self.master_keys, account) else { return };
        let Some(key) = view.find_service(service) else { return };
        let Some(upstream) = view.find_upstream(key, sender) else { return };
        let address = view.upstream(upstream).spec.agent_address;
        let version = view.account(view.service(key).account).version;
        let header = Header::control(account, service, version, self.sender);
        for report in reports {
            let body = notice::encode(Notice::from(*report));
            let sealed = control_datagram(&keyring, &header, notice::CONTROL_TYPE, &body);
            let Ok(datagram) = sealed else { return };
            // If it is lost, the agent asks again.
            let _ = self.socket.send_to(&datagram, address);
        }
    }
}
