//! Command-line flags and environment variables, read as text. `settings`
//! validates them, so that all findings are reported together.

use bpaf::{OptionParser, Parser, construct, long};

/// `Setting` names the flag and the environment variable of one setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Setting {
    /// Name of the flag without dashes.
    pub(crate) flag: &'static str,
    /// Name of the environment variable.
    pub(crate) variable: &'static str,
}

/// Generates the settings and the struct that holds their unparsed values.
macro_rules! settings {
    ($($(#[doc = $doc:literal])+ $field:ident = $flag:literal, $variable:literal;)+) => {
        /// `Flags` holds the unparsed value of each setting that was given.
        #[derive(Clone, Debug, Default, Eq, PartialEq)]
        pub(crate) struct Flags {
            $($(#[doc = $doc])+ pub(crate) $field: Option<String>,)+
        }

        /// Names of the settings.
        pub(crate) mod names {
            use super::Setting;
            $($(#[doc = $doc])+
            // Justification: the constants have the names of the fields, and a
            // macro by example cannot change the case of a name.
            #[allow(non_upper_case_globals)]
            pub(crate) const $field: Setting = Setting { flag: $flag, variable: $variable };)+
        }

        /// Builds the parser of the command line.
        pub(crate) fn parser() -> OptionParser<Flags> {
            $(let $field = long($flag)
                .env($variable)
                .help(concat!($($doc),+))
                .argument::<String>("VALUE")
                .optional();)+
            construct!(Flags { $($field),+ })
                .to_options()
                .version(env!("CARGO_PKG_VERSION"))
                .descr("Daemon of entry hosts and control hosts")
        }
    };
}

settings! {
    /// Role of the process: entry, control, fleet-entry or fleet-control. The last two read their settings from --settings-file.
    role = "role", "HORNBEAM_ROLE";
    /// Settings file of a fleet-entry or fleet-control host, in TOML.
    settings_file = "settings-file", "HORNBEAM_SETTINGS_FILE";
    /// Id of this host, unique in the system.
    host_id = "host-id", "HORNBEAM_HOST_ID";
    /// Failure domain of an entry host.
    failure_domain = "failure-domain", "HORNBEAM_FAILURE_DOMAIN";
    /// Address for HTTP, as ip:port.
    http_listen = "http-listen", "HORNBEAM_HTTP_LISTEN";
    /// Address for links between the system's own processes, as ip:port.
    link_listen = "link-listen", "HORNBEAM_LINK_LISTEN";
    /// Link addresses of the other entry hosts, separated by commas.
    peers = "peers", "HORNBEAM_PEERS";
    /// Control hosts as id=ip:port with their link addresses, separated by commas.
    control_hosts = "control-hosts", "HORNBEAM_CONTROL_HOSTS";
    /// Id of a control host's replica; one of those in --control-hosts.
    replica_id = "replica-id", "HORNBEAM_REPLICA_ID";
    /// Whether the control group is being formed: yes or no; default no. Without it, a control host with an empty data folder joins without a vote.
    new_group = "new-group", "HORNBEAM_NEW_GROUP";
    /// Data folder of a control host.
    data_folder = "data-folder", "HORNBEAM_DATA_FOLDER";
    /// File with the shared secret of the system's own processes.
    link_credential_file = "link-credential-file", "HORNBEAM_LINK_CREDENTIAL_FILE";
    /// File with the operators' credential.
    operator_credential_file = "operator-credential-file", "HORNBEAM_OPERATOR_CREDENTIAL_FILE";
    /// Format of the log on standard error: text or json; default text.
    log_format = "log-format", "HORNBEAM_LOG_FORMAT";
    /// Lowest level that is logged: error, warn, info, debug or trace; default info.
    log_level = "log-level", "HORNBEAM_LOG_LEVEL";
    /// Placement policy of an entry host: leased, random or two-choices; default leased.
    placement = "placement", "HORNBEAM_PLACEMENT";
    /// Seed of random choices, a whole number; default 0.
    seed = "seed", "HORNBEAM_SEED";
}
