//! The process of an entry host: callers' side, backend servers' side, links to other routers and
//! the platform's client, around the state machines of `toucanchute_core`.

mod link;
