//! Options that every command takes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::{Parser, ShellComp, construct, long};
use eyre::{Result, WrapErr};
use hornbeam_http::{ClientOptions, HttpClient};

use crate::client::ApiClient;
use crate::exit::UsageError;

/// `Format` is the output format of results.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON document per result, one per line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is not text or json")),
        }
    }
}

/// `Addresses` is a comma-separated list of `ip:port`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Addresses(pub(crate) Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        let parse = |part: &str| {
            let part = part.trim();
            part.parse()
                .map_err(|_| format!("`{part}` is not an address ip:port"))
        };
        text.split(',')
            .map(parse)
            .collect::<std::result::Result<_, _>>()
            .map(Self)
    }
}

/// `GlobalOptions` are the options that every command takes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct GlobalOptions {
    /// Output format; default text.
    pub(crate) output: Format,
    /// HTTP addresses of the control hosts; default none.
    pub(crate) control: Addresses,
    /// HTTP addresses of the entry hosts; default none.
    pub(crate) entry: Addresses,
    /// File with the operators' credential; default none.
    pub(crate) credential_file: Option<PathBuf>,
}

impl GlobalOptions {
    /// Creates a client of the control hosts with a request timeout.
    ///
    /// # Errors
    /// If no control host is given or the credential cannot be read.
    pub(crate) fn control_api(&self, timeout: Duration) -> Result<ApiClient> {
        require_address(&self.control, "--control", "HORNBEAM_CONTROL")?;
        self.api(self.control.0.clone(), timeout)
    }

    /// Creates a client of the entry hosts with a request timeout.
    ///
    /// # Errors
    /// If no entry host is given or the credential cannot be read.
    pub(crate) fn entry_api(&self, timeout: Duration) -> Result<ApiClient> {
        require_address(&self.entry, "--entry", "HORNBEAM_ENTRY")?;
        self.api(self.entry.0.clone(), timeout)
    }

    /// Creates a client of the given hosts with a request timeout.
    ///
    /// # Errors
    /// If the credential cannot be read.
    pub(crate) fn api(&self, addresses: Vec<SocketAddr>, timeout: Duration) -> Result<ApiClient> {
        let options = ClientOptions {
            credential: self.credential()?,
            ..ClientOptions::default()
        };
        Ok(ApiClient::new(
            HttpClient::new(options)?,
            addresses,
            timeout,
        ))
    }

    fn credential(&self) -> Result<Option<String>> {
        let Some(path) = &self.credential_file else {
            return Ok(None);
        };
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read the credential file {}", path.display()))?;
        Ok(Some(text.trim().to_owned()))
    }
}

fn require_address(addresses: &Addresses, flag: &str, variable: &str) -> Result<()> {
    if addresses.0.is_empty() {
        let message = format!("no address is given; use {flag} or set {variable}");
        return Err(UsageError(message).into());
    }
    Ok(())
}

/// Parses the options that every command takes.
pub(crate) fn globals() -> impl Parser<GlobalOptions> {
    let output = long("output")
        .env("HORNBEAM_OUTPUT")
        .help("How results are printed: text (default) or json")
        .argument::<Format>("text|json")
        .fallback(Format::Text);
    let control = long("control")
        .env("HORNBEAM_CONTROL")
        .help("HTTP addresses of control hosts, ip:port, separated by commas")
        .argument::<Addresses>("ADDRESSES")
        .fallback(Addresses::default());
    let entry = long("entry")
        .env("HORNBEAM_ENTRY")
        .help("HTTP addresses of entry hosts, ip:port, separated by commas")
        .argument::<Addresses>("ADDRESSES")
        .fallback(Addresses::default());
    let credential_file = long("credential-file")
        .env("HORNBEAM_CREDENTIAL_FILE")
        .help("File with the operators' credential")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    construct!(GlobalOptions {
        output,
        control,
        entry,
        credential_file
    })
}
