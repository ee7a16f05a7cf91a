//! Order in which members own a queue, by rendezvous hashing.

use std::cmp::Reverse;

use sha2::{Digest, Sha256};

use crate::id::QueueId;
use crate::view::Member;

/// Live members, the owner of `queue` first.
pub(crate) fn rank<'a>(
    queue: &QueueId,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut live: Vec<&Member> = members.into_iter().filter(|m| m.alive).collect();
    live.sort_by_cached_key(|member| Reverse(weight(queue, member)));
    live
}

fn weight(queue: &QueueId, member: &Member) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update((queue.as_str().len() as u64).to_be_bytes());
    hasher.update(queue.as_str());
    hasher.update(member.id.as_str());
    hasher.finalize().into()
}
