//! The reasons for which a balancer or an agent drops a packet.

use derive_more::Display;

/// Why a packet was dropped. The display text is the label of the metric that counts it.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropCause {
    /// The packet is too short.
    #[display("short")]
    Short,
    /// The tag of the connection id is not valid for this service or cluster.
    #[display("wrong-tag")]
    WrongTag,
    /// The packet is for another service than the one that is served here.
    #[display("wrong-service")]
    WrongService,
    /// The connection id contains a backend server of which there is no record.
    #[display("unknown-server")]
    UnknownServer,
    /// The flow is not known to any agent, and the packet can't open it.
    #[display("unknown-flow")]
    UnknownFlow,
    /// No backend server of the service may be given new flows.
    #[display("no-server")]
    NoServer,
    /// The availability zone was taken out of service.
    #[display("zone-out")]
    ZoneOut,
    /// The packet was forwarded between agents too often.
    #[display("hop-limit")]
    HopLimit,
    /// The tunnel header is invalid or has another version.
    #[display("malformed")]
    Malformed,
    /// The direction in the tunnel header is not the one that this end of the tunnel receives.
    #[display("wrong-direction")]
    WrongDirection,
    /// The service address in the tunnel header is not served here.
    #[display("unknown-address")]
    UnknownAddress,
    /// The packet is larger than the tunnel can carry.
    #[display("too-large")]
    TooLarge,
    /// No live balancer is known that could send the packet to its caller.
    #[display("no-balancer")]
    NoBalancer,
    /// This node is isolated from the cluster.
    #[display("isolated")]
    Isolated,
    /// The operating system refused to send the packet.
    #[display("send-failed")]
    SendFailed,
}

impl DropCause {
    /// All causes, in the order of [`DropCause::index`].
    pub const ALL: [Self; 15] = [
        Self::Short,
        Self::WrongTag,
        Self::WrongService,
        Self::UnknownServer,
        Self::UnknownFlow,
        Self::NoServer,
        Self::ZoneOut,
        Self::HopLimit,
        Self::Malformed,
        Self::WrongDirection,
        Self::UnknownAddress,
        Self::TooLarge,
        Self::NoBalancer,
        Self::Isolated,
        Self::SendFailed,
    ];

    /// Position in [`DropCause::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl From<crate::flow::BadPacket> for DropCause {
    fn from(bad: crate::flow::BadPacket) -> Self {
        match bad {
            crate::flow::BadPacket::Short => Self::Short,
            crate::flow::BadPacket::WrongTag => Self::WrongTag,
        }
    }
}
