//! Command-line options.

use std::path::PathBuf;

use thiserror::Error;

/// Output format of results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Tables.
    Table,
    /// The JSON response of the administration API.
    Json,
}

/// Source of the statements.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The command line.
    Text(String),
    /// A file; `-` is standard input.
    File(PathBuf),
    /// An interactive prompt.
    Interactive,
}

/// Parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Address of a router's administration port.
    pub router: String,
    /// File that contains the token of the operator.
    pub token_file: Option<PathBuf>,
    /// Output format of results.
    pub format: Format,
    /// Whether to show the effect of a change without applying it.
    pub dry_run: bool,
    /// Configuration version on which the change is based; the current version of the router if
    /// `None`.
    pub base_version: Option<u64>,
    /// Id of the change, for retrying a change whose outcome is unknown; generated if `None`.
    pub change_id: Option<String>,
    /// Source of the statements.
    pub source: Source,
}

/// The command line is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}; see dandelionwall --help")]
pub struct UsageError(pub(crate) String);

fn option_definitions() -> getopts::Options {
    let mut options = getopts::Options::new();
    options
        .optopt(
            "r",
            "router",
            "administration address of any router",
            "HOST:PORT",
        )
        .optopt(
            "t",
            "token-file",
            "file that contains the token of the operator",
            "FILE",
        )
        .optopt(
            "f",
            "file",
            "file of statements, - for standard input",
            "FILE",
        )
        .optopt("o", "format", "table (default) or json", "FORMAT")
        .optflag(
            "n",
            "dry-run",
            "show the effect of a change without applying it",
        )
        .optopt(
            "",
            "change-id",
            "id of the change, to retry one whose outcome is unknown",
            "ID",
        )
        .optopt(
            "",
            "base-version",
            "reject the change if it modifies an object newer than this version",
            "N",
        )
        .optflag("h", "help", "print this help");
    options
}

/// Returns the help text of the command line.
pub fn usage() -> String {
    option_definitions().usage(
        "Usage: dandelionwall --router HOST:PORT [options] [STATEMENT ...]\n\n\
         Without a statement or a file, statements are read from an interactive prompt.\n\n\
         dandelionwall --gateway HOST:PORT ... explains where a request would go; see\n\
         dandelionwall --gateway --help.",
    )
}

impl Options {
    /// Parses the arguments after the program name; returns `None` if `--help` is given.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is unknown, missing or conflicts with another one.
    pub fn parse(args: &[String]) -> Result<Option<Options>, UsageError> {
        let matches = option_definitions()
            .parse(args)
            .map_err(|error| UsageError(error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(None);
        }
        let router = matches
            .opt_str("router")
            .ok_or_else(|| UsageError("--router is missing".to_owned()))?;
        let source = source(matches.opt_str("file"), &matches.free)?;
        let change_id = matches.opt_str("change-id");
        if source == Source::Interactive && change_id.is_some() {
            return Err(UsageError(
                "--change-id needs a statement or --file".to_owned(),
            ));
        }
        Ok(Some(Options {
            router,
            token_file: matches.opt_str("token-file").map(PathBuf::from),
            format: format(matches.opt_str("format").as_deref())?,
            base_version: base_version(matches.opt_str("base-version").as_deref())?,
            dry_run: matches.opt_present("dry-run"),
            change_id,
            source,
        }))
    }
}

pub(crate) fn format(text: Option<&str>) -> Result<Format, UsageError> {
    match text {
        None | Some("table") => Ok(Format::Table),
        Some("json") => Ok(Format::Json),
        Some(other) => Err(UsageError(format!(
            "unknown format {other:?}: use table or json"
        ))),
    }
}

fn base_version(text: Option<&str>) -> Result<Option<u64>, UsageError> {
    let parsed = text.map(str::parse).transpose();
    parsed.map_err(|_| UsageError("--base-version must be a whole number".to_owned()))
}

fn source(file: Option<String>, words: &[String]) -> Result<Source, UsageError> {
    match (file, words) {
        (None, []) => Ok(Source::Interactive),
        (None, words) => Ok(Source::Text(words.join(" "))),
        (Some(file), []) => Ok(Source::File(PathBuf::from(file))),
        (Some(_), _) => Err(UsageError(
            "give either --file or a statement, not both".to_owned(),
        )),
    }
}
