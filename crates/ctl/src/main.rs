//! `hornbeam`, the operators' command line.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    hornbeam_ctl::main()
}
