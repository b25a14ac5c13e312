//! Settings that every command takes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::{Parser, ShellComp, construct, long};
use eyre::{Result, WrapErr};
use hornbeam_http::{ClientOptions, HttpClient};

use crate::client::Api;
use crate::exit::UsageError;

/// `Format` is how results are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON document per result and line.
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

/// `Addresses` is a list of `ip:port`, separated by commas.
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

/// `Globals` are the settings that every command takes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Globals {
    /// How results are printed; default text.
    pub(crate) output: Format,
    /// HTTP addresses of control hosts; default none.
    pub(crate) control: Addresses,
    /// HTTP addresses of entry hosts; default none.
    pub(crate) entry: Addresses,
    /// File with the operators' credential; default none.
    pub(crate) credential_file: Option<PathBuf>,
}

impl Globals {
    /// Creates a client of the control hosts.
    ///
    /// # Errors
    /// If no control host is given or the credential cannot be read.
    pub(crate) fn control_api(&self, within: Duration) -> Result<Api> {
        required(&self.control, "--control", "HORNBEAM_CONTROL")?;
        self.api(self.control.0.clone(), within)
    }

    /// Creates a client of the entry hosts.
    ///
    /// # Errors
    /// If no entry host is given or the credential cannot be read.
    pub(crate) fn entry_api(&self, within: Duration) -> Result<Api> {
        required(&self.entry, "--entry", "HORNBEAM_ENTRY")?;
        self.api(self.entry.0.clone(), within)
    }

    /// Creates a client of some addresses.
    ///
    /// # Errors
    /// If the credential cannot be read.
    pub(crate) fn api(&self, addresses: Vec<SocketAddr>, within: Duration) -> Result<Api> {
        let options = ClientOptions {
            credential: self.credential()?,
            ..ClientOptions::default()
        };
        Ok(Api::new(HttpClient::new(options)?, addresses, within))
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

fn required(addresses: &Addresses, flag: &str, variable: &str) -> Result<()> {
    if addresses.0.is_empty() {
        let message = format!("no address is given; use {flag} or set {variable}");
        return Err(UsageError(message).into());
    }
    Ok(())
}

/// Parses the settings that every command takes.
pub(crate) fn globals() -> impl Parser<Globals> {
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
    construct!(Globals {
        output,
        control,
        entry,
        credential_file
    })
}
