//! The plain codec that the stand-ins of these tests use.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use reelreel_core::{
    StorePosition,
    fleet::{
        EngineEntry, LoadedModel, ModelKey,
        announcement::{Cooldown, Declared, Departure, EngineAnnouncements, RejectionBound},
        limits::limit::RequestLimit,
        prompt::{PromptMetadata, PromptPart, PromptPartId},
        routes::RouteTable,
    },
    id::{FenceToken, GroupGeneration, StoreEra},
    organisation::key::PresentedKey,
    placement::{EngineReport, OrderAnswer, OrderKind, PlannedOrder},
};
use reelreel_gateway::codec::{
    AddressResolver, CallRequest, CallResponse, CodecError, Codecs, ConfigurationRecord,
    EngineCodec, ForwardMetadata, GroupAssignment, KeyedRecord, KeyedTopic, ListedAddresses,
    RecordBatch, RequestCodec, RequestError, RequestMetadata, ResponseMetadata, ResumedStream,
    SnapshotPage, StoreCodec,
};
use reelreel_http::{HeaderFields, RequestHead, ResponseHead};
use serde_json::{Value, json};

pub(crate) const REQUEST: &str = "X-Request";
pub(crate) const DEADLINE: &str = "X-Deadline";
pub(crate) const MODEL: &str = "X-Model";
pub(crate) const ENGINE: &str = "X-Engine";
pub(crate) const NOT_RUN: &str = "X-Not-Run";
pub(crate) const RUN_BY: &str = "X-Run-By";
pub(crate) const RESUMES: &str = "X-Resumes";
pub(crate) const RESUME_AFTER: &str = "X-After";
pub(crate) const HOLD: &str = "X-Hold";
pub(crate) const PIN: &str = "X-Pin";
pub(crate) const KEY: &str = "X-Key";
pub(crate) const ORGANISATION: &str = "X-Organisation";
pub(crate) const PRIORITY: &str = "X-Rank";
pub(crate) const ERA: &str = "X-Era";
pub(crate) const LIMIT: &str = "X-Limit";
pub(crate) const BRITTLE: &str = "X-Brittle";
pub(crate) const VERSION: &str = "X-Version";
pub(crate) const LEAVING: &str = "X-Leaving";
pub(crate) const COOLDOWN: &str = "X-Cooldown";
/// Names the host to which a test sent the request; forwarded to engines like any client field.
pub(crate) const ENTRY_HOST: &str = "X-Entered";
pub(crate) const TOKENS: &str = "X-Tokens";
/// Hexadecimal ids of the parts of the prompt, separated by commas.
pub(crate) const PARTS: &str = "X-Parts";

/// Length of each prompt part. Unit: tokens.
const PART_TOKENS: u32 = 16;

/// The data hall of hosts and engines that state none.
pub(crate) const HALL: &str = "hall";

/// Configurations by the revision that records name.
pub(crate) type RoutesByRevision = Arc<HashMap<u64, Arc<RouteTable>>>;

#[derive(Default)]
pub(crate) struct PlainExchange {
    /// Time for which each request keeps the traffic thread busy, as a weak processor would be.
    pub(crate) request_cost: Duration,
}

impl RequestCodec for PlainExchange {
    fn decode_request(&self, head: &RequestHead) -> Result<RequestMetadata, RequestError> {
        if !self.request_cost.is_zero() {
            std::thread::sleep(self.request_cost);
        }
        let deadline = match head.fields.text(DEADLINE) {
            Some(text) => Some(text.parse().map_err(|_| RequestError::InvalidNumber)?),
            None => None,
        };
        Ok(RequestMetadata {
            id: head.fields.text(REQUEST).ok_or(RequestError::MissingId)?.to_owned(),
            deadline: deadline.map(Duration::from_millis),
            model: head.fields.text(MODEL).map(ModelKey::from),
            prompt: prompt_metadata(&head.fields),
            tokens: head.fields.text(TOKENS).and_then(|text| text.parse().ok()),
            key: PresentedKey::from_values(head.fields.values(KEY)),
            resumed: head.fields.text(RESUME_AFTER).map(|_| ResumedStream {
                begun_as: head.fields.text(RESUMES).map(ToOwned::to_owned),
            }),
        })
    }

