//! Flows, and the parts of a packet that affect decisions.

use std::net::SocketAddrV4;

/// Monotonic time in milliseconds, counted from some moment before the process started.
pub type Millis = u64;

/// A flow, identified by the caller's and the service's address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller addressed.
    pub endpoint: SocketAddrV4,
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentKind {
    /// The packet that opens the flow.
    Opening {
        /// Number of this copy; the first opening is copy zero.
        copy: u32,
    },
    /// Any later packet.
    Later,
    /// The caller abandons the flow.
    Reset,
}

/// A caller's packet, reduced to the parts that affect decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow it belongs to.
    pub flow: FlowKey,
    /// What it does to the flow.
    pub kind: SegmentKind,
    /// First sequence number of its data.
    pub sequence: u32,
    /// The sequence number that the caller expects next from the upstream; has no meaning on an
    /// opening.
    pub acknowledged: u32,
    /// Number of data bytes.
    pub data_bytes: u16,
    /// Whether the caller ends its side of the flow with this packet.
    pub last: bool,
}

impl Segment {
    /// Sequence number after the packet's data.
    pub fn next_sequence(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.data_bytes))
    }

    /// Whether the upstream that holds the flow replies to the packet, and the caller repeats it
    /// until then. This applies to all packets except bare acknowledgements.
    ///
    /// ```
    /// use steering::flow::{FlowKey, Segment, SegmentKind};
    /// let flow = FlowKey {
    ///     caller: "100.64.0.1:4000".parse().unwrap(),
    ///     endpoint: "198.18.0.1:80".parse().unwrap(),
    /// };
    /// let kind = SegmentKind::Later;
    /// let bare = Segment { flow, kind, sequence: 7, acknowledged: 9, data_bytes: 0, last: false };
    /// assert!(!bare.wants_answer());
    /// assert!(Segment { last: true, ..bare }.wants_answer());
    /// ```
    pub fn wants_answer(&self) -> bool {
        self.data_bytes > 0 || self.last
    }
}
