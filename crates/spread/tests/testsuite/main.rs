//! Tests of the dissemination of state, one module for each feature.

mod children;
mod cluster;
mod config_delta;
mod detection;
mod faults;
mod inquiry;
mod topology;
