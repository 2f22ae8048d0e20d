//! The hosts that receive a placer's plan, and their number.

use std::sync::Arc;

use reelreel_core::ClockMillis;
use tokio::sync::mpsc;

use crate::{
    control::{
        domain::{AwaitedLoads, PlacementDomain},
        host_count::HostReport,
    },
    peers::frame::EncodedFrame,
};

/// A host that receives this host's plan.
pub struct PlanSubscriber {
    /// Name of the host.
    pub host: Arc<str>,
    /// Queue of frames to the host.
    pub frames: mpsc::Sender<EncodedFrame>,
    /// Keys that its requests wait for.
    pub awaiting_estimates: AwaitedLoads,
}

/// A host that no longer receives this host's plan.
#[derive(Debug, Clone)]
pub struct RemovedSubscriber {
    /// Name of the host.
    pub host: Arc<str>,
    /// Number of subscribed hosts when this one became unreachable, in which case it may still be
    /// serving; absent if it closed its connection.
    pub unreachable_among: Option<u32>,
}

impl PlacementDomain {
    /// Returns the number of hosts that follow the placer, including the placer.
    pub fn subscribed_hosts(&self) -> u32 {
        u32::try_from(self.subscribers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Begins a tenure of this host; `known_hosts` is the number of hosts reported before, or zero.
    pub const fn begin_tenure(&mut self, known_hosts: u32, now: ClockMillis) {
        self.lease_token = self.tenure.token();
        self.subscriber_count.begin_tenure(known_hosts, now);
    }

    /// Adds a host to which the complete state was sent.
    pub fn add_subscriber(&mut self, subscriber: PlanSubscriber, now: ClockMillis) {
        self.subscribers.push(subscriber);
        self.subscriber_count.record_subscription(now);
    }

    /// Updates and returns this placer's report of the number of hosts.
    pub fn update_host_report(&mut self, now: ClockMillis) -> HostReport {
        self.subscriber_count.update(self.subscribed_hosts(), now);
        self.host_report()
    }

    /// Returns this placer's report of the number of hosts.
    pub fn host_report(&self) -> HostReport {
        self.subscriber_count.report(self.subscribed_hosts())
    }

    /// Sends a frame to all subscribers, and removes those whose queue is full or closed.
    pub fn broadcast(&mut self, frame: &EncodedFrame) {
        let unreachable_among = Some(self.subscribed_hosts());
        let (subscribers, removed) = (&mut self.subscribers, &mut self.removed);
        subscribers.retain(|subscriber| {
            let kept = subscriber.frames.try_send(frame.clone()).is_ok();
            if !kept {
                removed.push(RemovedSubscriber {
                    host: Arc::clone(&subscriber.host),
                    unreachable_among,
                });
            }
            kept
        });
    }

    /// Sends a frame to one subscriber. If its queue is full, the next broadcast removes it.
    pub fn send_to(&self, host: &str, frame: &EncodedFrame) {
        for subscriber in self.subscribers.iter().filter(|subscriber| &*subscriber.host == host) {
            if subscriber.frames.try_send(frame.clone()).is_err() {
                log::debug!("frame queue of {host} is full or closed; frame dropped");
            }
        }
    }

    /// Removes a subscriber that closed its connection: it is stopping or follows another placer.
    pub fn remove_subscriber(&mut self, frames: &mpsc::Sender<EncodedFrame>) {
        let (subscribers, removed) = (&mut self.subscribers, &mut self.removed);
        subscribers.retain(|subscriber| {
            let kept = !subscriber.frames.same_channel(frames);
            if !kept {
                removed.push(RemovedSubscriber {
                    host: Arc::clone(&subscriber.host),
                    unreachable_among: None,
                });
            }
            kept
        });
    }

    /// Returns the subscribers removed since the last call.
    pub fn take_removed(&mut self) -> Vec<RemovedSubscriber> {
        std::mem::take(&mut self.removed)
    }
}
