//! Options of the command line.

use std::path::PathBuf;

use thiserror::Error;

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// As tables.
    Table,
    /// As the JSON of the administration API.
    Json,
}

/// Where the statements come from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// From the command line.
    Text(String),
    /// From a file; `-` is the standard input.
    File(PathBuf),
    /// From a prompt.
    Interactive,
}

/// Checked options.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Address of a router's administration port.
    pub router: String,
    /// File that holds the operator's token.
    pub token_file: Option<PathBuf>,
    /// How results are printed.
    pub format: Format,
    /// Whether to show only what would change.
    pub dry_run: bool,
    /// Configuration version on which the change is based; the router's if absent.
    pub base_version: Option<u64>,
    /// Id of the change, to send a change again whose outcome is unknown.
    pub change_id: Option<String>,
    /// Where the statements come from.
    pub source: Source,
}

/// The command line is wrong.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}; see dandelionwall --help")]
pub struct UsageError(String);

fn definition() -> getopts::Options {
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
            "file that holds the operator's token",
            "FILE",
        )
        .optopt(
            "f",
            "file",
            "file of statements, - for standard input",
            "FILE",
        )
        .optopt("o", "format", "table (default) or json", "FORMAT")
        .optflag("n", "dry-run", "show what would change, and change nothing")
        .optopt(
            "",
            "change-id",
            "send a change again whose outcome is unknown",
            "ID",
        )
        .optopt(
            "",
            "base-version",
            "refuse if what is changed is newer than this",
            "N",
        )
        .optflag("h", "help", "print this text");
    options
}

/// Returns the text that explains the command line.
pub fn usage() -> String {
    definition().usage(
        "Usage: dandelionwall --router HOST:PORT [options] [STATEMENT ...]\n\n\
         Without a statement and a file, statements are read from a prompt.",
    )
}

impl Options {
    /// Parses the arguments after the program name; returns nothing if help is wanted.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is unknown, missing or contradicts another.
    pub fn parse(args: &[String]) -> Result<Option<Options>, UsageError> {
        let matches = definition()
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

fn format(text: Option<&str>) -> Result<Format, UsageError> {
    match text {
        None | Some("table") => Ok(Format::Table),
        Some("json") => Ok(Format::Json),
        Some(other) => Err(UsageError(format!(
            "format {other:?} does not exist: use table or json"
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
