//! Owners of a queue by rendezvous hashing: every process computes the same order.

use std::cmp::Reverse;

use sha2::{Digest, Sha256};

use crate::id::{MemberId, QueueId};
use crate::view::Member;

/// Live members by their rank for `queue`: the first owns it, the next one takes over.
///
/// `members` are those of one data centre. The loss of a member moves only the
/// queues that it owned.
pub fn rank_owners<'a>(
    queue: &QueueId,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut live: Vec<&Member> = members.into_iter().filter(|m| m.alive).collect();
    live.sort_by_cached_key(|member| (Reverse(weight(queue, &member.id)), member.id.clone()));
    live
}

/// Uses SHA-256 because the standard library's hashers may differ between builds and
/// machines.
fn weight(queue: &QueueId, member: &MemberId) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update((queue.as_str().len() as u64).to_be_bytes());
    hasher.update(queue.as_str());
    hasher.update(member.as_str());
    let digest: [u8; 32] = hasher.finalize().into();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}
