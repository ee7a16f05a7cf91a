//! A stand-in for the platform's store: topics of one partition, with fenced producers.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response, response};
use crate::json::{base64, quote};

/// The settings `platform.record-bytes` and `platform.call-bytes`.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;

const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
    epoch: u64,
    /// Sequence numbers and ends of the last five appends of the epoch.
    appends: Vec<(u64, usize)>,
}

impl Topic {
    fn push(&mut self, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest
                .insert(key.to_owned(), (value.to_vec(), self.records.len()));
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Writes as the operator or an executor does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(key, value.as_bytes());
        self.changed.notify_all();
    }

    pub fn serve(self: &Arc<Self>, listener: TcpListener) {
        let store = Arc::clone(self);
        let handler = move |request: &Request| Some(store.handle(request));
        http::serve(listener, Arc::new(AtomicU64::new(0)), Arc::new(handler));
    }

    fn handle(&self, request: &Request) -> Response {
        std::thread::sleep(Duration::from_millis(4));
        let topic = request.param("topic").unwrap_or_default();
        match request.path.as_str() {
            "/log-append" => self.append(topic, request),
            "/log-read" => self.read(topic, request),
            "/log-newest" => self.newest(topic, request),
            _ => response(404, "{}"),
        }
    }

    fn append(&self, name: &str, request: &Request) -> Response {
        if matches!(name, "keyed.op" | "keyed.servers") {
            return response(403, "{}");
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while let Some((length, after)) = rest.split_at_checked(4) {
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let Some((record, after)) = after.split_at_checked(length) else {
                return response(400, "{}");
            };
            records.push(record);
            rest = after;
        }
        let largest = records.iter().map(|record| record.len()).max().unwrap_or(0);
        let number = |name: &str| request.param(name).and_then(|n| n.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        if largest > RECORD_BYTES || request.body.len() > CALL_BYTES {
            return response(400, "{\"reason\":\"size\"}");
        }
        let topic = state.topics.entry(name.to_owned()).or_default();
        let end = topic.records.len();
        if let (Some(epoch), Some(seq)) = (number("epoch"), number("seq")) {
            if epoch < topic.epoch {
                return response(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > topic.epoch {
                topic.appends.clear();
            } else {
                if let Some((_, end)) = topic.appends.iter().find(|(other, _)| *other == seq) {
                    return response(200, format!("{{\"offset\":{end},\"end\":{end}}}"));
                }
                let last = topic.appends.last().map(|(last, _)| *last);
                if last.is_some_and(|last| seq != last + 1) {
                    return response(409, "{\"reason\":\"seq\"}");
                }
            }
        }
        if let Some(at) = number("at")
            && at != end as u64
        {
            return response(412, format!("{{\"end\":{end}}}"));
        }
        for record in records {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            topic.push(&key, &record[1 + length..]);
        }
        let after = topic.records.len();
        if let (Some(epoch), Some(seq)) = (number("epoch"), number("seq")) {
            topic.epoch = epoch;
            topic.appends.push((seq, after));
            if topic.appends.len() > 5 {
                topic.appends.remove(0);
            }
        }
        self.changed.notify_all();
        response(200, format!("{{\"offset\":{end},\"end\":{after}}}"))
    }

    fn read(&self, name: &str, request: &Request) -> Response {
        let number = |name: &str| request.param(name).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let most = number("max-kb").unwrap_or(1_024) as usize * 1_024;
        let deadline = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let topic = state.topics.entry(name.to_owned()).or_default();
            let (end, now) = (topic.records.len(), Instant::now());
            if from >= end && now < deadline {
                state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
                continue;
            }
            let mut body = [(end as u64).to_be_bytes(), [0; 8]].concat();
            for (i, record) in topic.records.iter().skip(from).enumerate() {
                if i > 0 && body.len() + record.len() > most {
                    break;
                }
                body.extend((record.len() as u32).to_be_bytes());
                body.extend(record);
            }
            return response(200, body);
        }
    }

    fn newest(&self, name: &str, request: &Request) -> Response {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let after = request.param("depends-on").unwrap_or_default();
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, (value, offset)) in &topic.newest {
            if key.as_str() <= after && !after.is_empty() {
                continue;
            }
            if items.len() >= PAGE_KEYS || (bytes > 0 && bytes + value.len() > PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (quote(key), base64(value));
            items.push(format!(
                "{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), topic.records.len());
        response(
            200,
            format!("{{\"items\":[{items}],\"truncated\":{truncated},\"end\":{end}}}"),
        )
    }
}
