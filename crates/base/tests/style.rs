//! Checks rules of the house style that the stable formatter cannot check.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn rust_files(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("directory is readable") {
        let path = entry.expect("entry is readable").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if path.is_dir() && name != "generated" && name != "target" {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

fn sources() -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    rust_files(&root, &mut files);
    assert!(files.len() > 20, "the source tree was not found");
    files
        .into_iter()
        .map(|path| {
            let text = fs::read_to_string(&path).expect("source is readable");
            (path, text)
        })
        .collect()
}

fn report(faults: &[String]) {
    assert!(faults.is_empty(), "\n{}", faults.join("\n"));
}

fn is_use(line: &str) -> bool {
    line.starts_with("use ") || line.starts_with("pub use ")
}

/// Returns 0 for std, 1 for other crates, 2 for own modules.
fn group(line: &str) -> u8 {
    let path = line.trim_start_matches("pub ").trim_start_matches("use ");
    match path.split("::").next().unwrap_or_default() {
        "std" | "core" | "alloc" => 0,
        "crate" | "self" | "super" => 2,
        _ => 1,
    }
}

/// Guards against imports that name several items in one line.
#[test]
fn one_import_a_line() {
    let mut faults = Vec::new();
    for (path, text) in sources() {
        for (index, line) in text.lines().enumerate() {
            if is_use(line.trim_start()) && line.contains('{') {
                faults.push(format!("{}:{}: {line}", path.display(), index + 1));
            }
        }
    }
    report(&faults);
}

/// Guards against import groups that are mixed or out of order.
#[test]
fn imports_in_three_groups() {
    let mut faults = Vec::new();
    for (path, text) in sources() {
        let lines: Vec<&str> = text.lines().collect();
        let mut previous: Option<(usize, u8)> = None;
        for (index, line) in lines.iter().enumerate() {
            if !line.starts_with("use ") {
                continue;
            }
            let current = group(line);
            if let Some((at, before)) = previous {
                let adjacent = index == at + 1;
                let fault = current < before || (adjacent && current != before);
                if fault {
                    faults.push(format!("{}:{}: {line}", path.display(), index + 1));
                }
            }
            previous = Some((index, current));
        }
    }
    report(&faults);
}

/// Guards against derives that are not in alphabetical order.
#[test]
fn derives_in_alphabetical_order() {
    let mut faults = Vec::new();
    for (path, text) in sources() {
        for part in text.split("#[derive(").skip(1) {
            let list = part.split(")]").next().unwrap_or_default();
            let names: Vec<&str> = list
                .split(',')
                .map(|name| name.trim().rsplit("::").next().unwrap_or_default())
                .filter(|name| !name.is_empty())
                .collect();
            if !names.is_sorted() {
                faults.push(format!("{}: derive({list})", path.display()));
            }
        }
    }
    report(&faults);
}

/// Guards against tests inside source files.
#[test]
fn tests_live_in_test_files() {
    let attribute = concat!("#[cfg", "(test)]");
    let faults: Vec<String> = sources()
        .into_iter()
        .filter(|(path, text)| {
            !path.to_string_lossy().contains("/tests/") && text.contains(attribute)
        })
        .map(|(path, _)| path.display().to_string())
        .collect();
    report(&faults);
}
