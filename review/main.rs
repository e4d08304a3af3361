//! Stand-ins of the review's cases, and the cases themselves: `standin case NAME`, run from the
//! repository's root. Each case exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod cases;
mod http;
mod replica;
mod site;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("replica") => replica::run(&arguments[1..]),
        Some("case") => {
            // Ends all that was started, should the case hang.
            std::thread::spawn(|| {
                std::thread::sleep(std::time::Duration::from_secs(113));
                site::give_up("it took too long");
            });
            cases::run(arguments.get(1).map_or("", String::as_str));
        },
        _ => site::give_up("replica or case NAME"),
    }
}
