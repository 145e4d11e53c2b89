//! Command-line options of an explanation.

use std::path::PathBuf;

use dw_api::explain::ExplainRequest;
use dw_api::explain::Header;

use crate::options::format;
use crate::options::Format;
use crate::options::UsageError;

/// Parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainOptions {
    /// Address of a gateway's explain port.
    pub gateway: String,
    /// File that contains the token of the operator.
    pub token_file: Option<PathBuf>,
    /// Output format.
    pub format: Format,
    /// Request to explain.
    pub request: ExplainRequest,
}

fn option_definitions() -> getopts::Options {
    let mut options = getopts::Options::new();
    options
        .optopt("g", "gateway", "explain port of a gateway", "HOST:PORT")
        .optopt(
            "t",
            "token-file",
            "file that contains the token of the operator",
            "FILE",
        )
        .optmulti(
            "H",
            "header",
            "header of the request, as a caller sends it",
            "NAME: VALUE",
        )
        .optopt(
            "m",
            "method",
            "method of the request (default POST)",
            "METHOD",
        )
        .optopt("b", "body-bytes", "length of the body (default 0)", "N")
        .optopt("o", "format", "table (default) or json", "FORMAT")
        .optflag("h", "help", "print this help");
    options
}

/// Returns the help text of the command line.
pub(crate) fn usage() -> String {
    option_definitions().usage(
        "Usage: dandelionwall --gateway HOST:PORT [options] HOST/PATH\n\n\
         Explains where a request would go now, and why, without sending it.",
    )
}

impl ExplainOptions {
    /// Parses the arguments after the program name; returns `None` if `--help` is given.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is unknown, missing or has no valid value.
    pub fn parse(args: &[String]) -> Result<Option<ExplainOptions>, UsageError> {
        if args.iter().any(|arg| arg == "--help" || arg == "-h") {
            return Ok(None);
        }
        let matches = option_definitions()
            .parse(args)
            .map_err(|error| UsageError(error.to_string()))?;
        let gateway = matches.opt_str("gateway");
        let gateway = gateway.ok_or_else(|| UsageError("--gateway is missing".to_owned()))?;
        let [target] = matches.free.as_slice() else {
            return Err(UsageError("give one HOST/PATH".to_owned()));
        };
        let target = target.strip_prefix("http://").unwrap_or(target);
        let (host, path) = target.split_once('/').unwrap_or((target, ""));
        let headers = matches.opt_strs("header");
        let headers: Result<_, _> = headers.iter().map(|text| header(text)).collect();
        let body_bytes = matches
            .opt_get("body-bytes")
            .map_err(|_| UsageError("--body-bytes must be a whole number".to_owned()))?;
        Ok(Some(ExplainOptions {
            gateway,
            token_file: matches.opt_str("token-file").map(PathBuf::from),
            format: format(matches.opt_str("format").as_deref())?,
            request: ExplainRequest {
                body_bytes,
                headers: headers?,
                host: host.to_owned(),
                method: matches.opt_str("method"),
                path: format!("/{path}"),
            },
        }))
    }
}

fn header(text: &str) -> Result<Header, UsageError> {
    let (name, value) = text
        .split_once(':')
        .ok_or_else(|| UsageError(format!("{text:?} is not a header: write NAME: VALUE")))?;
    Ok(Header {
        name: name.trim().to_owned(),
        value: value.trim().to_owned(),
    })
}
