//! Benchmarks of sealing and opening the private data of one packet, and of deriving a keyring.

use decision::agent::Forwarding;
use decision::keys::{AccountId, FlowId, ServiceId, Version};
use divan::{Bencher, black_box};
use wire::sealed::{AccountKeyring, Header, KeyId, Payload, SEALED_BYTES, SenderId};

const PACKET: [u8; 240] = [7; 240];
/// A packet with IPv4 and TCP headers without options.
const PAYLOAD: Payload<'static> = Payload::Packet { bytes: &PACKET, header_bytes: 40 };

fn main() {
    divan::main();
}

fn ring() -> AccountKeyring {
    AccountKeyring::derive(&[(KeyId(1), [7; 32])], AccountId(1)).unwrap()
}

fn header() -> Header {
    Header {
        hops: 0,
        forwarding: Forwarding::Direct,
        account: AccountId(1),
        service: ServiceId(2),
        flow: FlowId(3),
        version: Version(4),
        sender: SenderId(5),
    }
}

#[divan::bench]
fn seal(bencher: Bencher<'_, '_>) {
    let (ring, header, mut private) = (ring(), header(), [0; SEALED_BYTES]);
    bencher.bench_local(|| ring.seal(black_box(&header), black_box(PAYLOAD), &mut private));
}

#[divan::bench]
fn open(bencher: Bencher<'_, '_>) {
    let (ring, header, mut private) = (ring(), header(), [0; SEALED_BYTES]);
    ring.seal(&header, PAYLOAD, &mut private).unwrap();
    bencher.bench_local(|| ring.open(black_box(&private), black_box(PAYLOAD)));
}

#[divan::bench]
fn derive(bencher: Bencher<'_, '_>) {
    bencher.bench_local(|| AccountKeyring::derive(black_box(&[(KeyId(1), [7; 32])]), AccountId(1)));
}
