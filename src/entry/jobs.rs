//! HTTP interface to jobs: submits, shows and cancels them.

use serde::{Deserialize, Serialize};

use super::answer::{REQUEST_ID, client_error_reply, problem_reply};
use super::headers;
use crate::control::{Control, JobState, ProposeError};
use crate::http::{Execution, Reply, Request};
use crate::id::{JobId, RequestId, TeamId};
use crate::ledger::{Job, JobPhase, JobUpdate, Proposal, Refusal, Verdict};
use crate::outcome::Reason;

/// Times that a cancellation is proposed; the planner may have moved the job on between
/// reading its state and the proposal.
const MAX_CANCEL_ATTEMPTS: usize = 4;

/// Body of `POST /jobs`. Without an `id`, the idempotency key or else the request id names
/// the job. The type's name is part of serde's error texts, which callers see.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    id: Option<String>,
    task: String,
    #[serde(default)]
    input: String,
    cores: u32,
    memory_mb: u32,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    idempotent: bool,
}

/// Body of a reply that shows a job.
#[derive(Debug, Serialize)]
struct JobReply<'a> {
    id: &'a JobId,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    vm: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    output: Option<&'a str>,
}

/// Serves requests to `/jobs` and `/jobs/{id}`; `team` is the one whose key came.
pub(crate) async fn serve(
    control: &Control,
    team: TeamId,
    request: &Request,
    id: &RequestId,
) -> Reply {
    let path = request.path.split('?').next().unwrap_or_default();
    let job = path.strip_prefix("/jobs/").map(JobId::new);
    match (request.method.as_str(), job) {
        ("POST", None) => submit(control, team, request, id).await,
        ("GET", Some(job)) => show(control, &team, &job, id).await,
        ("DELETE", Some(job)) => cancel(control, &team, &job, id).await,
        _ => client_error_reply(405, "jobs take POST, GET and DELETE", id),
    }
}

async fn submit(control: &Control, team: TeamId, request: &Request, id: &RequestId) -> Reply {
    let order: Order = match serde_json::from_slice(&request.body) {
        Ok(order) => order,
        Err(error) => return client_error_reply(400, &format!("not a job: {error}"), id),
    };
    let key = match headers::idempotency_key(request) {
        Ok(key) => key,
        Err(detail) => return client_error_reply(400, detail, id),
    };
    let name = order.id.or(key).unwrap_or_else(|| id.to_string());
    if !is_valid_job_id(&name) {
        return client_error_reply(400, "a job id has 1 to 128 of A-Z a-z 0-9 - _ . ~", id);
    }
    let job = Job {
        id: JobId::new(&name),
        team: team.clone(),
        task: order.task,
        input: order.input,
        cores: order.cores,
        memory_mb: order.memory_mb,
        accelerators: order.accelerators,
        urgency: headers::urgency(request),
        idempotent: order.idempotent,
    };
    let job_id = job.id.clone();
    let mut reply = match control.propose(Proposal::Submit(job)).await {
        Ok(Verdict::Accepted(_)) => accepted_reply(&job_id, id),
        Ok(Verdict::Refused(_, Refusal::Repeated)) => show(control, &team, &job_id, id).await,
        Ok(Verdict::Refused(_, refused)) => {
            client_error_reply(422, &format!("job refused: {refused:?}"), id)
        }
        Err(error) => proposal_error_reply(&error, id),
    };
    if reply.status < 300 {
        let location = format!("/jobs/{job_id}");
        reply.headers.push(("location".to_owned(), location));
    }
    reply
}

async fn show(control: &Control, team: &TeamId, job: &JobId, id: &RequestId) -> Reply {
    match find_job(control, team, job).await {
        Some(state) => job_reply(200, &state, id),
        None => client_error_reply(404, "no such job", id),
    }
}

async fn cancel(control: &Control, team: &TeamId, job: &JobId, id: &RequestId) -> Reply {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let Some(state) = find_job(control, team, job).await else {
            return client_error_reply(404, "no such job", id);
        };
        if matches!(state.phase, JobPhase::Done(_) | JobPhase::Failed(_)) {
            return client_error_reply(409, "the job has ended", id);
        }
        if state.phase == JobPhase::Cancelled {
            return job_reply(200, &state, id);
        }
        let update = JobUpdate {
            id: job.clone(),
            expected_step: state.step,
            phase: JobPhase::Cancelled,
            epoch: None,
        };
        match control.propose(Proposal::Update(update)).await {
            Ok(Verdict::Accepted(_)) => return show(control, team, job, id).await,
            Ok(Verdict::Refused(_, Refusal::Stepped(_))) => {}
            Ok(Verdict::Refused(_, refused)) => {
                return client_error_reply(409, &format!("not cancelled: {refused:?}"), id);
            }
            Err(error) => return proposal_error_reply(&error, id),
        }
    }
    client_error_reply(409, "the job moves on; try again", id)
}

/// Finds a job; `None` also if it belongs to another team.
async fn find_job(control: &Control, team: &TeamId, job: &JobId) -> Option<JobState> {
    let state = control.job(job).await?;
    (state.job.team == *team).then_some(state)
}

fn proposal_error_reply(error: &ProposeError, id: &RequestId) -> Reply {
    match error {
        ProposeError::NotAppended(_) => problem_reply(Reason::NoTarget, Execution::NotRun, id),
        ProposeError::Unknown(_) => problem_reply(Reason::Silent, Execution::Unknown, id),
    }
}

fn accepted_reply(job: &JobId, id: &RequestId) -> Reply {
    let body = JobReply {
        id: job,
        state: "waiting",
        vm: None,
        output: None,
    };
    json_reply(202, &body, id)
}

fn job_reply(status: u16, state: &JobState, id: &RequestId) -> Reply {
    let (name, vm, output) = match &state.phase {
        JobPhase::Waiting => ("waiting", None, None),
        JobPhase::Placed(vm) => ("placed", Some(vm.as_str()), None),
        JobPhase::Done(output) => ("done", None, Some(output.as_str())),
        JobPhase::Failed(output) => ("failed", None, Some(output.as_str())),
        JobPhase::Cancelled => ("cancelled", None, None),
    };
    let body = JobReply {
        id: &state.job.id,
        state: name,
        vm,
        output,
    };
    json_reply(status, &body, id)
}

fn json_reply(status: u16, body: &JobReply<'_>, id: &RequestId) -> Reply {
    Reply {
        status,
        headers: vec![
            ("content-type".to_owned(), "application/json".to_owned()),
            (REQUEST_ID.to_owned(), id.to_string()),
        ],
        body: serde_json::to_vec(body).unwrap_or_default(),
    }
}

fn is_valid_job_id(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    (1..=128).contains(&name.len()) && name.bytes().all(allowed)
}
