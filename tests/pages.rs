//! The pages name only what exists.

use std::collections::HashSet;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(page: &str) -> String {
    std::fs::read_to_string(root().join(page)).unwrap_or_else(|e| panic!("{page}: {e}"))
}

fn sources(dir: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => found.extend(sources(&path)),
            false => found.push(path),
        }
    }
    found.retain(|path| path.extension().is_some_and(|kind| kind == "rs"));
    found
}

/// Names of all functions under `tests`.
fn tests() -> HashSet<String> {
    let texts = sources(&root().join("tests"))
        .into_iter()
        .map(std::fs::read_to_string);
    let mut names = HashSet::new();
    for text in texts {
        let text = text.unwrap();
        let words: Vec<_> = text.split_whitespace().collect();
        let pairs = words.windows(2).filter(|pair| pair[0] == "fn");
        names.extend(pairs.map(|pair| pair[1].split('(').next().unwrap_or("").to_owned()));
    }
    names
}

/// What stands in backticks in table cells.
fn quoted_in_tables(page: &str) -> Vec<&str> {
    let rows = page.lines().filter(|line| line.starts_with('|'));
    rows.flat_map(|row| row.split('`').skip(1).step_by(2))
        .collect()
}

#[test]
fn every_test_that_a_proof_names_exists() {
    let (page, tests) = (read("docs/PROOFS.md"), tests());

    for name in quoted_in_tables(&page) {
        assert!(
            tests.contains(name),
            "docs/PROOFS.md names {name}, which is no test"
        );
    }
}

#[test]
fn every_module_stands_in_the_architecture() {
    let page = read("docs/ARCHITECTURE.md");

    for line in read("src/lib.rs").lines() {
        let Some(module) = line.strip_prefix("pub mod ") else {
            continue;
        };
        let module = module.trim_end_matches(';');
        assert!(
            page.contains(&format!("`{module}`")),
            "docs/ARCHITECTURE.md lacks {module}"
        );
    }
}

#[test]
fn every_page_that_a_page_links_to_exists() {
    for page in ["README.md", "docs/CAPACITY.md", "docs/OPERATIONS.md"] {
        let text = read(page);
        let base = root().join(page);
        for link in text.split("](").skip(1) {
            let target = link.split(')').next().unwrap();
            let path = base.parent().unwrap().join(target);
            assert!(
                target.starts_with("http") || path.exists(),
                "{page} links to {target}"
            );
        }
    }
}
