//! The operator: calls the control machines over HTTP as the pages say.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::Site;
use crate::record::Record;

/// Time that a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Redirections that a caller follows.
const MAX_REDIRECTS: u32 = 2;
/// Pause after a failed call; callers back off.
const BACKOFF: Duration = Duration::from_millis(200);

pub struct Response {
    pub status: u16,
    pub body: String,
    location: Option<String>,
}

/// Makes one call, without following redirections.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(CALL_TIMEOUT)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location")
            .then(|| value.trim().to_owned())
    });
    Some(Response {
        status,
        body: body.to_owned(),
        location,
    })
}

pub struct Operator<'a> {
    pub site: &'a Site,
    pub record: &'a Record,
    /// The machines that serve `control`.
    pub machines: Vec<Ipv4Addr>,
}

impl Operator<'_> {
    /// Makes a call and follows up to two redirections. Returns the machine that gave the last response.
    fn follow(
        &self,
        first: Ipv4Addr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(Ipv4Addr, Response)> {
        let mut to = SocketAddr::from((first, self.site.control));
        for _ in 0..=MAX_REDIRECTS {
            let response = call(to, method, path, body);
            let told = response.as_ref().map_or_else(
                || "no response".to_owned(),
                |r| format!("{} {}", r.status, brief(&r.body)),
            );
            self.record.line(&format!(
                "operator: {method} {path} {} to {to}: {told}",
                brief(body)
            ));
            let response = response?;
            let std::net::IpAddr::V4(ip) = to.ip() else {
                return None;
            };
            match response
                .location
                .as_deref()
                .filter(|_| response.status == 307)
            {
                Some(location) => {
                    let authority = location.strip_prefix("http://")?.split('/').next()?;
                    to = authority.parse().ok()?;
                }
                None => return Some((ip, response)),
            }
        }
        None
    }

    /// Repeats a call at one machine after the other until one responds with 200, for `longest` at most.
    pub fn until_ok(
        &self,
        longest: Duration,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(Ipv4Addr, Response)> {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            for machine in &self.machines {
                match self.follow(*machine, method, path, body) {
                    Some((by, response)) if response.status == 200 => return Some((by, response)),
                    _ => sleep(BACKOFF),
                }
                if Instant::now() >= until {
                    break;
                }
            }
        }
        None
    }
}

fn brief(text: &str) -> String {
    let text = text.replace('\n', " ");
    if text.len() > 60 {
        format!("{}...", &text[..60])
    } else {
        text
    }
}

/// A configuration with one route to `service`.
pub fn config(version: u64, route: SocketAddrV4, service: &str, idle_timeout_ms: u64) -> String {
    let (host, port) = (route.ip(), route.port());
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{host}\",\"path_prefix\":\"/{port}/\",\"type\":\"safe\",\
         \"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":2.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":{idle_timeout_ms}}}}}"
    )
}
