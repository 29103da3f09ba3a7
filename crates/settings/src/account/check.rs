//! Checks of a subtree that its schema cannot express.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::keys::Version;
use decision::view::{
    AccountSpec, Endpoint, ServiceSpec, UpstreamSpec, UpstreamState, WhenInDoubt,
};

use crate::codes;
use crate::document::Cursor;
use crate::fault::Fault;
use crate::fields;
use crate::generated::account as raw;
use crate::root::{Ownership, Root};

/// State of the checks of one subtree.
pub(super) struct Checker<'a> {
    root: Option<&'a Root>,
    name: &'a str,
    version: Version,
    /// Endpoints checked so far with their services, sorted.
    endpoints: Vec<(Endpoint, Arc<str>)>,
    /// Addresses of agents and upstreams checked so far, sorted.
    process_addresses: Vec<SocketAddr>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for the subtree that was published for the account called `name`. Without
    /// a root, every address counts as owned.
    pub(super) fn new(root: Option<&'a Root>, name: &'a str) -> Self {
        let version = Version(0);
        Self { root, name, version, endpoints: Vec::new(), process_addresses: Vec::new() }
    }

    /// Checks the whole subtree.
    pub(super) fn check_account(
        mut self,
        raw: &raw::AccountDocument,
        at: &Cursor<'_>,
        faults: &mut Vec<Fault>,
    ) -> AccountSpec {
        let name = fields::name(&raw.account, &at.field("account"), faults);
        self.check_owner(&name, &at.field("account"), faults);
        self.version = Version(raw.version.get());
        let list = at.field("services");
        let mut services: Vec<ServiceSpec> = Vec::with_capacity(raw.services.len());
        for (index, service) in raw.services.iter().enumerate() {
            let at = list.element(index);
            let service = self.check_service(service, &at, faults);
            let is_duplicate = services.iter().any(|earlier| earlier.name == service.name);
            check_unique(is_duplicate, &service.name, &at.field("name"), faults);
            services.push(service);
        }
        AccountSpec { name, version: self.version, services }
    }

    fn check_owner(&self, name: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
        if name != self.name {
            let text = format!("published for `{}` but names `{name}`", self.name);
            faults.push(at.fault(codes::OTHER_ACCOUNT, text));
            return;
        }
        let Some(root) = self.root.filter(|root| root.account(name).is_none()) else { return };
        let text = format!("`{name}` is not in version {} of the root", root.version.0);
        faults.push(at.fault(codes::UNKNOWN_ACCOUNT, text));
    }

    fn check_service(
        &mut self,
        raw: &raw::Service,
        at: &Cursor<'_>,
        faults: &mut Vec<Fault>,
    ) -> ServiceSpec {
        let name = fields::name(&raw.name, &at.field("name"), faults);
        let endpoints = self.check_endpoints(&name, &raw.addresses, &at.field("addresses"), faults);
        let list = at.field("upstreams");
        let mut upstreams: Vec<UpstreamSpec> = Vec::with_capacity(raw.upstreams.len());
        for (index, upstream) in raw.upstreams.iter().enumerate() {
            let at = list.element(index);
            let upstream = self.check_upstream(upstream, &at, faults);
            let is_duplicate = upstreams.iter().any(|earlier| earlier.name == upstream.name);
            check_unique(is_duplicate, &upstream.name, &at.field("name"), faults);
            upstreams.push(upstream);
        }
        ServiceSpec {
            name,
            endpoints,
            when_in_doubt: when_in_doubt(raw.when_in_doubt),
            zone_spill_percent: raw.zone_spill_percent,
            upstreams,
        }
    }

    fn check_endpoints(
        &mut self,
        service: &Arc<str>,
        texts: &[String],
        at: &Cursor<'_>,
        faults: &mut Vec<Fault>,
    ) -> Vec<Endpoint> {
        let mut endpoints = Vec::with_capacity(texts.len());
        for (index, text) in texts.iter().enumerate() {
            let at = at.element(index);
            let Some(endpoint) = fields::endpoint(text, &at, faults) else { continue };
            self.check_ownership(endpoint, &at, faults);
            match self.endpoints.binary_search_by_key(&endpoint, |(known, _)| *known) {
                Ok(index) => {
                    let other_service = &self.endpoints[index].1;
                    let text =
                        format!("`{text}` is already an address of service `{other_service}`");
                    faults.push(at.fault(codes::ENDPOINT_TAKEN, text));
                }
                Err(index) => self.endpoints.insert(index, (endpoint, service.clone())),
            }
            endpoints.push(endpoint);
        }
        endpoints
    }

    fn check_ownership(&self, endpoint: Endpoint, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
        let address = endpoint.address;
        let Some(root) = self.root else { return };
        match root.ownership(self.name, address) {
            Ownership::Owned => {}
            Ownership::Quarantined => {
                let text = format!("{address} is in quarantine");
                faults.push(at.fault(codes::QUARANTINED_ADDRESS, text));
            }
            Ownership::Foreign => {
                let text = format!("{address} does not belong to `{}`", self.name);
                faults.push(at.fault(codes::FOREIGN_ADDRESS, text));
            }
        }
    }

    fn check_upstream(
        &mut self,
        raw: &raw::Upstream,
        at: &Cursor<'_>,
        faults: &mut Vec<Fault>,
    ) -> UpstreamSpec {
        let name = fields::name(&raw.name, &at.field("name"), faults);
        let zone = fields::name(&raw.zone, &at.field("zone"), faults);
        let mut address = |text: &str, field: &str| {
            let at = at.field(field);
            let address = fields::address(text, &at, faults);
            self.check_process_address(address, &at, faults);
            address
        };
        let agent_address = address(&raw.agent_address, "agent_address");
        let control_address = address(&raw.control_address, "control_address");
        let upstream_address = address(&raw.address, "address");
        let spec = UpstreamSpec {
            name,
            zone,
            weight: raw.weight.get(),
            max_flows: raw.max_flows.get(),
            agent_address,
            control_address,
            address: upstream_address,
            state: state(raw.state),
            since: Version(raw.since.get()),
            retired: raw.retired.as_ref().map(|version| Version(version.get())),
        };
        self.check_lifetime(&spec, at, faults);
        spec
    }

    /// Reports an address used twice: two processes with one address would receive each other's
    /// packets.
    fn check_process_address(
        &mut self,
        address: SocketAddr,
        at: &Cursor<'_>,
        faults: &mut Vec<Fault>,
    ) {
        let Err(index) = self.process_addresses.binary_search(&address) else {
            let text = format!("{address} is used twice in this subtree");
            faults.push(at.fault(codes::DUPLICATE_NAME, text));
            return;
        };
        self.process_addresses.insert(index, address);
    }

    fn check_lifetime(&self, spec: &UpstreamSpec, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
        if spec.since > self.version {
            let text = format!(
                "`since` is {}, but the document is version {}",
                spec.since.0, self.version.0
            );
            faults.push(at.field("since").fault(codes::VERSION_IN_FUTURE, text));
        }
        let is_retired = spec.state == UpstreamState::Retired;
        if is_retired != spec.retired.is_some() {
            let text = "`state: retired` and `retired: VERSION` must be given together";
            faults.push(at.field("state").fault(codes::RETIRED_MISMATCH, text));
        }
        let Some(retired) = spec.retired else { return };
        if retired <= spec.since || retired > self.version {
            let text = format!(
                "`retired` is {}, but must be after {} and at most {}",
                retired.0, spec.since.0, self.version.0
            );
            faults.push(at.field("retired").fault(codes::VERSION_IN_FUTURE, text));
        }
    }
}

fn check_unique(is_duplicate: bool, name: &str, at: &Cursor<'_>, faults: &mut Vec<Fault>) {
    if is_duplicate {
        faults.push(at.fault(codes::DUPLICATE_NAME, format!("`{name}` is listed twice")));
    }
}

fn when_in_doubt(raw: raw::WhenInDoubt) -> WhenInDoubt {
    match raw {
        raw::WhenInDoubt::Admit => WhenInDoubt::Admit,
        raw::WhenInDoubt::Refuse => WhenInDoubt::Refuse,
    }
}

fn state(raw: raw::UpstreamState) -> UpstreamState {
    match raw {
        raw::UpstreamState::Active => UpstreamState::Active,
        raw::UpstreamState::Draining => UpstreamState::Draining,
        raw::UpstreamState::Retired => UpstreamState::Retired,
    }
}
