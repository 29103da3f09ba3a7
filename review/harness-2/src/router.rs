//! The platform's routers for one zone: they ask each balancer twice a second whether it is ready.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

struct Node {
    packets: SocketAddrV4,
    ready: SocketAddrV4,
    misses: u32,
}

struct State {
    nodes: Vec<Node>,
    asked_at: Instant,
}

#[derive(Clone)]
pub struct Router {
    state: Arc<Mutex<State>>,
}

impl Router {
    pub fn start(nodes: &[(SocketAddrV4, SocketAddrV4)]) -> Self {
        let node = |&(packets, ready): &(_, _)| Node { packets, ready, misses: MISSES };
        let nodes = nodes.iter().map(node).collect();
        let router =
            Self { state: Arc::new(Mutex::new(State { nodes, asked_at: Instant::now() })) };
        let asking = router.clone();
        thread::spawn(move || {
            loop {
                let began = Instant::now();
                asking.ask();
                asking.lock().asked_at = began;
                thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
            }
        });
        router
    }

    /// Adds a balancer, which is out of rotation until it has answered.
    pub fn add(&self, packets: SocketAddrV4, ready: SocketAddrV4) {
        self.lock().nodes.push(Node { packets, ready, misses: MISSES });
    }

    /// When the balancers were asked last.
    pub fn asked_at(&self) -> Instant {
        self.lock().asked_at
    }

    pub fn choose(&self, hash: u64) -> SocketAddrV4 {
        let state = self.lock();
        let ready: Vec<_> = state.nodes.iter().filter(|node| node.misses < MISSES).collect();
        let all: Vec<_> = state.nodes.iter().collect();
        // While fewer than half are in rotation, all are used.
        let used = if 2 * ready.len() < all.len() { all } else { ready };
        used[(hash % used.len() as u64) as usize].packets
    }

    fn ask(&self) {
        let nodes: Vec<SocketAddrV4> = self.lock().nodes.iter().map(|node| node.ready).collect();
        let answers: Vec<bool> = nodes.iter().map(|ready| is_ready(*ready)).collect();
        for (node, is_ready) in self.lock().nodes.iter_mut().zip(answers) {
            node.misses = if is_ready { 0 } else { node.misses + 1 };
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let ask = || -> std::io::Result<bool> {
        let limit = Duration::from_millis(100);
        let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(&answer[9..12] == b"200")
    };
    ask().unwrap_or(false)
}
