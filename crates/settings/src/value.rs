//! Value types of settings files.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use dw_base::DurationMs;
use dw_base::ParseNumberError;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A string is not a socket address.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not an address: write IP:PORT, for example 127.0.0.1:8080")]
pub struct ParseAddrError(String);

/// An IP address with a port, written `IP:PORT`. Host names are not resolved.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Addr(pub SocketAddr);

/// A duration, written as a whole number and a unit, for example `250ms`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct DurationSetting(pub DurationMs);

impl fmt::Display for Addr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for DurationSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Addr {
    type Err = ParseAddrError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |_| ParseAddrError(text.chars().take(64).collect());
        text.parse().map(Addr).map_err(error)
    }
}

impl FromStr for DurationSetting {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(DurationSetting)
    }
}

impl TryFrom<String> for Addr {
    type Error = ParseAddrError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl TryFrom<String> for DurationSetting {
    type Error = ParseNumberError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Addr> for String {
    fn from(addr: Addr) -> String {
        addr.to_string()
    }
}

impl From<DurationSetting> for String {
    fn from(duration: DurationSetting) -> String {
        duration.to_string()
    }
}