    fn reserved_fields(&self) -> &'static [&'static str] {
        &[DEADLINE, ENGINE, HOLD, PIN, PRIORITY, KEY, ORGANISATION]
    }

    fn set_forward_metadata(&self, fields: &mut HeaderFields, metadata: &ForwardMetadata<'_>) {
        fields.push(DEADLINE, metadata.remaining.as_millis().to_string());
        fields.push(ENGINE, metadata.engine);
        fields.push(PRIORITY, metadata.priority.to_string());
        if let Some(organisation) = metadata.organisation {
            fields.push(ORGANISATION, organisation);
        }
        if let Some(event) = metadata.resume_after {
            fields.replace(RESUME_AFTER, event);
        }
    }

    fn decode_response(&self, head: &ResponseHead) -> ResponseMetadata {
        ResponseMetadata {
            id: head.fields.unambiguous_text(REQUEST).map(ToOwned::to_owned),
            not_run: head.fields.text(NOT_RUN).is_some(),
            misdirected: head.status == 421,
            signed: head.fields.text(RUN_BY).is_some(),
            version: declared(head, VERSION, |text| text.parse().ok()),
            announcements: self.decode_announcements(head),
        }
    }

    fn decode_announcements(&self, head: &ResponseHead) -> EngineAnnouncements {
        if head.status == 421 {
            return EngineAnnouncements::default();
        }
        EngineAnnouncements {
            limit: declared(head, LIMIT, |text| RequestLimit::new(text.parse().ok()?)),
            departure: declared(head, LEAVING, |text| (text == "yes").then_some(Departure)),
            cooldown: declared(head, COOLDOWN, |text| Cooldown::from_seconds(text.parse().ok()?)),
            rejection_bound: declared(head, BRITTLE, |text| {
                Some(RejectionBound::new(text.parse().ok()?))
            }),
        }
    }

    fn set_response_id(&self, fields: &mut HeaderFields, id: &str) {
        fields.push(REQUEST, id);
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }
}

/// Returns what a request declares about its prompt.
pub(crate) fn prompt_metadata(fields: &HeaderFields) -> PromptMetadata {
    let ids = fields.text(PARTS).unwrap_or_default().split(',');
    let ids = ids.filter_map(|id| PromptPartId::from_str_radix(id, 16).ok());
    let parts = ids.map(|id| PromptPart { id, tokens: PART_TOKENS });
    PromptMetadata { length: 0, parts: parts.collect() }
}

fn declared<Value>(
    head: &ResponseHead,
    name: &str,
    read: impl Fn(&str) -> Option<Value>,
) -> Declared<Value> {
    let text = head.fields.text(name);
    text.map_or(Declared::Absent, |text| read(text).map_or(Declared::Unreadable, Declared::Present))
}

pub(crate) fn call(method: &str, target: String, body: &Value) -> CallRequest {
    let head = RequestHead {
        method: method.to_owned(),
        target,
        is_http11: true,
        fields: HeaderFields::default(),
    };
    let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
    CallRequest { head, body: Bytes::from(body) }
}

fn parse_json(response: &CallResponse) -> Result<Value, CodecError> {
    match response.head.status {
        200 => serde_json::from_slice(&response.body)
            .map_err(|error| CodecError::Malformed(error.to_string())),
        410 => Err(CodecError::Gone),
        status => Err(CodecError::Refused(status)),
    }
}

pub(crate) struct PlainEngines;

fn loaded_models(value: &Value) -> Vec<LoadedModel> {
    let keys = value.as_array().into_iter().flatten().filter_map(Value::as_str);
    keys.map(|key| LoadedModel { key: Arc::from(key), version: 1 }).collect()
}

impl EngineCodec for PlainEngines {
    fn encode_order(&self, order: &PlannedOrder, holder: &str, token: FenceToken) -> CallRequest {
        let load = matches!(order.kind, OrderKind::Load { .. });
        let body = json!({
            "load": load, "key": &*order.key, "sequence": order.expected_sequence,
            "holder": holder, "token": token,
        });
        call("POST", String::from("/orders"), &body)
    }

