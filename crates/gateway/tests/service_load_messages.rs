//! Messages about the load and limits of plain services.

use std::sync::Arc;

use reelreel_core::fleet::{
    service_limit::{LoadSums, PublishedLimit},
    service_share::{LoadReport, report_interval},
};
use reelreel_gateway::peers::{
    aggregate_frames::{AggregateFrame, HostReportFrame},
    frame::FrameBody,
    service_load_messages::{ServiceLimitMessage, ServiceLoadMessage},
};

/// Control traffic of one host. Unit: bytes per second.
const MAX_CONTROL_BYTES: f64 = 15_000.0;

fn report() -> LoadReport {
    let sums =
        LoadSums { arrivals: 300, returning: 200, admitted: 150, answered: 140, late: 20, full: 9 };
    LoadReport { service: Arc::from("plain-service"), sums, open: 12, short: true }
}

/// Guards against fields that are lost on the way.
#[test]
fn reports_and_limits_are_the_same_after_decoding() {
    let sent = report();
    assert_eq!(LoadReport::from(&ServiceLoadMessage::from(&sent)), sent);
    for measured in [false, true] {
        let limit = PublishedLimit { rate: 364.5, arrivals: 1209.0, measured };
        let message = ServiceLimitMessage::new(&sent.service, Some(limit));
        assert_eq!(message.limit(), Some(limit));
    }
    assert_eq!(ServiceLimitMessage::new(&sent.service, None).limit(), None);
    let limit = PublishedLimit { rate: f64::NAN, arrivals: 1209.0, measured: true };
    assert_eq!(ServiceLimitMessage::new(&sent.service, Some(limit)).limit(), None);
}

/// Guards against reports and publications that use more than a thirtieth of the bound of a host's
/// control traffic in the largest fleet. The coordinator itself sends one publication to each host.
#[test]
fn control_traffic_of_a_short_service_stays_within_its_bound() {
    let hosts = 370;
    let per_second = 1.0 / report_interval(hosts).as_secs_f64();
    let report = HostReportFrame {
        host: String::from("edge-kicukiro-100"),
        service: String::from("model-service"),
        service_loads: vec![(&report()).into()],
        ..HostReportFrame::default()
    };
    let limit = PublishedLimit { rate: 364.5, arrivals: 1209.0, measured: true };
    let publication = AggregateFrame {
        service: String::from("model-service"),
        token: 1 << 40,
        hosts,
        hosts_complete: true,
        service_limits: vec![ServiceLimitMessage::new(&Arc::from("plain-service"), Some(limit))],
        ..AggregateFrame::default()
    };
    let report_bytes = FrameBody::HostReport(report).encoded().bytes.len() as f64;
    let publication_bytes = FrameBody::Aggregate(publication).encoded().bytes.len() as f64;
    let of_a_host = (report_bytes + publication_bytes) * per_second;
    let of_coordinator = publication_bytes * f64::from(hosts) * per_second;
    println!(
        "report {report_bytes}, publication {publication_bytes} bytes; a host {of_a_host:.0}, the \
         coordinator sends {of_coordinator:.0} bytes per second"
    );
    assert!(of_a_host < MAX_CONTROL_BYTES / 30.0, "{of_a_host:.0} bytes per second");
}
