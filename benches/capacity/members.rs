//! Members of the fleet inside the bench process, which follow the log and exchange heartbeats.

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

/// Threads of the runtime that all members' servers share.
const THREADS: usize = 2;

/// A member's control thread and its server for other processes, kept running.
struct Member {
    _control: Control,
    _server: Server,
}

/// All members of the fleet but the first, which is a separate process.
pub(crate) struct Members {
    members: Vec<Member>,
    _runtime: Runtime,
}

/// Answers heartbeats, and refuses all other messages.
struct HeartbeatHandler(Control);

impl Handler for HeartbeatHandler {
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
    /// Starts members 1 to `count` - 1.
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
        let common = member_config(fleet, n);
        let data_centre = &common.data_centre;
        let log = LogClient::new(common.platform.log, data_centre);
        let vms = VmsClient::new(common.platform.vms, data_centre);
        let peers = Client::new(common.secret.clone());
        let control = control::spawn(&common, log, vms, peers).expect("control thread");
        let limits = ServerLimits::default();
        let handler = HeartbeatHandler(control.clone());
        let server = Server::bind(common.peer, runtime, common.secret, limits, handler);
        let server = server.expect("a port");
        block_on(control.register(server.address()));
        Self {
            _control: control,
            _server: server,
        }
    }
}

fn member_config(fleet: &Fleet, n: usize) -> CommonConfig {
    dev::common_config_on(
        fleet,
        &format!("entry-{n:02}"),
        &format!("dc-{}", n % DATA_CENTRES),
    )
}
