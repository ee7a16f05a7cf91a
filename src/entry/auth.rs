//! Decides whether a request may use a queue, and which team it is counted for.

use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;

use super::headers::Credential;
use crate::document::{Access, Document, OnStale, QueueSpec, TeamSection, hashes_equal, key_hash};
use crate::id::{QueueId, TeamId};
use crate::outcome::Reason;
use crate::view::View;

/// Leading bytes of a key's SHA-256, used as the lookup key.
type HashPrefix = [u8; 8];

/// All teams' keys of one document, grouped by the leading bytes of their hash. The whole
/// hash is compared by [`hashes_equal`].
#[derive(Debug)]
struct KeyIndex {
    document: Arc<Document>,
    keys: IndexMap<HashPrefix, Vec<([u8; 32], TeamId)>>,
}

impl KeyIndex {
    fn new(document: Arc<Document>) -> Self {
        let mut keys: IndexMap<HashPrefix, Vec<_>> = IndexMap::new();
        for (id, team) in &document.teams {
            for key in team.keys.values() {
                let entry = keys.entry(hash_prefix(&key.sha256)).or_default();
                entry.push((key.sha256, id.clone()));
            }
        }
        Self { document, keys }
    }

    fn find(&self, secret: &[u8; 32]) -> Option<&TeamId> {
        let hash = key_hash(secret);
        let found = self.keys.get(&hash_prefix(&hash))?;
        found
            .iter()
            .find(|(known, _)| hashes_equal(known, &hash))
            .map(|(_, team)| team)
    }
}

fn hash_prefix(hash: &[u8; 32]) -> HashPrefix {
    let mut hash_prefix = HashPrefix::default();
    hash_prefix.copy_from_slice(&hash[..8]);
    hash_prefix
}

/// A queue of the accepted document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FoundQueue<'a> {
    /// The team that offers the queue.
    pub(crate) team: &'a TeamId,
    pub(crate) spec: &'a QueueSpec,
}

/// Looks a queue up by name in the sections of all teams.
pub(crate) fn find_queue<'a>(document: &'a Document, queue: &QueueId) -> Option<FoundQueue<'a>> {
    document.teams.iter().find_map(|(team, section)| {
        let spec = section.queues.get(queue)?;
        Some(FoundQueue { team, spec })
    })
}

/// Checks keys against the accepted document.
///
/// Once the head of the log was last verified more than `stale_ms` ago, the document may
/// be out of date; then only keys of teams whose `on_stale` is `Serve` pass.
#[derive(Debug)]
pub(crate) struct Authorizer {
    key_index: ArcSwapOption<KeyIndex>,
    stale_ms: u64,
}

impl Authorizer {
    pub(crate) fn new(stale_ms: u64) -> Self {
        Self {
            key_index: ArcSwapOption::empty(),
            stale_ms,
        }
    }

    /// The team that a request to `queue` is counted for: the queue's own team if the queue
    /// is open, otherwise the key's.
    pub(crate) fn authorize(
        &self,
        view: &View,
        queue: FoundQueue<'_>,
        credential: Credential,
        now: Instant,
    ) -> Result<TeamId, Reason> {
        if queue.spec.access == Access::Open {
            return Ok(queue.team.clone());
        }
        let team = self.authenticate(view, credential, now)?;
        if queue.spec.access == Access::Own && team != *queue.team {
            return Err(Reason::Forbidden);
        }
        Ok(team)
    }

    /// The team that the key belongs to.
    pub(crate) fn authenticate(
        &self,
        view: &View,
        credential: Credential,
        now: Instant,
    ) -> Result<TeamId, Reason> {
        let document = view.document.as_ref().ok_or(Reason::NoDocument)?;
        let secret = match credential {
            Credential::Secret(secret) => secret,
            Credential::None => return Err(Reason::NoKey),
            Credential::Malformed => return Err(Reason::BadKey),
        };
        let key_index = self.key_index(document);
        let team = key_index.find(&secret).ok_or(Reason::BadKey)?;
        if self.is_stale(view, now) && !allows_stale(document.teams.get(team)) {
            return Err(Reason::Stale);
        }
        Ok(team.clone())
    }

    fn is_stale(&self, view: &View, now: Instant) -> bool {
        let age = view.verified.map(|at| now.saturating_duration_since(at));
        age.is_none_or(|age| age.as_millis() > u128::from(self.stale_ms))
    }

    fn key_index(&self, document: &Arc<Document>) -> Arc<KeyIndex> {
        if let Some(key_index) = self.key_index.load_full()
            && Arc::ptr_eq(&key_index.document, document)
        {
            return key_index;
        }
        let key_index = Arc::new(KeyIndex::new(Arc::clone(document)));
        self.key_index.store(Some(Arc::clone(&key_index)));
        key_index
    }
}

fn allows_stale(team: Option<&TeamSection>) -> bool {
    team.is_some_and(|team| team.on_stale == OnStale::Serve)
}
