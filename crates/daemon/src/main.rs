//! `hornbeamd`, the daemon of entry hosts and control hosts.

#![forbid(unsafe_code)]

fn main() {}
