//! A whole host over real sockets, against stand-ins that speak the project's plain dialect.

mod announcements;
mod before_sending;
mod configuration;
mod deadly;
mod dialect;
mod engine;
mod engines;
mod events;
mod fleet;
mod following;
mod hostile;
mod limits;
mod older_copy;
mod organisations;
mod placement;
mod reborn;
mod rollback;
mod site;
mod stale_reader;
mod stopping;
mod store;
mod store_falls;
mod streams;
mod suspended;
mod system_fields;
