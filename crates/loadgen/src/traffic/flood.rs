//! Sending frames as fast as the machine can, or at a set rate.

use std::io::IoSlice;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::os::fd::AsRawFd as _;
use std::time::{Duration, Instant};

use nix::errno::Errno;
use nix::sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg};
use shell::udp::BATCH;

use super::{Frames, check_loopback};

/// No run sends for longer.
const LONGEST: Duration = Duration::from_secs(20);

/// How much is sent.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Receiver, on loopback.
    pub to: SocketAddr,
    /// Time after which it ends; cut to 20 s.
    pub duration: Duration,
    /// Packets a second; none for as many as possible.
    pub rate: Option<u64>,
    /// Packets after which it ends.
    pub packets: u64,
}

/// Sends `frames` in turn. Returns how many the kernel took.
///
/// Errors: a receiver that is not on loopback, or a socket that cannot be made.
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
    while sent < run.packets && start.elapsed() < run.duration.min(LONGEST) {
        let due = run.rate.map_or(u64::MAX, |rate| due(rate, start.elapsed()));
        let count = due.min(run.packets).saturating_sub(sent).min(BATCH as u64) as usize;
        if count == 0 {
            std::thread::sleep(Duration::from_micros(50));
            continue;
        }
        sent += send(&socket, &mut headers, frames, sent as usize, count)?;
    }
    Ok(sent)
}

fn due(rate: u64, elapsed: Duration) -> u64 {
    (elapsed.as_secs_f64() * rate as f64) as u64
}

fn send(
    socket: &UdpSocket,
    headers: &mut MultiHeaders<SockaddrStorage>,
    frames: &Frames,
    first: usize,
    count: usize,
) -> anyhow::Result<u64> {
    let slices: [[IoSlice<'_>; 1]; BATCH] =
        std::array::from_fn(|offset| [IoSlice::new(frames.get(first + offset))]);
    let nobody: [Option<SockaddrStorage>; BATCH] = [None; BATCH];
    let no_control: [ControlMessage<'_>; 0] = [];
    let (fd, flags) = (socket.as_raw_fd(), MsgFlags::empty());
    match sendmmsg(fd, headers, slices[..count].iter(), &nobody[..count], no_control, flags) {
        Ok(results) => Ok(results.count() as u64),
        // A receiver that is just starting or full is no fault of the sender's socket.
        Err(Errno::ECONNREFUSED | Errno::EINTR | Errno::ENOBUFS | Errno::EAGAIN) => Ok(0),
        Err(errno) => Err(errno.into()),
    }
}
