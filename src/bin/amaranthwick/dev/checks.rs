//! Checks of the smoke test.

use std::time::{Duration, Instant};

use amaranthwick::dev::DevFleet;
use amaranthwick::document::{Access, example, withdraw_key};
use amaranthwick::finding::Findings;
use amaranthwick::id::{KeyId, QueueId, Revision, TeamId};
use amaranthwick::ledger::{Refusal, Verdict};
use anyhow::{Context, Result, bail, ensure};
use async_io::Timer;
use serde_json::json;

use super::caller::{Caller, expect_body, expect_field, expect_status};
use super::find_queue;

/// Time limit for a job to end, or for an edit to reach every entry, in ms.
const POLL_TIMEOUT_MS: u64 = 10_000;

/// Time between two requests of a poll, in ms.
const POLL_INTERVAL_MS: u64 = 20;

const JOB: &str = "smoke-job";
const HANGING_JOB: &str = "smoke-hanging-job";

/// A fleet, and the team and queues that the checks use.
pub(super) struct Checks<'a> {
    fleet: &'a DevFleet,
    text: &'a str,
    team: TeamId,
    queue: QueueId,
    open_queue: QueueId,
}

impl<'a> Checks<'a> {
    /// Picks the first queue with access `open`, and the first with access `own` and its team.
    pub(super) fn open(fleet: &'a DevFleet, text: &'a str) -> Result<Self> {
        let document = fleet.document();
        let (team, queue) = find_queue(document, Access::Own)
            .context("the document has no queue with access `own`")?;
        let (_, open_queue) = find_queue(document, Access::Open)
            .context("the document has no queue with access `open`")?;
        Ok(Self {
            fleet,
            text,
            team,
            queue,
            open_queue,
        })
    }

    /// A queue with access `open` answers a request without a key.
    pub(super) async fn open_queue(&self) -> Result<()> {
        let caller = Caller::without_key(self.fleet.entries()[0].caller_address());
        let path = format!("/q/{}/smoke", self.open_queue);
        let reply = caller.send("POST", &path, &[], "open").await?;
        expect_status(&reply, 200)?;
        expect_body(&reply, "open")
    }

    /// A queue with access `own` answers a request with the team's key.
    pub(super) async fn keyed_queue(&self) -> Result<()> {
        self.expect_echo(&[], "keyed").await
    }

    /// Every entry answers such a request, whether it owns the queue or forwards the request.
    pub(super) async fn every_entry(&self) -> Result<()> {
        for entry in self.fleet.entries() {
            let caller = Caller::with_key(entry.caller_address(), self.secret());
            let reply = caller.send("POST", &self.path(), &[], "each").await?;
            expect_status(&reply, 200).with_context(|| format!("entry {}", entry.id()))?;
            expect_body(&reply, "each")?;
        }
        Ok(())
    }

    /// A request with the highest priority is answered.
    pub(super) async fn urgent(&self) -> Result<()> {
        self.expect_echo(&[("priority", "u=0")], "urgent").await
    }

    /// A request with a deadline that can be met is answered.
    pub(super) async fn deadline(&self) -> Result<()> {
        self.expect_echo(&[("prefer", "wait=5")], "in time").await
    }

    /// A request whose deadline has passed is refused as not run.
    pub(super) async fn late_deadline(&self) -> Result<()> {
        let headers = [("prefer", "wait=0")];
        let reply = self
            .caller()
            .send("POST", &self.path(), &headers, "late")
            .await?;
        expect_status(&reply, 503)?;
        expect_field(&reply, "outcome", "not_run")
    }

    /// A job is accepted.
    pub(super) async fn submit_job(&self) -> Result<()> {
        self.submit(JOB, "echo:20").await
    }

    /// The submitted job ends with its output.
    pub(super) async fn get_job(&self) -> Result<()> {
        let path = format!("/jobs/{JOB}");
        let timeout = PollTimeout::start();
        loop {
            let reply = self.caller().send("GET", &path, &[], "").await?;
            expect_status(&reply, 200)?;
            match expect_field(&reply, "state", "done") {
                Ok(()) => return expect_field(&reply, "output", "input"),
                Err(error) => timeout.pause_or_fail(error).await?,
            }
        }
    }

