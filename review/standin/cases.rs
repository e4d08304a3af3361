//! The cases of the review.

mod frozen;
mod leaving;
mod memory;
mod surplus;
mod uploads;

pub fn run(name: &str) {
    match name {
        "memory" => memory::run(),
        "surplus" => surplus::run(),
        "uploads" => uploads::run(),
        "frozen" => frozen::run(),
        "leaving" => leaving::run(),
        other => crate::site::give_up(&format!("there is no case '{other}'")),
    }
}
