//! Server side of `report burn`: control hosts return the members that they know, agents their
//! request counts by minute.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::directory::{MemberId, Record, Role as RecordRole};
use dogwoodrill_core::slo::{AgentMinutes, Minute};
use dogwoodrill_wire::proto::report as wire;
use dogwoodrill_wire::proto::report::report_server::{Report, ReportServer};
use dogwoodrill_wire::proto::spread::Records;
use tokio::time::interval;
use tokio_stream::Stream;
use tonic::{Request, Response, Status};

use crate::agent::slo::SloRecorder;
use crate::cluster::Cluster;
use crate::context::{Cx, wall_clock};
use crate::transport::{Role, require_role};

/// Maximum number of members in one message of the response stream.
const MAX_RECORDS_PER_MESSAGE: usize = 1_000;
/// Maximum number of windows in one request.
const MAX_WINDOWS: usize = 16;
/// Interval of ticks of the minute counts; must be well under a minute.
const TICK_INTERVAL: Duration = Duration::from_secs(10);

/// gRPC service that `report burn` queries.
#[derive(Clone, Debug)]
pub struct Reporter {
    cluster: Arc<Cluster>,
    recorder: Option<Arc<SloRecorder>>,
}

impl Reporter {
    /// Creates the service of a node without a backend server, which only returns members.
    pub fn of_members(cluster: &Arc<Cluster>) -> ReportServer<Self> {
        ReportServer::new(Self {
            cluster: Arc::clone(cluster),
            recorder: None,
        })
    }

    /// Creates the service of an agent, which returns members and its minutes.
    pub fn of_agent(cluster: &Arc<Cluster>, recorder: &Arc<SloRecorder>) -> ReportServer<Self> {
        ReportServer::new(Self {
            cluster: Arc::clone(cluster),
            recorder: Some(Arc::clone(recorder)),
        })
    }

    fn minutes(&self, req: &wire::MinutesRequest) -> Result<AgentMinutes, Status> {
        let none = || Status::failed_precondition("this node has no backend server");
        let recorder = self.recorder.as_ref().ok_or_else(none)?;
        let own = self.cluster.own_record().borrow().clone();
        let own = own.ok_or_else(none)?;
        let (MemberId::BackendServer(server), RecordRole::BackendServer { service, .. }) =
            (own.member, &own.role)
        else {
            return Err(none());
        };
        let (ring, now) = (recorder.ring(), wall_clock());
        let windows = req.windows.iter().map(|w| ring.window(now, *w));
        Ok(AgentMinutes {
            server,
            service: *service,
            zone: own.zone.clone(),
            windows: windows.collect(),
            minutes: ring.since(Minute::new(req.since)).collect(),
        })
    }
}

#[tonic::async_trait]
impl Report for Reporter {
    type MembersStream = Pin<Box<dyn Stream<Item = Result<Records, Status>> + Send>>;

    async fn members(
        &self,
        request: Request<wire::MembersRequest>,
    ) -> Result<Response<Self::MembersStream>, Status> {
        require_role(&request, Role::Operator)?;
        let records: Vec<Record> = self.cluster.directory().records().cloned().collect();
        let chunks: Vec<_> = records
            .chunks(MAX_RECORDS_PER_MESSAGE)
            .map(to_wire)
            .map(Ok)
            .collect();
        Ok(Response::new(Box::pin(tokio_stream::iter(chunks))))
    }

    async fn minutes(
        &self,
        request: Request<wire::MinutesRequest>,
    ) -> Result<Response<wire::MinutesResponse>, Status> {
        require_role(&request, Role::Operator)?;
        if request.get_ref().windows.len() > MAX_WINDOWS {
            let text = format!("at most {MAX_WINDOWS} windows may be asked for");
            return Err(Status::invalid_argument(text));
        }
        let minutes = Self::minutes(self, request.get_ref())?;
        Ok(Response::new((&minutes).into()))
    }
}

fn to_wire(records: &[Record]) -> Records {
    Records {
        records: records.iter().map(Into::into).collect(),
    }
}

/// Advances the minute counts with the clock, and records whether the zone is out of service, until the
/// task is dropped.
pub async fn run_minute_clock(cx: &Cx, cluster: &Cluster, recorder: &SloRecorder) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        let zone_out = !cluster.config().is_zone_in(&cx.zone);
        recorder.ring().on_tick(wall_clock(), zone_out);
    }
}
