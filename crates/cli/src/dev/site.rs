//! A whole site running in one process.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use eyre::{bail, eyre};
use reelreel_core::settings::{ChangeRecord, SettingsTree, change::RECORD_FORMAT};
use reelreel_node::{EntryHost, NodeSettings};
use reelreel_stand_ins::{
    EngineOptions, EngineStandIn, PlatformOptions, PlatformStandIn, ServiceOptions, ServiceStandIn,
    platform::{HostRecord, HostRole},
};

use crate::{options::LogSource, platform_log::PlatformLog};

/// Maximum time until every host is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of a site.
#[derive(Debug, Clone)]
pub(crate) struct DevSiteOptions {
    /// Number of entry hosts.
    pub(crate) hosts: u32,
    /// Number of engines.
    pub(crate) engines: u32,
    /// Number of data halls.
    pub(crate) halls: u16,
    /// Concurrent requests per engine.
    pub(crate) streams: u32,
    /// Callers' port of the first host; zero picks a free one.
    pub(crate) port: u16,
}

/// A running site, stopped on drop.
pub(crate) struct DevSite {
    /// Entry hosts. Declared first so that they are dropped before the components that they call.
    pub(crate) hosts: Vec<EntryHost>,
    /// The engines.
    pub(crate) engines: Vec<EngineStandIn>,
    /// The plain service.
    _service: ServiceStandIn,
    /// The platform.
    pub(crate) platform: PlatformStandIn,
}

impl DevSite {
    /// Starts a site, publishes `tree` and waits until every host is ready.
    pub(crate) fn start(options: &DevSiteOptions, tree: &SettingsTree) -> eyre::Result<Self> {
        let platform = PlatformStandIn::start(&PlatformOptions {
            host_lag: Duration::from_millis(50),
            ..PlatformOptions::default()
        })?;
        publish_tree(platform.address(), tree)?;
        let hall_of = |index: u32| 1 + u16::try_from(index % u32::from(options.halls)).unwrap_or(0);
        let mut engines = Vec::new();
        for index in 0..options.engines {
            let engine = EngineStandIn::start(&EngineOptions {
                platform: platform.address().to_owned(),
                streams: options.streams as usize,
                ..EngineOptions::default()
            })?;
            let record =
                HostRecord::new(HostRole::Engine, index + 1, hall_of(index), engine.address())
                    .service("assist")
                    .engine(4, options.streams, true);
            platform.hosts().put(record);
            engines.push(engine);
        }
        let service = ServiceStandIn::start(&ServiceOptions::default())?;
        let record = HostRecord::new(HostRole::Server, 1, 1, service.address()).service("orders");
        platform.hosts().put(record);
        let mut hosts = Vec::new();
        for index in 0..options.hosts {
            let port = if index == 0 { options.port } else { 0 };
            let host = EntryHost::start(&host_settings(
                index + 1,
                hall_of(index),
                port,
                platform.address(),
            )?)?;
            let peers = host.peers().to_string();
            let record = HostRecord::new(HostRole::Entry, index + 1, hall_of(index), peers);
            platform.hosts().put(record);
            hosts.push(host);
        }
        let site = Self { hosts, engines, _service: service, platform };
        site.wait_ready()?;
        Ok(site)
    }

    /// Returns the hosts' addresses for callers.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(EntryHost::callers).collect()
    }

    fn wait_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for host in &self.hosts {
            let url = format!("http://{}/readyz", host.operators());
            while ureq::get(&url).call().is_err() {
                if Instant::now() > deadline {
                    bail!("host {} did not become ready in time", host.operators());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

fn host_settings(host: u32, hall: u16, port: u16, platform: &str) -> eyre::Result<NodeSettings> {
    let text = format!(
        "host = {host}\nhall = {hall}\ncallers = \"127.0.0.1:{port}\"\n\
         peers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n\
         [log]\nlevel = \"warn\"\n[times]\nhosts_every_ms = 500\n"
    );
    NodeSettings::parse(&text).map_err(|errors| eyre!("built-in settings: {}", errors[0]))
}

/// Publishes a tree as the first revision.
fn publish_tree(platform: &str, tree: &SettingsTree) -> eyre::Result<()> {
    let record = ChangeRecord {
        format: RECORD_FORMAT,
        change_id: String::from("dev"),
        base_revision: 0,
        author: String::from("dev"),
        message: String::from("first tree"),
        edits: SettingsTree::default().diff_edits(tree),
    };
    let log = LogSource { platform: platform.to_owned(), host: None };
    PlatformLog::new(&log).publish(&record)?.result?;
    Ok(())
}
