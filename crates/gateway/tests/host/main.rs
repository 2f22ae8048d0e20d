//! A whole host over real sockets, against stand-ins that speak the project's plain dialect.

mod configuration;
mod before_sending;
mod deadly;
mod dialect;
mod engine;
mod engines;
mod events;
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
