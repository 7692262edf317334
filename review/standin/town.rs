//! A small deployment: three control machines, two balancers, and agents with a server each.

use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, Role, Site};
use crate::operator::{Operator, call, config};
use crate::record::Record;
use crate::server::{Server, ServerAddress};

pub const SERVICE: &str = "keurmerk";
const CONTROLS: [u8; 3] = [1, 2, 3];
const BALANCERS: [u8; 2] = [11, 12];
pub const FIRST_AGENT: u8 = 21;
const START: Duration = Duration::from_secs(10);

pub struct Town {
    pub servers: Vec<Server>,
    pub agents: Vec<Machine>,
    pub balancers: Vec<Machine>,
    pub controls: Vec<Machine>,
    pub app: u16,
    record: Record,
    pub site: Site,
}

impl Town {
    /// Starts everything, puts version 1 in force and waits until both balancers are ready and the servers have reported.
    pub fn start(record: &Record, servers: u8, idle_timeout_ms: u64) -> Result<Self, String> {
        let site = Site::new()?;
        let app = site.outbound + 1;
        let start = |host, role| Machine::start(&site, record, host, role, &CONTROLS);
        let controls = CONTROLS
            .iter()
            .map(|h| start(*h, Role::Control { bootstrap: true }))
            .collect::<Result<Vec<_>, _>>()?;
        let balancers = BALANCERS
            .iter()
            .map(|h| start(*h, Role::Balancer))
            .collect::<Result<Vec<_>, _>>()?;
        let role = || Role::Agent {
            service: SERVICE.to_owned(),
            app_port: app,
        };
        let agents = (0..servers)
            .map(|n| start(FIRST_AGENT + n, role()))
            .collect::<Result<Vec<_>, _>>()?;
        let mut town = Self {
            servers: Vec::new(),
            agents,
            balancers,
            controls,
            app,
            record: record.clone(),
            site,
        };
        sleep(Duration::from_millis(500));
        for n in 0..servers {
            town.servers.push(town.start_server(n, &format!("i-{n}"))?);
        }
        town.put_config(1, SERVICE, idle_timeout_ms)?;
        let until = Instant::now() + START;
        while !BALANCERS.iter().all(|h| town.is_ready(*h)) {
            if Instant::now() >= until {
                return Err("the balancers are not ready".to_owned());
            }
            sleep(Duration::from_millis(100));
        }
        sleep(Duration::from_secs(3));
        Ok(town)
    }

    pub fn server_address(&self, n: u8) -> ServerAddress {
        ServerAddress {
            ip: self.site.ip(FIRST_AGENT + n),
            app: self.app,
            outbound: self.site.outbound,
            control: self.site.control,
        }
    }

    pub fn start_server(&self, n: u8, id: &str) -> Result<Server, String> {
        Server::start(self.server_address(n), id, SERVICE, &self.record)
    }

    fn is_ready(&self, host: u8) -> bool {
        let to = (self.site.ip(host), self.site.ready).into();
        call(to, "GET", "/ready", "").is_some_and(|r| r.status == 200)
    }

    pub fn operator(&self) -> Operator<'_> {
        let machines = self.controls.iter().map(|m| m.ip).collect();
        Operator {
            site: &self.site,
            record: &self.record,
            machines,
        }
    }

    pub fn put_config(
        &self,
        version: u64,
        service: &str,
        idle_timeout_ms: u64,
    ) -> Result<(), String> {
        let body = config(version, self.route(), service, idle_timeout_ms);
        let acked = self.operator().until_ok(START, "PUT", "/config", &body);
        acked
            .map(drop)
            .ok_or_else(|| format!("version {version} is not acknowledged"))
    }

    pub fn balancer(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.balancers[n].ip, self.site.datagram)
    }

    /// The address of the route; nothing listens there.
    pub fn route(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.site.ip(200), 443)
    }
}
