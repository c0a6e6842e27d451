//! The command line.

use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

xflags::xflags! {
    /// A serving layer for very many LoRA adapters on a shared base model.
    cmd reedford {
        /// Runs an entry instance.
        cmd serve {
            /// YAML file of the settings.
            required --config file: PathBuf
            /// Only checks the settings.
            optional --check
        }
        /// Runs a node on the users' platform.
        cmd gateway {
            /// Settings file; the variable REEDFORD_CONFIG names it otherwise.
            optional --config file: PathBuf
            /// Only checks the settings.
            optional --check
        }
        /// Shows what the users' platform's store holds of a fleet.
        cmd fleet {
            /// Addresses of the platform's store, IP:PORT,...
            required --platform addresses: Addresses
        }
        /// The rules file.
        cmd rules {
            /// Reports all faults of a file.
            cmd check {
                /// The rules file.
                required file: PathBuf
            }
            /// Shows how a file differs from the rules in force.
            cmd diff {
                /// The rules file.
                required file: PathBuf
                /// Addresses of the platform's service, IP:PORT,...
                required --platform addresses: Addresses
            }
            /// Puts a file in force.
            cmd apply {
                /// The rules file.
                required file: PathBuf
                /// Addresses of the platform's service, IP:PORT,...
                required --platform addresses: Addresses
                /// Revision that the file was edited from; 0 when there was none.
                required --from revision: u64
                /// The text of that revision, to show what others changed since.
                optional --base file: PathBuf
                /// Waits until the rules are in force at all instances.
                optional --wait
                /// Operators' addresses of all instances, IP:PORT,...
                optional --operators addresses: Addresses
                /// File that holds the operators' token.
                optional --token-file file: PathBuf
                /// Seconds to wait, 30 when not given.
                optional --timeout seconds: u32
            }
            /// Prints the rules in force, and their revision on standard error.
            cmd show {
                /// Addresses of the platform's service, IP:PORT,...
                required --platform addresses: Addresses
            }
        }
        /// Shows the state of entry instances.
        cmd status {
            /// Operators' addresses of the instances, IP:PORT,...
            required --operators addresses: Addresses
            /// File that holds the operators' token.
            required --token-file file: PathBuf
        }
        /// Shows where adapters are resident.
        cmd adapters {
            /// Operators' addresses of the instances, IP:PORT,...
            required --operators addresses: Addresses
            /// File that holds the operators' token.
            required --token-file file: PathBuf
        }
    }
}

/// One or more addresses, separated by commas.
#[derive(Clone, Debug)]
pub(crate) struct Addresses(pub(crate) Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let addresses = text.split(',').map(str::parse).collect::<Result<_, _>>()?;
        Ok(Self(addresses))
    }
}
