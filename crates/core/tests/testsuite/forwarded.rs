//! Forwarded flows: placement, admission, keepers, and simulated fleets under faults.

mod capacity_shares;
mod contention;
mod even_load;
mod explain;
mod faults;
mod flow_demand;
mod gate;
mod keepers;
mod load;
mod mesh;
mod node_list;
mod outlier;
mod placing;
mod refusals;
mod replay;
mod servers;
mod slot_offers;
mod waiting;
mod work_time;
mod world;
