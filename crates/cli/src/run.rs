//! Execution of the command line.

use std::fs;
use std::io::Read;
use std::path::Path;

use dw_api::admin::StatementRequest;
use eyre::Result;
use eyre::WrapErr;
use rustyline::error::ReadlineError;
use rustyline::DefaultEditor;

use crate::client::Client;
use crate::client::ClientError;
use crate::explain;
use crate::options::usage;
use crate::options::Format;
use crate::options::Options;
use crate::options::Source;
use crate::options::UsageError;
use crate::render::render_error;
use crate::render::render_response;

const PROMPT: &str = "dandelionwall> ";

/// Exit status of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// All statements succeeded.
    Success = 0,
    /// A statement was rejected, or no valid response was received.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
}

/// Runs the program with the arguments after the program name.
pub fn run(args: &[String]) -> ExitStatus {
    if explain::is_meant(args) {
        return explain::run(args);
    }
    run_parsed(Options::parse(args), usage, execute)
}

/// Executes a parsed command line, or shows its help text or what is wrong with it.
pub(crate) fn run_parsed<T>(
    parsed: std::result::Result<Option<T>, UsageError>,
    usage: impl FnOnce() -> String,
    execute: impl FnOnce(&T) -> Result<ExitStatus>,
) -> ExitStatus {
    let options = match parsed {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{}", usage());
            return ExitStatus::Success;
        }
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Usage;
        }
    };
    execute(&options).unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitStatus::Refused
    })
}

fn execute(options: &Options) -> Result<ExitStatus> {
    let token = options.token_file.as_deref().map(read_token).transpose()?;
    let client = Client::new(&options.router, token);
    match &options.source {
        Source::Text(text) => send(&client, options, text),
        Source::File(path) => send(&client, options, &read_statements(path)?),
        Source::Interactive => run_prompt(&client, options),
    }
}

pub(crate) fn read_token(path: &Path) -> Result<String> {
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("token file {} cannot be read", path.display()))?;
    Ok(text.trim().to_owned())
}

fn read_statements(path: &Path) -> Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(path)
        .wrap_err_with(|| format!("statement file {} cannot be read", path.display()))
}

fn run_prompt(client: &Client, options: &Options) -> Result<ExitStatus> {
    let mut editor = DefaultEditor::new().wrap_err("the terminal cannot be used; use --file -")?;
    let mut status = ExitStatus::Success;
    loop {
        match editor.readline(PROMPT) {
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) => {
                editor.add_history_entry(&line)?;
                status = send(client, options, &line)?;
            }
            Err(ReadlineError::Interrupted) => {}
            Err(ReadlineError::Eof) => return Ok(status),
            Err(error) => return Err(error.into()),
        }
    }
}

fn send(client: &Client, options: &Options, text: &str) -> Result<ExitStatus> {
    let change_id = options.change_id.clone();
    let change_id = change_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let request = StatementRequest {
        base_version: options.base_version,
        change_id: Some(change_id.clone()),
        dry_run: Some(options.dry_run),
        text: text.to_owned(),
    };
    match client.send(&request) {
        Ok(response) => {
            match options.format {
                Format::Table => print!("{}", render_response(&response)),
                Format::Json => println!("{}", serde_json::to_string(&response)?),
            }
            Ok(ExitStatus::Success)
        }
        Err(ClientError::Refused(error)) => {
            match options.format {
                Format::Table => eprint!("{}", render_error(text, &error)),
                Format::Json => eprintln!("{}", serde_json::to_string(&error)?),
            }
            Ok(ExitStatus::Refused)
        }
        Err(error @ ClientError::NoResponse { .. }) => {
            eprintln!("error: {error}");
            eprintln!(
                "help: try another router; if the change may have been applied, send it again with \
                 --change-id {change_id}, which never applies it twice"
            );
            Ok(ExitStatus::Refused)
        }
    }
}
