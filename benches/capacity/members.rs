//! Members of the fleet that follow the log and beat, inside the bench.

use amaranthwick::config::CommonConfig;
use amaranthwick::control::{self, Control};
use amaranthwick::dev;
use amaranthwick::http::ServerLimits;
use amaranthwick::outcome::{Outcome, Reason};
use amaranthwick::peer::{Client, Handler, PeerReply, PeerRequest, Server};
use amaranthwick::runtime::Runtime;
use amaranthwick::services::{LogClient, VmsClient};
use amaranthwick_standins::Fleet;
use futures_lite::future::block_on;

use crate::fleet::DATA_CENTRES;

const THREADS: usize = 2;

struct Member {
    _control: Control,
    _server: Server,
}

/// All members but the first, which is a process of its own.
pub(crate) struct Members {
    members: Vec<Member>,
    _runtime: Runtime,
}

struct Beats(Control);

impl Handler for Beats {
    async fn handle(&self, message: PeerRequest) -> PeerReply {
        if let PeerRequest::Heartbeat(heartbeat) = message
            && let Some(own) = self.0.heartbeat(heartbeat).await
        {
            return PeerReply::Heartbeat(own);
        }
        PeerReply::Outcome(Outcome::NotRun(Reason::Stopping))
    }
}

impl Members {
    pub(crate) fn open(fleet: &Fleet, count: usize) -> Self {
        let runtime = Runtime::start(THREADS).expect("threads");
        let members = (1..count).map(|n| Member::open(fleet, n, &runtime));
        Self {
            members: members.collect(),
            _runtime: runtime,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }
}

impl Member {
    fn open(fleet: &Fleet, n: usize, runtime: &Runtime) -> Self {
        let common = common(fleet, n);
        let place = &common.data_centre;
        let log = LogClient::new(common.platform.log, place);
        let vms = VmsClient::new(common.platform.vms, place);
        let peers = Client::new(common.secret.clone());
        let control = control::spawn(&common, log, vms, peers).expect("control thread");
        let limits = ServerLimits::default();
        let beats = Beats(control.clone());
        let server = Server::bind(common.peer, runtime, common.secret, limits, beats);
        let server = server.expect("a port");
        block_on(control.register(server.address()));
        Self {
            _control: control,
            _server: server,
        }
    }
}

fn common(fleet: &Fleet, n: usize) -> CommonConfig {
    dev::common_config_on(
        fleet,
        &format!("entry-{n:02}"),
        &format!("dc-{}", n % DATA_CENTRES),
    )
}
