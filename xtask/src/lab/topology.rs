//! Client accounts and services of a run, their sizes, and the loopback address of each process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use anyhow::Context as _;

/// One client account.
pub(super) struct AccountPlan {
    pub(super) name: &'static str,
    pub(super) region: &'static str,
    pub(super) prefix: &'static str,
    pub(super) zones: &'static [&'static str],
    /// One-way delay between two zones.
    pub(super) zone_delay_us: u64,
    /// Third octet of its clients' addresses, 198.18.x.y.
    pub(super) client_octet: u8,
    pub(super) services: &'static [ServicePlan],
}

/// One service of an account.
pub(super) struct ServicePlan {
    pub(super) name: &'static str,
    pub(super) address: &'static str,
    /// Address for requests that consist of one datagram.
    pub(super) datagram_address: Option<&'static str>,
    pub(super) when_in_doubt: &'static str,
    pub(super) upstreams: u32,
    /// Load from the callers at the quick size.
    pub(super) workload: WorkloadPlan,
}

/// Load that callers put on a service.
pub(super) struct WorkloadPlan {
    pub(super) feeds: u32,
    pub(super) confirms_per_s: u32,
    pub(super) fetches_per_s: u32,
    pub(super) fetch_bytes: u32,
    pub(super) datagrams_per_s: u32,
}

pub(super) const BALANCERS_PER_ACCOUNT: u32 = 3;
pub(super) const CLIENTS_PER_ACCOUNT: u8 = 8;
/// One-way delay between clients and the fabric's edge.
pub(super) const CLIENT_DELAY_US: u64 = 1_000;
/// Maximum number of open connections of an upstream.
pub(super) const MAX_FLOWS: u32 = 2_000;

/// The two client accounts of a run.
pub(super) const ACCOUNTS: [AccountPlan; 2] = [
    AccountPlan {
        name: "cascadia",
        region: "pnw",
        prefix: "203.0.113.0/28",
        zones: &["pnw-a", "pnw-b", "pnw-c", "pnw-d"],
        zone_delay_us: 1_000,
        client_octet: 1,
        services: &[
            ServicePlan {
                name: "shelf",
                address: "203.0.113.1:8443",
                datagram_address: Some("203.0.113.1:9443"),
                when_in_doubt: "refuse",
                upstreams: 7,
                workload: WorkloadPlan {
                    feeds: 84,
                    confirms_per_s: 30,
                    fetches_per_s: 0,
                    fetch_bytes: 0,
                    datagrams_per_s: 30,
                },
            },
            ServicePlan {
                name: "manifest",
                address: "203.0.113.2:8444",
                datagram_address: None,
                when_in_doubt: "admit",
                upstreams: 4,
                workload: WorkloadPlan {
                    feeds: 8,
                    confirms_per_s: 0,
                    fetches_per_s: 20,
                    fetch_bytes: 40_000,
                    datagrams_per_s: 0,
                },
            },
        ],
    },
    AccountPlan {
        name: "bajio",
        region: "bajio",
        prefix: "203.0.113.16/28",
        zones: &["leon-a", "leon-b", "silao-a"],
        zone_delay_us: 1_500,
        client_octet: 2,
        services: &[
            ServicePlan {
                name: "fitting",
                address: "203.0.113.17:8443",
                datagram_address: Some("203.0.113.17:9443"),
                when_in_doubt: "refuse",
                upstreams: 7,
                workload: WorkloadPlan {
                    feeds: 84,
                    confirms_per_s: 30,
                    fetches_per_s: 0,
                    fetch_bytes: 0,
                    datagrams_per_s: 30,
                },
            },
            ServicePlan {
                name: "catalogue",
                address: "203.0.113.18:443",
                datagram_address: None,
                when_in_doubt: "admit",
                upstreams: 3,
                workload: WorkloadPlan {
                    feeds: 6,
                    confirms_per_s: 0,
                    fetches_per_s: 20,
                    fetch_bytes: 60_000,
                    datagrams_per_s: 0,
                },
            },
        ],
    },
];

const DATA_PORT: u16 = 6080;
const GATEWAY_PORT: u16 = 6081;
const CONTROL_PORT: u16 = 9080;
const STATUS_PORT: u16 = 9000;
const PLATFORM_PORT: u16 = 8000;

/// The part of 127.0.0.0/8 that one run uses: 127.OCTET.x.y.
#[derive(Clone, Copy)]
pub(super) struct Net {
    octet: u8,
}

/// Addresses on which one process receives packets and HTTP requests.
#[derive(Clone, Copy)]
pub(super) struct Endpoints {
    pub(super) data: SocketAddr,
    pub(super) control: SocketAddr,
}

impl Net {
    /// Uses 127.OCTET.x.y without checking whether another run does.
    pub(super) fn new(octet: u8) -> Self {
        Self { octet }
    }

    /// Finds an octet that no other run uses. The search begins at one derived from `start`.
    pub(super) fn find_unused(start: u32) -> anyhow::Result<Self> {
        (0..200)
            .map(|step| Self::new(((start + step) % 200) as u8 + 20))
            .find(|net| UdpSocket::bind(net.gateway()).is_ok())
            .context("no free range in 127.0.0.0/8: other runs use all of them")
    }

    pub(super) fn platform(self) -> SocketAddr {
        self.socket_address(1, 1, PLATFORM_PORT)
    }

    pub(super) fn ingress(self) -> SocketAddr {
        self.socket_address(2, 1, DATA_PORT)
    }

    pub(super) fn gateway(self) -> SocketAddr {
        self.socket_address(2, 1, GATEWAY_PORT)
    }

    pub(super) fn fabric_control(self) -> SocketAddr {
        self.socket_address(2, 1, CONTROL_PORT)
    }

    pub(super) fn balancer(self, account: usize, number: u32) -> Endpoints {
        self.endpoints(10 + account as u8, number as u8, CONTROL_PORT)
    }

    pub(super) fn agent(self, account: usize, service: usize, number: u32) -> Endpoints {
        self.endpoints(20 + (account * 10 + service) as u8, number as u8, CONTROL_PORT)
    }

    pub(super) fn upstream(self, account: usize, service: usize, number: u32) -> Endpoints {
        self.endpoints(50 + (account * 10 + service) as u8, number as u8, STATUS_PORT)
    }

    pub(super) fn caller(self, account: usize) -> Endpoints {
        self.endpoints(90, account as u8 + 1, CONTROL_PORT)
    }

    fn endpoints(self, kind: u8, number: u8, control_port: u16) -> Endpoints {
        let data = self.socket_address(kind, number, DATA_PORT);
        Endpoints { data, control: self.socket_address(kind, number, control_port) }
    }

    fn socket_address(self, kind: u8, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.octet, kind, number)), port)
    }
}

/// Inner addresses of an account's clients.
pub(super) fn clients(account: &AccountPlan) -> Vec<IpAddr> {
    let address = |number| IpAddr::V4(Ipv4Addr::new(198, 18, account.client_octet, number));
    (1..=CLIENTS_PER_ACCOUNT).map(address).collect()
}

/// Destination addresses of an account's callers.
pub(super) fn service_addresses(account: &AccountPlan) -> Vec<IpAddr> {
    // `driver::workloads` returns an error for an address that does not parse.
    let address = |service: &ServicePlan| service.address.parse::<SocketAddr>().ok();
    account.services.iter().filter_map(address).map(|address| address.ip()).collect()
}
