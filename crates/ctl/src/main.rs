//! `hornbeam`, the operators' command line.

#![forbid(unsafe_code)]

fn main() {}
