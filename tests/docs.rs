//! Checks that the files, metrics and commands named in the Markdown pages exist.

use radishpin_cli::Command;
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Finds all files below `directory` whose name ends with `suffix`, except build output and hidden
/// directories.
fn files(directory: &Path, suffix: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            found.extend(files(&path, suffix));
        } else if name.ends_with(suffix) {
            found.push(path);
        }
    }
    found
}

fn pages() -> Vec<(PathBuf, String)> {
    let pages = files(&root(), ".md").into_iter();
    pages
        .map(|path| {
            let text = fs::read_to_string(&path).expect("a page");
            (path, text)
        })
        .collect()
}

/// Collects the texts that follow `prefix`, up to the next `end`.
fn texts_between<'a>(text: &'a str, prefix: &str, end: char) -> BTreeSet<&'a str> {
    let pieces = text.split(prefix).skip(1);
    pieces.filter_map(|piece| piece.split(end).next()).collect()
}

/// Collects the words in inline code.
fn code_words(text: &str) -> BTreeSet<&str> {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.flat_map(str::split_whitespace).collect()
}

#[test]
fn links_lead_to_files() {
    for (page, text) in pages() {
        let directory = page.parent().unwrap();
        for link in texts_between(&text, "](", ')') {
            let file = link.split('#').next().unwrap_or_default();
            let is_local = !link.starts_with("http") && !file.is_empty();
            assert!(
                !is_local || directory.join(file).exists(),
                "{page:?}: {link}"
            );
        }
    }
}

#[test]
fn named_source_files_exist() {
    let mut sources = files(&root(), ".rs");
    sources.extend(files(&root(), ".proto"));
    for (page, text) in pages() {
        let is_source = |word: &&str| word.ends_with(".rs") || word.ends_with(".proto");
        for word in code_words(&text).into_iter().filter(is_source) {
            // Patterns, file extensions and file names without a path do not name one file.
            if word.contains('*') || word.starts_with('.') || word == "mod.rs" || word == "lib.rs" {
                continue;
            }
            // A page may omit the directories of a path that it has given in full earlier.
            let exists = sources.iter().any(|source| source.ends_with(word));
            assert!(exists, "{page:?}: {word}");
        }
    }
}

#[test]
fn named_metrics_exist() {
    let sources: String = files(&root().join("crates"), ".rs")
        .iter()
        .map(|path| fs::read_to_string(path).expect("a source file"))
        .collect();
    for (page, text) in pages() {
        for word in code_words(&text) {
            let name = word.split('{').next().unwrap_or_default();
            let is_metric = name.starts_with("radishpin_") && !name.contains("::");
            let is_crate = root().join("crates").join(name.replace('_', "-")).exists();
            let quoted = format!("\"{name}\"");
            let exists = !is_metric || is_crate || sources.contains(&quoted);
            assert!(exists, "{page:?}: {name}");
        }
    }
}

#[test]
fn named_commands_exist() {
    for (page, text) in pages() {
        for command in texts_between(&text, "`radishpin ", '`') {
            let name = command.split_whitespace().next().unwrap_or_default();
            let exists = Command::from_name(name).is_some() || name == "COMMAND";
            assert!(exists, "{page:?}: radishpin {command}");
        }
    }
}
