//! The nodes' side of `report burn`: a control host tells the members it knows, an agent its minutes.

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

/// Members in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 1_000;
/// Windows that one request may ask for.
const MAX_WINDOWS: usize = 16;
/// Pause between two ticks of the minutes; well under a minute.
const TICK_INTERVAL: Duration = Duration::from_secs(10);

/// Answers what a report asks.
#[derive(Clone, Debug)]
pub struct Reporter {
    cluster: Arc<Cluster>,
    recorder: Option<Arc<SloRecorder>>,
}

impl Reporter {
    /// Of a node that has no minutes of its own.
    pub fn of_members(cluster: &Arc<Cluster>) -> ReportServer<Self> {
        ReportServer::new(Self {
            cluster: Arc::clone(cluster),
            recorder: None,
        })
    }

    /// Of an agent.
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

/// Tells the minutes that time passes, until its task ends.
pub async fn run_minute_clock(cx: &Cx, cluster: &Cluster, recorder: &SloRecorder) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        let zone_out = !cluster.config().is_zone_in(&cx.zone);
        recorder.ring().on_tick(wall_clock(), zone_out);
    }
}
