//! The cases of the review.

#[path = "2/frozen.rs"]
mod frozen;
#[path = "3/leaving.rs"]
mod leaving;
#[path = "4/memory.rs"]
mod memory;
#[path = "1/surplus.rs"]
mod surplus;
#[path = "5/uploads.rs"]
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
