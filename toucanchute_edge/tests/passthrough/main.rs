//! The gateway against backend servers that are scripted byte by byte.

mod answers;
mod callers;
mod endless;
mod ends;
mod live;
mod repeats;
mod streams;
mod support;
mod words;
