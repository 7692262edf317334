//! Checks that the tests named in docs/PROMISES.md exist.

use std::path::Path;

fn sources(dir: &Path, text: &mut String) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|e| e == "rs") {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

#[test]
fn every_test_that_the_page_names_is_there() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/PROMISES.md")).unwrap();
    let mut tests = String::new();
    sources(&root.join("tests"), &mut tests);
    for folder in [
        "crates/core",
        "crates/spread",
        "crates/consensus",
        "crates/wire",
        "platform",
    ] {
        sources(&root.join(folder).join("tests"), &mut tests);
    }
    let lines = page.lines().filter_map(|l| l.strip_prefix("- `"));
    let named: Vec<_> = lines.map(|l| l.trim_end_matches('`')).collect();
    let missing: Vec<_> = named
        .iter()
        .filter(|name| !tests.contains(&format!("fn {name}(")))
        .collect();
    assert!(named.len() > 40, "{}", named.len());
    assert!(missing.is_empty(), "{missing:#?}");
}
