//! Forwarded flows: placement, admission, keepers, and simulated fleets under faults.

mod contention;
mod even_load;
mod explain;
mod faults;
mod gate;
mod keepers;
mod load;
mod mesh;
mod node_list;
mod outlier;
mod placing;
mod replay;
mod servers;
mod waiting;
mod work_time;
mod world;