    fn decode_order_response(&self, response: &CallResponse) -> OrderAnswer {
        if parse_json(response).is_ok_and(|body| body["sequence"].is_u64()) {
            return OrderAnswer::Unknown;
        }
        match response.head.status {
            202 => OrderAnswer::Accepted,
            200 => OrderAnswer::Done,
            409 => OrderAnswer::Conflict,
            412 => OrderAnswer::Fenced,
            _ => OrderAnswer::Unknown,
        }
    }

    fn encode_report_request(&self, _engine: &str) -> CallRequest {
        call("GET", String::from("/state"), &Value::Null)
    }

    fn decode_report(&self, response: &CallResponse) -> Result<EngineReport, CodecError> {
        let body = parse_json(response)?;
        Ok(EngineReport {
            incarnation: body["born"].as_u64().unwrap_or_default(),
            sequence: body["sequence"].as_u64().unwrap_or_default(),
            model_change_in_progress: false,
            loaded_models: loaded_models(&body["held"]),
            pending: loaded_models(&body["pending"]),
        })
    }
}

pub(crate) struct PlainStore {
    pub(crate) routes: RoutesByRevision,
}

const fn topic_name(topic: KeyedTopic) -> &'static str {
    match topic {
        KeyedTopic::Configuration => "configuration",
        KeyedTopic::Engines => "engines",
        KeyedTopic::Hosts => "hosts",
        KeyedTopic::Streams => "streams",
    }
}

fn position(era: StoreEra, value: &Value) -> StorePosition {
    StorePosition { era, offset: value.as_u64().unwrap_or_default() }
}

fn records(era: StoreEra, value: &Value) -> Vec<KeyedRecord> {
    let record = |value: &Value| KeyedRecord {
        key: value["key"].as_str().unwrap_or_default().to_owned(),
        value: Bytes::from(value["value"].as_str().unwrap_or_default().to_owned()),
        position: position(era, &value["offset"]),
    };
    value["records"].as_array().into_iter().flatten().map(record).collect()
}

impl StoreCodec for PlainStore {
    fn decode_era(&self, response: &CallResponse) -> StoreEra {
        let era = response.head.fields.text(ERA);
        era.and_then(|era| era.parse().ok()).unwrap_or_default()
    }

    fn decode_cooldown(&self, response: &CallResponse) -> Option<Cooldown> {
        declared(&response.head, COOLDOWN, |text| Cooldown::from_seconds(text.parse().ok()?))
            .value()
    }

    fn encode_snapshot_request(&self, topic: KeyedTopic, after: Option<&str>) -> CallRequest {
        let target = format!("/newest/{}/{}", topic_name(topic), after.unwrap_or_default());
        call("GET", target, &Value::Null)
    }

    fn decode_snapshot_page(&self, response: &CallResponse) -> Result<SnapshotPage, CodecError> {
        let body = parse_json(response)?;
        let era = self.decode_era(response);
        let more = body["more"].as_bool().unwrap_or_default();
        Ok(SnapshotPage { records: records(era, &body), more, end: position(era, &body["end"]) })
    }

    fn encode_read_request(
        &self,
        topic: KeyedTopic,
        from: StorePosition,
        wait: Duration,
    ) -> CallRequest {
        let (topic, wait) = (topic_name(topic), wait.as_millis());
        let target = format!("/read/{topic}/{}/{wait}", from.offset);
        call("GET", target, &Value::Null)
    }

    fn decode_records(
        &self,
        from: StorePosition,
        response: &CallResponse,
    ) -> Result<RecordBatch, CodecError> {
        let body = parse_json(response)?;
        let era = self.decode_era(response);
        let records = records(era, &body);
        let last = records.last().map(|record| record.position.next());
        let next = last.unwrap_or(StorePosition { era, ..from });
        Ok(RecordBatch { records, next, end: position(era, &body["end"]) })
    }

