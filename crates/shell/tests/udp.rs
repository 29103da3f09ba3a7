//! Contract of the batched sockets, tested over loopback.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use rstest::rstest;
use shell::udp::{
    self, BATCH, DATAGRAM_BYTES_MAX, PayloadRef, Prefix, Receiver, Sender, SourceReceiver,
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn socket() -> (UdpSocket, SocketAddr) {
    let socket = udp::bind("127.0.0.1:0".parse().unwrap(), false, TIMEOUT).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// Receives until `count` datagrams have arrived, possibly in several batches.
fn receive(receiver: &mut Receiver, socket: &UdpSocket, count: usize) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    while all.len() < count {
        assert_ne!(receiver.receive(socket).unwrap(), 0, "timed out");
        all.extend(receiver.datagrams().map(<[u8]>::to_vec));
    }
    all
}

#[rstest]
#[case::one(1)]
#[case::full_batch(BATCH)]
#[case::more_than_a_batch(BATCH + 3)]
fn receive_in_order(#[case] count: usize) {
    let (socket, address) = socket();
    let caller = UdpSocket::bind("127.0.0.1:0").unwrap();
    let sent: Vec<Vec<u8>> = (0..count).map(|index| vec![index as u8; index + 1]).collect();
    for datagram in &sent {
        caller.send_to(datagram, address).unwrap();
    }
    assert_eq!(receive(&mut Receiver::default(), &socket, count), sent);
}

#[rstest]
#[case::largest(DATAGRAM_BYTES_MAX, DATAGRAM_BYTES_MAX)]
#[case::too_long(DATAGRAM_BYTES_MAX + 1, 0)]
fn receive_large(#[case] sent: usize, #[case] expected: usize) {
    let (socket, address) = socket();
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&vec![1; sent], address).unwrap();
    assert_eq!(receive(&mut Receiver::default(), &socket, 1)[0].len(), expected);
}

/// Each datagram of a batch goes to its own destination, with new headers before the received
/// payload.
#[test]
fn flush_to_several_destinations() {
    let (relay, relay_address) = socket();
    let (one, two) = (socket(), socket());
    let caller = UdpSocket::bind("127.0.0.1:0").unwrap();
    caller.send_to(b"HEADfirst", relay_address).unwrap();
    caller.send_to(b"HEADsecond", relay_address).unwrap();
    let (mut receiver, mut sender) = (SourceReceiver::default(), Sender::default());
    let mut relayed = 0;
    while relayed < 2 {
        let count = receiver.receive(&relay).unwrap();
        for slot in 0..count {
            assert_eq!(receiver.source(slot), caller.local_addr().ok());
            let to = if relayed + slot == 0 { one.1 } else { two.1 };
            *sender.next_prefix() = Prefix::new(*b"head", b"priv");
            sender.queue_next(PayloadRef { slot, start: 4 }, to);
        }
        assert_eq!(sender.flush(&relay, &receiver), 0);
        relayed += count;
    }
    assert_eq!(receive(&mut Receiver::default(), &one.0, 1), [b"headprivfirst"]);
    assert_eq!(receive(&mut Receiver::default(), &two.0, 1), [b"headprivsecond"]);
}

/// The kernel refuses the address of one agent. The later packets of the batch must still be sent.
/// Otherwise, the settings of one account could stop the traffic of all accounts.
#[test]
fn flush_skips_unreachable_destination() {
    let (relay, relay_address) = socket();
    let good = socket();
    let caller = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut receiver: Receiver = Receiver::default();
    caller.send_to(b"payload", relay_address).unwrap();
    receiver.receive(&relay).unwrap();
    let mut sender = Sender::default();
    let payload = PayloadRef { slot: 0, start: 0 };
    let prefix = Prefix::new(*b"head", &[]);
    for to in [good.1, "[2001:db8::1]:9".parse().unwrap(), good.1] {
        *sender.next_prefix() = prefix;
        sender.queue_next(payload, to);
    }
    assert_eq!(sender.flush(&relay, &receiver), 1);
    assert_eq!(receive(&mut Receiver::default(), &good.0, 2).len(), 2);
}

#[test]
fn bind_taken_port() {
    let (_socket, address) = socket();
    assert!(udp::bind(address, false, TIMEOUT).is_err());
    assert!(udp::bind(address, true, TIMEOUT).is_err());
}