    /// A job that would never end is cancelled.
    pub(super) async fn delete_job(&self) -> Result<()> {
        self.submit(HANGING_JOB, "hang").await?;
        let path = format!("/jobs/{HANGING_JOB}");
        let reply = self.caller().send("DELETE", &path, &[], "").await?;
        expect_status(&reply, 200)?;
        expect_field(&reply, "state", "cancelled")
    }

    /// A request with an unknown key is refused as not run.
    pub(super) async fn refused_key(&self) -> Result<()> {
        let caller = Caller::with_key(self.fleet.entries()[0].caller_address(), [1; 32]);
        let reply = caller.send("POST", &self.path(), &[], "").await?;
        expect_status(&reply, 401)?;
        expect_field(&reply, "outcome", "not_run")
    }

    /// A request to a queue that is not in the document is refused as not run.
    pub(super) async fn unknown_queue(&self) -> Result<()> {
        let reply = self
            .caller()
            .send("POST", "/q/nowhere/smoke", &[], "")
            .await?;
        expect_status(&reply, 404)?;
        expect_field(&reply, "outcome", "not_run")
    }

    /// An edit with a fault is refused with its findings.
    pub(super) async fn bad_document(&self) -> Result<()> {
        let broken = self
            .text
            .replace("\"access\": \"own\"", "\"access\": \"nobody\"");
        match self.publish(&broken).await? {
            Verdict::Refused(_, Refusal::Invalid(Findings(findings))) => {
                ensure!(!findings.is_empty(), "refused without findings");
                Ok(())
            }
            verdict => bail!("verdict {verdict:?}"),
        }
    }

    /// An edit that withdraws the team's keys takes effect at every entry.
    pub(super) async fn edited_document(&self) -> Result<()> {
        let edited = self.without_keys()?;
        let verdict = self.publish(&edited).await?;
        ensure!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
        let timeout = PollTimeout::start();
        for entry in self.fleet.entries() {
            let caller = Caller::with_key(entry.caller_address(), self.secret());
            loop {
                let reply = caller.send("POST", &self.path(), &[], "").await?;
                match expect_status(&reply, 401) {
                    Ok(()) => break,
                    Err(error) => timeout.pause_or_fail(error).await?,
                }
            }
        }
        Ok(())
    }

    fn without_keys(&self) -> Result<String> {
        let section = &self.fleet.document().teams[&self.team];
        let keys: Vec<KeyId> = section.keys.keys().cloned().collect();
        let mut text = self.text.to_owned();
        for key in &keys {
            text = withdraw_key("document", &text, &self.team, key)?;
        }
        Ok(text)
    }

    async fn publish(&self, text: &str) -> Result<Verdict> {
        let operator = format!("{}-ops", self.team);
        let publisher = self.fleet.publisher();
        publisher
            .publish(self.team.as_str(), &operator, Revision(1), text)
            .await
    }

    async fn submit(&self, id: &str, task: &str) -> Result<()> {
        let order = json!({
            "id": id, "task": task, "input": "input", "cores": 1, "memory_mb": 64,
        });
        let body = order.to_string();
        let reply = self.caller().send("POST", "/jobs", &[], &body).await?;
        expect_status(&reply, 202)
    }

    async fn expect_echo(&self, headers: &[(&str, &str)], body: &str) -> Result<()> {
        let reply = self
            .caller()
            .send("POST", &self.path(), headers, body)
            .await?;
        expect_status(&reply, 200)?;
        expect_body(&reply, body)
    }

    fn caller(&self) -> Caller {
        Caller::with_key(self.fleet.entries()[0].caller_address(), self.secret())
    }

    fn secret(&self) -> [u8; 32] {
        example::caller_secret(self.team.as_str())
    }

    fn path(&self) -> String {
        format!("/q/{}/smoke", self.queue)
    }
}

/// Time limit for polling something that takes effect later.
struct PollTimeout {
    deadline: Instant,
}

impl PollTimeout {
    fn start() -> Self {
        Self {
            deadline: Instant::now() + Duration::from_millis(POLL_TIMEOUT_MS),
        }
    }

    /// Pauses before the next attempt; past the time limit, returns the last `error`.
    async fn pause_or_fail(&self, error: anyhow::Error) -> Result<()> {
        if Instant::now() >= self.deadline {
            return Err(error);
        }
        Timer::after(Duration::from_millis(POLL_INTERVAL_MS)).await;
        Ok(())
    }
}
