//! Complete hosts over real sockets, against stand-ins that use the plain codec.

mod announcements;
mod recheck_before_send;
mod configuration;
mod quarantine;
mod codec;
mod engine;
mod engine_faults;
mod events;
mod fleet;
mod following;
mod malformed_requests;
mod limits;
mod store_restore;
mod organisations;
mod placement;
mod placer_start;
mod engine_restart;
mod store_rollback;
mod site;
mod stale_reader;
mod stopping;
mod store;
mod rollback_histories;
mod streams;
mod suspended;
mod reserved_fields;