    fn encode_append(&self, topic: KeyedTopic, key: &str, value: &[u8]) -> CallRequest {
        let value = String::from_utf8_lossy(value);
        let body = json!({ "key": key, "value": value });
        call("POST", format!("/append/{}", topic_name(topic)), &body)
    }

    fn check_append(&self, response: &CallResponse) -> Result<(), CodecError> {
        parse_json(response).map(|_| ())
    }

    fn encode_join(
        &self,
        member: &str,
        time_to_live: Duration,
        generation: GroupGeneration,
    ) -> CallRequest {
        let body = json!({
            "member": member, "millis": time_to_live.as_millis(), "generation": generation,
        });
        call("POST", String::from("/join"), &body)
    }

    fn decode_assignment(&self, response: &CallResponse) -> Result<GroupAssignment, CodecError> {
        let body = parse_json(response)?;
        let parts = body["partitions"].as_array().into_iter().flatten().filter_map(Value::as_u64);
        Ok(GroupAssignment {
            era: self.decode_era(response),
            generation: body["generation"].as_u64().unwrap_or_default(),
            partitions: parts.filter_map(|part| u32::try_from(part).ok()).collect(),
        })
    }

    fn encode_leave(&self, member: &str) -> CallRequest {
        call("POST", String::from("/leave"), &json!({ "member": member }))
    }

    fn encode_owners_request(&self) -> CallRequest {
        call("GET", String::from("/owners"), &Value::Null)
    }

    fn decode_owners(&self, response: &CallResponse) -> Result<HashMap<u32, String>, CodecError> {
        let body = parse_json(response)?;
        let owners =
            body.as_object().into_iter().flatten().filter_map(|(part, member)| {
                Some((part.parse().ok()?, member.as_str()?.to_owned()))
            });
        Ok(owners.collect())
    }

    fn decode_configuration(
        &self,
        record: &KeyedRecord,
    ) -> Result<ConfigurationRecord, CodecError> {
        let malformed = || CodecError::Configuration(record.key.clone());
        let text = std::str::from_utf8(&record.value).map_err(|_| malformed())?;
        let revision: u64 = text.parse().map_err(|_| malformed())?;
        if let Some(key) = record.key.strip_prefix("version:") {
            return Ok(ConfigurationRecord::Version(Arc::from(key), revision));
        }
        let routes = self.routes.get(&revision).ok_or_else(malformed)?;
        Ok(ConfigurationRecord::Routes(Arc::clone(routes)))
    }

    fn decode_engine(&self, record: &KeyedRecord) -> Result<EngineEntry, CodecError> {
        let body: Value = serde_json::from_slice(&record.value)
            .map_err(|error| CodecError::Malformed(error.to_string()))?;
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        Ok(EngineEntry {
            name: Arc::from(record.key.as_str()),
            incarnation: body["born"].as_u64().unwrap_or_default(),
            service: Arc::from(text("service")),
            address: text("address")
                .parse()
                .map_err(|_| CodecError::Malformed(record.key.clone()))?,
            hall: Arc::from(body["hall"].as_str().unwrap_or(HALL)),
            slots: body["slots"].as_u64().and_then(|slots| slots.try_into().ok()).unwrap_or(16),
            leaving: body["leaving"].as_bool().unwrap_or_default(),
            sequence: body["sequence"].as_u64().unwrap_or_default(),
            software: Arc::from(text("software")),
            loaded_models: loaded_models(&body["held"]),
        })
    }
}

pub(crate) fn codecs(routes: RoutesByRevision) -> Codecs {
    codecs_for_host(routes, Arc::new(ListedAddresses), Duration::ZERO)
}

/// Returns the codecs of a host with these ways to engines, and this time for each request.
pub(crate) fn codecs_for_host(
    routes: RoutesByRevision,
    addresses: Arc<dyn AddressResolver>,
    request_cost: Duration,
) -> Codecs {
    Codecs {
        request: Arc::new(PlainExchange { request_cost }),
        engine: Arc::new(PlainEngines),
        store: Arc::new(PlainStore { routes }),
        addresses,
    }
}
