//! Flows that end at the backend server itself: the system forwards their packets unchanged.
//!
//! Callers that don't use QUIC send packets without a connection id that the system could have issued, so a
//! packet does not contain the location of its flow. Two tasks are therefore separate: *placement* chooses
//! the backend server of a new flow and follows load; *location* finds the agent that holds an existing flow,
//! whichever node receives its packets.
//!
//! A [`balancer`] places opening packets ([`placement`]) and caches the agent of each flow. It sends a packet
//! of a flow that is not in its cache to one of the flow's two [`keepers`]: agents chosen by rendezvous
//! hashing over the flow alone, which store the locations of flows. The [`agent`] on the host of the backend
//! server decides finally on each opening packet ([`gate`]), because it has the current state of its server,
//! including the share of requests that the server fails ([`outlier`]). It reports each flow that its server
//! accepts to the flow's keepers. If no keeper knows a flow, a search that queries all agents ([`inquiry`])
//! finds its holder or proves that there is none. [`mesh`] holds a node's view of the other nodes, which it learns
//! from their [`report`]s and from the lists of control hosts ([`node_list`]); [`work_time`] the service time of a
//! server, [`flow_demand`] the requests that its open flows bring, and [`capacity_shares`] what requests of each
//! priority take of it. Openings wait at an agent as long as their response can come in time ([`waiting`]), and agents
//! with an idle server take those of others ([`slot_offers`]). [`explain`] tells where a new flow would go now.
//! [`service_map`] holds the configuration in force, and [`packet`] the packet header that the decisions use.

pub mod agent;
pub mod balancer;
pub mod capacity_shares;
mod confirmation;
pub mod decision;
pub mod explain;
pub mod flow_demand;
pub mod gate;
pub mod inquiry;
pub mod keepers;
pub mod mesh;
pub mod node;
pub mod node_list;
pub mod outlier;
pub mod packet;
pub mod placement;
mod probation;
pub mod report;
pub mod server;
pub mod service_map;
pub mod slot_offers;
pub mod waiting;
pub mod work_time;
