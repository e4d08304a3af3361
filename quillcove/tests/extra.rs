//! Man pages and completions in extra/ are what the command line generates now.

use std::fs;
use std::process::Command;

#[test]
fn extra_is_up_to_date() {
    let folder = tempfile::tempdir().unwrap();
    let generate = ["generate", folder.path().to_str().unwrap()];
    let status = Command::new(env!("CARGO_BIN_EXE_quillcove")).args(generate).status().unwrap();
    assert!(status.success());
    for entry in fs::read_dir(folder.path()).unwrap() {
        let name = entry.unwrap().file_name();
        let committed = concat!(env!("CARGO_MANIFEST_DIR"), "/../extra");
        let committed = fs::read(format!("{committed}/{}", name.to_str().unwrap()));
        let generated = fs::read(folder.path().join(&name)).unwrap();
        let is_same = committed.is_ok_and(|committed| committed == generated);
        assert!(is_same, "{name:?} is out of date: run 'quillcove generate extra'");
    }
}
