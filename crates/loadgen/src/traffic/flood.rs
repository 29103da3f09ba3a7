//! Sends frames as fast as possible or at a fixed rate.

use std::io::IoSlice;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::os::fd::AsRawFd as _;
use std::time::{Duration, Instant};

use nix::errno::Errno;
use nix::sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg};
use shell::udp::BATCH;

use super::{Frames, check_loopback};

/// Longest time for which a run sends.
const MAX_SEND_DURATION: Duration = Duration::from_secs(20);

/// Parameters of a flood: receiver, rate and limits.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Address of the receiver; must be on loopback.
    pub to: SocketAddr,
    /// Time after which the flood ends; capped at 20 s.
    pub duration: Duration,
    /// Rate in packets/s; `None` sends as fast as possible.
    pub rate: Option<u64>,
    /// Number of packets after which the flood ends.
    pub packets: u64,
}

/// Sends `frames` in turn, repeatedly. Returns the number of packets that the kernel accepted.
///
/// Errors: the receiver is not on loopback, or the socket cannot be created or fails.
///
/// ```
/// use std::time::Duration;
/// use loadgen::traffic::{Flood, Opening, balancer_frames, bind_sink, flood};
/// let sink = bind_sink("127.0.0.1:0".parse().unwrap()).unwrap();
/// let frames = balancer_frames(&["203.0.113.1:443".parse().unwrap()], 10, Opening::No).unwrap();
/// let to = sink.local_addr().unwrap();
/// let run = Flood { to, duration: Duration::from_secs(5), rate: None, packets: 100 };
/// assert_eq!(flood(&frames, run).unwrap(), 100);
/// ```
pub fn flood(frames: &Frames, run: Flood) -> anyhow::Result<u64> {
    check_loopback(run.to)?;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.connect(run.to)?;
    let mut headers = MultiHeaders::<SockaddrStorage>::preallocate(BATCH, None);
    let start = Instant::now();
    let mut sent = 0;
    while sent < run.packets && start.elapsed() < run.duration.min(MAX_SEND_DURATION) {
        let due = run.rate.map_or(u64::MAX, |rate| packets_due(rate, start.elapsed()));
        let count = due.min(run.packets).saturating_sub(sent).min(BATCH as u64) as usize;
        if count == 0 {
            std::thread::sleep(Duration::from_micros(50));
            continue;
        }
        sent += send_batch(&socket, &mut headers, frames, sent as usize, count)?;
    }
    Ok(sent)
}

/// Determines the timestamp of each packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StampSchedule {
    /// Start of the run.
    pub(crate) start: Instant,
    /// Rate in packets/s.
    pub(crate) rate: u64,
    /// Packets due before this time are not counted.
    pub(crate) count_from: Duration,
}

/// Sends packets at a fixed rate, each stamped with the time at which it was due. Returns the
/// number of packets that were due at `count_from` or later.
pub(crate) fn stamped_flood(
    frames: &mut Frames,
    to: SocketAddr,
    duration: Duration,
    schedule: StampSchedule,
) -> anyhow::Result<u64> {
    check_loopback(to)?;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.connect(to)?;
    let mut headers = MultiHeaders::<SockaddrStorage>::preallocate(BATCH, None);
    let (mut sent, mut counted) = (0, 0);
    while schedule.start.elapsed() < duration.min(MAX_SEND_DURATION) {
        let unsent = packets_due(schedule.rate, schedule.start.elapsed()).saturating_sub(sent);
        let count = unsent.min(BATCH as u64) as usize;
        if count == 0 {
            std::thread::sleep(Duration::from_micros(20));
            continue;
        }
        for number in sent..sent + count as u64 {
            let due_ns = (u128::from(number) * 1_000_000_000 / u128::from(schedule.rate)) as u64;
            frames.stamp(number as usize, due_ns);
            counted += u64::from(u128::from(due_ns) >= schedule.count_from.as_nanos());
        }
        // Packets that the kernel does not accept count as lost, as they would for any client.
        send_batch(&socket, &mut headers, frames, sent as usize, count)?;
        sent += count as u64;
    }
    Ok(counted)
}

fn packets_due(rate: u64, elapsed: Duration) -> u64 {
    (elapsed.as_secs_f64() * rate as f64) as u64
}

fn send_batch(
    socket: &UdpSocket,
    headers: &mut MultiHeaders<SockaddrStorage>,
    frames: &Frames,
    first: usize,
    count: usize,
) -> anyhow::Result<u64> {
    let slices: [[IoSlice<'_>; 1]; BATCH] =
        std::array::from_fn(|offset| [IoSlice::new(frames.get(first + offset))]);
    let no_addresses: [Option<SockaddrStorage>; BATCH] = [None; BATCH];
    let no_control: [ControlMessage<'_>; 0] = [];
    let (fd, flags) = (socket.as_raw_fd(), MsgFlags::empty());
    match sendmmsg(fd, headers, slices[..count].iter(), &no_addresses[..count], no_control, flags) {
        Ok(results) => Ok(results.count() as u64),
        // The receiver is still starting or its buffer is full: the socket itself is usable.
        Err(Errno::ECONNREFUSED | Errno::EINTR | Errno::ENOBUFS | Errno::EAGAIN) => Ok(0),
        Err(errno) => Err(errno.into()),
    }
}
