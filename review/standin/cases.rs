//! The cases of the review.

mod frozen;
mod leaving;
mod surplus;
mod uploads;

pub fn run(name: &str) {
    match name {
        "surplus" => surplus::run(),
        "uploads" => uploads::run(),
        "frozen" => frozen::run(),
        "leaving" => leaving::run(),
        other => crate::site::give_up(&format!("there is no case '{other}'")),
    }
}
