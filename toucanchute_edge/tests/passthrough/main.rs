//! The gateway against backend servers that are scripted byte by byte.

mod answers;
mod callers;
mod ends;
mod repeats;
mod streams;
mod support;
