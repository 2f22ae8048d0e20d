//! Names the decision that refused a request, with the inputs that its log line holds.

use serde_json::{Map, Value};

use reelreel_gateway::events::RequestEvent;

/// Fields of a request's log line that are no inputs of a decision, or that the summary shows.
const OTHER_FIELDS: &[&str] = &[
    "at", "host", "machine", "event", "left_out", "id", "route", "outcome", "late", "status",
    "mark", "parts", "first", "pause", "total", "revision",
];

/// Fields whose unit is milliseconds.
const MILLISECOND_FIELDS: &[&str] = &["waited", "sent", "retry_after"];

/// Fields whose unit is prompt tokens.
const TOKEN_FIELDS: &[&str] = &["prompt"];

/// A decision of a host by which a request is refused.
struct RefusalRule {
    /// The outcome in the log line.
    outcome: &'static str,
    /// The decision.
    decision: &'static str,
    /// Why it refuses.
    reason: &'static str,
}

const REFUSAL_RULES: &[RefusalRule] = &[
    RefusalRule {
        outcome: "adapter_absent",
        decision: "cold start",
        reason: "no engine held the adapter, and its load was not due in time",
    },
    RefusalRule {
        outcome: "origin_unknown",
        decision: "resumed stream",
        reason: "it is not known which software version began the stream",
    },
    RefusalRule {
        outcome: "software_gone",
        decision: "resumed stream",
        reason: "no engine runs the software version that began the stream",
    },
    RefusalRule {
        outcome: "isolated",
        decision: "links",
        reason: "the host could send to no engine, neither itself nor through another host",
    },
    RefusalRule {
        outcome: "queue_too_long",
        decision: "queue admission",
        reason: "the best engine had more prompt tokens queued than the latency target allows",
    },
    RefusalRule {
        outcome: "service_full",
        decision: "admission to plain services",
        reason: "the plain service was asked for more than it carries",
    },
    RefusalRule {
        outcome: "priority_level",
        decision: "priority admission",
        reason: "capacity was short, and only more urgent requests were admitted",
    },
    RefusalRule {
        outcome: "fair_share",
        decision: "fair share",
        reason: "capacity was short, and the organisation used more than its fair share",
    },
    RefusalRule {
        outcome: "quota_used_up",
        decision: "quota",
        reason: "the organisation had used what its quota gives",
    },
    RefusalRule {
        outcome: "limit_used",
        decision: "engine limits",
        reason: "the engines had named request limits, and no permit was due in time",
    },
    RefusalRule {
        outcome: "engines_cooling",
        decision: "cooldowns",
        reason: "all suitable engines had asked the host for a cooldown",
    },
    RefusalRule {
        outcome: "held_back",
        decision: "quarantine",
        reason: "engines ended while they ran the request, or others with the prompt part in held_by",
    },
    RefusalRule {
        outcome: "not_run",
        decision: "retry after refusals by engines",
        reason: "engines refused the request, and no further send was allowed",
    },
    RefusalRule {
        outcome: "no_engine",
        decision: "engine choice",
        reason: "no listed engine accepted requests",
    },
    RefusalRule {
        outcome: "unreachable",
        decision: "engine choice",
        reason: "connections to several engines failed",
    },
    RefusalRule {
        outcome: "time_over",
        decision: "deadline",
        reason: "the request's time ended before an engine got it",
    },
    RefusalRule {
        outcome: "buffers_full",
        decision: "body memory",
        reason: "the host held too many bodies",
    },
    RefusalRule {
        outcome: "key_refused",
        decision: "keys",
        reason: "the key belongs to no organisation",
    },
    RefusalRule {
        outcome: "keys_in_doubt",
        decision: "freshness of keys",
        reason: "the host could not tell whether the key still holds",
    },
];

/// Describes the decision that refused a request, or `None` if the request was not refused.
pub(super) fn refusal_decision(event: &RequestEvent) -> Option<String> {
    if event.outcome == "time_over" && event.status != 503 {
        // An engine had the request when its time ended.
        return None;
    }
    let known = REFUSAL_RULES.iter().find(|rule| rule.outcome == event.outcome);
    let text = match (known, event.status) {
        (Some(rule), _) => format!("{}: {}", rule.decision, rule.reason),
        (None, 404) if event.outcome == "refused_early" => {
            String::from("routing: no route of the configuration matches")
        }
        (None, 400) if event.outcome == "refused_early" => {
            String::from("header fields: the id is missing, or a field is malformed")
        }
        (None, _) if event.outcome == "refused_early" => {
            String::from("arrival: the host had no configuration, or was stopping")
        }
        (None, 429 | 503) => {
            format!("\"{}\", which this program does not know", event.outcome)
        }
        _ => return None,
    };
    Some(format!("{text}; {}", run_statement(event.status)))
}

/// Returns what the status tells the client about the request.
const fn run_statement(status: u16) -> &'static str {
    match status {
        400 | 401 | 404 | 429 | 503 => "it has not run",
        0 => "the client got no status",
        _ => "it may have run",
    }
}

/// Lists the inputs of a decision in a request's log line, also those of later versions.
pub(super) fn decision_inputs(line: &Map<String, Value>) -> String {
    let inputs = line.iter().filter(|(name, _)| !OTHER_FIELDS.contains(&name.as_str()));
    let inputs: Vec<String> = inputs.map(|(name, value)| describe_input(name, value)).collect();
    if inputs.is_empty() { String::from("none are logged") } else { inputs.join(", ") }
}

fn describe_input(name: &str, value: &Value) -> String {
    let value = value.as_str().map_or_else(|| value.to_string(), ToOwned::to_owned);
    if MILLISECOND_FIELDS.contains(&name) {
        format!("{name} {value} ms")
    } else if TOKEN_FIELDS.contains(&name) {
        format!("{name} {value} tokens")
    } else {
        format!("{name} {value}")
    }
}
